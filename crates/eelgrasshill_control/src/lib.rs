//! Decides configuration, access, membership and claims for one entry host.
//!
//! The crate does no I/O, reads no clock and starts no thread. Time and input
//! are arguments; the actions that the host has to take are returned as values.
//!
//! # Examples
//!
//! Apply an edit and a new key, then resolve that key and a path to a route:
//!
//! ```
//! use std::time::Duration;
//!
//! use eelgrasshill_control::{Access, RequestTarget, ConfigEntry, ConfigFold, LogTime, LogEntry};
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
//!     fold.apply(&LogEntry {
//!         offset: Offset(offset),
//!         at: LogTime(offset),
//!         id: AppendId::new(&format!("append-{offset}"))?,
//!         record: ConfigEntry::from(record),
//!     });
//! }
//! let access = Access::new(&fold);
//! let granted = access.resolve(Some(&key), RequestTarget::Path("/reservations/12"), Duration::ZERO)?;
//! assert_eq!(granted.organisation, Some(organisation));
//! assert!(access.resolve(None, RequestTarget::Path("/reservations/12"), Duration::ZERO).is_err());
//! # Ok(())
//! # }
//! ```
//!
//! Claim a call, run it once, record its outcome and answer a repeated request:
//!
//! ```
//! use std::time::Duration;
//!
//! use eelgrasshill_control::{
//!     Body, CallAnswer, CallDigest, CallKey, CallOutcome, CallRequest, ClaimBounds, ClaimWriter,
//!     Delta, LogEntry, LogTime, Process, Requester, RequesterEffect, RunResult, WriterEffect,
//! };
//! use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, RequestId, StreamName};
//!
//! /// Simulates the log: accepts the pending append and returns it in a page.
//! fn append_and_read_back(writer: &mut ClaimWriter, offset: u64) -> Vec<WriterEffect> {
//!     let now = Moment(offset * 1000);
//!     let effects = writer.tick(now);
//!     let Some(WriterEffect::Append { id, batch, .. }) = effects.into_iter().next() else {
//!         return Vec::new();
//!     };
//!     writer.handle_answer(&id, Ok(Offset(offset)), now);
//!     let record = (*batch).clone();
//!     let stored = LogEntry { offset: Offset(offset), at: LogTime(now.0), id, record };
//!     let page = Delta::new(Offset(offset), vec![stored]);
//!     writer.handle_page(Offset(1), LogTime(0), &page, true, now)
//! }
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let process = Process { address: "10.0.0.1:7000".parse()?, incarnation: Incarnation(1) };
//! let bounds = ClaimBounds::new(Duration::from_secs(24 * 3600));
//! let mut requester = Requester::new(HostName::new("entry-1")?, process, bounds.clone());
//! let mut writer = ClaimWriter::new(StreamName::new("claims-0")?, process, bounds);
//! let call = |request: &str| -> Result<CallRequest, Box<dyn std::error::Error>> {
//!     Ok(CallRequest {
//!         request: RequestId::new(request)?,
//!         key: CallKey::new(None, "reservation-7"),
//!         organisation: None,
//!         digest: CallDigest::new(&[b"POST", b"/reservations", b"{}"]),
//!     })
//! };
//!
//! // The call is not run before the claim has been read back from the log.
//! for effect in requester.begin(call("first")?, Moment(0)) {
//!     if let RequesterEffect::Submit { record, .. } = effect {
//!         writer.submit(record, Moment(0));
//!     }
//! }
//! let decided = append_and_read_back(&mut writer, 1);
//! let [WriterEffect::Decided(id, verdict)] = &decided[..] else { panic!("{decided:?}") };
//! let effects = requester.handle_verdict(*id, verdict, |_process| false, Moment(1000));
//! assert!(matches!(effects[..], [RequesterEffect::Run { .. }]));
//!
//! // The outcome is appended to the log.
//! let outcome = CallOutcome::Answered {
//!     status: 201,
//!     media_type: "text/plain".to_owned(),
//!     body: Body::new(b"booked"),
//! };
//! for effect in requester.handle_run_result(*id, RunResult::Answered(outcome.clone()), Moment(1500)) {
//!     if let RequesterEffect::Submit { record, .. } = effect {
//!         writer.submit(record, Moment(1500));
//!     }
//! }
//! assert_eq!(append_and_read_back(&mut writer, 2), [WriterEffect::Recorded(*id)]);
//! requester.mark_recorded(*id);
//! assert!(requester.is_idle());
//!
//! // A repeated request gets the recorded answer.
//! let effects = requester.begin(call("second")?, Moment(3000));
//! let [RequesterEffect::Submit { record, .. }] = &effects[..] else { panic!("{effects:?}") };
//! let decided = writer.submit(record.clone(), Moment(3000));
//! let Some(WriterEffect::Decided(id, verdict)) = decided.first() else { panic!("{decided:?}") };
//! let effects = requester.handle_verdict(*id, verdict, |_process| false, Moment(3000));
//! let answer = CallAnswer::Recorded(outcome.into());
//! assert!(matches!(&effects[..], [RequesterEffect::Answer { answer: a, .. }] if *a == answer));
//! # Ok(())
//! # }
//! ```

mod access;
mod append;
mod assignment;
mod checkpoint;
mod claims;
mod config_state;
mod fold;
mod log_entry;
mod members;
mod path;
mod publication;

pub use access::{Access, AccessRefusal, Grant, KeyError, RequestTarget};
pub use append::{Append, AppendError, AppendStep};
pub use assignment::{READERS_PER_ZONE, ReadPlan, WRITERS_PER_ZONE};
pub use checkpoint::{
    CHECKPOINT_TAKEOVER_INTERVAL, Checkpoint, CheckpointMark, ConfigEntry, JudgedAppend,
    SavedCheckpoint, StateDigest,
};
pub use claims::{
    Body, CallAnswer, CallDigest, CallKey, CallOutcome, CallRequest, Claim, ClaimBatch,
    ClaimBounds, ClaimFold, ClaimId, ClaimRecord, ClaimWriter, HexError, MAX_BODY_BYTES,
    NotRunReason, Requester, RequesterEffect, RunResult, Verdict, WinnerState, WriterEffect,
};
pub use fold::{ApplyOutcome, CatchUp, ConfigFold, Gap, MAX_RECENT_VERDICTS};
pub use log_entry::{Delta, LogEntry, LogTime};
pub use members::{Heartbeat, ListedHost, MAX_SILENCE, MAX_TABLES_AGE, Member, Members, Process};
pub use path::PathError;
pub use publication::{Publication, PublishStep};
