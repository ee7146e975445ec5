//! HTTP endpoints for callers, the load balancer and operators.

mod admin;
mod api_key;
mod body;
mod chat;
mod models;
mod plain;
mod server;

pub(crate) use server::{serve_admin, serve_callers};
