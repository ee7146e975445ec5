//! Starts a stand-in on the caller's system or on a thread of its own.

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

/// Longest time that an idle connection is kept.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a stand-in did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The address could not be bound or a thread not started.
    #[display("cannot listen: {_0}")]
    Io(std::io::Error),
    /// The thread ended before it listened.
    #[display("the thread ended before it listened")]
    Ended,
}

/// A server that stands in for an outside system.
pub trait Standin: Clone + Debug + Send + 'static {
    /// Returns the fault switches.
    fn faults(&self) -> &Faults;

    /// Returns the address to listen on; port 0 stands for any free port.
    fn listen(&self) -> SocketAddr;

    /// Adds the paths that the server answers.
    fn configure(&self, config: &mut ServiceConfig);

    /// Starts background work on the server's thread.
    fn spawn_tasks(&self) {}

    /// Starts the server on the caller's actix system.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the address cannot be bound.
    fn start(self) -> Result<Running<Self>, StartError> {
        let (server, address) = serve(&self)?;
        let stop = server.handle();
        actix_web::rt::spawn(server);
        Ok(Running {
            address,
            handle: self,
            stop,
            thread: None,
        })
    }

    /// Starts the server on a thread of its own, whatever the caller's runtime.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the address cannot be bound.
    fn spawn_thread(self) -> Result<Running<Self>, StartError> {
        let (sender, receiver) = mpsc::channel();
        let handle = self.clone();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || {
                actix_web::rt::System::new().block_on(run(&self, &sender));
            })?;
        let (stop, address) = receiver.recv().map_err(|_gone| StartError::Ended)??;
        Ok(Running {
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
                log::debug!("standin: nobody waits for the start");
            }
            return;
        }
    };
    if let Err(error) = server.await {
        log::warn!("standin: server ended: {error}");
    }
}

fn serve<S: Standin>(standin: &S) -> Result<(Server, SocketAddr), StartError> {
    let app = standin.clone();
    let faults = standin.faults().clone();
    let server = HttpServer::new(move || {
        let standin = app.clone();
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
    .on_connect(move |connection, data| register_connection(&faults, connection, data))
    .workers(1)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    .shutdown_timeout(0)
    .disable_signals()
    .bind(standin.listen())?;
    let address = server.addrs().first().copied().ok_or(StartError::Ended)?;
    Ok((server.run(), address))
}

/// Keeps a second handle on the socket, by which a fault can close it.
fn register_connection(faults: &Faults, connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else {
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("standin: no immediate sending: {error}");
    }
    match stream.as_fd().try_clone_to_owned() {
        Ok(socket) => {
            data.insert(faults.accept(socket.into()));
        }
        Err(error) => log::warn!("standin: connection without fault switches: {error}"),
    }
}

/// A running stand-in; dropping it stops the server and its connections.
#[derive(Debug)]
pub struct Running<S> {
    /// Where it listens.
    pub address: SocketAddr,
    /// The stand-in, with its counts and switches.
    pub handle: S,
    stop: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl<S> Running<S> {
    /// Waits until the server ends, which only happens to one on its own thread.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::warn!("standin: server thread panicked");
        }
    }
}

impl<S> Drop for Running<S> {
    fn drop(&mut self) {
        drop(self.stop.stop(false));
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::warn!("standin: server thread panicked");
        }
    }
}
