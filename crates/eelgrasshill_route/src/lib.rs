//! Decisions on queueing, choice of upstream, retry and resumption.
//!
//! All of it is pure: time, randomness and what happened outside are arguments.
//!
//! # Examples
//!
//! One request from its offer to its last token:
//!
//! ```
//! use eelgrasshill_domain::{
//!     Class, HostName, ModelName, Moment, NameError, OrgName, PoolName, Repeat, RequestId,
//!     ZoneName,
//! };
//! use eelgrasshill_route::{
//!     Attempt, Call, Decision, DispatchSettings, Dispatcher, Observation, PrefixTwo, Report,
//!     Resident, Resumption, StreamAction, StreamEvent, Ticket, TicketId, Upstream, View, Work,
//! };
//!
//! # fn main() -> Result<(), NameError> {
//! // The control thread makes a view of what it knows of the upstreams.
//! let pool = PoolName::new("pole-assist")?;
//! let zone = ZoneName::new("duluth-yard")?;
//! let model = ModelName::new("planner")?;
//! let engine = Upstream::new(HostName::new("engine-1")?, pool.clone(), zone.clone())
//!     .with_resident(Resident {
//!         model: model.clone(),
//!         version: "3".to_owned(),
//!         adapters: Vec::new(),
//!     })
//!     .with_report(Report {
//!         running: 2,
//!         waiting: 0,
//!         slots: 16,
//!         taken: Moment(900),
//!     });
//! let view = View::new(&zone, vec![engine]);
//!
//! // A traffic thread offers its request and polls.
//! let settings = DispatchSettings::default();
//! let bounds = *settings.bounds.of(Class::Interactive);
//! let mut dispatcher = Dispatcher::new(settings, PrefixTwo);
//! let (id, now) = (TicketId(1), Moment(1_000));
//! let deadline = now.after(bounds.queue_wait);
//! let ticket = Ticket::new(id, Class::Interactive, pool, Work::new(model), 350, deadline)
//!     .with_organisation(OrgName::new("lakeshore")?);
//! let call = Call::new(Repeat::Allowed);
//! assert_eq!(dispatcher.offer(ticket, now), Ok(()));
//! let decisions = dispatcher.poll(&view, now);
//! let [Decision::Start { host, .. }] = decisions.as_slice() else {
//!     panic!("the engine has room");
//! };
//!
//! // From here on the request can no longer be refused as not run.
//! let sent = call.send();
//! let request = RequestId::new("r-1")?;
//! let mut stream =
//!     Resumption::new(request.clone(), Repeat::Allowed, &bounds, host.clone(), now);
//! let (first, later) = (Attempt(0), Moment(1_300));
//! assert_eq!(stream.step(first, StreamEvent::Opened, now), None);
//! let chunk = StreamEvent::Chunk { request: request.clone(), index: 0, text: "Raise" };
//! assert_eq!(
//!     stream.step(first, chunk, later),
//!     Some(StreamAction::Forward { index: 0, text: "Raise" }),
//! );
//! dispatcher.observe(host, Observation::Answered { opened: now }, later);
//! let done = StreamEvent::Done { request, total: 1 };
//! assert_eq!(stream.step(first, done, later), Some(StreamAction::Finish));
//! let _ran = sent.answer();
//! assert!(dispatcher.finish(id, later));
//! # Ok(())
//! # }
//! ```

mod budget;
mod call;
mod dispatcher;
mod drain;
mod fleet;
mod health;
mod ledger;
mod miss;
mod pace;
mod policy;
mod pool;
mod queue;
mod refusal;
mod resumption;
mod settings;
mod stream;
mod ticket;
mod usage;
mod view;

pub use budget::{RetryBudget, RetrySettings};
pub use call::{Call, NotRun, RetryError, RunState, Sent, Unsent};
pub use dispatcher::{Cancelled, Decision, Dispatcher};
pub use drain::{Admission, Drain, DrainAction, DrainEvent, DrainSettings, DrainState};
pub use health::{Health, Observation, Standing};
pub use miss::Miss;
pub use pace::{PaceSettings, Pacer};
pub use policy::{Candidate, ChoicePolicy, LeastLoaded, PrefixTwo, Random};
pub use refusal::{Refusal, RefusalCause};
pub use resumption::Resumption;
pub use settings::{Bounds, ClassBounds, ClassFill, DispatchSettings, Order};
pub use stream::{
    Attempt, LeaveCause, ResumeAt, ResumeSettings, StreamAction, StreamEvent, StreamFailure,
};
pub use ticket::{PrefixHash, Ticket, TicketId, Work};
pub use view::{Presence, Report, Resident, Upstream, View};
