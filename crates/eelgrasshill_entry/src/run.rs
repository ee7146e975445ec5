//! Starts, drains and stops the threads of one entry host.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use actix::Actor;
use actix_web::dev::ServerHandle;
use arc_swap::ArcSwap;
use derive_more::{Display, Error, From};
use eelgrasshill_domain::Incarnation;
use eelgrasshill_limit::{Effect, Holder, LimitSettings, Limiter, Process};
use eelgrasshill_ports::{
    HttpClient, HttpClientSettings, HttpEngine, HttpHostList, HttpLog, descriptor_limit,
};
use eelgrasshill_route::{DispatchSettings, Drain, DrainEvent, DrainSettings, DrainState, View};
use eelgrasshill_settings::EntrySettings;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::{Notify, mpsc};

use crate::control::messages::LogStream;
use crate::control::{
    Control, HttpServiceClients, forward_claims, read_log_stream, run_limit_effects, serve_peers,
};
use crate::http::{serve_admin, serve_callers};
use crate::{BootClock, ClaimCommand, Quota, Shared, SharedDispatcher};

/// Interval at which a waiting thread checks the state that it waits for.
///
/// These states are the drain, the claims, the rights and the stop flag.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last request's outcome to reach the control thread during a drain.
const LAST_OUTCOME_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of claim commands queued for the control thread.
const MAX_PENDING_COMMANDS: usize = 4096;

/// Maximum time to record claim outcomes, and then to release rights, during a drain.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// An error that prevents an entry host from starting.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address could not be bound, or a thread could not be started.
    #[display("cannot bind an address or start a thread: {_0}")]
    Io(io::Error),
    /// The HTTP thread ended before its listeners were ready.
    #[display("the HTTP thread ended before its listeners were ready")]
    ThreadEnded,
}

/// A running entry host on threads of this process.
#[derive(Debug)]
pub struct EntryHost {
    shared: Arc<Shared>,
    caller_server: ServerHandle,
    threads: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Starts the host's threads and returns once its listeners accept connections.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when an address cannot be bound or a thread cannot start.
    pub fn start(
        settings: EntrySettings,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let settings = match descriptor_limit() {
            Some(descriptors) => settings.within_descriptors(descriptors),
            None => settings,
        };
        let (settings, listeners) = bind(settings)?;
        let (shared, control_inbox) = build_shared(settings, BootClock.incarnation());
        let control = spawn_control(&shared, control_inbox, listeners.peer)?;
        let (http, caller_server) =
            spawn_http(&shared, listeners.callers, listeners.admin, metrics)?;
        log::info!(
            "host: {} serves callers at {} and peers at {}, memory={} MB connections={}",
            shared.settings.name,
            shared.settings.caller_address,
            shared.settings.peer_address,
            shared.settings.memory_mb,
            shared.settings.bounds.max_connections
        );
        Ok(Self {
            shared,
            caller_server,
            threads: vec![control, http],
        })
    }

    /// Returns the state shared by the host's threads.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down after open requests end; returns false on a drain timeout.
    #[must_use]
    pub fn drain(self) -> bool {
        let shared = &self.shared;
        log::info!("host: {} is draining", shared.settings.name);
        let mut state = shared.step_drain(DrainEvent::Begin, BootClock.now());
        while matches!(
            state,
            DrainState::Ready | DrainState::NotReady | DrainState::NoNewConnections
        ) {
            std::thread::sleep(STATE_POLL_INTERVAL);
            state = shared.step_drain(DrainEvent::Tick, BootClock.now());
        }
        self.wait_claims_settled();
        self.release_rights();
        let graceful = state == DrainState::Drained;
        self.stop_threads(graceful);
        graceful
    }

    /// Waits up to [`RELEASE_TIMEOUT`] for all claim outcomes to be in the log.
    fn wait_claims_settled(&self) {
        let began = BootClock.now();
        // The last request's outcome may still be queued for the control thread.
        std::thread::sleep(LAST_OUTCOME_DELAY);
        while !self.shared.are_claims_idle() {
            if BootClock.now().since(began) > RELEASE_TIMEOUT {
                log::warn!(
                    "host: claim outcomes were not recorded in the log within {RELEASE_TIMEOUT:?}"
                );
                return;
            }
            std::thread::sleep(STATE_POLL_INTERVAL);
        }
    }

    /// Gives up this host's rights to accrue tokens.
    ///
    /// Waits up to [`RELEASE_TIMEOUT`] until the log records it.
    fn release_rights(&self) {
        let began = BootClock.now();
        self.shared.quota.with_limiter(began, Limiter::drain);
        while BootClock.now().since(began) < RELEASE_TIMEOUT {
            let now = BootClock.now();
            if self
                .shared
                .quota
                .with_limiter(now, |limiter| limiter.is_drained())
            {
                return;
            }
            std::thread::sleep(STATE_POLL_INTERVAL);
        }
        log::warn!(
            "host: the rights to accrue tokens were not released within {RELEASE_TIMEOUT:?}"
        );
    }

    /// Stops without draining, for tests of a host failure.
    pub fn kill(self) {
        self.stop_threads(false);
    }

    fn stop_threads(self, graceful: bool) {
        self.shared.stop();
        // The returned future only waits for the server to stop; the joins below do that too.
        drop(self.caller_server.stop(graceful));
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("host: the control or HTTP thread panicked");
            }
        }
    }
}

