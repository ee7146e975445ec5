//! Model engines and plain services that register themselves in the store.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::net::{Request, read_request, reply};
use crate::note;
use crate::store::Store;

/// `heartbeat_ms` of the platform.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that an engine takes to load a model.
const LOAD_TIME: Duration = Duration::from_millis(1_200);

/// Answers a request that the engine accepted; returns whether the connection stays open.
pub type Handler = dyn Fn(&Engine, &Request, &mut TcpStream) -> bool + Send + Sync;

/// An engine or a plain server.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    /// Whether it loads models.
    is_model_engine: bool,
    models: Mutex<Vec<String>>,
    busy: AtomicBool,
    orders: AtomicU64,
    sequence: AtomicU64,
    store: Store,
}

/// What a server is started with.
pub struct EngineSetup<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    /// Models that it holds; none for a plain service.
    pub models: Option<&'a [&'a str]>,
}

impl Engine {
    /// Starts an engine.
    pub fn start(setup: &EngineSetup<'_>, store: &Store, handler: Arc<Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let models = setup.models.unwrap_or_default().iter();
        let engine = Arc::new(Self {
            id: setup.id.to_owned(),
            service: setup.service.to_owned(),
            zone: setup.zone.to_owned(),
            address: listener.local_addr().expect("a bound listener has one"),
            born: born.as_millis() as u64,
            is_model_engine: setup.models.is_some(),
            models: Mutex::new(models.map(ToString::to_string).collect()),
            busy: AtomicBool::new(false),
            orders: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            store: store.clone(),
        });
        note!(
            "server {} ({}) starts at {}",
            engine.id,
            engine.service,
            engine.address
        );
        let accepting = Arc::clone(&engine);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, handler) = (Arc::clone(&accepting), Arc::clone(&handler));
                std::thread::spawn(move || engine.serve(stream, &handler));
            }
        });
        let beating = Arc::clone(&engine);
        std::thread::spawn(move || {
            loop {
                beating.register();
                std::thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{},"stage":"colocated","models":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.born,
            self.model_list()
        );
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    fn model_list(&self) -> String {
        let models = self.models.lock().expect("no holder panicked");
        let models: Vec<_> = models
            .iter()
            .map(|name| format!(r#"{{"name":"{name}","version":1,"adapters":[]}}"#))
            .collect();
        format!("[{}]", models.join(","))
    }

    /// Headers of each answer.
    pub fn answer_headers(&self, request: &Request) -> String {
        format!(
            "eelgrasshill-request-id: {}\r\neelgrasshill-server-seal: seal-{}\r\n",
            request.header("eelgrasshill-request-id"),
            self.id
        )
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, handler: &Arc<Handler>) {
        let _unchanged = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            let stays = match (request.method.as_str(), request.path()) {
                ("GET", "/report") if self.is_model_engine => {
                    let report = self.report();
                    reply(
                        &mut stream,
                        200,
                        "content-type: application/json\r\n",
                        report.as_bytes(),
                    )
                }
                ("POST", "/order") if self.is_model_engine => {
                    let status = self.order(&request);
                    reply(&mut stream, status, "", b"")
                }
                _ if request.header("eelgrasshill-expect-instance") != self.id => {
                    let headers = self.answer_headers(&request);
                    reply(&mut stream, 421, &headers, b"")
                }
                _ => handler(self, &request, &mut stream),
            };
            if !stays {
                return;
            }
        }
    }

    fn report(&self) -> String {
        format!(
            r#"{{"stage":"colocated","models":{},"busy":{},"sequence":{},"waiting":0,"running":1,"kv_used":1000,"kv_total":153264,"handles":0}}"#,
            self.model_list(),
            self.busy.load(Ordering::SeqCst),
            self.orders.load(Ordering::SeqCst)
        )
    }

    /// Accepts an order if it is for this engine and its precondition holds.
    fn order(self: &Arc<Self>, request: &Request) -> u16 {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        note!("server {} gets the order {body}", self.id);
        if request.header("eelgrasshill-expect-instance") != self.id {
            return 421;
        }
        let is_current = json_number(&body, "precondition")
            .is_none_or(|expected| expected == self.orders.load(Ordering::SeqCst));
        if !is_current || self.busy.load(Ordering::SeqCst) {
            return 409;
        }
        let Some(model) = json_text(&body, "model") else {
            return 400;
        };
        if json_text(&body, "adapter").is_some() {
            return 400;
        }
        let mut models = self.models.lock().expect("no holder panicked");
        let is_held = models.contains(&model);
        self.orders.fetch_add(1, Ordering::SeqCst);
        match json_text(&body, "op_type").as_deref() {
            Some("load") if is_held => 200,
            Some("load") => {
                // The model counts as held from the end of the load on.
                drop(models);
                self.busy.store(true, Ordering::SeqCst);
                self.finish_load(model);
                202
            }
            Some("unload") => {
                models.retain(|held| *held != model);
                202
            }
            _ => 400,
        }
    }

    fn finish_load(self: &Arc<Self>, model: String) {
        let engine = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(LOAD_TIME);
            engine
                .models
                .lock()
                .expect("no holder panicked")
                .push(model);
            engine.busy.store(false, Ordering::SeqCst);
            engine.register();
        });
    }
}

fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_before, after) = text.split_once(&format!("\"{name}\":"))?;
    Some(after.trim_start())
}

fn json_text(text: &str, name: &str) -> Option<String> {
    let value = json_field(text, name)?.strip_prefix('"')?;
    Some(value.split('"').next()?.to_owned())
}

fn json_number(text: &str, name: &str) -> Option<u64> {
    let value = json_field(text, name)?;
    let digits = value
        .find(|digit: char| !digit.is_ascii_digit())
        .unwrap_or(value.len());
    value[..digits].parse().ok()
}
