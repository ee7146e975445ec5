//! Decision logic for requests that are proxied unmodified.
//!
//! Upstream selection, rate limits, retries, the exchange of state between hosts, and model
//! placement on engines. The crate does no I/O: time, randomness and outside events are arguments.

mod admission;
mod cold_engines;
mod config_in_force;
mod crashing_parts;
mod demand;
mod engine_picker;
mod engine_rests;
mod engine_speeds;
mod era;
mod event_intervals;
mod events;
mod fair_shares;
mod health;
mod home_regions;
mod key_age;
mod keyed;
mod known_upstreams;
mod late_admission;
mod lease;
mod leaving_notices;
mod news_limit;
mod picker_host;
mod placement;
mod prompt_part;
mod rate_limiter;
mod read_policy;
mod request_work;
mod reservations;
mod retries;
mod selection;
mod software_versions;
mod start_wait;
mod stream_handover;
mod tables;
mod totals;
mod tree;
mod upstream_loads;

pub use admission::{AdmissionLimits, caller_patience};
pub use cold_engines::{ColdBound, ColdEngines, ColdRule};
pub use config_in_force::ConfigInForce;
pub use crashing_parts::{Accusation, CrashId, CrashingParts, PartRefusal, ProbeTurn, ProbedParts};
pub use demand::{ModelKey, SmoothedDemand};
pub use engine_picker::{EnginePicker, Pick, PickCandidate, PromptQuery, Ticket};
pub use engine_rests::EngineRests;
pub use engine_speeds::{AnswerStart, EngineSpeeds};
pub use era::Era;
pub use event_intervals::EventIntervals;
pub use events::{EventSplitter, has_content};
pub use fair_shares::{FairShares, OrganisationHash};
pub use health::{RequestOutcome, UpstreamHealth};
pub use home_regions::HomeRegions;
pub use key_age::MaxKeyAge;
pub use keyed::{KeyedRecord, KeyedTopic, TopicChanges, TopicUpdate};
pub use known_upstreams::{KnownUpstreams, ResidentModel, Upstream};
pub use late_admission::is_admitted_late;
pub use lease::{Lease, LeaseRecord, LeaseWrite};
pub use leaving_notices::{LeavingNotice, LeavingNotices};
pub use news_limit::NewsLimit;
pub use picker_host::PickerHost;
pub use placement::{
    Action, Availability, EngineReport, EngineState, HoldingsUpdate, Miss, NextCall, OrderOutcome,
    PlacementPlanner,
};
pub use prompt_part::PromptPart;
pub use rate_limiter::{HostCounts, RateExceeded, RateLimiter, SpentTokens};
pub use read_policy::{ReadPolicy, ReadState};
pub use request_work::AnswerTimes;
pub use reservations::{RequestIdentity, Reservations, ReturnQuery, ReturningCaller};
pub use retries::{RetryBudget, RetrySettings};
pub use selection::{Candidate, NoUpstream, SelectionSettings, UpstreamQuery, UpstreamSelector};
pub use software_versions::{
    BaseVersion, BaseWish, PresentVersion, Resolution, SoftwareVersion, SoftwareVersions,
    StartRule, StreamId, StreamRecord, StreamVersions, VersionError, VersionSource, add_stream,
};
pub use start_wait::{START_PERCENT, max_start_wait};
pub use stream_handover::{LaterAttempt, REFUSAL_WINDOW, SilencePolicy, can_go_on_in_time};
pub use tables::{
    CallerBounds, EnginePool, Model, Organisation, Repeat, Route, Tables, WeightedPool,
};
pub use totals::{HostHash, PeerRole, ReceivedTotals, Totals, TotalsSender};
pub use tree::{Capacity, Peer, Tree, TreePosition};
pub use upstream_loads::{RANKS, UpstreamLoad, UpstreamLoads};
