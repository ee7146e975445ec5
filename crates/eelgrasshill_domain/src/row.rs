//! Rows of the routes table and the pools table, which operators edit.

use std::net::SocketAddr;

use derive_more::{Display, From};

use crate::{
    AdapterName, HostName, ModelName, OrgName, PoolName, RouteName, ZoneName, record, scalar,
};

scalar! {
    /// Priority class of a request.
    #[derive(Display)]
    pub enum Class {
        /// Urgent work, which is served first.
        #[display("urgent")]
        Urgent,
        /// Requests for whose answer a person waits.
        #[display("interactive")]
        Interactive,
        /// Work that may wait, but is never starved.
        #[display("batch")]
        Batch,
    }

    /// Whether a call may be sent to an upstream more than once.
    pub enum Repeat {
        /// The call is idempotent and may be sent again.
        Allowed,
        /// The call must run at most once.
        Never,
    }

    /// Whether a host's engine checks fencing tokens.
    pub enum Fencing {
        /// The engine refuses orders whose token is below the highest one seen.
        Checked,
        /// The engine accepts orders with any token.
        Ignored,
    }

    /// Kind of service that the hosts of a pool run.
    pub enum PoolKind {
        /// Engines that serve models.
        Engines,
        /// HTTP services without models.
        Plain,
    }

    /// Behaviour of a route while the host's tables may be out of date.
    pub enum OnStale {
        /// Requests with known keys are still accepted.
        Serve,
        /// Requests are refused if the tables are older than this many seconds.
        Refuse(u32),
    }
}

record! {
    /// Callers that a route admits.
    pub enum Caller {
        /// All callers, with or without a key.
        Open,
        /// Callers with a key of this organisation.
        Organisation(OrgName),
    }

    /// Requests that a route serves.
    pub enum Target {
        /// Requests for these models of the pool.
        Models(Vec<ModelName>),
        /// Plain HTTP calls with this path prefix.
        Path(String),
    }

    /// Row of the routes table: limits and weight of an organisation.
    pub struct Organisation {
        /// Tokens per second, over all hosts.
        pub rate: u64,
        /// Maximum tokens that can accumulate, over all hosts.
        pub burst: u64,
        /// Weight in fair sharing among organisations of the same class.
        pub weight: u32,
    }

    /// Row of the routes table: a rule that sends callers' requests to a pool.
    pub struct Route {
        /// Callers that may use the route.
        pub caller: Caller,
        /// Requests that the route serves.
        pub target: Target,
        /// Pool that serves the route.
        pub pool: PoolName,
        /// Priority class of its requests.
        pub class: Class,
        /// Whether its calls may be sent more than once.
        pub repeat: Repeat,
        /// Behaviour while the tables may be out of date.
        pub on_stale: OnStale,
    }

    /// Row of the pools table: a group of hosts of one kind.
    pub struct Pool {
        /// Kind of service that its hosts run.
        pub kind: PoolKind,
    }

    /// Row of the pools table: an upstream host.
    pub struct Host {
        /// Pool that the host belongs to.
        pub pool: PoolName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Memory for models and adapters, in MB; zero for plain services.
        #[serde(rename = "memory")]
        pub memory_mb: u64,
        /// Number of accelerators; zero for plain services.
        pub accelerators: u32,
        /// Whether its engine checks fencing tokens.
        pub fencing: Fencing,
    }

    /// Row of the pools table: a model that a pool offers.
    pub struct Model {
        /// Pool that offers the model.
        pub pool: PoolName,
        /// Memory of one loaded copy, in MB.
        #[serde(rename = "memory")]
        pub memory_mb: u64,
        /// Version to serve.
        pub version: String,
        /// Adapters that callers may request as `model:adapter`.
        pub adapters: Vec<AdapterName>,
    }

    /// Row of either table.
    #[derive(From)]
    pub enum Row {
        /// An organisation of the routes table.
        Organisation(Organisation),
        /// A route of the routes table.
        Route(Route),
        /// A pool of the pools table.
        Pool(Pool),
        /// A host of the pools table.
        Host(Host),
        /// A model of the pools table.
        Model(Model),
    }

    /// Key of a row of either table: its kind and name.
    #[derive(PartialOrd, Ord, Hash, Display)]
    pub enum RowKey {
        /// An organisation of the routes table.
        #[display("organisation.{_0}")]
        Organisation(OrgName),
        /// A route of the routes table.
        #[display("route.{_0}")]
        Route(RouteName),
        /// A pool of the pools table.
        #[display("pool.{_0}")]
        Pool(PoolName),
        /// A host of the pools table.
        #[display("host.{_0}")]
        Host(HostName),
        /// A model of the pools table.
        #[display("model.{_0}")]
        Model(ModelName),
    }
}
