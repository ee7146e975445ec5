//! Runs the placement controller, which holds the zone's lease and orders its engines.
//!
//! The readers of a zone are the candidates for its lease. All of them receive
//! reports and demand, so that a new lease holder can act on current data.
//!
//! Demand is the number of tokens that callers request per second, by model. A miss is a
//! model or adapter that waiting requests need and no upstream of their pool holds.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, WrapFuture};
use eelgrasshill_domain::{HostName, ModelName, Moment, Offset, StreamName};
use eelgrasshill_peer::PeerClient;
use eelgrasshill_peer::generated as wire;
use eelgrasshill_placement::{
    Budget, Controller, Effect, Event, ModelDemand, Order, OrderOutcome, Settings,
};
use eelgrasshill_ports::{self as platform, EngineClient, LogClient, NewRecord, OrderAnswer};
use eelgrasshill_route::Requirement;
use eelgrasshill_settings::EntrySettings;

use crate::control::actor::address_in;
use crate::control::convert::{convert_order, convert_report, parse_lease_entry};
use crate::control::exchange::open_peer_channel;
use crate::control::messages::{DemandReceived, PlacementEvent};
use crate::control::{Control, ServiceClients};
use crate::{BootClock, Shared};
use eelgrasshill_ports::lock;

/// Interval at which demand is sent to the candidates.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Age after which a host's demand is discarded.
const DEMAND_TTL: Duration = Duration::from_secs(5);

/// Maximum time to wait for a candidate's reply.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// Period over which the settings limit the number of loads (`loads-per-10s`).
const LOAD_LIMIT_WINDOW_SECONDS: f64 = 10.0;

/// Maximum number of records per read of the lease stream.
const MAX_PAGE_RECORDS: usize = 1000;

/// The part of the control state that handles placement.
#[derive(Debug)]
pub(crate) struct PlacementState {
    controller: Controller,
    /// The zone's lease stream; without one, no effect of the controller is run.
    lease_stream: Option<StreamName>,
    /// The last demand of each host in the zone, and when it arrived.
    demand_by_host: BTreeMap<HostName, (Moment, Vec<ModelDemand>)>,
    /// When this host last sent its demand to the candidates.
    demand_sent_at: Moment,
}

impl PlacementState {
    pub(crate) fn new(shared: &Shared) -> Self {
        let settings = &shared.settings;
        let controller = Controller::new(placement_settings(settings, shared));
        let lease_stream = StreamName::new(&format!("lease-{}", settings.zone)).ok();
        Self {
            controller,
            lease_stream,
            demand_by_host: BTreeMap::new(),
            demand_sent_at: Moment::default(),
        }
    }

    /// Returns the fence (the fencing token) while this host holds the zone's lease.
    pub(crate) fn fence(&self) -> Option<Offset> {
        self.controller.fence()
    }
}

fn placement_settings(settings: &EntrySettings, shared: &Shared) -> Settings {
    let fleet = &settings.fleet_limits;
    let base = Settings::new(
        settings.name.clone(),
        settings.zone.clone(),
        fleet.zones.clone(),
    );
    let saturating_u32 = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    Settings {
        incarnation: shared.incarnation,
        budget: Budget {
            loads_per_second: f64::from(saturating_u32(fleet.loads_per_10s))
                / LOAD_LIMIT_WINDOW_SECONDS,
            load_slots: saturating_u32(fleet.max_parallel_loads),
            adapter_slots: saturating_u32(fleet.max_parallel_adapters),
        },
        adapter_memory_mb: fleet.adapter_mb,
        ..base
    }
}

impl<C: ServiceClients> Control<C> {
    /// Passes an event to the placement controller and runs the resulting effects.
    pub(crate) fn handle_placement_event(
        &mut self,
        ctx: &mut Context<Self>,
        event: Event,
        now: Moment,
    ) {
        for effect in self.placement.controller.handle(event, now) {
            self.run_placement_effect(ctx, effect);
        }
    }

    /// Sends demand and steps the controller if this host is a candidate or the holder.
    pub(crate) fn tick_placement(&mut self, ctx: &mut Context<Self>, now: Moment) {
        if now.since(self.placement.demand_sent_at) >= DEMAND_INTERVAL {
            self.send_demand(ctx, now);
        }
        let candidates = self.members.readers(self.members.zone(), now);
        let is_candidate = candidates.contains(self.members.host());
        if !is_candidate && self.placement.fence().is_none() {
            return;
        }
        if self.shared.is_draining() {
            self.handle_placement_event(ctx, Event::Drain, now);
        } else {
            let event = Event::Members {
                candidates,
                leaving: self.leaving_upstreams.clone(),
                // The host list has no state for hosts that are gone.
                gone: BTreeSet::new(),
            };
            self.handle_placement_event(ctx, event, now);
        }
        self.handle_placement_event(ctx, Event::Tick, now);
    }

