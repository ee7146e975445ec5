//! Decides which models and adapters each engine of a zone loads and unloads.
//!
//! One entry host per zone holds a lease and sends orders to the zone's engines. An entry host
//! accepts callers' requests and forwards them to engines. The crate does no I/O:
//! [`Controller`] takes an event and the current time and returns the effects to perform.
//!
//! # Examples
//!
//! A host acquires the lease and loads two models on two engines, the requested model first.
//!
//! ```
//! use std::{collections::BTreeMap, sync::Arc, time::Duration};
//!
//! use eelgrasshill_domain::{
//!     Fencing, Host, HostName, Model, ModelName, Moment, Offset, Pool, PoolKind, PoolName, Tables,
//!     ZoneName,
//! };
//! use eelgrasshill_placement::{
//!     Action, Controller, Effect, EngineReport, Event, LeaseEntry, OrderOutcome, ResidentModel,
//!     Settings,
//! };
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let (pool, zone) = (PoolName::new("chat")?, ZoneName::new("east")?);
//! let mut tables = Tables::default();
//! tables.pools.insert(pool.clone(), Pool { kind: PoolKind::Engines });
//! for name in ["engine-1", "engine-2"] {
//!     let host = Host {
//!         pool: pool.clone(),
//!         zone: zone.clone(),
//!         address: "127.0.0.1:80".parse()?,
//!         memory_mb: 100,
//!         accelerators: 1,
//!         fencing: Fencing::Checked,
//!     };
//!     tables.hosts.insert(HostName::new(name)?, host);
//! }
//! for name in ["large", "small"] {
//!     let (version, adapters) = ("v1".to_owned(), Vec::new());
//!     let model = Model { pool: pool.clone(), memory_mb: 80, version, adapters };
//!     tables.models.insert(ModelName::new(name)?, model);
//! }
//!
//! let settings = Settings::new(HostName::new("entry-1")?, zone.clone(), vec![zone]);
//! let mut controller = Controller::new(settings);
//! controller.handle(Event::Tables(Arc::new(tables)), Moment(0));
//! let small = ModelName::new("small")?;
//! let max_wait = Duration::from_secs(60);
//! controller.handle(Event::Miss { model: small.clone(), adapter: None, max_wait }, Moment(0));
//!
//! // An in-memory log and two engines that complete every order immediately.
//! let (mut log, mut events) = (Vec::<LeaseEntry>::new(), Vec::new());
//! let mut models_held = BTreeMap::from([("engine-1", None), ("engine-2", None)]);
//! let (mut fence, mut loaded, mut miss_met) = (Offset(0), Vec::new(), false);
//! for now in (0..20_000).step_by(100).map(Moment) {
//!     for (engine, model) in &models_held {
//!         let version = "v1".to_owned();
//!         let resident = model.iter().map(|model: &ModelName| ResidentModel {
//!             model: model.clone(), version: version.clone(), adapters: vec![], running: 0, waiting: 0,
//!         });
//!         let report = EngineReport {
//!             host: HostName::new(engine)?, fence, resident: resident.collect(), loading: vec![],
//!             unloading: vec![], used_mb: if model.is_some() { 80 } else { 0 }, total_mb: 100, request_slots: 8, age_ms: 0,
//!         };
//!         events.push(Event::Report { report, requested_at: now });
//!     }
//!     for event in std::mem::take(&mut events) {
//!         for effect in controller.handle(event, now) {
//!             match effect {
//!                 Effect::Append { id, record } => {
//!                     let offset = Offset(log.len() as u64);
//!                     log.push(LeaseEntry { offset, id: id.clone(), record });
//!                     events.push(Event::AppendDone(id, offset));
//!                 }
//!                 Effect::Read(from) => events.push(Event::LeaseRead(log[from.0 as usize..].to_vec())),
//!                 Effect::Send { engine, order } => {
//!                     fence = order.fence;
//!                     if let Action::Load { model, .. } = &order.action {
//!                         loaded.push(model.clone());
//!                         models_held.insert(if engine.as_str() == "engine-1" { "engine-1" } else { "engine-2" },
//!                             Some(model.clone()));
//!                     }
//!                     events.push(Event::Answer { engine, order: order.id, outcome: OrderOutcome::Done });
//!                 }
//!                 Effect::MissMet { model, .. } => miss_met = model == small,
//!                 _ => {}
//!             }
//!         }
//!     }
//! }
//! assert!(controller.fence().is_some());
//! assert_eq!(loaded, [small, ModelName::new("large")?]);
//! assert!(miss_met);
//! # Ok(())
//! # }
//! ```

mod adapters;
mod allocation;
mod apply;
mod assign;
mod budget;
mod controller;
mod demand;
mod dispatch;
mod engine;
mod engine_state;
mod engine_states;
mod event;
mod lease;
mod lease_state;
mod misses;
mod order;
mod planner;
mod record;
mod rounds;
mod settings;
mod view;

pub use assign::{Assignment, ZoneRequirement};
pub use budget::{Budget, LoadPacer, ZoneShare};
pub use controller::Controller;
pub use demand::{ModelDemand, SmoothedDemand};
pub use engine::{EngineReport, ModelVersion, OrderOutcome, ResidentModel};
pub use engine_state::{EngineState, LatestReport};
pub use engine_states::EngineStates;
pub use event::{Effect, Event};
pub use lease::{Lease, LeaseChange, LeaseTimings};
pub use lease_state::{ApplyOutcome, LeaseState, Term};
pub use order::{OpenOrder, OrderStage};
pub use planner::{PlannedAction, Planner};
pub use record::{Action, Intent, LeaseEntry, LeaseRecord, Order, OrderId};
pub use settings::{DemandSettings, OrderTimings, Settings};
