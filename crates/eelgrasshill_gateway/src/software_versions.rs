//! Keeps each pool's base version in the store, and writes and looks up the versions of streams.
//!
//! The tasks run beside the followers. Writes that wait while an append is under way are sent
//! together by the next one, and so are look-ups by the next read. A stream of the base version
//! causes no call to the store.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, Offset, PoolName};
use eelgrasshill_ports::{BootClock, CallError, lock};
use eelgrasshill_relay::{
    BaseVersion, BaseWish, Era, PresentVersion, Repeat, Resolution, SoftwareVersion,
    SoftwareVersions, StartRule, StreamId, StreamRecord, StreamVersions, VersionSource, add_stream,
};
use serde::Serialize;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::codec::{PlatformCodec, StoreClient, StoreError, Topic};
use crate::gateway_state::GatewayState;
use crate::shared::Shared;
use crate::telemetry;

/// Maximum number of writes, and of look-ups, that wait for the tasks; more fail at once.
const MAX_QUEUED: usize = 1_024;

/// Maximum number of streams in one append, some 20 kB.
const MAX_BATCH: usize = 1_024;

/// Time between checks of the versions that are present.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between these checks of a host that has just started, until a base version is known.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between checks while a new stream waits for the base version.
const BEGIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between appends of no streams while appends fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a host counts as just started.
const START_TIME: Duration = Duration::from_secs(5);

/// Maximum pause after failed reads or writes of the base versions.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Factor by which the pause grows with each failure.
const RETRY_PAUSE_FACTOR: u32 = 2;

/// Time after which a host other than the first root writes a base version, in seconds.
///
/// Random in this range, so that mostly one host writes if the first root does not.
const PROPOSAL_DELAY_S: std::ops::Range<f64> = 0.3..1.0;

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
    let keeper = BaseKeeper {
        shared: Arc::clone(shared),
        store: store.clone(),
        proposal_at: None,
        retry_at: Moment::default(),
        pause: CHECK_INTERVAL,
        is_failing: false,
    };
    actix_web::rt::spawn(keeper.run());
}

/// Appends the versions of streams to the log until the host stops.
async fn append_writes<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
    mut queue: mpsc::Receiver<Write>,
) {
    let mut is_failing = false;
    while !shared.is_stopped() {
        let mut batch = Vec::new();
        let received = async { queue.recv_many(&mut batch, MAX_BATCH).await > 0 };
        let is_open = if is_failing {
            // New streams wait for a success, so an empty batch is tried.
            let received = tokio::time::timeout(PROBE_INTERVAL, received).await;
            received.unwrap_or(true)
        } else {
            received.await
        };
        if !is_open {
            return;
        }
        let sent_at = BootClock.now();
        shared.software.versions().note_append_sent(sent_at);
        let result = append_batch(&store, &batch).await;
        note_store_era(&shared, &store);
        finish_writes(&shared, batch, result.as_ref().err());
        match result {
            Ok(()) if is_failing => log::info!("software: appends to the log regained"),
            Err(error) if !is_failing => log::warn!("software: appends to the log fail: {error}"),
            Ok(()) | Err(_) => continue,
        }
        is_failing = !is_failing;
    }
}

/// Appends the writes as one record, which lists the streams by pool and version.
async fn append_batch<S: StoreClient>(store: &S, batch: &[Write]) -> Result<(), StoreError> {
    let mut records = Vec::new();
    for write in batch {
        let stream = StreamRecord(write.stream, write.revision);
        add_stream(&mut records, &write.pool, &write.version, stream);
    }
    let value = encode(&records);
    store
        .append(Topic::StreamVersions, "", &value, None)
        .await
        .map(|_position| ())
}

fn finish_writes<C: PlatformCodec>(
    shared: &Shared<C>,
    batch: Vec<Write>,
    error: Option<&StoreError>,
) {
    let end = if error.is_none() { "written" } else { "failed" };
    telemetry::count_stream_append(end);
    telemetry::count_stream_versions(end, batch.len());
    let may_be_written = match error {
        None
        | Some(
            StoreError::Refused(_)
            | StoreError::Conflict { .. }
            | StoreError::Expired { .. }
            | StoreError::Failed(CallError::NotSent { .. }),
        ) => false,
        Some(StoreError::Failed(_) | StoreError::EarlierEra(_)) => true,
    };
    let is_written = error.is_none();
    let write_end = match (is_written, may_be_written) {
        (true, _) => WriteEnd::Written,
        (false, true) => WriteEnd::Doubtful,
        (false, false) => WriteEnd::NotWritten,
    };
    let again = batch
        .iter()
        .filter(|write| may_be_written || (!is_written && write.done.is_none()));
    let mut versions = shared.software.versions();
    versions.note_append(is_written);
    versions.note_doubtful(again.map(|write| write.stream));
    drop(versions);
    for write in batch {
        if let Some(done) = write.done {
            // The request may have ended.
            let _request_ended = done.send(write_end);
        }
    }
}

