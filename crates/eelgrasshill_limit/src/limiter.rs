//! The limiter of one host: the ledger, the lenders on this host and its borrowers.
//!
//! It has no clock and does no I/O. The caller's clock must advance while the host is suspended. An
//! admission counts as of the time that is passed in.

mod inputs;
mod tick;

use std::collections::BTreeMap;

use eelgrasshill_domain::{FastMap, FastSet, Moment, OrgName, Version};

use crate::borrower::BorrowOutcome;
use crate::local_lease::LocalLease;
use crate::planner::SharePlanner;
use crate::{
    Admission, AllSafeguards, Amount, BorrowReply, BorrowRequest, Borrower, Effect, Holder, Ledger,
    Lender, Limit, LimitRefusal, LimitSettings, ReservationId, Safeguards,
};

/// Admits one host's requests within the rate and burst of each organisation.
#[derive(Clone, Debug)]
pub struct Limiter<S = AllSafeguards> {
    settings: LimitSettings,
    ledger: Ledger,
    lease: LocalLease,
    planner: SharePlanner,
    config_version: Version,
    limits: BTreeMap<OrgName, Limit>,
    observed: BTreeMap<OrgName, ObservedLimit>,
    lenders: FastMap<OrgName, Lender<S>>,
    borrowers: FastMap<OrgName, Borrower<S>>,
    reservations: FastMap<ReservationId, OrgName>,
    /// The organisations with requests that wait for tokens.
    waiting: FastSet<OrgName>,
    effects: Vec<Effect>,
    last_id: u64,
    last_tick: Option<Moment>,
    /// When this host had last read the log to its end.
    caught_up_at: Option<Moment>,
}

impl<S: Safeguards> Limiter<S> {
    /// Creates the limiter of a process that has just started.
    #[must_use]
    pub fn new(me: Holder, settings: LimitSettings) -> Self {
        Self {
            settings,
            ledger: Ledger::default(),
            lease: LocalLease::new(me),
            planner: SharePlanner::default(),
            config_version: Version::default(),
            limits: BTreeMap::new(),
            observed: BTreeMap::new(),
            lenders: FastMap::default(),
            borrowers: FastMap::default(),
            reservations: FastMap::default(),
            waiting: FastSet::default(),
            effects: Vec::new(),
            last_id: 0,
            last_tick: None,
            caught_up_at: None,
        }
    }

    /// Returns the state folded from the `rights` stream.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns this host's lender of an organisation, if there is one.
    #[must_use]
    pub fn lender(&self, organisation: &OrgName) -> Option<&Lender<S>> {
        self.lenders.get(organisation)
    }

    /// Returns whether this host may lend: its lease is valid and it is not draining.
    #[must_use]
    pub const fn is_lending(&self, now: Moment) -> bool {
        !self.lease.draining && now.0 < self.lease_end().0
    }

    /// Returns when this host must stop accruing and lending.
    const fn lease_end(&self) -> Moment {
        if S::STOP_AT_LEASE_END {
            self.lease.expires_at
        } else {
            Moment(u64::MAX)
        }
    }

    /// Decides whether a request of `cost` tokens may run now.
    ///
    /// The caller queues the waiting requests of an organisation. After [`Admission::Wait`] it must
    /// poll at once, so that the lenders are asked. Each reservation takes memory until it is
    /// settled, so settle it even if its request fails.
    pub fn admit(&mut self, organisation: &OrgName, cost: u64, now: Moment) -> Admission {
        let Some(limit) = self.limits.get(organisation) else {
            return Admission::Refused(LimitRefusal::Unknown {
                organisation: organisation.clone(),
            });
        };
        let amount = Amount::from_tokens(cost);
        if amount > limit.share.burst {
            return Admission::Refused(LimitRefusal::TooLarge {
                cost,
                burst: limit.share.burst.tokens(),
            });
        }
        let id = ReservationId(self.last_id + 1);
        if self.reserve(id, organisation, amount, now) {
            return self.record_admission(id, organisation);
        }
        let outcome = self.borrow(organisation, amount, now);
        if self.reserve(id, organisation, amount, now) {
            return self.record_admission(id, organisation);
        }
        match outcome {
            BorrowOutcome::Sufficient | BorrowOutcome::Requested => {
                self.waiting.insert(organisation.clone());
                Admission::Wait(now.after(self.settings.hedge_delay))
            }
            BorrowOutcome::Scarce(retry) => Admission::Refused(LimitRefusal::Scarce { retry }),
            BorrowOutcome::Unreachable => Admission::Refused(LimitRefusal::Unreachable {
                retry: self.settings.loan_ttl,
            }),
        }
    }

    fn record_admission(&mut self, id: ReservationId, organisation: &OrgName) -> Admission {
        self.last_id = id.0;
        self.reservations.insert(id, organisation.clone());
        self.waiting.remove(organisation);
        Admission::Admitted(id)
    }

