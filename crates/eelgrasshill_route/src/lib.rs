//! Decisions on queueing, choice of upstream, retries and resumed streams.
//!
//! The code does no input or output: time, randomness and outside events are arguments.
//!
//! # Examples
//!
//! One request, from its offer to its last token:
//!
//! ```
//! use eelgrasshill_domain::{
//!     Class, HostName, ModelName, Moment, NameError, OrgName, PoolName, Repeat, RequestId,
//!     ZoneName,
//! };
//! use eelgrasshill_route::{
//!     Attempt, Call, ConnectionOutcome, Decision, DispatchSettings, Dispatcher, PrefixTwoChoices,
//!     Requirement, ResidentModel, ResumableStream, StreamAction, StreamEvent, Ticket, TicketId,
//!     Upstream, UpstreamReport, View,
//! };
//!
//! # fn main() -> Result<(), NameError> {
//! // The control thread builds a view of the upstreams.
//! let pool = PoolName::new("pole-assist")?;
//! let zone = ZoneName::new("duluth-yard")?;
//! let model = ModelName::new("planner")?;
//! let engine = Upstream::new(HostName::new("engine-1")?, pool.clone(), zone.clone())
//!     .with_resident(ResidentModel {
//!         model: model.clone(),
//!         version: "3".to_owned(),
//!         adapters: Vec::new(),
//!     })
//!     .with_report(UpstreamReport {
//!         running: 2,
//!         waiting: 0,
//!         slots: 16,
//!         taken_at: Moment(900),
//!     });
//! let view = View::new(&zone, vec![engine]);
//!
//! // A traffic thread offers its request and polls the dispatcher.
//! let settings = DispatchSettings::default();
//! let timeouts = *settings.timeouts.of(Class::Interactive);
//! let mut dispatcher = Dispatcher::new(settings, PrefixTwoChoices);
//! let (id, now) = (TicketId(1), Moment(1_000));
//! let deadline = now.after(timeouts.queue_wait);
//! let ticket = Ticket::new(id, Class::Interactive, pool, Requirement::new(model), 350, deadline)
//!     .with_organisation(OrgName::new("lakeshore")?);
//! let call = Call::new(Repeat::Allowed);
//! assert_eq!(dispatcher.offer(ticket, now), Ok(()));
//! let decisions = dispatcher.poll(&view, now);
//! let [Decision::Start { host, .. }] = decisions.as_slice() else {
//!     panic!("the engine has room, so the request starts");
//! };
//!
//! // Once it is sent, the request can no longer be refused as not run.
//! let sent = call.send();
//! let request = RequestId::new("r-1")?;
//! let mut stream =
//!     ResumableStream::new(request.clone(), Repeat::Allowed, &timeouts, host.clone(), now);
//! let (first, later) = (Attempt(0), Moment(1_300));
//! assert_eq!(stream.step(first, StreamEvent::Opened, now), None);
//! let chunk = StreamEvent::Chunk { request: request.clone(), index: 0, text: "Raise" };
//! assert_eq!(
//!     stream.step(first, chunk, later),
//!     Some(StreamAction::Forward { index: 0, text: "Raise" }),
//! );
//! dispatcher.observe(host, ConnectionOutcome::Answered { opened: now }, later);
//! let done = StreamEvent::Done { request, total: 1 };
//! assert_eq!(stream.step(first, done, later), Some(StreamAction::Finish));
//! let _ran = sent.answer();
//! assert!(dispatcher.finish(id, later));
//! # Ok(())
//! # }
//! ```

mod budget;
mod call;
mod concurrency;
mod dispatcher;
mod drain;
mod health;
mod host_load;
mod miss;
mod policy;
mod pool;
mod queue;
mod refusal;
mod resumable_stream;
mod settings;
mod stream;
mod ticket;
mod tracker;
mod usage;
mod view;

pub use budget::{RetryBudget, RetrySettings};
pub use call::{Call, NotRun, RetryError, RunState, Sent, Unsent};
pub use concurrency::{ConcurrencyLimiter, ConcurrencySettings};
pub use dispatcher::{Cancelled, Decision, Dispatcher};
pub use drain::{Drain, DrainAction, DrainDecision, DrainEvent, DrainSettings, DrainState};
pub use health::{ConnectionOutcome, Health, HealthState};
pub use miss::Miss;
pub use policy::{Candidate, ChoicePolicy, LeastLoaded, PrefixTwoChoices, Random};
pub use refusal::{Refusal, RefusalCause};
pub use resumable_stream::ResumableStream;
pub use settings::{ClassFill, ClassTimeouts, DispatchSettings, QueueOrder, Timeouts};
pub use stream::{
    Attempt, DisconnectCause, ResumeAt, ResumeSettings, StreamAction, StreamEvent, StreamFailure,
};
pub use ticket::{PrefixHash, Requirement, Ticket, TicketId};
pub use view::{Presence, ResidentModel, Upstream, UpstreamReport, View};
