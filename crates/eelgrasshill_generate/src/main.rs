//! Writes the Rust code of the protocol from its description.
//!
//! Run it from the workspace's root after a change of `proto/peer.proto`.

use std::error::Error;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn Error>> {
    let root = PathBuf::from("crates/eelgrasshill_peer");
    let proto = root.join("proto");
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), PathBuf::from);
    std::fs::create_dir_all(&out)?;
    let files = protox::compile(["peer.proto"], [proto])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
