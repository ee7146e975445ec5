//! Decides for which organisation a request runs and which route it takes.
//!
//! The inputs are the key and the target of the request and the folded tables.
//! An [`Access`] is immutable: the control thread builds a new one when the
//! configuration changes, and the traffic threads share it.

mod refusal;

use std::{sync::Arc, time::Duration};

use eelgrasshill_domain::{
    AdapterName, Caller, FastMap, FastSet, KeyGrant, KeyId, KeyText, ModelName, Offset, OnStale,
    OrgName, Route, RouteName, Tables, Target,
};

use crate::{ConfigFold, path::decode_path};

pub use refusal::{AccessRefusal, KeyError};

/// The model or path that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget<'a> {
    /// The name of a model, or of a model and its adapter as `model:adapter`.
    Model(&'a str),
    /// The path of a plain HTTP call, without the query string.
    Path(&'a str),
}

/// The permission of a request to take a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The organisation for which the request runs; `None` without a valid key.
    pub organisation: Option<OrgName>,
    /// The valid key that the request presented.
    pub key: Option<KeyId>,
    /// The name of the route to take.
    pub route_name: RouteName,
    /// The row of the route to take.
    pub route: Arc<Route>,
    /// The requested model; `None` for a plain call.
    pub model: Option<ModelName>,
    /// The requested adapter of the model, if the request names one.
    pub adapter: Option<AdapterName>,
}

#[derive(Clone, Debug)]
struct NamedRoute {
    name: RouteName,
    route: Arc<Route>,
}

/// The routes to one model or path prefix, by the callers that may use them.
#[derive(Clone, Debug, Default)]
struct RouteCandidates {
    open: Option<NamedRoute>,
    by_organisation: FastMap<OrgName, NamedRoute>,
}

#[derive(Clone, Debug)]
struct ModelRoutes {
    name: ModelName,
    adapters: FastMap<Arc<str>, AdapterName>,
    candidates: RouteCandidates,
}

/// An immutable index over the tables and keys of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Access {
    through: Offset,
    keys: FastMap<KeyId, KeyGrant>,
    withdrawn: FastSet<KeyId>,
    models: FastMap<Arc<str>, ModelRoutes>,
    prefixes: FastMap<Arc<str>, RouteCandidates>,
    prefix_lengths: Vec<usize>,
}

impl RouteCandidates {
    /// Adds a route, unless one for the same callers exists already.
    ///
    /// Routes are added in order of their names, so the first name wins.
    fn add(&mut self, entry: NamedRoute) {
        match &entry.route.caller {
            Caller::Open => {
                self.open.get_or_insert(entry);
            }
            Caller::Organisation(org) => {
                self.by_organisation.entry(org.clone()).or_insert(entry);
            }
        }
    }
}

impl Access {
    /// Builds the index from a configuration fold.
    #[must_use]
    pub fn new(fold: &ConfigFold) -> Self {
        let tables = fold.tables();
        let mut access = Self {
            through: fold.last(),
            keys: fold
                .keys()
                .iter()
                .map(|(id, grant)| (id.clone(), grant.clone()))
                .collect(),
            withdrawn: fold.withdrawn().cloned().collect(),
            ..Self::default()
        };
        for (name, route) in &tables.routes {
            access.add_route(tables, name, route);
        }
        access.index_prefix_lengths();
        access
    }

    fn add_route(&mut self, tables: &Tables, name: &RouteName, route: &Route) {
        let entry = NamedRoute {
            name: name.clone(),
            route: Arc::new(route.clone()),
        };
        match &route.target {
            Target::Models(models) => {
                for model in models {
                    self.model_routes(tables, model)
                        .candidates
                        .add(entry.clone());
                }
            }
            Target::Path(prefix) => {
                let prefix = Arc::from(prefix.as_str());
                self.prefixes.entry(prefix).or_default().add(entry);
            }
        }
    }

    fn model_routes(&mut self, tables: &Tables, name: &ModelName) -> &mut ModelRoutes {
        self.models
            .entry(Arc::from(name.as_str()))
            .or_insert_with(|| ModelRoutes {
                name: name.clone(),
                adapters: tables
                    .models
                    .get(name)
                    .into_iter()
                    .flat_map(|model| &model.adapters)
                    .map(|adapter| (Arc::from(adapter.as_str()), adapter.clone()))
                    .collect(),
                candidates: RouteCandidates::default(),
            })
    }

