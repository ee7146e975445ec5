//! Placement of models and adapters on engines, planned by the lease's holder.
//!
//! The plan follows from demand per model, from the engines' reports and from the limit on loads.
//! A few of many models get most requests, and which ones changes within seconds; the rest get few
//! requests each, but every model must be served.
//!
//! A copy of a model is worth the load that it lets be served in time. For a busy model, that is the
//! part of its load that its engines cannot serve; for a model without a copy, its whole load plus a
//! fixed bonus. A copy is placed where it gains clearly more than the copies removed for it. Engines
//! whose memory or disk caches the weights are preferred, because a load from the weight store takes
//! several times as long.
//!
//! Each order carries the number of orders that the engine must have accepted before. The planner
//! has computed the memory use for exactly that state, so an order that arrives late, after others,
//! is refused.

mod book;
mod budget;
mod census;
mod goal;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, HostName, ModelName, Moment, PoolName, record};

pub use book::{Book, OrderEnd, Seen};
use budget::LoadBudget;

use crate::{Asked, EnginePool, Fleet, Holding, Loads};

/// Time between withdrawing a copy from use and unloading it: two rounds of the host exchange.
const VACATE: Duration = Duration::from_millis(500);

/// Time beyond the load itself until a report shows its result.
const SLACK: Duration = Duration::from_millis(60);

/// Time between two plans without a new need; demand changes over seconds.
const PLAN_PAUSE: Duration = Duration::from_millis(200);

/// Time between reports while an order is in progress.
const REPORT_PAUSE: Duration = Duration::from_millis(150);

/// Time between reports while an unload waits for its requests, or the engine is down.
const UNLOAD_PAUSE: Duration = Duration::from_millis(300);

/// Minimum time that a copy stays before a busier model may replace it.
///
/// A jump in demand that ends within this time moves nothing.
const STAY: Duration = Duration::from_secs(4);

/// Age of the last report at which a new one is requested.
const REPORT_AGE: Duration = Duration::from_secs(20);

/// Time from the order of an adapter until it is loaded.
///
/// At most ten milliseconds, and more while many adapters are being loaded.
const ADAPTER_TIME: Duration = Duration::from_millis(14);

/// Time until an order that is due has been sent and answered.
const ORDER_TIME: Duration = Duration::from_millis(10);

/// Time in which the requests on a withdrawn copy usually finish.
const UNLOAD_TIME: Duration = Duration::from_millis(800);

/// Retry advice if a model cannot be loaded now.
const LATER: Duration = Duration::from_millis(1_500);

record! {
    /// Action that an order asks of an engine.
    pub enum Action {
        /// Load a model.
        Load(ModelName),
        /// Unload a model once its requests have finished.
        Unload(ModelName),
        /// Load an adapter of a model that the engine holds.
        LoadAdapter(ModelName, AdapterName),
        /// Unload an adapter.
        UnloadAdapter(ModelName, AdapterName),
    }

    /// Next call that the holder must make to an engine.
    pub enum Step {
        /// Request its report.
        Report,
        /// Send an order.
        Order {
            /// Action that the engine must carry out.
            action: Action,
            /// Number of orders that the engine must have accepted before.
            precondition: u64,
        },
    }

    /// When a model or adapter becomes available.
    pub enum Prospect {
        /// An engine can serve it after a delay.
        Ready {
            /// Engine that will serve it.
            engine: HostName,
            /// Delay until then; zero if it is loaded.
            after: Duration,
        },
        /// No engine will have it soon.
        Later {
            /// Delay before a retry makes sense.
            after: Duration,
        },
    }

    /// Update of an engine's holdings, ahead of the engine's own registry entry.
    pub struct Overlay {
        /// Id of the engine.
        pub engine: HostName,
        /// Start time of the engine, as in its registration.
        pub born: u64,
        /// Fencing token of the holder that sends it.
        pub fence: u64,
        /// Revision, which rises with each change by the holder.
        pub number: u64,
        /// Models and adapters for which requests may be sent to the engine.
        pub holdings: Vec<Holding>,
    }
}

/// Demand for the models of one pool.
#[derive(Clone, Debug, Default)]
struct Want {
    // Load in thousandths of an engine, by model.
    work: FastMap<ModelName, u64>,
    adapters: FastMap<(ModelName, AdapterName), u64>,
}

/// Plans which models and adapters the engines of all pools hold.
#[derive(Clone, Debug)]
pub struct Placer {
    books: BTreeMap<HostName, Book>,
    pools: FastMap<PoolName, Arc<EnginePool>>,
    wants: FastMap<PoolName, Want>,
    budgets: FastMap<PoolName, LoadBudget>,
    needs: FastMap<Asked, Moment>,
    window: Duration,
    number: u64,
    planned: Moment,
}

