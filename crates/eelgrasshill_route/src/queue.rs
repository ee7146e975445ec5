//! Queue of one class of one pool, fair among organisations.
//!
//! Organisations take turns by start-time fair queueing. The start tag of an organisation's next
//! ticket is its last finish tag or the queue's virtual time, whichever is later, and the lowest
//! start tag goes first. The finish tag is the start tag plus the token cost divided by the
//! organisation's weight. So an organisation that was idle is served at once, and one that sends
//! more than its share waits behind the others. A [`Scan`] remembers what no upstream had room
//! for, so that a ticket whose model is full or not loaded does not block those behind it.

use std::collections::BTreeMap;

use eelgrasshill_domain::{FastMap, FastSet, Moment, OrgName};

use crate::settings::QueueOrder;
use crate::usage::{ClassUsage, ShareUse};
use crate::{Requirement, Ticket};

/// Units of a tag per token of cost.
///
/// Small units keep the rounding low when a cost is divided by a weight.
const TAG_UNITS_PER_TOKEN: u64 = 1024;

/// Organisation that is charged for a request, or `None` on open routes.
pub(crate) type Payer = Option<OrgName>;

/// Organisations whose demand is far above their share.
pub(crate) type HeavyPayers = FastMap<Payer, ShareUse>;

/// A waiting ticket.
#[derive(Clone, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) ticket: Ticket,
    pub(crate) offered_at: Moment,
    pub(crate) expires_at: Moment,
    /// Whether the last search found an upstream that meets the requirement, even a full one.
    pub(crate) found_holder: bool,
}

/// The waiting tickets of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    queues: BTreeMap<Payer, BTreeMap<u64, QueueEntry>>,
    finish_tags: FastMap<Payer, u64>,
    virtual_time: u64,
    count: usize,
    pub(crate) usage: ClassUsage,
}

/// Progress of one pass over a queue: which tickets were skipped for lack of room.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scan {
    /// Requirements without room for any organisation.
    blocked: FastSet<Requirement>,
    /// Requirements without room for organisations over their share.
    blocked_over: FastSet<Requirement>,
    /// Lowest sequence number not yet seen by a scan from the oldest ticket.
    forward_from: FastMap<Payer, u64>,
    /// Lowest sequence number already seen by a scan from the newest ticket.
    backward_until: FastMap<Payer, u64>,
}

/// The next ticket of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) payer: Payer,
    pub(crate) seq: u64,
    pub(crate) offered_at: Moment,
    start_tag: u64,
    newest: bool,
}

/// Weights by which organisations share a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrgWeights<'a> {
    pub(crate) weights: &'a FastMap<OrgName, u32>,
}

impl OrgWeights<'_> {
    /// Returns a payer's weight, which is one unless set.
    pub(crate) fn of(self, payer: &Payer) -> u64 {
        let weight = payer.as_ref().and_then(|name| self.weights.get(name));
        u64::from(weight.copied().unwrap_or(1).max(1))
    }
}

impl Scan {
    /// Skips a ticket without room, and all others with its requirement.
    ///
    /// If the ticket avoids some hosts, they may have room for the others, so only it is skipped.
    pub(crate) fn skip(&mut self, head: &Head, ticket: &Ticket, over_share: bool) {
        let blocked = if over_share {
            &mut self.blocked_over
        } else {
            &mut self.blocked
        };
        if ticket.avoid.is_empty() {
            blocked.insert(ticket.requirement.clone());
        }
        if head.newest {
            self.backward_until.insert(head.payer.clone(), head.seq);
        } else {
            self.forward_from.insert(head.payer.clone(), head.seq + 1);
        }
    }
}

impl Scan {
    fn blocks(&self, requirement: &Requirement, over_share: bool) -> bool {
        self.blocked.contains(requirement)
            || (over_share && self.blocked_over.contains(requirement))
    }
}

impl ClassQueue {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    pub(crate) fn count_of(&self, payer: &Payer) -> usize {
        self.queues.get(payer).map_or(0, BTreeMap::len)
    }

