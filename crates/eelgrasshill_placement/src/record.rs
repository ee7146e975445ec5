//! Orders to engines and the records of a zone's lease stream.
//!
//! A successor learns from these records alone what its predecessor may have sent, so every
//! order is in the stream before it leaves.

use derive_more::Display;
use eelgrasshill_domain::{
    AdapterName, AppendId, HostName, Model, ModelName, Offset, record, scalar,
};

scalar! {
    /// The unique id of an order, the same on every repeat.
    #[derive(Display)]
    #[display("{fence}-{seq}")]
    pub struct OrderId {
        /// The fencing number of the term that made the order.
        pub fence: Offset,
        /// A number that rises within the term.
        pub seq: u64,
    }
}

record! {
    /// What an engine is told to do.
    pub enum Action {
        /// Load a model's version.
        Load {
            /// The model.
            model: ModelName,
            /// The version to load.
            version: String,
            /// Memory of the copy in MB.
            memory: u64,
        },
        /// Unload a model in whatever version is resident.
        Unload {
            /// The model.
            model: ModelName,
        },
        /// Load an adapter of a resident model.
        LoadAdapter {
            /// The model.
            model: ModelName,
            /// The adapter.
            adapter: AdapterName,
        },
        /// Unload an adapter.
        UnloadAdapter {
            /// The model.
            model: ModelName,
            /// The adapter.
            adapter: AdapterName,
        },
        /// Raise the engine's fencing number and do nothing else.
        Seal,
    }

    /// An order to one engine.
    pub struct Order {
        /// The order's id.
        pub id: OrderId,
        /// The sender's fencing number.
        pub fence: Offset,
        /// What to do.
        pub action: Action,
    }

    /// An order together with the engine that it is for.
    pub struct Intent {
        /// The engine.
        pub engine: HostName,
        /// The order.
        pub order: Order,
    }

    /// A record of the stream `lease-ZONE`.
    pub enum LeaseRecord {
        /// Asks for the lease; its offset becomes the fencing number.
        Claim {
            /// The claiming host.
            host: HostName,
            /// The last lease record that the claimer knew; another one in between voids the claim.
            after: Option<Offset>,
        },
        /// Extends the lease of the current term.
        Renew {
            /// The holder.
            host: HostName,
            /// The term's fencing number.
            fence: Offset,
        },
        /// Orders that are about to be sent.
        Intent {
            /// The term's fencing number.
            fence: Offset,
            /// The orders.
            intents: Vec<Intent>,
        },
        /// Orders that can no longer take effect, or whose effect is in the engine's reports.
        Resolved {
            /// The term's fencing number.
            fence: Offset,
            /// The orders.
            orders: Vec<OrderId>,
        },
        /// Gives the lease up; its holder sends no order after appending this.
        Release {
            /// The term's fencing number.
            fence: Offset,
        },
    }

    /// A record at its place in the stream.
    pub struct LeaseEntry {
        /// The record's offset.
        pub offset: Offset,
        /// The id under which it was appended.
        pub id: AppendId,
        /// The record.
        pub record: LeaseRecord,
    }
}

impl Action {
    /// Makes the load of a model in the version of its row.
    #[must_use]
    pub fn load(name: &ModelName, row: &Model) -> Self {
        Self::Load {
            model: name.clone(),
            version: row.version.clone(),
            memory: row.memory,
        }
    }

    /// Returns the model whose residency the action changes.
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
