//! One host's limiter: the ledger's fold, the homes on this host and its borrowers.
//!
//! It has no clock and does no I/O. Its moments come from a clock that also counts while the host
//! is suspended. An admission counts as of the moment that is passed in.

mod control;
mod tick;

use std::collections::BTreeMap;

use eelgrasshill_domain::{FastMap, FastSet, Moment, OrgName, Version};

use crate::borrower::Supply;
use crate::planner::Planner;
use crate::rights::Rights;
use crate::{
    Admission, Amount, BorrowReply, BorrowRequest, Borrower, Effect, Holder, Home, Ledger, Limit,
    LimitSettings, Refusal, ReservationId, Safeguards, Sound,
};

/// The decisions of one host on rate and burst.
#[derive(Clone, Debug)]
pub struct Limiter<S = Sound> {
    settings: LimitSettings,
    ledger: Ledger,
    rights: Rights,
    planner: Planner,
    through: Version,
    limits: BTreeMap<OrgName, Limit>,
    noted: BTreeMap<OrgName, Noted>,
    homes: FastMap<OrgName, Home<S>>,
    borrowers: FastMap<OrgName, Borrower<S>>,
    reserved: FastMap<ReservationId, OrgName>,
    waiting: FastSet<OrgName>,
    outbox: Vec<Effect>,
    last_id: u64,
    ticked: Option<Moment>,
    current: Option<Moment>,
}

impl<S: Safeguards> Limiter<S> {
    /// Makes the limiter of a process that has just started.
    #[must_use]
    pub fn new(me: Holder, settings: LimitSettings) -> Self {
        Self {
            settings,
            ledger: Ledger::default(),
            rights: Rights::new(me),
            planner: Planner::default(),
            through: Version::default(),
            limits: BTreeMap::new(),
            noted: BTreeMap::new(),
            homes: FastMap::default(),
            borrowers: FastMap::default(),
            reserved: FastMap::default(),
            waiting: FastSet::default(),
            outbox: Vec::new(),
            last_id: 0,
            ticked: None,
            current: None,
        }
    }

    /// Returns the folded `rights` stream.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the home of an organisation on this host, if there is one.
    #[must_use]
    pub fn home(&self, organisation: &OrgName) -> Option<&Home<S>> {
        self.homes.get(organisation)
    }

    /// Returns whether this host may lend what it holds.
    #[must_use]
    pub const fn is_lending(&self, now: Moment) -> bool {
        !self.rights.draining && now.0 < self.ends().0
    }

    /// Returns when this host's right to accrue and to lend ends.
    const fn ends(&self) -> Moment {
        if S::LEASE_STOP {
            self.rights.ends
        } else {
            Moment(u64::MAX)
        }
    }

    /// Decides whether a request of `cost` tokens may run now.
    ///
    /// Requests of one organisation that wait are the caller's to queue; after
    /// [`Admission::Wait`] poll at once, so that the homes are asked. Each reservation takes
    /// memory until it is settled, whatever became of its request.
    pub fn admit(&mut self, organisation: &OrgName, cost: u64, now: Moment) -> Admission {
        let Some(limit) = self.limits.get(organisation) else {
            return Admission::Refused(Refusal::Unknown {
                organisation: organisation.clone(),
            });
        };
        let amount = Amount::from_tokens(cost);
        if amount > limit.share.burst {
            return Admission::Refused(Refusal::TooLarge {
                cost,
                burst: limit.share.burst.tokens(),
            });
        }
        let id = ReservationId(self.last_id + 1);
        if self.pay(id, organisation, amount, now) {
            return self.admitted(id, organisation);
        }
        let supply = self.borrow(organisation, amount, now);
        if self.pay(id, organisation, amount, now) {
            return self.admitted(id, organisation);
        }
        match supply {
            Supply::Enough | Supply::Asked => {
                self.waiting.insert(organisation.clone());
                Admission::Wait(now.after(self.settings.hedge))
            }
            Supply::Scarce(retry) => Admission::Refused(Refusal::Scarce { retry }),
            Supply::Unreachable => Admission::Refused(Refusal::Unreachable {
                retry: self.settings.loan,
            }),
        }
    }

    fn admitted(&mut self, id: ReservationId, organisation: &OrgName) -> Admission {
        self.last_id = id.0;
        self.reserved.insert(id, organisation.clone());
        self.waiting.remove(organisation);
        Admission::Admitted(id)
    }

