//! Rows of the two tables that operators edit.

use std::net::SocketAddr;

use derive_more::{Display, From};

use crate::{
    AdapterName, HostName, ModelName, OrgName, PoolName, RouteName, ZoneName, record, scalar,
};

scalar! {
    /// How soon a request must be served.
    #[derive(Display)]
    pub enum Class {
        /// Dispatch work that goes first.
        #[display("urgent")]
        Urgent,
        /// A person waits for the answer.
        #[display("interactive")]
        Interactive,
        /// Work that may wait its turn but always finishes.
        #[display("batch")]
        Batch,
    }

    /// Whether a call may be sent to an upstream a second time.
    pub enum Repeat {
        /// The call is idempotent and may be retried.
        Allowed,
        /// The call runs at most once.
        Never,
    }

    /// Whether a host's engine refuses orders with an old fencing number.
    pub enum Fencing {
        /// The engine refuses an order whose number is below the highest seen.
        Checked,
        /// The engine takes every order.
        Ignored,
    }

    /// What the hosts of a pool run.
    pub enum PoolKind {
        /// Model engines.
        Engines,
        /// Plain HTTP services.
        Plain,
    }

    /// What a route does while its host has not heard of new tables.
    pub enum OnStale {
        /// Known keys go on working.
        Serve,
        /// Requests are refused once the tables are older than this many seconds.
        Refuse(u32),
    }
}

record! {
    /// Which callers a route admits.
    pub enum Caller {
        /// Anybody, with or without a key.
        Open,
        /// Callers that present a key of this organisation.
        Organisation(OrgName),
    }

    /// What a route reaches.
    pub enum Target {
        /// These models of the pool.
        Models(Vec<ModelName>),
        /// Plain calls whose path starts with this prefix.
        Path(String),
    }

    /// A row of the routes table: one organisation's share of the fleet.
    pub struct Organisation {
        /// Tokens that accrue in a second over all hosts.
        pub rate: u64,
        /// Most tokens that may be saved up over all hosts.
        pub burst: u64,
        /// Share among organisations that wait in the same class.
        pub weight: u32,
    }

    /// A row of the routes table: which callers reach what.
    pub struct Route {
        /// Who may use the route.
        pub caller: Caller,
        /// What the route reaches.
        pub target: Target,
        /// The pool that serves it.
        pub pool: PoolName,
        /// How soon its requests are served.
        pub class: Class,
        /// Whether its calls may be repeated.
        pub repeat: Repeat,
        /// What happens when the tables are stale.
        pub on_stale: OnStale,
    }

    /// A row of the pools table: a group of hosts of one kind.
    pub struct Pool {
        /// What its hosts run.
        pub kind: PoolKind,
    }

    /// A row of the pools table: one upstream host.
    pub struct Host {
        /// The pool it belongs to.
        pub pool: PoolName,
        /// The zone it stands in.
        pub zone: ZoneName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Memory for models and adapters in MB; zero for plain services.
        pub memory: u64,
        /// Number of accelerators; zero for plain services.
        pub accelerators: u32,
        /// Whether it refuses old fencing numbers.
        pub fencing: Fencing,
    }

    /// A row of the pools table: one model that a pool holds.
    pub struct Model {
        /// The pool that holds it.
        pub pool: PoolName,
        /// Memory of one resident copy in MB.
        pub memory: u64,
        /// The version to serve.
        pub version: String,
        /// The adapters that callers may name as `model:adapter`.
        pub adapters: Vec<AdapterName>,
    }

    /// Any row of the two tables.
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

    /// The name of any row of the two tables.
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
