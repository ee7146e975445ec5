//! The daemon of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eelgrasshill_entry::{EntryHost, run_metrics_upkeep, wait_for_stop};
use eelgrasshill_settings::EntrySettings;
use metrics_exporter_prometheus::PrometheusBuilder;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit status for a settings file that cannot be read or is invalid.
const INVALID_SETTINGS_STATUS: u8 = 2;

/// Runs an entry host of eelgrasshill, which forwards callers' requests to model engines.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the INI file of the host's settings
    #[argh(positional)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,actix_server=warn"),
    )
    .init();
    let arguments: Arguments = argh::from_env();
    let settings = match EntrySettings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    // Without a recorder, `/metrics` answers 404.
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let upkeep_handle = metrics.clone();
    let host = match EntryHost::start(settings, metrics) {
        Ok(host) => host,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if let Some(handle) = upkeep_handle
        && let Err(error) = run_metrics_upkeep(handle)
    {
        log::warn!("host: samples of metrics are kept until they are read: {error}");
    }
    wait_for_stop();
    if host.drain() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
