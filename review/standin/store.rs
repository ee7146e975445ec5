//! The platform's store: a log with keyed topics of one partition.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Request, read_request, reply};

/// Topics that only the operator and the engines write to.
const FOREIGN_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// The store, with all records since its start.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Starts the store and returns its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
        let address = listener.local_addr().expect("a bound listener has one");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no holder panicked");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _unchanged = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            if !reply(&mut stream, status, "", &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        match (request.method.as_str(), request.path()) {
            ("GET", "/log-read") => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                (200, self.read(topic, from, wait))
            }
            ("GET", "/log-newest") => (200, self.newest(topic).into_bytes()),
            ("POST", "/log-append") if FOREIGN_TOPICS.contains(&topic) => (403, Vec::new()),
            ("POST", "/log-append") => {
                let (status, body) = self.append(topic, number("at"), &request.body);
                (status, body.into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no holder panicked");
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = u32::try_from(1 + key.len() + value.len()).expect("small");
                    page.extend(length.to_be_bytes());
                    page.push(u8::try_from(key.len()).expect("keys are short"));
                    page.extend(key.as_bytes());
                    page.extend(value);
                }
                return page;
            }
            topics = changed
                .wait_timeout(topics, left)
                .expect("no holder panicked")
                .0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().expect("no holder panicked");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_key, (_offset, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"end":{}}}"#,
            items.join(","),
            records.len()
        )
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &[u8]) -> (u16, String) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no holder panicked");
        let records = topics.entry(topic.to_owned()).or_default();
        if at.is_some_and(|at| at != records.len() as u64) {
            return (412, format!(r#"{{"end":{}}}"#, records.len()));
        }
        let offset = records.len();
        let mut rest = body;
        while rest.len() > 4 {
            let (length, after) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
            let (record, after) = after.split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = after;
        }
        changed.notify_all();
        (
            200,
            format!(r#"{{"offset":{offset},"end":{}}}"#, records.len()),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for digit in 0..4 {
            if digit <= part.len() {
                let value = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[value as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
