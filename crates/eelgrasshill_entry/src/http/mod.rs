//! What callers, the balancer and operators reach over HTTP.

mod admin;
mod body;
mod chat;
mod models;
mod plain;
mod presented;
mod server;

pub(crate) use server::{serve_admin, serve_callers};
