//! The operators' command, and the deployment on stand-ins that its demo runs.

mod args;
mod check;
mod demo;
mod error;
mod key;
mod log_session;
mod publish;
mod show;

pub use args::{Arguments, run};
pub use demo::{Deployment, DeploymentSettings, Example};
pub use error::CommandError;
pub use log_session::LogSession;
