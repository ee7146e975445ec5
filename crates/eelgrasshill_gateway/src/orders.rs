//! Sends orders to engines while this host holds the lease for them.
//!
//! Any root of a zone may claim the lease when no holder is known. The holder plans loads and
//! unloads from the configured pools, the demand of all hosts and the engines' reports, and sends
//! each order only if it still holds the lease at that moment.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshill_domain::{Moment, Offset, Version};
use eelgrasshill_ports::{BootClock, CallError, HttpPool, call_unpooled};
use eelgrasshill_relay::{Action, Era, LeaseRecord, LeaseWrite, NextCall, OrderOutcome, Upstream};
use http_body_util::Full;
use hyper::{Method, Request, Response};

use crate::codec::{EngineOrder, EngineRequest, PlatformCodec, StoreClient, StoreError, Topic};
use crate::gateway_state::HolderStatus;
use crate::shared::Shared;
use crate::telemetry;
use crate::upstream_signals::{note_cold, note_leaving};

/// Key of the lease's record in its topic.
const LEASE_KEY: &str = "orders";

/// Time between plans of the lease holder, unless a request or an engine's answer wakes it.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two plans of the lease holder.
///
/// Engines answer hundreds of calls per second, and each answer wakes the holder. A plan for each
/// would leave it no time for its requests and for the hosts below it in the tree.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(10);

/// Time between updates of the demand from which the holder plans, which changes over seconds.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// Duration of a plan from which it is logged: this host's requests waited for it.
const LONG_PLAN: Duration = Duration::from_millis(50);

/// Time between checks of the lease by a host that gives no orders.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between reads of the lease's record.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Maximum age of the configuration at which peers are assumed to reach the store.
const MAX_PEER_CONFIG_AGE: Duration = Duration::from_millis(2_400);