/// The listening sockets of one host.
struct Listeners {
    callers: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Binds all sockets and writes the bound addresses back to the settings.
///
/// With port 0 in the settings the system chooses the port.
fn bind(mut settings: EntrySettings) -> io::Result<(EntrySettings, Listeners)> {
    let callers = TcpListener::bind(settings.caller_address)?;
    let peer = TcpListener::bind(settings.peer_address)?;
    let admin = TcpListener::bind(settings.admin_address)?;
    peer.set_nonblocking(true)?;
    settings.caller_address = callers.local_addr()?;
    settings.peer_address = peer.local_addr()?;
    settings.admin_address = admin.local_addr()?;
    Ok((
        settings,
        Listeners {
            callers,
            peer,
            admin,
        },
    ))
}

/// Queues from the traffic threads to the control thread.
struct ControlInbox {
    effects: mpsc::Receiver<Effect>,
    commands: mpsc::Receiver<ClaimCommand>,
}

fn build_shared(settings: EntrySettings, incarnation: Incarnation) -> (Arc<Shared>, ControlInbox) {
    let view = Arc::new(ArcSwap::from_pointee(View::new(&settings.zone, Vec::new())));
    let dispatch_settings = DispatchSettings {
        class_limit: settings.bounds.max_queued_requests,
        ..Default::default()
    };
    let dispatcher = SharedDispatcher::new(dispatch_settings, Arc::clone(&view));
    let holder = Holder {
        process: Process {
            host: settings.name.clone(),
            incarnation,
        },
        zone: settings.zone.clone(),
        address: settings.peer_address,
    };
    let (quota, effects) = Quota::new(Limiter::new(holder, LimitSettings::default()));
    let drain = Drain::new(DrainSettings {
        readiness_delay: settings.bounds.readiness_delay,
        timeout: settings.bounds.drain_timeout,
    });
    let (claim_commands, commands) = mpsc::channel(MAX_PENDING_COMMANDS);
    let shared = Shared::new(
        settings,
        incarnation,
        view,
        dispatcher,
        quota,
        drain,
        claim_commands,
    );
    (Arc::new(shared), ControlInbox { effects, commands })
}

fn spawn_control(
    shared: &Arc<Shared>,
    control_inbox: ControlInbox,
    listener: TcpListener,
) -> Result<JoinHandle<()>, StartError> {
    let shared = Arc::clone(shared);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let system = actix::System::new();
            system.block_on(run_control(shared, control_inbox, listener));
        })?;
    Ok(thread)
}

async fn run_control(shared: Arc<Shared>, control_inbox: ControlInbox, listener: TcpListener) {
    let client = HttpClient::new(HttpClientSettings::default());
    let engine_timeout = client.settings().answer_timeout;
    let log = HttpLog::new(client.clone(), shared.settings.log_address);
    let clients = HttpServiceClients {
        log: log.clone(),
        host_list: HttpHostList::new(client.clone(), shared.settings.host_list_address),
        engine: HttpEngine::new(client, engine_timeout),
    };
    let state_changed = Arc::new(Notify::new());
    let addr = Control::new(Arc::clone(&shared), clients, Arc::clone(&state_changed)).start();
    actix::spawn(read_log_stream(
        log.clone(),
        addr.clone(),
        LogStream::Config,
    ));
    actix::spawn(read_log_stream(
        log.clone(),
        addr.clone(),
        LogStream::Rights,
    ));
    actix::spawn(run_limit_effects(
        Arc::clone(&shared),
        log,
        control_inbox.effects,
    ));
    actix::spawn(forward_claims(addr.clone(), control_inbox.commands));
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            let peer_server = serve_peers(listener, addr, Arc::clone(&shared), state_changed);
            actix::spawn(async move {
                if let Err(error) = peer_server.await {
                    log::error!("peer: the server for peers stopped: {error}");
                }
            });
        }
        Err(error) => log::error!("peer: cannot listen for peers: {error}"),
    }
    while !shared.is_stopped() {
        tokio::time::sleep(STATE_POLL_INTERVAL).await;
    }
}

type StartResult = Result<ServerHandle, io::Error>;

fn spawn_http(
    shared: &Arc<Shared>,
    caller_listener: TcpListener,
    admin_listener: TcpListener,
    metrics: Option<PrometheusHandle>,
) -> Result<(JoinHandle<()>, ServerHandle), StartError> {
    let shared = Arc::clone(shared);
    let (sender, started): (_, Receiver<StartResult>) = channel();
    let thread = std::thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || {
            let system = actix::System::new();
            system.block_on(async move {
                let servers = serve_callers(&shared, caller_listener).and_then(|caller_server| {
                    let admin_server = serve_admin(&shared, admin_listener, metrics)?;
                    Ok((caller_server, admin_server))
                });
                let (caller_server, admin_server) = match servers {
                    Ok(servers) => servers,
                    Err(error) => {
                        // The thread in `start` may no longer wait for this result, and nothing
                        // else reads it.
                        let _gone = sender.send(Err(error));
                        return;
                    }
                };
                let _gone = sender.send(Ok(caller_server.handle()));
                let admin_handle = admin_server.handle();
                actix::spawn(admin_server);
                if let Err(error) = caller_server.await {
                    log::error!("http: the server for callers stopped: {error}");
                }
                admin_handle.stop(false).await;
            });
        })?;
    let handle = started.recv().map_err(|_ended| StartError::ThreadEnded)??;
    Ok((thread, handle))
}
