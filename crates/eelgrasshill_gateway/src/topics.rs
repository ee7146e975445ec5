//! The records of topics in messages of peers.

use eelgrasshill_domain::{Moment, Offset};
use eelgrasshill_peer::generated as message;

use crate::convert::{TOPICS, read_records, topic_number, topic_of, write_topic};
use crate::desk::Desk;
use crate::wire::Wire;

/// Most bytes of a topic's records in a reply: 13 ms on the slowest link.
const INLINE: usize = 16 << 10;

/// Returns how far this host knows each topic.
pub(crate) fn topic_ends<W: Wire>(desk: &mut Desk<W>) -> Vec<message::TopicEnd> {
    let ends = TOPICS.into_iter().filter_map(|topic| {
        Some(message::TopicEnd {
            topic: topic_number(topic),
            end: desk.topic(topic)?.end().0,
        })
    });
    ends.collect()
}

/// Takes the records of one topic; `asked` is when the message was asked for.
pub(crate) fn hear_topic<W: Wire>(
    desk: &mut Desk<W>,
    news: message::TopicNews,
    asked: Moment,
    now: Moment,
) {
    let Some(topic) = topic_of(news.topic) else {
        return;
    };
    let end = Offset(news.end);
    let fresh = asked
        .0
        .checked_sub(news.age)
        .map(Moment)
        .filter(|_fresh| news.known);
    let records = match read_records(news) {
        Ok(records) => records,
        Err(error) => {
            log::warn!("peers: records of topic={topic} are skipped: {error}");
            return;
        }
    };
    if let Some(keyed) = desk.topic(topic) {
        let changed = keyed.extend(records, end, fresh);
        desk.apply(topic, &changed, now);
    }
}

/// Returns the records from the given ends on.
pub(crate) fn write_topics<W: Wire>(
    desk: &mut Desk<W>,
    ends: &[message::TopicEnd],
    now: Moment,
) -> Vec<message::TopicNews> {
    let news = ends.iter().filter_map(|end| {
        let topic = topic_of(end.topic)?;
        let (keyed, packer) = desk.topic_and_packer(topic)?;
        Some(write_topic(topic, keyed, packer, Offset(end.end), now))
    });
    news.collect()
}

/// Takes records out that would hold up the rest of the news on a slow link.
pub(crate) fn leave_out_large(news: &mut message::TopicNews) {
    let bytes: usize = news.records.iter().map(|record| record.value.len()).sum();
    if bytes > INLINE {
        news.records.clear();
        news.left_out = true;
    }
}
