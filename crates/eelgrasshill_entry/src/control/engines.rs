//! The latest engine reports, and which changes to forward to a peer.
//!
//! An engine's load changes constantly and its resident models rarely, so most updates
//! carry only the load. Changes are numbered, so a peer acknowledges them with one
//! number. Engines outside the peer's zone are forwarded less often, since they only
//! receive overflow traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, ZoneName};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_ports::EngineReport;

/// Age after which a report is replaced even by one with a lower sequence number.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Minimum time between two load updates of an engine to other zones.
const REMOTE_INTERVAL: Duration = Duration::from_secs(5);

/// The newest report of an engine and the numbers of its changes.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    pub(crate) report: EngineReport,
    pub(crate) taken_at: Moment,
    pub(crate) received_at: Moment,
    zone: Option<ZoneName>,
    zone_change: u64,
    remote_change: u64,
    remote_at: Moment,
    holdings_change: u64,
}

impl EngineState {
    /// Returns the numbers of running answers and waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        load(&self.report)
    }
}

fn load(report: &EngineReport) -> (u32, u32) {
    let running = report
        .resident
        .iter()
        .map(|resident_model| resident_model.running)
        .sum();
    let waiting = report
        .resident
        .iter()
        .map(|resident_model| resident_model.waiting)
        .sum();
    (running, waiting)
}

/// Returns a copy of the report without sequence, age and load.
fn without_load(report: &EngineReport) -> EngineReport {
    let mut report = EngineReport {
        report_number: 0,
        age_ms: 0,
        ..report.clone()
    };
    for resident_model in &mut report.resident {
        resident_model.running = 0;
        resident_model.waiting = 0;
    }
    report
}

/// The newest report of each engine, with a counter of changes.
#[derive(Clone, Debug)]
pub(crate) struct Engines {
    zone: ZoneName,
    known: BTreeMap<HostName, EngineState>,
    change: u64,
}

impl Engines {
    /// Creates the state of a host that has received no reports.
    pub(crate) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            known: BTreeMap::new(),
            change: 0,
        }
    }

    /// Returns the number of the latest change.
    pub(crate) fn change(&self) -> u64 {
        self.change
    }

    /// Returns the state of an engine, if it has reported.
    pub(crate) fn get(&self, host: &HostName) -> Option<&EngineState> {
        self.known.get(host)
    }

    /// Returns the states of all engines in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EngineState> {
        self.known.values()
    }

    /// Stores a report requested at `requested_at`; returns false if it is not newer.
    pub(crate) fn record(
        &mut self,
        report: &EngineReport,
        zone: Option<&ZoneName>,
        requested_at: Moment,
        now: Moment,
    ) -> bool {
        let previous = self.known.get(&report.host);
        let is_newer = previous.is_none_or(|known| {
            report.report_number > known.report.report_number
                || now.since(known.received_at) > REPORT_TTL
        });
        if !is_newer {
            return false;
        }
        self.change += 1;
        let is_same =
            previous.is_some_and(|known| without_load(&known.report) == without_load(report));
        let holdings_change = previous
            .filter(|_known| is_same)
            .map_or(self.change, |known| known.holdings_change);
        let unchanged =
            previous.filter(|known| is_same && now.since(known.remote_at) < REMOTE_INTERVAL);
        let (remote_change, remote_at) = unchanged.map_or((self.change, now), |known| {
            (known.remote_change, known.remote_at)
        });
        let known = EngineState {
            report: report.clone(),
            taken_at: Moment(requested_at.0.saturating_sub(report.age_ms)),
            received_at: now,
            zone: zone.cloned(),
            zone_change: self.change,
            remote_change,
            remote_at,
            holdings_change,
        };
        self.known.insert(report.host.clone(), known);
        true
    }

    /// Returns the updates after change `since` for a peer in `zone`.
    pub(crate) fn changes_since(
        &self,
        since: u64,
        zone: Option<&ZoneName>,
        now: Moment,
    ) -> Vec<wire::EngineNews> {
        let zone = zone.unwrap_or(&self.zone);
        self.known
            .values()
            .filter(|known| {
                let is_same_zone = known.zone.as_ref() == Some(zone);
                let change = if is_same_zone {
                    known.zone_change
                } else {
                    known.remote_change
                };
                change > since
            })
            .map(|known| {
                let (running, waiting) = known.load();
                let age = u64::try_from(now.since(known.taken_at).as_millis()).unwrap_or(u64::MAX);
                let report = if known.holdings_change > since {
                    serde_json::to_vec(&EngineReport {
                        age_ms: age,
                        ..known.report.clone()
                    })
                } else {
                    Ok(Vec::new())
                };
                wire::EngineNews {
                    host: known.report.host.to_string(),
                    sequence: known.report.report_number,
                    age,
                    running,
                    waiting,
                    report: report.unwrap_or_default(),
                }
            })
            .collect()
    }

    /// Returns the full report for a peer's update.
    ///
    /// An update without a report is completed from the last known one, if any.
    pub(crate) fn full_report(&self, update: &wire::EngineNews) -> Option<EngineReport> {
        if !update.report.is_empty() {
            return serde_json::from_slice(&update.report)
                .inspect_err(|error| log::warn!("report: cannot decode a peer's report: {error}"))
                .ok();
        }
        let host = HostName::new(&update.host).ok()?;
        let known = self.known.get(&host)?;
        let mut report = without_load(&known.report);
        report.report_number = update.sequence;
        report.age_ms = update.age;
        // Peers forward only the sums over all models, which suffice to choose an engine.
        if let Some(resident_model) = report.resident.first_mut() {
            resident_model.running = update.running;
            resident_model.waiting = update.waiting;
        }
        Some(report)
    }
}
