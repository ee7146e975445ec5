//! A planned stop while a consumer reads a long answer.
//!
//! The server has answered in full. The consumer reads as fast as its link allows, and needs less
//! time than the grace time leaves. Broken if its connection ends in the middle of the answer.

use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::consumer::{self, End};
use crate::deployment::{Route, config};
use crate::engine::{Engine, EngineSetup};
use crate::gateway::{Gateway, SIGTERM};
use crate::net::{Request, reply};
use crate::store::Store;
use crate::{Verdict, note};

/// Consumers that read an answer when the gateway is stopped.
const CONSUMERS: u64 = 2;
/// Size of an answer; together they stay below the 16 MB that the gateway holds for all answers.
const ANSWER_BYTES: usize = 7_000_000;
/// Rate of a consumer's link: 10 Mbit/s, the slowest link on the sheets.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Time from the requests to the signal.
const LEAD_TIME: Duration = Duration::from_millis(300);
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// `contact_ms`, and some time more.
const SETTLING_TIME: Duration = Duration::from_secs(4);

pub fn run(trouble: bool, folder: &Path) -> Verdict {
    let (store, store_address) = Store::start();
    let route = Route {
        path: "/utkall/",
        kind: "unsafe",
        service: "utkall",
        timeout_ms: 15_000,
        objective_ms: 100,
        max_attempts: 1,
        more: "",
    };
    store.put("keyed.op", "config", config(&[route], false).as_bytes());
    for (id, zone) in [("u-1", "sudvestur-a"), ("u-2", "sudvestur-b")] {
        let setup = EngineSetup {
            id,
            service: "utkall",
            zone,
            models: None,
        };
        Engine::start(&setup, &store, Arc::new(answer));
    }
    let mut gateway = Gateway::start("front-1", "sudvestur-a", store_address, folder);
    if !gateway.wait_ready() {
        return Verdict::CannotRun;
    }
    std::thread::sleep(SETTLING_TIME);
    let front = gateway.front;
    let readers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0x51c4_1d07_b2a3_0000_u64 + number);
                let head = "content-type: application/json\r\ncontent-length: 2\r\n";
                let request = consumer::head("POST", "/utkall/2f", &id, 15_000, head) + "{}";
                let patience = Duration::from_secs(5);
                consumer::call(
                    front,
                    &id,
                    request.as_bytes(),
                    patience,
                    Some(LINK_BYTES_PER_S),
                )
            })
        })
        .collect();
    std::thread::sleep(LEAD_TIME);
    if trouble {
        gateway.signal(SIGTERM);
        if !gateway.wait_end(GRACE) {
            note!("the gateway still runs after the grace time");
        }
    }
    let seen: Vec<_> = readers
        .into_iter()
        .map(|reader| reader.join().expect("no consumer panicked"))
        .collect();
    let cut = seen.iter().filter(|seen| seen.end != End::Complete).count();
    note!(
        "LOST: {cut} of {} requests ended without a complete answer",
        seen.len()
    );
    if seen.iter().any(|seen| seen.status != 200) {
        Verdict::CannotRun
    } else if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn answer(engine: &Engine, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.header("eelgrasshill-request-id");
    note!("server {} runs request {id}", engine.id);
    std::thread::sleep(Duration::from_millis(15));
    let headers = engine.answer_headers(request) + "keep-alive: timeout=10\r\n";
    let body = vec![b'x'; ANSWER_BYTES];
    let is_whole = reply(stream, 200, &headers, &body);
    note!(
        "server {} has answered request {id} in full: {is_whole}",
        engine.id
    );
    is_whole
}
