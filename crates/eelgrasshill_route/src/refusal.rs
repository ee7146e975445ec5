//! Refusals: why a request was not started, and when to retry.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{record, scalar};

scalar! {
    /// Why a request was not started.
    #[derive(Display)]
    pub enum RefusalCause {
        /// The queue of the request's class and pool is full.
        #[display("the queue of its class is full")]
        ClassFull,
        /// The organisation has too many waiting requests in this queue.
        #[display("the organisation's part of the queue is full")]
        OrganisationFull,
        /// No upstream of the pool met the requirement while the request waited.
        #[display("no upstream holds what it asks for")]
        NoUpstream,
        /// The request's time to wait has passed, perhaps while all upstreams were full.
        #[display("its time to wait has passed")]
        Deadline,
        /// A request with the same id is waiting or running.
        #[display("a request with the same id is open")]
        Duplicate,
    }
}

record! {
    /// Refusal of a request that was not started.
    #[derive(Copy, Display, Error)]
    #[display("{cause}; try again in {} ms", retry_after.as_millis())]
    pub struct Refusal {
        /// Reason for the refusal.
        pub cause: RefusalCause,
        /// Delay after which a retry has a chance.
        pub retry_after: Duration,
    }
}
