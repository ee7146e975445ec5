//! The command line for operators, and a local deployment on stand-ins for its demo and tests.

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