/// Answers look-ups from the log and the base versions until the host stops.
async fn answer_looks<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
    mut queue: mpsc::Receiver<Look>,
) {
    let mut reader = LogReader {
        shared: Arc::clone(&shared),
        store: store.clone(),
        position: Offset::default(),
        era: None,
    };
    let mut is_failing = false;
    while !shared.is_stopped() {
        let mut looks = Vec::new();
        if queue.recv_many(&mut looks, MAX_QUEUED).await == 0 {
            return;
        }
        let (log, bases) = tokio::join!(reader.read(), read_bases(&shared, &store));
        {
            let versions = shared.software.versions();
            let now = BootClock.now();
            for look in looks {
                let found = versions.resolve_read(look.stream, &look.pool, now);
                let found = found.filter(|(_version, source)| match source {
                    VersionSource::Memory | VersionSource::OnlyVersion => true,
                    VersionSource::Log => log.is_ok(),
                    VersionSource::Base => log.is_ok() && bases.is_ok(),
                });
                // The request may have ended.
                let _request_ended = look.answer.send(found);
            }
        }
        match log.and(bases.map(|_end| ())) {
            Ok(()) if is_failing => log::info!("software: look-ups of streams regained"),
            Err(error) if !is_failing => log::warn!("software: look-ups of streams fail: {error}"),
            Ok(()) | Err(_) => continue,
        }
        is_failing = !is_failing;
    }
}

struct LogReader<C: PlatformCodec, S: StoreClient> {
    shared: Arc<Shared<C>>,
    store: S,
    position: Offset,
    // Era of the position; none before the first read.
    era: Option<Era>,
}

impl<C: PlatformCodec, S: StoreClient> LogReader<C, S> {
    /// Reads the records that were added since the last read.
    async fn read(&mut self) -> Result<(), StoreError> {
        let topic = Topic::StreamVersions;
        loop {
            let read = self.store.read(topic, self.position, Duration::ZERO).await;
            note_store_era(&self.shared, &self.store);
            let page = match read {
                Ok(page) => page,
                Err(StoreError::Expired { first }) => {
                    let first = first.unwrap_or_default();
                    if first == self.position {
                        return Err(StoreError::Expired { first: Some(first) });
                    }
                    self.position = first;
                    continue;
                }
                Err(error) => {
                    telemetry::count_store_call(topic, "failed");
                    return Err(error);
                }
            };
            telemetry::count_store_call(topic, "read");
            // Offsets of an earlier era are assigned again.
            if self
                .era
                .replace(page.era)
                .is_some_and(|era| era != page.era)
            {
                self.position = Offset::default();
                continue;
            }
            let now = BootClock.now();
            let mut versions = self.shared.software.versions();
            for record in &page.records {
                match serde_json::from_slice::<Vec<StreamVersions>>(&record.value) {
                    Ok(rows) => versions.note_records(&rows, now),
                    Err(error) => log::warn!(
                        "software: topic={topic} offset={} skipped: {error}",
                        record.offset
                    ),
                }
            }
            self.position = page.end;
            if !page.has_more {
                return Ok(());
            }
        }
    }
}

