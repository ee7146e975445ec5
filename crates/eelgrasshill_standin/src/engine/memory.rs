//! The models in an engine's memory, and the orders that load and unload them.
//!
//! Decides whether an order is taken, refused for lack of memory or rejected for
//! an old fencing number. Orders are idempotent: a repeated id gets the first answer.

use std::collections::VecDeque;

use eelgrasshill_domain::{AdapterName, AppendId, Fencing, ModelName};
use eelgrasshill_ports::{Loading, Order, OrderAction, OrderAnswer};

use super::settings::{EngineCounts, ModelCopy};

/// Maximum number of processed order ids that are remembered and reported.
const MAX_ORDERS: usize = 256;

/// The state of a model copy in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyPhase {
    Loading,
    Resident,
    Unloading,
}

/// A copy of a model in memory, with its state.
#[derive(Clone, Debug)]
pub(super) struct MemoryEntry {
    pub(super) serial: u64,
    pub(super) copy: ModelCopy,
    pub(super) phase: CopyPhase,
}

impl MemoryEntry {
    fn is_model(&self, model: &ModelName) -> bool {
        self.copy.model == *model
    }

    pub(super) fn to_loading(&self) -> Loading {
        Loading {
            model: self.copy.model.clone(),
            version: self.copy.version.clone(),
        }
    }
}

/// The background load that an order starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LoadTask {
    Nothing,
    Load { serial: u64, model: ModelName },
    Adapter { serial: u64, adapter: AdapterName },
}

/// The memory of an engine and the orders that it has processed.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    pub(super) total: u64,
    pub(super) fence: u64,
    pub(super) entries: Vec<MemoryEntry>,
    pub(super) orders: VecDeque<(AppendId, OrderAnswer)>,
    next_serial: u64,
}

impl Memory {
    pub(super) fn new(total: u64, resident: &[ModelCopy]) -> Self {
        let entries: Vec<MemoryEntry> = (0..)
            .zip(resident)
            .map(|(serial, copy)| MemoryEntry {
                serial,
                copy: copy.clone(),
                phase: CopyPhase::Resident,
            })
            .collect();
        Self {
            total,
            fence: 0,
            next_serial: entries.len() as u64,
            entries,
            orders: VecDeque::new(),
        }
    }

    /// Returns the memory in use in MB, including copies that are still loading.
    pub(super) fn used(&self) -> u64 {
        self.entries.iter().map(|entry| entry.copy.memory).sum()
    }

    /// Returns a model's resident copy of a version; an empty version matches any.
    pub(super) fn resident(&self, model: &ModelName, version: &str) -> Option<&MemoryEntry> {
        self.entries.iter().find(|entry| {
            let matches = version.is_empty() || entry.copy.version == version;
            entry.is_model(model) && matches && entry.phase == CopyPhase::Resident
        })
    }

    /// Returns whether a copy of the model is being unloaded.
    pub(super) fn is_unloading(&self, model: &ModelName) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.is_model(model) && entry.phase == CopyPhase::Unloading)
    }

    pub(super) fn entry(&mut self, serial: u64) -> Option<&mut MemoryEntry> {
        self.entries.iter_mut().find(|entry| entry.serial == serial)
    }

    /// Processes an order, or returns the first answer to a repeated one.
    pub(super) fn order(
        &mut self,
        order: &Order,
        fencing: Fencing,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, LoadTask) {
        if let Some((_id, answer)) = self.orders.iter().find(|(id, _answer)| *id == order.id) {
            counts.repeats += 1;
            return (answer.clone(), LoadTask::Nothing);
        }
        if order.fence < self.fence {
            if fencing == Fencing::Checked {
                counts.fenced += 1;
                let highest = self.fence;
                return (OrderAnswer::Fenced { highest }, LoadTask::Nothing);
            }
            counts.unfenced += 1;
        }
        self.fence = self.fence.max(order.fence);
        let (answer, work) = self.apply(&order.action, counts);
        counts.peak = counts.peak.max(self.used());
        if self.orders.len() == MAX_ORDERS {
            self.orders.pop_front();
        }
        self.orders.push_back((order.id.clone(), answer.clone()));
        (answer, work)
    }

    fn apply(
        &mut self,
        action: &OrderAction,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, LoadTask) {
        match action {
            OrderAction::Load {
                model,
                version,
                memory,
            } => self.load(model, version, *memory, counts),
            OrderAction::Unload { model } => {
                self.unload(model);
                (OrderAnswer::Taken, LoadTask::Nothing)
            }
            OrderAction::LoadAdapter { model, adapter } => self.load_adapter(model, adapter),
            OrderAction::UnloadAdapter { model, adapter } => {
                for entry in self
                    .entries
                    .iter_mut()
                    .filter(|entry| entry.is_model(model))
                {
                    entry.copy.adapters.retain(|held| held != adapter);
                }
                (OrderAnswer::Taken, LoadTask::Nothing)
            }
            OrderAction::Seal => (OrderAnswer::Taken, LoadTask::Nothing),
        }
    }

    fn load(
        &mut self,
        model: &ModelName,
        version: &str,
        memory: u64,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, LoadTask) {
        let held = self.entries.iter().any(|entry| {
            entry.is_model(model)
                && entry.copy.version == version
                && entry.phase != CopyPhase::Unloading
        });
        if held {
            return (OrderAnswer::Taken, LoadTask::Nothing);
        }
        if self.used() + memory > self.total {
            counts.overcommits += 1;
            return (refused("the memory does not suffice"), LoadTask::Nothing);
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.entries.push(MemoryEntry {
            serial,
            copy: ModelCopy {
                model: model.clone(),
                version: version.to_owned(),
                memory,
                adapters: Vec::new(),
            },
            phase: CopyPhase::Loading,
        });
        let model = model.clone();
        (OrderAnswer::Taken, LoadTask::Load { serial, model })
    }

    fn unload(&mut self, model: &ModelName) {
        self.entries
            .retain(|entry| !entry.is_model(model) || entry.phase != CopyPhase::Loading);
        for entry in self
            .entries
            .iter_mut()
            .filter(|entry| entry.is_model(model))
        {
            entry.phase = CopyPhase::Unloading;
        }
    }

    fn load_adapter(
        &mut self,
        model: &ModelName,
        adapter: &AdapterName,
    ) -> (OrderAnswer, LoadTask) {
        let Some(entry) = self.resident(model, "") else {
            return (refused("the model is not resident"), LoadTask::Nothing);
        };
        if entry.copy.adapters.contains(adapter) {
            return (OrderAnswer::Taken, LoadTask::Nothing);
        }
        let (serial, adapter) = (entry.serial, adapter.clone());
        (OrderAnswer::Taken, LoadTask::Adapter { serial, adapter })
    }

    /// Marks a copy as resident and starts unloading the model's other versions.
    pub(super) fn mark_resident(&mut self, serial: u64) -> bool {
        let Some(entry) = self.entry(serial) else {
            return false;
        };
        entry.phase = CopyPhase::Resident;
        let model = entry.copy.model.clone();
        for entry in &mut self.entries {
            if entry.is_model(&model)
                && entry.serial != serial
                && entry.phase == CopyPhase::Resident
            {
                entry.phase = CopyPhase::Unloading;
            }
        }
        true
    }
}

fn refused(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
