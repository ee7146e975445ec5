//! Tests that folds which start at different records agree on the winner of a key.

use std::time::Duration;

use eelgrasshill_control::{
    CallDigest, CallOutcome, Claim, ClaimBatch, ClaimBounds, ClaimFold, ClaimId, ClaimRecord,
    Delta, LogEntry, LogTime, Process, Verdict,
};
use eelgrasshill_domain::{AppendId, HostName, Incarnation, Offset};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::claims_simulation::key;

/// The retention of the log; keys are remembered for half of it.
const RETENTION_MS: u64 = 800;

fn claim(seq: u64) -> Claim {
    let process = Process {
        address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    Claim {
        id: ClaimId { process, seq },
        key: key(0),
        organisation: None,
        request: CallDigest::new(&[]),
        host: HostName::new("entry").unwrap(),
    }
}

fn new_fold() -> ClaimFold {
    ClaimFold::new(ClaimBounds::new(Duration::from_millis(RETENTION_MS)))
}

/// Returns random records of one key.
///
/// Gaps of up to 449 ms exceed the key retention of 400 ms, so the key is
/// sometimes forgotten and sometimes just remembered.
fn random_entries(rng: &mut StdRng) -> Vec<LogEntry<ClaimBatch>> {
    let mut now = 0;
    let mut claims = 0;
    let mut full_fold = new_fold();
    (1..60)
        .map(|offset| {
            now += rng.random_range(0..450);
            let picked = claim(rng.random_range(0..claims.max(1)));
            let id = picked.id;
            let record = match rng.random_range(0..10) {
                // The call of a winning claim may have run, so it is never aborted.
                0..3 if full_fold.verdict(&picked) != Some(Verdict::Won) => {
                    ClaimRecord::Abort { id, key: key(0) }
                }
                3..4 if full_fold.verdict(&picked) == Some(Verdict::Won) => ClaimRecord::Outcome {
                    id,
                    key: key(0),
                    outcome: CallOutcome::Unknown,
                },
                4..5 => ClaimRecord::Claim(picked),
                _ => {
                    claims += 1;
                    ClaimRecord::Claim(claim(claims - 1))
                }
            };
            let stored = LogEntry {
                offset: Offset(offset),
                at: LogTime(now),
                id: AppendId::new(&format!("a{offset}")).unwrap(),
                record: ClaimBatch {
                    records: vec![record],
                },
            };
            full_fold.apply(&stored);
            stored
        })
        .collect()
}

/// Starts one more fold at each record, and checks that none lets another claim win.
///
/// A claim that wins in one of them must win in the fold over all records.
fn check(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let entries = random_entries(&mut rng);
    let mut full_fold = new_fold();
    let mut late_folds: Vec<ClaimFold> = Vec::new();
    for (index, stored) in entries.iter().enumerate() {
        full_fold.apply(stored);
        for fold in &mut late_folds {
            fold.apply(stored);
        }
        let oldest = LogTime(stored.at.0.saturating_sub(RETENTION_MS));
        let start = entries.partition_point(|stored| stored.at < oldest);
        let page = Delta::new(entries[start].offset, entries[start..=index].to_vec());
        let mut fold = new_fold();
        fold.read(entries[start].offset, oldest, &page);
        late_folds.push(fold);
        for seq in 0..60 {
            let claim = claim(seq);
            let is_won = |fold: &ClaimFold| fold.verdict(&claim) == Some(Verdict::Won);
            let is_alone = late_folds.iter().any(is_won) && !is_won(&full_fold);
            assert!(
                !is_alone,
                "seed {seed}: claim {seq} wins at record {index} only in a fold that started late"
            );
        }
    }
}

#[test]
fn late_started_folds_let_no_other_claim_win() {
    (0..300).for_each(check);
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(100)
        .for_each(|seed| check(*seed));
}
