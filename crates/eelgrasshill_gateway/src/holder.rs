//! Takes part in the lease of orders, and gives orders to engines while it is held.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshill_domain::{HostName, Moment, Version};
use eelgrasshill_ports::{BootClock, CallError, HttpPool, call_unpooled};
use eelgrasshill_relay::{Action, LeaseRecord, LeaseWrite, OrderEnd, Step};
use http_body_util::Full;
use hyper::{Method, Request};

use crate::desk::HolderNews;
use crate::state::Shared;
use crate::telemetry;
use crate::wire::{EngineOrder, SmallCall, Store, StoreError, Topic, Wire};

/// The key of the lease's record.
const KEY: &str = "orders";

/// How often plans are made without a need that wakes the giver of orders.
const TICK: Duration = Duration::from_millis(50);

/// How often a host that gives no orders looks whether it should.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// How often a host at the top of its zone reads a lease that it does not hold.
const WATCH: Duration = Duration::from_millis(700);

/// Age of the configuration, as peers tell it, up to which they are taken to reach the store.
const PEERS_FRESH: Duration = Duration::from_millis(2_400);

/// How often the holder logs what engines hold and are asked for.
const SUMMARY: Duration = Duration::from_secs(2);

/// Longest wait for an engine's answer to an order or a look at its report.
const ENGINE_ANSWER: Duration = Duration::from_millis(300);

/// Most bytes of an engine's report.
const REPORT_BYTES: usize = 1 << 20;

/// Gives orders while this host holds the lease, until the host stops.
pub(crate) async fn give_orders<W: Wire, S: Store>(shared: Arc<Shared<W>>, store: S) {
    let mut giver = Giver {
        shared,
        store,
        pool: HttpPool::new(),
        version: None,
        watched: Moment(0),
        active: false,
        summed: Moment(0),
    };
    while !giver.shared.is_stopped() {
        giver.tend_lease().await;
        giver.order();
        let tick = if giver.active { TICK } else { IDLE_TICK };
        // Whether a need or the time woke it, the same is due.
        let _woken = tokio::time::timeout(tick, giver.shared.wake.notified()).await;
    }
}

/// Gives the lease up, so that another host need not wait for its end.
pub(crate) async fn release<W: Wire, S: Store>(shared: &Shared<W>, store: &S) {
    let write = shared.hold().lease.release();
    if let Some(write) = write {
        match append(store, &write).await {
            Ok(_offset) => log::info!("orders: lease released fence={}", write.record.fence),
            Err(error) => log::warn!("orders: lease not released: {error}"),
        }
    }
}

async fn append<S: Store>(
    store: &S,
    write: &LeaseWrite,
) -> Result<eelgrasshill_domain::Offset, StoreError> {
    let value = serde_json::to_vec(&write.record).unwrap_or_else(|error| {
        log::error!("orders: the lease's record cannot be written: {error}");
        Vec::new()
    });
    store
        .append(Topic::Lease, KEY, &value, Some(write.expected_end))
        .await
}

struct Giver<W: Wire, S: Store> {
    shared: Arc<Shared<W>>,
    store: S,
    pool: HttpPool,
    version: Option<Version>,
    watched: Moment,
    active: bool,
    summed: Moment,
}

impl<W: Wire, S: Store> Giver<W, S> {
    /// Reads, claims or renews the lease, as far as that is due.
    async fn tend_lease(&mut self) {
        let now = BootClock.now();
        if self.shared.leaving().is_some() {
            return;
        }
        let (held, blind) = {
            let lease = &self.shared.hold().lease;
            (lease.is_held(now), lease.needs_read())
        };
        if blind || !held {
            if !self.may_claim(held, now) {
                return;
            }
            self.read().await;
            self.hear_news();
        }
        let write = {
            let lease = &self.shared.hold().lease;
            let now = BootClock.now();
            let due = lease.renewal(now).filter(|_write| lease.is_held(now));
            due.or_else(|| lease.claim(now))
                .filter(|_write| !lease.needs_read())
        };
        if let Some(write) = write {
            self.write(write).await;
        }
    }

    /// Tells the lease what peers said of its holder.
    fn hear_news(&self) {
        let news = self.shared.desk().holder.clone();
        if let Some(news) = news {
            let mut hold = self.shared.hold();
            hold.lease.note_renewal(news.fence, news.end, news.renewed);
            if news.resigned {
                hold.lease.note_resignation(news.fence, news.end);
            }
        }
    }

