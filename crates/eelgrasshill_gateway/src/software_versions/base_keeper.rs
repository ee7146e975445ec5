//! Task that follows the versions that are present, and keeps the base versions in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, Offset, PoolName};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{BaseVersion, BaseWish, SoftwareVersion, StreamRecord};

use super::{Write, encode, note_store_era, refresh};
use crate::codec::{PlatformCodec, StoreClient, StoreError, Topic};
use crate::shared::Shared;
use crate::telemetry;

/// Time between checks of the versions that are present.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between these checks of a host that has just started, until a base version is known.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);

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

/// Reads the base versions of all pools; returns the end of their topic.
pub(super) async fn read_bases<C: PlatformCodec, S: StoreClient>(
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

/// Follows the versions that are present, and reads and writes the base versions.
pub(super) struct BaseKeeper<C: PlatformCodec, S: StoreClient> {
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
    pub(super) fn new(shared: Arc<Shared<C>>, store: S) -> Self {
        Self {
            shared,
            store,
            proposal_at: None,
            retry_at: Moment::default(),
            pause: CHECK_INTERVAL,
            is_failing: false,
        }
    }

    /// Runs until the host stops.
    pub(super) async fn run(mut self) {
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
