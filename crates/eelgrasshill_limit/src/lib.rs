//! Decisions on rate and burst of each organisation over all hosts.
//!
//! Tokens admitted for an organisation never exceed `rate * t + burst` over any window, over all
//! hosts together. The right to accrue is divided among a few homes in each zone by records of the
//! log's `rights` stream ([`Ledger`]); each [`Lender`] keeps a [`Bucket`] of its share and lends from
//! it to a [`Borrower`] on any host. [`Limiter`] joins them for one host. Everything is a pure state
//! machine: moments, records and messages come in as arguments, [`Effect`]s go out.
//!
//! # What holds for a host that is cut off
//!
//! It goes on with the shares it holds until its lease ends, then it lends nothing. It may be using
//! a limit that was lowered meanwhile: the others make room for it, so the sum keeps the lowered
//! limit unless the cut-off shares alone are more than that; then those are what is used, until
//! the lease ends. An outage of the log that is longer than the lease stops all lending, since no
//! host can tell it from a cut. A share whose holder never returns is out of use until a lease and a
//! loan have passed and another host has reclaimed it; a restart at the same address ends that wait
//! at once.
//!
//! # What the bound rests on
//!
//! - Clocks of two hosts differ in rate by at most `drift`, and count while a host is suspended.
//! - A newer process at an address proves that the older one there has ended.
//! - Incarnations at an address rise.
//! - The ledger is fed every record in log order, from the first or from a snapshot.
//! - After a lowered limit, reachable hosts read the log within the `grace` time.
//! - An admission counts at the moment that was passed in; a process that is paused between
//!   reading its clock and sending the request sends it later than it was counted.
//!
//! # Known weakness
//!
//! A request that costs more than one home's part of the burst is gathered from several homes.
//! While demand stays above the rate, such requests disturb each other and a part of the rate goes
//! unused; they may wait long beside small ones.
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
//! // The tables and the members come from the control thread.
//! let organisation = OrgName::new("lakeshore")?;
//! let row = Organisation { rate: 100, burst: 500, weight: 1 };
//! let limit = Limit { version: Version(7), share: Share::from(&row) };
//! limiter.configure(Version(7), BTreeMap::from([(organisation.clone(), limit)]), now);
//! limiter.set_members([me]);
//!
//! // What the limiter appends is read back from the log: limit, assignment and renewal.
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
//! // Traffic: the whole cost is reserved, and what was not used is given back once.
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
//! With more hosts, send each [`Effect::Borrow`] to its home, answer it there by
//! [`Limiter::lend`] and pass the reply to [`Limiter::receive`]. A caller that was told to wait
//! tries again on [`Effect::Ready`] or when the moment has come.

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

pub use admission::{Admission, Effect, Refusal, ReservationId};
pub use amount::{Amount, Share};
pub use borrower::Borrower;
pub use bucket::Bucket;
pub use ledger::Ledger;
pub use lender::Lender;
pub use limiter::Limiter;
pub use message::{BorrowReply, BorrowRequest, LoanUsage, Process};
pub use record::{
    Account, Allocation, Holder, Lease, Limit, RightsOutcome, RightsRecord, RightsRejection,
};
pub use safeguards::{AllSafeguards, Safeguards};
pub use settings::LimitSettings;
