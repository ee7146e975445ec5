//! Servers fail part of the requests that they have begun to work on, with status 503.
//!
//! Their answers do not bear `Eelgrasshill-Not-Executed`, so they state nothing about the run. A
//! consumer takes a 503 as the promise that its request has not run, and asks again. Broken if a
//! request that is not idempotent is answered with a 503 although it has run.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::consumer;
use crate::deployment::{Route, config};
use crate::engine::{Engine, EngineSetup};
use crate::gateway::Gateway;
use crate::net::{Request, reply};
use crate::store::Store;
use crate::{Verdict, note};

/// Bookings, one after the other within the 6.5 s for which servers fail requests.
const BOOKINGS: u64 = 40;
const BOOKING_PAUSE: Duration = Duration::from_millis(120);
/// Of this many requests, servers fail [`FAILED`].
const FAILED_OF: usize = 20;
/// The site's `srv_grey` fails 0.45 of the requests.
const FAILED: usize = 9;
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Statuses with which a gateway promises that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[derive(Default)]
struct Bookings {
    /// Ids of the requests that a server began to work on.
    run: Mutex<BTreeSet<String>>,
    /// Bookings, by the body of the request, as the servers know them.
    booked: Mutex<Vec<String>>,
    count: AtomicUsize,
}

pub fn run(trouble: bool, folder: &Path) -> Verdict {
    let (store, store_address) = Store::start();
    let route = Route {
        path: "/utkall/",
        kind: "unsafe",
        service: "utkall",
        timeout_ms: 1_000,
        objective_ms: 100,
        max_attempts: 1,
        more: "",
    };
    store.put("keyed.op", "config", config(&[route], false).as_bytes());
    let bookings = Arc::new(Bookings::default());
    for (id, zone) in [
        ("u-1", "sudvestur-a"),
        ("u-2", "sudvestur-b"),
        ("u-3", "sudvestur-c"),
    ] {
        let setup = EngineSetup {
            id,
            service: "utkall",
            zone,
            models: None,
        };
        let bookings = Arc::clone(&bookings);
        Engine::start(
            &setup,
            &store,
            Arc::new(
                move |engine: &Engine, request: &Request, stream: &mut TcpStream| {
                    answer(trouble, &bookings, engine, request, stream)
                },
            ),
        );
    }
    let gateway = Gateway::start("front-1", "sudvestur-a", store_address, folder);
    if !gateway.wait_ready() {
        return Verdict::CannotRun;
    }
    std::thread::sleep(SETTLING_TIME);
    let (mut broken, mut served) = (0, 0);
    for number in 0..BOOKINGS {
        let body = format!("van {number}");
        // A consumer asks once more, under a new id, if a promise says that its request has not run.
        for attempt in 0..2 {
            let id = format!("{:016x}", 0x61c4_1d07_b2a3_0000_u64 + number * 2 + attempt);
            let length = format!("content-length: {}\r\n", body.len());
            let request = consumer::head("POST", "/utkall/2f", &id, 1_000, &length) + &body;
            let patience = Duration::from_secs(1);
            let seen = consumer::call(gateway.front, &id, request.as_bytes(), patience, None);
            served += u64::from(seen.status == 200);
            if !PROMISES.contains(&seen.status) {
                break;
            }
            if bookings
                .run
                .lock()
                .expect("no holder panicked")
                .contains(&id)
            {
                broken += 1;
                note!(
                    "REFUSED: request {id} ({body}) is answered {} and has run",
                    seen.status
                );
            }
        }
        std::thread::sleep(BOOKING_PAUSE);
    }
    let booked = bookings.booked.lock().expect("no holder panicked");
    let once: BTreeSet<_> = booked.iter().collect();
    note!(
        "{BOOKINGS} bookings asked for, {served} answered with success, {} made more than once",
        booked.len() - once.len()
    );
    note!("REFUSED: {broken} requests were answered with a promise and have run");
    if broken > 0 {
        Verdict::Broken
    } else if served == 0 {
        Verdict::CannotRun
    } else {
        Verdict::Held
    }
}

fn answer(
    trouble: bool,
    bookings: &Bookings,
    engine: &Engine,
    request: &Request,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("eelgrasshill-request-id").to_owned();
    let body = String::from_utf8_lossy(&request.body).into_owned();
    note!(
        "server {} begins to work on request {id} ({body})",
        engine.id
    );
    bookings
        .run
        .lock()
        .expect("no holder panicked")
        .insert(id.clone());
    bookings
        .booked
        .lock()
        .expect("no holder panicked")
        .push(body);
    std::thread::sleep(Duration::from_millis(15));
    let count = bookings.count.fetch_add(1, Ordering::SeqCst);
    let fails = trouble && count * FAILED % FAILED_OF < FAILED;
    let status = if fails { 503 } else { 200 };
    note!("server {} answers request {id} with {status}", engine.id);
    reply(stream, status, &engine.answer_headers(request), b"")
}
