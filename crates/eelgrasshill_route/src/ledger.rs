//! What this host has running on one upstream, now and when a report was taken.
//!
//! A report lags by seconds. Adding what this host started since, and taking off what ended,
//! keeps a host from sending everything to the upstream whose old report looks idle.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::Moment;

use crate::Report;

/// Most changes remembered for an upstream whose reports stay away.
const MAX_CHANGES: usize = 256;

/// Age after which a report says nothing any more, so that a full upstream whose reports stop is
/// not left for good.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Moment,
    before: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    own: u32,
    changes: VecDeque<Change>,
    aged: Option<Aged>,
}

/// The last start of aged work.
#[derive(Clone, Copy, Debug)]
struct Aged {
    at: Moment,
    starts: u32,
}

impl Ledger {
    pub(crate) fn start(&mut self, aged: bool, now: Moment) {
        self.note(now);
        self.own += 1;
        if aged {
            self.aged = Some(Aged { at: now, starts: 0 });
        } else if let Some(last) = &mut self.aged {
            last.starts += 1;
        }
    }

    pub(crate) fn finish(&mut self, now: Moment) {
        self.note(now);
        self.own = self.own.saturating_sub(1);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.own == 0
    }

    /// Returns whether aged work may go ahead again, after other starts or a rest.
    pub(crate) fn has_rested(&self, gap: u32, rest: Duration, now: Moment) -> bool {
        self.aged
            .is_none_or(|last| last.starts >= gap || now.since(last.at) >= rest)
    }

    /// Forgets changes that a report already covers.
    pub(crate) fn forget(&mut self, taken: Moment) {
        while self.changes.front().is_some_and(|c| c.at <= taken) {
            self.changes.pop_front();
        }
    }

    /// Returns the number of requests that the upstream holds by now.
    ///
    /// Other entry hosts start and end requests too, and none of it is in the report yet; each
    /// of the `peers` is taken to have changed as much as this one.
    pub(crate) fn load(&self, report: Option<&Report>, peers: u32, now: Moment) -> u32 {
        let fresh = report.filter(|report| now.since(report.taken) < MAX_REPORT_AGE);
        let Some(report) = fresh else {
            return self.own.saturating_mul(peers);
        };
        let before = self.own_at(report.taken);
        let started = self.own.saturating_sub(before).saturating_mul(peers);
        let ended = before.saturating_sub(self.own).saturating_mul(peers);
        let corrected = report
            .running
            .saturating_add(report.waiting)
            .saturating_add(started)
            .saturating_sub(ended);
        corrected.max(self.own)
    }

    fn own_at(&self, taken: Moment) -> u32 {
        let position = self.changes.partition_point(|c| c.at <= taken);
        self.changes.get(position).map_or(self.own, |c| c.before)
    }

    fn note(&mut self, now: Moment) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at: now,
            before: self.own,
        });
    }
}