    /// Gives orders up while this host has lost the store and its peers have not.
    fn resign(&self, now: Moment) {
        let fresh = self.shared.desk().config.fresh();
        if fresh.is_none_or(|fresh| now.since(fresh) > PEERS_FRESH) {
            return;
        }
        let mut hold = self.shared.hold();
        let Some(fence) = hold.lease.fence(now) else {
            return;
        };
        let renewed = hold.lease.renewed();
        if hold.lease.resign(now)
            && let Some((renewed, end)) = renewed
        {
            log::info!("orders: resigned fence={fence}, the store is out of reach from here");
            drop(hold);
            self.shared.desk().hear_holder(HolderNews {
                host: self.shared.settings.name.clone(),
                address: self.shared.settings.peer,
                fence,
                renewed,
                end,
                resigned: true,
            });
        }
    }

    /// Returns whether this host should look at the lease: at the top of its zone, now and then,
    /// and only while nobody is known to hold it.
    fn may_claim(&mut self, held: bool, now: Moment) -> bool {
        if now.since(self.watched) < WATCH {
            return false;
        }
        let mut desk = self.shared.desk();
        let has_holder = desk
            .holder(now)
            .is_some_and(|holder| holder.host != self.shared.settings.name);
        let is_top = desk.tree.position(now).parent.is_none();
        let may = held || (is_top && !has_holder && desk.config.fresh().is_some());
        if may {
            self.watched = now;
        }
        may
    }

    async fn read(&self) {
        match self.store.newest(Topic::Lease).await {
            Ok(page) => {
                let newest = page.records.iter().find(|record| &*record.key == KEY);
                let record = newest.and_then(|record| {
                    serde_json::from_slice::<LeaseRecord>(&record.value)
                        .map_err(|error| log::warn!("orders: the lease's record: {error}"))
                        .ok()
                });
                self.shared
                    .hold()
                    .lease
                    .observe(record, page.end, BootClock.now());
            }
            Err(error) => log::info!("orders: the lease cannot be read: {error}"),
        }
    }

    async fn write(&self, write: LeaseWrite) {
        let sent = BootClock.now();
        let is_claim = write.record.fence == 0;
        match append(&self.store, &write).await {
            Ok(offset) => {
                let mut hold = self.shared.hold();
                hold.lease.confirm_write(write, offset, sent);
                if is_claim {
                    log::info!("orders: lease claimed offset={offset}");
                }
            }
            Err(error) => {
                log::info!("orders: lease not written, claim={is_claim}: {error}");
                self.shared.hold().lease.invalidate();
            }
        }
    }

