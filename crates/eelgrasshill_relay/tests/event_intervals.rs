//! Tests that the usual interval between events is learned despite interruptions.

use std::time::Duration;

use eelgrasshill_domain::PoolName;
use eelgrasshill_relay::EventIntervals;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Largest part by which a learned interval may differ from the true one.
const TOLERANCE: f64 = 0.2;

struct Case {
    name: &'static str,
    interval_ms: u64,
    /// Intervals per thousand that a prompt makes longer.
    interrupted: u32,
    /// Events per thousand that arrive together with the one before.
    together: u32,
}

const CASES: [Case; 4] = [
    Case {
        name: "nothing interrupts",
        interval_ms: 18,
        interrupted: 0,
        together: 0,
    },
    Case {
        name: "prompts interrupt a tenth",
        interval_ms: 18,
        interrupted: 100,
        together: 0,
    },
    Case {
        name: "long events, prompts interrupt a third",
        interval_ms: 78,
        interrupted: 330,
        together: 0,
    },
    Case {
        name: "a third of the events arrive together",
        interval_ms: 35,
        interrupted: 100,
        together: 330,
    },
];

#[test]
fn the_usual_interval_is_learned() {
    let pool = PoolName::new("p").expect("the name is valid");
    for case in &CASES {
        let mut random = StdRng::seed_from_u64(1);
        let mut intervals = EventIntervals::default();
        // The first interval is a wrong one.
        intervals.record(&pool, Duration::from_millis(case.interval_ms * 5));
        for _event in 0..2_000 {
            let draw = random.random_range(0..1_000);
            let ms = if draw < case.together {
                0
            } else if draw < case.together + case.interrupted {
                case.interval_ms + random.random_range(50..400)
            } else {
                case.interval_ms
            };
            intervals.record(&pool, Duration::from_millis(ms));
        }
        let ratio = intervals.usual(&pool).as_secs_f64() * 1_000.0
            / f64::from(u32::try_from(case.interval_ms).expect("the interval is short"));
        assert!(
            (ratio - 1.0).abs() <= TOLERANCE,
            "{}: {:?}",
            case.name,
            intervals.usual(&pool)
        );
    }
}

#[test]
fn nothing_is_known_of_a_pool_without_events() {
    let pool = PoolName::new("p").expect("the name is valid");
    assert_eq!(EventIntervals::default().usual(&pool), Duration::ZERO);
}