    /// Passes the tables in force to the placement controller.
    pub(crate) fn update_placement_tables(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let tables = Arc::new(self.config.tables().clone());
        self.handle_placement_event(ctx, Event::Tables(tables), now);
    }

    /// Passes an engine's report to the placement controller.
    pub(crate) fn update_placement_report(
        &mut self,
        ctx: &mut Context<Self>,
        report: &platform::EngineReport,
        requested_at: Moment,
        now: Moment,
    ) {
        let event = Event::Report {
            report: convert_report(report),
            requested_at,
        };
        self.handle_placement_event(ctx, event, now);
    }

    /// Runs an effect of the placement controller; its result returns as an event.
    fn run_placement_effect(&mut self, ctx: &mut Context<Self>, effect: Effect) {
        let clients = Rc::clone(&self.clients);
        let addr = ctx.address();
        let Some(stream) = self.placement.lease_stream.clone() else {
            return;
        };
        match effect {
            Effect::Append { id, record } => {
                let append = async move {
                    let Ok(body) = serde_json::to_value(&record) else {
                        return;
                    };
                    let new = NewRecord {
                        id: id.clone(),
                        body,
                    };
                    let event = match clients.log().append(&stream, vec![new]).await {
                        // The log returns one offset for each appended record.
                        Ok(offsets) => {
                            Event::AppendDone(id, offsets.first().copied().unwrap_or_default())
                        }
                        Err(error) => {
                            log::warn!("placement: appending to the lease stream failed: {error}");
                            Event::AppendUnknown(id)
                        }
                    };
                    addr.do_send(PlacementEvent(event));
                };
                ctx.spawn(append.into_actor(self).map(|(), _control, _ctx| ()));
            }
            Effect::Read(from) => {
                let read = async move {
                    let page = clients
                        .log()
                        .read(&stream, from, MAX_PAGE_RECORDS, Duration::ZERO)
                        .await;
                    let event = page.map_or(Event::ReadFailed, |page| {
                        Event::LeaseRead(
                            page.records
                                .into_iter()
                                .filter_map(parse_lease_entry)
                                .collect(),
                        )
                    });
                    addr.do_send(PlacementEvent(event));
                };
                ctx.spawn(read.into_actor(self).map(|(), _control, _ctx| ()));
            }
            Effect::Send { engine, order } => self.send_order(ctx, engine, &order),
            Effect::Acquired(fence) => log::info!(
                "placement: this host acquired the lease of zone {} with fence {fence}",
                self.members.zone()
            ),
            Effect::Lost => log::info!(
                "placement: this host no longer holds the lease of zone {}",
                self.members.zone()
            ),
            Effect::MissMet { model, .. } => log::debug!("placement: {model} is now resident"),
            Effect::MissExpired { model, .. } => {
                log::warn!(
                    "placement: {model} was not loaded within the time that its requests could wait"
                );
            }
        }
    }

    /// Sends an order to an engine, unless the engine has left the tables.
    fn send_order(&mut self, ctx: &mut Context<Self>, engine: HostName, order: &Order) {
        let Some(address) = address_in(self.config.tables(), &engine) else {
            return;
        };
        let Some(engine_order) = convert_order(order) else {
            return;
        };
        log::info!(
            "placement: sending order {} to engine {engine}: {:?}",
            order.id,
            order.action
        );
        let clients = Rc::clone(&self.clients);
        let addr = ctx.address();
        let id = order.id;
        let send = async move {
            let outcome = match clients.engine().order(address, &engine_order).await {
                // For the controller, `Refused` is a refusal for a newer fence and `Failed` a
                // refusal for any other reason.
                Ok(OrderAnswer::Accepted) => OrderOutcome::Done,
                Ok(OrderAnswer::Fenced {
                    highest_fence: highest,
                }) => OrderOutcome::Refused(Offset(highest)),
                Ok(OrderAnswer::Refused { reason }) => {
                    log::warn!("placement: engine {engine} refused order {id}: {reason}");
                    OrderOutcome::Failed
                }
                Err(error) => {
                    // The order may have taken effect. The lease holder repeats it and checks the reports.
                    log::warn!(
                        "placement: the result of order {id} to engine {engine} is unknown: {error}"
                    );
                    return;
                }
            };
            addr.do_send(PlacementEvent(Event::Answer {
                engine,
                order: id,
                outcome,
            }));
        };
        ctx.spawn(send.into_actor(self).map(|(), _control, _ctx| ()));
    }

