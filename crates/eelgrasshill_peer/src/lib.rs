//! The protocol between entry hosts: generated messages and their conversions.

mod channel;
mod convert;

/// Messages and stubs that the generator writes from `proto/peer.proto`.
#[expect(
    clippy::pedantic,
    missing_docs,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    clippy::allow_attributes_without_reason,
    reason = "the generator's code is not ours to shape"
)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/eelgrasshill.peer.rs");
}

pub use channel::open_channel;
pub use convert::ConvertError;
pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
