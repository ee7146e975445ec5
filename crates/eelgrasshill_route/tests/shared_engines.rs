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

/// An engine that runs as many requests as it has slots, one second each, and queues the rest.
#[derive(Default)]
struct Engine {
    /// End in ms, entry host and ticket of each running request.
    running: Vec<(u64, usize, TicketId)>,
    /// Entry host and ticket of each queued request.
    waiting: VecDeque<(usize, TicketId)>,
}

fn view(reports: &[(u32, u32)], taken_at: u64) -> View {
    let zone = ZoneName::new("zone").unwrap();
    let upstreams = reports.iter().enumerate().map(|(n, (running, waiting))| {
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
    let starts_per_step = 0.024 * 10.0;
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        for engine in &mut engines {
            for (_end, host, id) in engine.running.extract_if(.., |r| r.0 <= now) {
                hosts[host].finish(id, Moment(now));
            }
            while engine.running.len() < SLOTS
                && let Some((host, id)) = engine.waiting.pop_front()
            {
                engine.running.push((now + 1_000, host, id));
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
        for (host, chance) in [
            (0, starts_per_step * 0.75),
            (1, starts_per_step * 0.75),
            (2, 0.005),
        ] {
            if random.random_range(0.0..1.0) >= chance {
                continue;
            }
            let class = if host == 2 {
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
                assert!(accepted);
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
        .fold(longest_batch_wait, |l, at| l.max(RUN_MS - at))
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
    let bound = 2 * u64::try_from(settings.batch_age.as_millis()).unwrap() + 5_000;
    for seed in 0..SEEDS {
        let (with_ageing, without_ageing) = (
            longest_batch_wait(seed, settings),
            longest_batch_wait(seed, no_ageing),
        );
        println!(
            "seed {seed}: longest batch wait {with_ageing} ms, without ageing {without_ageing} ms"
        );
        assert!(
            with_ageing <= bound,
            "seed {seed}: longest batch wait {with_ageing} ms, expected at most {bound} ms"
        );
        assert!(
            without_ageing > bound,
            "seed {seed}: without ageing, the longest batch wait must exceed {bound} ms"
        );
    }
}
