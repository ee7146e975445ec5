//! Generates the Rust code of the peer protocol from `proto/peer.proto`.
//!
//! Run it from the root of the workspace after each change of that file. An optional argument
//! names another output folder.

use std::error::Error;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn Error>> {
    let peer_crate = PathBuf::from("crates/eelgrasshill_peer");
    let proto_dir = peer_crate.join("proto");
    let out_dir = std::env::args()
        .nth(1)
        .map_or_else(|| peer_crate.join("src/generated"), PathBuf::from);
    std::fs::create_dir_all(&out_dir)?;
    let descriptors = protox::compile(["peer.proto"], [proto_dir])?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        // A query is several times larger than the other kinds.
        .boxed(".eelgrasshill.peer.PickDatagram.kind.query")
        .compile_fds(descriptors)?;
    Ok(())
}
