//! Messages between a borrower and a lender.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, OrgName, record};

use crate::Amount;

record! {
    /// Identifies a process by its host and incarnation.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Process {
        /// The name of the host.
        pub host: HostName,
        /// The incarnation number, which increases with each start.
        pub incarnation: Incarnation,
    }

    /// Reports how tokens of one loan were used since the last report.
    pub struct LoanUsage {
        /// When the loan was granted, by the lender's clock.
        #[serde(rename = "granted")]
        pub granted_at: Moment,
        /// When the lender stops counting the loan against its cap, by its clock.
        #[serde(rename = "until")]
        pub held_until: Moment,
        /// Tokens that were spent.
        pub spent: Amount,
        /// Tokens that were not spent and never will be.
        pub unspent: Amount,
        /// Tokens that were reported as spent but turned out unused.
        pub refund: Amount,
    }

    /// Asks a lender for tokens and reports on earlier loans.
    ///
    /// It is idempotent by its `number`.
    pub struct BorrowRequest {
        /// The organisation whose tokens are lent.
        pub organisation: OrgName,
        /// The process that is asked to lend.
        #[serde(rename = "home")]
        pub lender: Process,
        /// The process that borrows.
        pub borrower: Process,
        /// A number that increases with each new request to this lender, unchanged on retries.
        pub number: u64,
        /// The number of the last reply that the borrower accepted.
        #[serde(rename = "accepted")]
        pub last_accepted: u64,
        /// The fewest tokens that are of use; the lender lends no less.
        #[serde(rename = "least")]
        pub min_amount: Amount,
        /// The most tokens to lend.
        #[serde(rename = "most")]
        pub max_amount: Amount,
        /// Whether to queue the borrower when the lender has too few tokens now.
        pub queue: bool,
        /// The usage of earlier loans.
        pub usage: Vec<LoanUsage>,
    }

    /// The lender's answer to a [`BorrowRequest`].
    pub struct BorrowReply {
        /// The organisation whose tokens are lent.
        pub organisation: OrgName,
        /// The process that lends.
        #[serde(rename = "home")]
        pub lender: Process,
        /// The process that borrows.
        pub borrower: Process,
        /// The number of the request that it answers.
        pub number: u64,
        /// The amount lent; zero after a refusal.
        pub amount: Amount,
        /// When the loan was granted, by the lender's clock.
        #[serde(rename = "granted")]
        pub granted_at: Moment,
        /// When the lender stops counting the loan against its cap, by its clock.
        #[serde(rename = "until")]
        pub held_until: Moment,
        /// The tokens that the lender could still lend to others.
        pub level: Amount,
        /// The expected time until the lender can lend; zero unless it refused.
        #[serde(rename = "retry")]
        pub retry_after: Duration,
    }
}
