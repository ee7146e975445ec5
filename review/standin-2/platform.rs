//! Stand-in of the platform's store, for the calls that the gateway makes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Message, Wire, serve};

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// The store, whose records are kept for the run.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<Topics>>,
    changed: Arc<Condvar>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..block.len()].copy_from_slice(block);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            if place <= block.len() {
                let digit = (word >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

impl Store {
    /// Starts the store on a free address.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        let store = self.clone();
        serve(listener, move |mut wire| {
            while let Ok(request) = wire.read_message() {
                if store.answer(&mut wire, &request).is_err() {
                    return;
                }
            }
        });
        address
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.changed.notify_all();
    }

    fn answer(&self, wire: &mut Wire, request: &Message) -> std::io::Result<()> {
        let topic = request.query("topic").unwrap_or("").to_owned();
        // The store takes 4 ms for an answer.
        std::thread::sleep(Duration::from_millis(4));
        if request.target().starts_with("/log-read") {
            let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
            let from = number("from").unwrap_or(0) as usize;
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
            let mut topics = self.topics.lock().unwrap();
            while topics.get(&topic).map_or(0, Vec::len) <= from {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                topics = self.changed.wait_timeout(topics, left).unwrap().0;
            }
            let empty = Vec::new();
            let records = topics.get(&topic).unwrap_or(&empty);
            let mut page = (records.len() as u64).to_be_bytes().to_vec();
            page.extend(0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                page.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                page.push(key.len() as u8);
                page.extend(key.as_bytes());
                page.extend(value);
            }
            drop(topics);
            return wire.answer(200, "", &page);
        }
        if request.target().starts_with("/log-newest") {
            let topics = self.topics.lock().unwrap();
            let empty = Vec::new();
            let records = topics.get(&topic).unwrap_or(&empty);
            let mut newest = BTreeMap::new();
            for (offset, (key, value)) in records.iter().enumerate() {
                if value.is_empty() {
                    newest.remove(key);
                } else {
                    newest.insert(key, (value, offset));
                }
            }
            let items: Vec<_> = newest
                .iter()
                .map(|(key, (value, offset))| {
                    let value = base64(value);
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                })
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
                items.join(","),
                records.len()
            );
            drop(topics);
            return wire.answer(200, "Content-Type: application/json\r\n", body.as_bytes());
        }
        if request.target().starts_with("/log-append") {
            let mut topics = self.topics.lock().unwrap();
            let records = topics.entry(topic).or_default();
            let expected = request.query("at").and_then(|text| text.parse::<usize>().ok());
            if expected.is_some_and(|at| at != records.len()) {
                let body = format!("{{\"end\":{}}}", records.len());
                drop(topics);
                return wire.answer(412, "Content-Type: application/json\r\n", body.as_bytes());
            }
            let offset = records.len();
            let mut rest = request.body.as_slice();
            while rest.len() > 4 {
                let (length, more) = rest.split_at(4);
                let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
                let (record, more) = more.split_at(length.min(more.len()));
                let key_end = 1 + usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
                records.push((key, record[key_end..].to_vec()));
                rest = more;
            }
            let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
            self.changed.notify_all();
            drop(topics);
            return wire.answer(200, "Content-Type: application/json\r\n", body.as_bytes());
        }
        wire.answer(404, "", b"")
    }
}
