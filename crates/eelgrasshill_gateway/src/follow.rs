//! Follows the store's keyed topics.
//!
//! A host reads the store itself if it is the first root, which reads for the others, or if the
//! records that it gets from its parent are too old.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_ports::BootClock;

use crate::codec::{PlatformCodec, StoreClient, StoreError, Topic, TopicPage, page_current_at};
use crate::shared::Shared;
use crate::telemetry;

/// Pause after the first failed read.
///
/// Short compared with all time limits, and long compared with the 4 ms that an answer takes.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after failed reads of a host other than the first root.
///
/// While the store is down, only the first root keeps the short pause. It tells the other hosts
/// within a second that the store has returned.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Factor by which the pause grows with each failed read.
const RETRY_PAUSE_FACTOR: u32 = 2;

/// Time between checks whether the records from the parent are too old.
const STALENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How often and how a topic is read.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// How long a read by the first root waits for a new record.
    pub wait: Duration,
    /// Pause between reads.
    pub pause: Duration,
    /// Age of the records at which any host starts to read the store itself.
    pub max_age: Duration,
}

/// Follows a keyed topic until the host stops.
pub async fn follow<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
    topic: Topic,
    settings: FollowSettings,
) {
    let mut follower = Follower {
        shared,
        store,
        topic,
        settings,
        is_failing: false,
        pause: MIN_RETRY_PAUSE,
    };
    let mut needs_newest = true;
    while !follower.shared.is_stopped() {
        if !needs_newest && !follower.should_read() {
            tokio::time::sleep(STALENESS_CHECK_INTERVAL).await;
            continue;
        }
        let result = if needs_newest {
            follower.read_newest().await
        } else {
            follower.read_changes().await
        };
        match result {
            Ok(()) => {
                needs_newest = false;
                follower.record_recovery();
                follower.pause = MIN_RETRY_PAUSE;
                tokio::time::sleep(settings.pause).await;
            }
            Err(StoreError::Expired) => {
                log::info!(
                    "store: topic={topic} records expired before they were read, \
                     reading the newest of each key"
                );
                needs_newest = true;
            }
            Err(error) => {
                follower.record_failure(&error);
                tokio::time::sleep(follower.next_pause(needs_newest)).await;
            }
        }
    }
}

struct Follower<C: PlatformCodec, S: StoreClient> {
    shared: Arc<Shared<C>>,
    store: S,
    topic: Topic,
    settings: FollowSettings,
    is_failing: bool,
    pause: Duration,
}

impl<C: PlatformCodec, S: StoreClient> Follower<C, S> {
    /// Returns whether to read the store: as the first root, or because the records are too old.
    fn should_read(&self) -> bool {
        let now = BootClock.now();
        if self.is_first_root(now) {
            return true;
        }
        let mut state = self.shared.state();
        let confirmed_at = state
            .topic(self.topic)
            .and_then(|topic_records| topic_records.confirmed_at());
        confirmed_at.is_none_or(|confirmed_at| now.since(confirmed_at) >= self.settings.max_age)
    }

    /// Returns the pause after a failed read, which doubles unless other hosts depend on this one.
    fn next_pause(&mut self, needs_newest: bool) -> Duration {
        if needs_newest || self.is_first_root(BootClock.now()) {
            return MIN_RETRY_PAUSE;
        }
        let pause = self.pause;
        self.pause = (pause * RETRY_PAUSE_FACTOR).min(MAX_RETRY_PAUSE);
        // Random, so that hosts that failed together do not retry together.
        pause.mul_f64(rand::random_range(0.5..1.0))
    }

    fn is_first_root(&self, now: Moment) -> bool {
        self.shared.state().tree.position(now).reads_store
    }

    async fn read_newest(&mut self) -> Result<(), StoreError> {
        let requested_at = BootClock.now();
        let page = self.store.newest(self.topic).await?;
        telemetry::count_store_call(self.topic, "newest");
        let now = BootClock.now();
        let mut state = self.shared.state();
        let Some(topic_records) = state.topic(self.topic) else {
            return Ok(());
        };
        let changes = topic_records.replace(page.records, page.end, requested_at);
        state.apply(self.topic, &changes, now);
        Ok(())
    }

    async fn read_changes(&mut self) -> Result<(), StoreError> {
        let from = self.end();
        let requested_at = BootClock.now();
        // A host that reads because its records are too old needs the answer at once.
        let wait = if self.is_first_root(requested_at) {
            self.settings.wait
        } else {
            Duration::ZERO
        };
        let page = self.store.read(self.topic, from, wait).await?;
        telemetry::count_store_call(self.topic, "read");
        let now = BootClock.now();
        let confirmed_at = page_current_at(&page, requested_at, wait, now);
        self.apply_page(page, confirmed_at, now);
        Ok(())
    }

    fn apply_page(&self, page: TopicPage, confirmed_at: Moment, now: Moment) {
        let mut state = self.shared.state();
        if let Some(topic_records) = state.topic(self.topic) {
            let changes = topic_records.extend(page.records, page.end, Some(confirmed_at));
            state.apply(self.topic, &changes, now);
        }
        state.remove_expired(now);
    }

    fn end(&self) -> eelgrasshill_domain::Offset {
        let mut state = self.shared.state();
        state
            .topic(self.topic)
            .map(|topic_records| topic_records.end())
            .unwrap_or_default()
    }

    fn record_failure(&mut self, error: &StoreError) {
        let now = BootClock.now();
        self.shared.state().store_failure = Some(now);
        telemetry::count_store_call(self.topic, "failed");
        if !self.is_failing {
            log::warn!("store: topic={} lost: {error}", self.topic);
            self.is_failing = true;
        }
    }

    fn record_recovery(&mut self) {
        if self.is_failing {
            log::info!("store: topic={} regained", self.topic);
            self.is_failing = false;
        }
    }
}
