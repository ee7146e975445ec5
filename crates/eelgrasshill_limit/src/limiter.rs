//! One host's limiter: the ledger's fold, the homes on this host and its borrowers.
//!
//! It has no clock and does no I/O. Its moments come from a clock that also counts while the host
//! is suspended. An admission counts as of the moment that is passed in.

use std::collections::BTreeMap;

use eelgrasshill_domain::{FastMap, FastSet, Moment, Offset, OrgName, Version};

use crate::borrower::Supply;
use crate::planner::Planner;
use crate::rights::{Pledge, Rights};
use crate::{
    Admission, Amount, BorrowReply, BorrowRequest, Borrower, Bucket, Effect, Holder, Home, Ledger,
    Limit, LimitSettings, Refusal, ReservationId, RightsOutcome, RightsRecord, Safeguards, Share,
    Sound,
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

    /// Starts from a ledger that was restored from a snapshot.
    ///
    /// The leases in it are watched from `now` on, the host's present moment.
    #[must_use]
    pub fn with_ledger(mut self, ledger: Ledger, now: Moment) -> Self {
        self.ledger = ledger;
        self.refresh(now);
        self
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

    /// Puts the organisations' rows in force, as folded through a version of the tables.
    ///
    /// A lowered limit applies at once, a raised one by records of the ledger. Older tables than
    /// those in force are passed over.
    pub fn configure(&mut self, through: Version, limits: BTreeMap<OrgName, Limit>, now: Moment) {
        if through < self.through {
            return;
        }
        self.through = through;
        self.limits = limits;
        self.ticked = None;
        self.refresh(now);
    }

    /// Notes that this host had folded everything in the log as of a moment.
    ///
    /// Call it after all that was read then went to [`Self::configure`] and [`Self::read`]. An
    /// edit that comes soon after is new for everybody; any other may be old, and this host at
    /// once makes room for holders that have not heard of it.
    pub fn confirm_current(&mut self, at: Moment) {
        self.current = self.current.max(Some(at));
    }

    /// Takes the hosts that are live, this one included.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Holder>) {
        self.planner.members = members.into_iter().collect();
        self.ticked = None;
    }

    /// Folds the next record of the `rights` stream.
    pub fn read(&mut self, offset: Offset, record: &RightsRecord, now: Moment) -> RightsOutcome {
        let first = self.first_assigned(record);
        let outcome = self.ledger.apply(offset, record);
        if outcome != RightsOutcome::Accepted {
            return outcome;
        }
        let me = &self.rights.me.process;
        match record {
            RightsRecord::Renew { process, nonce, .. } if process == me => {
                self.rights.confirm(*nonce, &self.settings);
            }
            RightsRecord::Takeover { holder, nonce, .. } if holder.process == *me => {
                self.rights.confirm(*nonce, &self.settings);
                self.open_homes(now, None);
                self.hold_inherited(now);
            }
            _ => {}
        }
        if self.ledger.tenure(&self.rights.me.process).is_none() {
            self.rights.forget();
        }
        self.open_homes(now, first);
        self.refresh(now);
        outcome
    }

    /// Returns the organisation whose very first assignment a record makes.
    ///
    /// Nobody has ever held tokens of it then, so its homes may start with full buckets.
    fn first_assigned<'a>(&self, record: &'a RightsRecord) -> Option<&'a OrgName> {
        let RightsRecord::Assign { organisation, .. } = record else {
            return None;
        };
        let account = self.ledger.account(organisation)?;
        (!account.started).then_some(organisation)
    }

    /// Opens a home for each share of this host that has none, empty unless it is a first one.
    fn open_homes(&mut self, now: Moment, first: Option<&OrgName>) {
        for (organisation, account) in self.ledger.accounts() {
            let Some(share) = account.share_of(&self.rights.me.process) else {
                continue;
            };
            if self.homes.contains_key(organisation) {
                continue;
            }
            let mut bucket = Bucket::new(share, now, self.ends());
            if first == Some(organisation) || !S::EMPTY {
                bucket = bucket.with_full_level();
            }
            self.homes.insert(organisation.clone(), Home::new(bucket));
        }
    }

    /// Waits until the loans of an older incarnation at this address have surely ended.
    fn hold_inherited(&mut self, now: Moment) {
        if !S::LOAN_WAIT {
            return;
        }
        let until = now.after(self.settings.hold());
        for home in self.homes.values_mut() {
            let burst = home.bucket().share().burst;
            home.hold(burst, until);
        }
    }

    /// Brings shares, leases and links in line with the ledger and the tables.
    fn refresh(&mut self, now: Moment) {
        self.planner.watch(&self.ledger, now);
        self.drop_pledge();
        let names: Vec<OrgName> = self.ledger.accounts().map(|(o, _a)| o.clone()).collect();
        let ends = self.ends();
        for organisation in names {
            self.note_limit(&organisation, now);
            let share = self.own_share(&organisation, now);
            if let Some(home) = self.homes.get_mut(&organisation) {
                home.extend(now, ends);
                home.set_share(now, share);
            }
            let account = self.ledger.account(&organisation);
            let borrower = self.borrowers.get_mut(&organisation);
            if let (Some(account), Some(borrower)) = (account, borrower) {
                borrower.set_homes(account, now);
            }
        }
        self.homes.retain(|_organisation, home| {
            let bucket = home.bucket();
            !bucket.share().is_empty() || !bucket.held().is_zero()
        });
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

    fn drop_pledge(&mut self) {
        let ledger = &self.ledger;
        self.rights.pledge.take_if(|pledge| {
            let account = ledger.account(&pledge.organisation);
            let current = account.map(|account| account.revision);
            pledge.revision.is_some() && pledge.revision != current
        });
    }

    /// Returns the newest limit that this host knows of an organisation.
    fn limit(&self, organisation: &OrgName) -> Limit {
        let recorded = self.ledger.account(organisation).map(|a| a.limit);
        let recorded = recorded.unwrap_or_default();
        let removed = Limit {
            version: self.through,
            share: Share::default(),
        };
        let configured = self.limits.get(organisation).copied().unwrap_or(removed);
        if configured.version > recorded.version {
            configured
        } else {
            recorded
        }
    }

    /// Notes when a limit was first seen, if it is surely new for the other holders too.
    fn note_limit(&mut self, organisation: &OrgName, now: Moment) {
        let limit = self.limit(organisation);
        let noted = self.noted.get(organisation);
        if noted.is_some_and(|noted| noted.limit.version >= limit.version) {
            return;
        }
        // Without recent contact, the others may have heard of the edit long ago.
        let contact = self.settings.contact;
        let recent = self.current.is_some_and(|at| now.since(at) <= contact);
        // Holders that had not heard of an earlier lowering need room without a break.
        let account = self.ledger.account(organisation);
        let settled = account
            .zip(noted)
            .is_some_and(|(account, noted)| account.assigned().fits(noted.limit.share));
        let since = (recent && settled).then_some(now);
        self.noted
            .insert(organisation.clone(), Noted { limit, since });
    }

    fn own_share(&self, organisation: &OrgName, now: Moment) -> Share {
        let Some(account) = self.ledger.account(organisation) else {
            return Share::default();
        };
        let limit = self.limit(organisation);
        let since = self.noted.get(organisation).and_then(|noted| noted.since);
        let patient = since.is_some_and(|at| now.since(at) < self.settings.grace);
        let share = account.in_force(&self.rights.me.process, limit.share, |other| {
            patient || !S::MAKE_ROOM || self.ledger.in_force(other) >= limit.version
        });
        if S::STOP_FIRST {
            share.minus(self.rights.pledged(organisation))
        } else {
            share
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

    fn tick(&mut self, now: Moment) {
        self.refresh(now);
        if self.rights.draining {
            self.release(now);
        }
        let through = self.in_force();
        let due = self.rights.due(&self.ledger, through, now, &self.settings);
        self.outbox.extend(due.map(Effect::Append));
        self.give(now);
        let tables = (self.through, &self.limits);
        let me = &self.rights.me;
        let records = self
            .planner
            .plan::<S>(me, &self.ledger, tables, now, &self.settings);
        self.outbox.extend(records.into_iter().map(Effect::Append));
    }

    /// Returns the configuration that is in force here, with loans of before it ended.
    fn in_force(&self) -> Version {
        let fits = |home: &Home<S>| home.bucket().held() <= home.bucket().share().burst;
        if self.homes.values().all(fits) {
            self.through
        } else {
            self.ledger.in_force(&self.rights.me.process)
        }
    }

    fn release(&mut self, now: Moment) {
        for home in self.homes.values_mut() {
            home.advance(now);
        }
        let lent = self
            .homes
            .values()
            .any(|home| !home.bucket().held().is_zero());
        if lent || self.is_drained() {
            return;
        }
        let process = self.rights.me.process.clone();
        self.outbox
            .push(Effect::Append(RightsRecord::Release { process }));
    }

    /// Pledges a surplus, and gives it once the loans fit into what remains.
    fn give(&mut self, now: Moment) {
        if self.rights.pledge.is_none() && !self.rights.draining {
            let surplus = self
                .planner
                .surplus(&self.rights.me, &self.ledger, now, &self.settings);
            self.rights.pledge = surplus.map(|(organisation, stake)| Pledge {
                organisation,
                stake,
                revision: None,
            });
            self.refresh(now);
        }
        let Some(pledge) = &mut self.rights.pledge else {
            return;
        };
        let Some(account) = self.ledger.account(&pledge.organisation) else {
            return;
        };
        let bucket = self.homes.get(&pledge.organisation).map(Home::bucket);
        let fits = bucket.is_none_or(|bucket| bucket.held() <= bucket.share().burst);
        if S::STOP_FIRST && !fits {
            return;
        }
        let revision = *pledge.revision.get_or_insert(account.revision);
        self.outbox.push(Effect::Append(RightsRecord::Give {
            organisation: pledge.organisation.clone(),
            revision,
            giver: self.rights.me.process.clone(),
            stake: pledge.stake.clone(),
        }));
    }
}

/// The newest limit that this host knows.
#[derive(Clone, Copy, Debug)]
struct Noted {
    limit: Limit,
    /// When it was first seen; none when the others may have seen it long before.
    since: Option<Moment>,
}
