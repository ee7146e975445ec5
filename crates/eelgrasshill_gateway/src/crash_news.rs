//! Tells all hosts at once what a lost request accuses.
//!
//! The caller of a request that crashed an engine may repeat it at another host within
//! milliseconds, before a round of the exchange has passed.

use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::PromptPart;

use crate::codec::PlatformCodec;
use crate::convert::encode_accusation;
use crate::shared::Shared;

/// Maximum number of accusations in the news of one lost request, so that it fits into a datagram.
const MAX_ACCUSATIONS: usize = 32;

/// Sends what is known against a request and its parts to all hosts, unless too much was sent.
pub(crate) fn tell_crashes<C: PlatformCodec>(
    shared: &Shared<C>,
    id: &str,
    suspects: &[PromptPart],
) {
    let Some(picks) = shared.picks() else {
        return;
    };
    let now = BootClock.now();
    let (hosts, accusations) = {
        let mut state = shared.state();
        if !state.crash_news.admit(now) {
            log::info!("request: id={id} crash told by the exchange only, news are limited");
            return;
        }
        let accusations = state.crashing_parts.accusations(suspects, MAX_ACCUSATIONS);
        let others = state.tree.peers().map(|peer| peer.address);
        let hosts: Vec<_> = others
            .filter(|address| *address != shared.settings.peer_address)
            .collect();
        (hosts, accusations)
    };
    log::info!(
        "request: id={id} crash told to hosts={} accusations={}",
        hosts.len(),
        accusations.len()
    );
    let encoded = accusations.iter();
    let encoded = encoded.map(|accusation| encode_accusation(accusation, now));
    picks.tell_crashes(&hosts, encoded.collect());
}
