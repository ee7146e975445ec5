//! What the system allows the sockets of this process.

use std::io;
use std::os::fd::AsFd;

use eelgrasshill_domain::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use rustix::net::sockopt;
use rustix::process::{Resource, getrlimit};

use crate::MemoryCharge;

/// Size of a buffer that has grown for a large body or answer, as the system counts it, in bytes.
const GROWN_BUFFER_BYTES: usize = 128 << 10;

/// Length of a body or an answer from which on the system's buffer for it grows.
pub(crate) const LARGE_BYTES: usize = 64 << 10;

/// The system doubles the sizes that it is asked for.
const SYSTEM_FACTOR: usize = 2;

/// Returns how many descriptors the process may open, if the system bounds them.
#[must_use]
pub fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Bounds the system's buffers of the connections that a listener accepts.
///
/// Otherwise they grow to some MB each while the process does not read. A size that is set on a
/// listener also bounds what the system takes before the process accepts the connection.
///
/// # Errors
///
/// Returns the system's error.
pub fn bound_buffers(listener: &impl AsFd) -> io::Result<()> {
    sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES / SYSTEM_FACTOR)?;
    sockopt::set_socket_send_buffer_size(listener, SEND_BUFFER_BYTES / SYSTEM_FACTOR)?;
    Ok(())
}

/// Direction of a buffer of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Receive,
    Send,
}

/// Enlarges a buffer of a connection, so that far callers are not slowed down.
///
/// The charge is for what the buffer takes beyond its usual size. Returns whether it fits.
pub(crate) fn grow_buffer(
    stream: &impl AsFd,
    direction: Direction,
    charge: &mut MemoryCharge,
) -> bool {
    let usual = match direction {
        Direction::Receive => RECEIVE_BUFFER_BYTES,
        Direction::Send => SEND_BUFFER_BYTES,
    };
    if charge.resize(GROWN_BUFFER_BYTES - usual).is_err() {
        return false;
    }
    let size = GROWN_BUFFER_BYTES / SYSTEM_FACTOR;
    let set = match direction {
        Direction::Receive => sockopt::set_socket_recv_buffer_size(stream, size),
        Direction::Send => sockopt::set_socket_send_buffer_size(stream, size),
    };
    if let Err(error) = set {
        log::warn!("connections: a {direction:?} buffer cannot grow: {error}");
    }
    true
}
