//! The state machine of a host that may hold its zone's lease.
//!
//! It combines the lease, the state of all engines and the planner. It decides which records
//! to append to the lease stream, when to read it, and when to issue orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, FastMap, HostName, Moment, Offset, Tables};

use crate::adapters::AdapterKey;
use crate::misses::Misses;
use crate::{
    Assignment, Effect, EngineStates, Event, Lease, LeaseRecord, LoadPacer, Planner, Settings,
    SmoothedDemand, ZoneShare,
};

/// Interval between reads of the lease stream.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// An append of intents, resolved orders or a release that was not read back yet.
///
/// The lease keeps claims and renewals itself, because it lasts from their first send.
#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedAppend {
    pub(crate) record: LeaseRecord,
    pub(crate) last_sent: Moment,
}

/// Decides placement for one host that may hold its zone's lease.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) share: ZoneShare,
    pub(crate) lease: Lease,
    pub(crate) engine_states: EngineStates,
    pub(crate) planner: Planner,
    pub(crate) demand: SmoothedDemand,
    pub(crate) misses: Misses,
    pub(crate) tables: Arc<Tables>,
    pub(crate) assignment: Assignment,
    /// When the tables in force arrived.
    pub(crate) tables_changed_at: Moment,
    /// Entry hosts of the zone that may claim the lease.
    pub(crate) candidates: Vec<HostName>,
    /// Appends that are repeated until they are read back, by append id.
    pub(crate) unconfirmed: BTreeMap<String, UnconfirmedAppend>,
    /// When each adapter was last requested while it was not resident.
    pub(crate) adapter_requests: FastMap<AdapterKey, Moment>,
    /// When the fencing token was last sent to each engine in this term.
    pub(crate) seals_sent: BTreeMap<HostName, Moment>,
    pub(crate) load_pacer: LoadPacer,
    /// Whether the log refused or did not answer a request since it was last read.
    pub(crate) log_failed: bool,
    /// When the last planning round ran; none from the start of a term until its first round.
    pub(crate) last_planned_at: Option<Moment>,
    /// Whether a change calls for planning before the planning interval has passed.
    pub(crate) replan_soon: bool,
    /// When the lease stream was last read or requested; none makes a read due.
    pub(crate) last_read_at: Option<Moment>,
    pub(crate) order_seq: u64,
    append_seq: u64,
}

impl Controller {
    /// Creates a controller without tables, reports or log records.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let share = settings.budget.share(&settings.zone, &settings.zones);
        Self {
            share,
            lease: Lease::new(settings.host.clone(), settings.lease),
            engine_states: EngineStates::default(),
            planner: Planner::new(settings.demand),
            demand: SmoothedDemand::new(settings.demand),
            misses: Misses::default(),
            tables: Arc::default(),
            assignment: Assignment::default(),
            tables_changed_at: Moment(0),
            candidates: vec![settings.host.clone()],
            unconfirmed: BTreeMap::new(),
            adapter_requests: FastMap::default(),
            seals_sent: BTreeMap::new(),
            load_pacer: LoadPacer::new(share.load_interval, Moment(0)),
            log_failed: false,
            last_planned_at: None,
            replan_soon: false,
            last_read_at: None,
            order_seq: 0,
            append_seq: 0,
            settings,
        }
    }

    /// Returns the fencing token if this host is the latest known lease holder.
    #[must_use]
    pub fn fence(&self) -> Option<Offset> {
        self.lease.fence()
    }

    /// Returns the lease as this host knows it.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the known state of all engines.
    #[must_use]
    pub fn engine_states(&self) -> &EngineStates {
        &self.engine_states
    }

    /// Returns the assignment of models to zones.
    #[must_use]
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Applies an event and returns the effects to perform.
    pub fn handle(&mut self, event: Event, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let triggers_orders = self.triggers_orders(&event);
        self.apply(event, now, &mut effects);
        self.maintain_lease(now, &mut effects);
        if triggers_orders {
            self.issue_orders(now, &mut effects);
        }
        self.read_if_due(now, &mut effects);
        effects
    }

    /// Returns whether an event may require orders before the next tick.
    fn triggers_orders(&self, event: &Event) -> bool {
        match event {
            // With hundreds of engines, issuing orders after every report would cost more than
            // the planning rounds, so a report does so only before the term's first round.
            Event::Report { .. } => self.last_planned_at.is_none(),
            // Demand waits for the next round; an append counts only when it is read back.
            Event::Demand(_) | Event::AppendDone(..) => false,
            _ => true,
        }
    }

    fn maintain_lease(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        for (id, record) in self.lease.take_overdue_claims(now) {
            push_append(&id, record, effects);
        }
        if let Some(record) = self.lease.due_record(&self.candidates, now) {
            let id = self.next_id();
            if let Ok(append_id) = AppendId::new(&id) {
                self.lease.record_sent(&append_id, &record, now);
            }
            push_append(&id, record, effects);
        }
        let retry_interval = self.settings.lease.retry_interval;
        for (id, unconfirmed) in &mut self.unconfirmed {
            if now.since(unconfirmed.last_sent) >= retry_interval {
                unconfirmed.last_sent = now;
                push_append(id, unconfirmed.record.clone(), effects);
            }
        }
    }

    /// Appends a record and repeats the append until the record is read back.
    pub(crate) fn append(&mut self, record: LeaseRecord, now: Moment, effects: &mut Vec<Effect>) {
        let id = self.next_id();
        push_append(&id, record.clone(), effects);
        self.unconfirmed.insert(
            id,
            UnconfirmedAppend {
                record,
                last_sent: now,
            },
        );
    }

    fn next_id(&mut self) -> String {
        self.append_seq += 1;
        let Settings {
            host, incarnation, ..
        } = &self.settings;
        format!("{host}:{incarnation}:{}", self.append_seq)
    }

    fn read_if_due(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let due = self
            .last_read_at
            .is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if due {
            self.last_read_at = Some(now);
            effects.push(Effect::Read(self.lease.state().next_offset()));
        }
    }
}

/// Adds the effect that appends a record.
///
/// The id consists of valid names, so it is invalid only if the host name is too long.
fn push_append(id: &str, record: LeaseRecord, effects: &mut Vec<Effect>) {
    match AppendId::new(id) {
        Ok(id) => effects.push(Effect::Append { id, record }),
        Err(error) => log::error!("placement: append {id} skipped, its id is invalid: {error}"),
    }
}
