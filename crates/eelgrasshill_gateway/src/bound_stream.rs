//! Binds a stream to the software version that began it.
//!
//! A stream that a caller takes up is bound before its first attempt, a new one when its first event
//! is passed on. Until then nothing of it was passed on, so that it may move to another version.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{Repeat, SoftwareVersion, StreamId, Upstream};

use crate::codec::PlatformCodec;
use crate::refusal::{Refusal, RefusalCause};
use crate::relayed::{MIN_RETRY_AFTER, RelayedRequest};
use crate::software_versions::{StreamStart, StreamWrite, WriteEnd};

/// Maximum time from a stream's first event until the store acknowledges its version.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to find the version of a stream that is taken up.
///
/// It covers two reads of the store, since a look-up may wait for the one before.
const MAX_LOOK_TIME: Duration = Duration::from_secs(1);

/// Maximum wait of a new stream for its pool's base version.
///
/// It covers a write and a read of the store.
const MAX_BASE_WAIT: Duration = Duration::from_millis(500);

/// The software version that a request may use.
#[derive(Debug, Default)]
pub struct SoftwareBinding {
    /// Version that its upstreams must run; any if none.
    pub(crate) version: Option<SoftwareVersion>,
    // Whether events of the version were passed on, in this attempt of the caller or an earlier one.
    is_bound: bool,
    // Whether the log may have a record of the stream.
    has_record: bool,
    write: Option<StreamWrite>,
}

impl<C: PlatformCodec> RelayedRequest<C> {
    /// Returns the id of a stream that this request begins, or of the one that it names.
    fn stream_id(&self) -> Option<StreamId> {
        let begun_by = match self.metadata.last_event {
            None => &self.metadata.id,
            Some(_) => self.metadata.resumes.as_ref()?,
        };
        let organisation = self.organisation.as_ref().map(|row| row.name.as_str());
        Some(StreamId::new(begun_by, organisation))
    }

    /// Limits the next attempt to the software versions that may serve the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the version of a stream is not known, or has no upstream.
    pub(crate) async fn limit_software(&mut self) -> Result<(), Refusal> {
        if self.route.repeat != Repeat::ResumableStream {
            return Ok(());
        }
        if self.metadata.last_event.is_none() && !self.software.is_bound {
            let max_wait = MAX_BASE_WAIT.min(self.time_left());
            if !self.shared.wait_to_begin(&self.target_pool, max_wait).await {
                return Err(Refusal::new(RefusalCause::NoBase).with_retry(MIN_RETRY_AFTER));
            }
            self.software.version = self.shared.allowed_software(&self.target_pool);
            return Ok(());
        }
        if !self.software.is_bound {
            let stream = self.stream_id();
            let timeout = MAX_LOOK_TIME.min(self.time_left());
            let found = self
                .shared
                .stream_software(&self.metadata.id, stream, &self.target_pool);
            let found = tokio::time::timeout(timeout, found).await;
            let Some(version) = found.ok().flatten() else {
                return Err(Refusal::new(RefusalCause::UnknownStream).with_retry(MIN_RETRY_AFTER));
            };
            if let Some(stream) = stream {
                self.shared
                    .continue_stream(stream, &self.target_pool, &version);
            }
            self.software.version = Some(version);
            self.software.is_bound = true;
        }
        if self.has_upstream_of_version() {
            Ok(())
        } else {
            Err(Refusal::new(RefusalCause::VersionGone))
        }
    }

    /// Returns whether an upstream of the pool runs the version that the request is bound to.
    fn has_upstream_of_version(&self) -> bool {
        let state = self.shared.state();
        let mut available = state.upstreams.available(BootClock.now());
        available.any(|upstream| upstream.pool == self.target_pool && self.runs_version(upstream))
    }

    /// Returns whether an upstream runs the software version that the request is limited to.
    pub(crate) fn runs_version(&self, upstream: &Upstream) -> bool {
        let version = self.software.version.as_ref();
        version.is_none_or(|version| upstream.software == *version)
    }

    /// Begins a new stream at an upstream, with the write that its version may need.
    ///
    /// Returns false if the stream must not begin at its version now.
    pub(crate) fn begin_at(&mut self, upstream: &Arc<Upstream>) -> bool {
        let is_new = self.route.repeat == Repeat::ResumableStream
            && self.metadata.last_event.is_none()
            && !self.software.is_bound;
        let Some(stream) = self.stream_id().filter(|_stream| is_new) else {
            return true;
        };
        let has_record = self.software.has_record;
        let start =
            self.shared
                .begin_stream(stream, &self.target_pool, &upstream.software, has_record);
        match start {
            StreamStart::Free => {
                self.software.write = None;
                true
            }
            StreamStart::AfterWrite(write) => {
                self.software.write = Some(write);
                self.software.has_record = true;
                true
            }
            StreamStart::NotYet => false,
        }
    }

    /// Waits until the first event of a stream may be passed on, and binds the stream.
    ///
    /// Returns false if the store may not have the version of the stream.
    pub(crate) async fn bind(&mut self, upstream: &Arc<Upstream>) -> bool {
        if let Some(write) = self.software.write.take() {
            let timeout = WRITE_TIMEOUT.min(self.time_left());
            let end = tokio::time::timeout(timeout, write.ended()).await;
            if end != Ok(WriteEnd::Written) {
                self.software.has_record = end != Ok(WriteEnd::NotWritten);
                log::info!(
                    "request: id={} upstream={} version={} cannot begin, it was not written",
                    self.metadata.id,
                    upstream.id,
                    upstream.software
                );
                return false;
            }
        }
        self.software.version = Some(upstream.software.clone());
        self.software.is_bound = true;
        true
    }
}
