//! Tests when a silent engine's stream goes to another engine.

use std::time::Duration;

use eelgrasshill_relay::{LaterAttempt, REFUSAL_WINDOW, SilencePolicy, can_go_on_in_time};

/// Time after the later engine's start in which the earlier one must have ended.
const BOUND: Duration = Duration::from_millis(400);

/// Time that a connection's end takes to the earlier engine, from a host without processor time.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Guards against two engines at work on one request, and against giving up an engine for one that
/// refuses.
#[test]
fn the_earlier_engine_is_kept_only_while_no_other_can_be_at_work_for_long() {
    let cases = [
        (LaterAttempt::NotSent, true),
        (LaterAttempt::Refused, true),
        (LaterAttempt::Unanswered(Duration::ZERO), true),
        (
            LaterAttempt::Unanswered(BOUND.saturating_sub(CLOSE_TIME)),
            false,
        ),
        (LaterAttempt::Unanswered(Duration::MAX), false),
        (LaterAttempt::MayHaveRun, false),
    ];
    for (later, is_kept) in cases {
        assert_eq!(later.keeps_earlier(), is_kept, "{later:?}");
    }
    assert!(REFUSAL_WINDOW + CLOSE_TIME <= BOUND);
}

/// Guards against giving up an engine for one whose first event would come after the deadline.
#[test]
fn a_stream_moves_only_if_its_next_engine_can_send_an_event_in_time() {
    let ms = Duration::from_millis;
    let cases = [
        (ms(15_000), ms(0), ms(100), true),
        (ms(301), ms(100), ms(200), true),
        (ms(300), ms(100), ms(200), false),
        (ms(100), Duration::MAX, ms(1), false),
        (ms(0), ms(0), ms(0), false),
    ];
    for (time_left, start_wait, prompt_time, goes_on) in cases {
        assert_eq!(
            can_go_on_in_time(time_left, start_wait, prompt_time),
            goes_on,
            "{time_left:?} {start_wait:?} {prompt_time:?}"
        );
    }
}

/// Guards against moving the stream of a sound engine that pauses, and against moving it to an engine
/// whose first event would come after the caller has left.
#[test]
fn a_silent_engine_keeps_its_stream_for_most_of_the_callers_patience() {
    let ms = Duration::from_millis;
    // Callers leave after two seconds, four objectives or eight pauses, whichever is longest.
    let cases = [
        (ms(300), Some(ms(250)), ms(2_000)),
        (ms(300), Some(ms(300)), ms(2_400)),
        (ms(1_200), None, ms(4_800)),
    ];
    for (objective, max_pause, patience) in cases {
        let policy = SilencePolicy::new(objective, max_pause);
        assert!(policy.limit() >= ms(1_400), "{objective:?}: a second or so");
        assert!(policy.limit() + ms(400) <= patience, "{objective:?}");
        let silence = policy.limit();
        let left = policy.time_to_go_on(silence, ms(10_000));
        assert_eq!(left + silence, patience, "{objective:?}");
        assert_eq!(policy.time_to_go_on(silence, ms(100)), ms(100));
        assert_eq!(policy.time_to_go_on(patience, ms(9_000)), ms(9_000));
    }
}
