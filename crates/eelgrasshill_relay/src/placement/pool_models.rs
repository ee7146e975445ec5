//! A configured pool with an index of its models.

use std::sync::Arc;

use eelgrasshill_domain::{FastMap, ModelName};

use crate::{EnginePool, Model};

/// Rows of a pool, found by name in constant time.
#[derive(Clone, Debug)]
pub(crate) struct PoolModels {
    pool: Arc<EnginePool>,
    positions: FastMap<ModelName, usize>,
    /// Memory in MB that a full set of adapters may need.
    pub(crate) adapter_reserve: u64,
}

impl PoolModels {
    pub(crate) fn new(pool: &Arc<EnginePool>) -> Self {
        let models = pool.models.iter();
        let positions = models
            .enumerate()
            .map(|(position, model)| (model.name.clone(), position));
        let largest = pool.models.iter().map(|model| model.adapter_mb).max();
        Self {
            positions: positions.collect(),
            adapter_reserve: largest.unwrap_or(0) * u64::from(pool.max_adapters),
            pool: Arc::clone(pool),
        }
    }

    pub(crate) fn models(&self) -> &[Model] {
        &self.pool.models
    }

    pub(crate) fn model(&self, name: &ModelName) -> Option<&Model> {
        let position = self.positions.get(name)?;
        self.pool.models.get(*position)
    }

    pub(crate) fn weights_mb(&self, name: &ModelName) -> u64 {
        self.model(name).map_or(0, |model| model.weights_mb)
    }

    pub(crate) fn memory_mb(&self) -> u64 {
        self.pool.memory_mb
    }

    pub(crate) fn max_adapters(&self) -> usize {
        usize::try_from(self.pool.max_adapters).unwrap_or(usize::MAX)
    }
}
