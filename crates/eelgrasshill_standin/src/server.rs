//! Runs a stand-in as an HTTP server.
//!
//! A stand-in runs either on the caller's actix system or on its own thread;
//! the latter works under any runtime and while the caller blocks.

use std::any::Any;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::dev::{Extensions, Server, ServerHandle};
use actix_web::middleware::from_fn;
use actix_web::web::{JsonConfig, PayloadConfig, ServiceConfig};
use actix_web::{App, HttpServer};
use derive_more::{Display, Error, From};

use crate::fault::Faults;
use crate::middleware::{self, apply_faults};

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a stand-in did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// Binding the address or starting the thread failed.
    #[display("cannot start the server: {_0}")]
    Io(std::io::Error),
    /// The server ended before it had a listening socket.
    #[display("the server thread ended before it reported its address")]
    Ended,
}

/// A server that replaces an external system in tests.
pub trait Standin: Clone + Debug + Send + 'static {
    /// Returns the fault switches.
    fn faults(&self) -> &Faults;

    /// Returns the address to listen on; port 0 selects a free port.
    fn listen(&self) -> SocketAddr;

    /// Adds the routes of the server.
    fn configure(&self, config: &mut ServiceConfig);

    /// Starts background tasks on the server's thread.
    fn spawn_tasks(&self) {}

    /// Starts the server on the caller's actix system.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the address cannot be bound.
    fn start(self) -> Result<RunningServer<Self>, StartError> {
        let (server, address) = serve(&self)?;
        let stop = server.handle();
        actix_web::rt::spawn(server);
        Ok(RunningServer {
            address,
            handle: self,
            stop,
            thread: None,
        })
    }

    /// Starts the server on its own thread, under any runtime of the caller.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the address cannot be bound.
    fn spawn_thread(self) -> Result<RunningServer<Self>, StartError> {
        let (sender, receiver) = mpsc::channel();
        let handle = self.clone();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || {
                actix_web::rt::System::new().block_on(run(&self, &sender));
            })?;
        let (stop, address) = receiver
            .recv()
            .map_err(|_sender_dropped| StartError::Ended)??;
        Ok(RunningServer {
            address,
            handle,
            stop,
            thread: Some(thread),
        })
    }
}

type StartResult = Result<(ServerHandle, SocketAddr), StartError>;

async fn run<S: Standin>(standin: &S, started: &mpsc::Sender<StartResult>) {
    let server = match serve(standin) {
        Ok((server, address)) => {
            let sent = started.send(Ok((server.handle(), address)));
            if sent.is_err() {
                return;
            }
            server
        }
        Err(error) => {
            if started.send(Err(error)).is_err() {
                log::debug!("standin: server failed to start, and its caller no longer waits");
            }
            return;
        }
    };
    if let Err(error) = server.await {
        log::warn!("standin: server stopped with an error: {error}");
    }
}

fn serve<S: Standin>(standin: &S) -> Result<(Server, SocketAddr), StartError> {
    let standin_for_workers = standin.clone();
    let connection_faults = standin.faults().clone();
    let server = HttpServer::new(move || {
        let standin = standin_for_workers.clone();
        let faults = standin.faults().clone();
        standin.spawn_tasks();
        App::new()
            .app_data(
                JsonConfig::default()
                    .limit(MAX_BODY_BYTES)
                    .content_type_required(false),
            )
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .wrap(from_fn(move |request, next| {
                apply_faults(faults.clone(), request, next)
            }))
            .configure(|config| middleware::configure(standin.faults(), config))
            .configure(|config| standin.configure(config))
    })
    .on_connect(move |connection, data| register_connection(&connection_faults, connection, data))
    .workers(1)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    .shutdown_timeout(0)
    .disable_signals()
    .bind(standin.listen())?;
    let address = server.addrs().first().copied().ok_or(StartError::Ended)?;
    Ok((server.run(), address))
}

/// Duplicates the socket handle, so that a fault switch can close the connection.
fn register_connection(faults: &Faults, connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else {
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("standin: cannot set TCP_NODELAY: {error}");
    }
    match stream.as_fd().try_clone_to_owned() {
        Ok(socket) => {
            data.insert(faults.accept(socket.into()));
        }
        Err(error) => log::warn!(
            "standin: cannot duplicate the socket of a connection, which faults cannot close: {error}"
        ),
    }
}

/// A running stand-in; dropping it stops the server and its connections.
#[derive(Debug)]
pub struct RunningServer<S> {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The stand-in, which gives access to its counts and fault switches.
    pub handle: S,
    stop: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl<S> RunningServer<S> {
    /// Waits until the server thread ends.
    ///
    /// A server on the caller's actix system has no thread to wait for: it is stopped at once.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::warn!("standin: server thread panicked");
        }
    }
}

impl<S> Drop for RunningServer<S> {
    fn drop(&mut self) {
        drop(self.stop.stop(false));
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::warn!("standin: server thread panicked");
        }
    }
}
