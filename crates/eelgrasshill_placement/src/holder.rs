//! The state machine of one candidate: the lease, the accounts of engines and the planner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, FastMap, HostName, Moment, Offset, Tables};

use crate::adapters::AdapterKey;
use crate::misses::Misses;
use crate::{
    Assignment, Demand, Effect, Event, Lease, LeaseRecord, Ledger, Pace, Planner, Settings, Share,
};

/// How often the lease stream is read.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// An append that has not been read back yet.
#[derive(Clone, Debug)]
pub(crate) struct Unread {
    pub(crate) record: LeaseRecord,
    pub(crate) tried: Moment,
}

/// A host that may hold its zone's lease.
#[derive(Clone, Debug)]
pub struct Holder {
    pub(crate) settings: Settings,
    pub(crate) share: Share,
    pub(crate) lease: Lease,
    pub(crate) ledger: Ledger,
    pub(crate) planner: Planner,
    pub(crate) demand: Demand,
    pub(crate) misses: Misses,
    pub(crate) tables: Arc<Tables>,
    pub(crate) assignment: Assignment,
    pub(crate) tables_at: Moment,
    pub(crate) candidates: Vec<HostName>,
    pub(crate) unread: BTreeMap<String, Unread>,
    pub(crate) adapters_used: FastMap<AdapterKey, Moment>,
    pub(crate) seals: BTreeMap<HostName, Moment>,
    pub(crate) pace: Pace,
    pub(crate) log_failed: bool,
    pub(crate) round_at: Option<Moment>,
    /// Whether something changed for which the next round should not wait its period out.
    pub(crate) hurry: bool,
    pub(crate) read_at: Option<Moment>,
    pub(crate) order_seq: u64,
    append_seq: u64,
}

impl Holder {
    /// Makes a candidate that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let share = settings.budget.share(&settings.zone, &settings.zones);
        Self {
            share,
            lease: Lease::new(settings.host.clone(), settings.lease),
            ledger: Ledger::default(),
            planner: Planner::new(settings.demand),
            demand: Demand::new(settings.demand),
            misses: Misses::default(),
            tables: Arc::default(),
            assignment: Assignment::default(),
            tables_at: Moment(0),
            candidates: vec![settings.host.clone()],
            unread: BTreeMap::new(),
            adapters_used: FastMap::default(),
            seals: BTreeMap::new(),
            pace: Pace::new(share.interval, Moment(0)),
            log_failed: false,
            round_at: None,
            hurry: false,
            read_at: None,
            order_seq: 0,
            append_seq: 0,
            settings,
        }
    }

    /// Returns the fencing number while this host is the last holder that it knows of.
    #[must_use]
    pub fn fence(&self) -> Option<Offset> {
        self.lease.fence()
    }

    /// Returns this host's view of the lease.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the accounts of the engines.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns which zones are to hold which models.
    #[must_use]
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Takes in an event and returns what is to be done about it.
    pub fn handle(&mut self, event: Event, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let directs = self.calls_for_orders(&event);
        self.take(event, now, &mut effects);
        self.keep_lease(now, &mut effects);
        if directs {
            self.direct(now, &mut effects);
        }
        self.read_on(now, &mut effects);
        effects
    }

    /// Returns whether an event may change what is to be ordered before the next tick.
    fn calls_for_orders(&self, event: &Event) -> bool {
        match event {
            // With hundreds of engines a pass for each report would cost more than the rounds.
            Event::Report { .. } => self.round_at.is_none(),
            Event::Demand(_) | Event::AppendDone(..) => false,
            _ => true,
        }
    }

    fn keep_lease(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        for (id, record) in self.lease.overdue(now) {
            push_append(&id, record, effects);
        }
        if let Some(record) = self.lease.due(&self.candidates, now) {
            let id = self.next_id();
            if let Ok(name) = AppendId::new(&id) {
                self.lease.note_sent(&name, &record, now);
            }
            push_append(&id, record, effects);
        }
        let retry = self.settings.lease.retry;
        for (id, unread) in &mut self.unread {
            if now.since(unread.tried) >= retry {
                unread.tried = now;
                push_append(id, unread.record.clone(), effects);
            }
        }
    }

    /// Appends a record and repeats it until it is read back.
    pub(crate) fn append(&mut self, record: LeaseRecord, now: Moment, effects: &mut Vec<Effect>) {
        let id = self.next_id();
        push_append(&id, record.clone(), effects);
        self.unread.insert(id, Unread { record, tried: now });
    }

    fn next_id(&mut self) -> String {
        self.append_seq += 1;
        let Settings {
            host, incarnation, ..
        } = &self.settings;
        format!("{host}:{incarnation}:{}", self.append_seq)
    }

    fn read_on(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let due = self.read_at.is_none_or(|at| now.since(at) >= READ_PERIOD);
        if due {
            self.read_at = Some(now);
            effects.push(Effect::Read(self.lease.fold().next()));
        }
    }
}

/// The id is made of names, so it is a name unless the host's is too long.
fn push_append(id: &str, record: LeaseRecord, effects: &mut Vec<Effect>) {
    match AppendId::new(id) {
        Ok(id) => effects.push(Effect::Append { id, record }),
        Err(error) => log::error!("placement: append left out: {error}"),
    }
}
