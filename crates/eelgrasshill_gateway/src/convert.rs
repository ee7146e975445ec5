//! Conversions between the relay crate's types and the messages between hosts.
//!
//! Moments of different hosts cannot be compared, so a message states the age of a value. The
//! receiver subtracts the age from the moment at which it sent its request, so that a value never
//! seems newer than it is.

use std::io;
use std::sync::Arc;

use eelgrasshill_domain::{AdapterName, HostName, ModelName, Moment, NameError, Offset, PoolName};
use eelgrasshill_domain::{Incarnation, OrgName};
use eelgrasshill_peer::generated as message;
use eelgrasshill_relay::{
    Accusation, CrashId, Era, HoldingsUpdate, HostHash, KeyedRecord, KeyedTopic, LeavingNotice,
    ModelKey, PromptPart, RANKS, ResidentModel, SpentTokens, Totals, TotalsSender, UpstreamLoad,
};

use crate::codec::Topic;
use crate::compression::{RecordCompressor, decompress};
use crate::gateway_state::HolderStatus;

/// Topics whose records hosts pass on to each other.
pub(crate) const SHARED_TOPICS: [Topic; 3] = [Topic::Config, Topic::Upstreams, Topic::Hosts];

pub(crate) fn topic_number(topic: Topic) -> u32 {
    match topic {
        Topic::Config => 1,
        Topic::Upstreams => 2,
        Topic::Hosts => 3,
        Topic::Lease => 4,
        Topic::Software => 5,
        Topic::StreamVersions => 6,
    }
}

pub(crate) fn topic_from_number(number: u32) -> Option<Topic> {
    SHARED_TOPICS
        .into_iter()
        .find(|topic| topic_number(*topic) == number)
}

pub(crate) fn encode_model_key(model_key: &ModelKey) -> message::AskedModel {
    message::AskedModel {
        pool: model_key.pool.to_string(),
        model: model_key.model.to_string(),
        adapter: model_key
            .adapter
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
    }
}

pub(crate) fn decode_model_key(asked: &message::AskedModel) -> Result<ModelKey, NameError> {
    let adapter = Some(&asked.adapter).filter(|name| !name.is_empty());
    Ok(ModelKey {
        pool: PoolName::new(&asked.pool)?,
        model: ModelName::new(&asked.model)?,
        adapter: adapter.map(|name| AdapterName::new(name)).transpose()?,
    })
}

pub(crate) fn encode_totals(totals: &Totals) -> message::Sum {
    message::Sum {
        hosts: totals.hosts.iter().map(|host_hash| host_hash.0).collect(),
        loads: totals
            .loads
            .iter()
            .map(|(id, load)| message::UpstreamLoad {
                id: id.to_string(),
                running: load.running,
                unread: load.queued_tokens.to_vec(),
                unreached: load.unreachable_hosts,
            })
            .collect(),
        spent: totals
            .spent
            .iter()
            .map(|(name, spent)| message::Spent {
                organisation: name.to_string(),
                tokens: spent.total,
                reported: spent.reported,
            })
            .collect(),
        levels: totals
            .levels
            .iter()
            .map(|(name, tokens)| message::BucketLevel {
                organisation: name.to_string(),
                tokens: *tokens,
            })
            .collect(),
        settled: totals.is_settled,
        report: totals.is_report,
        asked: totals
            .asked
            .iter()
            .map(|(name, rate)| message::AskedRate {
                organisation: name.to_string(),
                rate: *rate,
            })
            .collect(),
        wanted: totals
            .demand
            .iter()
            .map(|(model_key, rate)| message::Wanted {
                asked: Some(encode_model_key(model_key)),
                rate: *rate,
            })
            .collect(),
    }
}

pub(crate) fn decode_totals(sum: &message::Sum) -> Result<Totals, NameError> {
    let mut decoded = Totals {
        hosts: sum
            .hosts
            .iter()
            .map(|host_hash| HostHash(*host_hash))
            .collect(),
        is_settled: sum.settled,
        is_report: sum.report,
        ..Totals::default()
    };
    for load in &sum.loads {
        let mut queued_tokens = [0; RANKS];
        for (count, received) in queued_tokens.iter_mut().zip(&load.unread) {
            *count = *received;
        }
        let counts = UpstreamLoad {
            running: load.running,
            queued_tokens,
            unreachable_hosts: load.unreached,
        };
        decoded.loads.insert(HostName::new(&load.id)?, counts);
    }
    for spent in &sum.spent {
        let tokens = SpentTokens {
            total: spent.tokens,
            reported: spent.reported,
        };
        decoded
            .spent
            .insert(OrgName::new(&spent.organisation)?, tokens);
    }
    for asked in &sum.asked {
        decoded
            .asked
            .insert(OrgName::new(&asked.organisation)?, asked.rate);
    }
    for level in &sum.levels {
        decoded
            .levels
            .insert(OrgName::new(&level.organisation)?, level.tokens);
    }
    for wanted in &sum.wanted {
        if let Some(asked) = &wanted.asked {
            decoded.demand.insert(decode_model_key(asked)?, wanted.rate);
        }
    }
    Ok(decoded)
}

pub(crate) fn decode_sender(teller: &message::Teller) -> Result<TotalsSender, NameError> {
    Ok(TotalsSender {
        host: HostName::new(&teller.host)?,
        incarnation: Incarnation(teller.incarnation),
    })
}

