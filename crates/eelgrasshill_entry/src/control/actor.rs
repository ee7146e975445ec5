//! The actor that owns the control state of one host.
//!
//! Log pages, reports and peers' replies arrive as messages; from them the actor
//! decides which tables, limits and upstream view the traffic threads use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler};
use eelgrasshill_control::{
    Access, ConfigEntry, ConfigFold, Delta, ListedHost as ListedMember, LogEntry, LogTime, Members,
    Process as MemberProcess,
};
use eelgrasshill_domain::{FastMap, HostName, Incarnation, Moment, Offset, OrgName, RowKey};
use eelgrasshill_limit::{Holder, Limit, Process as HolderProcess, Share};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_ports::{EngineReport, HostRole, HostState, Page};
use tokio::sync::Notify;

use crate::control::ServiceClients;
use crate::control::claims::Claims;
use crate::control::engines::Engines;
use crate::control::messages::{
    EngineReportReceived, GetReadOffset, HostListRead, LogStream, PageRead,
};
use crate::control::placement::PlacementState;
use crate::control::retention::{LogClock, RightsReader};
use crate::shared::TablesSnapshot;
use crate::{BootClock, Shared};

/// Interval of the actor's periodic work, such as queues and limits.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the host decides which peers to follow and which engines to poll.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the placement controller is stepped.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum pause between view rebuilds, as a multiple of the last rebuild's duration.
///
/// With many engines, reports arrive constantly; this factor limits rebuilds to half
/// a percent of a core, whatever the size of the view.
const VIEW_PAUSE_FACTOR: u32 = 200;

/// Minimum pause between status updates, as a multiple of the last one's duration.
const STATUS_PAUSE_FACTOR: u32 = 500;

/// The control state of one host.
#[derive(Debug)]
pub(crate) struct Control<C> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) clients: Rc<C>,
    pub(crate) config: ConfigFold,
    pub(crate) members: Members,
    pub(crate) engines: Engines,
    /// Whether this host reads the configuration stream itself.
    pub(crate) reads_log: bool,
    /// The running exchange of each followed peer.
    pub(crate) followed_peers: BTreeMap<HostName, actix::SpawnHandle>,
    /// Wakes peers' exchange requests that wait for changes.
    pub(crate) state_changed: Arc<Notify>,
    /// When each engine was last polled.
    pub(crate) polled_at: FastMap<HostName, Moment>,
    /// The other hosts that may hold rights to accrue tokens.
    pub(crate) peer_holders: BTreeMap<HostName, Holder>,
    /// The upstreams that the host list marks as leaving.
    pub(crate) leaving_upstreams: BTreeSet<HostName>,
    pub(crate) placement: PlacementState,
    pub(crate) claims: Claims,
    /// How far the stream of rights to accrue tokens is read.
    pub(crate) rights: RightsReader,
    pub(crate) log_clock: LogClock,
    /// The last configuration offset up to which records were read, decodable or not.
    read_through: Offset,
    /// When [`Self::run_periodic_plan`] last ran.
    planned_at: Moment,
    placement_ticked_at: Moment,
    /// The earliest time of the next view rebuild.
    view_due_at: Moment,
    /// The earliest time of the next status update.
    status_due_at: Moment,
    /// Whether the view needs a rebuild.
    pub(crate) view_stale: bool,
}

impl<C: ServiceClients> Control<C> {
    /// Creates the control state of a host that has just started.
    pub(crate) fn new(shared: Arc<Shared>, clients: C, state_changed: Arc<Notify>) -> Self {
        let settings = &shared.settings;
        let process = MemberProcess {
            address: settings.peer_address,
            incarnation: shared.incarnation,
        };
        let members = Members::new(settings.name.clone(), settings.zone.clone(), process);
        Self {
            clients: Rc::new(clients),
            config: ConfigFold::new(),
            members,
            engines: Engines::new(shared.settings.zone.clone()),
            reads_log: true,
            followed_peers: BTreeMap::new(),
            state_changed,
            polled_at: FastMap::default(),
            peer_holders: BTreeMap::new(),
            placement: PlacementState::new(&shared),
            claims: Claims::new(&shared, process),
            leaving_upstreams: BTreeSet::new(),
            rights: RightsReader::default(),
            log_clock: LogClock::default(),
            read_through: Offset::default(),
            planned_at: Moment::default(),
            placement_ticked_at: Moment::default(),
            view_due_at: Moment::default(),
            status_due_at: Moment::default(),
            view_stale: true,
            shared,
        }
    }

