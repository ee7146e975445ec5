//! Software versions of upstreams, and which of them may go on with a stream.
//!
//! What two versions of an engine's software write does not fit together, so a stream goes on only
//! at upstreams of the version that began it, whichever host the caller returns to. Each pool has a
//! base version, which the store keeps. A stream of another version is written to a log before its
//! first event is passed on; a stream that is not in the log is one of the base version. While a
//! pool has one version, nothing is written for a stream.
//!
//! The base version changes only once it had no upstream for the horizon, in which all streams that
//! it began have ended.

mod pool_versions;
mod stream_record;
mod version;

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use eelgrasshill_domain::{FastMap, FastSet, Moment, PoolName};

use crate::Era;
use pool_versions::{ACTIVATION_DELAY, PoolVersions, is_recent};
pub use pool_versions::{BaseVersion, PresentVersion, StartRule};
pub use stream_record::{StreamId, StreamRecord, StreamVersions, add_stream};
pub use version::{SoftwareVersion, VersionError};

/// Time from which on an append that is under way counts as failing.
const MAX_APPEND_TIME: Duration = Duration::from_millis(300);

/// Horizon until a configuration is known.
const DEFAULT_HORIZON: Duration = Duration::from_secs(18);

/// Time that is added to the longest timeout of all routes for the horizon.
///
/// Another host may learn two seconds later that a version has gone, and streams begin until then.
const HORIZON_SLACK: Duration = Duration::from_secs(3);

/// Streams that are remembered at most; beyond, the oldest are forgotten.
///
/// At the default horizon that is some 4,000 streams per second.
const MAX_STREAMS: usize = 65_536;

/// What a host must do about a pool's base version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BaseWish {
    /// Read it from the store.
    Read,
    /// Write this version, if the topic has not changed since it was read.
    Propose(SoftwareVersion),
}

/// How the version of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum VersionSource {
    /// This host passed events of the stream on.
    #[display("memory")]
    Memory,
    /// The pool had no other version within the horizon.
    #[display("only-version")]
    OnlyVersion,
    /// The log has a record of the stream.
    #[display("log")]
    Log,
    /// The log has none, so the stream is one of the base version.
    #[display("base")]
    Base,
}

/// The version of a stream that a caller takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// It is known without the store.
    Known(SoftwareVersion, VersionSource),
    /// The log and the base version must be read first.
    Read,
}

#[derive(Clone, Debug)]
struct KnownStream {
    pool: PoolName,
    version: SoftwareVersion,
    // Whether this host passed events of it on, or was about to.
    is_own: bool,
    revision: u64,
    at: Moment,
}

/// What one host knows of its pools' software versions and of the streams that they began.
#[derive(Clone, Debug)]
pub struct SoftwareVersions {
    // Since when no version can have come and gone unseen.
    watched_since: Moment,
    // When the upstreams were last looked at.
    watched_at: Moment,
    is_view_recent: bool,
    // None until a configuration is known.
    horizon: Option<Duration>,
    pools: FastMap<PoolName, PoolVersions>,
    streams: FastMap<StreamId, KnownStream>,
    // Streams in the order in which they were noted; one that was noted again occurs twice.
    noted: VecDeque<(StreamId, Moment)>,
    // Own streams whose records must be written again.
    rewrites: FastSet<StreamId>,
    has_append_failed: bool,
    append_sent_at: Option<Moment>,
    era: Option<Era>,
    // Since when this host knows that the store is in that era.
    era_since: Moment,
    // The era before a restore that this host has seen.
    earlier_era: Option<Era>,
}

