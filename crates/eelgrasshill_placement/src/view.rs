//! A snapshot of the zone at the start of a planning round.
//!
//! It is built from the tables, the assignment and the state of all engines. It decides which
//! engines may be planned on, how much memory each has free, and which copies other zones hold.

use std::cmp::Reverse;

use eelgrasshill_domain::{
    FastMap, Fencing, HostName, ModelName, Moment, Offset, PoolName, Tables, ZoneName,
};

use crate::adapters::{AdapterKey, idle_adapters};
use crate::{
    Action, Assignment, EngineReport, EngineState, EngineStates, OrderTimings, ZoneRequirement,
};

/// The rank of a zone among those that hold a model.
///
/// A zone unloads its last copy of a model only while a zone of higher rank reports one. Only one
/// of two zones ranks higher, so they never unload their last copies because of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ZoneRank {
    is_current: bool,
    requirement: Option<ZoneRequirement>,
    weight: u64,
}

/// A copy of a model that is resident on an engine.
#[derive(Clone, Debug)]
pub(crate) struct ResidentCopy<'a> {
    pub(crate) model: &'a ModelName,
    /// Memory in MB; zero if the model is not in the tables.
    pub(crate) memory_mb: u64,
    /// Whether its version and pool are those in the tables.
    pub(crate) is_current: bool,
    /// Whether an order for the model may still take effect on this engine.
    pub(crate) has_open_order: bool,
}

/// An engine of the zone that may be planned on.
#[derive(Clone, Debug)]
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a HostName,
    pub(crate) pool: &'a PoolName,
    /// Memory in MB that is neither used nor reserved for open orders.
    pub(crate) free_mb: u64,
    pub(crate) copies: Vec<ResidentCopy<'a>>,
    pub(crate) engine_state: &'a EngineState,
    /// Loaded adapters that no open order concerns, which may be unloaded.
    pub(crate) idle_adapters: Vec<AdapterKey>,
    pub(crate) report: &'a EngineReport,
}

/// The number of copies of one model in the zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CopyCounts {
    /// Resident copies of the version in the tables that no open order unloads.
    pub(crate) current: u32,
    /// Resident copies of other versions that no open order unloads.
    pub(crate) outdated: u32,
    /// Copies of the version in the tables that are being loaded.
    pub(crate) incoming: u32,
}

impl CopyCounts {
    /// Returns the number of copies of the current version, resident or being loaded.
    pub(crate) fn current_or_incoming(self) -> u32 {
        self.current + self.incoming
    }
}

/// The zone at the start of a planning round.
#[derive(Debug)]
pub(crate) struct ZoneView<'a> {
    pub(crate) zone: &'a ZoneName,
    pub(crate) tables: &'a Tables,
    pub(crate) assignment: &'a Assignment,
    /// Memory of one adapter, in MB.
    pub(crate) adapter_memory_mb: u64,
    pub(crate) engines: Vec<EngineView<'a>>,
    pub(crate) copy_counts: FastMap<&'a ModelName, CopyCounts>,
    /// The highest rank of the other zones that report a copy of the model.
    best_other_zone: FastMap<&'a ModelName, ZoneRank>,
}

/// The input from which a view is built.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewInput<'a> {
    pub(crate) zone: &'a ZoneName,
    pub(crate) tables: &'a Tables,
    pub(crate) assignment: &'a Assignment,
    pub(crate) engine_states: &'a EngineStates,
    pub(crate) timings: &'a OrderTimings,
    pub(crate) adapter_memory_mb: u64,
    pub(crate) fence: Offset,
    /// Whether the settle delay has passed, so that copies in other zones count.
    pub(crate) relies_on_other_zones: bool,
    pub(crate) now: Moment,
}

impl<'a> ZoneView<'a> {
    pub(crate) fn new(input: ViewInput<'a>) -> Self {
        let mut view = Self {
            zone: input.zone,
            tables: input.tables,
            assignment: input.assignment,
            adapter_memory_mb: input.adapter_memory_mb,
            engines: Vec::new(),
            copy_counts: FastMap::default(),
            best_other_zone: FastMap::default(),
        };
        for (name, host) in &input.tables.hosts {
            let Some(engine_state) = input.engine_states.engine_state(name) else {
                continue;
            };
            if host.zone != *input.zone {
                view.add_engine_of_other_zone(&input, name, &host.zone, engine_state);
                continue;
            }
            if let Some(report) = input.engine_states.usable_report(name, host, &input) {
                let free_mb = host.memory_mb.min(report.total_mb);
                let free_mb = free_mb
                    .saturating_sub(engine_state.used_or_reserved_mb(input.adapter_memory_mb));
                view.add_engine(name, &host.pool, free_mb, engine_state, report);
            }
        }
        view
    }

