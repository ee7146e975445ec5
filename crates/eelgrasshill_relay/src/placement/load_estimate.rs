//! Estimate of the load that a pool's engines serve in time.
//!
//! It also gives the gain and loss of a move of copies. A model's load is divided evenly among its
//! copies. An engine's load is the sum over its models. The busier an engine is, the larger the
//! part of added load that starts too late.

use eelgrasshill_domain::{FastMap, HostName, ModelName};

/// Load of an engine, in thousandths, above which all added load starts too late.
const SATURATION_PERMILLE: u64 = 650;

/// Copies on a pool's engines, current and planned, with the load of its models.
pub(crate) struct LoadEstimate {
    held: FastMap<HostName, Vec<ModelName>>,
    // Engines that hold each model. A plan asks for them thousands of times.
    holders: FastMap<ModelName, Vec<HostName>>,
    // Load in thousandths of an engine.
    work: FastMap<ModelName, u64>,
}

impl LoadEstimate {
    pub(crate) fn new(
        held: FastMap<HostName, Vec<ModelName>>,
        work: FastMap<ModelName, u64>,
    ) -> Self {
        let mut holders: FastMap<_, Vec<_>> = FastMap::default();
        for (id, models) in &held {
            for model in models {
                holders.entry(model.clone()).or_default().push(id.clone());
            }
        }
        Self {
            held,
            holders,
            work,
        }
    }

    pub(crate) fn copies(&self, model: &ModelName) -> u64 {
        let holders = self.holders.get(model).map_or(0, Vec::len);
        u64::try_from(holders).unwrap_or(u64::MAX)
    }

    pub(crate) fn work(&self, model: &ModelName) -> u64 {
        self.work.get(model).copied().unwrap_or_default()
    }

    /// Returns the load of each of `copies` copies, in thousandths of an engine.
    fn share(&self, model: &ModelName, copies: u64) -> u64 {
        self.work(model) / copies.max(1)
    }

    fn load(&self, models: &[ModelName]) -> u64 {
        models
            .iter()
            .map(|model| self.share(model, self.copies(model)))
            .sum()
    }

    /// Returns the engines that hold a model, with their total loads.
    fn holders(&self, model: &ModelName) -> impl Iterator<Item = (&HostName, u64)> {
        let holders = self.holders.get(model).into_iter().flatten();
        holders.map(|id| {
            let models = self.held.get(id).map_or(&[][..], Vec::as_slice);
            (id, self.load(models))
        })
    }

    /// Returns the part of a model's load that starts too late.
    pub(crate) fn unserved(&self, model: &ModelName) -> u64 {
        let share = self.share(model, self.copies(model));
        let parts = self.holders(model).map(|(_id, load)| {
            let late = u64::try_from(late_part(load)).unwrap_or_default();
            late * share / load.max(1)
        });
        parts.sum()
    }

    /// Returns how much more load starts in time with a copy replacing `evictions`.
    pub(crate) fn gain(&self, id: &HostName, model: &ModelName, evictions: &[ModelName]) -> i64 {
        let copies = self.copies(model);
        let after = self.share(model, copies + 1);
        let models = self.held.get(id).map_or(&[][..], Vec::as_slice);
        let before = self.load(models);
        let freed: u64 = evictions
            .iter()
            .map(|gone| self.share(gone, self.copies(gone)))
            .sum();
        let here = late_part(before.saturating_sub(freed) + after) - late_part(before);
        let relief: i64 = if copies == 0 {
            self.work(model).try_into().unwrap_or(i64::MAX)
        } else {
            let moved = self.share(model, copies) - after;
            self.holders(model)
                .map(|(_id, load)| late_part(load) - late_part(load.saturating_sub(moved)))
                .sum()
        };
        relief - here
    }

    /// Returns how much less load starts in time without the copy on an engine.
    pub(crate) fn loss(&self, id: &HostName, model: &ModelName) -> i64 {
        let copies = self.copies(model);
        if copies <= 1 {
            return self.work(model).try_into().unwrap_or(i64::MAX);
        }
        let added = self.share(model, copies - 1) - self.share(model, copies);
        self.holders(model)
            .filter(|(holder, _load)| *holder != id)
            .map(|(_id, load)| late_part(load + added) - late_part(load))
            .sum()
    }

    /// Applies a planned move to the estimate.
    pub(crate) fn apply_move(&mut self, id: &HostName, model: &ModelName, evictions: &[ModelName]) {
        let models = self.held.entry(id.clone()).or_default();
        models.retain(|held| !evictions.contains(held));
        models.push(model.clone());
        for gone in evictions {
            if let Some(holders) = self.holders.get_mut(gone) {
                holders.retain(|holder| holder != id);
            }
        }
        let holders = self.holders.entry(model.clone()).or_default();
        holders.push(id.clone());
    }
}

/// Returns the part of an engine's load that starts too late.
///
/// Below saturation, prompts delay each other, which grows with the square of the load; all load
/// above saturation is late.
fn late_part(load: u64) -> i64 {
    let below = load.min(SATURATION_PERMILLE);
    let late = below * below / (2 * SATURATION_PERMILLE) + (load - below);
    late.try_into().unwrap_or(i64::MAX)
}
