//! Measures the size and the encoding time of the messages between entry hosts.
//!
//! Prints one CSV line for each message, and for an exchange reply one for each number of engines.

#![expect(clippy::print_stdout, reason = "the program prints its results")]

use std::hint::black_box;
use std::time::Instant;

use eelgrasshill_peer::generated as wire;
use prost::Message;

/// The number of times that each message is encoded and decoded.
const ITERATIONS: u32 = 2_000;

/// The numbers of engines whose load one reply carries.
const ENGINE_COUNTS: [usize; 5] = [15, 60, 120, 300, 600];

fn heartbeat() -> wire::Heartbeat {
    wire::Heartbeat {
        host: "duluth-yard-117".to_owned(),
        zone: "duluth-yard".to_owned(),
        address: "10.20.30.40:9080".to_owned(),
        incarnation: 1_796_000_000_000,
        offset: 123_456,
        age: 480,
        leaving: false,
    }
}

fn cursor() -> wire::Cursor {
    wire::Cursor {
        incarnation: 1_796_000_000_000,
        change: 987_654,
    }
}

fn exchange_request() -> wire::ExchangeRequest {
    wire::ExchangeRequest {
        heartbeat: Some(heartbeat()),
        wait: 1000,
        cursor: Some(cursor()),
    }
}

fn exchange_reply(engines: usize) -> wire::ExchangeReply {
    let engine_news = |number| wire::EngineNews {
        host: format!("pole-assist-{number:03}"),
        sequence: 123_456,
        age: 640,
        running: 12,
        waiting: 3,
        report: Vec::new(),
    };
    wire::ExchangeReply {
        heartbeat: Some(heartbeat()),
        engines: (0..engines).map(engine_news).collect(),
        cursor: Some(cursor()),
        ..wire::ExchangeReply::default()
    }
}

fn borrow_request() -> wire::BorrowRequest {
    let process = |host: &str| {
        Some(wire::Process {
            host: host.to_owned(),
            incarnation: 1_796_000_000_000,
        })
    };
    let usage = wire::LoanUsage {
        granted: 123_456_789,
        until: 123_457_799,
        spent: 400_000_000,
        unspent: 100_000_000,
        refund: 50_000_000,
    };
    wire::BorrowRequest {
        organisation: "duluth-festivals".to_owned(),
        home: process("duluth-yard-12"),
        borrower: process("duluth-yard-117"),
        number: 4711,
        accepted: 4710,
        least: 500_000_000,
        most: 2_000_000_000,
        usage: vec![usage; 2],
        queue: true,
    }
}

fn measure<M: Message + Default>(name: &str, engines: usize, message: &M) {
    let bytes = message.encode_to_vec();
    let start_time = Instant::now();
    for _iteration in 0..ITERATIONS {
        black_box(message.encode_to_vec());
    }
    let encode_time = start_time.elapsed() / ITERATIONS;
    let start_time = Instant::now();
    for _iteration in 0..ITERATIONS {
        black_box(M::decode(bytes.as_slice()).is_ok());
    }
    let decode_time = start_time.elapsed() / ITERATIONS;
    println!(
        "{name},{engines},{},{},{}",
        bytes.len(),
        encode_time.as_nanos(),
        decode_time.as_nanos()
    );
}

fn main() {
    println!("message,engines,bytes,write_ns,read_ns");
    measure("exchange request", 0, &exchange_request());
    for engines in ENGINE_COUNTS {
        measure("exchange reply", engines, &exchange_reply(engines));
    }
    measure("borrow request", 0, &borrow_request());
}
