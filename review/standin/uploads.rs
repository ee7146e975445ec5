//! Consumers whose bodies take longer than five seconds to arrive.
//!
//! The bodies keep within the limits of the configuration and well within the time limits of the
//! requests. Broken if more of the requests are refused with a 4xx than the rule allows.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::consumer;
use crate::deployment::{Route, config};
use crate::engine::{Engine, EngineSetup};
use crate::gateway::Gateway;
use crate::net::{Request, read_answer, reply};
use crate::store::Store;
use crate::{Verdict, note};

/// Consumers on slow uplinks, each with one request.
const SLOW_CONSUMERS: u64 = 12;
/// Other consumers, each with one request.
const FAST_CONSUMERS: u64 = 60;
/// Body of a request; the limit of the configuration is 4 MB.
const BODY_BYTES: usize = 400_000;
/// The body is sent in this many parts.
const PARTS: u32 = 26;
/// Pause between parts; `header_timeout_ms` is 3,000 and `idle_timeout_ms` 15,000.
const PART_PAUSE: Duration = Duration::from_millis(250);
const DEADLINE_MS: u64 = 15_000;
const SETTLING_TIME: Duration = Duration::from_secs(4);

pub fn run(trouble: bool, folder: &Path) -> Verdict {
    let (store, store_address) = Store::start();
    let route = Route {
        path: "/utkall/",
        kind: "unsafe",
        service: "utkall",
        timeout_ms: DEADLINE_MS,
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
    let gateway = Gateway::start("front-1", "sudvestur-a", store_address, folder);
    if !gateway.wait_ready() {
        return Verdict::CannotRun;
    }
    std::thread::sleep(SETTLING_TIME);
    let front = gateway.front;
    let callers: Vec<_> = (0..SLOW_CONSUMERS + FAST_CONSUMERS)
        .map(|number| {
            let is_slow = number < SLOW_CONSUMERS;
            std::thread::spawn(move || {
                if !is_slow {
                    std::thread::sleep(PART_PAUSE / 2 * (number - SLOW_CONSUMERS) as u32);
                }
                upload(front, number, is_slow && trouble)
            })
        })
        .collect();
    let statuses: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("no consumer panicked"))
        .collect();
    let is_denial =
        |status: &&u16| (300..500).contains(*status) && ![408, 421, 429].contains(*status);
    let denied = statuses.iter().filter(is_denial).count();
    // More than 5 and one in 500 of all requests.
    let allowed = 5.0 + statuses.len() as f64 / 500.0;
    note!(
        "DENIED: {denied} of {} requests, {allowed:.1} are allowed",
        statuses.len()
    );
    if denied as f64 > allowed {
        Verdict::Broken
    } else if !trouble && statuses.iter().any(|status| *status != 200) {
        Verdict::CannotRun
    } else {
        Verdict::Held
    }
}

fn upload(front: SocketAddr, number: u64, is_slow: bool) -> u16 {
    let id = format!("{:016x}", 0x71c4_1d07_b2a3_0000_u64 + number);
    let length = format!("content-type: text/plain\r\ncontent-length: {BODY_BYTES}\r\n");
    let head = consumer::head("POST", "/utkall/2f", &id, DEADLINE_MS, &length);
    let send = || -> Option<u16> {
        let mut stream = TcpStream::connect(front).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))
            .ok()?;
        stream.write_all(head.as_bytes()).ok()?;
        note!("consumer {id}: sends a head, then {BODY_BYTES} bytes, slow={is_slow}");
        let body = vec![b'x'; BODY_BYTES];
        for part in body.chunks(BODY_BYTES.div_ceil(PARTS as usize)) {
            if is_slow {
                std::thread::sleep(PART_PAUSE);
            }
            if stream.write_all(part).is_err() {
                note!("consumer {id}: the connection was closed while it sent");
                break;
            }
        }
        Some(read_answer(&mut stream)?.0.status)
    };
    let status = send().unwrap_or(0);
    note!("consumer {id}: status={status}");
    status
}

fn answer(engine: &Engine, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.header("eelgrasshill-request-id");
    note!(
        "server {} runs request {id} with {} bytes",
        engine.id,
        request.body.len()
    );
    std::thread::sleep(Duration::from_millis(15));
    reply(stream, 200, &engine.answer_headers(request), b"ok")
}
