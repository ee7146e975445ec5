//! Measures the time from a takeover to the successor's first intents.
//!
//! It compares a successor that polled the engines before with one that starts to poll when it
//! acquires the lease. Both poll every engine at that time.

use std::sync::Arc;

use eelgrasshill_domain::{HostName, Moment, Offset};
use eelgrasshill_placement::{Controller, Effect, Event, LeaseEntry, LeaseRecord, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::bench::{DeploymentProfile, engines, named, perform};

/// Length of a step, in ms, which is the one-way network latency.
const STEP_MS: u64 = 2;
/// Interval between two polls of the engines, in ms.
const POLL_MS: u64 = 500;
/// Simulated time of one run, in ms.
const RUN_MS: u64 = 60_000;
/// Number of simulated takeovers.
const TAKEOVERS: u64 = 40;

/// Returns the measured times, in ms, one per seed.
///
/// A run without intents before its end is left out.
pub fn takeover_times(polled_before: bool) -> Vec<u64> {
    (0..TAKEOVERS)
        .filter_map(|seed| takeover_time(polled_before, seed))
        .collect()
}

fn takeover_time(polled_before: bool, seed: u64) -> Option<u64> {
    let deployment = DeploymentProfile::lakeshore();
    let (tables, zones) = (deployment.tables(), deployment.zones());
    let mut engines = engines(&tables);
    let old: HostName = named("former");
    let claim = LeaseRecord::Claim {
        host: old,
        after: None,
    };
    let mut log = vec![LeaseEntry {
        offset: Offset(0),
        id: named("a"),
        record: claim,
    }];
    let mut controller = Controller::new(Settings::new(named("entry"), zones[0].clone(), zones));
    let mut events = vec![Event::Tables(Arc::new(tables))];
    let mut rng = StdRng::seed_from_u64(seed);
    let other_polls_offset_ms = rng.random_range(0..POLL_MS / STEP_MS) * STEP_MS;
    let mut next_poll = rng.random_range(0..POLL_MS);
    let mut acquired_at = None;
    let mut requested_at = Vec::new();
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        events.push(Event::Tick);
        let polls = polled_before || acquired_at.is_some();
        if now % POLL_MS == other_polls_offset_ms {
            // Other hosts poll as well, so that both variants get equally old cached reports.
            for engine in engines.values_mut() {
                engine.report(now);
            }
        }
        // Deliver the reports that were requested one round trip ago.
        for at in requested_at.extract_if(.., |at| now >= *at + 2 * STEP_MS) {
            for engine in engines.values_mut() {
                events.push(Event::Report {
                    report: engine.report(now - STEP_MS),
                    requested_at: Moment(at),
                });
            }
        }
        if polls && now >= next_poll {
            requested_at.push(now);
            next_poll = now + POLL_MS;
        }
        for event in std::mem::take(&mut events) {
            for effect in controller.handle(event, Moment(now)) {
                match &effect {
                    Effect::Acquired(_fence) => {
                        acquired_at = Some(now);
                        next_poll = now;
                    }
                    Effect::Append {
                        record: LeaseRecord::Intent { .. },
                        ..
                    } => {
                        return acquired_at.map(|at| now - at);
                    }
                    _ => {}
                }
                perform(effect, &mut engines, &mut log, &mut events, now);
            }
        }
    }
    None
}