impl Placer {
    /// Creates a planner without state; `window` is that of the weight store's load limit.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            books: BTreeMap::new(),
            pools: FastMap::default(),
            wants: FastMap::default(),
            budgets: FastMap::default(),
            needs: FastMap::default(),
            window,
            number: 0,
            planned: Moment(0),
        }
    }

    /// Sets the pools of a configuration.
    pub fn set_pools<'a>(
        &mut self,
        pools: impl Iterator<Item = (&'a PoolName, &'a Arc<EnginePool>)>,
        now: Moment,
    ) {
        self.pools = pools
            .map(|(name, pool)| (name.clone(), Arc::clone(pool)))
            .collect();
        for (name, pool) in &self.pools {
            let window = self.window;
            self.budgets
                .entry(name.clone())
                .or_insert_with(|| LoadBudget::new(window, now))
                .set_rate(pool.loads);
        }
    }

    /// Updates the engines from their registrations and from failed calls of other hosts.
    pub fn set_fleet(&mut self, fleet: &Fleet, loads: &Loads, now: Moment) {
        let mut books = BTreeMap::new();
        for upstream in fleet.open(now) {
            if !self.pools.contains_key(&upstream.pool) {
                continue;
            }
            let known = self.books.remove(&upstream.id);
            let known = known.filter(|book| book.born == upstream.born);
            let mut book = known.unwrap_or_else(|| Book::new(upstream));
            book.set_doubted(loads.is_doubted(&upstream.id));
            books.insert(upstream.id.clone(), book);
        }
        self.books = books;
    }

    /// Sets the demand of all hosts, in microseconds of engine time per second.
    pub fn set_wanted(&mut self, wanted: &FastMap<Asked, u64>) {
        self.wants.clear();
        for (asked, rate) in wanted {
            let want = self.wants.entry(asked.pool.clone()).or_default();
            *want.work.entry(asked.model.clone()).or_default() += rate / 1_000;
            if let Some(adapter) = &asked.adapter {
                let key = (asked.model.clone(), adapter.clone());
                *want.adapters.entry(key).or_default() += rate;
            }
        }
    }

    /// Returns when a model or adapter is available, and plans a load if none is in progress.
    pub fn need(&mut self, asked: &Asked, now: Moment) -> Prospect {
        if let Some(found) = self.prospect(asked, now) {
            return found;
        }
        self.needs.insert(asked.clone(), now);
        self.plan(now);
        let found = self
            .prospect(asked, now)
            .or_else(|| self.expected(asked, now));
        found.unwrap_or(Prospect::Later { after: LATER })
    }

    /// Returns the availability that the next orders will lead to.
    fn expected(&self, asked: &Asked, now: Moment) -> Option<Prospect> {
        if asked.adapter.is_some()
            && let Some(engine) = self.best_for(&asked.pool, &asked.model)
        {
            return Some(Prospect::Ready {
                engine: engine.clone(),
                after: ORDER_TIME + ADAPTER_TIME,
            });
        }
        let pool = self.pools.get(&asked.pool)?;
        let row = pool.model(&asked.model)?;
        self.books
            .iter()
            .filter(|(_id, book)| book.pool == asked.pool)
            .filter_map(|(id, book)| {
                let room = book.goal_room_after(&asked.model, now)?;
                let after = room + ORDER_TIME + book.load_time(row) + SLACK;
                Some((after, id))
            })
            .min()
            .map(|(after, id)| Prospect::Ready {
                engine: id.clone(),
                after,
            })
    }

    fn prospect(&self, asked: &Asked, now: Moment) -> Option<Prospect> {
        let books = self
            .books
            .iter()
            .filter(|(_id, book)| book.pool == asked.pool);
        let mut soonest: Option<(Duration, &HostName)> = None;
        for (id, book) in books {
            let Some(after) = book.ready_after(&asked.model, asked.adapter.as_ref(), now) else {
                continue;
            };
            if soonest.is_none_or(|(best, _id)| after < best) {
                soonest = Some((after, id));
            }
        }
        soonest.map(|(after, id)| Prospect::Ready {
            engine: id.clone(),
            after,
        })
    }

    /// Returns the calls to make now; each engine has at most one pending call.
    pub fn steps(&mut self, now: Moment) -> Vec<(HostName, Step)> {
        if now.since(self.planned) >= PLAN_PAUSE {
            self.plan(now);
        }
        let mut steps = Vec::new();
        let ids: Vec<_> = self.books.keys().cloned().collect();
        for id in ids {
            if let Some(step) = self.step(&id, now) {
                if let Some(book) = self.books.get_mut(&id) {
                    book.begin_call(&step, now);
                }
                steps.push((id, step));
            }
        }
        steps
    }

    fn step(&mut self, id: &HostName, now: Moment) -> Option<Step> {
        let book = self.books.get(id)?;
        if book.is_calling() {
            return None;
        }
        if book.needs_report(now) {
            return Some(Step::Report);
        }
        let precondition = book.orders?;
        let action = self.next_action(id, now)?;
        Some(Step::Order {
            action,
            precondition,
        })
    }

    /// Applies an engine's report, which is complete.
    pub fn reported(&mut self, id: &HostName, seen: Seen, now: Moment) {
        if let Some(book) = self.books.get_mut(id)
            && book.take_report(seen, now)
        {
            self.number += 1;
            book.number = self.number;
        }
    }

    /// Applies the result of an order.
    ///
    /// An order without an answer may still take effect later.
    pub fn ordered(&mut self, id: &HostName, action: &Action, end: OrderEnd, now: Moment) {
        let Some(book) = self.books.get_mut(id) else {
            return;
        };
        let Some(pool) = self.pools.get(&book.pool) else {
            return;
        };
        self.number += 1;
        book.number = self.number;
        book.take_order(action, end, pool, now);
    }

    /// Returns the updates that hosts need beyond the engines' own entries.
    pub fn overlays(&self, fence: u64) -> impl Iterator<Item = Overlay> {
        self.books
            .iter()
            .filter(|(_id, book)| book.orders.is_some() && book.number > 0)
            .map(move |(id, book)| Overlay {
                engine: id.clone(),
                born: book.born,
                fence,
                number: book.number,
                holdings: book.offered(),
            })
    }

    /// Notes that a report could not be read.
    ///
    /// `unreached` says that the request was not even sent.
    pub fn unreported(&mut self, id: &HostName, unreached: bool) {
        if let Some(book) = self.books.get_mut(id) {
            book.end_call(unreached);
        }
    }

    /// Discards reports and plans, because another host may have given orders since.
    pub fn reset(&mut self, now: Moment) {
        self.books.clear();
        self.needs.clear();
        for budget in self.budgets.values_mut() {
            budget.restart(now);
        }
    }
}
