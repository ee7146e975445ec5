//! Tests that the demand for a model counts what binds its engines, slots or prompts.

use std::time::Duration;

use eelgrasshill_domain::{PoolName, RouteName};
use eelgrasshill_relay::AnswerTimes;

struct Case {
    name: &'static str,
    prompt_ms: u64,
    /// Times of the answers that ended.
    answers_ms: &'static [u64],
    slots: Option<u32>,
    work_ms: u64,
}

const CASES: [Case; 6] = [
    Case {
        name: "long answers, few slots: an engine serves six a second",
        prompt_ms: 21,
        answers_ms: &[1_900; 20],
        slots: Some(12),
        work_ms: 160,
    },
    Case {
        name: "long prompts, many slots",
        prompt_ms: 124,
        answers_ms: &[200; 20],
        slots: Some(64),
        work_ms: 134,
    },
    Case {
        name: "short answers, few slots",
        prompt_ms: 62,
        answers_ms: &[160; 20],
        slots: Some(12),
        work_ms: 72,
    },
    Case {
        name: "no answer has ended",
        prompt_ms: 21,
        answers_ms: &[],
        slots: Some(12),
        work_ms: 31,
    },
    Case {
        name: "unknown slots",
        prompt_ms: 21,
        answers_ms: &[1_900; 20],
        slots: None,
        work_ms: 31,
    },
    Case {
        name: "answers become longer",
        prompt_ms: 21,
        answers_ms: &[
            200, 3_800, 3_800, 3_800, 3_800, 3_800, 3_800, 3_800, 3_800, 3_800, 3_800, 3_800,
        ],
        slots: Some(12),
        work_ms: 170,
    },
];

#[test]
fn work_follows_from_what_binds_the_engine() {
    let pool = PoolName::new("p").expect("the name is valid");
    let route = RouteName::new("r").expect("the name is valid");
    for case in &CASES {
        let mut times = AnswerTimes::default();
        for answer_ms in case.answers_ms {
            times.record(&pool, &route, Duration::from_millis(*answer_ms));
        }
        let prompt_time = Duration::from_millis(case.prompt_ms);
        let work = times.work(&pool, &route, prompt_time, case.slots);
        assert_eq!(work.as_millis(), u128::from(case.work_ms), "{}", case.name);
    }
}
