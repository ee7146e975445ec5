//! Models in an engine's memory, and the orders that change them.

use std::collections::VecDeque;

use eelgrasshill_domain::{AdapterName, AppendId, Fencing, ModelName};
use eelgrasshill_ports::{Loading, Order, OrderAction, OrderAnswer};

use super::settings::{EngineCounts, ModelCopy};

/// Processed order ids that are remembered and reported.
const MAX_ORDERS: usize = 256;

/// What a copy in memory is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Loading,
    Resident,
    Unloading,
}

/// One copy of a model in memory.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) serial: u64,
    pub(super) copy: ModelCopy,
    pub(super) phase: Phase,
}

impl Slot {
    fn is(&self, model: &ModelName) -> bool {
        self.copy.model == *model
    }

    pub(super) fn name(&self) -> Loading {
        Loading {
            model: self.copy.model.clone(),
            version: self.copy.version.clone(),
        }
    }
}

/// What an order starts beside the change of memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Work {
    Nothing,
    Load { serial: u64, model: ModelName },
    Adapter { serial: u64, adapter: AdapterName },
}

/// The memory of an engine and its account of orders.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    pub(super) total: u64,
    pub(super) fence: u64,
    pub(super) slots: Vec<Slot>,
    pub(super) orders: VecDeque<(AppendId, OrderAnswer)>,
    next: u64,
}

impl Memory {
    pub(super) fn new(total: u64, resident: &[ModelCopy]) -> Self {
        let slots: Vec<Slot> = (0..)
            .zip(resident)
            .map(|(serial, copy)| Slot {
                serial,
                copy: copy.clone(),
                phase: Phase::Resident,
            })
            .collect();
        Self {
            total,
            fence: 0,
            next: slots.len() as u64,
            slots,
            orders: VecDeque::new(),
        }
    }

    /// Returns the memory in use, loads included, in MB.
    pub(super) fn used(&self) -> u64 {
        self.slots.iter().map(|slot| slot.copy.memory).sum()
    }

    /// Returns the resident copy of a model in a version; empty means any.
    pub(super) fn resident(&self, model: &ModelName, version: &str) -> Option<&Slot> {
        self.slots.iter().find(|slot| {
            let matches = version.is_empty() || slot.copy.version == version;
            slot.is(model) && matches && slot.phase == Phase::Resident
        })
    }

    /// Returns whether a copy of the model is about to be dropped.
    pub(super) fn unloads(&self, model: &ModelName) -> bool {
        self.slots
            .iter()
            .any(|slot| slot.is(model) && slot.phase == Phase::Unloading)
    }

    pub(super) fn slot(&mut self, serial: u64) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.serial == serial)
    }

    /// Processes an order once, whatever the number of times it arrives.
    pub(super) fn order(
        &mut self,
        order: &Order,
        fencing: Fencing,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, Work) {
        if let Some((_id, answer)) = self.orders.iter().find(|(id, _answer)| *id == order.id) {
            counts.repeats += 1;
            return (answer.clone(), Work::Nothing);
        }
        if order.fence < self.fence {
            if fencing == Fencing::Checked {
                counts.fenced += 1;
                let highest = self.fence;
                return (OrderAnswer::Fenced { highest }, Work::Nothing);
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

    fn apply(&mut self, action: &OrderAction, counts: &mut EngineCounts) -> (OrderAnswer, Work) {
        match action {
            OrderAction::Load {
                model,
                version,
                memory,
            } => self.load(model, version, *memory, counts),
            OrderAction::Unload { model } => {
                self.unload(model);
                (OrderAnswer::Taken, Work::Nothing)
            }
            OrderAction::LoadAdapter { model, adapter } => self.load_adapter(model, adapter),
            OrderAction::UnloadAdapter { model, adapter } => {
                for slot in self.slots.iter_mut().filter(|slot| slot.is(model)) {
                    slot.copy.adapters.retain(|held| held != adapter);
                }
                (OrderAnswer::Taken, Work::Nothing)
            }
            OrderAction::Seal => (OrderAnswer::Taken, Work::Nothing),
        }
    }

    fn load(
        &mut self,
        model: &ModelName,
        version: &str,
        memory: u64,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, Work) {
        let held = self.slots.iter().any(|slot| {
            slot.is(model) && slot.copy.version == version && slot.phase != Phase::Unloading
        });
        if held {
            return (OrderAnswer::Taken, Work::Nothing);
        }
        if self.used() + memory > self.total {
            counts.overcommits += 1;
            return (refused("the memory does not suffice"), Work::Nothing);
        }
        let serial = self.next;
        self.next += 1;
        self.slots.push(Slot {
            serial,
            copy: ModelCopy {
                model: model.clone(),
                version: version.to_owned(),
                memory,
                adapters: Vec::new(),
            },
            phase: Phase::Loading,
        });
        let model = model.clone();
        (OrderAnswer::Taken, Work::Load { serial, model })
    }

    fn unload(&mut self, model: &ModelName) {
        self.slots
            .retain(|slot| !slot.is(model) || slot.phase != Phase::Loading);
        for slot in self.slots.iter_mut().filter(|slot| slot.is(model)) {
            slot.phase = Phase::Unloading;
        }
    }

    fn load_adapter(&mut self, model: &ModelName, adapter: &AdapterName) -> (OrderAnswer, Work) {
        let Some(slot) = self.resident(model, "") else {
            return (refused("the model is not resident"), Work::Nothing);
        };
        if slot.copy.adapters.contains(adapter) {
            return (OrderAnswer::Taken, Work::Nothing);
        }
        let (serial, adapter) = (slot.serial, adapter.clone());
        (OrderAnswer::Taken, Work::Adapter { serial, adapter })
    }

    /// Makes a loaded copy resident in place of other versions of its model.
    pub(super) fn loaded(&mut self, serial: u64) -> bool {
        let Some(slot) = self.slot(serial) else {
            return false;
        };
        slot.phase = Phase::Resident;
        let model = slot.copy.model.clone();
        for slot in &mut self.slots {
            if slot.is(&model) && slot.serial != serial && slot.phase == Phase::Resident {
                slot.phase = Phase::Unloading;
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
