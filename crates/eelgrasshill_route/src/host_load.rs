//! Estimate of the number of requests on one upstream.
//!
//! A report lags by seconds. The estimate adds to the last report what this host started since and
//! takes off what ended, so that a host does not send everything to the upstream whose old report
//! shows it idle.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::Moment;

use crate::UpstreamReport;

/// Maximum number of changes kept for an upstream that sends no reports.
const MAX_CHANGES: usize = 256;

/// Age at which a report is ignored.
///
/// Otherwise an upstream whose reports stop while it is full would get no requests again.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// A start or end of a request of this host.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Moment,
    running_before: u32,
}

/// The requests of this host on one upstream, with their recent starts and ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostLoad {
    own_running: u32,
    changes: VecDeque<Change>,
    last_aged: Option<AgedStart>,
}

/// The last start of an aged request, and how many other starts followed it.
#[derive(Clone, Copy, Debug)]
struct AgedStart {
    at: Moment,
    starts_since: u32,
}

impl HostLoad {
    pub(crate) fn start(&mut self, aged: bool, now: Moment) {
        self.record_change(now);
        self.own_running += 1;
        if aged {
            self.last_aged = Some(AgedStart {
                at: now,
                starts_since: 0,
            });
        } else if let Some(last) = &mut self.last_aged {
            last.starts_since += 1;
        }
    }

    pub(crate) fn finish(&mut self, now: Moment) {
        self.record_change(now);
        self.own_running = self.own_running.saturating_sub(1);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.own_running == 0
    }

    /// Returns whether an aged request may start again.
    ///
    /// It may after `min_starts` other starts or after `min_interval`.
    pub(crate) fn may_start_aged(
        &self,
        min_starts: u32,
        min_interval: Duration,
        now: Moment,
    ) -> bool {
        self.last_aged.is_none_or(|last| {
            last.starts_since >= min_starts || now.since(last.at) >= min_interval
        })
    }

    /// Discards the changes that a report already covers.
    pub(crate) fn discard_covered(&mut self, taken_at: Moment) {
        while self.changes.front().is_some_and(|c| c.at <= taken_at) {
            self.changes.pop_front();
        }
    }

    /// Returns the estimated number of requests running and waiting on the upstream.
    ///
    /// Other entry hosts start and end requests too, and those since the report are unknown here.
    /// The estimate assumes that each of the `peers` changed as much as this host.
    pub(crate) fn load(&self, report: Option<&UpstreamReport>, peers: u32, now: Moment) -> u32 {
        let fresh = report.filter(|report| now.since(report.taken_at) < MAX_REPORT_AGE);
        let Some(report) = fresh else {
            return self.own_running.saturating_mul(peers);
        };
        let running_before = self.own_running_at(report.taken_at);
        let started = self
            .own_running
            .saturating_sub(running_before)
            .saturating_mul(peers);
        let ended = running_before
            .saturating_sub(self.own_running)
            .saturating_mul(peers);
        let corrected = report
            .running
            .saturating_add(report.waiting)
            .saturating_add(started)
            .saturating_sub(ended);
        corrected.max(self.own_running)
    }

    fn own_running_at(&self, taken_at: Moment) -> u32 {
        let position = self.changes.partition_point(|c| c.at <= taken_at);
        self.changes
            .get(position)
            .map_or(self.own_running, |c| c.running_before)
    }

    fn record_change(&mut self, now: Moment) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at: now,
            running_before: self.own_running,
        });
    }
}
