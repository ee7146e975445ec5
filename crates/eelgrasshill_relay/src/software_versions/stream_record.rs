//! Records of the log that names the streams of versions other than the base version.

use eelgrasshill_domain::{PoolName, fields_hash, scalar};
use serde::{Deserialize, Serialize};

use super::SoftwareVersion;

scalar! {
    /// Hash of the request that began a stream; equal on all hosts.
    pub struct StreamId(pub u64);
}

impl StreamId {
    /// Computes the hash from the request's id and its organisation.
    #[must_use]
    pub fn new(request_id: &str, organisation: Option<&str>) -> Self {
        Self(fields_hash(&[
            request_id.as_bytes(),
            organisation.unwrap_or("").as_bytes(),
        ]))
    }
}

/// Streams of one pool and version, as the log lists them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersions {
    /// Pool whose upstreams serve the streams.
    pub pool: PoolName,
    /// Version that began them.
    pub version: SoftwareVersion,
    /// The streams.
    pub streams: Vec<StreamRecord>,
}

/// A stream, and the number of its record among those of the stream.
///
/// An append without an answer may be carried out after later ones; the highest number counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord(pub StreamId, pub u64);

/// Adds a stream to the record of its pool and version.
pub fn add_stream(
    records: &mut Vec<StreamVersions>,
    pool: &PoolName,
    version: &SoftwareVersion,
    stream: StreamRecord,
) {
    let mut same = records.iter_mut();
    match same.find(|record| record.pool == *pool && record.version == *version) {
        Some(record) => record.streams.push(stream),
        None => records.push(StreamVersions {
            pool: pool.clone(),
            version: version.clone(),
            streams: vec![stream],
        }),
    }
}