    /// Publishes the folded tables to the traffic threads, the limiter and the placement.
    pub(crate) fn publish_tables(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let last_offset = self.config.last();
        let tables = self.config.tables().clone();
        let weights = tables
            .organisations
            .iter()
            .map(|(name, row)| (name.clone(), row.weight))
            .collect();
        self.shared.dispatcher.set_weights(weights);
        let limits: BTreeMap<OrgName, Limit> = tables
            .organisations
            .iter()
            .map(|(name, row)| {
                let version = self.config.version(&RowKey::Organisation(name.clone()));
                (
                    name.clone(),
                    Limit {
                        version,
                        share: Share::from(row),
                    },
                )
            })
            .collect();
        // The version of the limits is the configuration offset that they were read up to.
        let version = eelgrasshill_domain::Version(last_offset.0);
        self.shared
            .quota
            .with_limiter(now, |limiter| limiter.configure(version, limits, now));
        let access = Access::new(&self.config);
        self.shared.snapshot.store(Arc::new(TablesSnapshot {
            access,
            tables,
            // Offset 0 means that no record has been folded.
            ready: last_offset.0 > 0,
        }));
        self.view_stale = true;
        self.state_changed.notify_waiters();
        self.update_placement_tables(ctx, now);
    }

    /// Updates the time at which the tables were last known to be current.
    pub(crate) fn update_tables_age(&self) {
        if let Some(current_at) = self.members.current_at(self.config.last()) {
            self.shared.set_tables_current(current_at);
        }
    }

    /// Returns the next configuration offset to read, past undecodable records.
    fn config_cursor(&self) -> Offset {
        let cursor = self.config.cursor();
        if self.config.gap().is_some() {
            return cursor;
        }
        cursor.max(self.read_through.next())
    }

    /// Folds a page of the configuration stream and publishes the tables if they changed.
    fn fold_config(&mut self, ctx: &mut Context<Self>, page: &Page, now: Moment) {
        self.log_clock.record(page, now);
        let before = self.config.last();
        let records = page.records.iter().filter_map(|record| {
            let entry: ConfigEntry = serde_json::from_value(record.body.clone())
                .inspect_err(|error| {
                    log::warn!(
                        "config: skipping the undecodable record at offset {}: {error}",
                        record.offset
                    );
                })
                .ok()?;
            Some(LogEntry {
                offset: record.offset,
                at: LogTime(record.accepted_at_ms),
                id: record.id.clone(),
                record: entry,
            })
        });
        let records = records.collect();
        // Records after the last folded one and before this page were read earlier but could
        // not be decoded. The delta covers their offsets too.
        let next = self.config.last().next();
        let from = page
            .records
            .first()
            .map_or(next, |record| next.min(record.offset));
        let last = page.records.last().map(|record| record.offset);
        let to = last.unwrap_or(Offset(page.end.0.saturating_sub(1)));
        let is_contiguous = self.config.gap().is_none() && page.first <= next;
        let delta = Delta { from, to, records };
        match self.config.read(page.first, &delta) {
            Ok(applied) => {
                if is_contiguous {
                    self.read_through = self.read_through.max(to);
                }
                for (id, outcome) in applied {
                    log::info!("config: append {id} was folded with outcome {outcome:?}");
                }
            }
            Err(gap) => log::warn!("config: cannot fold a page of the log: {gap}"),
        }
        let is_end = page.reaches_end();
        if is_end && self.config.gap().is_none() {
            self.members.record_log_read(now);
            self.update_tables_age();
            self.shared
                .quota
                .with_limiter(now, |limiter| limiter.mark_caught_up(now));
        }
        if self.config.last() != before || !self.shared.snapshot.load().ready {
            self.publish_tables(ctx, now);
        }
    }

    /// Records an engine's report unless a newer one is known.
    pub(crate) fn record_report(
        &mut self,
        ctx: &mut Context<Self>,
        report: &EngineReport,
        requested_at: Moment,
        now: Moment,
    ) {
        let zone = self
            .config
            .tables()
            .hosts
            .get(&report.host)
            .map(|row| &row.zone);
        if self.engines.record(report, zone, requested_at, now) {
            self.update_placement_report(ctx, report, requested_at, now);
            self.view_stale = true;
            self.state_changed.notify_waiters();
        }
    }

    /// Records an engine's state that a peer forwarded.
    pub(crate) fn record_peer_report(
        &mut self,
        ctx: &mut Context<Self>,
        update: &wire::EngineNews,
        requested_at: Moment,
        now: Moment,
    ) {
        if let Some(report) = self.engines.full_report(update) {
            self.record_report(ctx, &report, requested_at, now);
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = BootClock.now();
        if self.view_stale && now >= self.view_due_at {
            let began = Instant::now();
            self.rebuild_view(now);
            self.view_due_at = now.after(began.elapsed() * VIEW_PAUSE_FACTOR);
        }
        self.shared.dispatcher.dispatch_due(now);
        if self.shared.quota.next_wake() <= now {
            // Polling the limiter needs no other work.
            self.shared.quota.with_limiter(now, |_limiter| ());
        }
        if now.since(self.placement_ticked_at) >= PLACEMENT_INTERVAL {
            self.placement_ticked_at = now;
            self.tick_placement(ctx, now);
        }
        self.tick_claims(ctx, now);
        if now.since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = now;
            self.run_periodic_plan(ctx, now);
        }
    }

