//! Applies what upstreams say of themselves in their answers.
//!
//! An upstream may say that it is leaving, in any answer, and a full one may ask for rest. The
//! relay crate decides what follows; here each decision is logged and counted.

use std::time::Duration;

use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{LeavingNotice, Upstream};

use crate::codec::PlatformCodec;
use crate::shared::Shared;
use crate::telemetry;

/// Takes an upstream that says it is leaving out of use, here and, by the exchange, elsewhere.
///
/// `answered` names the request or call whose answer said so.
pub(crate) fn note_leaving<C: PlatformCodec>(
    shared: &Shared<C>,
    upstream: &Upstream,
    answered: &str,
) {
    let notice = LeavingNotice {
        engine: upstream.id.clone(),
        started_ms: upstream.started_ms,
    };
    let is_new = shared
        .state()
        .upstreams
        .note_leaving(notice, BootClock.now());
    if is_new {
        telemetry::count_upstream_signal("leaving");
        log::info!(
            "upstreams: id={} started={} says in its answer to {answered} that it leaves",
            upstream.id,
            upstream.started_ms
        );
    }
}

/// Limits the requests of all hosts to an upstream that says it is cold.
///
/// `answered` names the request or call whose answer said so.
pub(crate) fn note_cold<C: PlatformCodec>(
    shared: &Shared<C>,
    upstream: &Upstream,
    remaining: Duration,
    answered: &str,
) {
    let now = BootClock.now();
    let is_new = shared.state().rests.cold.note(upstream, remaining, now);
    if is_new {
        telemetry::count_upstream_signal("cold");
        log::info!(
            "upstreams: id={} says in its answer to {answered} that it stays cold for {} ms",
            upstream.id,
            remaining.as_millis()
        );
    }
}

/// Sends an upstream that asks for rest no requests of this host for that time.
pub(crate) fn note_rest<C: PlatformCodec>(
    shared: &Shared<C>,
    upstream: &Upstream,
    asked: Duration,
    request_id: &str,
) {
    let now = BootClock.now();
    let granted = shared
        .state()
        .rests
        .note(upstream, asked, rand::random(), now);
    telemetry::count_upstream_signal("rest");
    log::info!(
        "upstreams: id={} refused request {request_id} and asks for rest of {} ms, \
         gets no requests for {} ms",
        upstream.id,
        asked.as_millis(),
        granted.as_millis()
    );
}
