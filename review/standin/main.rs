//! Stand-ins and scripts of the review's cases.
//!
//! `standin CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. `TROUBLE=0` leaves the disruption out.

mod consumer;
mod deployment;
mod engine;
mod gateway;
mod net;
mod promise;
mod record;
mod resumed;
mod stopping;
mod store;
mod uploads;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

/// A script runs for 120 s at most.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_program, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    record::start(path);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        note!("the case took too long");
        // The gateways end with this process.
        std::process::exit(2);
    });
    note!("case {case}, trouble={trouble}");
    let verdict = run(case, trouble, &folder);
    note!("verdict: {verdict:?}");
    println!("{case}: {verdict:?}");
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _left = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}

fn run(case: &str, trouble: bool, folder: &Path) -> Verdict {
    match case {
        "promise" => promise::run(trouble, folder),
        "resumed" => resumed::run(trouble, folder),
        "stopping" => stopping::run(trouble, folder),
        "uploads" => uploads::run(trouble, folder),
        _ => {
            eprintln!("unknown case {case}");
            Verdict::CannotRun
        }
    }
}
