//! The main job in one process: hosts and stand-ins on threads, and one streamed answer.

mod deployment;
mod example;
mod run;

pub use deployment::{Deployment, DeploymentSettings};
pub use example::Example;
pub(crate) use run::{Demo, demo};
