//! What the holder knows of its zone at the start of a planning round.

use std::cmp::Reverse;

use eelgrasshill_domain::{
    FastMap, Fencing, HostName, ModelName, Moment, Offset, PoolName, Tables, ZoneName,
};

use crate::adapters::{AdapterKey, idle_adapters};
use crate::{Account, Action, Assignment, Duty, EngineReport, Ledger, OrderSpans};

/// The order in which zones may rely on each other's copies of a model.
///
/// A zone drops its last copy only while a copy of a higher rank is reported, so two zones can
/// never drop theirs relying on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    current: bool,
    duty: Option<Duty>,
    weight: u64,
}

/// One resident copy.
#[derive(Clone, Debug)]
pub(crate) struct Copy<'a> {
    pub(crate) model: &'a ModelName,
    pub(crate) memory: u64,
    pub(crate) current: bool,
    /// Whether an order for the model may still arrive here.
    pub(crate) moving: bool,
}

/// One engine of the zone that takes orders now.
#[derive(Clone, Debug)]
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a HostName,
    pub(crate) pool: &'a PoolName,
    pub(crate) free: u64,
    pub(crate) copies: Vec<Copy<'a>>,
    pub(crate) account: &'a Account,
    /// Adapters that may be unloaded.
    pub(crate) adapters: Vec<AdapterKey>,
    pub(crate) report: &'a EngineReport,
}

/// Copies of one model in the zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standing {
    /// Resident copies of the tables' version that no order can remove.
    pub(crate) current: u32,
    /// Such copies of other versions.
    pub(crate) old: u32,
    /// Copies of the tables' version on their way in.
    pub(crate) coming: u32,
}

impl Standing {
    /// Returns the copies that serve or will serve the tables' version.
    pub(crate) fn wanted(self) -> u32 {
        self.current + self.coming
    }
}

/// The zone at one moment.
#[derive(Debug)]
pub(crate) struct ZoneView<'a> {
    pub(crate) zone: &'a ZoneName,
    pub(crate) tables: &'a Tables,
    pub(crate) assignment: &'a Assignment,
    /// Memory of one adapter in MB.
    pub(crate) adapter_memory: u64,
    pub(crate) engines: Vec<EngineView<'a>>,
    pub(crate) standing: FastMap<&'a ModelName, Standing>,
    elsewhere: FastMap<&'a ModelName, Rank>,
}

/// What the view is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    pub(crate) zone: &'a ZoneName,
    pub(crate) tables: &'a Tables,
    pub(crate) assignment: &'a Assignment,
    pub(crate) ledger: &'a Ledger,
    pub(crate) spans: &'a OrderSpans,
    pub(crate) adapter_memory: u64,
    pub(crate) fence: Offset,
    /// Whether the tables stand long enough to rely on other zones.
    pub(crate) settled: bool,
    pub(crate) now: Moment,
}

impl<'a> ZoneView<'a> {
    pub(crate) fn new(source: Source<'a>) -> Self {
        let mut view = Self {
            zone: source.zone,
            tables: source.tables,
            assignment: source.assignment,
            adapter_memory: source.adapter_memory,
            engines: Vec::new(),
            standing: FastMap::default(),
            elsewhere: FastMap::default(),
        };
        for (name, host) in &source.tables.hosts {
            let Some(account) = source.ledger.account(name) else {
                continue;
            };
            if host.zone != *source.zone {
                view.add_elsewhere(&source, name, &host.zone, account);
                continue;
            }
            if let Some(report) = source.ledger.usable(name, host, &source) {
                let free = host.memory.min(report.total);
                let free = free.saturating_sub(account.charge(source.adapter_memory));
                view.add_engine(name, &host.pool, free, account, report);
            }
        }
        view
    }

    fn add_engine(
        &mut self,
        name: &'a HostName,
        pool: &'a PoolName,
        free: u64,
        account: &'a Account,
        report: &'a EngineReport,
    ) {
        let mut copies = Vec::with_capacity(report.resident.len());
        for resident in &report.resident {
            let row = self.tables.models.get(&resident.model);
            let current =
                row.is_some_and(|row| row.version == resident.version && row.pool == *pool);
            if !account.is_leaving(&resident.model) {
                let standing = self.standing.entry(&resident.model).or_default();
                *(if current {
                    &mut standing.current
                } else {
                    &mut standing.old
                }) += 1;
            }
            copies.push(Copy {
                model: &resident.model,
                memory: row.map_or(0, |row| row.memory),
                current,
                moving: account.is_moving(&resident.model),
            });
        }
        let loading = report
            .loading
            .iter()
            .map(|m| (&m.model, m.version.as_str()));
        let mut coming: Vec<_> = loading.chain(pending(account)).collect();
        coming.sort_unstable();
        coming.dedup();
        for (model, version) in coming {
            if self
                .tables
                .models
                .get(model)
                .is_some_and(|row| row.version == version)
            {
                self.standing.entry(model).or_default().coming += 1;
            }
        }
        let adapters = idle_adapters(account, report);
        self.engines.push(EngineView {
            name,
            pool,
            free,
            copies,
            account,
            adapters,
            report,
        });
    }

    fn add_elsewhere(
        &mut self,
        source: &Source<'a>,
        name: &HostName,
        zone: &ZoneName,
        account: &'a Account,
    ) {
        let report = account.fresh(source.now, source.spans);
        let Some(report) =
            report.filter(|_report| source.settled && !source.ledger.is_leaving(name))
        else {
            return;
        };
        for resident in &report.resident {
            let rank = self.rank(&resident.model, zone, &resident.version);
            let best = self.elsewhere.entry(&resident.model).or_insert(rank);
            *best = (*best).max(rank);
        }
    }

    fn rank(&self, model: &ModelName, zone: &ZoneName, version: &str) -> Rank {
        Rank {
            current: self
                .tables
                .models
                .get(model)
                .is_some_and(|row| row.version == version),
            duty: self.assignment.duty(model, zone),
            weight: self.assignment.weight(model, zone),
        }
    }

    /// Returns whether a zone that comes before this one reports a copy.
    pub(crate) fn is_backed(&self, model: &ModelName, current: bool) -> bool {
        let own = Rank {
            current,
            duty: self.assignment.duty(model, self.zone),
            weight: self.assignment.weight(model, self.zone),
        };
        self.elsewhere.get(model).is_some_and(|rank| *rank > own)
    }

    /// Returns the engines of a pool, the one with the most room first.
    pub(crate) fn roomiest(&self, pool: &PoolName) -> Vec<usize> {
        let mut found: Vec<_> = (0..self.engines.len())
            .filter(|at| self.engines[*at].pool == pool)
            .collect();
        found.sort_by_key(|at| Reverse(self.engines[*at].free));
        found
    }
}

/// Loads that were ordered and are not yet in the report, unless they came to nothing.
fn pending(account: &Account) -> impl Iterator<Item = (&ModelName, &str)> {
    account
        .orders()
        .values()
        .filter_map(|open| match &open.order.action {
            Action::Load { model, version, .. } if !account.came_to_nothing(open) => {
                let resident = account
                    .seen()
                    .is_some_and(|s| s.report.is_resident(model, version));
                (!resident).then_some((model, version.as_str()))
            }
            _ => None,
        })
}

/// Returns whether an engine can be told apart from its predecessor's orders.
pub(crate) fn is_sealed(fencing: Fencing, report: &EngineReport, fence: Offset) -> bool {
    fencing == Fencing::Ignored || report.fence >= fence
}
