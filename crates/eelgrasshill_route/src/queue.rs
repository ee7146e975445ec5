//! The queue of one class of one pool, fair among organisations.
//!
//! Organisations take turns by start-time fair queueing: each ticket's start tag is its
//! organisation's last finish tag or the queue's virtual time, whichever is later, and the lowest
//! tag goes first. A finish tag grows by tokens over weight. An organisation that was idle is
//! thus next at once, and one that sends more than its share waits behind the others. A scan
//! remembers what was found without room, so that a ticket whose model is full or absent does
//! not hold up those behind it.

use std::collections::BTreeMap;

use eelgrasshill_domain::{FastMap, FastSet, Moment, OrgName};

use crate::settings::Order;
use crate::usage::{Flood, Usage};
use crate::{Ticket, Work};

/// Parts of a token in which tags are counted, so that weights divide them evenly.
const TAG_PARTS: u64 = 1024;

/// Who pays, none on open routes.
pub(crate) type Payer = Option<OrgName>;

/// Organisations that ask for far more than their share.
pub(crate) type Floods = FastMap<Payer, Flood>;

/// A ticket that waits.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) ticket: Ticket,
    pub(crate) offered: Moment,
    pub(crate) expires: Moment,
    /// Whether some upstream held its work when it was last looked for.
    pub(crate) held: bool,
}

/// The waiting tickets of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    lines: BTreeMap<Payer, BTreeMap<u64, Entry>>,
    finishes: FastMap<Payer, u64>,
    virtual_time: u64,
    count: usize,
    pub(crate) usage: Usage,
}

/// What one look through a queue has found without room.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scan {
    blocked: FastSet<Work>,
    /// Found without room by organisations over their share.
    blocked_over: FastSet<Work>,
    passed: FastMap<Payer, u64>,
    /// Where the look from the newest ticket goes on.
    passed_back: FastMap<Payer, u64>,
}

/// The next ticket of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) payer: Payer,
    pub(crate) seq: u64,
    pub(crate) offered: Moment,
    start: u64,
    newest: bool,
}

/// The weights of organisations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shares<'a> {
    pub(crate) weights: &'a FastMap<OrgName, u32>,
}

impl Shares<'_> {
    /// Returns a payer's weight, one when none is set.
    pub(crate) fn of(self, payer: &Payer) -> u64 {
        let weight = payer.as_ref().and_then(|name| self.weights.get(name));
        u64::from(weight.copied().unwrap_or(1).max(1))
    }
}

impl Scan {
    /// Passes over a ticket, and over all like it unless it was refused for itself alone.
    pub(crate) fn pass(&mut self, head: &Head, ticket: &Ticket, over: bool) {
        let blocked = if over {
            &mut self.blocked_over
        } else {
            &mut self.blocked
        };
        if ticket.avoid.is_empty() {
            blocked.insert(ticket.work.clone());
        }
        if head.newest {
            self.passed_back.insert(head.payer.clone(), head.seq);
        } else {
            self.passed.insert(head.payer.clone(), head.seq + 1);
        }
    }
}

impl Scan {
    fn blocks(&self, work: &Work, over: bool) -> bool {
        self.blocked.contains(work) || (over && self.blocked_over.contains(work))
    }
}

impl ClassQueue {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    pub(crate) fn count_of(&self, payer: &Payer) -> usize {
        self.lines.get(payer).map_or(0, BTreeMap::len)
    }

    pub(crate) fn push(&mut self, seq: u64, entry: Entry) {
        let payer = entry.ticket.organisation.clone();
        self.usage.offer(&payer, entry.offered);
        let line = self.lines.entry(payer).or_default();
        line.insert(seq, entry);
        self.count += 1;
    }

    pub(crate) fn get_mut(&mut self, payer: &Payer, seq: u64) -> Option<&mut Entry> {
        self.lines.get_mut(payer)?.get_mut(&seq)
    }

    pub(crate) fn remove(&mut self, payer: &Payer, seq: u64) -> Option<Entry> {
        let line = self.lines.get_mut(payer)?;
        let entry = line.remove(&seq)?;
        self.count -= 1;
        if line.is_empty() {
            self.lines.remove(payer);
        }
        Some(entry)
    }

    /// Returns the organisations that ask for far more than their share of the class.
    pub(crate) fn floods(&self, shares: Shares<'_>) -> Floods {
        self.usage.floods(shares, |payer| self.count_of(payer))
    }

    /// Returns when the longest waiting ticket was offered.
    pub(crate) fn oldest(&self) -> Option<Moment> {
        let firsts = self.lines.values().filter_map(|l| l.first_key_value());
        firsts.map(|(_seq, entry)| entry.offered).min()
    }

    /// Returns the next ticket of each organisation that the scan has not passed.
    ///
    /// With `newest` a flooding organisation's newest ticket is its next: its old ones have lost
    /// their time already, and served in order all of them would.
    pub(crate) fn heads(&self, scan: &Scan, floods: &Floods, newest: bool) -> Vec<Head> {
        let heads = self.lines.iter().filter_map(|(payer, line)| {
            let flood = floods.get(payer);
            let is_over = flood == Some(&Flood::Over);
            let is_free = |entry: &(&u64, &Entry)| !scan.blocks(&entry.1.ticket.work, is_over);
            let newest = newest && flood.is_some();
            let (seq, entry) = if newest {
                let until = scan.passed_back.get(payer).copied().unwrap_or(u64::MAX);
                line.range(..until).rev().find(is_free)?
            } else {
                let from = scan.passed.get(payer).copied().unwrap_or_default();
                line.range(from..).find(is_free)?
            };
            Some(Head {
                payer: payer.clone(),
                seq: *seq,
                offered: entry.offered,
                start: self.start_tag(payer),
                newest,
            })
        });
        heads.collect()
    }

    /// Takes out the ticket of a head and charges its organisation.
    pub(crate) fn take(&mut self, head: &Head, shares: Shares<'_>) -> Option<Entry> {
        let entry = self.remove(&head.payer, head.seq)?;
        self.usage.start(&head.payer);
        let cost = entry.ticket.cost.max(1).saturating_mul(TAG_PARTS);
        let finish = head.start.saturating_add(cost / shares.of(&head.payer));
        self.finishes.insert(head.payer.clone(), finish);
        self.virtual_time = self.virtual_time.max(head.start);
        let now = self.virtual_time;
        self.finishes.retain(|_payer, finish| *finish > now);
        Some(entry)
    }

    fn start_tag(&self, payer: &Payer) -> u64 {
        let finish = self.finishes.get(payer).copied().unwrap_or_default();
        finish.max(self.virtual_time)
    }
}

/// Returns the head whose turn it is.
pub(crate) fn turn(heads: &[Head], order: Order) -> Option<&Head> {
    match order {
        Order::FirstCome => heads.iter().min_by_key(|head| head.seq),
        Order::FairShare => heads.iter().min_by_key(|head| (head.start, head.seq)),
    }
}
