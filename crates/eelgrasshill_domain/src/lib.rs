//! Shared types: names, tables, keys, log records, time and the budget of a host.

mod budget;
mod collections;
mod config;
mod digest;
mod macros;
mod name;
mod row;
mod tables;
mod time;

pub use budget::{
    ACCEPT_BACKLOG, ADMIN_CONNECTIONS, BudgetError, CLOSING_CONNECTIONS, CONNECTION_BYTES,
    DEFAULT_MAX_HEAD_BYTES, HostBudget, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES,
};
pub use collections::{FastMap, FastSet};
pub use config::{ConfigRecord, Edit, EditOutcome, KeyGrant, Rejection, RowChange};
pub use digest::{
    KeyDigest, KeyText, KeyTextError, digest_hex, fields_hash, rendezvous_order, rendezvous_weight,
};
pub use name::{
    AdapterName, AppendId, HostName, KeyId, ModelName, NameError, OrgName, PoolName, RequestId,
    RouteName, StreamName, ZoneName,
};
pub use row::{
    Caller, Class, Fencing, Host, Model, OnStale, Organisation, Pool, PoolKind, Repeat, Route, Row,
    RowKey, Target,
};
pub use tables::{MissingRowError, Tables};
pub use time::{Incarnation, Moment, Offset, Version};
