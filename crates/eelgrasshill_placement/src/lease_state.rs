//! The fold of a lease stream: who holds the lease, and which orders may still take effect.
//!
//! Every host that reads the stream reaches the same state, so that an append counts only
//! once its author has read it back and found it accepted.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{AppendId, FastSet, HostName, Offset};

use crate::{Intent, LeaseEntry, LeaseRecord, OrderId};

/// Number of append ids that are remembered to drop repeated appends.
const MAX_REMEMBERED_IDS: usize = 4096;

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
pub enum ApplyOutcome {
    /// A claim was accepted.
    Claimed,
    /// The term was extended.
    Renewed,
    /// Intents or resolutions of the current term were taken in.
    Recorded,
    /// The term was given up.
    Released,
    /// The record belongs to a term that is over, or its claim came too late.
    Stale,
    /// The record was taken in before.
    Repeated,
}

/// The state that a lease stream adds up to.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    term: Option<Term>,
    last_change: Option<Offset>,
    next_offset: Offset,
    open_intents: BTreeMap<OrderId, Intent>,
    applied_ids: FastSet<AppendId>,
    applied_order: VecDeque<AppendId>,
}

impl LeaseState {
    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Option<&Term> {
        self.term.as_ref()
    }

    /// Returns the offset of the last accepted claim, renewal or release.
    #[must_use]
    pub fn last_change(&self) -> Option<Offset> {
        self.last_change
    }

    /// Returns the offset from which to read on.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the orders that may still take effect.
    #[must_use]
    pub fn open_intents(&self) -> &BTreeMap<OrderId, Intent> {
        &self.open_intents
    }

    /// Takes in the next record in log order.
    pub fn apply(&mut self, entry: &LeaseEntry) -> ApplyOutcome {
        if entry.offset < self.next_offset {
            return ApplyOutcome::Repeated;
        }
        self.next_offset = entry.offset.next();
        if !self.remember_id(&entry.id) {
            return ApplyOutcome::Repeated;
        }
        match &entry.record {
            LeaseRecord::Claim { host, after } => self.apply_claim(host, *after, entry.offset),
            LeaseRecord::Renew { host, fence } => self.apply_renewal(host, *fence, entry.offset),
            LeaseRecord::Intent { fence, intents } => self.apply_intents(*fence, intents),
            LeaseRecord::Resolved { fence, orders } => self.apply_resolved(*fence, orders),
            LeaseRecord::Release { fence } => self.apply_release(*fence, entry.offset),
        }
    }

    fn remember_id(&mut self, id: &AppendId) -> bool {
        if !self.applied_ids.insert(id.clone()) {
            return false;
        }
        self.applied_order.push_back(id.clone());
        if self.applied_order.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.applied_order.pop_front()
        {
            self.applied_ids.remove(&oldest);
        }
        true
    }

    fn apply_claim(&mut self, host: &HostName, after: Option<Offset>, at: Offset) -> ApplyOutcome {
        // A reader that starts behind expired records knows no term and takes the claim's word.
        if self.last_change.is_some() && after != self.last_change {
            return ApplyOutcome::Stale;
        }
        self.term = Some(Term {
            host: host.clone(),
            fence: at,
            released: false,
        });
        self.last_change = Some(at);
        ApplyOutcome::Claimed
    }

    fn apply_renewal(&mut self, host: &HostName, fence: Offset, at: Offset) -> ApplyOutcome {
        let term = self.term.get_or_insert_with(|| Term {
            host: host.clone(),
            fence,
            released: false,
        });
        if term.fence != fence || term.released {
            return ApplyOutcome::Stale;
        }
        self.last_change = Some(at);
        ApplyOutcome::Renewed
    }

    fn is_current(&self, fence: Offset) -> bool {
        self.term
            .as_ref()
            .is_none_or(|term| term.fence == fence && !term.released)
    }

    fn apply_intents(&mut self, fence: Offset, intents: &[Intent]) -> ApplyOutcome {
        if !self.is_current(fence) {
            return ApplyOutcome::Stale;
        }
        let added = intents.iter().map(|i| (i.order.id, i.clone()));
        self.open_intents.extend(added);
        ApplyOutcome::Recorded
    }

    fn apply_resolved(&mut self, fence: Offset, orders: &[OrderId]) -> ApplyOutcome {
        if !self.is_current(fence) {
            return ApplyOutcome::Stale;
        }
        for id in orders {
            self.open_intents.remove(id);
        }
        ApplyOutcome::Recorded
    }

    fn apply_release(&mut self, fence: Offset, at: Offset) -> ApplyOutcome {
        let Some(term) = self.term.as_mut() else {
            return ApplyOutcome::Stale;
        };
        if term.fence != fence {
            return ApplyOutcome::Stale;
        }
        term.released = true;
        self.last_change = Some(at);
        ApplyOutcome::Released
    }
}
