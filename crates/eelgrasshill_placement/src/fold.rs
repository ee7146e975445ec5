//! The fold of a lease stream: who holds the lease, and which orders may still take effect.
//!
//! Every host that reads the stream reaches the same state, so that an append counts only
//! once its author has read it back and found it accepted.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{AppendId, FastSet, HostName, Offset};

use crate::{Entry, Intent, LeaseRecord, OrderId};

/// Number of append ids that are remembered to drop repeated appends.
const REMEMBERED_IDS: usize = 4096;

/// One holder's time in charge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The holder.
    pub host: HostName,
    /// The fencing number: the claim's offset.
    pub fence: Offset,
    /// Whether the holder gave the lease up.
    pub released: bool,
}

/// What a record did to the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A claim was accepted.
    Claimed,
    /// The term was extended.
    Renewed,
    /// Intents or resolutions of the current term were taken in.
    Noted,
    /// The term was given up.
    Released,
    /// The record belongs to a term that is over, or its claim came too late.
    Stale,
    /// The record was taken in before.
    Repeated,
}

/// The state that a lease stream adds up to.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    term: Option<Term>,
    last: Option<Offset>,
    next: Offset,
    open: BTreeMap<OrderId, Intent>,
    seen: FastSet<AppendId>,
    order: VecDeque<AppendId>,
}

impl LeaseFold {
    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Option<&Term> {
        self.term.as_ref()
    }

    /// Returns the offset of the last accepted claim, renewal or release.
    #[must_use]
    pub fn last(&self) -> Option<Offset> {
        self.last
    }

    /// Returns the offset from which to read on.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the orders that may still take effect.
    #[must_use]
    pub fn open(&self) -> &BTreeMap<OrderId, Intent> {
        &self.open
    }

    /// Takes in the next record in log order.
    pub fn apply(&mut self, entry: &Entry) -> Verdict {
        if entry.offset < self.next {
            return Verdict::Repeated;
        }
        self.next = entry.offset.next();
        if !self.remember(&entry.id) {
            return Verdict::Repeated;
        }
        match &entry.record {
            LeaseRecord::Claim { host, after } => self.claim(host, *after, entry.offset),
            LeaseRecord::Renew { host, fence } => self.renew(host, *fence, entry.offset),
            LeaseRecord::Intent { fence, intents } => self.intend(*fence, intents),
            LeaseRecord::Resolved { fence, orders } => self.resolve(*fence, orders),
            LeaseRecord::Release { fence } => self.release(*fence, entry.offset),
        }
    }

    fn remember(&mut self, id: &AppendId) -> bool {
        if !self.seen.insert(id.clone()) {
            return false;
        }
        self.order.push_back(id.clone());
        if self.order.len() > REMEMBERED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }

    fn claim(&mut self, host: &HostName, after: Option<Offset>, at: Offset) -> Verdict {
        // A reader that starts behind expired records knows no term and takes the claim's word.
        if self.last.is_some() && after != self.last {
            return Verdict::Stale;
        }
        self.term = Some(Term {
            host: host.clone(),
            fence: at,
            released: false,
        });
        self.last = Some(at);
        Verdict::Claimed
    }

    fn renew(&mut self, host: &HostName, fence: Offset, at: Offset) -> Verdict {
        let term = self.term.get_or_insert_with(|| Term {
            host: host.clone(),
            fence,
            released: false,
        });
        if term.fence != fence || term.released {
            return Verdict::Stale;
        }
        self.last = Some(at);
        Verdict::Renewed
    }

    fn is_current(&self, fence: Offset) -> bool {
        self.term
            .as_ref()
            .is_none_or(|term| term.fence == fence && !term.released)
    }

    fn intend(&mut self, fence: Offset, intents: &[Intent]) -> Verdict {
        if !self.is_current(fence) {
            return Verdict::Stale;
        }
        let added = intents.iter().map(|i| (i.order.id, i.clone()));
        self.open.extend(added);
        Verdict::Noted
    }

    fn resolve(&mut self, fence: Offset, orders: &[OrderId]) -> Verdict {
        if !self.is_current(fence) {
            return Verdict::Stale;
        }
        for id in orders {
            self.open.remove(id);
        }
        Verdict::Noted
    }

    fn release(&mut self, fence: Offset, at: Offset) -> Verdict {
        let Some(term) = self.term.as_mut() else {
            return Verdict::Stale;
        };
        if term.fence != fence {
            return Verdict::Stale;
        }
        term.released = true;
        self.last = Some(at);
        Verdict::Released
    }
}
