//! Times at which rejected callers may return, and their places.
//!
//! A caller that is rejected returns once, with a new id and mostly at another host. What it sends
//! again is the same, so a reservation is kept under a hash of that. Its return is given a time at
//! which late work is expected to start, after the returns that were given out before, so that
//! callers that were rejected together return one after another. One that returns at its time is
//! admitted before others of its rank, as the time was a promise. One that was told none counts from
//! its first arrival, so that it takes no place of a request in time.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, ModelName, Moment, PoolName, fields_hash, scalar};

use crate::PromptPart;

/// Reservations that are kept at most.
///
/// It bounds the memory of the picker to some hundred kilobytes.
const MAX_RESERVATIONS: usize = 4_096;

/// How much earlier than its time a caller may return, as hosts round and clocks drift.
const EARLY_SLACK: Duration = Duration::from_millis(50);

/// How long a reservation is kept after its time until its caller has returned.
const RETURN_SLACK: Duration = Duration::from_secs(2);

/// A return is worth announcing within the time that is left to the caller divided by this.
///
/// Callers honour longer times only up to this part.
const RETURN_DIVISOR: u32 = 3;

scalar! {
    /// Hash of what a request has in common with its retry; equal on all hosts.
    pub struct RequestIdentity(pub u64);
}

impl RequestIdentity {
    /// Computes the hash from that of the request as a whole and its organisation.
    #[must_use]
    pub fn new(whole: PromptPart, organisation: Option<&str>) -> Self {
        let fields = [
            &whole.0.to_be_bytes()[..],
            organisation.unwrap_or("").as_bytes(),
        ];
        // Zero stands for an unknown identity in queries.
        Self(fields_hash(&fields).max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    known: ReturningCaller,
    return_at: Moment,
    until: Moment,
}

/// What is known of a caller that returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturningCaller {
    /// When its first attempt arrived.
    pub first_arrival: Moment,
    /// Whether it was told this time, at which a place is reserved for it.
    pub has_place: bool,
}

/// What a rejected request needs for its return.
#[derive(Clone, Copy, Debug)]
pub struct ReturnQuery {
    /// What the retry will have in common with the request.
    pub identity: RequestIdentity,
    /// When the request arrived.
    pub arrived_at: Moment,
    /// Time until late work is expected to have a place.
    pub delay: Duration,
    /// Mean time between two starts of late work.
    pub interval: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

/// The callers that may return.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    kept: FastMap<RequestIdentity, Vec<Reservation>>,
    count: usize,
    // Time of the last return that was given out.
    last_returns: FastMap<(PoolName, ModelName), Moment>,
}

impl Reservations {
    /// Returns when a rejected caller may return; none if that is not worth it.
    ///
    /// One that returns although it was told no time is also known by its first arrival.
    pub fn reserve(
        &mut self,
        key: (PoolName, ModelName),
        query: &ReturnQuery,
        now: Moment,
    ) -> Option<Duration> {
        if self.count >= MAX_RESERVATIONS {
            return None;
        }
        let earliest = now.after(query.delay);
        let last = self.last_returns.get(&key);
        let next = last.map_or(earliest, |last| last.after(query.interval));
        let return_at = earliest.max(next);
        if return_at > now.after(query.remaining / RETURN_DIVISOR) {
            self.keep(query, false, now);
            return None;
        }
        self.last_returns.insert(key, return_at);
        self.keep(query, true, return_at);
        Some(return_at.since(now))
    }

    fn keep(&mut self, query: &ReturnQuery, has_place: bool, return_at: Moment) {
        self.count += 1;
        self.kept
            .entry(query.identity)
            .or_default()
            .push(Reservation {
                known: ReturningCaller {
                    first_arrival: query.arrived_at,
                    has_place,
                },
                return_at,
                until: return_at.after(RETURN_SLACK),
            });
    }

    /// Takes the reservation of a caller that returns; returns what is known of it.
    ///
    /// A request that arrives before the return time is an equal one of another caller.
    pub fn take(
        &mut self,
        identity: RequestIdentity,
        arrived_at: Moment,
    ) -> Option<ReturningCaller> {
        let kept = self.kept.get_mut(&identity)?;
        let arrived_at = arrived_at.after(EARLY_SLACK);
        let is_due = |reservation: &Reservation| reservation.return_at <= arrived_at;
        let found = kept.swap_remove(kept.iter().position(is_due)?);
        if kept.is_empty() {
            self.kept.remove(&identity);
        }
        self.count -= 1;
        Some(found.known)
    }

    /// Removes reservations whose callers have not returned.
    pub fn expire(&mut self, now: Moment) {
        let mut count = 0;
        self.kept.retain(|_identity, kept| {
            kept.retain(|reservation| now < reservation.until);
            count += kept.len();
            !kept.is_empty()
        });
        self.count = count;
        self.last_returns.retain(|_key, last| now < *last);
    }

    /// Returns how many callers may return.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }
}
