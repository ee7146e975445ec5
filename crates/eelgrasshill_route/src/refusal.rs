//! Why a request is not started, and when to come back.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{record, scalar};

scalar! {
    /// Why a request was not started.
    #[derive(Display)]
    pub enum RefusalCause {
        /// The class's queue of the pool holds as many as it may.
        #[display("the queue of its class is full")]
        ClassFull,
        /// The organisation's part of the queue holds as many as it may.
        #[display("the organisation's part of the queue is full")]
        OrganisationFull,
        /// No upstream held the work while the request waited.
        #[display("no upstream holds what it asks for")]
        NoUpstream,
        /// Every upstream stayed full until the request's bound passed.
        #[display("its time to wait has passed")]
        Deadline,
        /// A request with the same id is waiting or running.
        #[display("a request with the same id is open")]
        Duplicate,
    }
}

record! {
    /// A request that was not started.
    #[derive(Copy, Display, Error)]
    #[display("{cause}; try again in {} ms", retry_after.as_millis())]
    pub struct Refusal {
        /// Why.
        pub cause: RefusalCause,
        /// When a new try has a chance.
        pub retry_after: Duration,
    }
}
