//! The clients of the control thread, bundled so that one type parameter selects them.

use std::fmt::Debug;

use eelgrasshill_ports::{EngineClient, HostList, HttpEngine, HttpHostList, HttpLog, LogClient};

/// Clients of the log service, the host list and the engines.
pub(crate) trait ServiceClients: Debug + 'static {
    /// The client of the log service.
    type Log: LogClient;
    /// The client of the host list.
    type Hosts: HostList;
    /// The client of the model engines.
    type Engine: EngineClient;

    /// Returns the client of the log service.
    fn log(&self) -> &Self::Log;

    /// Returns the client of the host list.
    fn host_list(&self) -> &Self::Hosts;

    /// Returns the client of the model engines.
    fn engine(&self) -> &Self::Engine;
}

/// Clients that use HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpServiceClients {
    pub(crate) log: HttpLog,
    pub(crate) host_list: HttpHostList,
    pub(crate) engine: HttpEngine,
}

impl ServiceClients for HttpServiceClients {
    type Log = HttpLog;
    type Hosts = HttpHostList;
    type Engine = HttpEngine;

    fn log(&self) -> &HttpLog {
        &self.log
    }

    fn host_list(&self) -> &HttpHostList {
        &self.host_list
    }

    fn engine(&self) -> &HttpEngine {
        &self.engine
    }
}
