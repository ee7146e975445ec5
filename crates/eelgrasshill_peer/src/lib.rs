//! The protocol between entry hosts.
