//! What the limiter takes from the control thread: tables, members and the `rights` stream.

use std::collections::BTreeMap;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version};

use super::{Limiter, Noted};
use crate::{Bucket, Holder, Home, Ledger, Limit, RightsOutcome, RightsRecord, Safeguards, Share};

impl<S: Safeguards> Limiter<S> {
    /// Starts from a ledger that was restored from a snapshot.
    ///
    /// The leases in it are watched from `now` on, the host's present moment.
    #[must_use]
    pub fn with_ledger(mut self, ledger: Ledger, now: Moment) -> Self {
        self.ledger = ledger;
        self.refresh(now);
        self
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
    pub(super) fn refresh(&mut self, now: Moment) {
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

    pub(super) fn own_share(&self, organisation: &OrgName, now: Moment) -> Share {
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
}
