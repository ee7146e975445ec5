//! The queues of one pool, and which of their tickets starts next.
//!
//! Classes go in order of priority, except that a class whose oldest startable ticket has aged
//! goes ahead of the others once in a few starts on each host. The pace is kept for each host,
//! so that aged work that only one host can serve does not crowd out the rest there.

use std::time::Duration;

use eelgrasshill_domain::{Class, FastMap, HostName, Moment, OrgName};

use crate::fleet::{AgedPace, Allowance, Fleet, Search};
use crate::miss::Misses;
use crate::policy::Candidate;
use crate::queue::{ClassQueue, Entry, Floods, Head, Payer, Scan, Shares, turn};
use crate::usage::Flood;
use crate::{ChoicePolicy, DispatchSettings, Order, View};

/// Weight of the newest start in the mean time between starts, in percent.
const PACE_WEIGHT: u32 = 10;

/// Wait in thousandths of its age after which aged work starts on full upstreams.
const FORCED_WAIT: u128 = 2_000;

const CLASSES: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Batch];

/// The waiting tickets of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolQueue {
    urgent: ClassQueue,
    interactive: ClassQueue,
    batch: ClassQueue,
    last: Option<Moment>,
    gap: Duration,
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

    pub(crate) fn push(&mut self, seq: u64, entry: Entry) {
        self.class_mut(entry.ticket.class).push(seq, entry);
    }

    pub(crate) fn remove(&mut self, class: Class, payer: &Payer, seq: u64) -> Option<Entry> {
        self.class_mut(class).remove(payer, seq)
    }

    /// Counts a running ticket of a payer as ended.
    pub(crate) fn finish(&mut self, class: Class, payer: &Payer) {
        self.class_mut(class).usage.finish(payer);
    }

    /// Returns how long its queues take to empty at the recent pace.
    pub(crate) fn drain_time(&self, now: Moment) -> Duration {
        let waiting: usize = CLASSES.iter().map(|c| self.class(*c).count()).sum();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let quiet = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.gap.saturating_mul(waiting).max(quiet)
    }

    /// Returns when the oldest ticket of a class ages, if that lies ahead.
    pub(crate) fn next_aged(&self, settings: &DispatchSettings, now: Moment) -> Option<Moment> {
        let ages = CLASSES.iter().filter_map(|class| {
            let oldest = self.class(*class).oldest()?;
            Some(oldest.after(settings.age(*class)?))
        });
        ages.filter(|at| *at > now).min()
    }

    fn note_start(&mut self, now: Moment) {
        let since = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.gap = (self.gap * (100 - PACE_WEIGHT) + since * PACE_WEIGHT) / 100;
        self.last = Some(now);
    }
}

/// One look through a pool's queues.
#[derive(Debug)]
pub(crate) struct Pick<'a, P> {
    pub(crate) settings: &'a DispatchSettings,
    pub(crate) weights: &'a FastMap<OrgName, u32>,
    pub(crate) policy: &'a mut P,
    pub(crate) misses: &'a mut Misses,
    pub(crate) fleet: &'a mut Fleet,
    pub(crate) view: &'a View,
    pub(crate) now: Moment,
}

/// What was found without room for each class, as aged work and otherwise.
#[derive(Debug, Default)]
struct Scans {
    aged: [Scan; 3],
    plain: [Scan; 3],
    found: Vec<Candidate>,
}

