//! Sends and receives the records of topics in messages between hosts.
//!
//! A host states the end up to which it knows each topic, and gets the records after it. Large
//! records are omitted from the exchange and fetched in a separate call.

use std::sync::Arc;

use eelgrasshill_domain::{Moment, Offset};
use eelgrasshill_peer::generated as message;

use crate::codec::PlatformCodec;
use crate::convert::{
    SHARED_TOPICS, decode_records, encode_topic, topic_from_number, topic_number,
};
use crate::gateway_state::GatewayState;

/// Maximum size of a topic's records in an exchange; they take 13 ms on the slowest link.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// Returns the offset up to which this host knows each topic.
pub(crate) fn topic_ends<C: PlatformCodec>(state: &mut GatewayState<C>) -> Vec<message::TopicEnd> {
    let ends = SHARED_TOPICS.into_iter().filter_map(|topic| {
        Some(message::TopicEnd {
            topic: topic_number(topic),
            end: state.topic(topic)?.end().0,
        })
    });
    ends.collect()
}

/// Applies the records of one topic; `requested_at` is when the message was requested.
pub(crate) fn apply_topic_update<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    update: message::TopicNews,
    requested_at: Moment,
    now: Moment,
) {
    let Some(topic) = topic_from_number(update.topic) else {
        return;
    };
    let end = Offset(update.end);
    let confirmed_at = requested_at
        .0
        .checked_sub(update.age)
        .map(Moment)
        .filter(|_confirmed_at| update.known);
    let keys = update.lists_keys.then(|| {
        let keys = update.keys.iter();
        keys.map(|key| Arc::from(key.as_str())).collect()
    });
    let records = match decode_records(update) {
        Ok(records) => records,
        Err(error) => {
            log::warn!("peers: topic={topic} records skipped, one cannot be decompressed: {error}");
            return;
        }
    };
    if let Some(topic_records) = state.topic(topic) {
        let mut changed =
            keys.map_or_else(Vec::new, |keys| topic_records.remove_unlisted(&keys, end));
        changed.extend(topic_records.extend(records, end, confirmed_at));
        state.apply(topic, &changed, now);
    }
}

/// Encodes the records from the given ends on.
pub(crate) fn encode_topics<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    ends: &[message::TopicEnd],
    now: Moment,
) -> Vec<message::TopicNews> {
    let updates = ends.iter().filter_map(|end| {
        let topic = topic_from_number(end.topic)?;
        let (topic_records, compressor) = state.topic_and_compressor(topic)?;
        Some(encode_topic(
            topic,
            topic_records,
            compressor,
            Offset(end.end),
            now,
        ))
    });
    updates.collect()
}

/// Omits records that would delay the rest of the message on a slow link.
pub(crate) fn omit_large_records(update: &mut message::TopicNews) {
    let bytes: usize = update.records.iter().map(|record| record.value.len()).sum();
    if bytes > MAX_INLINE_BYTES {
        update.records.clear();
        update.left_out = true;
    }
}
