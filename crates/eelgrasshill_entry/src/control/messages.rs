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
    pub(crate) enum Followed {
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
pub(crate) struct Cursor(pub(crate) Followed);

/// A page of a stream was read.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PageRead {
    pub(crate) stream: Followed,
    pub(crate) page: Page,
}

/// The host list was read.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct HostsRead(pub(crate) Vec<ListedHost>);

/// An engine reported, or a peer passed its report on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Reported {
    pub(crate) report: EngineReport,
    /// The moment just before it was asked for.
    pub(crate) asked: Moment,
}

/// A peer exchanges heartbeats with this host.
#[derive(Debug, Message)]
#[rtype(result = "Exchanged")]
pub(crate) struct Exchange {
    pub(crate) beat: Option<Heartbeat>,
    pub(crate) cursor: Option<wire::Cursor>,
}

/// The reply to an exchange, and whether it holds any news.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct Exchanged {
    pub(crate) reply: wire::ExchangeReply,
    pub(crate) news: bool,
}

/// Asks for the request of an exchange with a peer.
#[derive(Debug, Message)]
#[rtype(result = "Asked")]
pub(crate) struct Ask {
    pub(crate) wait: Duration,
    pub(crate) cursor: Option<wire::Cursor>,
}

/// The request of an exchange.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct Asked(pub(crate) wire::ExchangeRequest);

/// A peer's reply to an exchange.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Heard {
    pub(crate) reply: wire::ExchangeReply,
    /// The moment just before it was asked for.
    pub(crate) asked: Moment,
}

/// Asks whether a peer is still followed.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsFollowed(pub(crate) HostName);

/// Something happened that the placement must know.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Happened(pub(crate) eelgrasshill_placement::Event);

/// A host told its demand.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Demanded(pub(crate) wire::DemandRequest);

/// A caller's thread asks something about a claim.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Command(pub(crate) ClaimCommand);

/// A peer submits a claim's record to this writer.
#[derive(Debug, Message)]
#[rtype(result = "SubmittedReply")]
pub(crate) struct Submitted(pub(crate) wire::SubmitRequest);

/// The writer's reply, once the log says something.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct SubmittedReply(pub(crate) oneshot::Receiver<wire::SubmitReply>);

/// A writer replied to a record of this host.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Decided {
    pub(crate) id: ClaimId,
    pub(crate) reply: wire::SubmitReply,
}

/// The log answered an append of claims.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimsWritten {
    pub(crate) shard: u32,
    pub(crate) id: AppendId,
    pub(crate) answer: Result<Offset, AppendError>,
}

/// A claims stream was read; none where that failed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimsRead {
    pub(crate) shard: u32,
    pub(crate) page: Option<Page>,
}
