//! What the threads of one gateway share.

use std::marker::PhantomData;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eelgrasshill_domain::{FastSet, HostName, Incarnation, Moment};
use eelgrasshill_ports::{BootClock, lock};
use eelgrasshill_relay::{
    Allowances, Candidate, ChoiceSettings, Fleet, KeyBound, Keyed, KeyedRecord, Loads, Outcome,
    Picture, RetrySettings, RetryShare, Standings, Tables, Wanted,
};
use eelgrasshill_settings::GatewaySettings;

use crate::wire::{Topic, Wire};

/// How long the store's trouble is remembered: entries that lapsed are back by then.
const TROUBLE: Duration = Duration::from_secs(3);

/// What is known and decided at one moment, behind one lock.
#[derive(Debug)]
pub struct Desk<W> {
    /// The operators' configuration as it was read.
    pub config: Keyed,
    /// The upstreams' entries as they were read.
    pub entries: Keyed,
    /// The entry hosts' entries as they were read.
    pub hosts: Keyed,
    /// The configuration in force.
    pub tables: Option<Arc<Tables>>,
    /// The upstreams.
    pub fleet: Fleet,
    /// What runs on them.
    pub loads: Loads,
    /// How they did lately.
    pub standings: Standings,
    /// The budget of repeats.
    pub retries: RetryShare,
    /// The organisations' limits.
    pub allowances: Allowances,
    /// When the store was last in trouble.
    pub trouble: Option<Moment>,
    choice: ChoiceSettings,
    zone: eelgrasshill_domain::ZoneName,
    wire: PhantomData<W>,
}

impl<W: Wire> Desk<W> {
    fn new(settings: &GatewaySettings) -> Self {
        let retries = RetrySettings {
            ratio: settings.retries.ratio,
            extra: settings.retries.extra,
            window: settings.retries.window,
        };
        Self {
            config: Keyed::default(),
            entries: Keyed::default(),
            hosts: Keyed::default(),
            tables: None,
            fleet: Fleet::default(),
            loads: Loads::default(),
            standings: Standings::default(),
            retries: RetryShare::new(retries, 1),
            allowances: Allowances::default(),
            trouble: None,
            choice: ChoiceSettings {
                prefill: settings.orders.prefill,
                ..ChoiceSettings::default()
            },
            zone: settings.zone.clone(),
            wire: PhantomData,
        }
    }

    /// Returns the records of a keyed topic.
    pub fn topic(&mut self, topic: Topic) -> Option<&mut Keyed> {
        match topic {
            Topic::Config => Some(&mut self.config),
            Topic::Upstreams => Some(&mut self.entries),
            Topic::Hosts => Some(&mut self.hosts),
            Topic::Lease => None,
        }
    }

    /// Acts on records that are news.
    pub fn apply(&mut self, topic: Topic, news: &[KeyedRecord], now: Moment) {
        for record in news {
            match topic {
                Topic::Config => self.apply_config(record, now),
                Topic::Upstreams => self.apply_entry(record, now),
                Topic::Hosts | Topic::Lease => {}
            }
        }
    }

    fn apply_config(&mut self, record: &KeyedRecord, now: Moment) {
        if &*record.key != W::CONFIG_KEY || record.is_removal() {
            return;
        }
        match W::tables(&record.value) {
            Ok(tables) => {
                log::info!(
                    "config: version={} offset={} in force",
                    tables.version(),
                    record.offset
                );
                let rows = tables.organisations().map(|row| &**row);
                self.allowances.configure(rows, now);
                self.tables = Some(Arc::new(tables));
            }
            Err(error) => log::error!("config: offset={} skipped: {error}", record.offset),
        }
    }

    fn apply_entry(&mut self, record: &KeyedRecord, now: Moment) {
        let Ok(id) = HostName::new(&record.key) else {
            log::warn!("upstreams: offset={} skipped: its key is no name", record.offset);
            return;
        };
        if record.is_removal() {
            let unsteady = self.is_unsteady(now);
            log::info!("upstreams: id={id} entry dropped, store in trouble={unsteady}");
            self.fleet.remove(&id, unsteady, now);
            return;
        }
        match W::upstream(&record.key, &record.value) {
            Ok(upstream) => {
                let before = self.fleet.get(&id);
                if before.is_none_or(|b| b.leaving != upstream.leaving || b.born != upstream.born) {
                    log::info!(
                        "upstreams: id={id} pool={} address={} leaving={}",
                        upstream.pool,
                        upstream.address,
                        upstream.leaving
                    );
                }
                self.fleet.insert(upstream);
            }
            Err(error) => log::warn!("upstreams: offset={} skipped: {error}", record.offset),
        }
    }

