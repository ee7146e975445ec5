//! Tests what error responses tell callers about whether their request ran.

use std::time::Duration;

use actix_web::ResponseError;
use eelgrasshill_entry::{ApiError, Code};

const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Guards against a status, or a time to come back, that says of a request which may have run that
/// it did not.
#[test]
fn errors_of_requests_that_may_have_run_promise_nothing() {
    struct Case {
        code: Code,
        not_run: u16,
        may_have_run: u16,
    }
    let case = |code, not_run, may_have_run| Case {
        code,
        not_run,
        may_have_run,
    };
    let cases = [
        case(Code::RateLimited, 429, 502),
        case(Code::QueueFull, 429, 502),
        case(Code::QueueTimeout, 503, 502),
        case(Code::NoUpstream, 503, 502),
        case(Code::TablesStale, 503, 502),
        case(Code::NotReady, 503, 502),
        case(Code::ClaimUnavailable, 503, 502),
        case(Code::KeyWithdrawn, 401, 401),
        case(Code::OutcomeUnknown, 409, 409),
        case(Code::UpstreamFailed, 502, 502),
        case(Code::AnswerTimeout, 504, 504),
    ];
    for case in cases {
        let refusal = ApiError::not_run(case.code, "text").with_retry_after(RETRY_AFTER);
        let later = refusal.clone().after_run();
        for (error, status, run) in [
            (refusal, case.not_run, "not-run"),
            (later, case.may_have_run, "unknown"),
        ] {
            let response = error.error_response();
            let headers = response.headers();
            let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
            assert_eq!(response.status().as_u16(), status, "{} {run}", case.code);
            assert_eq!(header("eelgrasshill-run"), Some(run), "{}", case.code);
            let retry_after = (run == "not-run").then_some("2");
            assert_eq!(header("retry-after"), retry_after, "{} {run}", case.code);
        }
    }
}
