//! Model engines: answers in tokens, load reports and orders.

use std::net::SocketAddr;

use eelgrasshill_domain::{AdapterName, AppendId, Class, HostName, ModelName, RequestId, record};
use futures_util::Stream;
use serde_json::Value;

use crate::CallError;

record! {
    /// What an engine already sent of an answer that is to be resumed.
    pub struct Resume {
        /// The index of the first token that is still wanted.
        pub index: u64,
        /// The text of all tokens before it.
        pub text: String,
    }

    /// A request for an answer in tokens.
    pub struct GenerateRequest {
        /// The id that every chunk of the answer must carry.
        pub id: RequestId,
        /// The model.
        pub model: ModelName,
        /// The model's version.
        pub version: String,
        /// The adapter on top of the model.
        pub adapter: Option<AdapterName>,
        /// The caller's prompt or list of messages.
        pub input: Value,
        /// Most tokens to generate.
        pub max_tokens: u64,
        /// The priority.
        pub class: Class,
        /// Where to go on, if part of the answer was sent before.
        pub resume: Option<Resume>,
    }

    /// Tokens that an answer used.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Tokens of the prompt.
        pub prompt: u64,
        /// Tokens of the prompt that the prefix cache held.
        pub cached: u64,
        /// Tokens generated, those before a resumption included.
        pub completion: u64,
    }

    /// One event of an answer's stream.
    pub struct GenerateChunk {
        /// The request that the chunk answers.
        pub id: RequestId,
        /// The token's index, from zero; in the last chunk the number of tokens.
        pub index: u64,
        /// The token's text; empty in the last chunk.
        pub text: String,
        /// Why the answer ended; only in the last chunk.
        pub finish: Option<String>,
        /// Tokens used; only in the last chunk.
        pub usage: Option<Usage>,
    }

    /// A model that an engine serves.
    pub struct Resident {
        /// The model.
        pub model: ModelName,
        /// Its version.
        pub version: String,
        /// Adapters that are loaded on it.
        pub adapters: Vec<AdapterName>,
        /// Answers that are being generated.
        pub running: u32,
        /// Requests that wait inside the engine.
        pub waiting: u32,
    }

    /// A model that an engine is about to serve or to drop.
    pub struct Loading {
        /// The model.
        pub model: ModelName,
        /// Its version.
        pub version: String,
    }

    /// An engine's account of itself, published with a lag.
    pub struct EngineReport {
        /// The engine's host.
        pub host: HostName,
        /// A number that rises with every report.
        pub sequence: u64,
        /// The highest fencing number that the engine has seen.
        pub fence: u64,
        /// The models that it serves.
        pub resident: Vec<Resident>,
        /// The models that it is loading.
        pub loading: Vec<Loading>,
        /// The models that it is unloading.
        pub unloading: Vec<Loading>,
        /// Memory in use, loads included, in MB.
        pub used: u64,
        /// Memory in all, in MB.
        pub memory: u64,
        /// Answers that it generates at once.
        pub slots: u32,
        /// Ids of the latest orders that it processed, oldest first.
        pub orders: Vec<AppendId>,
        /// How old the account is, in milliseconds.
        pub age: u64,
    }

    /// What an order asks for.
    pub enum OrderAction {
        /// Load a model from the weight store.
        Load {
            /// The model.
            model: ModelName,
            /// Its version.
            version: String,
            /// Memory that it takes, in MB.
            memory: u64,
        },
        /// Unload a model once its answers have ended.
        Unload {
            /// The model.
            model: ModelName,
        },
        /// Load an adapter onto a resident model.
        LoadAdapter {
            /// The model.
            model: ModelName,
            /// The adapter.
            adapter: AdapterName,
        },
        /// Drop an adapter.
        UnloadAdapter {
            /// The model.
            model: ModelName,
            /// The adapter.
            adapter: AdapterName,
        },
        /// Raise the fencing number and do nothing else.
        Seal,
    }

    /// An order to an engine.
    pub struct Order {
        /// The order's unique id.
        pub id: AppendId,
        /// The fencing number of the lease under which it is given.
        pub fence: u64,
        /// What to do.
        pub action: OrderAction,
    }

    /// An engine's answer to an order.
    pub enum OrderAnswer {
        /// The order was taken; a report tells when it is done.
        Taken,
        /// A higher fencing number was seen before.
        Fenced {
            /// The highest number seen.
            highest: u64,
        },
        /// The order can't be carried out.
        Refused {
            /// Why.
            reason: String,
        },
    }
}

/// What an answer's connection gives next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Tokens or the answer's end.
    Chunk(GenerateChunk),
    /// The engine is alive and has no token yet.
    Ping,
}

/// Model engines, each met at its address.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait Engine {
    /// The events of one answer.
    type Events: Stream<Item = Result<StreamEvent, CallError>> + Unpin;

    /// Asks for an answer and returns its events.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the engine refused or no answer began.
    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<Self::Events, CallError>;

    /// Returns the engine's latest report.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no report came within the bound.
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, CallError>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no answer came; the order may take effect.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderAnswer, CallError>;

    /// Tells the engine that nobody waits for an answer any more.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no answer came.
    async fn cancel(&self, address: SocketAddr, id: &RequestId) -> Result<(), CallError>;
}
