//! Keeps the latest engine reports and finds the changes to forward to a peer.
//!
//! An engine's load changes constantly and its resident models rarely, so most updates
//! carry only the load. Changes are numbered, so a peer acknowledges them with one
//! number. Load changes of engines outside the peer's zone are forwarded less often, since
//! these engines only receive overflow traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, ZoneName};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_ports::EngineReport;

/// Age after which a report is replaced even by one with a lower sequence number.
///
/// An engine that restarted may count from a lower number again.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Minimum time between two load updates of an engine to other zones.
const REMOTE_INTERVAL: Duration = Duration::from_secs(5);

/// The newest report of an engine and the numbers of its changes.
#[derive(Clone, Debug)]
pub(crate) struct TrackedEngine {
    pub(crate) report: EngineReport,
    /// When the engine wrote the report, as estimated from its age.
    pub(crate) taken_at: Moment,
    pub(crate) received_at: Moment,
    zone: Option<ZoneName>,
    /// The number of the latest change, for peers in the engine's zone.
    zone_change: u64,
    /// The number of the latest change that is forwarded to other zones.
    remote_change: u64,
    /// When `remote_change` was last set.
    remote_changed_at: Moment,
    /// The number of the latest change of anything but the load.
    holdings_change: u64,
}

impl TrackedEngine {
    /// Returns the numbers of running answers and waiting requests.
    pub(crate) fn running_and_waiting(&self) -> (u32, u32) {
        running_and_waiting(&self.report)
    }
}

fn running_and_waiting(report: &EngineReport) -> (u32, u32) {
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
fn stable_fields(report: &EngineReport) -> EngineReport {
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
    own_zone: ZoneName,
    tracked: BTreeMap<HostName, TrackedEngine>,
    /// The number of the latest change.
    last_change: u64,
}

impl Engines {
    /// Creates the state of a host that has received no reports.
    pub(crate) fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            tracked: BTreeMap::new(),
            last_change: 0,
        }
    }

    /// Returns the number of the latest change.
    pub(crate) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the state of an engine, if it has reported.
    pub(crate) fn get(&self, host: &HostName) -> Option<&TrackedEngine> {
        self.tracked.get(host)
    }

    /// Returns the states of all engines in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &TrackedEngine> {
        self.tracked.values()
    }

    /// Stores a report requested at `requested_at`; returns false if it is not newer.
    pub(crate) fn record(
        &mut self,
        report: &EngineReport,
        zone: Option<&ZoneName>,
        requested_at: Moment,
        now: Moment,
    ) -> bool {
        let previous = self.tracked.get(&report.host);
        let is_newer = previous.is_none_or(|engine| {
            report.report_number > engine.report.report_number
                || now.since(engine.received_at) > REPORT_TTL
        });
        if !is_newer {
            return false;
        }
        self.last_change += 1;
        let has_same_holdings =
            previous.is_some_and(|engine| stable_fields(&engine.report) == stable_fields(report));
        let holdings_change = previous
            .filter(|_engine| has_same_holdings)
            .map_or(self.last_change, |engine| engine.holdings_change);
        // Present if only the load changed and the last update for other zones is recent.
        let not_due_remotely = previous.filter(|engine| {
            has_same_holdings && now.since(engine.remote_changed_at) < REMOTE_INTERVAL
        });
        let (remote_change, remote_changed_at) = not_due_remotely
            .map_or((self.last_change, now), |engine| {
                (engine.remote_change, engine.remote_changed_at)
            });
        let engine = TrackedEngine {
            report: report.clone(),
            // Both are in milliseconds.
            taken_at: Moment(requested_at.0.saturating_sub(report.age_ms)),
            received_at: now,
            zone: zone.cloned(),
            zone_change: self.last_change,
            remote_change,
            remote_changed_at,
            holdings_change,
        };
        self.tracked.insert(report.host.clone(), engine);
        true
    }

    /// Returns the updates after a change that a peer acknowledged.
    ///
    /// A peer without a heartbeat, whose zone is unknown, counts as one of this zone.
    pub(crate) fn changes_since(
        &self,
        acknowledged_change: u64,
        peer_zone: Option<&ZoneName>,
        now: Moment,
    ) -> Vec<wire::EngineNews> {
        let peer_zone = peer_zone.unwrap_or(&self.own_zone);
        self.tracked
            .values()
            .filter(|engine| {
                let is_same_zone = engine.zone.as_ref() == Some(peer_zone);
                let change = if is_same_zone {
                    engine.zone_change
                } else {
                    engine.remote_change
                };
                change > acknowledged_change
            })
            .map(|engine| {
                let (running, waiting) = engine.running_and_waiting();
                let age = u64::try_from(now.since(engine.taken_at).as_millis()).unwrap_or(u64::MAX);
                let report = if engine.holdings_change > acknowledged_change {
                    serde_json::to_vec(&EngineReport {
                        age_ms: age,
                        ..engine.report.clone()
                    })
                } else {
                    Ok(Vec::new())
                };
                wire::EngineNews {
                    host: engine.report.host.to_string(),
                    sequence: engine.report.report_number,
                    age,
                    running,
                    waiting,
                    // Empty for an update of the load only.
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
        let engine = self.tracked.get(&host)?;
        let mut report = stable_fields(&engine.report);
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