    fn index_prefix_lengths(&mut self) {
        let mut prefix_lengths: Vec<_> = self.prefixes.keys().map(|prefix| prefix.len()).collect();
        prefix_lengths.sort_unstable_by(|a, b| b.cmp(a));
        prefix_lengths.dedup();
        self.prefix_lengths = prefix_lengths;
    }

    /// Returns the offset of the last record that the index reflects.
    #[must_use]
    pub fn through(&self) -> Offset {
        self.through
    }

    /// Returns whether a key is in force; used for requests that already run.
    #[must_use]
    pub fn is_key_valid(&self, id: &KeyId) -> bool {
        self.keys.contains_key(id)
    }

    /// Finds the organisation and the route of a request.
    ///
    /// `age` is the time since the tables were last known to be current. Only
    /// the longest matching path prefix counts, even if the caller may not use it: a
    /// shorter open prefix does not give access to a longer one that belongs to an organisation.
    ///
    /// # Errors
    ///
    /// Returns [`AccessRefusal`] when the request must not run.
    pub fn resolve(
        &self,
        key: Option<&KeyText>,
        target: RequestTarget<'_>,
        age: Duration,
    ) -> Result<Grant, AccessRefusal> {
        let caller = self.identify(key);
        if caller == Err(KeyError::Withdrawn) {
            return Err(AccessRefusal::Unauthorized(KeyError::Withdrawn));
        }
        let (candidates, model, adapter) = match target {
            RequestTarget::Model(text) => {
                let (entry, adapter) = self.find_model(text).ok_or(AccessRefusal::UnknownModel)?;
                (&entry.candidates, Some(entry.name.clone()), adapter)
            }
            RequestTarget::Path(path) => {
                let path = decode_path(path).map_err(AccessRefusal::Path)?;
                let candidates = self.find_prefix(&path).ok_or(AccessRefusal::UnknownPath)?;
                (candidates, None, None)
            }
        };
        let entry = select_route(candidates, &caller)?;
        check_age(&entry.route, age)?;
        let (key, organisation) = caller.ok().unzip();
        Ok(Grant {
            organisation,
            key,
            route_name: entry.name.clone(),
            route: Arc::clone(&entry.route),
            model,
            adapter,
        })
    }

    fn identify(&self, key: Option<&KeyText>) -> Result<(KeyId, OrgName), KeyError> {
        let key = key.ok_or(KeyError::Missing)?;
        let id = key.id().map_err(KeyError::Malformed)?;
        if self.withdrawn.contains(&id) {
            return Err(KeyError::Withdrawn);
        }
        let Some(grant) = self.keys.get(&id) else {
            return Err(KeyError::Unknown);
        };
        if grant.digest != key.digest() {
            return Err(KeyError::Unknown);
        }
        Ok((id, grant.organisation.clone()))
    }

    fn find_model(&self, text: &str) -> Option<(&ModelRoutes, Option<AdapterName>)> {
        if let Some(entry) = self.models.get(text) {
            return Some((entry, None));
        }
        let (model, adapter) = text.rsplit_once(':')?;
        let entry = self.models.get(model)?;
        let adapter = entry.adapters.get(adapter)?;
        Some((entry, Some(adapter.clone())))
    }

    /// Finds the routes of the longest prefix of the path.
    fn find_prefix(&self, path: &str) -> Option<&RouteCandidates> {
        self.prefix_lengths
            .iter()
            .filter_map(|length| path.get(..*length))
            .find_map(|prefix| self.prefixes.get(prefix))
    }
}

fn select_route<'a>(
    candidates: &'a RouteCandidates,
    caller: &Result<(KeyId, OrgName), KeyError>,
) -> Result<&'a NamedRoute, AccessRefusal> {
    let own_route = caller
        .as_ref()
        .ok()
        .and_then(|(_key, organisation)| candidates.by_organisation.get(organisation));
    if let Some(entry) = own_route.or(candidates.open.as_ref()) {
        return Ok(entry);
    }
    match caller {
        Ok((_key, organisation)) => Err(AccessRefusal::Forbidden {
            organisation: organisation.clone(),
        }),
        Err(error) => Err(AccessRefusal::Unauthorized(error.clone())),
    }
}

/// Checks that the tables are not older than the route allows.
fn check_age(route: &Route, age: Duration) -> Result<(), AccessRefusal> {
    let OnStale::Refuse(seconds) = route.on_stale else {
        return Ok(());
    };
    let max_age = Duration::from_secs(u64::from(seconds));
    if age <= max_age {
        return Ok(());
    }
    Err(AccessRefusal::Stale { age, max_age })
}
