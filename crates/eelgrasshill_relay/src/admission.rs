//! Who is admitted to an engine, who waits, and who is rejected.
//!
//! Requests that can still start within their objective go first, by rank and by the latest moment
//! at which they must start. Those that cannot are late work: a late answer is worth less to its
//! caller than one in time, but more than a rejection. Late work starts only where it leaves room
//! for requests in time, in the order of arrival, and only while its caller still waits.
//!
//! The load pattern is a burst of some seconds. Requests rejected in it return once, late already and
//! behind all new ones, and are rejected again while engines are free a second later.

use std::time::Duration;

use eelgrasshill_domain::Moment;

/// Shortest silence after which a caller of a stream disconnects.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Callers wait for this many times the objective.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Callers wait for this many times the route's longest pause.
const PATIENCE_PAUSES: u32 = 8;

/// Part of the time for which a caller waits that may pass until its request starts, in percent.
///
/// The rest covers the way back and errors of the estimate.
const PATIENCE_PERCENT: u32 = 90;

/// Time that each rank puts late work back in the order of arrival.
///
/// It bounds how long late work of a less urgent rank yields to newer work.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// Time before the latest start of a request from which on it may take an engine's last slots.
const GAP_SLACK: Duration = Duration::from_secs(1);

/// Part of an engine's slots that patient and late work leave free, as a divisor.
///
/// A slot is taken for the whole answer, so an urgent request that finds none waits too long.
const RESERVE_DIVISOR: u32 = 16;

/// Part of the accepted interruption that prompts of late work may fill up, in percent.
const LATE_ROOM_PERCENT: u32 = 50;

/// Part of the objective after which a request that waits is no longer rejected, in percent.
///
/// By then a rejection costs its caller more than the rest of the wait.
const REJECT_PERCENT: u32 = 50;

/// Smallest part of an engine's starts that late work is expected to get, in percent.
///
/// While requests in time take all starts, the part that is left is not known.
const MIN_LATE_SHARE_PERCENT: u32 = 12;

/// Part of the mean share that each start replaces, as a divisor.
const SHARE_GAIN_DIVISOR: f64 = 16.0;

/// Bounds of the policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Late requests that may wait for one engine; with zero, requests that would be late are
    /// rejected.
    pub late_queue: u32,
    /// Whether organisations that used much start later.
    pub has_shares: bool,
}

/// Place of a waiting request in the order in which requests start; a lesser one starts earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// The request can start within its objective.
    InTime {
        /// Its rank.
        rank: u8,
        /// Latest start, put back by what its organisation used recently.
        fair_start: Moment,
        /// Latest moment at which it must start.
        start_by: Moment,
    },
    /// The request can only be answered late.
    Late {
        /// When it arrived, put back by its rank and by what its organisation used recently.
        since: Moment,
    },
}

impl Turn {
    /// Returns the turn of a request that can only be answered late.
    #[must_use]
    pub fn late(rank: u8, elapsed: Duration, share_delay: Duration, now: Moment) -> Self {
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let arrived_at = Moment(now.0.saturating_sub(elapsed_ms));
        Self::Late {
            since: arrived_at.after(RANK_DELAY * u32::from(rank) + share_delay),
        }
    }

    /// Returns whether the request is in time and starts later because of its organisation's use.
    #[must_use]
    pub fn is_delayed(self) -> bool {
        matches!(self, Self::InTime { fair_start, start_by, .. } if fair_start > start_by)
    }

    /// Returns whether the request can only be answered late.
    #[must_use]
    pub fn is_late(self) -> bool {
        matches!(self, Self::Late { .. })
    }
}

/// Returns the silence after which the caller of a stream disconnects.
#[must_use]
pub fn caller_patience(objective: Duration, max_pause: Option<Duration>) -> Duration {
    let by_pause = max_pause.unwrap_or_default() * PATIENCE_PAUSES;
    MIN_PATIENCE
        .max(objective * PATIENCE_OBJECTIVES)
        .max(by_pause)
}

/// Returns how long late work may still wait, so that its first event finds its caller.
#[must_use]
pub fn late_wait(patience: Duration, prompt_time: Duration, elapsed: Duration) -> Duration {
    (patience * PATIENCE_PERCENT / 100)
        .saturating_sub(prompt_time)
        .saturating_sub(elapsed)
}

/// Returns whether a request that waits may still be rejected.
#[must_use]
pub fn may_reject(objective: Duration, elapsed: Duration) -> bool {
    elapsed < objective * REJECT_PERCENT / 100
}

/// Part of an engine that a request may fill up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// All of it.
    Whole,
    /// What is left beside a reserve for requests that can be in time only if they start soon.
    Gaps,
}

impl Claim {
    /// Returns the claim of a request, from its turn.
    #[must_use]
    pub fn new(turn: Turn, now: Moment) -> Self {
        match turn {
            Turn::InTime { start_by, .. } if start_by.since(now) <= GAP_SLACK => Self::Whole,
            Turn::InTime { .. } | Turn::Late { .. } => Self::Gaps,
        }
    }

    /// Returns how many of an engine's slots the request may fill up.
    #[must_use]
    pub fn slots(self, slots: u32) -> u32 {
        match self {
            Self::Whole => slots,
            Self::Gaps => (slots - slots.div_ceil(RESERVE_DIVISOR)).max(1),
        }
    }
}

/// Returns how long the prompts before a request and its own may interrupt streams.
///
/// `room` is the time that prompts may take, `own_time` the time of the request's own. A prompt of
/// late work that does not fit beside others goes where there are none.
#[must_use]
pub fn usable_room(turn: Turn, room: Duration, own_time: Duration) -> Duration {
    if turn.is_late() {
        (room * LATE_ROOM_PERCENT / 100).max(own_time)
    } else {
        room
    }
}

/// Part of an engine's recent starts that was late work.
///
/// While requests in time arrive at the rate at which an engine takes them, late work waits for the
/// end of the burst, however few requests are before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateShare {
    mean: f64,
}

impl LateShare {
    /// Records the start of a request.
    pub fn record(&mut self, turn: Turn) {
        let share = if turn.is_late() { 1.0 } else { 0.0 };
        self.mean += (share - self.mean) / SHARE_GAIN_DIVISOR;
    }

    /// Returns the time until a request's turn, from what it is without further requests in time.
    #[must_use]
    pub fn stretch(self, delay: Duration) -> Duration {
        delay.div_f64(self.mean.max(f64::from(MIN_LATE_SHARE_PERCENT) / 100.0))
    }
}
