//! The state machine of one candidate: the lease, the accounts of engines and the planner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, FastMap, HostName, Moment, Offset, Tables};

use crate::adapters::AdapterKey;
use crate::misses::Misses;
use crate::{
    Assignment, Change, Demand, Effect, EngineReport, Entry, Event, Lease, LeaseRecord, Ledger,
    OrderId, Outcome, Pace, Planner, Settings, Share, Stage,
};

/// How often the lease stream is read.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// What a report's age may be cut short by when it is given in whole milliseconds.
const AGE_ROUNDING: Duration = Duration::from_millis(1);

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
    candidates: Vec<HostName>,
    pub(crate) unread: BTreeMap<String, Unread>,
    pub(crate) adapters_used: FastMap<AdapterKey, Moment>,
    pub(crate) seals: BTreeMap<HostName, Moment>,
    pub(crate) pace: Pace,
    pub(crate) log_failed: bool,
    pub(crate) round_at: Option<Moment>,
    read_at: Option<Moment>,
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
            // With hundreds of engines most reports change nothing that can't wait for a tick.
            Event::Report { report, .. } => {
                let account = self.ledger.account(&report.host);
                self.round_at.is_none()
                    || account.is_none_or(|account| !account.orders().is_empty())
            }
            Event::Demand(_) | Event::AppendDone(..) => false,
            _ => true,
        }
    }

    fn take(&mut self, event: Event, now: Moment, effects: &mut Vec<Effect>) {
        match event {
            Event::LeaseRead(entries) => self.take_entries(&entries, now, effects),
            Event::ReadFailed => {
                self.log_failed = true;
                self.read_at = Some(now);
            }
            Event::AppendUnknown(_id) => self.log_failed = true,
            Event::AppendDone(_id, _offset) => self.read_at = None,
            Event::Report { report, asked } => self.take_report(report, asked, now, effects),
            Event::Tables(tables) => self.take_tables(tables, now),
            Event::Members {
                candidates,
                leaving,
                gone,
            } => {
                self.candidates = candidates;
                self.ledger.set_members(leaving, gone);
            }
            Event::Demand(demands) => self.demand.report(&demands, now),
            Event::Miss {
                model,
                adapter,
                bound,
            } => {
                if let Some(adapter) = &adapter {
                    self.adapters_used
                        .insert((model.clone(), adapter.clone()), now);
                }
                if self.misses.add(model, adapter, now.after(bound)) {
                    self.round_at = None;
                }
            }
            Event::Answer {
                engine,
                order,
                outcome,
            } => {
                self.take_answer(&engine, order, outcome, now, effects);
            }
            Event::Tick => {}
            Event::Drain => self.drain(now, effects),
        }
    }

    fn take_entries(&mut self, entries: &[Entry], now: Moment, effects: &mut Vec<Effect>) {
        self.log_failed = false;
        self.read_at = Some(now);
        for entry in entries {
            self.unread.remove(entry.id.as_str());
        }
        match self.lease.read(entries, now) {
            Some(Change::Became(fence)) => self.take_over(fence, now, effects),
            Some(Change::Lost) => self.stop(effects),
            None => {}
        }
        self.ready_orders();
    }

    fn take_over(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        log::info!(
            "placement: became holder of zone {} with fence {fence}",
            self.settings.zone
        );
        self.ledger
            .take_over(self.lease.fold().open().values(), now);
        self.planner = Planner::new(self.settings.demand);
        self.pace = Pace::new(self.share.interval, now);
        self.unread.clear();
        self.seals.clear();
        self.order_seq = 0;
        self.round_at = None;
        effects.push(Effect::Became(fence));
    }

    pub(crate) fn stop(&mut self, effects: &mut Vec<Effect>) {
        log::info!("placement: no longer holder of zone {}", self.settings.zone);
        self.unread.clear();
        effects.push(Effect::Lost);
    }

    fn take_report(
        &mut self,
        report: EngineReport,
        asked: Moment,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        let Some(host) = self.tables.hosts.get(&report.host) else {
            return;
        };
        let own = host.zone == self.settings.zone;
        let fence = self
            .lease
            .fence()
            .filter(|fence| own && report.fence > *fence);
        if fence.is_some() && self.lease.step_down().is_some() {
            self.stop(effects);
        }
        let age = Duration::from_millis(report.at) + AGE_ROUNDING;
        let made = Moment(
            asked
                .0
                .saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        );
        let engine = report.host.clone();
        self.ledger.account_mut(&engine).report(report, made, now);
    }

    fn take_tables(&mut self, tables: Arc<Tables>, now: Moment) {
        let loading: Vec<_> = self
            .settings
            .zones
            .iter()
            .filter(|zone| self.settings.budget.share(zone, &self.settings.zones).slots > 0)
            .cloned()
            .collect();
        self.assignment = Assignment::new(&tables, &loading);
        self.tables = tables;
        self.tables_at = now;
        self.round_at = None;
    }

    fn take_answer(
        &mut self,
        engine: &HostName,
        order: OrderId,
        outcome: Outcome,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            Outcome::Done => {
                let open = self.ledger.account_mut(engine).order_mut(order);
                if let Some(open) = open
                    && let Stage::Sent { last, .. } = open.stage
                {
                    open.stage = Stage::Answered { last, at: now };
                }
            }
            Outcome::Failed => log::warn!("placement: engine {engine} failed order {order}"),
            Outcome::Refused(number) => {
                let old = self.lease.fence().is_some_and(|fence| fence < number);
                if old && self.lease.step_down().is_some() {
                    self.stop(effects);
                }
            }
        }
    }

    fn drain(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if let Some(record) = self.lease.drain() {
            self.stop(effects);
            self.append(record, now, effects);
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
