//! Orders to engines and the records of a zone's lease stream.
//!
//! A successor learns only from these records which orders its predecessor may have sent, so
//! every order is written to the stream before it is sent.

use derive_more::Display;
use eelgrasshill_domain::{
    AdapterName, AppendId, HostName, Model, ModelName, Offset, record, scalar,
};

scalar! {
    /// The unique id of an order, unchanged when the order is repeated.
    #[derive(Display)]
    #[display("{fence}-{seq}")]
    pub struct OrderId {
        /// The fencing token of the term in which the order was made.
        pub fence: Offset,
        /// Sequence number of the order within its term.
        pub seq: u64,
    }
}

record! {
    /// The operation that an order asks an engine to perform.
    pub enum Action {
        /// Loads one version of a model.
        Load {
            /// The model to load.
            model: ModelName,
            /// The version to load.
            version: String,
            /// Memory that the copy occupies, in MB.
            memory: u64,
        },
        /// Unloads a model, whichever version is resident.
        Unload {
            /// The model to unload.
            model: ModelName,
        },
        /// Loads an adapter of a resident model.
        LoadAdapter {
            /// The resident model.
            model: ModelName,
            /// The adapter to load.
            adapter: AdapterName,
        },
        /// Unloads an adapter.
        UnloadAdapter {
            /// The model of the adapter.
            model: ModelName,
            /// The adapter to unload.
            adapter: AdapterName,
        },
        /// Raises the engine's fencing token and does nothing else.
        Seal,
    }

    /// An order to one engine.
    pub struct Order {
        /// The id of the order.
        pub id: OrderId,
        /// The fencing token of the sender, equal to `id.fence` whenever the order is sent.
        pub fence: Offset,
        /// The operation to perform.
        pub action: Action,
    }

    /// An order and the engine to which it will be sent.
    pub struct Intent {
        /// The engine that executes the order.
        pub engine: HostName,
        /// The order to be sent.
        pub order: Order,
    }

    /// A record of the stream `lease-ZONE`.
    pub enum LeaseRecord {
        /// Claims the lease; the record's offset becomes the fencing token.
        Claim {
            /// The host that claims the lease.
            host: HostName,
            /// The last lease change that the claimant had read.
            ///
            /// Another change between it and the claim makes the claim void.
            after: Option<Offset>,
        },
        /// Extends the lease of the current term.
        Renew {
            /// The host that holds the lease.
            host: HostName,
            /// The fencing token of the term.
            fence: Offset,
        },
        /// Announces orders that are about to be sent.
        Intent {
            /// The fencing token of the term.
            fence: Offset,
            /// The orders and their engines.
            intents: Vec<Intent>,
        },
        /// Lists orders that can no longer take effect or whose effect was reported.
        Resolved {
            /// The fencing token of the term.
            fence: Offset,
            /// The ids of the orders.
            orders: Vec<OrderId>,
        },
        /// Releases the lease; its holder sends no more orders after this append.
        Release {
            /// The fencing token of the term.
            fence: Offset,
        },
    }

    /// A record of the lease stream with its offset.
    pub struct LeaseEntry {
        /// The position of the record in the stream.
        pub offset: Offset,
        /// The id of the append, which a repeated append keeps.
        pub id: AppendId,
        /// The content of the record.
        pub record: LeaseRecord,
    }
}

impl Action {
    /// Creates the action that loads the version in a model's table row.
    #[must_use]
    pub fn load(name: &ModelName, model: &Model) -> Self {
        Self::Load {
            model: name.clone(),
            version: model.version.clone(),
            memory: model.memory_mb,
        }
    }

    /// Returns the model that the action loads or unloads.
    #[must_use]
    pub fn model(&self) -> Option<&ModelName> {
        match self {
            Self::Load { model, .. } | Self::Unload { model } => Some(model),
            Self::LoadAdapter { .. } | Self::UnloadAdapter { .. } | Self::Seal => None,
        }
    }

    /// Returns whether the action loads a model.
    #[must_use]
    pub fn is_load(&self) -> bool {
        matches!(self, Self::Load { .. })
    }
}
