//! What the holder knows of its zone at the start of a planning round.

use std::cmp::Reverse;

use eelgrasshill_domain::{
    FastMap, Fencing, HostName, ModelName, Moment, Offset, PoolName, Tables, ZoneName,
};

use crate::adapters::{AdapterKey, idle_adapters};
use crate::{Action, Assignment, EngineReport, EngineState, FleetState, OrderTimings, Requirement};

/// The order in which zones may rely on each other's copies of a model.
///
/// A zone drops its last copy only while a copy of a higher rank is reported, so two zones can
/// never drop theirs relying on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ZoneRank {
    current: bool,
    requirement: Option<Requirement>,
    weight: u64,
}

/// One resident copy.
#[derive(Clone, Debug)]
pub(crate) struct ResidentCopy<'a> {
    pub(crate) model: &'a ModelName,
    pub(crate) memory: u64,
    pub(crate) current: bool,
    /// Whether an order for the model may still arrive here.
    pub(crate) changing: bool,
}

/// One engine of the zone that takes orders now.
#[derive(Clone, Debug)]
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a HostName,
    pub(crate) pool: &'a PoolName,
    pub(crate) free: u64,
    pub(crate) copies: Vec<ResidentCopy<'a>>,
    pub(crate) engine_state: &'a EngineState,
    /// Adapters that may be unloaded.
    pub(crate) adapters: Vec<AdapterKey>,
    pub(crate) report: &'a EngineReport,
}

/// Copies of one model in the zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CopyCounts {
    /// Resident copies of the tables' version that no order can remove.
    pub(crate) current: u32,
    /// Such copies of other versions.
    pub(crate) outdated: u32,
    /// Copies of the tables' version on their way in.
    pub(crate) incoming: u32,
}

impl CopyCounts {
    /// Returns the copies that serve or will serve the tables' version.
    pub(crate) fn current_or_incoming(self) -> u32 {
        self.current + self.incoming
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
    pub(crate) copy_counts: FastMap<&'a ModelName, CopyCounts>,
    other_zones: FastMap<&'a ModelName, ZoneRank>,
}

/// What the view is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewInput<'a> {
    pub(crate) zone: &'a ZoneName,
    pub(crate) tables: &'a Tables,
    pub(crate) assignment: &'a Assignment,
    pub(crate) fleet: &'a FleetState,
    pub(crate) timings: &'a OrderTimings,
    pub(crate) adapter_memory: u64,
    pub(crate) fence: Offset,
    /// Whether the tables stand long enough to rely on other zones.
    pub(crate) settled: bool,
    pub(crate) now: Moment,
}

impl<'a> ZoneView<'a> {
    pub(crate) fn new(input: ViewInput<'a>) -> Self {
        let mut view = Self {
            zone: input.zone,
            tables: input.tables,
            assignment: input.assignment,
            adapter_memory: input.adapter_memory,
            engines: Vec::new(),
            copy_counts: FastMap::default(),
            other_zones: FastMap::default(),
        };
        for (name, host) in &input.tables.hosts {
            let Some(engine_state) = input.fleet.engine_state(name) else {
                continue;
            };
            if host.zone != *input.zone {
                view.add_other_zone(&input, name, &host.zone, engine_state);
                continue;
            }
            if let Some(report) = input.fleet.usable_report(name, host, &input) {
                let free = host.memory.min(report.total_mb);
                let free = free.saturating_sub(engine_state.reserved_memory(input.adapter_memory));
                view.add_engine(name, &host.pool, free, engine_state, report);
            }
        }
        view
    }

    fn add_engine(
        &mut self,
        name: &'a HostName,
        pool: &'a PoolName,
        free: u64,
        engine_state: &'a EngineState,
        report: &'a EngineReport,
    ) {
        let mut copies = Vec::with_capacity(report.resident.len());
        for resident in &report.resident {
            let table_row = self.tables.models.get(&resident.model);
            let current = table_row.is_some_and(|table_row| {
                table_row.version == resident.version && table_row.pool == *pool
            });
            if !engine_state.is_unloading(&resident.model) {
                let copy_counts = self.copy_counts.entry(&resident.model).or_default();
                *(if current {
                    &mut copy_counts.current
                } else {
                    &mut copy_counts.outdated
                }) += 1;
            }
            copies.push(ResidentCopy {
                model: &resident.model,
                memory: table_row.map_or(0, |table_row| table_row.memory),
                current,
                changing: engine_state.is_changing(&resident.model),
            });
        }
        let loading = report
            .loading
            .iter()
            .map(|m| (&m.model, m.version.as_str()));
        let mut incoming: Vec<_> = loading.chain(pending_loads(engine_state)).collect();
        incoming.sort_unstable();
        incoming.dedup();
        for (model, version) in incoming {
            if self
                .tables
                .models
                .get(model)
                .is_some_and(|table_row| table_row.version == version)
            {
                self.copy_counts.entry(model).or_default().incoming += 1;
            }
        }
        let adapters = idle_adapters(engine_state, report);
        self.engines.push(EngineView {
            name,
            pool,
            free,
            copies,
            engine_state,
            adapters,
            report,
        });
    }

    fn add_other_zone(
        &mut self,
        input: &ViewInput<'a>,
        name: &HostName,
        zone: &ZoneName,
        engine_state: &'a EngineState,
    ) {
        let report = engine_state.fresh_report(input.now, input.timings);
        let Some(report) = report.filter(|_report| input.settled && !input.fleet.is_leaving(name))
        else {
            return;
        };
        for resident in &report.resident {
            let rank = self.rank(&resident.model, zone, &resident.version);
            let best = self.other_zones.entry(&resident.model).or_insert(rank);
            *best = (*best).max(rank);
        }
    }

    fn rank(&self, model: &ModelName, zone: &ZoneName, version: &str) -> ZoneRank {
        ZoneRank {
            current: self
                .tables
                .models
                .get(model)
                .is_some_and(|table_row| table_row.version == version),
            requirement: self.assignment.requirement(model, zone),
            weight: self.assignment.weight(model, zone),
        }
    }

    /// Returns whether a zone that comes before this one reports a copy.
    pub(crate) fn is_held_elsewhere(&self, model: &ModelName, current: bool) -> bool {
        let own = ZoneRank {
            current,
            requirement: self.assignment.requirement(model, self.zone),
            weight: self.assignment.weight(model, self.zone),
        };
        self.other_zones.get(model).is_some_and(|rank| *rank > own)
    }

    /// Returns the engines of a pool, the one with the most room first.
    pub(crate) fn engines_by_free_memory(&self, pool: &PoolName) -> Vec<usize> {
        let mut found: Vec<_> = (0..self.engines.len())
            .filter(|index| self.engines[*index].pool == pool)
            .collect();
        found.sort_by_key(|index| Reverse(self.engines[*index].free));
        found
    }
}

/// Loads that were ordered and are not yet in the report, unless they came to nothing.
fn pending_loads(engine_state: &EngineState) -> impl Iterator<Item = (&ModelName, &str)> {
    engine_state
        .orders()
        .values()
        .filter_map(|open| match &open.order.action {
            Action::Load { model, version, .. } if !engine_state.had_no_effect(open) => {
                let resident = engine_state
                    .latest()
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