    fn pay(&mut self, id: ReservationId, org: &OrgName, cost: Amount, now: Moment) -> bool {
        self.borrower(org, now).spend(id, cost, now)
    }

    fn borrower(&mut self, organisation: &OrgName, now: Moment) -> &mut Borrower<S> {
        let me = &self.rights.me;
        let ledger = &self.ledger;
        self.borrowers
            .entry(organisation.clone())
            .or_insert_with(|| {
                let (me, zone) = (me.process.clone(), me.zone.clone());
                let mut borrower = Borrower::new(organisation.clone(), me, zone);
                if let Some(account) = ledger.account(organisation) {
                    borrower.set_homes(account, now);
                }
                borrower
            })
    }

    /// Asks homes until this host's own has nothing more to give.
    fn borrow(&mut self, organisation: &OrgName, want: Amount, now: Moment) -> Supply {
        loop {
            let settings = self.settings;
            let mut requests = Vec::new();
            let borrower = self.borrower(organisation, now);
            let supply = borrower.request(want, now, &settings, &mut requests);
            if !self.dispatch(requests, now) {
                return supply;
            }
        }
    }

    /// Answers requests to this host itself and gives out the others; true when one was answered.
    fn dispatch(&mut self, requests: Vec<BorrowRequest>, now: Moment) -> bool {
        let mut answered = false;
        for request in requests {
            if request.home == self.rights.me.process {
                answered = true;
                if let Some(reply) = self.lend(&request, now) {
                    self.receive(&reply, now);
                }
                continue;
            }
            let tenure = self.ledger.tenure(&request.home);
            let Some(home) = tenure.map(|t| t.holder.clone()) else {
                continue;
            };
            self.outbox.push(Effect::Borrow { home, request });
        }
        answered
    }

    /// Ends a reservation with the tokens it truly used; false when it was ended before.
    pub fn settle(&mut self, id: ReservationId, used: u64, now: Moment) -> bool {
        let Some(organisation) = self.reserved.remove(&id) else {
            return false;
        };
        let Some(borrower) = self.borrowers.get_mut(&organisation) else {
            return false;
        };
        borrower.settle(id, Amount::from_tokens(used), now, &self.settings)
    }

    /// Answers another host's request; none when it is overtaken or not for this process.
    pub fn lend(&mut self, request: &BorrowRequest, now: Moment) -> Option<BorrowReply> {
        if request.home != self.rights.me.process {
            return None;
        }
        let share = self.own_share(&request.organisation, now);
        let open = self.is_lending(now);
        let home = self.homes.get_mut(&request.organisation)?;
        if home.bucket().share() != share {
            home.set_share(now, share);
        }
        home.lend(request, open, now, &self.settings)
    }

    /// Takes a home's reply.
    pub fn receive(&mut self, reply: &BorrowReply, now: Moment) {
        if reply.borrower != self.rights.me.process {
            return;
        }
        let Some(borrower) = self.borrowers.get_mut(&reply.organisation) else {
            return;
        };
        borrower.receive(reply, now, &self.settings);
        if self.waiting.remove(&reply.organisation) {
            self.outbox.push(Effect::Ready(reply.organisation.clone()));
        }
    }

    /// Stops lending, so that the rights can be released once all loans have ended.
    pub fn drain(&mut self) {
        self.rights.draining = true;
        self.ticked = None;
    }

    /// Returns whether this host holds no rights.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.ledger.tenure(&self.rights.me.process).is_none()
    }

    /// Does what is due and returns what the caller must do.
    pub fn poll(&mut self, now: Moment) -> Vec<Effect> {
        let settings = self.settings;
        let mut requests = Vec::new();
        for borrower in self.borrowers.values_mut() {
            borrower.poll(now, &settings, &mut requests);
        }
        self.dispatch(requests, now);
        let due = self
            .ticked
            .is_none_or(|at| now.since(at) >= settings.append);
        if due {
            self.ticked = Some(now);
            self.tick(now);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Returns when to poll at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Moment {
        let settings = &self.settings;
        let tick = self.ticked.map(|at| at.after(settings.append));
        self.borrowers
            .values()
            .filter_map(|borrower| borrower.next_wake(settings))
            .chain([tick.unwrap_or_default()])
            .min()
            .unwrap_or_default()
    }
}

/// The newest limit that this host knows.
#[derive(Clone, Copy, Debug)]
struct Noted {
    limit: Limit,
    /// When it was first seen; none when the others may have seen it long before.
    since: Option<Moment>,
}
