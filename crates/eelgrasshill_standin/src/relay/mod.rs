//! A TCP relay that imitates network faults.
//!
//! It is a proxy for tests and has nothing to do with the crate `eelgrasshill_relay`.
//! It can cut, silence or delay the connections between two processes. While
//! it is cut, its listener is closed, so that clients are refused at once.

mod connection;

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web::{self, Json, ServiceConfig};
use eelgrasshill_domain::{record, scalar};
use tokio::sync::watch;

use crate::fault::Faults;
use crate::server::{Standin, StartError};
use crate::sync::lock;

/// Delay before binding is retried on an address that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The address on which clients connect; the command line calls it `link` too.
    pub link: SocketAddr,
    /// The address to which connections are relayed.
    pub target: SocketAddr,
    /// The address of the admin paths.
    pub listen: SocketAddr,
}

impl RelaySettings {
    /// Creates settings for a relay to a target that listens on free ports.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            link: free,
            target,
            listen: free,
        }
    }
}

scalar! {
    /// How a relay treats its connections.
    #[derive(Default)]
    pub enum RelayMode {
        /// Connections are relayed.
        #[default]
        Pass,
        /// Open connections are closed and new ones refused.
        Cut,
        /// Connections stay open, but all their bytes are discarded.
        Silent,
    }
}

record! {
    /// The active faults of a relay.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct RelayFaults {
        /// How connections are treated.
        pub mode: RelayMode,
        /// Delay of the bytes in each direction, in milliseconds.
        #[serde(rename = "delay")]
        pub delay_ms: u64,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayControl {
    faults: RelayFaults,
    /// Connections accepted before this epoch are silent for good.
    silence_epoch: u64,
}

/// A TCP relay with fault switches.
#[derive(Clone, Debug)]
pub struct Relay {
    settings: Arc<RelaySettings>,
    address: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
    control: Arc<watch::Sender<RelayControl>>,
    /// Fault switches of the admin server, which stay unset; the relay's are in `control`.
    faults: Faults,
}

impl Relay {
    /// Creates a relay and binds the address on which clients connect.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the address cannot be bound.
    pub fn new(settings: RelaySettings) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.link)?;
        let address = listener.local_addr()?;
        let (control, _unused) = watch::channel(RelayControl::default());
        Ok(Self {
            settings: Arc::new(settings),
            address,
            listener: Arc::new(Mutex::new(Some(listener))),
            control: Arc::new(control),
            faults: Faults::new(),
        })
    }

    /// Returns the address on which clients connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the active faults.
    pub fn set(&self, faults: RelayFaults) {
        self.control.send_modify(|control| control.faults = faults);
    }

    /// Returns the active faults.
    #[must_use]
    pub fn get(&self) -> RelayFaults {
        self.control.borrow().faults
    }

    /// Closes open connections and refuses new ones.
    pub fn disconnect(&self) {
        self.set(RelayFaults {
            mode: RelayMode::Cut,
            ..self.get()
        });
    }

    /// Ends all faults; connections silenced for good stay silent.
    pub fn clear(&self) {
        self.set(RelayFaults::default());
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_connections(&self) {
        self.control
            .send_modify(|control| control.silence_epoch += 1);
    }

    /// Accepts connections; closes the listener while the relay is cut and then binds it again.
    async fn accept(self, initial_listener: TcpListener) {
        let mut initial_listener = Some(initial_listener);
        loop {
            self.wait_while_cut().await;
            let listener = match initial_listener.take() {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(self.address),
            };
            let listening = listener.and_then(|listener| {
                listener.set_nonblocking(true)?;
                tokio::net::TcpListener::from_std(listener)
            });
            match listening {
                Ok(listener) => self.serve(&listener).await,
                Err(error) => {
                    log::warn!(
                        "standin relay: cannot listen on {}, retry in {BIND_RETRY_INTERVAL:?}: {error}",
                        self.address
                    );
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Accepts connections until the relay is cut.
    async fn serve(&self, listener: &tokio::net::TcpListener) {
        loop {
            tokio::select! {
                biased;
                () = connection::wait_until_cut(self.control.subscribe()) => return,
                accepted = listener.accept() => match accepted {
                    Ok((client, _from)) => {
                        let control = self.control.subscribe();
                        let silence_epoch = control.borrow().silence_epoch;
                        let target = self.settings.target;
                        actix_web::rt::spawn(connection::relay_connection(
                            client,
                            target,
                            control,
                            silence_epoch,
                        ));
                    }
                    Err(error) => log::warn!(
                        "standin relay: cannot accept a connection on {}: {error}",
                        self.address
                    ),
                },
            }
        }
    }

    async fn wait_while_cut(&self) {
        let mut control = self.control.subscribe();
        let no_longer_cut = control
            .wait_for(|control| control.faults.mode != RelayMode::Cut)
            .await;
        if no_longer_cut.is_err() {
            log::debug!(
                "standin relay: stopped waiting for the end of a cut, because the relay was dropped"
            );
        }
    }
}

impl Standin for Relay {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn listen(&self) -> SocketAddr {
        self.settings.listen
    }

    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/admin/relay", web::get().to(get_faults))
            .route("/admin/relay", web::post().to(set_faults))
            .route("/admin/silence", web::post().to(silence));
    }

    fn spawn_tasks(&self) {
        let listener = lock(&self.listener).take();
        if let Some(listener) = listener {
            actix_web::rt::spawn(self.clone().accept(listener));
        }
    }
}

async fn get_faults(relay: web::Data<Relay>) -> Json<RelayFaults> {
    Json(relay.get())
}

async fn set_faults(relay: web::Data<Relay>, faults: Json<RelayFaults>) -> Json<RelayFaults> {
    relay.set(faults.into_inner());
    Json(relay.get())
}

async fn silence(relay: web::Data<Relay>) -> HttpResponse {
    relay.silence_connections();
    HttpResponse::NoContent().finish()
}
