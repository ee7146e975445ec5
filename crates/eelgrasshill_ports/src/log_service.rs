//! The platform's append-only log: the only place where anything is agreed or kept.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, Offset, StreamName, record};
use serde_json::Value;

use crate::{AppendError, CallError, HttpClient, ReadError};

record! {
    /// A record to append.
    pub struct NewRecord {
        /// The id, the same on every retry, by which readers drop repeats.
        pub id: AppendId,
        /// The content.
        pub body: Value,
    }

    /// A record as the log holds it.
    pub struct StoredRecord {
        /// Its position in the stream.
        pub offset: Offset,
        /// The id that its writer gave.
        pub id: AppendId,
        /// When the log took it, in milliseconds of the log's clock since 1970.
        pub time: u64,
        /// The content.
        pub body: Value,
    }

    /// A part of a stream.
    pub struct Page {
        /// The oldest offset that the stream still holds.
        pub first: Offset,
        /// The offset that the next append will get.
        pub end: Offset,
        /// Records in order, from the asked offset on or from `first` if that is later.
        pub records: Vec<StoredRecord>,
    }

    /// The body of an append over HTTP.
    pub struct AppendBody {
        /// The records, which are written together.
        pub records: Vec<NewRecord>,
    }

    /// The answer to an append over HTTP.
    pub struct AppendReply {
        /// The offset of each record.
        pub offsets: Vec<Offset>,
    }

    /// The query of a read over HTTP.
    pub struct ReadQuery {
        /// The first offset wanted.
        pub from: u64,
        /// Most records wanted.
        pub max: usize,
        /// How long to wait for a record at or after `from`, in milliseconds.
        pub wait: u64,
    }
}

impl Page {
    /// Returns whether the page reaches the end of its stream.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.records
            .last()
            .is_none_or(|last| last.offset.next() == self.end)
    }
}

/// The platform's log service.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait Log {
    /// Appends records together, in order.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError`], which says whether the records may stand.
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<NewRecord>,
    ) -> Result<Vec<Offset>, AppendError>;

    /// Reads records from an offset on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] when no page came within the bound.
    async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Page, ReadError>;
}

/// The log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpLog {
    /// Makes an adapter for the service at an address.
    #[must_use]
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl Log for HttpLog {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<NewRecord>,
    ) -> Result<Vec<Offset>, AppendError> {
        let wanted = records.len();
        let body = AppendBody { records };
        let reply: Result<AppendReply, _> = self
            .client
            .post(self.address, &format!("/streams/{stream}"), &body)
            .await;
        match reply {
            Ok(reply) if reply.offsets.len() == wanted => Ok(reply.offsets),
            Ok(_short) => Err(AppendError::Unknown(CallError::Malformed {
                address: self.address.to_string(),
                cause: "the number of offsets is not the number of records".to_owned(),
            })),
            Err(error) if error.is_unsent() => Err(AppendError::NotWritten(error)),
            Err(error) => Err(AppendError::Unknown(error)),
        }
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Page, ReadError> {
        let path = format!(
            "/streams/{stream}?from={from}&max={max}&wait={}",
            wait.as_millis()
        );
        self.client
            .get(self.address, &path, wait)
            .await
            .map_err(ReadError)
    }
}
