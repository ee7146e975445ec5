//! The command line: one subcommand for each stand-in and one for the load tool.

mod engine;
mod flag;
mod load;
mod service;

use argh::FromArgs;
use derive_more::{Display, Error, From};

use crate::load::LoadError;
use crate::server::{Standin, StartError};

pub use flag::FlagError;

/// Stand-ins for the platform and the upstreams, for development only.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(engine::EngineFlags),
    Log(service::LogFlags),
    Hosts(service::HostsFlags),
    Store(service::StoreFlags),
    Plain(service::PlainFlags),
    Relay(service::RelayFlags),
    Load(load::LoadFlags),
}

/// Why the program failed.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The stand-in did not start.
    Start(StartError),
    /// The load could not be run.
    Load(LoadError),
}

/// Runs the given subcommand; a stand-in runs until it is killed.
///
/// # Errors
///
/// Returns [`RunError`] when an address cannot be bound or a load cannot be run.
pub fn run(arguments: Arguments) -> Result<(), RunError> {
    match arguments.command {
        Command::Engine(flags) => serve("engine", crate::Engine::new(flags.settings())),
        Command::Log(flags) => serve("log", crate::Log::new(flags.settings())),
        Command::Hosts(flags) => serve("hosts", crate::Hosts::new(flags.settings())),
        Command::Store(flags) => serve("store", crate::WeightStore::new(flags.settings())),
        Command::Plain(flags) => serve("plain", crate::PlainService::new(flags.settings())),
        Command::Relay(flags) => {
            let relay = crate::Relay::new(flags.settings())?;
            // The address on which clients connect; the admin address follows on the next line.
            println!("link {}", relay.address());
            serve("relay", relay)
        }
        Command::Load(flags) => Ok(flags.run()?),
    }
}

/// Starts a stand-in, prints its address and waits until it ends.
fn serve<S: Standin>(name: &str, standin: S) -> Result<(), RunError> {
    let running = standin.spawn_thread()?;
    println!("{name} {}", running.address);
    running.join();
    Ok(())
}
