//! What the system allows the sockets of this process.

use std::io;
use std::os::fd::AsFd;

use eelgrasshill_domain::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use rustix::net::sockopt;
use rustix::process::{Resource, getrlimit};

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
