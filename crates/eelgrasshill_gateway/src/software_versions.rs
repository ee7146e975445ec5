//! Keeps each pool's base version in the store, and writes and looks up the versions of streams.
//!
//! The tasks run beside the followers. Writes that wait while an append is under way are sent
//! together by the next one, and so are look-ups by the next read. A stream of the base version
//! causes no call to the store.

mod base_keeper;
mod stream_log;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, PoolName};
use eelgrasshill_ports::{BootClock, lock};
use eelgrasshill_relay::{
    PresentVersion, Repeat, Resolution, SoftwareVersion, SoftwareVersions, StartRule, StreamId,
    VersionSource,
};
use serde::Serialize;
use tokio::sync::{Notify, mpsc, oneshot};

use self::base_keeper::BaseKeeper;
use self::stream_log::{answer_looks, append_writes};
use crate::codec::{PlatformCodec, StoreClient};
use crate::gateway_state::GatewayState;
use crate::shared::Shared;
use crate::telemetry;

/// Maximum number of writes, and of look-ups, that wait for the tasks; more fail at once.
const MAX_QUEUED: usize = 1_024;

/// Time between checks while a new stream waits for the base version.
const BEGIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Write {
    stream: StreamId,
    pool: PoolName,
    version: SoftwareVersion,
    revision: u64,
    // None for a record that is written again.
    done: Option<oneshot::Sender<WriteEnd>>,
}

/// How the write of a stream's version ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteEnd {
    /// The store has acknowledged it.
    Written,
    /// The store does not have it and will not.
    NotWritten,
    /// The store may have it, or carry it out later.
    Doubtful,
}

type Found = Option<(SoftwareVersion, VersionSource)>;

#[derive(Debug)]
struct Look {
    // None if the caller does not name the request that began the stream.
    stream: Option<StreamId>,
    pool: PoolName,
    answer: oneshot::Sender<Found>,
}

#[derive(Debug)]
struct Queues {
    writes: mpsc::Receiver<Write>,
    looks: mpsc::Receiver<Look>,
}

/// The host's software versions, with the queues of the tasks that keep them.
#[derive(Debug)]
pub(crate) struct SoftwareTracker {
    versions: Mutex<SoftwareVersions>,
    writes: mpsc::Sender<Write>,
    looks: mpsc::Sender<Look>,
    // Taken by the tasks.
    queues: Mutex<Option<Queues>>,
    // Starts the next check early.
    wakeup: Notify,
}

impl SoftwareTracker {
    /// Creates the state of a host that has just started.
    pub(crate) fn new(started_at: Moment) -> Self {
        let (writes, queued_writes) = mpsc::channel(MAX_QUEUED);
        let (looks, queued_looks) = mpsc::channel(MAX_QUEUED);
        Self {
            versions: Mutex::new(SoftwareVersions::new(started_at)),
            writes,
            looks,
            queues: Mutex::new(Some(Queues {
                writes: queued_writes,
                looks: queued_looks,
            })),
            wakeup: Notify::new(),
        }
    }

    /// Locks the versions. The lock must not be held together with that of the host's state.
    fn versions(&self) -> MutexGuard<'_, SoftwareVersions> {
        lock(&self.versions)
    }
}

/// How a new stream may begin.
#[derive(Debug)]
pub(crate) enum StreamStart {
    /// It may begin.
    Free,
    /// Its first event may be passed on once this write has succeeded.
    AfterWrite(StreamWrite),
    /// It must not begin at this version now.
    NotYet,
}

/// Write of a stream's version that is under way.
#[derive(Debug)]
pub(crate) struct StreamWrite(oneshot::Receiver<WriteEnd>);

impl StreamWrite {
    /// Waits until the write has ended.
    pub(crate) async fn ended(self) -> WriteEnd {
        // Without room in the queue it was not sent.
        self.0.await.unwrap_or(WriteEnd::NotWritten)
    }
}

impl<C: PlatformCodec> Shared<C> {
    /// Returns the version to which a new resumable stream is limited; none if any will do.
    pub(crate) fn allowed_software(&self, pool: &PoolName) -> Option<SoftwareVersion> {
        let now = BootClock.now();
        self.software.versions().allowed_for_new(pool, now)
    }

    /// Waits until a new resumable stream may begin; returns false if none may after `max_wait`.
    ///
    /// After a start of the host, the base version may not be known yet.
    pub(crate) async fn wait_to_begin(&self, pool: &PoolName, max_wait: Duration) -> bool {
        let deadline = BootClock.now().after(max_wait);
        loop {
            let now = BootClock.now();
            if !self.software.versions().has_pool(pool) {
                refresh(self, now);
            }
            if self.software.versions().can_begin(pool, now) {
                return true;
            }
            if now >= deadline {
                return false;
            }
            tokio::time::sleep(BEGIN_CHECK_INTERVAL).await;
        }
    }

    /// Begins a resumable stream at an upstream of this version, with the write that it may need.
    ///
    /// To be called when the request is sent. A stream whose write fails is to be closed and may
    /// begin at another version, by another call. `has_record` says that an earlier attempt was
    /// written, so that this one must be as well.
    pub(crate) fn begin_stream(
        &self,
        stream: StreamId,
        pool: &PoolName,
        version: &SoftwareVersion,
        has_record: bool,
    ) -> StreamStart {
        let now = BootClock.now();
        if !self.software.versions().has_seen(pool, version) {
            refresh(self, now);
            self.software.wakeup.notify_one();
        }
        let rule = self
            .software
            .versions()
            .begin(stream, pool, version, has_record, now);
        match rule {
            StartRule::NotYet => StreamStart::NotYet,
            StartRule::Unwritten => StreamStart::Free,
            StartRule::Written => {
                let (done, written) = oneshot::channel();
                let write = Write {
                    stream,
                    pool: pool.clone(),
                    version: version.clone(),
                    revision: now.0,
                    done: Some(done),
                };
                // A write that does not fit drops its sender, so that it counts as failed.
                if self.software.writes.try_send(write).is_err() {
                    telemetry::count_stream_versions("queue-full", 1);
                }
                StreamStart::AfterWrite(StreamWrite(written))
            }
        }
    }

