//! Distributed token-bucket rate limiting for each organisation over all hosts.
//!
//! Tokens admitted for an organisation never exceed `rate * t + burst` over any window, over all
//! hosts together. The records of the log's `rights` stream divide each organisation's limit among
//! a few lenders in each zone ([`Ledger`]). Each [`Lender`] keeps a [`Bucket`] of its share and
//! lends tokens from it to a [`Borrower`] on any host. [`Limiter`] combines these parts for one
//! host. Everything is a pure state machine: times, records and messages come in as arguments,
//! [`Effect`]s go out.
//!
//! # Behaviour under partitions and outages
//!
//! A host that is cut off goes on with the shares it holds until its lease expires, then it lends
//! nothing. It may still apply a limit that has been lowered meanwhile. The other lenders reduce
//! their shares to compensate, so the total stays within the lowered limit. Only if the shares of
//! the unreachable hosts alone are larger is their sum in use, until their leases expire.
//!
//! A host can't tell a log outage from a partition, so an outage longer than the lease stops all
//! lending. The share of a host that never returns is unused until a lease and a loan have expired
//! and another host has reclaimed it. A restart at the same address ends that wait at once.
//!
//! # Assumptions
//!
//! The bound holds if all of these do:
//!
//! - Clocks of two hosts differ in rate by at most [`LimitSettings::drift_permille`], and advance
//!   while a host is suspended.
//! - A newer process at an address proves that the older one there has ended.
//! - Incarnation numbers at an address increase.
//! - The ledger receives every record in log order, from the first or from a snapshot.
//! - After a limit is lowered, reachable hosts read the log within
//!   [`LimitSettings::propagation_delay`].
//! - An admission counts at the time that was passed in. A process that is paused between reading
//!   its clock and sending the request sends it later than it was counted.
//!
//! # Known limitation
//!
//! A request that costs more than one lender's part of the burst borrows from several lenders.
//! While demand exceeds the rate, such requests interfere with each other and a part of the rate
//! goes unused. They may wait long when they compete with small requests.
//!
//! # Examples
//!
//! One host, with its own log:
//!
//! ```
//! use std::collections::BTreeMap;
//! use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Organisation, Version, ZoneName};
//! use eelgrasshill_limit::{Admission, Effect, Holder, Limit, LimitSettings, Limiter, Process, Share, AllSafeguards};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let me = Holder {
//!     process: Process { host: HostName::new("entry-1")?, incarnation: Incarnation(1) },
//!     zone: ZoneName::new("duluth-yard")?,
//!     address: "10.0.0.1:7000".parse()?,
//! };
//! let mut now = Moment(0);
//! let mut limiter = Limiter::<AllSafeguards>::new(me.clone(), LimitSettings::default());
//!
//! // The control thread provides the limits and the live hosts.
//! let organisation = OrgName::new("lakeshore")?;
//! let row = Organisation { rate: 100, burst: 500, weight: 1 };
//! let limit = Limit { version: Version(7), share: Share::from(&row) };
//! limiter.configure(Version(7), BTreeMap::from([(organisation.clone(), limit)]), now);
//! limiter.set_members([me]);
//!
//! // The limiter reads its own appends back from the log: limit, assignment and renewal.
//! let mut log = Vec::new();
//! for _round in 0..3 {
//!     for effect in limiter.poll(now) {
//!         if let Effect::Append(record) = effect {
//!             log.push(record.clone());
//!             limiter.read(Offset(log.len() as u64), &record, now);
//!         }
//!     }
//!     now = Moment(now.0 + 2_000);
//! }
//!
//! // A request reserves its whole cost; settling returns the unused tokens once.
//! let Admission::Admitted(reservation) = limiter.admit(&organisation, 400, now) else {
//!     panic!("the first bucket is full");
//! };
//! assert!(matches!(limiter.admit(&organisation, 400, now), Admission::Refused(_)));
//! assert!(limiter.settle(reservation, 150, now));
//! assert!(matches!(limiter.admit(&organisation, 300, now), Admission::Admitted(_)));
//! # Ok(())
//! # }
//! ```
//!
//! With more hosts, send each [`Effect::Borrow`] to its lender, answer it there with
//! [`Limiter::lend`] and pass the reply to [`Limiter::receive`]. After [`Admission::Wait`] the
//! caller tries again on [`Effect::Ready`], or at the given time at the latest.

mod account;
mod admission;
mod amount;
mod borrower;
mod bucket;
mod headroom;
mod ledger;
mod lender;
mod lender_session;
mod limiter;
mod loan;
mod local_lease;
mod message;
mod planner;
mod record;
mod safeguards;
mod settings;
mod wait_queue;

pub use admission::{Admission, Effect, LimitRefusal, ReservationId};
pub use amount::{Amount, Share};
pub use borrower::Borrower;
pub use bucket::Bucket;
pub use ledger::Ledger;
pub use lender::Lender;
pub use limiter::Limiter;
pub use message::{BorrowReply, BorrowRequest, LoanUsage, Process};
pub use record::{
    Account, Allocation, Holder, HolderLease, Limit, RightsOutcome, RightsRecord, RightsRejection,
};
pub use safeguards::{AllSafeguards, Safeguards};
pub use settings::LimitSettings;
