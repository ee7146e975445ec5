//! Tests which requests a leaving host still takes.

use std::time::Duration;

use eelgrasshill_relay::is_admitted_late;

/// Guards against taking requests that the end of the grace time would cut off.
#[test]
fn a_late_request_is_taken_only_if_it_must_end_before_the_host_closes() {
    struct Case {
        name: &'static str,
        grace_s: u64,
        elapsed_ms: u64,
        limit_ms: u64,
        admitted: bool,
    }
    let case = |name, grace_s, elapsed_ms, limit_ms, admitted| Case {
        name,
        grace_s,
        elapsed_ms,
        limit_ms,
        admitted,
    };
    let cases = [
        case("a stream at once", 8, 0, 15_000, true),
        case("a stream while the balancer checks", 8, 2_700, 15_000, true),
        case("a stream after that", 8, 3_000, 15_000, false),
        case("a short call late", 8, 6_500, 1_000, true),
        case("a call that fits no more", 8, 6_600, 1_000, false),
        case("a longer call", 8, 4_500, 3_000, true),
        case("a longer call, later", 8, 4_700, 3_000, false),
        case("a short grace time", 3, 1_100, 3_000, false),
        case("no limit", 8, 5_000, u64::MAX, false),
    ];
    for case in cases {
        let grace = Duration::from_secs(case.grace_s);
        let elapsed = Duration::from_millis(case.elapsed_ms);
        let until_close = grace.saturating_sub(elapsed + Duration::from_millis(350));
        let limit = Duration::from_millis(case.limit_ms);
        assert_eq!(
            is_admitted_late(elapsed, grace, until_close, limit),
            case.admitted,
            "{}",
            case.name
        );
    }
}
