//! Shares one rate limiter among the traffic threads of a host.
//!
//! Requests of one organisation wait for tokens in the order of their arrival.
//! Effects of the limiter go to the control thread, which alone does network calls.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, OrgName};
use eelgrasshill_limit::{Admission, Effect, LimitRefusal, Limiter, ReservationId};
use tokio::sync::{Notify, mpsc};

use crate::BootClock;
use eelgrasshill_ports::lock;

/// Maximum number of limiter effects queued for the control thread.
const MAX_PENDING_EFFECTS: usize = 4096;

/// Retry delay advised when the requests ahead in the organisation's queue took all the time.
const QUEUED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// FIFO queue of one organisation's requests that wait for tokens.
#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    /// Held by the request at the head of the queue while it waits for tokens.
    head_lock: Arc<tokio::sync::Mutex<()>>,
    /// Notified when the limiter may be able to admit the request at the head.
    ready: Arc<Notify>,
}

/// The rate limiter of one host, shared by its threads.
#[derive(Clone, Debug)]
pub struct Quota {
    limiter: Arc<Mutex<Limiter>>,
    queues: Arc<Mutex<FastMap<OrgName, OrganisationQueue>>>,
    effect_sender: mpsc::Sender<Effect>,
}

/// Tokens reserved by a request; unused ones are returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    quota: Quota,
    id: ReservationId,
    cost: u64,
    used: u64,
}

impl Quota {
    /// Wraps a limiter and returns the receiver of effects for the control thread.
    #[must_use]
    pub fn new(limiter: Limiter) -> (Self, mpsc::Receiver<Effect>) {
        let (effect_sender, effects) = mpsc::channel(MAX_PENDING_EFFECTS);
        let quota = Self {
            limiter: Arc::new(Mutex::new(limiter)),
            queues: Arc::default(),
            effect_sender,
        };
        (quota, effects)
    }

    /// Calls a closure with the locked limiter, then dispatches the resulting effects.
    pub fn with_limiter<T>(&self, now: Moment, work: impl FnOnce(&mut Limiter) -> T) -> T {
        let (result, effects) = {
            let mut limiter = lock(&self.limiter);
            let result = work(&mut limiter);
            (result, limiter.poll(now))
        };
        for effect in effects {
            self.dispatch_effect(effect);
        }
        result
    }

    fn dispatch_effect(&self, effect: Effect) {
        if let Effect::Ready(organisation) = &effect {
            self.queue(organisation).ready.notify_waiters();
            return;
        }
        // The limiter repeats its requests, so a full queue only delays them.
        if self.effect_sender.try_send(effect).is_err() {
            log::warn!(
                "quota: dropped an effect: the control thread's queue of {MAX_PENDING_EFFECTS} effects is full or closed"
            );
        }
    }

    /// Returns when the limiter must next be polled.
    #[must_use]
    pub fn next_wake(&self) -> Moment {
        lock(&self.limiter).next_wake()
    }

    fn queue(&self, organisation: &OrgName) -> OrganisationQueue {
        lock(&self.queues)
            .entry(organisation.clone())
            .or_default()
            .clone()
    }

    /// Reserves tokens, waiting until `deadline` for them to accrue.
    ///
    /// # Errors
    ///
    /// Returns [`LimitRefusal`] when the tokens are not available in time.
    pub async fn admit(
        &self,
        organisation: &OrgName,
        cost: u64,
        deadline: Moment,
    ) -> Result<Reservation, LimitRefusal> {
        let queue = self.queue(organisation);
        let clock = BootClock;
        let remaining = deadline.since(clock.now());
        let Ok(_head) = tokio::time::timeout(remaining, queue.head_lock.lock()).await else {
            return Err(LimitRefusal::Scarce {
                retry: QUEUED_RETRY_AFTER,
            });
        };
        loop {
            let now = clock.now();
            // Created before the attempt, so that a notification during it is not missed.
            let ready = queue.ready.notified();
            let wait =
                match self.with_limiter(now, |limiter| limiter.admit(organisation, cost, now)) {
                    Admission::Admitted(id) => {
                        return Ok(Reservation {
                            quota: self.clone(),
                            id,
                            cost,
                            used: 0,
                        });
                    }
                    Admission::Wait(moment) => moment,
                    Admission::Refused(refusal) => match retry_moment(&refusal, now, deadline) {
                        Some(moment) => moment,
                        None => return Err(refusal),
                    },
                };
            tokio::select! {
                () = ready => {}
                () = clock.sleep_until(wait) => {}
            }
        }
    }
}

/// Returns when to retry, or `None` if a retry cannot succeed before `deadline`.
fn retry_moment(refusal: &LimitRefusal, now: Moment, deadline: Moment) -> Option<Moment> {
    match refusal {
        LimitRefusal::Unknown { .. } | LimitRefusal::TooLarge { .. } => None,
        LimitRefusal::Scarce { retry } | LimitRefusal::Unreachable { retry } => {
            let moment = now.after(*retry);
            (moment < deadline).then_some(moment)
        }
    }
}

impl Reservation {
    /// Counts tokens as used, up to the reserved number.
    pub fn spend(&mut self, tokens: u64) {
        self.used = self.used.saturating_add(tokens).min(self.cost);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = BootClock.now();
        self.quota
            .with_limiter(now, |limiter| limiter.settle(self.id, self.used, now));
    }
}
