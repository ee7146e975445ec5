//! Messages between a borrower and a home, as plain data.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, OrgName, record};

use crate::Amount;

record! {
    /// One process at one time: a host's name and its incarnation.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Process {
        /// The host.
        pub host: HostName,
        /// The incarnation of the process on it.
        pub incarnation: Incarnation,
    }

    /// What became of tokens of one loan since the last report.
    pub struct LoanUsage {
        /// When the loan was granted, by the home's clock.
        #[serde(rename = "granted")]
        pub granted_at: Moment,
        /// When the home's hold ends, by the home's clock.
        #[serde(rename = "until")]
        pub held_until: Moment,
        /// Tokens that were spent.
        pub spent: Amount,
        /// Tokens that were not spent and never will be.
        pub unspent: Amount,
        /// Tokens that were reported as spent and then not used.
        pub refund: Amount,
    }

    /// Asks a home for tokens and reports on earlier loans; idempotent by its number.
    pub struct BorrowRequest {
        /// The organisation.
        pub organisation: OrgName,
        /// The process that holds the right to accrue.
        #[serde(rename = "home")]
        pub lender: Process,
        /// The process that borrows.
        pub borrower: Process,
        /// Rises with each new request of this borrower to this home; the same on a retry.
        pub number: u64,
        /// The number of the last reply that the borrower accepted.
        #[serde(rename = "accepted")]
        pub last_accepted: u64,
        /// Fewer tokens than these are of no use.
        #[serde(rename = "least")]
        pub min_amount: Amount,
        /// Most tokens to lend.
        #[serde(rename = "most")]
        pub max_amount: Amount,
        /// Whether the home should keep a turn for the borrower when it has too little now.
        pub queue: bool,
        /// What became of earlier loans.
        pub usage: Vec<LoanUsage>,
    }

    /// A home's answer to a request.
    pub struct BorrowReply {
        /// The organisation.
        pub organisation: OrgName,
        /// The process that lends.
        #[serde(rename = "home")]
        pub lender: Process,
        /// The process that borrows.
        pub borrower: Process,
        /// The number of the request.
        pub number: u64,
        /// The tokens lent.
        pub amount: Amount,
        /// When they were granted, by the home's clock.
        #[serde(rename = "granted")]
        pub granted_at: Moment,
        /// When the home's hold ends, by the home's clock.
        #[serde(rename = "until")]
        pub held_until: Moment,
        /// The tokens that the home could still lend to others.
        pub level: Amount,
        /// After a refusal, when the borrower's turn will likely come.
        #[serde(rename = "retry")]
        pub retry_after: Duration,
    }
}
