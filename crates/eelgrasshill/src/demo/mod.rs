//! A deployment in one process: entry hosts and stand-ins on threads, and the demo command.

mod deployment;
mod example;
mod run;

pub use deployment::{Deployment, DeploymentSettings};
pub use example::Example;
pub(crate) use run::{Demo, demo};