impl SoftwareVersions {
    /// Creates the state of a host that has just started.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        Self {
            watched_since: started_at,
            watched_at: started_at,
            is_view_recent: true,
            horizon: None,
            pools: FastMap::default(),
            streams: FastMap::default(),
            noted: VecDeque::new(),
            rewrites: FastSet::default(),
            has_append_failed: false,
            append_sent_at: None,
            era: None,
            era_since: started_at,
            earlier_era: None,
        }
    }

    /// Raises the horizon above the longest timeout of all routes.
    ///
    /// It is never lowered, since streams of earlier configurations may go on.
    pub fn raise_horizon(&mut self, longest_timeout: Duration) {
        let horizon = longest_timeout + HORIZON_SLACK;
        self.horizon = Some(self.horizon.map_or(horizon, |known| known.max(horizon)));
    }

    /// Returns the time after which all streams that began before have ended.
    fn horizon(&self) -> Duration {
        self.horizon.unwrap_or(DEFAULT_HORIZON)
    }

    /// Notes that the upstreams are looked at, by records that were the newest at this moment.
    ///
    /// A version may have come and gone while they were not, or the records were older.
    pub fn note_view(&mut self, view_confirmed_at: Option<Moment>, now: Moment) {
        let is_continuous = now.since(self.watched_at) <= ACTIVATION_DELAY;
        self.is_view_recent = is_recent(view_confirmed_at, now);
        if !is_continuous || !self.is_view_recent {
            self.watched_since = now;
        }
        self.watched_at = now;
    }

    /// Returns whether this host has seen all versions that a pool had within the horizon.
    fn has_seen_all(&self, known: &PoolVersions, now: Moment) -> bool {
        let since = known.followed_since.max(Some(self.watched_since));
        since.is_some_and(|since| now.since(since) >= self.horizon())
    }

    /// Notes the versions that a pool has now.
    ///
    /// To be called at least once per second, since a version counts as gone otherwise.
    pub fn note_present(&mut self, pool: &PoolName, present: &[PresentVersion], now: Moment) {
        let horizon = self.horizon();
        let known = self.pools.entry(pool.clone()).or_default();
        known.followed_since.get_or_insert(now);
        known.note_present(present, self.is_view_recent, horizon, now);
    }

    /// Removes the pools that are not to be followed any more.
    pub fn retain_pools(&mut self, is_followed: impl Fn(&PoolName) -> bool) {
        self.pools.retain(|pool, _known| is_followed(pool));
    }

    /// Returns the pools that are followed.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// Returns whether a pool is followed.
    #[must_use]
    pub fn has_pool(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }

    /// Returns the versions that a pool has now.
    pub fn present(&self, pool: &PoolName) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.pools.get(pool).into_iter();
        let versions = versions.flat_map(|known| &known.versions);
        let present = versions.filter(|(_version, presence)| presence.is_present);
        present.map(|(version, _presence)| version)
    }

    /// Returns whether a version of a pool was noted within the horizon.
    #[must_use]
    pub fn has_seen(&self, pool: &PoolName, version: &SoftwareVersion) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|known| known.versions.contains_key(version))
    }

    /// Notes a pool's base version, as a read of the store shows it; returns whether it changed.
    pub fn note_base(
        &mut self,
        pool: &PoolName,
        base: Option<BaseVersion>,
        read_sent_at: Moment,
    ) -> bool {
        let Some(known) = self.pools.get_mut(pool) else {
            return false;
        };
        if known.base_read_at.is_some_and(|at| at > read_sent_at) {
            return false;
        }
        known.base_read_at = Some(read_sent_at);
        known.base_era = base.as_ref().map(|base| base.era).unwrap_or_default();
        let base = base.map(|base| base.version);
        if known.base == base {
            return false;
        }
        let before = std::mem::replace(&mut known.base, base);
        // A restore may have lost the record.
        known.preferred = before.or(known.preferred.take());
        // Own streams of other versions may have begun without a record.
        let unwritten = self.streams.iter().filter(|(_, stream)| {
            stream.is_own && stream.pool == *pool && known.base.as_ref() != Some(&stream.version)
        });
        self.rewrites.extend(unwritten.map(|(stream, _)| *stream));
        true
    }

    /// Returns a pool's base version, if it is known.
    #[must_use]
    pub fn base(&self, pool: &PoolName) -> Option<&SoftwareVersion> {
        self.pools.get(pool)?.base.as_ref()
    }

    /// Returns whether a pool's base version was read.
    #[must_use]
    pub fn is_any_base_read(&self) -> bool {
        let mut pools = self.pools.values();
        pools.any(|known| known.base_read_at.is_some())
    }

    /// Returns what to do about a pool's base version.
    ///
    /// `view_confirmed_at` is when the upstreams' records were known to be the newest.
    #[must_use]
    pub fn wants_base(
        &self,
        pool: &PoolName,
        view_confirmed_at: Option<Moment>,
        now: Moment,
    ) -> Option<BaseWish> {
        let known = self.pools.get(pool)?;
        if known.wants_read(now) {
            return Some(BaseWish::Read);
        }
        let proposal = match &known.base {
            None => {
                let preferred = known.preferred.as_ref();
                preferred
                    .filter(|version| known.versions.contains_key(*version))
                    .or_else(|| known.oldest())
            }
            // Streams whose records a restore lost have ended.
            Some(base) if known.base_era != self.era() && self.has_era_settled(now) => Some(base),
            Some(base) => {
                let is_gone = !known.versions.contains_key(base)
                    && self.has_seen_all(known, now)
                    && is_recent(view_confirmed_at, now);
                is_gone.then(|| known.oldest()).flatten()
            }
        };
        proposal.cloned().map(BaseWish::Propose)
    }

    /// Returns whether a new stream may begin at a version, and whether it must be written.
    #[must_use]
    pub fn start(&self, pool: &PoolName, version: &SoftwareVersion, now: Moment) -> StartRule {
        self.pools
            .get(pool)
            .map_or(StartRule::NotYet, |known| known.start(version, now))
    }

    /// Begins a stream at a version if it may, and remembers it.
    ///
    /// A stream that an append may have written with another version is written in any case.
    /// `has_record` says that one was written for an earlier attempt.
    pub fn begin(
        &mut self,
        stream: StreamId,
        pool: &PoolName,
        version: &SoftwareVersion,
        has_record: bool,
        now: Moment,
    ) -> StartRule {
        let rule = match self.start(pool, version, now) {
            StartRule::NotYet => return StartRule::NotYet,
            StartRule::Unwritten
                if has_record
                    || self.rewrites.contains(&stream)
                    || self.needs_record(pool, now) =>
            {
                StartRule::Written
            }
            rule @ (StartRule::Unwritten | StartRule::Written) => rule,
        };
        self.note_stream(stream, pool, version, now);
        rule
    }

    /// Returns whether a stream of the base version is found only with a record.
    ///
    /// So it is for the horizon after a restore, in which a missing record says nothing.
    fn needs_record(&self, pool: &PoolName, now: Moment) -> bool {
        let needs_record =
            |known: &PoolVersions| known.base_era != self.era() && known.only_version().is_none();
        self.pools.get(pool).is_some_and(needs_record) && !self.is_append_failing(now)
    }

    /// Returns whether a new stream may begin at any version that takes requests.
    ///
    /// None may while the base version is not known, as after a start. True if none takes requests.
    #[must_use]
    pub fn can_begin(&self, pool: &PoolName, now: Moment) -> bool {
        let Some(known) = self.pools.get(pool) else {
            return false;
        };
        let serving = || known.versions.iter().filter(|(_, one)| one.takes_requests);
        serving().next().is_none()
            || serving().any(|(version, _)| self.can_start(known, version, now))
    }

    fn can_start(&self, known: &PoolVersions, version: &SoftwareVersion, now: Moment) -> bool {
        match known.start(version, now) {
            StartRule::Unwritten => true,
            StartRule::Written => !self.is_append_failing(now),
            StartRule::NotYet => false,
        }
    }

    /// Returns the version at which new streams must begin while others cannot; none if any may.
    #[must_use]
    pub fn allowed_for_new(&self, pool: &PoolName, now: Moment) -> Option<SoftwareVersion> {
        let known = self.pools.get(pool)?;
        let can_start = |version: &SoftwareVersion| self.can_start(known, version, now);
        let serving = || known.versions.iter().filter(|(_, one)| one.takes_requests);
        if serving().count() <= 1 || serving().all(|(version, _)| can_start(version)) {
            return None;
        }
        let startable = serving().filter(|(version, _)| can_start(version));
        let is_other = |version: &SoftwareVersion| known.base.as_ref() != Some(version);
        let first = startable
            .min_by_key(|(version, one)| (is_other(version), one.started_ms, (*version).clone()));
        first.map(|(version, _presence)| version.clone())
    }

    /// Notes that an append to the log is sent.
    pub fn note_append_sent(&mut self, now: Moment) {
        self.append_sent_at = Some(now);
    }

    /// Notes whether an append to the log succeeded.
    pub fn note_append(&mut self, is_ok: bool) {
        self.append_sent_at = None;
        self.has_append_failed = !is_ok;
    }

    /// Returns whether the last append failed, or the one under way takes too long.
    #[must_use]
    pub fn is_append_failing(&self, now: Moment) -> bool {
        let is_late = |sent_at| now.since(sent_at) >= MAX_APPEND_TIME;
        self.has_append_failed || self.append_sent_at.is_some_and(is_late)
    }

    /// Notes the version at which this host goes on with a stream.
    pub fn note_stream(
        &mut self,
        stream: StreamId,
        pool: &PoolName,
        version: &SoftwareVersion,
        now: Moment,
    ) {
        let known = KnownStream {
            pool: pool.clone(),
            version: version.clone(),
            is_own: true,
            revision: now.0,
            at: now,
        };
        self.insert(stream, known);
    }

    /// Notes records of the log.
    pub fn note_records(&mut self, records: &[StreamVersions], now: Moment) {
        for record in records {
            for StreamRecord(stream, revision) in &record.streams {
                let is_newer = |known: &KnownStream| known.is_own || known.revision > *revision;
                if self.streams.get(stream).is_some_and(is_newer) {
                    continue;
                }
                let known = KnownStream {
                    pool: record.pool.clone(),
                    version: record.version.clone(),
                    is_own: false,
                    revision: *revision,
                    at: now,
                };
                self.insert(*stream, known);
            }
        }
    }

    fn insert(&mut self, stream: StreamId, known: KnownStream) {
        self.noted.push_back((stream, known.at));
        self.streams.insert(stream, known);
        while self.noted.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((stream, at)) = self.noted.pop_front() else {
            return;
        };
        // It may have been noted again.
        if self
            .streams
            .get(&stream)
            .is_some_and(|known| known.at <= at)
        {
            self.streams.remove(&stream);
            self.rewrites.remove(&stream);
        }
    }

    /// Forgets the streams that were noted longer ago than the horizon.
    pub fn expire(&mut self, now: Moment) {
        while let Some((_stream, at)) = self.noted.front()
            && now.since(*at) > self.horizon()
        {
            self.forget_oldest();
        }
    }

    /// Returns how many streams are remembered.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns the version of a stream that a caller takes up, if it is known without the store.
    ///
    /// `stream` is none if the caller does not name the request that began it.
    /// `view_confirmed_at` is when the upstreams' records were known to be the newest.
    #[must_use]
    pub fn resolve(
        &self,
        stream: Option<StreamId>,
        pool: &PoolName,
        view_confirmed_at: Option<Moment>,
        now: Moment,
    ) -> Resolution {
        if let Some(known) = stream.and_then(|stream| self.known_stream(stream, pool))
            && known.is_own
        {
            return Resolution::Known(known.version.clone(), VersionSource::Memory);
        }
        let Some(known) = self.pools.get(pool) else {
            return Resolution::Read;
        };
        match known.only_version() {
            Some(only)
                if known.base_read_at.is_some()
                    && known.base.as_ref().is_none_or(|base| base == only)
                    && self.has_seen_all(known, now)
                    && is_recent(view_confirmed_at, now) =>
            {
                Resolution::Known(only.clone(), VersionSource::OnlyVersion)
            }
            Some(_) | None => Resolution::Read,
        }
    }

    /// Returns the version of a stream after the log and the base version were read for it.
    ///
    /// None if it is not known, for example since a restore of the store may have lost its record.
    #[must_use]
    pub fn resolve_read(
        &self,
        stream: Option<StreamId>,
        pool: &PoolName,
        now: Moment,
    ) -> Option<(SoftwareVersion, VersionSource)> {
        if let Some(known) = stream.and_then(|stream| self.known_stream(stream, pool)) {
            let source = if known.is_own {
                VersionSource::Memory
            } else {
                VersionSource::Log
            };
            return Some((known.version.clone(), source));
        }
        let known = self.pools.get(pool)?;
        let has_all_records = known.base_era == self.era() || self.has_era_settled(now);
        let base = known.base.clone().filter(|_base| has_all_records)?;
        known.base_read_at?;
        let is_other = |known: &KnownStream| known.pool == *pool && known.version != base;
        if stream.is_none() && self.streams.values().any(is_other) {
            return None;
        }
        Some((base, VersionSource::Base))
    }

    fn known_stream(&self, stream: StreamId, pool: &PoolName) -> Option<&KnownStream> {
        let known = self.streams.get(&stream);
        known.filter(|known| known.pool == *pool)
    }

    /// Notes the store's era; returns whether the store was restored.
    ///
    /// A restored store may lack records, so all own streams are written again.
    pub fn note_era(&mut self, era: Era, now: Moment) -> bool {
        let before = self.era;
        if before.is_some_and(|before| before >= era) {
            return false;
        }
        self.era = Some(era);
        self.era_since = now;
        // A host that starts in a later era may have missed the restore.
        self.earlier_era = before.or_else(|| era.0.checked_sub(1).map(Era));
        if before.is_none() {
            return false;
        }
        for known in self.pools.values_mut() {
            known.base_read_at = None;
        }
        let own = self.streams.iter().filter(|(_, known)| known.is_own);
        self.rewrites.extend(own.map(|(stream, _known)| *stream));
        true
    }

    /// Returns the store's era.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Returns the era of a base version that is written now.
    ///
    /// It is the earlier one while streams may be alive whose records a restore lost.
    #[must_use]
    pub fn base_era(&self, now: Moment) -> Era {
        let earlier = self.earlier_era.filter(|_era| !self.has_era_settled(now));
        earlier.unwrap_or_else(|| self.era())
    }

    /// Returns whether all streams have ended that may have lost their records with a restore.
    fn has_era_settled(&self, now: Moment) -> bool {
        now.since(self.era_since) > self.horizon()
    }

    /// Notes that an append of these streams may have taken effect although it failed.
    ///
    /// They may go on at another version, so what they went on at is written again.
    pub fn note_doubtful(&mut self, streams: impl IntoIterator<Item = StreamId>) {
        for stream in streams {
            if self.streams.contains_key(&stream) {
                self.rewrites.insert(stream);
            }
        }
    }

    /// Takes up to `max` streams whose records must be written again; none while appends fail.
    pub fn take_rewrites(&mut self, max: usize, now: Moment) -> Vec<StreamVersions> {
        if self.is_append_failing(now) {
            return Vec::new();
        }
        let taken: Vec<_> = self.rewrites.iter().take(max).copied().collect();
        let mut records = Vec::new();
        for stream in taken {
            self.rewrites.remove(&stream);
            if let Some(known) = self.streams.get(&stream) {
                let record = StreamRecord(stream, known.revision);
                add_stream(&mut records, &known.pool, &known.version, record);
            }
        }
        records
    }
}
