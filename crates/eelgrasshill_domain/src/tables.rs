//! The routes table and the pools table, with a check of their references.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::{
    Caller, Host, HostName, Model, ModelName, OrgName, Organisation, Pool, PoolKind, PoolName,
    Route, RouteName, Row, RowKey, Target, record,
};

record! {
    /// All rows of the routes table and the pools table.
    #[derive(Default)]
    pub struct Tables {
        /// Organisations of the routes table.
        pub organisations: BTreeMap<OrgName, Organisation>,
        /// Routes of the routes table.
        pub routes: BTreeMap<RouteName, Route>,
        /// Pools of the pools table.
        pub pools: BTreeMap<PoolName, Pool>,
        /// Upstream hosts of the pools table.
        pub hosts: BTreeMap<HostName, Host>,
        /// Models of the pools table.
        pub models: BTreeMap<ModelName, Model>,
    }

    /// Error for a reference to a row that does not exist.
    #[derive(Display, Error)]
    #[display("[{row}] refers to [{missing}], which is not in the tables; add that row or change the reference")]
    pub struct MissingRowError {
        /// Key of the row with the reference.
        pub row: RowKey,
        /// Key of the missing row.
        pub missing: RowKey,
    }
}

impl Tables {
    /// Returns the row with a key, if it exists.
    #[must_use]
    pub fn get(&self, key: &RowKey) -> Option<Row> {
        match key {
            RowKey::Organisation(name) => self.organisations.get(name).cloned().map(Row::from),
            RowKey::Route(name) => self.routes.get(name).cloned().map(Row::from),
            RowKey::Pool(name) => self.pools.get(name).cloned().map(Row::from),
            RowKey::Host(name) => self.hosts.get(name).cloned().map(Row::from),
            RowKey::Model(name) => self.models.get(name).cloned().map(Row::from),
        }
    }

    /// Sets or removes a row; returns false if key and row differ in kind.
    #[must_use]
    pub fn set(&mut self, key: &RowKey, row: Option<Row>) -> bool {
        fn insert<K: Ord + Clone, V>(map: &mut BTreeMap<K, V>, key: &K, value: V) -> bool {
            map.insert(key.clone(), value);
            true
        }
        match (key, row) {
            (RowKey::Organisation(k), Some(Row::Organisation(v))) => {
                insert(&mut self.organisations, k, v)
            }
            (RowKey::Route(k), Some(Row::Route(v))) => insert(&mut self.routes, k, v),
            (RowKey::Pool(k), Some(Row::Pool(v))) => insert(&mut self.pools, k, v),
            (RowKey::Host(k), Some(Row::Host(v))) => insert(&mut self.hosts, k, v),
            (RowKey::Model(k), Some(Row::Model(v))) => insert(&mut self.models, k, v),
            (RowKey::Organisation(k), None) => {
                self.organisations.remove(k);
                true
            }
            (RowKey::Route(k), None) => {
                self.routes.remove(k);
                true
            }
            (RowKey::Pool(k), None) => {
                self.pools.remove(k);
                true
            }
            (RowKey::Host(k), None) => {
                self.hosts.remove(k);
                true
            }
            (RowKey::Model(k), None) => {
                self.models.remove(k);
                true
            }
            (_, Some(_)) => false,
        }
    }

    /// Returns the keys of all rows, sorted.
    #[must_use]
    pub fn keys(&self) -> Vec<RowKey> {
        let mut keys = Vec::new();
        keys.extend(self.organisations.keys().cloned().map(RowKey::Organisation));
        keys.extend(self.routes.keys().cloned().map(RowKey::Route));
        keys.extend(self.pools.keys().cloned().map(RowKey::Pool));
        keys.extend(self.hosts.keys().cloned().map(RowKey::Host));
        keys.extend(self.models.keys().cloned().map(RowKey::Model));
        keys
    }

    /// Checks that every referenced row exists.
    ///
    /// A model that a route lists must also belong to the route's pool.
    ///
    /// # Errors
    ///
    /// Returns all references to missing rows. A model that a route lists counts as missing if it
    /// belongs to another pool.
    pub fn check_references(&self) -> Result<(), Vec<MissingRowError>> {
        let mut errors = Vec::new();
        for (name, route) in &self.routes {
            self.check_route(name, route, &mut errors);
        }
        for (name, host) in &self.hosts {
            self.check_pool(RowKey::Host(name.clone()), &host.pool, &mut errors);
        }
        for (name, model) in &self.models {
            self.check_pool(RowKey::Model(name.clone()), &model.pool, &mut errors);
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_pool(&self, row: RowKey, pool: &PoolName, errors: &mut Vec<MissingRowError>) {
        if !self.pools.contains_key(pool) {
            errors.push(MissingRowError {
                row,
                missing: RowKey::Pool(pool.clone()),
            });
        }
    }

    fn check_route(&self, name: &RouteName, route: &Route, errors: &mut Vec<MissingRowError>) {
        let row = RowKey::Route(name.clone());
        self.check_pool(row.clone(), &route.pool, errors);
        if let Caller::Organisation(org) = &route.caller
            && !self.organisations.contains_key(org)
        {
            let missing = RowKey::Organisation(org.clone());
            errors.push(MissingRowError {
                row: row.clone(),
                missing,
            });
        }
        let Target::Models(models) = &route.target else {
            return;
        };
        for model in models {
            let is_offered = self
                .models
                .get(model)
                .is_some_and(|row| row.pool == route.pool);
            if !is_offered {
                let missing = RowKey::Model(model.clone());
                errors.push(MissingRowError {
                    row: row.clone(),
                    missing,
                });
            }
        }
    }

    /// Returns the hosts of a pool, sorted by name.
    pub fn hosts_of<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a HostName, &'a Host)> {
        self.hosts
            .iter()
            .filter(move |(_name, host)| host.pool == *pool)
    }

    /// Returns whether a pool exists and consists of model engines.
    #[must_use]
    pub fn is_engine_pool(&self, pool: &PoolName) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|pool| pool.kind == PoolKind::Engines)
    }
}
