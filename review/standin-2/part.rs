//! A part of a prompt crashes the engines while they also fail some requests: is it kept away?

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{Gateway, Host};
use crate::net::{Message, Wire};
use crate::platform::Store;
use crate::{Record, Verdict, has_trouble};

const ZONES: [&str; 3] = ["yard-a", "yard-b", "yard-c"];

/// Engines, as on the sheet.
const ENGINES: usize = 12;

/// The part that crashes engines, which is neither the first nor the last of its prompt.
const BAD_PART: &str = "bad0";

/// Time after which a crashed engine is back.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Pause between two requests with the part, over all hosts.
const BAD_PAUSE: Duration = Duration::from_millis(100);

/// Requests with the part that come at once at the start, over all hosts.
const FIRST_WAVE: usize = 9;

/// Pause between two sound requests, over all hosts.
const SOUND_PAUSE: Duration = Duration::from_millis(60);

/// The engines fail 45 of 100 requests for 4 s, as in the site file (`srv_grey`, `errors all`).
const FAILED_PERCENT: u64 = 45;
const FAILING_TIME: Duration = Duration::from_secs(4);

/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Requests with the part that may reach engines later than that after the fifth crash.
const ALLOWED: usize = 3;

/// Time for which requests with the part come.
const RUN_TIME: Duration = Duration::from_secs(15);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"digest","host":"h.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":20000,
"target_latency_ms":3000,"priority":1,"service":"llm","max_attempts":1,"anonymous":false,
"sticky":true,"resumable":false,"gap_aim_ms":250}],
"services":[{"name":"llm","health_path":"/health","max_connections":643,"engine":{"slots":48,
"kv_tokens":150587,"models":[{"name":"m0","weights_mb":72700.0,"load_s":4.2,"adapters":0,
"adapter_mb":66.0}],"weights_mb":200000.0,"adapter_slots":8,"loads_per_s":2.2}}],
"tenants":[{"name":"org","api_keys":["key-1"],"rate_per_s":0,"burst":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// What the engines have seen.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    // Requests with the part that reached an engine.
    arrivals: Vec<Instant>,
    failed: u64,
    finished: u64,
}

struct Engine {
    id: String,
    address: SocketAddr,
    // Number of this start of the engine; an earlier start answers nothing more.
    start: AtomicU64,
    seen: Arc<Mutex<Seen>>,
    is_failing: Arc<AtomicBool>,
    draws: AtomicU64,
}

impl Engine {
    fn entry(&self, number: usize) -> String {
        let born = 1_765_000_000_000_u64 + self.start.load(Ordering::SeqCst) * 10_000;
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":48,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"sequence\":0,\"born\":{born}}}",
            self.address,
            ZONES[number % ZONES.len()]
        )
    }

    /// Listens until the engine crashes, and again when it is back.
    fn run(self: Arc<Self>, number: usize, store: Store) {
        loop {
            let start = self.start.load(Ordering::SeqCst);
            let listener = TcpListener::bind(self.address).expect("the engine's address is free");
            listener.set_nonblocking(true).expect("a listener can be non-blocking");
            store.put("keyed.servers", &self.id, self.entry(number).as_bytes());
            while self.start.load(Ordering::SeqCst) == start {
                match listener.accept() {
                    Ok((stream, _peer)) => {
                        let _ignored = stream.set_nonblocking(false);
                        let engine = Arc::clone(&self);
                        std::thread::spawn(move || engine.serve(Wire::new(stream), start));
                    }
                    Err(_none) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            std::thread::sleep(RESTART_TIME);
        }
    }

    fn is_up(&self, start: u64) -> bool {
        self.start.load(Ordering::SeqCst) == start
    }

    fn serve(&self, mut wire: Wire, start: u64) {
        // An idle connection ends with its engine.
        wire.set_timeout(Duration::from_secs(4));
        while let Ok(request) = wire.read_message() {
            if !self.is_up(start) || self.answer(&mut wire, &request, start).is_none() {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, request: &Message, start: u64) -> Option<()> {
        if request.target().starts_with("/report") {
            let report = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\
                          \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\
                          \"kv_total\":150587,\"handles\":0}";
            return wire
                .answer(200, "Content-Type: application/json\r\n", report.as_bytes())
                .ok();
        }
        if request.target().starts_with("/order") {
            return wire.answer(409, "", b"").ok();
        }
        let id = request.header("eelgrasshill-request-id");
        if request.header("eelgrasshill-expect-instance") != self.id {
            return wire.answer(421, "Connection: close\r\n", b"").ok();
        }
        let headers = format!(
            "Eelgrasshill-Request-Id: {id}\r\nEelgrasshill-Server-Seal: {}\r\n",
            self.id
        );
        let is_bad = request
            .header("eelgrasshill-prompt-prefix")
            .contains(BAD_PART);
        if is_bad {
            self.seen.lock().unwrap().arrivals.push(Instant::now());
        }
        let draw = self.draws.fetch_add(37, Ordering::Relaxed) % 100;
        if self.is_failing.load(Ordering::SeqCst) && draw < FAILED_PERCENT {
            self.seen.lock().unwrap().failed += 1;
            return wire.answer(500, &headers, b"error").ok();
        }
        // The prompt is read.
        std::thread::sleep(Duration::from_millis(30));
        if !self.is_up(start) {
            return None;
        }
        if is_bad {
            let next = self
                .start
                .compare_exchange(start, start + 1, Ordering::SeqCst, Ordering::SeqCst);
            if next.is_ok() {
                self.seen.lock().unwrap().crashes.push(Instant::now());
            }
            return None;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        wire.send(head.as_bytes()).ok()?;
        for event in 1..=10 {
            let text = format!("id: {event}\ndata: words\n\n");
            wire.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
            std::thread::sleep(Duration::from_millis(20));
            if !self.is_up(start) {
                return None;
            }
        }
        wire.send(b"0\r\n\r\n").ok()?;
        self.seen.lock().unwrap().finished += 1;
        Some(())
    }
}

/// Sends one request; returns its status, and whether its stream was complete.
fn ask(address: SocketAddr, id: &str, part: &str) -> Option<(u16, bool)> {
    let mut wire = Wire::connect(address, Duration::from_secs(1)).ok()?;
    wire.set_timeout(Duration::from_secs(5));
    let request = format!(
        "POST /digest/1 HTTP/1.1\r\nHost: h.example\r\nEelgrasshill-Request-Id: {id}\r\n\
         Eelgrasshill-Request-Deadline: 20000\r\nAuthorization: Bearer key-1\r\nEelgrasshill-Model: m0\r\n\
         Eelgrasshill-Token-Count: 400,50\r\nEelgrasshill-Prompt-Prefix: aa01:200,{part}:120,{id}:80\r\n\
         Content-Length: 5\r\nConnection: close\r\n\r\nhello"
    );
    wire.send(request.as_bytes()).ok()?;
    let head = wire.read_head().ok()?;
    if head.header("transfer-encoding") != "chunked" {
        return Some((head.status(), true));
    }
    loop {
        match wire.read_chunk() {
            Ok(chunk) if chunk.is_empty() => return Some((head.status(), true)),
            Ok(_chunk) => {}
            Err(_broken) => return Some((head.status(), false)),
        }
    }
}

pub fn run(record: &Record, folder: &Path) -> Verdict {
    let store = Store::default();
    let store_address = store.start();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let seen = Arc::new(Mutex::new(Seen::default()));
    let is_failing = Arc::new(AtomicBool::new(false));
    for number in 0..ENGINES {
        let engine = Arc::new(Engine {
            id: format!("i-e{number}"),
            address: crate::net::free_address(),
            start: AtomicU64::new(1),
            seen: Arc::clone(&seen),
            is_failing: Arc::clone(&is_failing),
            draws: AtomicU64::new(number as u64 * 29),
        });
        let store = store.clone();
        std::thread::spawn(move || engine.run(number, store));
    }
    let mut gateways = Vec::new();
    for zone in ZONES {
        let host = Host::new(&format!("front-{zone}-1"), zone, store_address);
        gateways.push(Gateway::start(host, &ZONES, folder));
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        return Verdict::NotRun("not all gateways become ready".to_owned());
    }
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.host.callers).collect();
    std::thread::sleep(CONTACT);
    let over = Arc::new(AtomicBool::new(false));
    let has_bad = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for (name, pause) in [("bad", BAD_PAUSE), ("sound", SOUND_PAUSE)] {
        let (addresses, over, has_bad) = (addresses.clone(), Arc::clone(&over), Arc::clone(&has_bad));
        let record = record.clone();
        senders.push(std::thread::spawn(move || {
            let mut count = 0;
            while !over.load(Ordering::SeqCst) {
                if name == "bad" && !has_bad.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                    continue;
                }
                if name != "bad" || count >= FIRST_WAVE {
                    std::thread::sleep(pause);
                }
                let (id, address) = (format!("{name}{count}"), addresses[count % addresses.len()]);
                count += 1;
                let record = record.clone();
                std::thread::spawn(move || {
                    let part = if name == "bad" { BAD_PART } else { "bb02" };
                    let answer = ask(address, &id, part);
                    record.line(&format!("{id}: {answer:?}"));
                });
            }
        }));
    }
    std::thread::sleep(CONTACT);
    let start = Instant::now();
    if has_trouble() {
        record.line("the engines fail some requests");
        is_failing.store(true, Ordering::SeqCst);
    }
    record.say("requests with the part begin");
    has_bad.store(true, Ordering::SeqCst);
    std::thread::sleep(FAILING_TIME);
    if is_failing.swap(false, Ordering::SeqCst) {
        record.line("the engines fail no more requests");
    }
    std::thread::sleep(RUN_TIME.saturating_sub(start.elapsed()));
    over.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ended = sender.join();
    }
    let seen = seen.lock().unwrap();
    for (number, crash) in seen.crashes.iter().enumerate() {
        record.line(&format!("crash {} at {:.3} s", number + 1, (*crash - start).as_secs_f64()));
    }
    for arrival in &seen.arrivals {
        record.line(&format!("a request with the part reached an engine at {:.3} s", (*arrival - start).as_secs_f64()));
    }
    let fifth = seen.crashes.get(4).copied();
    let late = seen
        .arrivals
        .iter()
        .filter(|at| fifth.is_some_and(|fifth| **at > fifth + CONTACT))
        .count();
    record.say(&format!(
        "crashes={} failed={} whole streams={} arrivals with the part={}, of them {late} later than {} ms after the fifth crash",
        seen.crashes.len(),
        seen.failed,
        seen.finished,
        seen.arrivals.len(),
        CONTACT.as_millis()
    ));
    if seen.finished < 20 {
        return Verdict::NotRun("few sound requests were served".to_owned());
    }
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
