//! Follows the store's keyed topics.
//!
//! A host reads the store itself if it is the first root, which reads for the others, or if the
//! records that it gets from its parent are too old.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{ReadPolicy, ReadState, TopicUpdate};
use eelgrasshill_settings::GatewayBounds;

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

/// Time between these checks while the host has just started.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which a new registration must reach every host.
const HOST_BOUND: Duration = Duration::from_secs(20);

/// Pause between reads of the hosts' registrations.
const HOST_READ_PAUSE: Duration = Duration::from_secs(2);

/// Part of the time for which keys are accepted within which a new configuration must be known.
const KEY_AGE_PERCENT: u32 = 80;

/// Part of the time until an evacuation is in force within which it must be known.
///
/// The rest is for requests whose upstream was chosen before.
const EVACUATION_PERCENT: u32 = 80;

/// How long a host that restarts waits for its parent, while callers send requests.
const RESTART_PATIENCE: Duration = Duration::from_millis(300);

/// How long a host waits for its parent when all start for the first time.
///
/// Long enough for the weakest hosts to start, and far less than the time until callers come.
const FIRST_START_PATIENCE: Duration = Duration::from_secs(4);

/// How a topic is read from the store.
#[derive(Clone, Copy, Debug)]
struct FollowSettings {
    /// How long a read by the first root waits for a new record.
    wait: Duration,
    /// Pause between reads.
    pause: Duration,
    policy: ReadPolicy,
}

impl FollowSettings {
    fn new(topic: Topic, bounds: &GatewayBounds, is_first_start: bool) -> Self {
        let patience = if is_first_start {
            FIRST_START_PATIENCE
        } else {
            RESTART_PATIENCE
        };
        let bound = match topic {
            Topic::Config => bounds
                .config_delay
                .min(bounds.max_key_age * KEY_AGE_PERCENT / 100)
                .min(bounds.evacuation_delay * EVACUATION_PERCENT / 100),
            Topic::Upstreams => bounds.leaving_delay,
            // Only the first three topics are followed.
            Topic::Hosts | Topic::Lease | Topic::Software | Topic::StreamVersions => HOST_BOUND,
        };
        let policy = ReadPolicy::new(bound, patience);
        let (wait, pause) = match topic {
            // A changed configuration ends the wait.
            Topic::Config => (policy.read_interval, Duration::ZERO),
            Topic::Upstreams => (Duration::ZERO, policy.read_interval),
            Topic::Hosts | Topic::Lease | Topic::Software | Topic::StreamVersions => {
                (Duration::ZERO, HOST_READ_PAUSE)
            }
        };
        Self {
            wait,
            pause,
            policy,
        }
    }
}

/// Follows a keyed topic until the host stops.
pub async fn follow<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
    topic: Topic,
) {
    let mut follower = Follower {
        shared,
        store,
        topic,
        is_failing: false,
        pause: MIN_RETRY_PAUSE,
    };
    let mut expired = false;
    while !follower.shared.is_stopped() {
        // Records from the parent are a start as good as those from the store.
        let is_known = follower.confirmed_at().is_some();
        if !follower.should_read() {
            tokio::time::sleep(if is_known {
                STALENESS_CHECK_INTERVAL
            } else {
                START_CHECK_INTERVAL
            })
            .await;
            continue;
        }
        let needs_newest = expired || !is_known || follower.is_era_unread();
        let result = if needs_newest {
            follower.read_newest().await
        } else {
            follower.read_changes().await
        };
        if let Some(era) = follower.store.era() {
            follower.shared.learn_era(era, "the store");
        }
        match result {
            Ok(()) => {
                expired = false;
                follower.record_recovery();
                follower.pause = MIN_RETRY_PAUSE;
                tokio::time::sleep(follower.settings().pause).await;
            }
            Err(StoreError::Expired { .. }) => {
                log::info!(
                    "store: topic={topic} records expired before they were read, \
                     reading the newest of each key"
                );
                expired = true;
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
    is_failing: bool,
    pause: Duration,
}

impl<C: PlatformCodec, S: StoreClient> Follower<C, S> {
    fn settings(&self) -> FollowSettings {
        let is_first_start = self.shared.settings.is_first_start;
        FollowSettings::new(self.topic, &self.shared.bounds(), is_first_start)
    }

    fn confirmed_at(&self) -> Option<Moment> {
        let mut state = self.shared.state();
        state.topic(self.topic)?.confirmed_at()
    }

    /// Returns whether the known records are of an earlier era of the store than the latest one.
    fn is_era_unread(&self) -> bool {
        let mut state = self.shared.state();
        let store_era = state.store_era;
        state
            .topic(self.topic)
            .is_some_and(|topic_records| Some(topic_records.era()) < store_era)
    }

    /// Returns whether to read the store: as the first root, or because the records are too old.
    fn should_read(&self) -> bool {
        let now = BootClock.now();
        let confirmed_at = self.confirmed_at();
        // Only the registrations tell a host its position.
        if self.topic == Topic::Hosts && confirmed_at.is_none() {
            return self.shared.may_read_hosts(now);
        }
        let mut state = self.shared.state();
        let position = state.tree.position(now);
        let read_state = ReadState {
            started_at: self.shared.started_at,
            has_position: state.hosts.confirmed_at().is_some(),
            is_first_root: position.reads_store,
            level: position.level,
            confirmed_at,
        };
        drop(state);
        self.settings().policy.should_read(&read_state, now)
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
        let changes = topic_records.apply(TopicUpdate {
            era: page.era,
            records: page.records,
            end: page.end,
            confirmed_at: Some(requested_at),
            is_whole: true,
        });
        state.apply(self.topic, &changes, now);
        Ok(())
    }

    async fn read_changes(&mut self) -> Result<(), StoreError> {
        let from = self.end();
        let requested_at = BootClock.now();
        // A host that reads because its records are too old needs the answer at once.
        let wait = if self.is_first_root(requested_at) {
            self.settings().wait
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
            // A page of a later era changes nothing; all records are read next.
            let changes = topic_records.apply(TopicUpdate {
                era: page.era,
                records: page.records,
                end: page.end,
                confirmed_at: Some(confirmed_at),
                is_whole: false,
            });
            state.apply(self.topic, &changes, now);
        }
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
