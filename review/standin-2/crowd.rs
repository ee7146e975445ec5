//! Callers that are not controlled leave many bodies open: do ordinary callers get through, and does
//! the process stay within the memory of its machine?

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{Gateway, Host};
use crate::net::{Wire, serve};
use crate::platform::Store;
use crate::{Record, Verdict, has_trouble};

/// Connections of the crowd, each with one unfinished body.
const CROWD: usize = 2_200;

const CROWD_THREADS: usize = 11;

/// Ordinary consumers, each of which tries again and again; the rule asks for seven.
const CONSUMERS: usize = 10;

/// `contact_ms` of the small deployments.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the crowd stays, below the 15 s of `idle_timeout_ms`.
const CROWD_TIME: Duration = Duration::from_secs(12);

/// Longest time for a consumer's new connection, as the page says.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Time limit of an ordinary request.
const TIME_LIMIT: Duration = Duration::from_secs(1);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"digest","host":"h.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":20000,
"target_latency_ms":3000,"priority":1,"service":"desk","max_attempts":1,"anonymous":false,
"sticky":true,"resumable":false,"gap_aim_ms":250},
{"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":1000,
"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],
"services":[{"name":"desk","health_path":"/health","max_connections":214}],
"tenants":[{"name":"org","api_keys":["key-1"],"rate_per_s":0,"burst":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

fn start_service(store: &Store) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    serve(listener, |mut wire| {
        while let Ok(request) = wire.read_message() {
            std::thread::sleep(Duration::from_millis(30));
            let headers = format!(
                "Eelgrasshill-Request-Id: {}\r\nEelgrasshill-Server-Seal: s1\r\nKeep-Alive: timeout=10\r\n",
                request.header("eelgrasshill-request-id")
            );
            if wire.answer(200, &headers, b"answer").is_err() {
                return;
            }
        }
    });
    let entry = format!(
        "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"yard-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":1765000000000}}"
    );
    store.put("keyed.servers", "i-desk1", entry.as_bytes());
}

/// One try of a consumer, on a new connection.
struct Try {
    began: Instant,
    ended: Instant,
    connected: bool,
    status: Option<u16>,
}

fn try_once(address: SocketAddr, id: &str) -> Try {
    let began = Instant::now();
    let mut connected = false;
    let mut ask = || {
        let mut wire = Wire::connect(address, CONNECT_TIME).ok()?;
        connected = true;
        wire.set_timeout(TIME_LIMIT);
        let request = format!(
            "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nEelgrasshill-Request-Id: {id}\r\n\
             Eelgrasshill-Request-Deadline: 1000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n"
        );
        wire.send(request.as_bytes()).ok()?;
        Some(wire.read_message().ok()?.status())
    };
    let status = ask();
    Try {
        began,
        ended: Instant::now(),
        connected,
        status,
    }
}

/// Opens connections with unfinished bodies and keeps them until the crowd ends.
fn join_crowd(address: SocketAddr, number: usize, open: &AtomicUsize, over: &AtomicBool) {
    let mut wires = Vec::new();
    for member in 0..CROWD / CROWD_THREADS {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let Ok(mut wire) = Wire::connect(address, CONNECT_TIME) else {
            continue;
        };
        let request = format!(
            "POST /digest/1 HTTP/1.1\r\nHost: h.example\r\nEelgrasshill-Request-Id: crowd-{number}-{member}\r\n\
             Eelgrasshill-Request-Deadline: 20000\r\nAuthorization: Bearer key-1\r\n\
             Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\nx\r\n"
        );
        if wire.send(request.as_bytes()).is_ok() {
            open.fetch_add(1, Ordering::Relaxed);
            wires.push(wire);
        }
    }
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Starts the store, a service and a gateway that has been in touch for `contact_ms`.
fn start(record: &Record, folder: &Path) -> Result<Gateway, String> {
    let store = Store::default();
    let store_address = store.start();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    start_service(&store);
    let host = Host::new("front-yard-a-1", "yard-a", store_address);
    let gateway = Gateway::start(host, &["yard-a"], folder);
    if !gateway.wait_ready(Duration::from_secs(15)) {
        return Err("the gateway does not become ready".to_owned());
    }
    if try_once(gateway.host.callers, "first").status != Some(200) {
        return Err("no request is served before the crowd".to_owned());
    }
    record.say(&format!(
        "before: resident {} kB, most {} kB",
        gateway.status_kb("VmRSS"),
        gateway.status_kb("VmHWM")
    ));
    std::thread::sleep(CONTACT);
    Ok(gateway)
}

/// Whether a machine that says that it is ready takes new connections beside the crowd.
pub fn run(record: &Record, folder: &Path) -> Verdict {
    let mut gateway = match start(record, folder) {
        Ok(gateway) => gateway,
        Err(cause) => return Verdict::NotRun(cause),
    };
    let address = gateway.host.callers;
    let over = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicUsize::new(0));
    let tries = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let mut threads = Vec::new();
    if has_trouble() {
        for number in 0..CROWD_THREADS {
            let (open, over) = (Arc::clone(&open), Arc::clone(&over));
            threads.push(std::thread::spawn(move || join_crowd(address, number, &open, &over)));
        }
    }
    for number in 0..CONSUMERS {
        let (tries, over) = (Arc::clone(&tries), Arc::clone(&over));
        threads.push(std::thread::spawn(move || {
            let mut count = 0;
            while !over.load(Ordering::Relaxed) {
                let one = try_once(address, &format!("look-{number}-{count}"));
                tries.lock().unwrap().push(one);
                count += 1;
                std::thread::sleep(Duration::from_millis(250));
            }
        }));
    }
    // The balancer's question, once a second.
    let mut questions = Vec::new();
    while start.elapsed() < CROWD_TIME {
        let is_ready = gateway.is_ready();
        questions.push((Instant::now(), is_ready));
        record.line(&format!(
            "ready={is_ready} crowd={} resident={} kB most={} kB",
            open.load(Ordering::Relaxed),
            gateway.status_kb("VmRSS"),
            gateway.status_kb("VmHWM")
        ));
        std::thread::sleep(Duration::from_millis(980));
    }
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ended = thread.join();
    }
    let ended = gateway.child.try_wait().ok().flatten();
    if let Some(status) = ended {
        record.say(&format!("the gateway ended: {status}"));
        return Verdict::Broken;
    }
    let mut tries = std::mem::take(&mut *tries.lock().unwrap());
    tries.sort_by_key(|one| one.ended);
    for one in &tries {
        record.line(&format!(
            "try at {:.3} s: connected={} status={:?} after {} ms",
            (one.began - start).as_secs_f64(),
            one.connected,
            one.status,
            (one.ended - one.began).as_millis()
        ));
    }
    // The longest span in which the host said that it is ready and no new connection was answered.
    let mut longest = Duration::ZERO;
    let mut from = start;
    let mut answers: Vec<_> = tries.iter().filter(|one| one.status.is_some()).map(|one| one.ended).collect();
    answers.push(start + CROWD_TIME);
    let not_ready = questions.iter().filter(|(_at, is_ready)| !is_ready).map(|(at, _)| *at);
    answers.extend(not_ready);
    answers.sort();
    for at in answers {
        let failed = tries.iter().filter(|one| one.began >= from && one.ended <= at && one.status.is_none());
        if failed.count() >= 7 {
            longest = longest.max(at.saturating_duration_since(from));
        }
        from = at;
    }
    let refused = tries.iter().filter(|one| !one.connected).count();
    let silent = tries.iter().filter(|one| one.connected && one.status.is_none()).count();
    record.say(&format!(
        "tries={} answered={} not connected within {CONNECT_TIME:?}: {refused}, connected and not answered within \
         {TIME_LIMIT:?}: {silent}; longest time ready without an answer on a new connection: {} ms",
        tries.len(),
        tries.iter().filter(|one| one.status.is_some()).count(),
        longest.as_millis()
    ));
    std::thread::sleep(Duration::from_secs(2));
    record.say(&format!("after the crowd: status={:?}", try_once(address, "last").status));
    if longest > CONTACT {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// `memory_mb` of the machines of the small deployments.
const MEMORY_KB: u64 = 182 << 10;

/// Connections of the crowd that sends bodies in large chunks.
const SENDERS: usize = 1_400;

const SENDER_THREADS: usize = 4;

/// Size of a large chunk.
const CHUNK_BYTES: usize = 60_000;

/// Chunks of a body of 1.2 MB, well below `max_body_bytes`, which lacks its end.
const CHUNKS: usize = 20;

/// Time for which this crowd stays.
const SENDING_TIME: Duration = Duration::from_secs(10);

/// Sends bodies in large chunks without their end, on connections that stay open.
fn send_bodies(address: SocketAddr, number: usize, sent: &AtomicUsize, over: &AtomicBool) {
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK_BYTES, b'x');
    chunk.extend(b"\r\n");
    let chunks = chunk.repeat(CHUNKS);
    let mut members = Vec::new();
    for member in 0..SENDERS / SENDER_THREADS {
        let Ok(mut wire) = Wire::connect(address, CONNECT_TIME) else {
            continue;
        };
        let head = format!(
            "POST /digest/1 HTTP/1.1\r\nHost: h.example\r\nEelgrasshill-Request-Id: body-{number}-{member}\r\n\
             Eelgrasshill-Request-Deadline: 20000\r\nAuthorization: Bearer key-1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if wire.send(head.as_bytes()).is_ok() && wire.stream.set_nonblocking(true).is_ok() {
            members.push((wire, 0));
        }
    }
    while !over.load(Ordering::Relaxed) {
        let mut is_idle = true;
        members.retain_mut(|(wire, done)| {
            let rest = &chunks[*done..];
            if rest.is_empty() {
                return true;
            }
            match std::io::Write::write(&mut wire.stream, &rest[..rest.len().min(CHUNK_BYTES)]) {
                Ok(count) => {
                    *done += count;
                    sent.fetch_add(count, Ordering::Relaxed);
                    is_idle = false;
                    true
                }
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            }
        });
        if is_idle {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Whether the process stays within the memory of its machine.
///
/// The platform kills a process that exceeds it, and so does this run.
pub fn run_memory(record: &Record, folder: &Path) -> Verdict {
    let mut gateway = match start(record, folder) {
        Ok(gateway) => gateway,
        Err(cause) => return Verdict::NotRun(cause),
    };
    let address = gateway.host.callers;
    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut threads = Vec::new();
    if has_trouble() {
        for number in 0..SENDER_THREADS {
            let (sent, over) = (Arc::clone(&sent), Arc::clone(&over));
            threads.push(std::thread::spawn(move || send_bodies(address, number, &sent, &over)));
        }
    }
    let (consumer_over, consumer_record) = (Arc::clone(&over), record.clone());
    let consumer = std::thread::spawn(move || {
        let (mut tries, mut answered) = (0, 0);
        while !consumer_over.load(Ordering::Relaxed) {
            let one = try_once(address, &format!("look-{tries}"));
            consumer_record.line(&format!(
                "consumer: try {tries}: connected={} status={:?} after {} ms",
                one.connected,
                one.status,
                (one.ended - one.began).as_millis()
            ));
            tries += 1;
            answered += u32::from(one.status.is_some());
            std::thread::sleep(Duration::from_millis(100));
        }
        (tries, answered)
    });
    let (mut most, mut is_killed, mut next_line) = (0, false, 0.0);
    while start.elapsed() < SENDING_TIME {
        let resident = gateway.status_kb("VmRSS");
        most = most.max(resident).max(gateway.status_kb("VmHWM"));
        if start.elapsed().as_secs_f64() >= next_line {
            next_line += 0.5;
            record.line(&format!(
                "resident {resident} kB, most {most} kB, sent {} MB",
                sent.load(Ordering::Relaxed) >> 20
            ));
        }
        if most > MEMORY_KB && !is_killed {
            record.say(&format!(
                "{most} kB of {MEMORY_KB} kB after {} ms: the platform kills the process",
                start.elapsed().as_millis()
            ));
            is_killed = gateway.child.kill().is_ok();
        }
        if gateway.child.try_wait().ok().flatten().is_some() && !is_killed {
            record.say("the process ended by itself");
            is_killed = true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ended = thread.join();
    }
    let (tries, answered) = consumer.join().unwrap_or((0, 0));
    record.say(&format!(
        "most {most} kB of {MEMORY_KB} kB; ordinary tries={tries} answered={answered}"
    ));
    if is_killed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
