//! Starts a gateway, applies changed settings and drains it on SIGTERM.
//!
//! A draining host shows that it is not ready, releases its lease and goes on serving. It closes
//! once callers have got all answers and the load balancer has had time to notice, or at the end of
//! the grace time.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use derive_more::{Display, Error};
use eelgrasshill_ports::{BootClock, descriptor_limit, unsent_peers};
use eelgrasshill_settings::{GatewaySettings, Problems};
use metrics_exporter_prometheus::PrometheusHandle;
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
use crate::software_versions::track_software;
use crate::telemetry::install_metrics;

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

/// Time between reads of the system's send queues.
///
/// Longer than that between checks, since the system lists all connections of the machine.
const SEND_QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout for a read of the system's send queues.
///
/// On a machine with tens of thousands of sockets a read takes several hundred milliseconds, and the
/// exit must not wait for it beyond the grace time.
const SEND_QUEUE_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the read that tells which answers the exit cuts.
const CUT_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum time for the removal of the registration.
///
/// The store answers within 4 ms. Together with the rest of the exit it fits in the time that is
/// reserved for that.
const MIN_UNREGISTER_TIME: Duration = Duration::from_millis(150);

/// Maximum number of ids of cut requests in the log.
const MAX_LOGGED_IDS: usize = 32;

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
    let metrics = install_metrics();
    let settings = within_system_limits(settings);
    let HostSignals {
        mut terminate,
        hangup,
    } = signals;
    let shared = Arc::new(Shared::<C>::new(settings));
    let callers = start_servers(&shared, metrics)?;
    start_followers(&shared, &store);
    track_software(&shared, &store);
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
        "host: name={} zone={} incarnation={} started, callers={} peers={} \
         memory={} MB descriptors={:?} connections={}",
        shared.settings.name,
        shared.settings.zone,
        shared.incarnation,
        shared.settings.caller_address,
        shared.settings.peer_address,
        shared.settings.memory_mb,
        shared.settings.descriptors,
        shared.settings.max_connections
    );
    terminate.recv().await;
    shared.start_leaving(BootClock.now());
    release_lease(&shared, &store).await;
    let is_drained = drain(&shared).await;
    if !is_drained {
        log_cut(&shared).await;
    }
    let unregister_time = drain_time_left(&shared).max(MIN_UNREGISTER_TIME);
    let unregistered = tokio::time::timeout(unregister_time, unregister(&shared, &store)).await;
    if unregistered.is_err() {
        log::info!("hosts: registration not removed within {unregister_time:?}");
    }
    shared.stop();
    if is_drained {
        close_connections(&shared, &callers).await;
        log_cut(&shared).await;
    }
    log::info!("host: name={} stopped", shared.settings.name);
    Ok(())
}

/// Lowers the limit on connections to what the system allows the process.
fn within_system_limits(settings: GatewaySettings) -> GatewaySettings {
    match descriptor_limit() {
        Some(descriptors) => settings.within_descriptors(descriptors),
        None => settings,
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|cause| StartError::Bind { address, cause })
}

fn start_servers<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    metrics: Option<PrometheusHandle>,
) -> Result<ServerHandle, StartError> {
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

/// Waits until callers have got all answers or the grace time is over, then closes the host.
///
/// Returns whether callers have got all answers.
async fn drain<C: PlatformCodec>(shared: &Arc<Shared<C>>) -> bool {
    log::info!(
        "host: name={} leaves, open={}",
        shared.settings.name,
        shared.open_requests()
    );
    let drain_start = shared.leaving().unwrap_or_else(|| BootClock.now());
    let mut queues_read_at = drain_start;
    let is_drained = loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let now = BootClock.now();
        let time_left = drain_time_left(shared);
        if time_left.is_zero() {
            shared.close();
            break false;
        }
        if time_left <= LAST_ANSWERS_TIME {
            shared.end_requests();
        }
        let may_close = now.since(drain_start) >= MIN_DRAIN_TIME && shared.open_requests() == 0;
        if may_close && now.since(queues_read_at) >= SEND_QUEUE_CHECK_INTERVAL {
            queues_read_at = now;
            let timeout = time_left.min(SEND_QUEUE_READ_TIMEOUT);
            let unsent_peers = read_unsent_peers(shared, timeout).await;
            if unsent_peers.is_some_and(|peers| peers.is_empty()) && shared.close_if_empty() {
                break true;
            }
        }
    };
    log::info!(
        "host: name={} drained={is_drained} open={}",
        shared.settings.name,
        shared.open_requests()
    );
    is_drained
}

/// Returns the time until a leaving host closes, whether or not requests are open.
fn drain_time_left<C: PlatformCodec>(shared: &Shared<C>) -> Duration {
    let leaving_since = shared.leaving().unwrap_or_else(|| BootClock.now());
    let elapsed = BootClock.now().since(leaving_since);
    shared.max_drain_time().saturating_sub(elapsed)
}

/// Closes the connections of a drained host, once their last bytes, such as refusals, are sent.
async fn close_connections<C: PlatformCodec>(shared: &Arc<Shared<C>>, callers: &ServerHandle) {
    // The server checks only each second whether all connections have ended, so this is not awaited.
    let _stopping = callers.stop(true);
    loop {
        let timeout = drain_time_left(shared).min(SEND_QUEUE_READ_TIMEOUT);
        if timeout.is_zero() {
            return;
        }
        if shared.open_connections() == 0
            && read_unsent_peers(shared, timeout)
                .await
                .is_some_and(|peers| peers.is_empty())
        {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Returns the callers that have not got all bytes which the system has taken.
///
/// None if the read takes longer than `timeout`. If the queues cannot be read at all, none counts as
/// waiting.
async fn read_unsent_peers<C: PlatformCodec>(
    shared: &Shared<C>,
    timeout: Duration,
) -> Option<Vec<SocketAddr>> {
    let address = shared.settings.caller_address;
    let read = actix_web::rt::task::spawn_blocking(move || unsent_peers(address));
    let Ok(read) = tokio::time::timeout(timeout, read).await else {
        log::info!("host: the system's send queues were not read within {timeout:?}");
        return None;
    };
    let read = read.unwrap_or_else(|panicked| Err(io::Error::other(panicked)));
    Some(read.unwrap_or_else(|error| {
        log::warn!("host: the system's send queues cannot be read: {error}");
        Vec::new()
    }))
}

/// Logs how many requests the exit cuts, with the ids of the first of them.
async fn log_cut<C: PlatformCodec>(shared: &Shared<C>) {
    let unsent_peers = read_unsent_peers(shared, CUT_READ_TIMEOUT).await;
    let unsent_peers = unsent_peers.unwrap_or_default();
    let ids = shared.undelivered_ids(&unsent_peers);
    let shown = ids.get(..MAX_LOGGED_IDS).unwrap_or(&ids);
    crate::telemetry::count_cut_requests(ids.len());
    log::info!(
        "host: name={} cut={} connections={} ids={}",
        shared.settings.name,
        ids.len(),
        shared.open_connections(),
        shown.join(",")
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
                Ok(within_system_limits(settings))
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
        log::info!("host: settings changed, in force: {:?}", shared.bounds());
    }
    let restart_settings = GatewaySettings {
        bounds: current.bounds,
        ..new.clone()
    };
    if restart_settings != *current {
        log::warn!("host: changed settings apply at the next start: {restart_settings:?}");
    }
}