    /// Notes that this host goes on with a stream that a caller took up.
    pub(crate) fn continue_stream(
        &self,
        stream: StreamId,
        pool: &PoolName,
        version: &SoftwareVersion,
    ) {
        let now = BootClock.now();
        let mut versions = self.software.versions();
        versions.note_stream(stream, pool, version, now);
    }

    /// Returns the version that began a stream which a caller takes up; none if it is not known.
    ///
    /// `request_id` is the id of the request that takes it up, for the log.
    pub(crate) async fn stream_software(
        &self,
        request_id: &str,
        stream: Option<StreamId>,
        pool: &PoolName,
    ) -> Option<SoftwareVersion> {
        let asked_at = BootClock.now();
        refresh(self, asked_at);
        let confirmed_at = self.state().upstreams_topic.confirmed_at();
        let resolution = self
            .software
            .versions()
            .resolve(stream, pool, confirmed_at, asked_at);
        let found = match resolution {
            Resolution::Known(version, source) => Some((version, source)),
            Resolution::Read => self.look_up(stream, pool).await,
        };
        let (version, source) = match &found {
            Some((version, source)) => (version.as_str(), source.to_string()),
            None => ("", "none".to_owned()),
        };
        log::info!(
            "software: request={request_id} takes up stream={:016x} pool={pool} version={version} \
             source={source} in {} ms",
            stream.map_or(0, |stream| stream.0),
            BootClock.now().since(asked_at).as_millis()
        );
        telemetry::count_stream_look(source);
        found.map(|(version, _source)| version)
    }

    async fn look_up(&self, stream: Option<StreamId>, pool: &PoolName) -> Found {
        let (answer, found) = oneshot::channel();
        let look = Look {
            stream,
            pool: pool.clone(),
            answer,
        };
        self.software.looks.try_send(look).ok()?;
        found.await.ok().flatten()
    }
}

/// Starts the tasks that keep the software versions, on this thread.
pub(crate) fn track_software<C: PlatformCodec, S: StoreClient>(shared: &Arc<Shared<C>>, store: &S) {
    let Some(queues) = lock(&shared.software.queues).take() else {
        log::error!("software: the tasks were started already");
        return;
    };
    actix_web::rt::spawn(append_writes(
        Arc::clone(shared),
        store.clone(),
        queues.writes,
    ));
    actix_web::rt::spawn(answer_looks(
        Arc::clone(shared),
        store.clone(),
        queues.looks,
    ));
    let keeper = BaseKeeper::new(Arc::clone(shared), store.clone());
    actix_web::rt::spawn(keeper.run());
}

/// Passes the store's era on to the host's state and to the software versions.
fn note_store_era<C: PlatformCodec, S: StoreClient>(shared: &Shared<C>, store: &S) {
    if let Some(era) = store.era() {
        shared.learn_era(era, "the store");
    }
    let known = shared.state().store_era;
    if let Some(era) = known
        && shared.software.versions().note_era(era, BootClock.now())
    {
        log::info!("software: era={era}, own streams are written again");
    }
}

/// Notes the versions that are present in the pools of resumable routes.
fn refresh<C: PlatformCodec>(shared: &Shared<C>, now: Moment) {
    let (found, confirmed_at) = {
        let state = shared.state();
        let confirmed_at = state.upstreams_topic.confirmed_at();
        (present_versions(&state, now), confirmed_at)
    };
    let mut versions = shared.software.versions();
    versions.note_view(confirmed_at, now);
    let Some((present, longest_timeout)) = found else {
        return;
    };
    versions.raise_horizon(longest_timeout);
    versions.retain_pools(|pool| present.contains_key(pool));
    for (pool, rows) in &present {
        versions.note_present(pool, rows, now);
    }
    versions.expire(now);
}

type PresentByPool = FastMap<PoolName, Vec<PresentVersion>>;

/// Returns the versions in the pools of resumable routes, and the longest timeout of all routes.
fn present_versions<C: PlatformCodec>(
    state: &GatewayState<C>,
    now: Moment,
) -> Option<(PresentByPool, Duration)> {
    let tables = state.tables.as_ref()?;
    let mut present = PresentByPool::default();
    let mut longest_timeout = Duration::ZERO;
    for route in tables.routes() {
        longest_timeout = longest_timeout.max(route.timeout);
        if route.repeat == Repeat::ResumableStream {
            for target in &route.targets {
                present.entry(target.pool.clone()).or_default();
            }
        }
    }
    let known = state.upstreams.registered().map(|known| (known, false));
    let available = state.upstreams.available(now).map(|known| (known, true));
    for (upstream, takes_requests) in known.chain(available) {
        let Some(rows) = present.get_mut(&upstream.pool) else {
            continue;
        };
        let mut same = rows.iter_mut();
        match same.find(|row| row.version == upstream.software) {
            Some(row) => {
                row.started_ms = row.started_ms.min(upstream.started_ms);
                row.takes_requests |= takes_requests;
            }
            None => rows.push(PresentVersion {
                version: upstream.software.clone(),
                started_ms: upstream.started_ms,
                takes_requests,
            }),
        }
    }
    Some((present, longest_timeout))
}

/// Encodes a record as JSON.
fn encode(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_else(|error| {
        log::error!("software: a record cannot be encoded as JSON and is sent empty: {error}");
        Vec::new()
    })
}
