//! What the limiter answers to traffic code and asks of the control thread.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Moment, OrgName, scalar};

use crate::{BorrowRequest, Holder, RightsRecord};

scalar! {
    /// Names one admitted request until it is settled.
    pub struct ReservationId(pub u64);
}

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The whole cost is reserved; settle it once the true cost is known.
    Admitted(ReservationId),
    /// Homes were asked: try again on [`Effect::Ready`], or at this moment at the latest.
    Wait(Moment),
    /// There are too few tokens.
    Refused(Refusal),
}

/// Why a request is not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The organisation is not in the tables.
    #[display("organisation `{organisation}` is not in the tables")]
    Unknown {
        /// The organisation.
        organisation: OrgName,
    },
    /// The cost can never be admitted.
    #[display("the request may cost {cost} tokens, but the burst is {burst}; lower its limit")]
    TooLarge {
        /// The request's cost in tokens.
        cost: u64,
        /// The organisation's burst in tokens.
        burst: u64,
    },
    /// The homes within reach have too few tokens.
    #[display("the organisation is over its rate; retry after {} ms", retry.as_millis())]
    Scarce {
        /// When the tokens will likely be there; a caller may wait that long.
        retry: Duration,
    },
    /// No home of the organisation is known or none can be reached.
    #[display("no home of the organisation is within reach; retry after {} ms", retry.as_millis())]
    Unreachable {
        /// When to try again.
        retry: Duration,
    },
}

/// What the limiter asks of the code that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to a home and pass its reply to `receive`.
    Borrow {
        /// The home.
        lender: Holder,
        /// The request.
        request: BorrowRequest,
    },
    /// Append a record to the `rights` stream.
    ///
    /// It may be dropped when the log is out: what is still needed is asked for again.
    Append(RightsRecord),
    /// A waiting request of the organisation should try again.
    Ready(OrgName),
}
