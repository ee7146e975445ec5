//! Starts a gateway, keeps it running and drains it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_ports::BootClock;
use eelgrasshill_settings::GatewaySettings;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::follow::{Pace, follow};
use crate::holder::{give_orders, release};
use crate::peers::serve_peers;
use crate::register::{register, unregister};
use crate::server::{serve_admin, serve_callers};
use crate::share::share;
use crate::state::Shared;
use crate::wire::{Store, Topic, Wire};

/// How long a read of the configuration waits: a quarter of the time for which keys are accepted.
const CONFIG_WAIT: Duration = Duration::from_millis(1_200);

/// Pause between reads of the upstreams' entries: leaving ones are avoided within two seconds.
const ENTRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause between reads of the hosts' registrations.
const HOST_PAUSE: Duration = Duration::from_secs(2);

/// Age from which a host reads the configuration itself: keys are accepted for some seconds.
const CONFIG_STALE: Duration = Duration::from_secs(2);

/// Age from which a host reads the entries itself: two rounds of news and a read.
const ENTRY_STALE: Duration = Duration::from_millis(1_300);

/// Age from which a host reads the registrations itself.
const HOST_STALE: Duration = Duration::from_secs(10);

/// Shortest drain: the balancer needs two looks, a second apart, and callers some time to leave.
const LEAST_DRAIN: Duration = Duration::from_millis(3_200);

/// Part of the grace time that is left at the end for the process to exit.
const EXIT_TIME: Duration = Duration::from_millis(350);

/// How often a draining host looks whether it is empty.
const DRAIN_TICK: Duration = Duration::from_millis(50);

/// How often the settings file is looked at for a change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Why a gateway did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display("{address} cannot be bound: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[error(source)]
        cause: io::Error,
    },
    /// A signal or a thread cannot be had from the system.
    #[display("the system refused: {_0}")]
    System(#[error(source)] io::Error),
}

/// Runs a gateway until it has drained.
///
/// # Errors
///
/// Returns [`StartError`] when it could not start.
pub async fn run<W: Wire, S: Store>(
    settings: GatewaySettings,
    path: &Path,
    store: S,
) -> Result<(), StartError> {
    let metrics = match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!("host: no metrics: {error}");
            None
        }
    };
    let mut term = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::System)?;
    let shared = Arc::new(Shared::<W>::new(settings));
    let callers = start_servers(&shared, metrics)?;
    start_followers(&shared, &store);
    let peers = bind(shared.settings.peer)?;
    peers.set_nonblocking(true).map_err(StartError::System)?;
    actix_web::rt::spawn(serve_peers(Arc::clone(&shared), peers));
    actix_web::rt::spawn(share(Arc::clone(&shared)));
    actix_web::rt::spawn(register(Arc::clone(&shared), store.clone()));
    actix_web::rt::spawn(give_orders(Arc::clone(&shared), store.clone()));
    actix_web::rt::spawn(watch_settings(Arc::clone(&shared), hangup, path.to_owned()));
    log::info!(
        "host: name={} zone={} incarnation={} started, callers={} peers={}",
        shared.settings.name,
        shared.settings.zone,
        shared.incarnation,
        shared.settings.listen,
        shared.settings.peer
    );
    term.recv().await;
    shared.leave(BootClock.now());
    release(&shared, &store).await;
    drain(&shared).await;
    unregister(&shared, &store).await;
    shared.stop();
    callers.stop(false).await;
    log::info!("host: name={} stopped", shared.settings.name);
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|cause| StartError::Bind { address, cause })
}

fn start_servers<W: Wire>(
    shared: &Arc<Shared<W>>,
    metrics: Option<PrometheusHandle>,
) -> Result<actix_web::dev::ServerHandle, StartError> {
    let settings = &shared.settings;
    let listeners = [bind(settings.ready)?, bind(settings.metrics)?];
    let admin = serve_admin(shared, listeners, metrics).map_err(StartError::System)?;
    let callers = serve_callers(shared, bind(settings.listen)?).map_err(StartError::System)?;
    let handle = callers.handle();
    for (name, server) in [("admin", admin), ("callers", callers)] {
        actix_web::rt::spawn(async move {
            if let Err(error) = server.await {
                log::error!("host: the listener of {name} ended: {error}");
            }
        });
    }
    Ok(handle)
}

fn start_followers<W: Wire, S: Store>(shared: &Arc<Shared<W>>, store: &S) {
    let paces = [
        (Topic::Config, CONFIG_WAIT, Duration::ZERO, CONFIG_STALE),
        (Topic::Upstreams, Duration::ZERO, ENTRY_PAUSE, ENTRY_STALE),
        (Topic::Hosts, Duration::ZERO, HOST_PAUSE, HOST_STALE),
    ];
    for (topic, wait, pause, stale) in paces {
        let pace = Pace { wait, pause, stale };
        actix_web::rt::spawn(follow(Arc::clone(shared), store.clone(), topic, pace));
    }
}

/// Ends all requests that were read, as long as the grace time lasts.
async fn drain<W: Wire>(shared: &Arc<Shared<W>>) {
    let began = shared.leaving().unwrap_or_else(|| BootClock.now());
    log::info!(
        "host: name={} leaves, open={}",
        shared.settings.name,
        shared.open_requests()
    );
    let last = shared.bounds().grace.saturating_sub(EXIT_TIME);
    loop {
        tokio::time::sleep(DRAIN_TICK).await;
        let passed = BootClock.now().since(began);
        if passed >= LEAST_DRAIN && shared.close_if_empty() {
            break;
        }
        if passed >= last {
            shared.close();
            break;
        }
    }
    log::info!(
        "host: name={} drained, open={}",
        shared.settings.name,
        shared.open_requests()
    );
}

/// Reads the settings again on SIGHUP and when the file changes; bounds apply at once.
async fn watch_settings<W: Wire>(
    shared: Arc<Shared<W>>,
    mut hangup: Signal,
    path: std::path::PathBuf,
) {
    let mut known = shared.settings.clone();
    let mut wrong = None;
    loop {
        // A change without a signal is found at the next look.
        let signalled = tokio::time::timeout(SETTINGS_LOOK, hangup.recv())
            .await
            .is_ok();
        match GatewaySettings::read(&path) {
            Ok(settings) => {
                wrong = None;
                if settings != known {
                    take_settings(&shared, &known, &settings);
                    known = settings;
                } else if signalled {
                    log::info!("host: settings read again, unchanged");
                }
            }
            Err(problems) => {
                let text = problems.to_string();
                // The same mistakes are not logged at each look.
                if signalled || wrong.as_ref() != Some(&text) {
                    log::error!("host: settings kept, the file is wrong: {text}");
                }
                wrong = Some(text);
            }
        }
    }
}

fn take_settings<W: Wire>(shared: &Shared<W>, known: &GatewaySettings, new: &GatewaySettings) {
    if new.bounds != known.bounds {
        shared.set_bounds(new.bounds);
        log::info!("host: settings changed, in force: {:?}", new.bounds);
    }
    let others = GatewaySettings {
        bounds: known.bounds,
        ..new.clone()
    };
    if others != *known {
        log::warn!("host: settings changed that apply at the next start: {others:?}");
    }
}