impl<P: ChoicePolicy> Pick<'_, P> {
    /// Starts all that can start, in their order.
    pub(crate) fn run(&mut self, queue: &mut PoolQueue, picks: &mut Vec<(Entry, HostName)>) {
        let mut scans = Scans::default();
        while let Some(pick) = self.next(queue, &mut scans) {
            queue.note_start(self.now);
            picks.push(pick);
        }
    }

    fn next(&mut self, queue: &mut PoolQueue, scans: &mut Scans) -> Option<(Entry, HostName)> {
        let Scans { aged, plain, found } = scans;
        for (waited, class) in self.overdue(queue, aged) {
            let scan = &mut aged[class as usize];
            let allowance = self.aged(waited);
            let pick = self.start_one(queue, class, scan, allowance, found);
            if pick.is_some() {
                return pick;
            }
        }
        CLASSES.into_iter().find_map(|class| {
            let scan = &mut plain[class as usize];
            let allowance = Allowance {
                fill: self.settings.fill.of(class),
                peers: self.settings.peers,
                aged: None,
            };
            self.start_one(queue, class, scan, allowance, found)
        })
    }

    /// Returns the organisations that ask for far more than their share.
    fn floods(&self, queue: &ClassQueue) -> Floods {
        match self.settings.order {
            Order::FirstCome => Floods::default(),
            Order::FairShare => queue.floods(Shares {
                weights: self.weights,
            }),
        }
    }

    /// Returns what aged work may use after a wait in thousandths of its age.
    fn aged(&self, waited: u128) -> Allowance {
        let settings = self.settings;
        let peers = settings.peers;
        if waited < FORCED_WAIT {
            let gap = settings.aged_share.saturating_sub(1);
            let rest = settings.aged_rest;
            return Allowance {
                fill: settings.fill.aged,
                peers,
                aged: Some(AgedPace { gap, rest }),
            };
        }
        // Other entry hosts keep the upstreams full, so room never shows here. All hosts together
        // then queue one such request on an upstream in each rest.
        Allowance {
            fill: u32::MAX,
            peers,
            aged: Some(AgedPace {
                gap: u32::MAX,
                rest: settings.aged_rest * peers,
            }),
        }
    }

    /// Returns the classes whose oldest startable ticket has aged, the most overdue first.
    ///
    /// Each comes with that ticket's wait in thousandths of the class's age.
    fn overdue(&self, queue: &PoolQueue, scans: &[Scan; 3]) -> Vec<(u128, Class)> {
        if self.settings.aged_share == 0 {
            return Vec::new();
        }
        let mut classes = Vec::new();
        for class in CLASSES {
            let Some(age) = self.settings.age(class) else {
                continue;
            };
            let queue = queue.class(class);
            let heads = aged_heads(queue, &scans[class as usize], &self.floods(queue), false);
            let Some(oldest) = heads.iter().map(|head| head.offered).min() else {
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
        found: &mut Vec<Candidate>,
    ) -> Option<(Entry, HostName)> {
        let newest = self.settings.newest_first && class != Class::Batch;
        let queue = queue.class_mut(class);
        let shares = Shares {
            weights: self.weights,
        };
        let floods = self.floods(queue);
        loop {
            let heads = if allowance.aged.is_some() {
                aged_heads(queue, scan, &floods, newest)
            } else {
                queue.heads(scan, &floods, newest)
            };
            let head = turn(&heads, self.settings.order)?;
            let is_over = floods.get(&head.payer) == Some(&Flood::Over);
            let reserve = if is_over {
                self.settings.share_reserve
            } else {
                0
            };
            let room = allowance.without(reserve);
            let Some(position) = self.place(queue, head, room, found) else {
                let entry = queue.get_mut(&head.payer, head.seq)?;
                scan.pass(head, &entry.ticket, is_over);
                continue;
            };
            let upstream = self.view.upstreams().get(position)?;
            let entry = queue.take(head, shares)?;
            let aged = allowance.aged.is_some();
            self.fleet.start(upstream, entry.ticket.id, aged, self.now);
            return Some((entry, upstream.host.clone()));
        }
    }

    /// Returns the position of the upstream that a head's ticket goes to.
    fn place(
        &mut self,
        queue: &mut ClassQueue,
        head: &Head,
        allowance: Allowance,
        found: &mut Vec<Candidate>,
    ) -> Option<usize> {
        let entry = queue.get_mut(&head.payer, head.seq)?;
        let search = self
            .fleet
            .search(self.view, &entry.ticket, allowance, self.now, found);
        entry.held = search != Search::Missing;
        match search {
            Search::Found => Some(self.policy.choose(found)?.position),
            Search::Full => None,
            Search::Missing => {
                self.misses.note(&entry.ticket, self.now);
                None
            }
        }
    }
}

/// Returns the next ticket of each organisation that may age.
///
/// One that is over its share has itself to blame for its wait.
fn aged_heads(queue: &ClassQueue, scan: &Scan, floods: &Floods, newest: bool) -> Vec<Head> {
    let mut heads = queue.heads(scan, floods, newest);
    heads.retain(|head| floods.get(&head.payer) != Some(&Flood::Over));
    heads
}
