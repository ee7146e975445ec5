//! Messages to the control actor.

use std::time::Duration;

use actix::Message;
use eelgrasshill_control::{AppendError, ClaimId, Heartbeat};
use eelgrasshill_domain::{AppendId, HostName, Moment, Offset, scalar};
use eelgrasshill_peer::generated as wire;
use tokio::sync::oneshot;

use crate::ClaimCommand;
use eelgrasshill_ports::{EngineReport, ListedHost, Page};

scalar! {
    /// A stream of the log that every host folds.
    #[derive(derive_more::Display)]
    pub(crate) enum LogStream {
        /// The operators' tables and keys.
        #[display("config")]
        Config,
        /// The rights to accrue tokens.
        #[display("rights")]
        Rights,
    }
}

/// Asks from where to read a stream; none while others read it for this host.
#[derive(Debug, Message)]
#[rtype(result = "Option<Offset>")]
pub(crate) struct GetReadOffset(pub(crate) LogStream);

/// A page of a stream was read.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PageRead {
    pub(crate) stream: LogStream,
    pub(crate) page: Page,
}

/// The host list was read.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct HostListRead(pub(crate) Vec<ListedHost>);

/// An engine reported, or a peer passed its report on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ReportReceived {
    pub(crate) report: EngineReport,
    /// The moment just before it was asked for.
    pub(crate) requested_at: Moment,
}

/// A peer exchanges heartbeats with this host.
#[derive(Debug, Message)]
#[rtype(result = "ExchangeResponse")]
pub(crate) struct Exchange {
    pub(crate) heartbeat: Option<Heartbeat>,
    pub(crate) cursor: Option<wire::Cursor>,
}

/// The reply to an exchange, and whether it holds any news.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct ExchangeResponse {
    pub(crate) reply: wire::ExchangeReply,
    pub(crate) has_changes: bool,
}

/// Asks for the request of an exchange with a peer.
#[derive(Debug, Message)]
#[rtype(result = "BuiltExchangeRequest")]
pub(crate) struct BuildExchangeRequest {
    pub(crate) wait: Duration,
    pub(crate) cursor: Option<wire::Cursor>,
}

/// The request of an exchange.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct BuiltExchangeRequest(pub(crate) wire::ExchangeRequest);

/// A peer's reply to an exchange.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ExchangeReplyReceived {
    pub(crate) reply: wire::ExchangeReply,
    /// The moment just before it was asked for.
    pub(crate) requested_at: Moment,
}

/// Asks whether a peer is still followed.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsFollowed(pub(crate) HostName);

/// Something happened that the placement must know.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PlacementEvent(pub(crate) eelgrasshill_placement::Event);

/// A host told its demand.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct DemandReceived(pub(crate) wire::DemandRequest);

/// A caller's thread asks something about a claim.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimCommandReceived(pub(crate) ClaimCommand);

/// A peer submits a claim's record to this writer.
#[derive(Debug, Message)]
#[rtype(result = "PendingSubmitReply")]
pub(crate) struct ClaimSubmitted(pub(crate) wire::SubmitRequest);

/// The writer's reply, once the log says something.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct PendingSubmitReply(pub(crate) oneshot::Receiver<wire::SubmitReply>);

/// A writer replied to a record of this host.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct WriterReplied {
    pub(crate) id: ClaimId,
    pub(crate) reply: wire::SubmitReply,
}

/// The log answered an append of claims.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimsAppended {
    pub(crate) shard: u32,
    pub(crate) id: AppendId,
    pub(crate) result: Result<Offset, AppendError>,
}

/// A claims stream was read; none where that failed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimsPageRead {
    pub(crate) shard: u32,
    pub(crate) page: Option<Page>,
}
