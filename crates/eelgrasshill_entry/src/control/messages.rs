//! Messages to the control actor and its replies.

use std::time::Duration;

use actix::Message;
use eelgrasshill_control::{AppendError, ClaimId, Heartbeat};
use eelgrasshill_domain::{AppendId, HostName, Moment, Offset, scalar};
use eelgrasshill_peer::generated as wire;
use tokio::sync::oneshot;

use crate::ClaimCommand;
use eelgrasshill_ports::{EngineReport, ListedHost, Page};

scalar! {
    /// A log stream that every host folds.
    #[derive(derive_more::Display)]
    pub(crate) enum LogStream {
        /// Tables and API keys from the operators.
        #[display("config")]
        Config,
        /// Rights to accrue tokens.
        #[display("rights")]
        Rights,
    }
}

/// Requests the next offset to read; `None` while peers read the stream for this host.
#[derive(Debug, Message)]
#[rtype(result = "Option<Offset>")]
pub(crate) struct GetReadOffset(pub(crate) LogStream);

/// Reports a page read from a log stream.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PageRead {
    pub(crate) stream: LogStream,
    pub(crate) page: Page,
}

/// Reports the hosts read from the host list.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct HostListRead(pub(crate) Vec<ListedHost>);

/// Passes the report of a polled engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct EngineReportReceived {
    pub(crate) report: EngineReport,
    /// The time just before the request was sent.
    pub(crate) requested_at: Moment,
}

/// Handles an exchange request of a peer.
#[derive(Debug, Message)]
#[rtype(result = "ExchangeResponse")]
pub(crate) struct Exchange {
    pub(crate) heartbeat: Option<Heartbeat>,
    pub(crate) cursor: Option<wire::Cursor>,
}

/// The reply to a peer, and whether it contains changes besides the heartbeat.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct ExchangeResponse {
    pub(crate) reply: wire::ExchangeReply,
    pub(crate) has_changes: bool,
}

/// Builds the request of an exchange with a peer.
#[derive(Debug, Message)]
#[rtype(result = "BuiltExchangeRequest")]
pub(crate) struct BuildExchangeRequest {
    pub(crate) max_wait: Duration,
    pub(crate) cursor: Option<wire::Cursor>,
}

/// The request built for an exchange.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct BuiltExchangeRequest(pub(crate) wire::ExchangeRequest);

/// Reports a peer's reply to an exchange.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ExchangeReplyReceived {
    pub(crate) reply: wire::ExchangeReply,
    /// The time just before the request was sent.
    pub(crate) requested_at: Moment,
}

/// Checks whether a peer is still followed.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsFollowed(pub(crate) HostName);

/// Passes an event to the placement controller.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PlacementEvent(pub(crate) eelgrasshill_placement::Event);

/// Reports the demand of a host in this zone.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct DemandReceived(pub(crate) wire::DemandRequest);

/// Passes a claim command from a traffic thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimCommandReceived(pub(crate) ClaimCommand);

/// Submits a peer's claim record to this host, as a writer of the record's shard.
#[derive(Debug, Message)]
#[rtype(result = "PendingSubmitReply")]
pub(crate) struct ClaimSubmitted(pub(crate) wire::SubmitRequest);

/// Receives the writer's reply once the log shows the result of the record.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct PendingSubmitReply(pub(crate) oneshot::Receiver<wire::SubmitReply>);

/// Reports a writer's reply to a claim record that this host submitted.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct WriterReplied {
    pub(crate) id: ClaimId,
    pub(crate) reply: wire::SubmitReply,
}

/// Reports the result of appending a batch of claims.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimsAppended {
    pub(crate) shard_number: u32,
    pub(crate) id: AppendId,
    pub(crate) result: Result<Offset, AppendError>,
}

/// Reports a page of a claims stream; `None` if the read failed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimsPageRead {
    pub(crate) shard_number: u32,
    pub(crate) page: Option<Page>,
}