/// Reads the base versions of all pools; returns the end of their topic.
async fn read_bases<C: PlatformCodec, S: StoreClient>(
    shared: &Shared<C>,
    store: &S,
) -> Result<Offset, StoreError> {
    let sent_at = BootClock.now();
    let read = store.newest(Topic::Software).await;
    let end = if read.is_ok() { "newest" } else { "failed" };
    telemetry::count_store_call(Topic::Software, end);
    note_store_era(shared, store);
    let page = read?;
    let mut bases = FastMap::default();
    for record in &page.records {
        match serde_json::from_slice::<BaseVersion>(&record.value) {
            Ok(base) => {
                bases.insert(Arc::clone(&record.key), base);
            }
            Err(error) => log::warn!(
                "software: topic={} offset={} skipped: {error}",
                Topic::Software,
                record.offset
            ),
        }
    }
    let mut versions = shared.software.versions();
    let pools: Vec<_> = versions.pools().cloned().collect();
    for pool in pools {
        let base = bases.remove(pool.as_str());
        if versions.note_base(&pool, base.clone(), sent_at) {
            let text = base.as_ref().map_or("none", |base| base.version.as_str());
            log::info!(
                "software: pool={pool} base={text} read, offset={}",
                page.end
            );
        }
    }
    Ok(page.end)
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

/// Follows the versions that are present, and reads and writes the base versions.
struct BaseKeeper<C: PlatformCodec, S: StoreClient> {
    shared: Arc<Shared<C>>,
    store: S,
    // When this host writes a base version although it is not the first root.
    proposal_at: Option<Moment>,
    // When the store is called again after a failure.
    retry_at: Moment,
    pause: Duration,
    is_failing: bool,
}

impl<C: PlatformCodec, S: StoreClient> BaseKeeper<C, S> {
    async fn run(mut self) {
        while !self.shared.is_stopped() {
            let now = BootClock.now();
            refresh(&self.shared, now);
            note_store_era(&self.shared, &self.store);
            self.queue_rewrites(now);
            if now >= self.retry_at {
                let result = self.check_bases(now).await;
                self.note_result(result);
            }
            let is_starting = now.since(self.shared.started_at) < START_TIME
                && !self.shared.software.versions().is_any_base_read();
            let pause = if is_starting {
                START_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
            };
            let wakeup = self.shared.software.wakeup.notified();
            let _early = tokio::time::timeout(pause, wakeup).await;
        }
    }

    /// Queues the records that must be written again, as far as they fit.
    fn queue_rewrites(&self, now: Moment) {
        let writes = &self.shared.software.writes;
        let mut versions = self.shared.software.versions();
        for record in versions.take_rewrites(writes.capacity() / 2, now) {
            for StreamRecord(stream, revision) in record.streams {
                let write = Write {
                    stream,
                    pool: record.pool.clone(),
                    version: record.version.clone(),
                    revision,
                    done: None,
                };
                if writes.try_send(write).is_err() {
                    versions.note_doubtful([stream]);
                }
            }
        }
    }

    fn wishes(&self, now: Moment) -> Vec<(PoolName, BaseWish)> {
        let confirmed_at = self.shared.state().upstreams_topic.confirmed_at();
        let versions = self.shared.software.versions();
        let wish = |pool: &PoolName| {
            let wish = versions.wants_base(pool, confirmed_at, now)?;
            Some((pool.clone(), wish))
        };
        versions.pools().filter_map(wish).collect()
    }

    async fn check_bases(&mut self, now: Moment) -> Result<(), StoreError> {
        let wishes = self.wishes(now);
        if wishes.is_empty() {
            self.proposal_at = None;
            return Ok(());
        }
        let may_propose = self.may_propose(now);
        if !may_propose && wishes.iter().all(|(_pool, wish)| *wish != BaseWish::Read) {
            return Ok(());
        }
        let mut end = read_bases(&self.shared, &self.store).await?;
        if !may_propose {
            return Ok(());
        }
        for (pool, wish) in self.wishes(BootClock.now()) {
            let BaseWish::Propose(version) = wish else {
                continue;
            };
            end = self.propose(&pool, version, end).await?;
        }
        Ok(())
    }

    /// Returns whether this host may write base versions: as the first root, or after a delay.
    fn may_propose(&mut self, now: Moment) -> bool {
        let is_first_root = {
            let mut state = self.shared.state();
            state.hosts.confirmed_at().is_some() && state.tree.position(now).reads_store
        };
        let proposal_at = *self.proposal_at.get_or_insert_with(|| {
            let delay = rand::random_range(PROPOSAL_DELAY_S);
            now.after(Duration::from_secs_f64(delay))
        });
        is_first_root || now >= proposal_at
    }

    /// Writes a base version if the topic still ends there; returns its end.
    async fn propose(
        &self,
        pool: &PoolName,
        version: SoftwareVersion,
        end: Offset,
    ) -> Result<Offset, StoreError> {
        let sent_at = BootClock.now();
        let base = BaseVersion {
            version,
            era: self.shared.software.versions().base_era(sent_at),
        };
        let value = encode(&base);
        let written = self
            .store
            .append(Topic::Software, pool.as_str(), &value, Some(end))
            .await;
        let result = if written.is_ok() { "append" } else { "failed" };
        telemetry::count_store_call(Topic::Software, result);
        note_store_era(&self.shared, &self.store);
        let (_era, offset) = written?;
        let mut versions = self.shared.software.versions();
        let before = versions.base(pool).cloned();
        let present: BTreeSet<_> = versions.present(pool).map(ToString::to_string).collect();
        versions.note_base(pool, Some(base.clone()), sent_at);
        log::info!(
            "software: pool={pool} base={} written, era={} before={} present={present:?} \
             offset={offset}",
            base.version,
            base.era,
            before.as_ref().map_or("none", SoftwareVersion::as_str)
        );
        Ok(offset.next())
    }

    fn note_result(&mut self, result: Result<(), StoreError>) {
        match result {
            // Another host was first; its record is read next.
            Ok(()) | Err(StoreError::Conflict { .. }) => {
                self.pause = CHECK_INTERVAL;
                if std::mem::take(&mut self.is_failing) {
                    log::info!("software: the base versions' topic regained");
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    log::warn!("software: the base versions' topic lost: {error}");
                }
                let pause = self.pause;
                self.pause = (pause * RETRY_PAUSE_FACTOR).min(MAX_RETRY_PAUSE);
                self.retry_at = BootClock
                    .now()
                    .after(pause.mul_f64(rand::random_range(0.5..1.0)));
            }
        }
    }
}

/// Encodes a record as JSON.
fn encode(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_else(|error| {
        log::error!("software: a record cannot be encoded as JSON and is sent empty: {error}");
        Vec::new()
    })
}
