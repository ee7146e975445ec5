//! The limiter's answers to traffic code and its requests to the code that drives it.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Moment, OrgName, scalar};

use crate::{BorrowRequest, Holder, RightsRecord};

scalar! {
    /// Identifies an admitted request until it is settled.
    pub struct ReservationId(pub u64);
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run: its whole cost is reserved.
    ///
    /// Settle the reservation once the actual cost is known.
    Admitted(ReservationId),
    /// Lenders were asked for tokens.
    ///
    /// Try again on [`Effect::Ready`], or at this time at the latest.
    Wait(Moment),
    /// The request may not run now, for the given reason.
    Refused(LimitRefusal),
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum LimitRefusal {
    /// The organisation is not in the tables.
    #[display("organisation `{organisation}` is not in the tables")]
    Unknown {
        /// The organisation that the request names.
        organisation: OrgName,
    },
    /// The cost exceeds the burst, so it can never be admitted.
    #[display("the request may cost {cost} tokens, but the burst is {burst}; lower its limit")]
    TooLarge {
        /// The cost of the request in tokens.
        cost: u64,
        /// The burst of the organisation in tokens.
        burst: u64,
    },
    /// The reachable lenders have too few tokens.
    #[display("the organisation is over its rate; retry after {} ms", retry.as_millis())]
    Scarce {
        /// The expected time until there are enough tokens.
        retry: Duration,
    },
    /// No lender of the organisation is known, or none can be reached.
    #[display("no home of the organisation is within reach; retry after {} ms", retry.as_millis())]
    Unreachable {
        /// How long to wait before the next attempt.
        retry: Duration,
    },
}

/// An action that the limiter asks its caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to a lender and pass its reply to [`Limiter::receive`](crate::Limiter::receive).
    Borrow {
        /// The process to send the request to.
        lender: Holder,
        /// The request to send.
        request: BorrowRequest,
    },
    /// Append a record to the `rights` stream.
    ///
    /// It may be dropped while the log is unavailable: the limiter asks again for what it needs.
    Append(RightsRecord),
    /// Let the waiting requests of the organisation try again.
    Ready(OrgName),
}
