//! Prints the time and memory that the dispatcher needs, by number of upstreams, as CSV.
//!
//! Run it with `cargo run --release -p eelgrasshill_route --example route_cost`.

#![expect(clippy::expect_used, reason = "a failed measurement ends the run")]

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use eelgrasshill_domain::{Class, HostName, ModelName, Moment, OrgName, PoolName, ZoneName};
use eelgrasshill_route::{
    DispatchSettings, Dispatcher, PrefixHash, PrefixTwoChoices, Requirement, ResidentModel, Ticket,
    TicketId, Upstream, UpstreamReport, View,
};

/// Number of models loaded on one upstream.
const MODELS_PER_UPSTREAM: usize = 8;

/// Number of tickets that run while calls are timed.
const RUNNING_TICKETS: u64 = 64;

/// Number of slots of an upstream.
const SLOTS: u32 = 64;

const ROUNDS: u64 = 20_000;

/// Number of tickets that wait for full upstreams while polls are timed, over all organisations.
const WAITING_TICKETS: u64 = 500;

static HELD_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of the bytes allocated.
struct CountingAllocator;

// SAFETY: every call goes on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps to the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        HELD_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the block came from `alloc` with the same layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn held_bytes() -> usize {
    HELD_BYTES.load(Ordering::Relaxed)
}

fn pool() -> PoolName {
    PoolName::new("pole-assist").expect("the pool name must be valid")
}

fn model(n: u64) -> ModelName {
    ModelName::new(&format!("model-{n}")).expect("the model name must be valid")
}

fn view(upstreams: usize, models: u64, running: u32) -> View {
    let zones = ["zone-a", "zone-b", "zone-c"]
        .map(|z| ZoneName::new(z).expect("the zone name must be valid"));
    let mut next = 0;
    let upstreams = (0..upstreams).map(|n| {
        let host = HostName::new(&format!("engine-{n}")).expect("the host name must be valid");
        let report = UpstreamReport {
            running,
            waiting: 0,
            slots: SLOTS,
            taken_at: Moment(0),
        };
        let mut upstream = Upstream::new(host, pool(), zones[n % 3].clone()).with_report(report);
        for _ in 0..MODELS_PER_UPSTREAM {
            upstream = upstream.with_resident(ResidentModel {
                model: model(next % models),
                version: "1".to_owned(),
                adapters: Vec::new(),
            });
            next += 1;
        }
        upstream
    });
    View::new(&zones[0], upstreams.collect())
}

fn ticket(id: u64, models: u64) -> Ticket {
    let org =
        OrgName::new(&format!("org-{}", id % 5)).expect("the organisation name must be valid");
    let requirement = Requirement::new(model(id.wrapping_mul(7) % models));
    let id = TicketId(id);
    Ticket::new(
        id,
        Class::Interactive,
        pool(),
        requirement,
        500,
        Moment(u64::MAX),
    )
    .with_organisation(org)
    .with_prefix(PrefixHash(id.0 % 97))
}

/// Time and memory needed with one number of upstreams and models.
#[derive(Debug, Default)]
struct Cost {
    build_ns: u128,
    offer_ns: u128,
    poll_ns: u128,
    finish_ns: u128,
    queued_poll_ns: u128,
    view_bytes: usize,
    state_bytes: usize,
    queued_bytes: usize,
}

fn measure(upstreams: usize, models: u64) -> Cost {
    let mut cost = Cost::default();
    let before = held_bytes();
    let started = Instant::now();
    let idle_view = view(upstreams, models, 0);
    cost.build_ns = started.elapsed().as_nanos();
    cost.view_bytes = held_bytes() - before;
    let full_view = view(upstreams, models, SLOTS);

    let before = held_bytes();
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), PrefixTwoChoices);
    for id in 0..ROUNDS {
        let now = Moment(id);
        let ticket = ticket(id, models);
        let started = Instant::now();
        dispatcher
            .offer(ticket, now)
            .expect("an empty queue must accept the ticket");
        let offered = Instant::now();
        let decisions = black_box(dispatcher.poll(&idle_view, now));
        let polled = Instant::now();
        drop(decisions);
        if let Some(old) = id.checked_sub(RUNNING_TICKETS) {
            let started = Instant::now();
            dispatcher.finish(TicketId(old), now);
            cost.finish_ns += started.elapsed().as_nanos();
        }
        cost.offer_ns += (offered - started).as_nanos();
        cost.poll_ns += (polled - offered).as_nanos();
    }
    cost.offer_ns /= u128::from(ROUNDS);
    cost.poll_ns /= u128::from(ROUNDS);
    cost.finish_ns /= u128::from(ROUNDS - RUNNING_TICKETS);
    cost.state_bytes = held_bytes() - before;

    let mut queued_dispatcher = Dispatcher::new(DispatchSettings::default(), PrefixTwoChoices);
    let before = held_bytes();
    for id in 0..WAITING_TICKETS {
        let now = Moment(id);
        queued_dispatcher
            .offer(ticket(id, models), now)
            .expect("a queue with room must accept the ticket");
    }
    cost.queued_bytes = held_bytes() - before;
    let started = Instant::now();
    let polls = 200;
    for id in 0..polls {
        black_box(queued_dispatcher.poll(&full_view, Moment(WAITING_TICKETS + id)));
    }
    cost.queued_poll_ns = started.elapsed().as_nanos() / u128::from(polls);
    cost
}

fn main() {
    println!(
        "upstreams,models,view_build_ns,offer_ns,poll_start_ns,finish_ns,poll_500_waiting_ns,\
         view_bytes,state_bytes,state_500_waiting_bytes"
    );
    for upstreams in [15, 100, 300, 600] {
        for models in [20, 120, 600, 1900] {
            // With more models than fit on the upstreams, some would never be loaded.
            if models > (upstreams * MODELS_PER_UPSTREAM) as u64 {
                continue;
            }
            let cost = measure(upstreams, models);
            println!(
                "{upstreams},{models},{},{},{},{},{},{},{},{}",
                cost.build_ns,
                cost.offer_ns,
                cost.poll_ns,
                cost.finish_ns,
                cost.queued_poll_ns,
                cost.view_bytes,
                cost.state_bytes,
                cost.queued_bytes,
            );
        }
    }
}
