//! The queue of one class of one pool, fair among organisations.
//!
//! Organisations take turns by weighted deficit round robin: each holds a deficit in tokens, a
//! start costs its ticket's tokens, and when nobody can pay, all that could start get as many
//! rounds as the nearest of them needs. A scan remembers what was found without room, so that
//! a ticket whose model is full or absent does not hold up those behind it.

use std::collections::BTreeMap;

use eelgrasshill_domain::{FastMap, FastSet, Moment, OrgName};

use crate::settings::Order;
use crate::{Ticket, Work};

/// Who pays, none on open routes.
pub(crate) type Payer = Option<OrgName>;

/// A ticket that waits.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) ticket: Ticket,
    pub(crate) offered: Moment,
    pub(crate) expires: Moment,
    /// Whether some upstream held its work when it was last looked for.
    pub(crate) held: bool,
}

#[derive(Clone, Debug, Default)]
struct Line {
    entries: BTreeMap<u64, Entry>,
    deficit: u64,
    served: u64,
}

/// The waiting tickets of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    lines: BTreeMap<Payer, Line>,
    count: usize,
    starts: u64,
}

/// What one look through a queue has found without room.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scan {
    blocked: FastSet<Work>,
    passed: FastMap<Payer, u64>,
}

/// The next ticket of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) payer: Payer,
    pub(crate) seq: u64,
    pub(crate) offered: Moment,
    cost: u64,
    deficit: u64,
    served: u64,
}

/// The weights of organisations and the size of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shares<'a> {
    pub(crate) weights: &'a FastMap<OrgName, u32>,
    pub(crate) quantum: u64,
}

impl Shares<'_> {
    /// Returns the tokens that a payer gets in a round.
    fn of(&self, payer: &Payer) -> u64 {
        let weight = payer
            .as_ref()
            .and_then(|name| self.weights.get(name))
            .copied()
            .unwrap_or(1);
        self.quantum.max(1) * u64::from(weight.max(1))
    }

    fn rounds(&self, head: &Head) -> u64 {
        head.cost
            .saturating_sub(head.deficit)
            .div_ceil(self.of(&head.payer))
    }
}

impl Scan {
    /// Passes over a ticket, and over all like it unless it was refused for itself alone.
    pub(crate) fn pass(&mut self, head: &Head, ticket: &Ticket) {
        if ticket.avoid.is_empty() {
            self.blocked.insert(ticket.work.clone());
        }
        self.passed.insert(head.payer.clone(), head.seq + 1);
    }
}

impl ClassQueue {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    pub(crate) fn count_of(&self, payer: &Payer) -> usize {
        self.lines.get(payer).map_or(0, |line| line.entries.len())
    }

    pub(crate) fn push(&mut self, seq: u64, entry: Entry) {
        let payer = entry.ticket.organisation.clone();
        let line = self.lines.entry(payer).or_default();
        line.entries.insert(seq, entry);
        self.count += 1;
    }

    pub(crate) fn get_mut(&mut self, payer: &Payer, seq: u64) -> Option<&mut Entry> {
        self.lines.get_mut(payer)?.entries.get_mut(&seq)
    }

    pub(crate) fn remove(&mut self, payer: &Payer, seq: u64) -> Option<Entry> {
        let line = self.lines.get_mut(payer)?;
        let entry = line.entries.remove(&seq)?;
        self.count -= 1;
        // An organisation that waits for nothing saves up nothing.
        if line.entries.is_empty() {
            self.lines.remove(payer);
        }
        Some(entry)
    }

    /// Returns when the longest waiting ticket was offered.
    pub(crate) fn oldest(&self) -> Option<Moment> {
        let firsts = self
            .lines
            .values()
            .filter_map(|l| l.entries.first_key_value());
        firsts.map(|(_seq, entry)| entry.offered).min()
    }

    /// Returns the first ticket of each organisation that the scan has not passed.
    pub(crate) fn heads(&self, scan: &Scan) -> Vec<Head> {
        let heads = self.lines.iter().filter_map(|(payer, line)| {
            let from = scan.passed.get(payer).copied().unwrap_or_default();
            let (seq, entry) = line
                .entries
                .range(from..)
                .find(|(_seq, entry)| !scan.blocked.contains(&entry.ticket.work))?;
            Some(Head {
                payer: payer.clone(),
                seq: *seq,
                offered: entry.offered,
                cost: entry.ticket.cost,
                deficit: line.deficit,
                served: line.served,
            })
        });
        heads.collect()
    }

    /// Takes out the ticket of a head and charges its organisation.
    pub(crate) fn take(
        &mut self,
        head: &Head,
        heads: &[Head],
        shares: Shares<'_>,
    ) -> Option<Entry> {
        let rounds = shares.rounds(head);
        for other in heads {
            if let Some(line) = self.lines.get_mut(&other.payer) {
                line.deficit += rounds * shares.of(&other.payer);
            }
        }
        self.starts += 1;
        if let Some(line) = self.lines.get_mut(&head.payer) {
            line.deficit = line.deficit.saturating_sub(head.cost);
            line.served = self.starts;
        }
        self.remove(&head.payer, head.seq)
    }
}

/// Returns the head whose turn it is.
pub(crate) fn turn<'a>(heads: &'a [Head], order: Order, shares: Shares<'_>) -> Option<&'a Head> {
    match order {
        Order::FirstCome => heads.iter().min_by_key(|head| head.seq),
        Order::FairShare => heads
            .iter()
            .min_by_key(|head| (shares.rounds(head), head.served, head.seq)),
    }
}
