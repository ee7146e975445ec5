//! The actor that owns the control state of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler};
use eelgrasshill_control::{
    Access, ConfigEntry, ConfigFold, Delta, ListedHost, LogEntry, LogTime, Members, Process,
};
use eelgrasshill_domain::{FastMap, HostName, Incarnation, Moment, Offset, OrgName, RowKey};
use eelgrasshill_limit::{Holder, Limit, Share};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_ports::{EngineReport, HostRole, HostState, Page};
use tokio::sync::Notify;

use crate::control::Outside;
use crate::control::claims::Claims;
use crate::control::engines::Engines;
use crate::control::messages::{Cursor, Followed, HostsRead, PageRead, Reported};
use crate::control::place::Placing;
use crate::control::retain::{LogClock, RightsReader};
use crate::shared::Picture;
use crate::{BootClock, Shared};

/// How often queues, limits and plans are looked after.
const TICK: Duration = Duration::from_millis(20);

/// How often the plan of who follows whom is made.
const PLAN: Duration = Duration::from_millis(500);

/// How often the lease and the orders are looked after.
const PLACE: Duration = Duration::from_millis(100);

/// How many times as long as it took to make a view the next one waits.
///
/// With many engines reports come all the time; this keeps views at half a
/// percent of a core, whatever their size.
const VIEW_REST: u32 = 200;

/// How many times as long as it took to show the status the next one waits.
const STATUS_REST: u32 = 500;

/// The control state of one host.
#[derive(Debug)]
pub(crate) struct Control<O> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) outside: Rc<O>,
    pub(crate) fold: ConfigFold,
    pub(crate) members: Members,
    pub(crate) engines: Engines,
    pub(crate) reads: bool,
    pub(crate) follows: BTreeMap<HostName, actix::SpawnHandle>,
    pub(crate) news: Arc<Notify>,
    pub(crate) polled: FastMap<HostName, Moment>,
    pub(crate) processes: BTreeMap<HostName, Holder>,
    pub(crate) leaving: BTreeSet<HostName>,
    pub(crate) placing: Placing,
    pub(crate) claims: Claims,
    pub(crate) rights: RightsReader,
    pub(crate) clock: LogClock,
    /// The last offset of the configuration up to which decoding was tried.
    decoded: Offset,
    planned: Moment,
    placed: Moment,
    view_due: Moment,
    status_due: Moment,
    pub(crate) stale: bool,
}

impl<O: Outside> Control<O> {
    /// Makes the state of a host that has just started.
    pub(crate) fn new(shared: Arc<Shared>, outside: O, news: Arc<Notify>) -> Self {
        let settings = &shared.settings;
        let process = Process {
            address: settings.peer,
            incarnation: shared.incarnation,
        };
        let members = Members::new(settings.name.clone(), settings.zone.clone(), process);
        Self {
            outside: Rc::new(outside),
            fold: ConfigFold::new(),
            members,
            engines: Engines::new(shared.settings.zone.clone()),
            reads: true,
            follows: BTreeMap::new(),
            news,
            polled: FastMap::default(),
            processes: BTreeMap::new(),
            placing: Placing::new(&shared),
            claims: Claims::new(&shared, process),
            leaving: BTreeSet::new(),
            rights: RightsReader::default(),
            clock: LogClock::default(),
            decoded: Offset::default(),
            planned: Moment::default(),
            placed: Moment::default(),
            view_due: Moment::default(),
            status_due: Moment::default(),
            stale: true,
            shared,
        }
    }

    /// Puts the folded tables in force for the traffic threads.
    pub(crate) fn publish(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let through = self.fold.last();
        let tables = self.fold.tables().clone();
        let weights = tables
            .organisations
            .iter()
            .map(|(name, row)| (name.clone(), row.weight))
            .collect();
        self.shared.dispatch.set_weights(weights);
        let limits: BTreeMap<OrgName, Limit> = tables
            .organisations
            .iter()
            .map(|(name, row)| {
                let version = self.fold.version(&RowKey::Organisation(name.clone()));
                (
                    name.clone(),
                    Limit {
                        version,
                        share: Share::from(row),
                    },
                )
            })
            .collect();
        let version = eelgrasshill_domain::Version(through.0);
        self.shared
            .quota
            .with(now, |limiter| limiter.configure(version, limits, now));
        let access = Access::new(&self.fold);
        self.shared.picture.store(Arc::new(Picture {
            access,
            tables,
            ready: through.0 > 0,
        }));
        self.stale = true;
        self.news.notify_waiters();
        self.place_tables(ctx, now);
    }

