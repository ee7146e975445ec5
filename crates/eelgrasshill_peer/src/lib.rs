//! The protocol between hosts: generated gRPC code and conversions of its messages.
//!
//! Entry hosts use the service [`Peer`] and the conversions, gateways the service `Gateway`.

mod channel;
mod convert;

/// Messages and stubs, generated from `proto/peer.proto` by `eelgrasshill_generate`.
#[expect(
    clippy::pedantic,
    missing_docs,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    clippy::allow_attributes_without_reason,
    reason = "generated code is not edited by hand"
)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/eelgrasshill.peer.rs");
}

pub use channel::open_channel;
pub use convert::ConvertError;
pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
