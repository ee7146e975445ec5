//! The platform's append-only log and its HTTP adapter.
//!
//! The log is the only durable storage and the only means of consensus of the system. The adapter
//! decides whether a failed append may have been written, from the kind of the failure.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, Offset, StreamName, record};
use serde_json::Value;

use crate::{AppendError, CallError, HttpClient, ReadError};

record! {
    /// A record to append to a stream.
    pub struct NewRecord {
        /// The id, the same on every retry, by which readers detect duplicates.
        pub id: AppendId,
        /// The content of the record, which the log does not interpret.
        pub body: Value,
    }

    /// A record as stored by the log.
    pub struct StoredRecord {
        /// The position in the stream.
        pub offset: Offset,
        /// The id that the writer assigned.
        pub id: AppendId,
        /// When the log accepted it, in milliseconds since 1970 by the clock of the log.
        #[serde(rename = "time")]
        pub accepted_at_ms: u64,
        /// The content of the record, which the log does not interpret.
        pub body: Value,
    }

    /// A consecutive part of a stream, as one read returns it.
    pub struct Page {
        /// The oldest offset that the stream still retains.
        pub first: Offset,
        /// The offset that the next appended record will get.
        pub end: Offset,
        /// Records in order, starting at the requested offset or at `first` if that is later.
        pub records: Vec<StoredRecord>,
    }

    /// The body of an append over HTTP.
    pub struct AppendBody {
        /// The records, which are written atomically.
        pub records: Vec<NewRecord>,
    }

    /// The answer to an append over HTTP.
    pub struct AppendReply {
        /// The offset of each record, in the order of the request.
        pub offsets: Vec<Offset>,
    }

    /// The query of a read over HTTP.
    pub struct ReadQuery {
        /// The first offset to return.
        pub from: u64,
        /// The maximum number of records to return.
        #[serde(rename = "max")]
        pub max_records: usize,
        /// The maximum wait for a record at or after `from`, in milliseconds.
        #[serde(rename = "wait")]
        pub wait_ms: u64,
    }
}

impl Page {
    /// Returns whether the page reaches the end of the stream.
    #[must_use]
    pub fn reaches_end(&self) -> bool {
        self.records
            .last()
            .is_none_or(|last| last.offset.next() == self.end)
    }
}

/// A client of the platform's log service.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait LogClient {
    /// Appends records atomically and in order.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError`], which says whether the records may have been written.
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<NewRecord>,
    ) -> Result<Vec<Offset>, AppendError>;

    /// Reads at most `max_records` from an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] when no page arrived before the timeout.
    async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max_records: usize,
        wait: Duration,
    ) -> Result<Page, ReadError>;
}

/// An HTTP adapter for the log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpLog {
    /// Creates an adapter for the service at an address.
    #[must_use]
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl LogClient for HttpLog {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<NewRecord>,
    ) -> Result<Vec<Offset>, AppendError> {
        let record_count = records.len();
        let body = AppendBody { records };
        let reply: Result<AppendReply, _> = self
            .client
            .post(self.address, &format!("/streams/{stream}"), &body)
            .await;
        match reply {
            Ok(reply) if reply.offsets.len() == record_count => Ok(reply.offsets),
            Ok(reply) => Err(AppendError::MaybeWritten(CallError::Malformed {
                address: self.address.to_string(),
                cause: format!(
                    "expected {record_count} offsets, got {}",
                    reply.offsets.len()
                ),
            })),
            Err(error) if error.is_unsent() => Err(AppendError::NotWritten(error)),
            Err(error) => Err(AppendError::MaybeWritten(error)),
        }
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max_records: usize,
        wait: Duration,
    ) -> Result<Page, ReadError> {
        let path = format!(
            "/streams/{stream}?from={from}&max={max_records}&wait={}",
            wait.as_millis()
        );
        self.client
            .get(self.address, &path, wait)
            .await
            .map_err(ReadError)
    }
}