    /// Sends this host's demand and misses to the lease candidates of its zone.
    fn send_demand(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let elapsed_seconds = now
            .since(self.placement.demand_sent_at)
            .as_secs_f64()
            .max(DEMAND_INTERVAL.as_secs_f64());
        self.placement.demand_sent_at = now;
        let mut request = wire::DemandRequest {
            host: self.members.host().to_string(),
            models: Vec::new(),
        };
        for (model, tokens) in std::mem::take(&mut *lock(&self.shared.demand)) {
            let rate = tokens_per_second(tokens, elapsed_seconds);
            request.models.push(wire::ModelDemand {
                model,
                rate,
                ..Default::default()
            });
        }
        request.models.extend(self.misses());
        self.record_zone_demand(ctx, &request, now);
        let candidates = self.members.readers(self.members.zone(), now);
        for host in candidates {
            let Some(address) = self.members.get(&host).map(|member| member.address) else {
                continue;
            };
            if host == *self.members.host() {
                continue;
            }
            let request = request.clone();
            let send = async move {
                let Some(channel) = open_peer_channel(address, DEMAND_TIMEOUT) else {
                    return;
                };
                if let Err(error) = PeerClient::new(channel).demand(request).await {
                    log::debug!(
                        "placement: sending demand to {host} failed: {}",
                        error.code()
                    );
                }
            };
            ctx.spawn(send.into_actor(self).map(|(), _control, _ctx| ()));
        }
    }

    /// Takes the misses of this host's dispatcher in the form sent to the candidates.
    fn misses(&self) -> Vec<wire::ModelDemand> {
        let max_wait = self.shared.timeouts.interactive.queue_wait;
        let max_wait_ms = u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX);
        let misses = self.shared.dispatcher.take_misses();
        misses
            .into_iter()
            .filter_map(|miss| match miss.requirement {
                Requirement::Model { model, adapter, .. } => Some(wire::ModelDemand {
                    model: model.to_string(),
                    adapter: adapter.map(String::from).unwrap_or_default(),
                    bound: max_wait_ms,
                    rate: 0,
                }),
                Requirement::Plain => None,
            })
            .collect()
    }

    /// Records a host's demand and passes its misses to the controller.
    ///
    /// If the host is this one, the controller also receives the zone's total demand.
    fn record_zone_demand(
        &mut self,
        ctx: &mut Context<Self>,
        request: &wire::DemandRequest,
        now: Moment,
    ) {
        let Ok(host) = HostName::new(&request.host) else {
            return;
        };
        let mut rates = Vec::new();
        for demand in &request.models {
            let Ok(model) = ModelName::new(&demand.model) else {
                continue;
            };
            // A wait of zero marks demand, any other a miss.
            if demand.bound == 0 {
                let rate = f64::from(u32::try_from(demand.rate).unwrap_or(u32::MAX));
                rates.push(ModelDemand {
                    model,
                    tokens_per_second: rate,
                });
                continue;
            }
            let event = Event::Miss {
                model,
                adapter: demand.adapter.parse().ok(),
                max_wait: Duration::from_millis(demand.bound),
            };
            self.handle_placement_event(ctx, event, now);
        }
        self.placement.demand_by_host.insert(host, (now, rates));
        self.placement
            .demand_by_host
            .retain(|_host, (received_at, _rates)| now.since(*received_at) < DEMAND_TTL);
        if request.host != self.members.host().as_str() {
            return;
        }
        let mut zone_rates: BTreeMap<ModelName, f64> = self
            .config
            .tables()
            .models
            .keys()
            .map(|model| (model.clone(), 0.0))
            .collect();
        for (_received_at, rates) in self.placement.demand_by_host.values() {
            for demand in rates {
                *zone_rates.entry(demand.model.clone()).or_default() += demand.tokens_per_second;
            }
        }
        let demand = zone_rates
            .into_iter()
            .map(|(model, rate)| ModelDemand {
                model,
                tokens_per_second: rate,
            })
            .collect();
        self.handle_placement_event(ctx, Event::Demand(demand), now);
    }
}

fn tokens_per_second(tokens: u64, elapsed_seconds: f64) -> u64 {
    let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate is never negative and far below the bounds of the type"
    )]
    let rate = (tokens / elapsed_seconds).round() as u64;
    rate
}

impl<C: ServiceClients> Handler<PlacementEvent> for Control<C> {
    type Result = ();

    fn handle(&mut self, PlacementEvent(event): PlacementEvent, ctx: &mut Self::Context) {
        self.handle_placement_event(ctx, event, BootClock.now());
    }
}

impl<C: ServiceClients> Handler<DemandReceived> for Control<C> {
    type Result = ();

    fn handle(&mut self, DemandReceived(request): DemandReceived, ctx: &mut Self::Context) {
        self.record_zone_demand(ctx, &request, BootClock.now());
    }
}
