//! Tests that batch requests start although other entry hosts fill the engines.
//!
//! The other hosts send urgent requests beyond the engines' capacity. The host with the batch
//! requests thus never sees a free slot, and has to force starts of its aged requests.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the numbers are small"
)]

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{Class, HostName, Moment, PoolName, ZoneName};
use eelgrasshill_route::{
    Decision, DispatchSettings, Dispatcher, LeastLoaded, Requirement, Ticket, TicketId, Upstream,
    UpstreamReport, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 4;
const HOSTS: u32 = 3;
const ENGINES: usize = 3;
const SLOTS: usize = 8;
const RUN_MS: u64 = 200_000;
const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 500;
const REPORT_DELAY_MS: u64 = 1_000;

/// How long an engine runs a request.
const SERVICE_MS: u64 = 1_000;

/// Requests that all engines can serve in a step: 24 slots at one request a second.
const CAPACITY_PER_STEP: f64 = 0.024 * 10.0;

/// The host that gets the batch requests; the others get urgent ones.
const BATCH_HOST: usize = 2;

const BATCH_ARRIVALS_PER_STEP: f64 = 0.005;

/// Allowed wait besides the ageing, for the starts of earlier aged requests.
const SLACK_MS: u64 = 5_000;

/// An engine that runs as many requests as it has slots, one second each, and queues the rest.
#[derive(Default)]
struct Engine {
    /// End in ms, entry host and ticket of each running request.
    running: Vec<(u64, usize, TicketId)>,
    /// Entry host and ticket of each queued request.
    waiting: VecDeque<(usize, TicketId)>,
}

/// Builds a view from the running and waiting requests of each engine.
fn view(loads: &[(u32, u32)], taken_at: u64) -> View {
    let zone = ZoneName::new("zone").unwrap();
    let upstreams = loads.iter().enumerate().map(|(n, (running, waiting))| {
        let host = HostName::new(&format!("engine-{n}")).unwrap();
        let report = UpstreamReport {
            running: *running,
            waiting: *waiting,
            slots: u32::try_from(SLOTS).unwrap(),
            taken_at: Moment(taken_at),
        };
        Upstream::new(host, PoolName::new("pool").unwrap(), zone.clone()).with_report(report)
    });
    View::new(&zone, upstreams.collect())
}

/// Returns the longest wait of the batch requests in ms, which all arrive at the last host.
fn longest_batch_wait(seed: u64, settings: DispatchSettings) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts = vec![Dispatcher::new(settings, LeastLoaded); HOSTS as usize];
    let mut engines: Vec<_> = (0..ENGINES).map(|_n| Engine::default()).collect();
    let mut sent_reports = VecDeque::new();
    let mut latest_view = view(&[(0, 0); ENGINES], 0);
    let mut arrived = Vec::new();
    let mut waiting_batch = BTreeMap::new();
    let mut longest_batch_wait = 0;
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        for engine in &mut engines {
            for (_end, host, id) in engine.running.extract_if(.., |running| running.0 <= now) {
                hosts[host].finish(id, Moment(now));
            }
            while engine.running.len() < SLOTS
                && let Some((host, id)) = engine.waiting.pop_front()
            {
                engine.running.push((now + SERVICE_MS, host, id));
            }
        }
        if now % REPORT_INTERVAL_MS == 0 {
            let loads = engines.iter().map(|e| {
                let (running, waiting) = (e.running.len(), e.waiting.len());
                (
                    u32::try_from(running).unwrap(),
                    u32::try_from(waiting).unwrap(),
                )
            });
            sent_reports.push_back((now, loads.collect::<Vec<_>>()));
        }
        while let Some((taken_at, loads)) = sent_reports.front()
            && taken_at + REPORT_DELAY_MS <= now
        {
            latest_view = view(loads, *taken_at);
            sent_reports.pop_front();
        }
        // Two hosts get urgent requests, together one and a half times the engines' capacity.
        for (host, arrivals_per_step) in [
            (0, CAPACITY_PER_STEP * 0.75),
            (1, CAPACITY_PER_STEP * 0.75),
            (BATCH_HOST, BATCH_ARRIVALS_PER_STEP),
        ] {
            if random.random_range(0.0..1.0) >= arrivals_per_step {
                continue;
            }
            let class = if host == BATCH_HOST {
                Class::Batch
            } else {
                Class::Urgent
            };
            let id = TicketId(arrived.len() as u64);
            arrived.push(now);
            let pool = PoolName::new("pool").unwrap();
            let ticket = Ticket::new(id, class, pool, Requirement::Plain, 100, Moment(u64::MAX));
            let accepted = hosts[host].offer(ticket, Moment(now)).is_ok();
            if class == Class::Batch {
                assert!(
                    accepted,
                    "seed {seed}: a batch request was refused at {now} ms"
                );
                waiting_batch.insert(id, now);
            }
        }
        for (n, host) in hosts.iter_mut().enumerate() {
            for decision in host.poll(&latest_view, Moment(now)) {
                let Decision::Start { ticket, host } = decision else {
                    continue;
                };
                let engine = host.as_str().trim_start_matches("engine-");
                let engine: usize = engine.parse().unwrap();
                engines[engine].waiting.push_back((n, ticket.id));
                if let Some(at) = waiting_batch.remove(&ticket.id) {
                    longest_batch_wait = longest_batch_wait.max(now - at);
                }
            }
        }
    }
    waiting_batch
        .into_values()
        .fold(longest_batch_wait, |longest, at| longest.max(RUN_MS - at))
}

#[test]
fn batch_starts_although_others_fill_the_engines() {
    let settings = DispatchSettings {
        peers: HOSTS,
        ..DispatchSettings::default()
    };
    let no_ageing = DispatchSettings {
        aged_spacing: 0,
        ..settings
    };
    // On a full upstream, a batch request starts after twice its age limit.
    let max_wait_ms = 2 * u64::try_from(settings.batch_age.as_millis()).unwrap() + SLACK_MS;
    for seed in 0..SEEDS {
        let (with_ageing, without_ageing) = (
            longest_batch_wait(seed, settings),
            longest_batch_wait(seed, no_ageing),
        );
        println!(
            "seed {seed}: longest batch wait {with_ageing} ms, without ageing {without_ageing} ms"
        );
        assert!(
            with_ageing <= max_wait_ms,
            "seed {seed}: longest batch wait {with_ageing} ms, expected at most {max_wait_ms} ms"
        );
        assert!(
            without_ageing > max_wait_ms,
            "seed {seed}: without ageing, the longest batch wait must exceed {max_wait_ms} ms"
        );
    }
}
