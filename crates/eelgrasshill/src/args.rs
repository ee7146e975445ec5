//! The command line arguments and the dispatch to the commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use eelgrasshill_domain::{KeyId, OrgName, RequestId};

use crate::demo::{Demo, demo};
use crate::{CommandError, check, key, publish, show};

/// Edits the tables and keys of eelgrasshill and shows what its hosts do.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Publish(Publish),
    Tables(TableArguments),
    Key(Key),
    Status(Status),
    Explain(Explain),
    Demo(Demo),
}

/// Validates tables and a host's settings without any connection.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the routes table
    #[argh(option)]
    routes: Option<PathBuf>,
    /// the pools table
    #[argh(option)]
    pools: Option<PathBuf>,
    /// the settings of an entry host
    #[argh(option)]
    entry: Option<PathBuf>,
}

/// Publishes edited tables and says whether they are in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
struct Publish {
    /// address of the log service
    #[argh(option)]
    log: SocketAddr,
    /// the routes table
    #[argh(option)]
    routes: PathBuf,
    /// the pools table
    #[argh(option)]
    pools: PathBuf,
    /// who edits, for the logs
    #[argh(option, default = "String::from(\"operator\")")]
    author: String,
}

/// Writes the tables in force into a folder, to be edited and published.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tables")]
struct TableArguments {
    /// address of the log service
    #[argh(option)]
    log: SocketAddr,
    /// folder for routes.ini and pools.ini; without it they are printed
    #[argh(option)]
    dir: Option<PathBuf>,
}

/// Issues, withdraws and lists keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
struct Key {
    #[argh(subcommand)]
    command: KeyCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum KeyCommand {
    Issue(Issue),
    Withdraw(Withdraw),
    List(List),
}

/// Issues a key and prints its text, which is kept nowhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
struct Issue {
    /// address of the log service
    #[argh(option)]
    log: SocketAddr,
    /// the organisation for which the key acts
    #[argh(option)]
    organisation: OrgName,
    /// the public id by which the key is withdrawn
    #[argh(option)]
    id: KeyId,
}

/// Withdraws a key for good.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// address of the log service
    #[argh(option)]
    log: SocketAddr,
    /// the public id of the key
    #[argh(option)]
    id: KeyId,
}

/// Lists the keys that work.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// address of the log service
    #[argh(option)]
    log: SocketAddr,
}

/// Shows how a host sees itself, its peers and the engines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the host's address for operators
    #[argh(option)]
    host: SocketAddr,
}

/// Shows where a request went and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the address for operators of the host that served it
    #[argh(option)]
    host: SocketAddr,
    /// the request's id, as in the header x-request-id
    #[argh(positional)]
    id: RequestId,
}

/// Runs a command and returns what it prints.
///
/// # Errors
///
/// Returns [`CommandError`]; the process should exit with its status.
pub fn run(arguments: Arguments) -> Result<String, CommandError> {
    let system = actix::System::new();
    system.block_on(async {
        match arguments.command {
            Command::Check(options) => check::check(options.routes, options.pools, options.entry),
            Command::Publish(options) => {
                publish::publish(options.log, &options.routes, &options.pools, options.author).await
            }
            Command::Tables(options) => show::tables(options.log, options.dir).await,
            Command::Key(options) => match options.command {
                KeyCommand::Issue(options) => {
                    key::issue(options.log, options.organisation, options.id).await
                }
                KeyCommand::Withdraw(options) => key::withdraw(options.log, options.id).await,
                KeyCommand::List(options) => key::list(options.log).await,
            },
            Command::Status(options) => show::status(options.host).await,
            Command::Explain(options) => show::explain(options.host, &options.id).await,
            Command::Demo(options) => demo(options).await,
        }
    })
}
