//! Follows the store's keyed topics.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_ports::BootClock;

use crate::state::Shared;
use crate::telemetry;
use crate::wire::{Store, StoreError, Topic, TopicPage, Wire, page_moment};

/// Pause after a failed read: short beside all bounds, long beside an answer's four milliseconds.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed reads of a host that takes its news from a parent: while the store
/// is away, only the first host asks on, and its word of the return is there within a second.
const PAUSE_MOST: Duration = Duration::from_secs(2);

/// How often a host that takes its news from a parent looks whether they are stale.
const LOOK: Duration = Duration::from_millis(200);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How long a read waits for a record.
    pub wait: Duration,
    /// Pause between two reads.
    pub pause: Duration,
    /// Age from which a host reads for itself although its parent should tell it.
    pub stale: Duration,
}

/// Follows a keyed topic until the host stops.
pub async fn follow<W: Wire, S: Store>(shared: Arc<Shared<W>>, store: S, topic: Topic, pace: Pace) {
    let mut follower = Follower {
        shared,
        store,
        topic,
        pace,
        lost: false,
        pause: PAUSE,
    };
    let mut whole = true;
    while !follower.shared.is_stopped() {
        if !whole && !follower.is_due() {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let done = if whole {
            follower.read_whole().await
        } else {
            follower.read_on().await
        };
        match done {
            Ok(()) => {
                whole = false;
                follower.note_regained();
                follower.pause = PAUSE;
                tokio::time::sleep(pace.pause).await;
            }
            Err(StoreError::Expired) => {
                log::info!("store: topic={topic} records expired, reading the newest");
                whole = true;
            }
            Err(error) => {
                follower.note_lost(&error);
                tokio::time::sleep(follower.next_pause(whole)).await;
            }
        }
    }
}

struct Follower<W: Wire, S: Store> {
    shared: Arc<Shared<W>>,
    store: S,
    topic: Topic,
    pace: Pace,
    lost: bool,
    pause: Duration,
}

impl<W: Wire, S: Store> Follower<W, S> {
    /// Returns whether this host reads the store itself: as the first of the tops, or without news.
    fn is_due(&self) -> bool {
        let now = BootClock.now();
        if self.is_first(now) {
            return true;
        }
        let mut desk = self.shared.desk();
        let fresh = desk.topic(self.topic).and_then(|keyed| keyed.fresh());
        fresh.is_none_or(|fresh| now.since(fresh) >= self.pace.stale)
    }

    /// Returns how long to wait after a failed read: longer each time, unless others depend on it.
    fn next_pause(&mut self, whole: bool) -> Duration {
        if whole || self.is_first(BootClock.now()) {
            return PAUSE;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(PAUSE_MOST);
        // Hosts that failed together do not return together.
        pause.mul_f64(rand::random_range(0.5..1.0))
    }

    fn is_first(&self, now: Moment) -> bool {
        self.shared.desk().tree.position(now).first
    }

    async fn read_whole(&mut self) -> Result<(), StoreError> {
        let asked = BootClock.now();
        let page = self.store.newest(self.topic).await?;
        telemetry::store_call(self.topic, "newest");
        let now = BootClock.now();
        let mut desk = self.shared.desk();
        let Some(keyed) = desk.topic(self.topic) else {
            return Ok(());
        };
        let news = keyed.replace(page.records, page.end, asked);
        desk.apply(self.topic, &news, now);
        Ok(())
    }

    async fn read_on(&mut self) -> Result<(), StoreError> {
        let from = self.end();
        let asked = BootClock.now();
        // What is stale is looked at without waiting for a change.
        let wait = if self.is_first(asked) {
            self.pace.wait
        } else {
            Duration::ZERO
        };
        let page = self.store.read(self.topic, from, wait).await?;
        telemetry::store_call(self.topic, "read");
        let now = BootClock.now();
        let fresh = page_moment(&page, asked, wait, now);
        self.take(page, fresh, now);
        Ok(())
    }

    fn take(&self, page: TopicPage, fresh: Moment, now: Moment) {
        let mut desk = self.shared.desk();
        if let Some(keyed) = desk.topic(self.topic) {
            let news = keyed.extend(page.records, page.end, Some(fresh));
            desk.apply(self.topic, &news, now);
        }
        desk.tidy(now);
    }

    fn end(&self) -> eelgrasshill_domain::Offset {
        let mut desk = self.shared.desk();
        desk.topic(self.topic)
            .map(|keyed| keyed.end())
            .unwrap_or_default()
    }

    fn note_lost(&mut self, error: &StoreError) {
        let now = BootClock.now();
        self.shared.desk().trouble = Some(now);
        telemetry::store_call(self.topic, "failed");
        if !self.lost {
            log::warn!("store: topic={} lost: {error}", self.topic);
            self.lost = true;
        }
    }

    fn note_regained(&mut self) {
        if self.lost {
            log::info!("store: topic={} regained", self.topic);
            self.lost = false;
        }
    }
}
