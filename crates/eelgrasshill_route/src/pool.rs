//! Queues of one pool, and the choice of the ticket that starts next.
//!
//! Classes go in order of priority, except that a class whose oldest startable ticket has aged
//! may overtake the others once every few starts on each upstream. These starts are counted per
//! upstream, so that aged requests that only one upstream can serve do not crowd out the rest
//! there.

use std::time::Duration;

use eelgrasshill_domain::{Class, FastMap, HostName, Moment, OrgName};

use crate::miss::Misses;
use crate::policy::Candidate;
use crate::queue::{ClassQueue, Head, HeavyPayers, OrgWeights, Payer, QueueEntry, Scan, next_head};
use crate::tracker::{AgedLimit, Allowance, Search, UpstreamTracker};
use crate::usage::ShareUse;
use crate::{ChoicePolicy, DispatchSettings, QueueOrder, View};

/// Weight of the newest gap in the moving average of the time between starts.
const GAP_WEIGHT_PERCENT: u32 = 10;

/// Wait after which aged requests start on full upstreams.
///
/// In thousandths of the wait after which the class's requests have aged.
const FORCED_WAIT_PERMILLE: u128 = 2_000;

/// All classes, the one with the highest priority first.
const CLASSES: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Batch];

/// The waiting tickets of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolQueue {
    urgent: ClassQueue,
    interactive: ClassQueue,
    batch: ClassQueue,
    last_start: Option<Moment>,
    /// Moving average of the time between starts.
    mean_gap: Duration,
}

impl PoolQueue {
    pub(crate) fn class(&self, class: Class) -> &ClassQueue {
        match class {
            Class::Urgent => &self.urgent,
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }

    fn class_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    pub(crate) fn push(&mut self, seq: u64, entry: QueueEntry) {
        self.class_mut(entry.ticket.class).push(seq, entry);
    }

    pub(crate) fn remove(&mut self, class: Class, payer: &Payer, seq: u64) -> Option<QueueEntry> {
        self.class_mut(class).remove(payer, seq)
    }

    /// Counts a running ticket of a payer as ended.
    pub(crate) fn finish(&mut self, class: Class, payer: &Payer) {
        self.class_mut(class).usage.finish(payer);
    }

    /// Returns how long the pool's queues take to empty at the recent rate of starts.
    pub(crate) fn drain_time(&self, now: Moment) -> Duration {
        let waiting: usize = CLASSES.iter().map(|c| self.class(*c).count()).sum();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let since_last_start = self
            .last_start
            .map_or(Duration::ZERO, |last_start| now.since(last_start));
        self.mean_gap.saturating_mul(waiting).max(since_last_start)
    }

    /// Returns the next time at which the oldest ticket of a class will have aged.
    pub(crate) fn next_aged(&self, settings: &DispatchSettings, now: Moment) -> Option<Moment> {
        let ages = CLASSES.iter().filter_map(|class| {
            let oldest = self.class(*class).oldest()?;
            Some(oldest.after(settings.age(*class)?))
        });
        ages.filter(|at| *at > now).min()
    }

    fn record_start(&mut self, now: Moment) {
        let since = self
            .last_start
            .map_or(Duration::ZERO, |last_start| now.since(last_start));
        self.mean_gap =
            (self.mean_gap * (100 - GAP_WEIGHT_PERCENT) + since * GAP_WEIGHT_PERCENT) / 100;
        self.last_start = Some(now);
    }
}

/// One pass over a pool's queues that starts what can start.
#[derive(Debug)]
pub(crate) struct DispatchPass<'a, P> {
    pub(crate) settings: &'a DispatchSettings,
    pub(crate) weights: &'a FastMap<OrgName, u32>,
    pub(crate) policy: &'a mut P,
    pub(crate) misses: &'a mut Misses,
    pub(crate) tracker: &'a mut UpstreamTracker,
    pub(crate) view: &'a View,
    pub(crate) now: Moment,
}

/// Scans of each class's queue, kept separately for aged and for other tickets.
#[derive(Debug, Default)]
struct ClassScans {
    aged: [Scan; 3],
    normal: [Scan; 3],
    candidates: Vec<Candidate>,
}

