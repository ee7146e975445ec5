//! Starts a gateway, applies changed settings and drains it on SIGTERM.
//!
//! A draining host shows that it is not ready, releases its lease and goes on serving. It closes
//! once no request is open and the load balancer has had time to notice, or at the end of the grace
//! time.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_ports::BootClock;
use eelgrasshill_settings::{GatewaySettings, Problems};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::codec::{PlatformCodec, StoreClient, Topic};
use crate::exchange::exchange_with_peers;
use crate::follow::follow;
use crate::orders::{dispatch_orders, release_lease};
use crate::peers::serve_peers;
use crate::pick_socket::{PickSocket, serve_picks};
use crate::register::{register, unregister};
use crate::server::{serve_admin, serve_callers};
use crate::shared::Shared;

/// Minimum duration of a drain.
///
/// The load balancer needs two readiness checks, a second apart, and callers some time to leave.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// Time before the host closes in which requests without an answer are ended.
///
/// It lets their last answers reach the callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Time between checks whether a draining host has open requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between reads of the settings file without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reason why a gateway did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display("{address} cannot be bound: {cause}")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the system.
        #[error(source)]
        cause: io::Error,
    },
    /// The system refused a signal handler, a thread or a socket option.
    #[display("the system refused a signal handler, thread or socket option: {_0}")]
    System(#[error(source)] io::Error),
}

/// The signals that a gateway handles.
#[derive(Debug)]
pub struct HostSignals {
    terminate: Signal,
    hangup: Signal,
}

impl HostSignals {
    /// Starts to handle the signals; until then each of them ends the process.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::System`] if the system refuses a handler.
    pub fn listen() -> Result<Self, StartError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(StartError::System)?,
            hangup: signal(SignalKind::hangup()).map_err(StartError::System)?,
        })
    }
}

/// Runs a gateway until it has drained.
///
/// `problems` are those mistakes in the settings file for which the defaults are used.
///
/// # Errors
///
/// Returns [`StartError`] if it could not start.
pub async fn run<C: PlatformCodec, S: StoreClient>(
    signals: HostSignals,
    settings: GatewaySettings,
    problems: Problems,
    path: &Path,
    store: S,
) -> Result<(), StartError> {
    let metrics = match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!("host: no metrics, the recorder cannot be installed: {error}");
            None
        }
    };
    let HostSignals {
        mut terminate,
        hangup,
    } = signals;
    let shared = Arc::new(Shared::<C>::new(settings));
    let callers = start_servers(&shared, metrics)?;
    start_followers(&shared, &store);
    let peers = bind(shared.settings.peer_address)?;
    peers.set_nonblocking(true).map_err(StartError::System)?;
    let picks =
        PickSocket::bind(shared.settings.peer_address).map_err(|cause| StartError::Bind {
            address: shared.settings.peer_address,
            cause,
        })?;
    shared.set_picks(picks);
    actix_web::rt::spawn(serve_picks(Arc::clone(&shared)));
    actix_web::rt::spawn(serve_peers(Arc::clone(&shared), peers));
    actix_web::rt::spawn(exchange_with_peers(Arc::clone(&shared)));
    actix_web::rt::spawn(register(Arc::clone(&shared), store.clone()));
    actix_web::rt::spawn(dispatch_orders(Arc::clone(&shared), store.clone()));
    actix_web::rt::spawn(watch_settings(
        Arc::clone(&shared),
        problems,
        hangup,
        path.to_owned(),
    ));
    log::info!(
        "host: name={} zone={} incarnation={} started, callers={} peers={}",
        shared.settings.name,
        shared.settings.zone,
        shared.incarnation,
        shared.settings.caller_address,
        shared.settings.peer_address
    );
    terminate.recv().await;
    shared.start_leaving(BootClock.now());
    release_lease(&shared, &store).await;
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

fn start_servers<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    metrics: Option<PrometheusHandle>,
) -> Result<actix_web::dev::ServerHandle, StartError> {
    let settings = &shared.settings;
    let listeners = [
        bind(settings.ready_address)?,
        bind(settings.metrics_address)?,
    ];
    let admin = serve_admin(shared, listeners, metrics).map_err(StartError::System)?;
    let callers =
        serve_callers(shared, bind(settings.caller_address)?).map_err(StartError::System)?;
    let handle = callers.handle();
    for (name, server) in [("admin", admin), ("callers", callers)] {
        actix_web::rt::spawn(async move {
            if let Err(error) = server.await {
                log::error!("host: the server for {name} ended: {error}");
            }
        });
    }
    Ok(handle)
}

fn start_followers<C: PlatformCodec, S: StoreClient>(shared: &Arc<Shared<C>>, store: &S) {
    for topic in [Topic::Config, Topic::Upstreams, Topic::Hosts] {
        actix_web::rt::spawn(follow(Arc::clone(shared), store.clone(), topic));
    }
}

/// Waits until all open requests have ended or the grace time is over, then closes the host.
async fn drain<C: PlatformCodec>(shared: &Arc<Shared<C>>) {
    let drain_start = shared.leaving().unwrap_or_else(|| BootClock.now());
    log::info!(
        "host: name={} leaves, open={}",
        shared.settings.name,
        shared.open_requests()
    );
    let max_drain_time = shared.max_drain_time();
    loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let elapsed = BootClock.now().since(drain_start);
        if elapsed >= MIN_DRAIN_TIME && shared.close_if_empty() {
            break;
        }
        if elapsed >= max_drain_time.saturating_sub(LAST_ANSWERS_TIME) {
            shared.end_requests();
        }
        if elapsed >= max_drain_time {
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

/// Reads the settings again on SIGHUP and when the file changes.
///
/// Changed bounds apply at once, all other settings at the next start. A file with other mistakes
/// than the ones that the host started with changes nothing.
async fn watch_settings<C: PlatformCodec>(
    shared: Arc<Shared<C>>,
    known_problems: Problems,
    mut hangup: Signal,
    path: std::path::PathBuf,
) {
    let mut current = shared.settings.clone();
    let mut last_problems = None;
    loop {
        // A change without a signal is found when the wait times out.
        let signalled = tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangup.recv())
            .await
            .is_ok();
        let read = GatewaySettings::read_usable(&path).and_then(|(settings, problems)| {
            let is_usable = problems.problems.is_empty() || problems == known_problems;
            if is_usable {
                Ok(settings)
            } else {
                Err(problems)
            }
        });
        match read {
            Ok(settings) => {
                last_problems = None;
                if settings != current {
                    apply_settings(&shared, &current, &settings);
                    current = settings;
                } else if signalled {
                    log::info!("host: settings read again, unchanged");
                }
            }
            Err(problems) => {
                let text = problems.to_string();
                // The same mistakes are not logged again at each read.
                if signalled || last_problems.as_ref() != Some(&text) {
                    log::error!("host: settings kept, the file is wrong: {text}");
                }
                last_problems = Some(text);
            }
        }
    }
}

fn apply_settings<C: PlatformCodec>(
    shared: &Shared<C>,
    current: &GatewaySettings,
    new: &GatewaySettings,
) {
    if new.bounds != current.bounds {
        shared.set_bounds(new.bounds);
        log::info!("host: settings changed, in force: {:?}", new.bounds);
    }
    let restart_settings = GatewaySettings {
        bounds: current.bounds,
        ..new.clone()
    };
    if restart_settings != *current {
        log::warn!("host: changed settings apply at the next start: {restart_settings:?}");
    }
}
