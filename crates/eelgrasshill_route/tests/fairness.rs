//! Batch work starts within its bound, and one organisation's burst leaves the others alone.

#![expect(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    reason = "a failed helper fails its test, and the figures are small"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{Class, HostName, ModelName, Moment, OrgName, PoolName, ZoneName};
use eelgrasshill_route::{
    Decision, DispatchSettings, Dispatcher, LeastLoaded, QueueOrder, Report, Requirement, Resident,
    Ticket, TicketId, Upstream, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 8;
const ENGINES: u32 = 3;
const SLOTS: u32 = 8;
const SERVICE_MS: u64 = 1_000;
const RUN_MS: u64 = 180_000;
const STEP_MS: u64 = 10;

/// One stream of requests.
#[derive(Clone)]
struct Flow {
    org: usize,
    class: Class,
    per_second: f64,
}

struct Waits {
    /// Waits of started tickets in ms, by flow.
    started: Vec<Vec<u64>>,
    refused: Vec<usize>,
    expired: Vec<usize>,
    /// Longest wait in ms, by flow, with that of tickets that never started.
    longest: Vec<u64>,
}

/// Settings of an entry host that has the engines for itself.
fn alone() -> DispatchSettings {
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
            .with_resident(Resident {
                model: ModelName::new("model").unwrap(),
                version: "1".to_owned(),
                adapters: Vec::new(),
            })
            .with_report(Report {
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
                Decision::Miss(_) => panic!("the model is resident"),
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

/// Urgent work at one and a half times the fleet's rate, and a little batch work.
fn overload() -> Vec<Flow> {
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

/// Longest wait of batch work in ms: its age, then a turn for each of a few ahead of it.
fn batch_bound(settings: &DispatchSettings) -> u64 {
    let turns = settings.aged_interval * 4 + Duration::from_millis(SERVICE_MS * 3 / 2);
    u64::try_from((settings.batch_age + turns).as_millis()).unwrap()
}

#[test]
fn batch_starts_within_its_bound() {
    let settings = alone();
    let bound = batch_bound(&settings);
    let off = DispatchSettings {
        aged_spacing: 0,
        ..settings
    };
    let mut red = 0;
    for seed in 0..SEEDS {
        let waits = run(seed, settings, &overload());
        for n in [1, 2] {
            let longest = waits.longest[n];
            println!("seed {seed}: batch waits at most {longest} ms, bound {bound} ms");
            assert!(
                longest <= bound,
                "seed {seed}: {longest} ms over {bound} ms"
            );
            assert!(
                waits.started[n].len() > 50,
                "seed {seed}: too few batch starts"
            );
            assert_eq!(waits.expired[n] + waits.refused[n], 0);
        }
        // The urgent work still gets nearly all of what the fleet can do.
        assert!(
            waits.started[0].len() > 3_500,
            "{} urgent",
            waits.started[0].len()
        );
        let without = run(seed, off, &overload());
        red += usize::from(without.longest[1] > bound && without.longest[2] > bound);
    }
    println!("without ageing: {red} of {SEEDS} seeds break the bound");
    assert_eq!(red, usize::try_from(SEEDS).unwrap());
}

/// Five organisations at a fifth of 60 % each; the first may send eight times that.
fn shares(burst: f64) -> Vec<Flow> {
    let rate = f64::from(ENGINES * SLOTS) * 0.6 / 5.0;
    let flows = (0..5).map(|org| Flow {
        org,
        class: Class::Interactive,
        per_second: if org == 0 { rate * burst } else { rate },
    });
    flows.collect()
}

/// Worst 95th percentile of the waits of all but the first organisation, in ms.
fn others(waits: &mut Waits) -> u64 {
    let others = waits.started.iter_mut().skip(1);
    others.map(|w| percentile(w, 95)).max().unwrap_or_default()
}

#[test]
fn burst_leaves_others_where_they_were() {
    // A slot frees every 42 ms on average; a few of these are all that a fair turn may cost.
    let few_turns = 3 * SERVICE_MS / u64::from(ENGINES * SLOTS);
    let settings = alone();
    let unreserved = DispatchSettings {
        reserve_percent: 0,
        ..settings
    };
    let mut red = 0;
    for seed in 0..SEEDS {
        let quiet = others(&mut run(seed, settings, &shares(1.0)));
        let mut waits = run(seed, settings, &shares(8.0));
        let fair = others(&mut waits);
        let lost: usize = waits.refused[1..].iter().chain(&waits.expired[1..]).sum();
        let first = settings.with_order(QueueOrder::FirstCome);
        let plain = others(&mut run(seed, first, &shares(8.0)));
        let turns = others(&mut run(seed, unreserved, &shares(8.0)));
        println!(
            "seed {seed}: p95 quiet {quiet} ms, fair {fair} ms, without a reserve {turns} ms, \
             first come {plain} ms"
        );
        red += u64::from(turns > quiet + few_turns);
        assert!(
            fair <= quiet + few_turns,
            "seed {seed}: {fair} ms over {quiet} ms"
        );
        assert_eq!(lost, 0, "seed {seed}: others were refused");
        assert!(
            plain > quiet + 10 * few_turns,
            "first come was not red: {plain} ms"
        );
    }
    assert_eq!(red, SEEDS, "fair turns without a reserve were not red");
}

#[test]
fn newest_first_saves_part_of_a_flood() {
    let settings = alone();
    let off = DispatchSettings {
        newest_first: false,
        ..settings
    };
    let prompt = |settings: DispatchSettings, class: Class| {
        let mut flows = shares(8.0);
        for flow in &mut flows {
            flow.class = class;
        }
        let waits = run(1, settings, &flows);
        waits.started[0].iter().filter(|w| **w <= 350).count()
    };
    let (new, old) = (
        prompt(settings, Class::Interactive),
        prompt(off, Class::Interactive),
    );
    println!("starts within 350 ms: newest first {new}, oldest first {old}");
    assert!(new > 10 * old.max(1), "{new} against {old}");
    // Batch work keeps its order, so that each piece of it gets its turn.
    assert_eq!(prompt(settings, Class::Batch), prompt(off, Class::Batch));
}
