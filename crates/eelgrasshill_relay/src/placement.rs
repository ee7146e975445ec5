//! What each engine holds: orders that the lease's holder gives.
//!
//! Load pattern: a few of many models get most requests, and which ones changes within seconds;
//! the rest get few requests each, but all must be served. A copy is worth what it lets be served
//! in time: that of a busy model, the part of its load that its engines cannot serve; the only
//! copy of a model, its load and a fixed part. A copy moves where it brings clearly more than what
//! makes room for it. An engine whose memory or disk still has the weights is preferred, since a
//! load from the store takes several times as long.
//!
//! Each order names how many orders the engine must have accepted before. What it would then hold
//! was counted here, so that an order that arrives late, after others, does nothing.

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

/// How long hosts are told to avoid a copy before it is unloaded: two rounds of their news.
const VACATE: Duration = Duration::from_millis(500);

/// Time within which a report confirms what was ordered, beyond the load's own time.
const SLACK: Duration = Duration::from_millis(60);

/// Pause between two plans without a new need: demand changes over seconds.
const PLAN_PAUSE: Duration = Duration::from_millis(200);

/// Pause before a report is asked for again while an order is under way.
const REPORT_PAUSE: Duration = Duration::from_millis(150);

/// Pause before a report is asked for again while an unload waits for its requests to end.
const UNLOAD_PAUSE: Duration = Duration::from_millis(300);

/// Shortest time that a copy stays for the sake of a busier model: demand that jumps and falls
/// back within it moves nothing.
const STAY: Duration = Duration::from_secs(4);

/// Age from which a report is no longer planned upon.
const REPORT_AGE: Duration = Duration::from_secs(20);

/// Time until an adapter that was ordered is there: at most ten milliseconds, and more while many
/// are on their way.
const ADAPTER_TIME: Duration = Duration::from_millis(14);

/// Time until an order that is due has been given and answered.
const ORDER_TIME: Duration = Duration::from_millis(10);

/// Time in which requests on a copy that is to go usually end.
const UNLOAD_TIME: Duration = Duration::from_millis(800);

/// Advice where a model cannot be loaded now.
const LATER: Duration = Duration::from_millis(1_500);

record! {
    /// What an order asks for.
    pub enum Action {
        /// Load a model.
        Load(ModelName),
        /// Unload a model once its requests have ended.
        Unload(ModelName),
        /// Load an adapter of a model that the engine holds.
        LoadAdapter(ModelName, AdapterName),
        /// Drop an adapter.
        UnloadAdapter(ModelName, AdapterName),
    }

    /// What the holder must do next for an engine.
    pub enum Step {
        /// Ask for its report.
        Report,
        /// Give an order, with the number of orders that must have been accepted before.
        Order {
            /// What to do.
            action: Action,
            /// Orders that the engine must have accepted.
            precondition: u64,
        },
    }

    /// What becomes of a request that no engine can serve yet.
    pub enum Prospect {
        /// An engine holds what is needed from a time on.
        Ready {
            /// The engine.
            engine: HostName,
            /// How long until then.
            after: Duration,
        },
        /// Nothing is on its way; coming back earlier is in vain.
        Later {
            /// How long to stay away.
            after: Duration,
        },
    }

    /// What hosts are told of an engine before its own entry says it.
    pub struct Overlay {
        /// The engine.
        pub engine: HostName,
        /// When the engine started.
        pub born: u64,
        /// The fencing token of the holder that tells it.
        pub fence: u64,
        /// Rises with each change that the holder makes.
        pub number: u64,
        /// What may be sent to the engine.
        pub holdings: Vec<Holding>,
    }
}

/// What one pool's engines are asked for.
#[derive(Clone, Debug, Default)]
struct Want {
    // Thousandths of an engine, by model.
    work: FastMap<ModelName, u64>,
    adapters: FastMap<(ModelName, AdapterName), u64>,
}

/// Plans what the engines of all pools hold.
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
    /// Makes a planner that knows nothing; `window` is that of the weight store's limit.
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

    /// Takes the pools of a configuration.
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

    /// Takes what the engines say of themselves.
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

    /// Takes what callers of all hosts ask for, in microseconds of engine time a second.
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

    /// Returns whether an engine holds what is asked, and else sees to it.
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

    /// Returns what the orders that come next will bring.
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

    /// Returns what must be done next; each engine has at most one call under way.
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

    /// Notes an engine's report; `holdings` is all that it holds.
    pub fn reported(&mut self, id: &HostName, seen: Seen, now: Moment) {
        if let Some(book) = self.books.get_mut(id)
            && book.take_report(seen, now)
        {
            self.number += 1;
            book.number = self.number;
        }
    }

    /// Notes how an order ended; a call without an answer may still take effect.
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

    /// Returns what hosts must be told of engines beyond the engines' own entries.
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

    /// Notes that a call for a report brought nothing.
    ///
    /// `unreached` says that not even a connection stood.
    pub fn unreported(&mut self, id: &HostName, unreached: bool) {
        if let Some(book) = self.books.get_mut(id) {
            book.end_call(unreached);
        }
    }

    /// Forgets reports and plans, as a host does that was not the holder for a while.
    pub fn reset(&mut self, now: Moment) {
        self.books.clear();
        self.needs.clear();
        for budget in self.budgets.values_mut() {
            budget.restart(now);
        }
    }
}