    fn add_engine(
        &mut self,
        name: &'a HostName,
        pool: &'a PoolName,
        free_mb: u64,
        engine_state: &'a EngineState,
        report: &'a EngineReport,
    ) {
        let mut copies = Vec::with_capacity(report.resident.len());
        for resident in &report.resident {
            let table_row = self.tables.models.get(&resident.model);
            let is_current = table_row.is_some_and(|table_row| {
                table_row.version == resident.version && table_row.pool == *pool
            });
            if !engine_state.is_unloading(&resident.model) {
                let copy_counts = self.copy_counts.entry(&resident.model).or_default();
                *(if is_current {
                    &mut copy_counts.current
                } else {
                    &mut copy_counts.outdated
                }) += 1;
            }
            copies.push(ResidentCopy {
                model: &resident.model,
                memory_mb: table_row.map_or(0, |table_row| table_row.memory_mb),
                is_current,
                has_open_order: engine_state.is_changing(&resident.model),
            });
        }
        let loading = report
            .loading
            .iter()
            .map(|load| (&load.model, load.version.as_str()));
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
        let idle_adapters = idle_adapters(engine_state, report);
        self.engines.push(EngineView {
            name,
            pool,
            free_mb,
            copies,
            engine_state,
            idle_adapters,
            report,
        });
    }

    fn add_engine_of_other_zone(
        &mut self,
        input: &ViewInput<'a>,
        name: &HostName,
        zone: &ZoneName,
        engine_state: &'a EngineState,
    ) {
        let report = engine_state.fresh_report(input.now, input.timings);
        let Some(report) = report
            .filter(|_report| input.relies_on_other_zones && !input.engine_states.is_leaving(name))
        else {
            return;
        };
        for resident in &report.resident {
            let rank = self.rank(&resident.model, zone, &resident.version);
            let best = self.best_other_zone.entry(&resident.model).or_insert(rank);
            *best = (*best).max(rank);
        }
    }

    fn rank(&self, model: &ModelName, zone: &ZoneName, version: &str) -> ZoneRank {
        ZoneRank {
            is_current: self
                .tables
                .models
                .get(model)
                .is_some_and(|table_row| table_row.version == version),
            requirement: self.assignment.requirement(model, zone),
            weight: self.assignment.weight(model, zone),
        }
    }

    /// Returns whether a zone of higher rank reports a copy of the model.
    pub(crate) fn is_held_elsewhere(&self, model: &ModelName, is_current: bool) -> bool {
        let own = ZoneRank {
            is_current,
            requirement: self.assignment.requirement(model, self.zone),
            weight: self.assignment.weight(model, self.zone),
        };
        self.best_other_zone
            .get(model)
            .is_some_and(|rank| *rank > own)
    }

    /// Returns the indices of a pool's engines, ordered by decreasing free memory.
    pub(crate) fn engines_by_free_memory(&self, pool: &PoolName) -> Vec<usize> {
        let mut indices: Vec<_> = (0..self.engines.len())
            .filter(|index| self.engines[*index].pool == pool)
            .collect();
        indices.sort_by_key(|index| Reverse(self.engines[*index].free_mb));
        indices
    }
}

/// Returns ordered loads that the report does not show as resident.
///
/// Missing loads are left out.
fn pending_loads(engine_state: &EngineState) -> impl Iterator<Item = (&ModelName, &str)> {
    engine_state
        .orders()
        .values()
        .filter_map(|open_order| match &open_order.order.action {
            Action::Load { model, version, .. } if !engine_state.load_is_missing(open_order) => {
                let is_resident = engine_state
                    .latest_report()
                    .is_some_and(|latest| latest.report.is_resident(model, version));
                (!is_resident).then_some((model, version.as_str()))
            }
            _ => None,
        })
}

/// Returns whether an engine rejects orders of earlier terms or ignores fencing tokens.
pub(crate) fn engine_is_sealed(fencing: Fencing, report: &EngineReport, fence: Offset) -> bool {
    fencing == Fencing::Ignored || report.fence >= fence
}