impl<P: ChoicePolicy> DispatchPass<'_, P> {
    /// Starts all tickets that can start, in order.
    pub(crate) fn run(&mut self, queue: &mut PoolQueue, starts: &mut Vec<(QueueEntry, HostName)>) {
        let mut scans = ClassScans::default();
        while let Some(start) = self.start_next(queue, &mut scans) {
            queue.record_start(self.now);
            starts.push(start);
        }
    }

    fn start_next(
        &mut self,
        queue: &mut PoolQueue,
        scans: &mut ClassScans,
    ) -> Option<(QueueEntry, HostName)> {
        let ClassScans {
            aged,
            normal,
            candidates,
        } = scans;
        for (waited_permille, class) in self.aged_classes(queue, aged) {
            let scan = &mut aged[class as usize];
            let allowance = self.aged_allowance(waited_permille);
            let start = self.start_one(queue, class, scan, allowance, candidates);
            if start.is_some() {
                return start;
            }
        }
        CLASSES.into_iter().find_map(|class| {
            let scan = &mut normal[class as usize];
            let allowance = Allowance {
                fill_percent: self.settings.fill_percent.of(class),
                peers: self.settings.peers,
                aged: None,
            };
            self.start_one(queue, class, scan, allowance, candidates)
        })
    }

    /// Returns the organisations whose demand is far above their share.
    fn heavy_payers(&self, queue: &ClassQueue) -> HeavyPayers {
        match self.settings.order {
            QueueOrder::FirstCome => HeavyPayers::default(),
            QueueOrder::FairShare => queue.heavy_payers(OrgWeights {
                weights: self.weights,
            }),
        }
    }

    /// Returns the allowance of aged requests after a wait.
    ///
    /// The wait is in thousandths of the one after which the class's requests have aged.
    fn aged_allowance(&self, waited_permille: u128) -> Allowance {
        let settings = self.settings;
        let peers = settings.peers;
        if waited_permille < FORCED_WAIT_PERMILLE {
            let min_starts = settings.aged_spacing.saturating_sub(1);
            let min_interval = settings.aged_interval;
            return Allowance {
                fill_percent: settings.fill_percent.aged,
                peers,
                aged: Some(AgedLimit {
                    min_starts,
                    min_interval,
                }),
            };
        }
        // Other entry hosts keep the upstreams full, so this host never sees room on them. All
        // entry hosts together then queue one such request per upstream and interval.
        Allowance {
            fill_percent: u32::MAX,
            peers,
            aged: Some(AgedLimit {
                min_starts: u32::MAX,
                min_interval: settings.aged_interval * peers,
            }),
        }
    }

    /// Returns the classes whose oldest startable ticket has aged, the most overdue first.
    ///
    /// Each comes with that ticket's wait, in thousandths of the one after which it has aged.
    fn aged_classes(&self, queue: &PoolQueue, scans: &[Scan; 3]) -> Vec<(u128, Class)> {
        if self.settings.aged_spacing == 0 {
            return Vec::new();
        }
        let mut classes = Vec::new();
        for class in CLASSES {
            let Some(age) = self.settings.age(class) else {
                continue;
            };
            let queue = queue.class(class);
            let heads = aged_heads(
                queue,
                &scans[class as usize],
                &self.heavy_payers(queue),
                false,
            );
            let Some(oldest) = heads.iter().map(|head| head.offered_at).min() else {
                continue;
            };
            let waited = self.now.since(oldest);
            if waited >= age {
                classes.push((waited.as_millis() * 1000 / age.as_millis().max(1), class));
            }
        }
        classes.sort_by(|a, b| b.cmp(a));
        classes
    }

    fn start_one(
        &mut self,
        queue: &mut PoolQueue,
        class: Class,
        scan: &mut Scan,
        allowance: Allowance,
        candidates: &mut Vec<Candidate>,
    ) -> Option<(QueueEntry, HostName)> {
        let newest = self.settings.newest_first && class != Class::Batch;
        let queue = queue.class_mut(class);
        let org_weights = OrgWeights {
            weights: self.weights,
        };
        let heavy_payers = self.heavy_payers(queue);
        loop {
            let heads = if allowance.aged.is_some() {
                aged_heads(queue, scan, &heavy_payers, newest)
            } else {
                queue.heads(scan, &heavy_payers, newest)
            };
            let head = next_head(&heads, self.settings.order)?;
            let over_share = heavy_payers.get(&head.payer) == Some(&ShareUse::Over);
            let reserve = if over_share {
                self.settings.reserve_percent
            } else {
                0
            };
            let reduced = allowance.with_reserve(reserve);
            let Some(position) = self.choose_upstream(queue, head, reduced, candidates) else {
                let entry = queue.get_mut(&head.payer, head.seq)?;
                scan.skip(head, &entry.ticket, over_share);
                continue;
            };
            let upstream = self.view.upstreams().get(position)?;
            let entry = queue.take(head, org_weights)?;
            let aged = allowance.aged.is_some();
            self.tracker
                .start(upstream, entry.ticket.id, aged, self.now);
            return Some((entry, upstream.host.clone()));
        }
    }

    /// Returns the position of the upstream for a head's ticket, if any has room.
    fn choose_upstream(
        &mut self,
        queue: &mut ClassQueue,
        head: &Head,
        allowance: Allowance,
        candidates: &mut Vec<Candidate>,
    ) -> Option<usize> {
        let entry = queue.get_mut(&head.payer, head.seq)?;
        let search = self
            .tracker
            .search(self.view, &entry.ticket, allowance, self.now, candidates);
        entry.found_holder = search != Search::Missing;
        match search {
            Search::Found => Some(self.policy.choose(candidates)?.position),
            Search::Full => None,
            Search::Missing => {
                self.misses.add(&entry.ticket, self.now);
                None
            }
        }
    }
}

/// Returns the next ticket of each organisation whose tickets may age.
///
/// Those of an organisation over its share do not, since its own load makes them wait.
fn aged_heads(
    queue: &ClassQueue,
    scan: &Scan,
    heavy_payers: &HeavyPayers,
    newest: bool,
) -> Vec<Head> {
    let mut heads = queue.heads(scan, heavy_payers, newest);
    heads.retain(|head| heavy_payers.get(&head.payer) != Some(&ShareUse::Over));
    heads
}
