//! Messages to the control actor.

use std::time::Duration;

use actix::Message;
use eelgrasshill_control::Heartbeat;
use eelgrasshill_domain::{HostName, Offset, scalar};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_platform::{EngineReport, ListedHost, Page};

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
pub(crate) struct Reported(pub(crate) EngineReport);

/// A peer exchanges heartbeats with this host.
#[derive(Debug, Message)]
#[rtype(result = "Exchanged")]
pub(crate) struct Exchange {
    pub(crate) beat: Option<Heartbeat>,
    pub(crate) reports: Vec<wire::ReportMark>,
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
pub(crate) struct Ask(pub(crate) Duration);

/// The request of an exchange.
#[derive(Debug, actix::MessageResponse)]
pub(crate) struct Asked(pub(crate) wire::ExchangeRequest);

/// A peer's reply to an exchange.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Heard {
    pub(crate) reply: wire::ExchangeReply,
}

/// Asks whether a peer is still followed.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsFollowed(pub(crate) HostName);
