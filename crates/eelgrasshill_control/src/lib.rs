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
//!
//! Claim a call, run it once, record its outcome and answer a repeat:
//!
//! ```
//! use std::time::Duration;
//!
//! use eelgrasshill_control::{
//!     Answer, Body, Call, CallDigest, CallKey, CallOutcome, ClaimBounds, ClaimWriter, Delta, LogTime,
//!     Process, Requester, RequesterEffect, RunEnd, Stored, WriterEffect,
//! };
//! use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, RequestId, StreamName};
//!
//! /// Stands for the log: takes an append and gives back a page with it.
//! fn carry(writer: &mut ClaimWriter, offset: u64) -> Vec<WriterEffect> {
//!     let now = Moment(offset * 1000);
//!     let effects = writer.tick(now);
//!     let Some(WriterEffect::Append { id, batch, .. }) = effects.into_iter().next() else {
//!         return Vec::new();
//!     };
//!     writer.answer(&id, Ok(Offset(offset)), now);
//!     let record = (*batch).clone();
//!     let stored = Stored { offset: Offset(offset), at: LogTime(now.0), id, record };
//!     let page = Delta::new(Offset(offset), vec![stored]);
//!     writer.page(Offset(1), LogTime(0), &page, true, now)
//! }
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let process = Process { address: "10.0.0.1:7000".parse()?, incarnation: Incarnation(1) };
//! let bounds = ClaimBounds::new(Duration::from_secs(24 * 3600));
//! let mut requester = Requester::new(HostName::new("entry-1")?, process, bounds.clone());
//! let mut writer = ClaimWriter::new(StreamName::new("claims-0")?, process, bounds);
//! let call = |request: &str| -> Result<Call, Box<dyn std::error::Error>> {
//!     Ok(Call {
//!         request: RequestId::new(request)?,
//!         key: CallKey::new(None, "reservation-7"),
//!         organisation: None,
//!         digest: CallDigest::new(&[b"POST", b"/reservations", b"{}"]),
//!     })
//! };
//!
//! // Nothing runs before the claim was read back.
//! for effect in requester.begin(call("first")?, Moment(0)) {
//!     if let RequesterEffect::Submit { record, .. } = effect {
//!         writer.submit(record, Moment(0));
//!     }
//! }
//! let decided = carry(&mut writer, 1);
//! let [WriterEffect::Decided(id, verdict)] = &decided[..] else { panic!("{decided:?}") };
//! let effects = requester.decide(*id, verdict, |_process| false, Moment(1000));
//! assert!(matches!(effects[..], [RequesterEffect::Run { .. }]));
//!
//! // The outcome goes into the log.
//! let outcome = CallOutcome::Answered {
//!     status: 201,
//!     kind: "text/plain".to_owned(),
//!     body: Body::new(b"booked"),
//! };
//! for effect in requester.ran(*id, RunEnd::Answered(outcome.clone()), Moment(1500)) {
//!     if let RequesterEffect::Submit { record, .. } = effect {
//!         writer.submit(record, Moment(1500));
//!     }
//! }
//! assert_eq!(carry(&mut writer, 2), [WriterEffect::Recorded(*id)]);
//! requester.recorded(*id);
//! assert!(requester.is_idle());
//!
//! // A repeat gets the recorded answer.
//! let effects = requester.begin(call("second")?, Moment(3000));
//! let [RequesterEffect::Submit { record, .. }] = &effects[..] else { panic!("{effects:?}") };
//! let decided = writer.submit(record.clone(), Moment(3000));
//! let Some(WriterEffect::Decided(id, verdict)) = decided.first() else { panic!("{decided:?}") };
//! let effects = requester.decide(*id, verdict, |_process| false, Moment(3000));
//! let answer = Answer::Recorded(outcome.into());
//! assert!(matches!(&effects[..], [RequesterEffect::Answer { answer: a, .. }] if *a == answer));
//! # Ok(())
//! # }
//! ```

mod access;
mod append;
mod checkpoint;
mod claims;
mod fold;
mod judge;
mod members;
mod path;
mod publish;
mod spread;
mod time;

pub use access::{Access, Ask, Grant, KeyError, Refusal};
pub use append::{Append, AppendError, AppendStep};
pub use checkpoint::{Checkpoint, ConfigEntry, Judged, Mark, Saved, StateDigest, TAKEOVER};
pub use claims::{
    Answer, Body, Call, CallDigest, CallKey, CallOutcome, Claim, ClaimBatch, ClaimBounds,
    ClaimFold, ClaimId, ClaimRecord, ClaimWriter, Held, HexError, MAX_BODY_BYTES, NotRun,
    Requester, RequesterEffect, RunEnd, Verdict, WriterEffect,
};
pub use fold::{Applied, CatchUp, ConfigFold, Gap, MAX_RECENT};
pub use members::{Heartbeat, Listed, MAX_AGE, MAX_SILENCE, Member, Members, Process};
pub use path::PathError;
pub use publish::{Publish, PublishStep};
pub use spread::{Plan, READERS, WRITERS};
pub use time::{Delta, LogTime, Stored};
