//! Sends and receives the records of topics in messages between hosts.
//!
//! A host states the end up to which it knows each topic, and gets the records after it. Large
//! records are omitted from the exchange and fetched in a separate call.

use eelgrasshill_domain::{Moment, Offset, Version};
use eelgrasshill_peer::generated as message;
use eelgrasshill_relay::{Era, TopicUpdate};

use crate::codec::{PlatformCodec, Topic};
use crate::convert::{
    SHARED_TOPICS, decode_record, decode_records, encode_record, encode_topic, topic_from_number,
    topic_number,
};
use crate::gateway_state::GatewayState;

/// Maximum size of a topic's records in an exchange; they take 13 ms on the slowest link.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// Returns the offset up to which this host knows each topic.
pub(crate) fn topic_ends<C: PlatformCodec>(state: &mut GatewayState<C>) -> Vec<message::TopicEnd> {
    let config_version = state.tables.as_ref().map(|tables| tables.version().0);
    let ends = SHARED_TOPICS.into_iter().filter_map(|topic| {
        let topic_records = state.topic(topic)?;
        Some(message::TopicEnd {
            topic: topic_number(topic),
            end: topic_records.end().0,
            era: topic_records.era().0,
            version: config_version
                .filter(|_version| topic == Topic::Config)
                .unwrap_or_default(),
        })
    });
    ends.collect()
}

/// Applies the records of one topic; `requested_at` is when the message was requested.
pub(crate) fn apply_topic_update<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    mut update: message::TopicNews,
    requested_at: Moment,
    now: Moment,
) {
    let Some(topic) = topic_from_number(update.topic) else {
        return;
    };
    let end = Offset(update.end);
    let era = Era(update.era);
    let kept = update.kept.take();
    let confirmed_at = requested_at
        .0
        .checked_sub(update.age)
        .map(Moment)
        .filter(|_confirmed_at| update.known);
    let records = match decode_records(update.records) {
        Ok(records) => records,
        Err(error) => {
            log::warn!("peers: topic={topic} records skipped, one cannot be decompressed: {error}");
            return;
        }
    };
    if let Some(topic_records) = state.topic(topic) {
        let changes = topic_records.apply(TopicUpdate {
            era,
            records,
            end,
            confirmed_at,
            is_whole: update.whole,
        });
        state.apply(topic, &changes, now);
    }
    match kept.map(decode_record).transpose() {
        Ok(Some(kept)) if topic == Topic::Config => state.adopt_config(&kept, now),
        Ok(_) => {}
        Err(error) => {
            log::warn!("peers: kept configuration skipped, it cannot be decompressed: {error}");
        }
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
        let kept = state
            .kept_config(topic, Version(end.version))
            .map(|(record, era)| encode_record(&record, era, state.compressor()));
        let (topic_records, compressor) = state.topic_and_compressor(topic)?;
        let known = (Era(end.era), Offset(end.end));
        let mut update = encode_topic(topic, topic_records, compressor, known, now);
        update.kept = kept;
        Some(update)
    });
    updates.collect()
}

/// Omits records that would delay the rest of the message on a slow link.
pub(crate) fn omit_large_records(update: &mut message::TopicNews) {
    let records = update.records.iter().chain(&update.kept);
    let bytes: usize = records.map(|record| record.value.len()).sum();
    if bytes > MAX_INLINE_BYTES {
        update.records.clear();
        update.kept = None;
        update.left_out = true;
    }
}