/// Time between log lines on copies and load of each model.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for an engine's answer to an order or a request for its report.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of an engine's report or of its answer to an order.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Maintains the lease and sends orders while it is held, until the host stops.
pub(crate) async fn dispatch_orders<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
) {
    let mut dispatcher = OrderDispatcher {
        shared,
        store,
        http_pool: HttpPool::new(),
        config_version: None,
        last_read: Moment(0),
        active: false,
        published_revision: 0,
        demand_at: Moment(0),
        last_summary: Moment(0),
    };
    while !dispatcher.shared.is_stopped() {
        dispatcher.maintain_lease().await;
        let plan_start = BootClock.now();
        dispatcher.plan_and_send();
        let plan_time = BootClock.now().since(plan_start);
        if plan_time >= LONG_PLAN {
            log::info!("orders: a plan took {} ms", plan_time.as_millis());
        }
        tokio::time::sleep(MIN_PLAN_INTERVAL).await;
        let interval = if dispatcher.active {
            PLAN_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        // The next pass does the same whether it was woken or the time passed.
        let _woken =
            tokio::time::timeout(interval, dispatcher.shared.order_wakeup.notified()).await;
    }
}

/// Releases the lease, so that another host need not wait until it expires.
pub(crate) async fn release_lease<C: PlatformCodec, S: StoreClient>(shared: &Shared<C>, store: &S) {
    let write = shared.order_state().lease.release();
    if let Some(write) = write {
        match append_lease(store, &write).await {
            Ok(_position) => log::info!("orders: lease released fence={}", write.record.fence),
            Err(error) => log::warn!("orders: lease not released, valid until it expires: {error}"),
        }
    }
}

async fn append_lease<S: StoreClient>(
    store: &S,
    write: &LeaseWrite,
) -> Result<(Era, Offset), StoreError> {
    let value = serde_json::to_vec(&write.record).unwrap_or_else(|error| {
        log::error!("orders: the lease's record cannot be serialised: {error}");
        Vec::new()
    });
    store
        .append(Topic::Lease, LEASE_KEY, &value, Some(write.expected_end))
        .await
}

struct OrderDispatcher<C: PlatformCodec, S: StoreClient> {
    shared: Arc<Shared<C>>,
    store: S,
    http_pool: HttpPool,
    config_version: Option<Version>,
    last_read: Moment,
    active: bool,
    // Revision of the planner up to which this host's state has its updates.
    published_revision: u64,
    demand_at: Moment,
    last_summary: Moment,
}

impl<C: PlatformCodec, S: StoreClient> OrderDispatcher<C, S> {
    /// Reads, claims or renews the lease if that is due.
    async fn maintain_lease(&mut self) {
        let now = BootClock.now();
        if self.shared.leaving().is_some() {
            return;
        }
        let (is_held, needs_read) = {
            let lease = &self.shared.order_state().lease;
            (lease.is_held(now), lease.needs_read())
        };
        if needs_read || !is_held {
            if !self.should_read_lease(is_held, now) {
                return;
            }
            self.read_lease().await;
            self.apply_holder_status();
        }
        let write = {
            let lease = &self.shared.order_state().lease;
            let now = BootClock.now();
            let due = lease.renewal(now).filter(|_write| lease.is_held(now));
            due.or_else(|| lease.claim(now))
                .filter(|_write| !lease.needs_read())
        };
        if let Some(write) = write {
            self.write_lease(write).await;
        }
    }

    /// Passes the holder's status, as known from peers, on to the lease.
    fn apply_holder_status(&self) {
        let status = self.shared.state().holder.clone();
        if let Some(status) = status {
            let mut order_state = self.shared.order_state();
            order_state
                .lease
                .note_renewal(status.fence, status.end, status.renewed_at);
            if status.resigned {
                order_state.lease.note_resignation(status.fence, status.end);
            }
        }
    }

    /// Resigns if this host cannot reach the store but its peers can.
    fn resign(&self, now: Moment) {
        let confirmed_at = self.shared.state().config.confirmed_at();
        if confirmed_at.is_none_or(|confirmed_at| now.since(confirmed_at) > MAX_PEER_CONFIG_AGE) {
            return;
        }
        let mut order_state = self.shared.order_state();
        let Some(fence) = order_state.lease.fence(now) else {
            return;
        };
        let renewed_at = order_state.lease.renewed_at();
        if order_state.lease.resign(now)
            && let Some((renewed_at, end)) = renewed_at
        {
            log::info!(
                "orders: resigned fence={fence}, this host cannot reach the store but its peers can"
            );
            drop(order_state);
            self.shared.state().update_holder(HolderStatus {
                host: self.shared.settings.name.clone(),
                address: self.shared.settings.peer_address,
                fence,
                renewed_at,
                end,
                resigned: true,
            });
        }
    }

    /// Returns whether this host should read the lease's record now.
    ///
    /// A host that holds the lease does. Others do if they are the root of their zone and no
    /// holder is known.
    fn should_read_lease(&mut self, is_held: bool, now: Moment) -> bool {
        if now.since(self.last_read) < LEASE_READ_INTERVAL {
            return false;
        }
        let mut state = self.shared.state();
        let has_holder = state
            .holder(now)
            .is_some_and(|holder| holder.host != self.shared.settings.name);
        let is_zone_root = state.tree.position(now).parent.is_none();
        let is_due =
            is_held || (is_zone_root && !has_holder && state.config.confirmed_at().is_some());
        if is_due {
            self.last_read = now;
        }
        is_due
    }

    async fn read_lease(&self) {
        let read = self.store.newest(Topic::Lease).await;
        self.learn_era();
        match read {
            Ok(page) => {
                let newest = page.records.iter().find(|record| &*record.key == LEASE_KEY);
                let record = newest.and_then(|record| {
                    serde_json::from_slice::<LeaseRecord>(&record.value)
                        .map_err(|error| {
                            log::warn!(
                                "orders: malformed lease record, offset={}: {error}",
                                record.offset
                            );
                        })
                        .ok()
                });
                self.shared.order_state().lease.observe(
                    record,
                    page.era,
                    page.end,
                    BootClock.now(),
                );
            }
            Err(error) => log::info!("orders: the lease cannot be read: {error}"),
        }
    }

    fn learn_era(&self) {
        if let Some(era) = self.store.era() {
            self.shared.learn_era(era, "the store");
        }
    }

    async fn write_lease(&self, write: LeaseWrite) {
        let sent_at = BootClock.now();
        let is_claim = write.is_claim();
        let written = append_lease(&self.store, &write).await;
        self.learn_era();
        match written {
            Ok((era, offset)) => {
                let mut order_state = self.shared.order_state();
                order_state.lease.confirm_write(write, era, offset, sent_at);
                if is_claim {
                    log::info!("orders: lease claimed offset={offset} era={era}");
                }
            }
            Err(error) => {
                log::info!("orders: lease not written, claim={is_claim}: {error}");
                self.shared.order_state().lease.invalidate();
            }
        }
    }

    /// Plans orders and sends those that may be sent now.
    fn plan_and_send(&mut self) {
        let now = BootClock.now();
        self.resign(now);
        let (fence, renewed_at) = {
            let order_state = self.shared.order_state();
            (order_state.lease.fence(now), order_state.lease.renewed_at())
        };
        let (Some(fence), Some((renewed_at, end))) = (fence, renewed_at) else {
            if self.active {
                log::info!("orders: no longer the holder");
                self.active = false;
            }
            return;
        };
        let mut state = self.shared.state();
        let Some(tables) = state.tables.clone() else {
            return;
        };
        state.update_holder(HolderStatus {
            host: self.shared.settings.name.clone(),
            address: self.shared.settings.peer_address,
            fence,
            renewed_at,
            end,
            resigned: false,
        });
        let is_demand_due = !self.active || now.since(self.demand_at) >= DEMAND_INTERVAL;
        let demand = is_demand_due.then(|| {
            let mut demand = state.demand.rates(now);
            state.received_totals.add_demand_elsewhere(&mut demand, now);
            demand
        });
        let (upstreams, loads) = (state.upstreams.clone(), state.loads.clone());
        drop(state);
        let mut order_state = self.shared.order_state();
        if !self.active {
            log::info!("orders: active fence={fence}");
            order_state.planner.reset(now);
            self.config_version = None;
            self.published_revision = 0;
            self.active = true;
        }
        if self.config_version != Some(tables.version()) {
            order_state.planner.set_pools(tables.engine_pools(), now);
            self.config_version = Some(tables.version());
        }
        order_state.planner.set_upstreams(&upstreams, &loads, now);
        if let Some(demand) = demand {
            order_state.planner.set_demand(&demand);
            self.demand_at = now;
        }
        let next_calls = order_state.planner.next_calls(now);
        if now.since(self.last_summary) >= SUMMARY_INTERVAL {
            self.last_summary = now;
            for (pool, _engines) in tables.engine_pools() {
                let (engines, moving, down) = order_state.planner.engine_counts();
                let rows = order_state.planner.summary(pool).into_iter();
                let rows: Vec<_> = rows
                    .map(|(model, copies, work)| format!("{model}={copies}/{work}"))
                    .collect();
                log::info!(
                    "orders: pool={pool} engines={engines} moving={moving} down={down} \
                     copies/load {}",
                    rows.join(" ")
                );
            }
        }
        drop(order_state);
        self.publish_holdings(fence, now);
        for (engine, next_call) in next_calls {
            let Some(upstream) = upstreams.get(&engine) else {
                continue;
            };
            let call = EngineCall {
                shared: Arc::clone(&self.shared),
                http_pool: self.http_pool.clone(),
                engine: Arc::clone(upstream),
                fence,
            };
            actix_web::rt::spawn(call.execute(next_call));
        }
    }

    /// Applies what engines hold to this host's state, from which the other hosts get it.
    fn publish_holdings(&mut self, fence: u64, now: Moment) {
        let updates: Vec<_> = {
            let planner = &self.shared.order_state().planner;
            let updates = planner.holdings_updates(fence, self.published_revision);
            self.published_revision = planner.revision();
            updates.collect()
        };
        let mut state = self.shared.state();
        for update in updates {
            state.upstreams.apply_update(update, now);
        }
    }
}

/// Target and state for one call to an engine.
struct EngineCall<C: PlatformCodec> {
    shared: Arc<Shared<C>>,
    http_pool: HttpPool,
    engine: Arc<Upstream>,
    fence: u64,
}

impl<C: PlatformCodec> EngineCall<C> {
    async fn execute(self, next_call: NextCall) {
        match next_call {
            NextCall::Report => self.read_report().await,
            NextCall::Order {
                action,
                precondition,
            } => self.execute_order(action, precondition).await,
        }
        self.shared.order_wakeup.notify_one();
    }

    async fn read_report(&self) {
        let call = EngineRequest {
            path: C::REPORT_PATH,
            headers: hyper::HeaderMap::new(),
            body: Vec::new(),
        };
        let answered = self.call(Method::GET, call).await;
        let unsent = answered.as_ref().is_err_and(CallError::is_unsent);
        let answered = answered.map_err(|error| error.to_string());
        let report = answered.and_then(|(status, body)| match status {
            200 => C::decode_report(&body).map_err(|error| error.to_string()),
            other => Err(format!("expected status 200, got {other}")),
        });
        let mut order_state = self.shared.order_state();
        match report {
            Ok(report) => {
                order_state
                    .planner
                    .apply_report(&self.engine.id, report, BootClock.now());
            }
            Err(cause) => {
                log::info!("orders: engine={} report failed: {cause}", self.engine.id);
                order_state.planner.fail_report(&self.engine.id, unsent);
            }
        }
    }

    async fn execute_order(&self, action: Action, precondition: u64) {
        let (load, model, adapter) = match &action {
            Action::Load(model) => (true, model, None),
            Action::Unload(model) => (false, model, None),
            Action::LoadAdapter(model, adapter) => (true, model, Some(adapter)),
            Action::UnloadAdapter(model, adapter) => (false, model, Some(adapter)),
        };
        let order = EngineOrder {
            is_load: load,
            model: model.clone(),
            adapter: adapter.cloned(),
            precondition,
            holder: self.shared.settings.name.clone(),
            fence: self.fence,
        };
        // The lease is checked again right before the order is sent.
        let fence = self.shared.order_state().lease.fence(BootClock.now());
        let end = if fence == Some(self.fence) {
            match self
                .send_order(C::encode_order(&order, &self.engine.id))
                .await
            {
                Ok((status, _body)) => C::decode_order_outcome(status),
                Err(cause) => {
                    log::info!(
                        "orders: engine={} no answer to an order: {cause}",
                        self.engine.id
                    );
                    if cause.is_unsent() {
                        OrderOutcome::Unreached
                    } else {
                        OrderOutcome::Unknown
                    }
                }
            }
        } else {
            OrderOutcome::Refused
        };
        telemetry::count_order(&format!("{end:?}").to_lowercase());
        log::info!(
            "orders: engine={} action={action:?} precondition={precondition} fence={} end={end:?}",
            self.engine.id,
            self.fence
        );
        let mut order_state = self.shared.order_state();
        order_state
            .planner
            .apply_order_outcome(&self.engine.id, &action, end, BootClock.now());
    }

    /// Sends an order on a new connection.
    ///
    /// The order must not arrive after another host has taken over the lease.
    async fn send_order(&self, call: EngineRequest) -> Result<(u16, Bytes), CallError> {
        let request = self.request(Method::POST, call)?;
        let address = self.engine.address;
        let response = call_unpooled(address, request, ENGINE_TIMEOUT, MAX_REPORT_BYTES).await?;
        Ok(self.read_answer(response, "an order"))
    }

    /// Returns the status and body, after noting whether the engine says that it is leaving.
    fn read_answer(&self, response: Response<Bytes>, answered: &str) -> (u16, Bytes) {
        let status = response.status();
        let head = C::parse_answer_head(status, response.headers());
        if head.leaving {
            note_leaving(&self.shared, &self.engine, answered);
        }
        if let Some(remaining) = head.cold {
            note_cold(&self.shared, &self.engine, remaining, answered);
        }
        (status.as_u16(), response.into_body())
    }

    async fn call(&self, method: Method, call: EngineRequest) -> Result<(u16, Bytes), CallError> {
        let request = self.request(method, call)?;
        let called = self
            .http_pool
            .call(
                self.engine.address,
                request,
                ENGINE_TIMEOUT,
                MAX_REPORT_BYTES,
            )
            .await;
        Ok(self.read_answer(called?, "a report"))
    }

    fn request(
        &self,
        method: Method,
        call: EngineRequest,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(call.path);
        *request.headers_mut() = call.headers;
        let host = hyper::header::HeaderValue::from_str(&self.engine.address.to_string());
        let host = host.map_err(|error| CallError::NotSent {
            address: self.engine.address.to_string(),
            cause: error.to_string(),
        })?;
        request.headers_mut().insert("host", host);
        Ok(request)
    }
}
