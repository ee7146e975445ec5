//! Replays a lease stream into its holder and its open orders.
//!
//! Two claims can race, so every reader decides from the records alone which one is accepted.
//! All readers therefore reach the same state, and the author of an append relies on it only
//! after it has read the record back.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{AppendId, FastSet, HostName, Offset};

use crate::{Intent, LeaseEntry, LeaseRecord, OrderId};

/// Number of recent append ids that are kept to drop repeated appends.
const MAX_REMEMBERED_IDS: usize = 4096;

/// The period during which one host holds the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The host that holds the lease.
    pub host: HostName,
    /// The fencing token of the term, which is the offset of its claim.
    pub fence: Offset,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// The effect of a record on the lease state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A claim was accepted.
    Claimed,
    /// The lease of the current term was renewed.
    Renewed,
    /// Intents or resolved orders of the current term were recorded.
    Recorded,
    /// The holder released the lease.
    Released,
    /// The record belongs to an earlier term, or its author did not know the last lease change.
    Stale,
    /// The record was applied before.
    Repeated,
}

/// The state that results from the records of a lease stream.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    term: Option<Term>,
    last_change: Option<Offset>,
    next_offset: Offset,
    open_intents: BTreeMap<OrderId, Intent>,
    applied_ids: FastSet<AppendId>,
    /// The ids in `applied_ids`, oldest first.
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

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the logged orders that may still take effect.
    #[must_use]
    pub fn open_intents(&self) -> &BTreeMap<OrderId, Intent> {
        &self.open_intents
    }

    /// Applies the next record in log order.
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

    /// Returns false if the id was applied before.
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

    fn apply_claim(
        &mut self,
        host: &HostName,
        after: Option<Offset>,
        offset: Offset,
    ) -> ApplyOutcome {
        // If the log has dropped its oldest records, the first claim that a reader sees may follow
        // a change that it never saw, so it accepts any first claim.
        if self.last_change.is_some() && after != self.last_change {
            return ApplyOutcome::Stale;
        }
        self.term = Some(Term {
            host: host.clone(),
            fence: offset,
            released: false,
        });
        self.last_change = Some(offset);
        ApplyOutcome::Claimed
    }

    fn apply_renewal(&mut self, host: &HostName, fence: Offset, offset: Offset) -> ApplyOutcome {
        let term = self.term.get_or_insert_with(|| Term {
            host: host.clone(),
            fence,
            released: false,
        });
        if term.fence != fence || term.released {
            return ApplyOutcome::Stale;
        }
        self.last_change = Some(offset);
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
        let added = intents
            .iter()
            .map(|intent| (intent.order.id, intent.clone()));
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

    fn apply_release(&mut self, fence: Offset, offset: Offset) -> ApplyOutcome {
        let Some(term) = self.term.as_mut() else {
            return ApplyOutcome::Stale;
        };
        if term.fence != fence {
            return ApplyOutcome::Stale;
        }
        term.released = true;
        self.last_change = Some(offset);
        ApplyOutcome::Released
    }
}