    /// Notes how recent the tables are known to be.
    pub(crate) fn note_fresh(&self) {
        if let Some(fresh) = self.members.current_at(self.fold.last()) {
            self.shared.set_fresh(fresh);
        }
    }

    /// Returns from where to read the configuration, past what could not be decoded.
    fn config_cursor(&self) -> Offset {
        let cursor = self.fold.cursor();
        if self.fold.gap().is_some() {
            return cursor;
        }
        cursor.max(self.decoded.next())
    }

    fn fold_config(&mut self, ctx: &mut Context<Self>, page: &Page, now: Moment) {
        self.clock.note(page, now);
        let before = self.fold.last();
        let records = page.records.iter().filter_map(|record| {
            let entry: ConfigEntry = serde_json::from_value(record.body.clone())
                .inspect_err(|error| {
                    log::warn!(
                        "config: the record at {} is skipped: {error}",
                        record.offset
                    );
                })
                .ok()?;
            Some(LogEntry {
                offset: record.offset,
                at: LogTime(record.time),
                id: record.id.clone(),
                record: entry,
            })
        });
        let records = records.collect();
        // What lies between the folded records and the page was read and could not be decoded.
        let next = self.fold.last().next();
        let from = page
            .records
            .first()
            .map_or(next, |record| next.min(record.offset));
        let last = page.records.last().map(|record| record.offset);
        let to = last.unwrap_or(Offset(page.end.0.saturating_sub(1)));
        let was_whole = self.fold.gap().is_none() && page.first <= next;
        let delta = Delta { from, to, records };
        match self.fold.read(page.first, &delta) {
            Ok(applied) => {
                if was_whole {
                    self.decoded = self.decoded.max(to);
                }
                for (id, outcome) in applied {
                    log::info!("config: {id}: {outcome:?}");
                }
            }
            Err(gap) => log::warn!("config: {gap}"),
        }
        let is_end = page.is_end();
        if is_end && self.fold.gap().is_none() {
            self.members.record_log_read(now);
            self.note_fresh();
            self.shared
                .quota
                .with(now, |limiter| limiter.mark_caught_up(now));
        }
        if self.fold.last() != before || !self.shared.picture.load().ready {
            self.publish(ctx, now);
        }
    }

    /// Notes an engine's own report unless a newer one is known.
    pub(crate) fn note_report(
        &mut self,
        ctx: &mut Context<Self>,
        report: &EngineReport,
        asked: Moment,
        now: Moment,
    ) {
        let zone = self
            .fold
            .tables()
            .hosts
            .get(&report.host)
            .map(|row| &row.zone);
        if self.engines.note(report, zone, asked, now) {
            self.place_report(ctx, report, asked, now);
            self.stale = true;
            self.news.notify_waiters();
        }
    }

