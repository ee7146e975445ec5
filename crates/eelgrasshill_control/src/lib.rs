//! Decisions of one host on configuration, membership and claims.
//!
//! Nothing here does I/O, reads a clock or starts a thread: time and whatever
//! comes from outside are arguments, and what is to be done comes back as values.
//!
//! # Examples
//!
//! Fold an edit and a key, then resolve that key and a path to a route:
//!
//! ```
//! use std::time::Duration;
//!
//! use eelgrasshill_control::{Access, Ask, ConfigEntry, ConfigFold, LogTime, Stored};
//! use eelgrasshill_domain::{
//!     AppendId, Caller, Class, ConfigRecord, Edit, KeyGrant, KeyId, KeyText, Offset, OnStale,
//!     OrgName, Organisation, Pool, PoolKind, PoolName, Repeat, Route, RouteName, Row, RowChange,
//!     RowKey, Target, Version,
//! };
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let organisation = OrgName::new("towns")?;
//! let pool = PoolName::new("yard")?;
//! let route = Route {
//!     caller: Caller::Organisation(organisation.clone()),
//!     target: Target::Path("/reservations".to_owned()),
//!     pool: pool.clone(),
//!     class: Class::Urgent,
//!     repeat: Repeat::Never,
//!     on_stale: OnStale::Serve,
//! };
//! let rows = [
//!     (
//!         RowKey::Organisation(organisation.clone()),
//!         Row::from(Organisation { rate: 100, burst: 500, weight: 1 }),
//!     ),
//!     (RowKey::Pool(pool), Row::from(Pool { kind: PoolKind::Plain })),
//!     (RowKey::Route(RouteName::new("book")?), Row::from(route)),
//! ];
//! let changes = rows
//!     .into_iter()
//!     .map(|(key, row)| RowChange { key, base: Version(0), row: Some(row) })
//!     .collect();
//! let edit = ConfigRecord::Edit(Edit { author: "operator".to_owned(), changes });
//! let id = KeyId::new("desk")?;
//! let key = KeyText::issue(&id, &[7; 32]);
//! let grant = KeyGrant { digest: key.digest(), organisation: organisation.clone() };
//!
//! let mut fold = ConfigFold::new();
//! for (offset, record) in [(1, edit), (2, ConfigRecord::IssueKey { id, grant })] {
//!     fold.apply(&Stored {
//!         offset: Offset(offset),
//!         at: LogTime(offset),
//!         id: AppendId::new(&format!("append-{offset}"))?,
//!         record: ConfigEntry::from(record),
//!     });
//! }
//! let access = Access::new(&fold);
//! let granted = access.resolve(Some(&key), Ask::Path("/reservations/12"), Duration::ZERO)?;
//! assert_eq!(granted.organisation, Some(organisation));
//! assert!(access.resolve(None, Ask::Path("/reservations/12"), Duration::ZERO).is_err());
//! # Ok(())
//! # }
//! ```

mod access;
mod checkpoint;
mod fold;
mod judge;
mod members;
mod path;
mod spread;
mod time;

pub use access::{Access, Ask, Grant, KeyError, Refusal};
pub use checkpoint::{Checkpoint, ConfigEntry, Judged, Mark, Saved, StateDigest, TAKEOVER};
pub use fold::{Applied, CatchUp, ConfigFold, Gap, MAX_RECENT};
pub use members::{Heartbeat, Listed, MAX_AGE, MAX_SILENCE, Member, Members, Process};
pub use path::PathError;
pub use spread::{Plan, READERS, WRITERS};
pub use time::{Delta, LogTime, Stored};