pub(crate) fn encode_holder(status: &HolderStatus, now: Moment) -> message::OrderHolder {
    message::OrderHolder {
        host: status.host.to_string(),
        address: status.address.to_string(),
        fence: status.fence,
        age: millis(now.since(status.renewed_at)),
        end: status.end.0,
        resigned: status.resigned,
    }
}

/// Decodes the lease holder; `requested_at` is when the message was requested.
///
/// Returns none if a field is invalid.
pub(crate) fn decode_holder(
    holder: &message::OrderHolder,
    requested_at: Moment,
) -> Option<HolderStatus> {
    Some(HolderStatus {
        host: HostName::new(&holder.host).ok()?,
        address: holder.address.parse().ok()?,
        fence: holder.fence,
        renewed_at: Moment(requested_at.0.checked_sub(holder.age)?),
        end: Offset(holder.end),
        resigned: holder.resigned,
    })
}

pub(crate) fn encode_holdings_update(update: &HoldingsUpdate) -> message::EngineWord {
    message::EngineWord {
        engine: update.engine.to_string(),
        born: update.started_ms,
        fence: update.fence,
        number: update.revision,
        holdings: update
            .holdings
            .iter()
            .map(|held| message::HeldModel {
                model: held.model.to_string(),
                adapters: held.adapters.iter().map(ToString::to_string).collect(),
            })
            .collect(),
    }
}

pub(crate) fn decode_holdings_update(
    encoded: &message::EngineWord,
) -> Result<HoldingsUpdate, NameError> {
    let mut holdings = Vec::new();
    for held in &encoded.holdings {
        let adapters: Result<_, _> = held
            .adapters
            .iter()
            .map(|name| AdapterName::new(name))
            .collect();
        holdings.push(ResidentModel {
            model: ModelName::new(&held.model)?,
            adapters: adapters?,
        });
    }
    Ok(HoldingsUpdate {
        engine: HostName::new(&encoded.engine)?,
        started_ms: encoded.born,
        fence: encoded.fence,
        revision: encoded.number,
        holdings,
    })
}

pub(crate) fn encode_notice(notice: &LeavingNotice) -> message::LeavingEngine {
    message::LeavingEngine {
        engine: notice.engine.to_string(),
        born: notice.started_ms,
    }
}

pub(crate) fn decode_notice(encoded: &message::LeavingEngine) -> Result<LeavingNotice, NameError> {
    Ok(LeavingNotice {
        engine: HostName::new(&encoded.engine)?,
        started_ms: encoded.born,
    })
}

pub(crate) fn encode_accusation(accusation: &Accusation, now: Moment) -> message::PartAccusation {
    message::PartAccusation {
        part: accusation.part.0,
        crash: accusation.crash.0,
        probe: accusation.is_probe,
        dismissed: accusation.dismissed,
        lost_age: millis(now.since(accusation.lost_at)),
        sighted_age: millis(now.since(accusation.sighted_at)),
    }
}

/// Decodes an accusation; `requested_at` is when the message was requested.
pub(crate) fn decode_accusation(
    encoded: &message::PartAccusation,
    requested_at: Moment,
) -> Accusation {
    let moment = |age: u64| Moment(requested_at.0.saturating_sub(age));
    Accusation {
        part: PromptPart(encoded.part),
        crash: CrashId(encoded.crash),
        is_probe: encoded.probe,
        dismissed: encoded.dismissed,
        lost_at: moment(encoded.lost_age),
        sighted_at: moment(encoded.sighted_age),
    }
}

pub(crate) fn encode_record(
    record: &KeyedRecord,
    era: Era,
    compressor: &mut RecordCompressor,
) -> message::TopicRecord {
    let (value, is_compressed) = compressor.compress_record(record, era);
    message::TopicRecord {
        key: record.key.to_string(),
        offset: record.offset.0,
        value,
        packed: is_compressed,
    }
}

pub(crate) fn encode_topic(
    topic: Topic,
    topic_records: &KeyedTopic,
    compressor: &mut RecordCompressor,
    (caller_era, from): (Era, Offset),
    now: Moment,
) -> message::TopicNews {
    message::TopicNews {
        topic: topic_number(topic),
        records: topic_records
            .missing_after(caller_era, from)
            .map(|record| encode_record(record, topic_records.era(), compressor))
            .collect(),
        era: topic_records.era().0,
        whole: topic_records.needs_whole(caller_era, from),
        kept: None,
        left_out: false,
        end: topic_records.end().0,
        age: topic_records
            .confirmed_at()
            .map(|confirmed_at| millis(now.since(confirmed_at)))
            .unwrap_or_default(),
        known: topic_records.confirmed_at().is_some(),
    }
}

/// Decodes the records of a topic, in order of their offsets.
///
/// # Errors
///
/// Returns the error of the first record that cannot be decompressed. The others must not be used
/// without it, since they would hide that a record is missing.
pub(crate) fn decode_records(encoded: Vec<message::TopicRecord>) -> io::Result<Vec<KeyedRecord>> {
    let records: io::Result<Vec<_>> = encoded.into_iter().map(decode_record).collect();
    let mut records = records?;
    records.sort_by_key(|record| record.offset);
    Ok(records)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error if its value cannot be decompressed.
pub(crate) fn decode_record(record: message::TopicRecord) -> io::Result<KeyedRecord> {
    let value = if record.packed {
        decompress(&record.value)?
    } else {
        record.value
    };
    Ok(KeyedRecord {
        key: Arc::from(record.key),
        offset: Offset(record.offset),
        value: Arc::from(value),
    })
}

pub(crate) fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