    fn reserve(&mut self, id: ReservationId, org: &OrgName, cost: Amount, now: Moment) -> bool {
        self.borrower(org, now).spend(id, cost, now)
    }

    fn borrower(&mut self, organisation: &OrgName, now: Moment) -> &mut Borrower<S> {
        let me = &self.lease.me;
        let ledger = &self.ledger;
        self.borrowers
            .entry(organisation.clone())
            .or_insert_with(|| {
                let (me, zone) = (me.process.clone(), me.zone.clone());
                let mut borrower = Borrower::new(organisation.clone(), me, zone);
                if let Some(account) = ledger.account(organisation) {
                    borrower.set_lenders(account, now);
                }
                borrower
            })
    }

    /// Asks lenders, repeatedly while the lender on this host itself answers.
    fn borrow(&mut self, organisation: &OrgName, want: Amount, now: Moment) -> BorrowOutcome {
        loop {
            let settings = self.settings;
            let mut requests = Vec::new();
            let borrower = self.borrower(organisation, now);
            let outcome = borrower.request(want, now, &settings, &mut requests);
            if !self.dispatch(requests, now) {
                return outcome;
            }
        }
    }

    /// Answers requests to this host itself and queues the others as effects.
    ///
    /// Returns whether one was answered.
    fn dispatch(&mut self, requests: Vec<BorrowRequest>, now: Moment) -> bool {
        let mut answered = false;
        for request in requests {
            if request.lender == self.lease.me.process {
                answered = true;
                if let Some(reply) = self.lend(&request, now) {
                    self.receive(&reply, now);
                }
                continue;
            }
            let lease = self.ledger.lease(&request.lender);
            let Some(lender) = lease.map(|lease| lease.holder.clone()) else {
                continue;
            };
            self.effects.push(Effect::Borrow { lender, request });
        }
        answered
    }

    /// Ends a reservation with the tokens it used; false if it ended before.
    pub fn settle(&mut self, id: ReservationId, used: u64, now: Moment) -> bool {
        let Some(organisation) = self.reservations.remove(&id) else {
            return false;
        };
        let Some(borrower) = self.borrowers.get_mut(&organisation) else {
            return false;
        };
        borrower.settle(id, Amount::from_tokens(used), now, &self.settings)
    }

    /// Answers a borrower's request.
    ///
    /// Returns none if a later request was answered, or if it is for another process.
    pub fn lend(&mut self, request: &BorrowRequest, now: Moment) -> Option<BorrowReply> {
        if request.lender != self.lease.me.process {
            return None;
        }
        let share = self.own_share(&request.organisation, now);
        let may_lend = self.is_lending(now);
        let lender = self.lenders.get_mut(&request.organisation)?;
        if lender.bucket().share() != share {
            lender.set_share(now, share);
        }
        lender.lend(request, may_lend, now, &self.settings)
    }

    /// Handles the reply of a lender.
    pub fn receive(&mut self, reply: &BorrowReply, now: Moment) {
        if reply.borrower != self.lease.me.process {
            return;
        }
        let Some(borrower) = self.borrowers.get_mut(&reply.organisation) else {
            return;
        };
        borrower.receive(reply, now, &self.settings);
        if self.waiting.remove(&reply.organisation) {
            self.effects.push(Effect::Ready(reply.organisation.clone()));
        }
    }

    /// Stops lending, so that the shares can be released once all loans have ended.
    pub fn drain(&mut self) {
        self.lease.draining = true;
        self.last_tick = None;
    }

    /// Returns whether this host holds no shares.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.ledger.lease(&self.lease.me.process).is_none()
    }

    /// Performs the work that is due and returns the actions for the caller.
    pub fn poll(&mut self, now: Moment) -> Vec<Effect> {
        let settings = self.settings;
        let mut requests = Vec::new();
        for borrower in self.borrowers.values_mut() {
            borrower.poll(now, &settings, &mut requests);
        }
        self.dispatch(requests, now);
        let due = self
            .last_tick
            .is_none_or(|at| now.since(at) >= settings.append_timeout);
        if due {
            self.last_tick = Some(now);
            self.tick(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the latest time for the next poll.
    #[must_use]
    pub fn next_wake(&self) -> Moment {
        let settings = &self.settings;
        let tick = self.last_tick.map(|at| at.after(settings.append_timeout));
        self.borrowers
            .values()
            .filter_map(|borrower| borrower.next_wake(settings))
            .chain([tick.unwrap_or_default()])
            .min()
            .unwrap_or_default()
    }
}

/// The newest limit of an organisation that this host knows.
#[derive(Clone, Copy, Debug)]
struct ObservedLimit {
    limit: Limit,
    /// When it was first seen; none if other holders may have seen it long before.
    since: Option<Moment>,
}