    /// Plans, and sends what may be sent.
    fn order(&mut self) {
        let now = BootClock.now();
        self.resign(now);
        let (fence, renewed) = {
            let hold = self.shared.hold();
            (hold.lease.fence(now), hold.lease.renewed())
        };
        let (Some(fence), Some((renewed, end))) = (fence, renewed) else {
            if self.active {
                log::info!("orders: no longer the holder");
                self.active = false;
            }
            return;
        };
        let mut desk = self.shared.desk();
        let Some(tables) = desk.tables.clone() else {
            return;
        };
        desk.hear_holder(HolderNews {
            host: self.shared.settings.name.clone(),
            address: self.shared.settings.peer,
            fence,
            renewed,
            end,
            resigned: false,
        });
        let mut wanted = desk.demand.rates(now);
        desk.sums.add_demand_elsewhere(&mut wanted, now);
        let (fleet, loads) = (desk.fleet.clone(), desk.loads.clone());
        drop(desk);
        let mut hold = self.shared.hold();
        if !self.active {
            log::info!("orders: active fence={fence}");
            hold.placer.reset(now);
            self.version = None;
            self.active = true;
        }
        if self.version != Some(tables.version()) {
            hold.placer.set_pools(tables.engine_pools(), now);
            self.version = Some(tables.version());
        }
        hold.placer.set_fleet(&fleet, &loads, now);
        hold.placer.set_demand(&wanted);
        let steps = hold.placer.steps(now);
        if now.since(self.summed) >= SUMMARY {
            self.summed = now;
            for (pool, _engines) in tables.engine_pools() {
                let (engines, moving, down) = hold.placer.engine_counts();
                let rows = hold.placer.summary(pool).into_iter();
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
        drop(hold);
        self.tell(fence, now);
        for (engine, step) in steps {
            let Some(upstream) = fleet.get(&engine) else {
                continue;
            };
            let call = EngineCall {
                shared: Arc::clone(&self.shared),
                pool: self.pool.clone(),
                engine,
                address: upstream.address,
                fence,
            };
            actix_web::rt::spawn(call.carry_out(step));
        }
    }

    /// Tells this host, and through it the others, what engines hold.
    fn tell(&self, fence: u64, now: Moment) {
        let words: Vec<_> = self.shared.hold().placer.holdings_updates(fence).collect();
        let mut desk = self.shared.desk();
        for word in words {
            desk.fleet.apply_update(word, now);
        }
    }
}

/// One call to an engine.
struct EngineCall<W: Wire> {
    shared: Arc<Shared<W>>,
    pool: HttpPool,
    engine: HostName,
    address: std::net::SocketAddr,
    fence: u64,
}

impl<W: Wire> EngineCall<W> {
    async fn carry_out(self, step: Step) {
        match step {
            Step::Report => self.read_report().await,
            Step::Order {
                action,
                precondition,
            } => self.give(action, precondition).await,
        }
        self.shared.wake.notify_one();
    }

    async fn read_report(&self) {
        let call = SmallCall {
            path: W::REPORT,
            headers: hyper::HeaderMap::new(),
            body: Vec::new(),
        };
        let answered = self.call(Method::GET, call).await;
        let unreached = answered.as_ref().is_err_and(CallError::is_unsent);
        let answered = answered.map_err(|error| error.to_string());
        let report = answered.and_then(|(status, body)| match status {
            200 => W::report(&body).map_err(|error| error.to_string()),
            other => Err(format!("status {other}")),
        });
        let mut hold = self.shared.hold();
        match report {
            Ok(seen) => {
                hold.placer
                    .apply_report(&self.engine, seen, BootClock.now());
            }
            Err(cause) => {
                log::info!("orders: engine={} report failed: {cause}", self.engine);
                hold.placer.fail_report(&self.engine, unreached);
            }
        }
    }

    async fn give(&self, action: Action, precondition: u64) {
        let (load, model, adapter) = match &action {
            Action::Load(model) => (true, model, None),
            Action::Unload(model) => (false, model, None),
            Action::LoadAdapter(model, adapter) => (true, model, Some(adapter)),
            Action::UnloadAdapter(model, adapter) => (false, model, Some(adapter)),
        };
        let order = EngineOrder {
            load,
            model: model.clone(),
            adapter: adapter.cloned(),
            precondition,
            holder: self.shared.settings.name.clone(),
            fence: self.fence,
        };
        // The lease is looked at right before the order goes out.
        let fence = self.shared.hold().lease.fence(BootClock.now());
        let end = if fence == Some(self.fence) {
            match self.send_order(W::order(&order, &self.engine)).await {
                Ok((status, _body)) => W::order_end(status),
                Err(cause) => {
                    log::info!("orders: engine={} no answer: {cause}", self.engine);
                    if cause.is_unsent() {
                        OrderEnd::Unreached
                    } else {
                        OrderEnd::Unknown
                    }
                }
            }
        } else {
            OrderEnd::Refused
        };
        telemetry::ordered(&format!("{end:?}").to_lowercase());
        log::info!(
            "orders: engine={} action={action:?} precondition={precondition} fence={} end={end:?}",
            self.engine,
            self.fence
        );
        let mut hold = self.shared.hold();
        hold.placer
            .apply_order_end(&self.engine, &action, end, BootClock.now());
    }

    /// Sends an order, which must not arrive after another host holds the lease.
    async fn send_order(&self, call: SmallCall) -> Result<(u16, Bytes), CallError> {
        let request = self.request(Method::POST, call)?;
        let (status, body) =
            call_unpooled(self.address, request, ENGINE_ANSWER, REPORT_BYTES).await?;
        Ok((status.as_u16(), body))
    }

    async fn call(&self, method: Method, call: SmallCall) -> Result<(u16, Bytes), CallError> {
        let request = self.request(method, call)?;
        let called = self
            .pool
            .call(self.address, request, ENGINE_ANSWER, REPORT_BYTES)
            .await;
        let (status, body) = called?;
        Ok((status.as_u16(), body))
    }

    fn request(&self, method: Method, call: SmallCall) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(call.path);
        *request.headers_mut() = call.headers;
        let host = hyper::header::HeaderValue::from_str(&self.address.to_string());
        let host = host.map_err(|error| CallError::NotSent {
            address: self.address.to_string(),
            cause: error.to_string(),
        })?;
        request.headers_mut().insert("host", host);
        Ok(request)
    }
}