    /// Runs the work of [`PLAN_INTERVAL`].
    ///
    /// Decides which peers to follow, saves expiring state, polls engines, passes the live
    /// hosts to the dispatcher and the limiter, and publishes the status when it is due.
    fn run_periodic_plan(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let plan = self.members.plan(now);
        self.reads_log = plan.reads_log;
        self.save_expiring_state(ctx, now);
        self.follow_peers(ctx, &plan.follows);
        self.poll_engines(ctx, now);
        let peers = self.members.in_zone(self.members.zone(), now).count();
        self.shared
            .dispatcher
            .set_peers(u32::try_from(peers).unwrap_or(u32::MAX));
        let live: BTreeSet<_> = self.members.live(now).map(|(host, _member)| host).collect();
        let mut holders: Vec<_> = self
            .peer_holders
            .iter()
            .filter(|(host, _holder)| live.contains(host))
            .map(|(_host, holder)| holder.clone())
            .collect();
        if !self.shared.is_draining() {
            holders.push(self.own_holder());
        }
        self.shared
            .quota
            .with_limiter(now, |limiter| limiter.set_members(holders));
        if now >= self.status_due_at {
            let began = Instant::now();
            self.publish_status(now);
            self.status_due_at = now.after(began.elapsed() * STATUS_PAUSE_FACTOR);
        }
    }

    fn own_holder(&self) -> Holder {
        let settings = &self.shared.settings;
        Holder {
            process: HolderProcess {
                host: settings.name.clone(),
                incarnation: self.shared.incarnation,
            },
            zone: settings.zone.clone(),
            address: settings.peer_address,
        }
    }

    /// Records the sender of a heartbeat as a possible holder of rights.
    pub(crate) fn record_peer_holder(&mut self, heartbeat: &eelgrasshill_control::Heartbeat) {
        let known_holder = self.peer_holders.get(&heartbeat.host);
        let newest = known_holder.map_or(Incarnation(0), |holder| holder.process.incarnation);
        if heartbeat.host == self.shared.settings.name || heartbeat.process.incarnation < newest {
            return;
        }
        if heartbeat.leaving {
            self.peer_holders.remove(&heartbeat.host);
            return;
        }
        let holder = Holder {
            process: HolderProcess {
                host: heartbeat.host.clone(),
                incarnation: heartbeat.process.incarnation,
            },
            zone: heartbeat.zone.clone(),
            address: heartbeat.process.address,
        };
        self.peer_holders.insert(heartbeat.host.clone(), holder);
    }
}

impl<C: ServiceClients> Actor for Control<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, Self::tick);
        self.poll_hosts(ctx);
        self.bootstrap(ctx);
    }
}

impl<C: ServiceClients> Handler<GetReadOffset> for Control<C> {
    type Result = Option<Offset>;

    fn handle(
        &mut self,
        GetReadOffset(stream): GetReadOffset,
        _ctx: &mut Self::Context,
    ) -> Self::Result {
        match stream {
            LogStream::Config => self.reads_log.then(|| self.config_cursor()),
            LogStream::Rights => Some(self.rights.last_offset.next()),
        }
    }
}

impl<C: ServiceClients> Handler<PageRead> for Control<C> {
    type Result = ();

    fn handle(&mut self, msg: PageRead, ctx: &mut Self::Context) {
        let now = BootClock.now();
        match msg.stream {
            LogStream::Config => self.fold_config(ctx, &msg.page, now),
            LogStream::Rights => self.fold_rights(&msg.page, now),
        }
    }
}

impl<C: ServiceClients> Handler<HostListRead> for Control<C> {
    type Result = ();

    fn handle(&mut self, HostListRead(hosts): HostListRead, _ctx: &mut Self::Context) {
        let now = BootClock.now();
        let entry_hosts: Vec<_> = hosts
            .iter()
            .filter(|listed| listed.role == HostRole::Entry)
            .map(|listed| ListedMember {
                host: listed.host.clone(),
                zone: listed.zone.clone(),
                address: listed.address,
                leaving: listed.state == HostState::Leaving,
            })
            .collect();
        self.members.update_list(&entry_hosts, now);
        self.leaving_upstreams = hosts
            .into_iter()
            .filter(|listed| {
                listed.role == HostRole::Upstream && listed.state == HostState::Leaving
            })
            .map(|listed| listed.host)
            .collect();
        self.view_stale = true;
    }
}

impl<C: ServiceClients> Handler<EngineReportReceived> for Control<C> {
    type Result = ();

    fn handle(&mut self, msg: EngineReportReceived, ctx: &mut Self::Context) {
        self.record_report(ctx, &msg.report, msg.requested_at, BootClock.now());
    }
}

/// Returns an engine's address from the tables.
pub(crate) fn address_in(
    tables: &eelgrasshill_domain::Tables,
    host: &HostName,
) -> Option<SocketAddr> {
    tables.hosts.get(host).map(|row| row.address)
}
