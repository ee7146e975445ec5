//! Cost of a pick with its two notes, by the engines that hold the model.

#![expect(clippy::print_stdout, reason = "an example prints its result")]

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrasshill_domain::{HostName, ModelName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    AdmissionLimits, EnginePicker, EngineSpeeds, OrganisationHash, PickCandidate, PromptQuery,
    RequestIdentity, SoftwareVersion, Ticket, Upstream,
};

const PICKS: u64 = 20_000;

/// Streams that run on each engine meanwhile.
const STREAMS_PER_ENGINE: u64 = 6;

const HOLDERS: [usize; 4] = [1, 6, 60, 200];

/// Organisations that send by turns.
const ORGANISATIONS: u64 = 200;

fn main() {
    for late_queue in [0, 64] {
        for holders in HOLDERS {
            measure(holders, late_queue);
        }
    }
}

/// Measures a pick; with a late queue the rules of admission are in force.
fn measure(holders: usize, late_queue: u32) {
    let pool = PoolName::new("p").expect("the name is valid");
    let model = ModelName::new("m").expect("the name is valid");
    let candidate = |number| PickCandidate {
        upstream: Arc::new(Upstream {
            id: HostName::new(&format!("e{number}")).expect("the name is valid"),
            pool: pool.clone(),
            zone: ZoneName::new("z").expect("the name is valid"),
            address: ([127, 0, 0, 1], 80).into(),
            slots: 12,
            leaving: false,
            started_ms: 1,
            holdings: Vec::new(),
            memory: Vec::new(),
            disk: Vec::new(),
            cold_remaining: Duration::ZERO,
            software: SoftwareVersion::default(),
        }),
        cost: Duration::ZERO,
    };
    let candidates: Vec<_> = (0..holders).map(candidate).collect();
    let mut speeds = EngineSpeeds::new(38);
    let mut picker = EnginePicker::new(AdmissionLimits {
        late_queue,
        has_shares: late_queue > 0,
    });
    let running = STREAMS_PER_ENGINE * u64::try_from(holders).expect("few engines");
    let start_time = Instant::now();
    for number in 0..PICKS {
        let now = Moment(1_000 + number);
        let query = PromptQuery {
            ticket: Ticket(number),
            pool: pool.clone(),
            model: model.clone(),
            rank: 0,
            tokens: 800,
            objective: Duration::from_millis(400),
            elapsed: Duration::ZERO,
            max_interruption: Duration::from_millis(220),
            remaining: Duration::from_secs(12),
            patience: Duration::from_secs(2),
            identity: Some(RequestIdentity(number + 1)),
            organisation: Some(OrganisationHash(number % ORGANISATIONS + 1)),
            output_tokens: 0,
        };
        let pick = picker.pick(&query, &candidates, &speeds, |_count| 0, now);
        black_box(pick);
        picker.note_answer(Ticket(number), Duration::from_millis(30), now, &mut speeds);
        if number >= running {
            picker.note_end(Ticket(number - running), now);
        }
    }
    let micros = start_time.elapsed().as_secs_f64() * 1e6 / f64::from(20_000_u32);
    println!("{holders} engines with the model, late queue {late_queue}: {micros:.1} us");
}