    /// Returns whether the store was in trouble lately, so that entries may have lapsed.
    #[must_use]
    pub fn is_unsteady(&self, now: Moment) -> bool {
        self.trouble.is_some_and(|at| now.since(at) < TROUBLE)
    }

    /// Returns the upstream for a request.
    pub fn choose(&self, wanted: &Wanted<'_>, now: Moment) -> Option<Candidate> {
        let picture = Picture {
            fleet: &self.fleet,
            loads: &self.loads,
            standings: &self.standings,
            zone: &self.zone,
            settings: &self.choice,
        };
        picture.choose(wanted, |count| rand::random_range(0..count), now)
    }

    /// Forgets what is kept of upstreams that are gone.
    pub fn tidy(&mut self, now: Moment) {
        self.fleet.expire(now);
        let fleet = &self.fleet;
        self.loads.retain(|id| fleet.get(id).is_some());
        self.standings.retain(|id| fleet.get(id).is_some());
    }
}

/// What the threads of one gateway share.
#[derive(Debug)]
pub struct Shared<W> {
    /// The host's settings.
    pub settings: GatewaySettings,
    /// The number of this start of the host.
    pub incarnation: Incarnation,
    desk: Mutex<Desk<W>>,
    open: AtomicU64,
    leaving: AtomicU64,
    stopped: AtomicBool,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest<W: Wire>(Arc<Shared<W>>);

impl<W: Wire> Drop for OpenRequest<W> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<W: Wire> Shared<W> {
    /// Makes the state of a host that has just started.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Self {
        Self {
            desk: Mutex::new(Desk::new(&settings)),
            incarnation: BootClock.incarnation(),
            settings,
            open: AtomicU64::new(0),
            leaving: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// Locks what is known and decided; never across an await.
    pub fn desk(&self) -> MutexGuard<'_, Desk<W>> {
        lock(&self.desk)
    }

    /// Counts a request as open.
    pub fn open(self: &Arc<Self>) -> OpenRequest<W> {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Notes that the host is leaving from a moment on.
    pub fn leave(&self, now: Moment) {
        self.leaving.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Returns since when the host is leaving.
    #[must_use]
    pub fn leaving(&self) -> Option<Moment> {
        match self.leaving.load(Ordering::Relaxed) {
            0 => None,
            at => Some(Moment(at)),
        }
    }

    /// Notes that all threads must end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether all threads must end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns whether keys may be accepted by what is known of the configuration.
    #[must_use]
    pub fn allows_keys(&self, desk: &Desk<W>, now: Moment) -> bool {
        KeyBound(self.settings.key).allows(desk.config.fresh(), now)
    }

    /// Returns whether the balancer may send callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = BootClock.now();
        let desk = self.desk();
        self.leaving().is_none()
            && desk.tables.is_some()
            && !desk.fleet.is_empty()
            && self.allows_keys(&desk, now)
    }
}

/// Counts a request on an upstream until it is dropped.
#[derive(Debug)]
pub struct LoadGuard<W: Wire> {
    shared: Arc<Shared<W>>,
    id: HostName,
    unread: u64,
    outcome: Option<Outcome>,
}

impl<W: Wire> LoadGuard<W> {
    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn new(shared: &Arc<Shared<W>>, id: &HostName, tokens: u64) -> Self {
        shared.desk().loads.start(id, tokens);
        Self {
            shared: Arc::clone(shared),
            id: id.clone(),
            unread: tokens,
            outcome: None,
        }
    }

    /// Notes that the answer has begun.
    pub fn begin(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.shared.desk().loads.begin(&self.id, unread);
    }

    /// Notes how it went; counted once, when the guard is dropped.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl<W: Wire> Drop for LoadGuard<W> {
    fn drop(&mut self) {
        let mut desk = self.shared.desk();
        desk.loads.begin(&self.id, self.unread);
        desk.loads.end(&self.id);
        if let Some(outcome) = self.outcome {
            desk.standings.note(&self.id, outcome, BootClock.now());
        }
    }
}

/// The upstreams that a request was sent to.
pub type Tried = FastSet<HostName>;