    /// Notes what a peer passed on of an engine.
    pub(crate) fn note_news(
        &mut self,
        ctx: &mut Context<Self>,
        news: &wire::EngineNews,
        asked: Moment,
        now: Moment,
    ) {
        if let Some(report) = self.engines.whole_report(news) {
            self.note_report(ctx, &report, asked, now);
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = BootClock.now();
        if self.stale && now >= self.view_due {
            let began = Instant::now();
            self.rebuild_view(now);
            self.view_due = now.after(began.elapsed() * VIEW_REST);
        }
        self.shared.dispatch.pump(now);
        if self.shared.quota.next_wake() <= now {
            self.shared.quota.with(now, |_limiter| ());
        }
        if now.since(self.placed) >= PLACE {
            self.placed = now;
            self.tick_placement(context, now);
        }
        self.tick_claims(context, now);
        if now.since(self.planned) >= PLAN {
            self.planned = now;
            self.plan(context, now);
        }
    }

    fn plan(&mut self, context: &mut Context<Self>, now: Moment) {
        let plan = self.members.plan(now);
        self.reads = plan.reads_log;
        self.retain(context, now);
        self.follow(context, &plan.follows);
        self.poll_engines(context, now);
        let peers = self.members.in_zone(self.members.zone(), now).count();
        self.shared
            .dispatch
            .set_peers(u32::try_from(peers).unwrap_or(u32::MAX));
        let live: BTreeSet<_> = self.members.live(now).map(|(host, _member)| host).collect();
        let mut holders: Vec<_> = self
            .processes
            .iter()
            .filter(|(host, _holder)| live.contains(host))
            .map(|(_host, holder)| holder.clone())
            .collect();
        if !self.shared.is_leaving() {
            holders.push(self.own_holder());
        }
        self.shared
            .quota
            .with(now, |limiter| limiter.set_members(holders));
        if now >= self.status_due {
            let began = Instant::now();
            self.show_status(now);
            self.status_due = now.after(began.elapsed() * STATUS_REST);
        }
    }

    fn own_holder(&self) -> Holder {
        let settings = &self.shared.settings;
        Holder {
            process: eelgrasshill_limit::Process {
                host: settings.name.clone(),
                incarnation: self.shared.incarnation,
            },
            zone: settings.zone.clone(),
            address: settings.peer,
        }
    }

    /// Remembers the process behind a heartbeat, for the division of rights.
    pub(crate) fn note_process(&mut self, beat: &eelgrasshill_control::Heartbeat) {
        let known = self.processes.get(&beat.host);
        let newest = known.map_or(Incarnation(0), |holder| holder.process.incarnation);
        if beat.host == self.shared.settings.name || beat.process.incarnation < newest {
            return;
        }
        if beat.leaving {
            self.processes.remove(&beat.host);
            return;
        }
        let holder = Holder {
            process: eelgrasshill_limit::Process {
                host: beat.host.clone(),
                incarnation: beat.process.incarnation,
            },
            zone: beat.zone.clone(),
            address: beat.process.address,
        };
        self.processes.insert(beat.host.clone(), holder);
    }
}

impl<O: Outside> Actor for Control<O> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, Self::tick);
        self.poll_hosts(ctx);
        self.bootstrap(ctx);
    }
}

impl<O: Outside> Handler<Cursor> for Control<O> {
    type Result = Option<Offset>;

    fn handle(&mut self, Cursor(stream): Cursor, _ctx: &mut Self::Context) -> Self::Result {
        match stream {
            Followed::Config => self.reads.then(|| self.config_cursor()),
            Followed::Rights => Some(self.rights.last.next()),
        }
    }
}

impl<O: Outside> Handler<PageRead> for Control<O> {
    type Result = ();

    fn handle(&mut self, msg: PageRead, ctx: &mut Self::Context) {
        let now = BootClock.now();
        match msg.stream {
            Followed::Config => self.fold_config(ctx, &msg.page, now),
            Followed::Rights => self.fold_rights(&msg.page, now),
        }
    }
}

impl<O: Outside> Handler<HostsRead> for Control<O> {
    type Result = ();

    fn handle(&mut self, HostsRead(hosts): HostsRead, _ctx: &mut Self::Context) {
        let now = BootClock.now();
        let entries: Vec<_> = hosts
            .iter()
            .filter(|listed| listed.role == HostRole::Entry)
            .map(|listed| ListedHost {
                host: listed.host.clone(),
                zone: listed.zone.clone(),
                address: listed.address,
                leaving: listed.state == HostState::Leaving,
            })
            .collect();
        self.members.update_list(&entries, now);
        self.leaving = hosts
            .into_iter()
            .filter(|listed| {
                listed.role == HostRole::Upstream && listed.state == HostState::Leaving
            })
            .map(|listed| listed.host)
            .collect();
        self.stale = true;
    }
}

impl<O: Outside> Handler<Reported> for Control<O> {
    type Result = ();

    fn handle(&mut self, msg: Reported, ctx: &mut Self::Context) {
        self.note_report(ctx, &msg.report, msg.asked, BootClock.now());
    }
}

/// Returns where an engine listens, by the tables.
pub(crate) fn address_in(
    tables: &eelgrasshill_domain::Tables,
    host: &HostName,
) -> Option<SocketAddr> {
    tables.hosts.get(host).map(|row| row.address)
}
