//! The outside systems that the control thread meets, as one type.

use std::fmt::Debug;

use eelgrasshill_ports::{Engine, HostList, HttpEngine, HttpHostList, HttpLog, Log};

/// The log, the host list and the engines.
pub(crate) trait ServiceClients: Debug + 'static {
    /// The log service.
    type Log: Log;
    /// The host list.
    type Hosts: HostList;
    /// The model engines.
    type Engine: Engine;

    /// Returns the log service.
    fn log(&self) -> &Self::Log;

    /// Returns the host list.
    fn hosts(&self) -> &Self::Hosts;

    /// Returns the model engines.
    fn engine(&self) -> &Self::Engine;
}

/// The outside systems over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpServiceClients {
    pub(crate) log: HttpLog,
    pub(crate) hosts: HttpHostList,
    pub(crate) engine: HttpEngine,
}

impl ServiceClients for HttpServiceClients {
    type Log = HttpLog;
    type Hosts = HttpHostList;
    type Engine = HttpEngine;

    fn log(&self) -> &HttpLog {
        &self.log
    }

    fn hosts(&self) -> &HttpHostList {
        &self.hosts
    }

    fn engine(&self) -> &HttpEngine {
        &self.engine
    }
}