    pub(crate) fn push(&mut self, seq: u64, entry: QueueEntry) {
        let payer = entry.ticket.organisation.clone();
        self.usage.offer(&payer, entry.offered_at);
        let queue = self.queues.entry(payer).or_default();
        queue.insert(seq, entry);
        self.count += 1;
    }

    pub(crate) fn get_mut(&mut self, payer: &Payer, seq: u64) -> Option<&mut QueueEntry> {
        self.queues.get_mut(payer)?.get_mut(&seq)
    }

    pub(crate) fn remove(&mut self, payer: &Payer, seq: u64) -> Option<QueueEntry> {
        let queue = self.queues.get_mut(payer)?;
        let entry = queue.remove(&seq)?;
        self.count -= 1;
        if queue.is_empty() {
            self.queues.remove(payer);
        }
        Some(entry)
    }

    /// Returns the organisations whose demand is far above their share of the class.
    pub(crate) fn heavy_payers(&self, org_weights: OrgWeights<'_>) -> HeavyPayers {
        self.usage
            .heavy_payers(org_weights, |payer| self.count_of(payer))
    }

    /// Returns when the oldest waiting ticket was offered.
    pub(crate) fn oldest(&self) -> Option<Moment> {
        let firsts = self
            .queues
            .values()
            .filter_map(|queue| queue.first_key_value());
        firsts.map(|(_seq, entry)| entry.offered_at).min()
    }

    /// Returns the next ticket of each organisation that the scan has not skipped.
    ///
    /// With `newest`, a heavy payer's newest ticket goes first. Its old ones are late already,
    /// and if they went first, all of its tickets would be late.
    pub(crate) fn heads(&self, scan: &Scan, heavy_payers: &HeavyPayers, newest: bool) -> Vec<Head> {
        let heads = self.queues.iter().filter_map(|(payer, queue)| {
            let share_use = heavy_payers.get(payer);
            let over_share = share_use == Some(&ShareUse::Over);
            let is_unblocked =
                |entry: &(&u64, &QueueEntry)| !scan.blocks(&entry.1.ticket.requirement, over_share);
            let newest = newest && share_use.is_some();
            let (seq, entry) = if newest {
                let until = scan.backward_until.get(payer).copied().unwrap_or(u64::MAX);
                queue.range(..until).rev().find(is_unblocked)?
            } else {
                let from = scan.forward_from.get(payer).copied().unwrap_or_default();
                queue.range(from..).find(is_unblocked)?
            };
            Some(Head {
                payer: payer.clone(),
                seq: *seq,
                offered_at: entry.offered_at,
                start_tag: self.start_tag(payer),
                newest,
            })
        });
        heads.collect()
    }

    /// Removes the ticket of a head and charges its organisation.
    pub(crate) fn take(&mut self, head: &Head, org_weights: OrgWeights<'_>) -> Option<QueueEntry> {
        let entry = self.remove(&head.payer, head.seq)?;
        self.usage.start(&head.payer);
        let cost = entry.ticket.cost.max(1).saturating_mul(TAG_UNITS_PER_TOKEN);
        let finish = head
            .start_tag
            .saturating_add(cost / org_weights.of(&head.payer));
        self.finish_tags.insert(head.payer.clone(), finish);
        self.virtual_time = self.virtual_time.max(head.start_tag);
        let virtual_time = self.virtual_time;
        self.finish_tags
            .retain(|_payer, finish| *finish > virtual_time);
        Some(entry)
    }

    fn start_tag(&self, payer: &Payer) -> u64 {
        let finish = self.finish_tags.get(payer).copied().unwrap_or_default();
        finish.max(self.virtual_time)
    }
}

/// Returns the head that is served next.
pub(crate) fn next_head(heads: &[Head], order: QueueOrder) -> Option<&Head> {
    match order {
        QueueOrder::FirstCome => heads.iter().min_by_key(|head| head.seq),
        QueueOrder::FairShare => heads.iter().min_by_key(|head| (head.start_tag, head.seq)),
    }
}
