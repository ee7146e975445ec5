//! What callers, the balancer and operators reach over HTTP.

mod admin;
mod api_key;
mod body;
mod chat;
mod models;
mod plain;
mod server;

pub(crate) use server::{serve_admin, serve_callers};
