//! Tests of ageing and of fairness among organisations, on one entry host.
//!
//! Batch requests must start within a bound although urgent ones overload the engines, and one
//! organisation's burst must not lengthen the waits of the others.

#![expect(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    reason = "a failed helper fails its test, and the numbers are small"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{Class, HostName, ModelName, Moment, OrgName, PoolName, ZoneName};
use eelgrasshill_route::{
    Decision, DispatchSettings, Dispatcher, LeastLoaded, QueueOrder, Requirement, ResidentModel,
    Ticket, TicketId, Upstream, UpstreamReport, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 8;
const ENGINES: u32 = 3;
const SLOTS: u32 = 8;
const SERVICE_MS: u64 = 1_000;
const RUN_MS: u64 = 180_000;
const STEP_MS: u64 = 10;

/// Requests of one organisation and class that arrive at a steady rate.
#[derive(Clone)]
struct Flow {
    org: usize,
    class: Class,
    per_second: f64,
}

/// Outcome of a run, by flow.
struct Waits {
    /// Waits of started tickets in ms.
    started: Vec<Vec<u64>>,
    refused: Vec<usize>,
    expired: Vec<usize>,
    /// Longest wait in ms, including tickets that still wait at the end.
    longest: Vec<u64>,
}

/// Returns the settings of an entry host that shares the engines with no other.
fn single_host_settings() -> DispatchSettings {
    DispatchSettings {
        peers: 1,
        ..DispatchSettings::default()
    }
}

fn view() -> View {
    let zone = ZoneName::new("zone").unwrap();
    let upstreams = (0..ENGINES).map(|n| {
        let host = HostName::new(&format!("engine-{n}")).unwrap();
        Upstream::new(host, PoolName::new("pool").unwrap(), zone.clone())
            .with_resident(ResidentModel {
                model: ModelName::new("model").unwrap(),
                version: "1".to_owned(),
                adapters: Vec::new(),
            })
            .with_report(UpstreamReport {
                running: 0,
                waiting: 0,
                slots: SLOTS,
                taken_at: Moment(0),
            })
    });
    View::new(&zone, upstreams.collect())
}

fn run(seed: u64, settings: DispatchSettings, flows: &[Flow]) -> Waits {
    let mut random = StdRng::seed_from_u64(seed);
    let mut dispatcher = Dispatcher::new(settings, LeastLoaded);
    let view = view();
    let mut waits = Waits {
        started: vec![Vec::new(); flows.len()],
        refused: vec![0; flows.len()],
        expired: vec![0; flows.len()],
        longest: vec![0; flows.len()],
    };
    let mut offered = Vec::<(usize, u64)>::new();
    let mut waiting = BTreeMap::<TicketId, (usize, u64)>::new();
    let mut ends = Vec::<(u64, TicketId)>::new();
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        let due: Vec<_> = ends.extract_if(.., |(at, _id)| *at <= now).collect();
        for (_at, id) in due {
            assert!(dispatcher.finish(id, Moment(now)));
        }
        for (n, flow) in flows.iter().enumerate() {
            if random.random_range(0.0..1.0) >= flow.per_second * 0.001 * STEP_MS as f64 {
                continue;
            }
            let id = TicketId(offered.len() as u64);
            offered.push((n, now));
            let org = OrgName::new(&format!("org-{}", flow.org)).unwrap();
            let pool = PoolName::new("pool").unwrap();
            let requirement = Requirement::new(ModelName::new("model").unwrap());
            let cost = random.random_range(100..600);
            let ticket = Ticket::new(id, flow.class, pool, requirement, cost, Moment(u64::MAX))
                .with_organisation(org);
            let refused = dispatcher.offer(ticket, Moment(now)).is_err();
            waits.refused[n] += usize::from(refused);
            if !refused {
                waiting.insert(id, (n, now));
            }
        }
        for decision in dispatcher.poll(&view, Moment(now)) {
            match decision {
                Decision::Start { ticket, .. } => {
                    let (n, at) = offered[usize::try_from(ticket.id.0).unwrap()];
                    waits.started[n].push(now - at);
                    waits.longest[n] = waits.longest[n].max(now - at);
                    waiting.remove(&ticket.id);
                    let service = random.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
                    ends.push((now + service, ticket.id));
                }
                Decision::Expired { ticket, .. } => {
                    let (n, _at) = offered[usize::try_from(ticket.id.0).unwrap()];
                    waits.expired[n] += 1;
                    waiting.remove(&ticket.id);
                }
                Decision::Miss(_) => {
                    panic!("no miss is expected, since every engine has loaded the model")
                }
            }
        }
    }
    for (n, at) in waiting.into_values() {
        waits.longest[n] = waits.longest[n].max(RUN_MS - at);
    }
    waits
}

fn percentile(waits: &mut [u64], percent: usize) -> u64 {
    waits.sort_unstable();
    waits[(waits.len() - 1) * percent / 100]
}

/// Urgent requests at one and a half times the engines' capacity, and a few batch requests.
fn overload_flows() -> Vec<Flow> {
    let rate = f64::from(ENGINES * SLOTS);
    vec![
        Flow {
            org: 0,
            class: Class::Urgent,
            per_second: rate * 1.5,
        },
        Flow {
            org: 1,
            class: Class::Batch,
            per_second: 0.5,
        },
        Flow {
            org: 2,
            class: Class::Batch,
            per_second: 0.5,
        },
    ]
}

/// Returns the longest allowed wait of a batch request in ms.
///
/// It is the wait until the request has aged, then four intervals between starts of aged requests
/// and the longest service time.
fn batch_bound(settings: &DispatchSettings) -> u64 {
    let after_ageing = settings.aged_interval * 4 + Duration::from_millis(SERVICE_MS * 3 / 2);
    u64::try_from((settings.batch_age + after_ageing).as_millis()).unwrap()
}

