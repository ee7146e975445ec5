//! Batch work starts although other entry hosts fill the same engines with urgent work.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the figures are small"
)]

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{Class, HostName, Moment, PoolName, ZoneName};
use eelgrasshill_route::{
    Decision, DispatchSettings, Dispatcher, LeastLoaded, Report, Requirement, Ticket, TicketId,
    Upstream, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 4;
const HOSTS: u32 = 3;
const ENGINES: usize = 3;
const SLOTS: usize = 8;
const RUN_MS: u64 = 200_000;
const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 500;
const LAG_MS: u64 = 1_000;

/// An engine that runs its slots and queues the rest, each request for a second.
#[derive(Default)]
struct Engine {
    running: Vec<(u64, usize, TicketId)>,
    waiting: VecDeque<(usize, TicketId)>,
}

fn view(reports: &[(u32, u32)], taken_at: u64) -> View {
    let zone = ZoneName::new("zone").unwrap();
    let upstreams = reports.iter().enumerate().map(|(n, (running, waiting))| {
        let host = HostName::new(&format!("engine-{n}")).unwrap();
        let report = Report {
            running: *running,
            waiting: *waiting,
            slots: u32::try_from(SLOTS).unwrap(),
            taken_at: Moment(taken_at),
        };
        Upstream::new(host, PoolName::new("pool").unwrap(), zone.clone()).with_report(report)
    });
    View::new(&zone, upstreams.collect())
}

/// Returns the longest wait of the batch work, which all arrives at the last host, in ms.
fn longest(seed: u64, settings: DispatchSettings) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts = vec![Dispatcher::new(settings, LeastLoaded); HOSTS as usize];
    let mut engines: Vec<_> = (0..ENGINES).map(|_n| Engine::default()).collect();
    let mut sent = VecDeque::new();
    let mut latest = view(&[(0, 0); ENGINES], 0);
    let mut arrived = Vec::new();
    let mut open = BTreeMap::new();
    let mut longest = 0;
    let capacity = 0.024 * 10.0;
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
        if now % REPORT_MS == 0 {
            let loads = engines.iter().map(|e| {
                let (running, waiting) = (e.running.len(), e.waiting.len());
                (
                    u32::try_from(running).unwrap(),
                    u32::try_from(waiting).unwrap(),
                )
            });
            sent.push_back((now, loads.collect::<Vec<_>>()));
        }
        while let Some((taken_at, loads)) = sent.front()
            && taken_at + LAG_MS <= now
        {
            latest = view(loads, *taken_at);
            sent.pop_front();
        }
        // Two hosts get urgent work at one and a half times what the engines can do.
        for (host, chance) in [(0, capacity * 0.75), (1, capacity * 0.75), (2, 0.005)] {
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
            let taken_at = hosts[host].offer(ticket, Moment(now)).is_ok();
            if class == Class::Batch {
                assert!(taken_at);
                open.insert(id, now);
            }
        }
        for (n, host) in hosts.iter_mut().enumerate() {
            for decision in host.poll(&latest, Moment(now)) {
                let Decision::Start { ticket, host } = decision else {
                    continue;
                };
                let engine = host.as_str().trim_start_matches("engine-");
                let engine: usize = engine.parse().unwrap();
                engines[engine].waiting.push_back((n, ticket.id));
                if let Some(at) = open.remove(&ticket.id) {
                    longest = longest.max(now - at);
                }
            }
        }
    }
    open.into_values().fold(longest, |l, at| l.max(RUN_MS - at))
}

#[test]
fn batch_starts_though_others_fill_the_engines() {
    let settings = DispatchSettings {
        peers: HOSTS,
        ..DispatchSettings::default()
    };
    let off = DispatchSettings {
        aged_spacing: 0,
        ..settings
    };
    let bound = 2 * u64::try_from(settings.batch_age.as_millis()).unwrap() + 5_000;
    for seed in 0..SEEDS {
        let (with, without) = (longest(seed, settings), longest(seed, off));
        println!("seed {seed}: batch waits at most {with} ms, without ageing {without} ms");
        assert!(with <= bound, "seed {seed}: {with} ms over {bound} ms");
        assert!(without > bound, "seed {seed}: not red without ageing");
    }
}
