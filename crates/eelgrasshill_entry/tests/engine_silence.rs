//! Tests that a host does not take its own delay for the silence of its engines.

mod support;

use std::time::Duration;

use actix_web::rt::spawn;
use futures_util::future::join_all;
use rustix::process::Signal;
use support::Fleet;
use support::caller::{Reply, chat};
use tokio::time::sleep;

/// Number of answers that are open during the stall.
const ANSWERS: usize = 24;

/// Tokens of each answer, which last longer than the stall.
const TOKENS: u64 = 300;

/// Stall that exceeds the idle timeout of urgent requests, which is 1 s.
const LONGER_THAN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// A host gets no processor time for longer than the idle timeout while its engines go on.
///
/// Guards against timers that are handled before the events that wait in the sockets.
#[actix_web::test]
async fn a_stalled_host_keeps_its_engines() {
    let fleet = Fleet::start_processes(1);
    let counts = |fleet: &Fleet| {
        let counts = fleet.engines.iter().map(|engine| engine.handle.counts());
        counts.fold((0, 0), |(accepted, cancelled), counts| {
            (accepted + counts.accepted, cancelled + counts.cancelled)
        })
    };
    let answers: Vec<_> = (0..ANSWERS)
        .map(|number| {
            let url = fleet.processes[0].url("");
            spawn(async move { chat(&url, None, "tags", &format!("x{number}"), TOKENS).await })
        })
        .collect();
    // Checks for 2 s.
    for _check in 0..200 {
        if counts(&fleet).0 == ANSWERS as u64 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(counts(&fleet), (ANSWERS as u64, 0), "before the stall");
    // The first tokens of all answers arrive.
    sleep(Duration::from_millis(200)).await;
    fleet.processes[0].signal(Signal::STOP);
    sleep(LONGER_THAN_IDLE_TIMEOUT).await;
    fleet.processes[0].signal(Signal::CONT);
    let replies: Vec<Reply> = join_all(answers)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let incomplete: Vec<_> = replies
        .iter()
        .filter(|reply| !reply.is_complete())
        .collect();
    assert!(incomplete.is_empty(), "{incomplete:?}");
    let (accepted, cancelled) = counts(&fleet);
    assert_eq!(
        (accepted, cancelled),
        (ANSWERS as u64, 0),
        "runs and cancelled runs of {ANSWERS} answers: an engine was given up"
    );
}