#[test]
fn batch_starts_within_bound() {
    let settings = single_host_settings();
    let bound = batch_bound(&settings);
    let no_ageing = DispatchSettings {
        aged_spacing: 0,
        ..settings
    };
    let mut over_bound = 0;
    for seed in 0..SEEDS {
        let waits = run(seed, settings, &overload_flows());
        for n in [1, 2] {
            let longest = waits.longest[n];
            println!("seed {seed}: longest batch wait {longest} ms, bound {bound} ms");
            assert!(
                longest <= bound,
                "seed {seed}: longest batch wait {longest} ms, expected at most {bound} ms"
            );
            assert!(
                waits.started[n].len() > 50,
                "seed {seed}: expected more than 50 batch starts"
            );
            assert_eq!(
                waits.expired[n] + waits.refused[n],
                0,
                "seed {seed}: batch requests expired or were refused"
            );
        }
        // Urgent requests still get nearly all of the engines' capacity.
        assert!(
            waits.started[0].len() > 3_500,
            "only {} urgent starts, expected more than 3500",
            waits.started[0].len()
        );
        let without_ageing = run(seed, no_ageing, &overload_flows());
        over_bound +=
            usize::from(without_ageing.longest[1] > bound && without_ageing.longest[2] > bound);
    }
    println!("without ageing: {over_bound} of {SEEDS} seeds break the bound");
    assert_eq!(
        over_bound,
        usize::try_from(SEEDS).unwrap(),
        "without ageing, batch requests must wait longer than {bound} ms on every seed"
    );
}

/// Five organisations that together send 60 % of the capacity.
///
/// The first sends `burst_factor` times its part.
fn organisation_flows(burst_factor: f64) -> Vec<Flow> {
    let rate = f64::from(ENGINES * SLOTS) * 0.6 / 5.0;
    let flows = (0..5).map(|org| Flow {
        org,
        class: Class::Interactive,
        per_second: if org == 0 { rate * burst_factor } else { rate },
    });
    flows.collect()
}

/// Freed slots for which a fair queue may let a request wait longer.
const FAIR_TURNS: u64 = 3;

/// Returns the worst 95th percentile of the other organisations' waits, in ms.
fn others_p95(waits: &mut Waits) -> u64 {
    let others = waits.started.iter_mut().skip(1);
    others
        .map(|waits| percentile(waits, 95))
        .max()
        .unwrap_or_default()
}

#[test]
fn burst_does_not_delay_others() {
    // A slot frees every 42 ms on average, and a fair queue may delay a request by about three of
    // these intervals.
    let max_delay_ms = FAIR_TURNS * SERVICE_MS / u64::from(ENGINES * SLOTS);
    let settings = single_host_settings();
    let no_reserve = DispatchSettings {
        reserve_percent: 0,
        ..settings
    };
    let mut over_bound = 0;
    for seed in 0..SEEDS {
        let baseline = others_p95(&mut run(seed, settings, &organisation_flows(1.0)));
        let mut waits = run(seed, settings, &organisation_flows(8.0));
        let with_burst = others_p95(&mut waits);
        let lost_requests: usize = waits.refused[1..].iter().chain(&waits.expired[1..]).sum();
        let first_come_settings = settings.with_order(QueueOrder::FirstCome);
        let first_come = others_p95(&mut run(
            seed,
            first_come_settings,
            &organisation_flows(8.0),
        ));
        let without_reserve = others_p95(&mut run(seed, no_reserve, &organisation_flows(8.0)));
        println!(
            "seed {seed}: p95 without a burst {baseline} ms, with a burst {with_burst} ms, \
             without a reserve {without_reserve} ms, first come {first_come} ms"
        );
        over_bound += u64::from(without_reserve > baseline + max_delay_ms);
        assert!(
            with_burst <= baseline + max_delay_ms,
            "seed {seed}: p95 {with_burst} ms with a burst, {baseline} ms without"
        );
        assert_eq!(
            lost_requests, 0,
            "seed {seed}: requests of other organisations were refused or expired"
        );
        assert!(
            first_come > baseline + 10 * max_delay_ms,
            "first come, first served must delay others, but p95 was {first_come} ms"
        );
    }
    assert_eq!(
        over_bound, SEEDS,
        "without a reserve, a burst must delay others on every seed"
    );
}

/// The longest wait of a request that starts promptly.
const PROMPT_MS: u64 = 350;

#[test]
fn newest_first_keeps_part_of_burst_prompt() {
    let settings = single_host_settings();
    let oldest_first = DispatchSettings {
        newest_first: false,
        ..settings
    };
    let prompt_starts = |settings: DispatchSettings, class: Class| {
        let mut flows = organisation_flows(8.0);
        for flow in &mut flows {
            flow.class = class;
        }
        let waits = run(1, settings, &flows);
        waits.started[0]
            .iter()
            .filter(|wait| **wait <= PROMPT_MS)
            .count()
    };
    let (newest_first_starts, oldest_first_starts) = (
        prompt_starts(settings, Class::Interactive),
        prompt_starts(oldest_first, Class::Interactive),
    );
    println!(
        "starts within {PROMPT_MS} ms: newest first {newest_first_starts}, oldest first {oldest_first_starts}"
    );
    assert!(
        newest_first_starts > 10 * oldest_first_starts.max(1),
        "prompt starts: newest first {newest_first_starts}, oldest first {oldest_first_starts}"
    );
    // Batch requests are served oldest first either way, so that each gets its turn.
    assert_eq!(
        prompt_starts(settings, Class::Batch),
        prompt_starts(oldest_first, Class::Batch)
    );
}
