//! Runs one stand-in, or the load tool, as a process.

use std::process::ExitCode;

use eelgrasshill_standin::{Arguments, run};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments: Arguments = argh::from_env();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("eelgrasshill-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
