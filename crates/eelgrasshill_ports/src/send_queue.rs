//! Which of a server's connections have bytes that the system has not delivered.
//!
//! The system goes on sending after a process has closed a connection, but not if the network of
//! the process' machine ends with it.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Connection state of a listening socket in the system's table.
const LISTEN_STATE: &str = "0A";

/// Reads the other ends of those connections of a server that have unacknowledged bytes.
///
/// Includes connections that the process has closed.
///
/// # Errors
///
/// Returns the system's error if its table of connections cannot be read.
pub fn unsent_peers(server: SocketAddr) -> io::Result<Vec<SocketAddr>> {
    let path = if server.is_ipv4() {
        "/proc/self/net/tcp"
    } else {
        "/proc/self/net/tcp6"
    };
    Ok(parse_unsent_peers(&std::fs::read_to_string(path)?, server))
}

/// Parses the system's table of connections.
///
/// Lines that cannot be parsed are skipped.
#[must_use]
pub fn parse_unsent_peers(table: &str, server: SocketAddr) -> Vec<SocketAddr> {
    let unsent_peer = |line: &str| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, peer) = (fields.next()?, fields.next()?);
        let (state, queues) = (fields.next()?, fields.next()?);
        let local = parse_address(local)?;
        let is_own = local.port() == server.port()
            && (server.ip().is_unspecified() || local.ip() == server.ip().to_canonical());
        let unsent = u64::from_str_radix(queues.split_once(':')?.0, 16).ok()?;
        (is_own && state != LISTEN_STATE && unsent > 0).then_some(parse_address(peer)?)
    };
    table.lines().filter_map(unsent_peer).collect()
}

/// Parses an address, whose words have the byte order of the machine, and its port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let word = |at: usize| {
        let digits = ip.get(at * 8..at * 8 + 8)?;
        Some(u32::from_str_radix(digits, 16).ok()?.to_ne_bytes())
    };
    let ip = match ip.len() {
        8 => IpAddr::V4(Ipv4Addr::from(word(0)?)),
        32 => {
            let words = [word(0)?, word(1)?, word(2)?, word(3)?];
            let mut bytes = [0; 16];
            for (target, byte) in bytes.iter_mut().zip(words.as_flattened()) {
                *target = *byte;
            }
            IpAddr::V6(Ipv6Addr::from(bytes)).to_canonical()
        }
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_str_radix(port, 16).ok()?))
}
