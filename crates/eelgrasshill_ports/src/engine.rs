//! The interface of model engines: token streams, load reports and orders.

use std::net::SocketAddr;

use eelgrasshill_domain::{AdapterName, AppendId, Class, HostName, ModelName, RequestId, record};
use futures_util::Stream;
use serde_json::Value;

use crate::CallError;

record! {
    /// The part of a resumed answer that was already sent to the caller.
    pub struct Resume {
        /// The index of the first token that is still missing.
        #[serde(rename = "index")]
        pub next_index: u64,
        /// The text of all tokens before it.
        pub text: String,
    }

    /// A request to generate an answer.
    pub struct GenerateRequest {
        /// The request id, which every chunk of the answer must repeat.
        pub id: RequestId,
        /// The model that generates the answer.
        pub model: ModelName,
        /// The required version of the model.
        pub version: String,
        /// The adapter to apply to the model, if any.
        pub adapter: Option<AdapterName>,
        /// The prompt or list of messages from the caller.
        pub input: Value,
        /// The maximum number of tokens to generate.
        pub max_tokens: u64,
        /// The priority class of the request.
        pub class: Class,
        /// Where to continue, if part of the answer was already sent.
        pub resume: Option<Resume>,
    }

    /// The token counts of one answer.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Tokens in the prompt.
        #[serde(rename = "prompt")]
        pub prompt_tokens: u64,
        /// Prompt tokens that were found in the prefix cache.
        #[serde(rename = "cached")]
        pub cached_tokens: u64,
        /// Generated tokens, including those before a resumption.
        #[serde(rename = "completion")]
        pub completion_tokens: u64,
    }

    /// One event of a streamed answer.
    pub struct GenerateChunk {
        /// The id of the request that the chunk answers.
        pub id: RequestId,
        /// The zero-based index of the token; in the last chunk the number of tokens.
        ///
        /// In both cases it is the number of tokens before this chunk.
        pub index: u64,
        /// The text of the token; empty in the last chunk.
        pub text: String,
        /// The reason why the answer ended; only in the last chunk.
        #[serde(rename = "finish")]
        pub finish_reason: Option<String>,
        /// The token counts; only in the last chunk.
        pub usage: Option<Usage>,
    }

    /// A model that is loaded on an engine.
    pub struct ResidentModel {
        /// The name of the model.
        pub model: ModelName,
        /// The loaded version.
        pub version: String,
        /// Adapters that are loaded for the model.
        pub adapters: Vec<AdapterName>,
        /// The number of answers being generated.
        pub running: u32,
        /// The number of requests queued in the engine.
        pub waiting: u32,
    }

    /// A model that an engine is loading or unloading.
    pub struct ModelVersion {
        /// The name of the model.
        pub model: ModelName,
        /// The version that is loaded or unloaded.
        pub version: String,
    }

    /// The state of an engine at its last report.
    ///
    /// Entry hosts read it; the gateway reads the report of the users' platform instead.
    pub struct EngineReport {
        /// The host that the engine runs on.
        pub host: HostName,
        /// A number that increases with every report.
        #[serde(rename = "sequence")]
        pub report_number: u64,
        /// The highest fencing token that the engine has seen.
        pub fence: u64,
        /// The models that can serve requests.
        pub resident: Vec<ResidentModel>,
        /// The models that are being loaded.
        pub loading: Vec<ModelVersion>,
        /// The models that are being unloaded.
        pub unloading: Vec<ModelVersion>,
        /// Memory in use, including models being loaded, in MB.
        #[serde(rename = "used")]
        pub used_mb: u64,
        /// Total memory, in MB.
        #[serde(rename = "memory")]
        pub memory_mb: u64,
        /// The maximum number of answers that the engine generates concurrently.
        pub slots: u32,
        /// Ids of the most recently processed orders, oldest first.
        #[serde(rename = "orders")]
        pub recent_orders: Vec<AppendId>,
        /// The age of the report, in milliseconds.
        #[serde(rename = "age")]
        pub age_ms: u64,
        /// The version of the engine's software.
        ///
        /// It is left out where all engines run the same one.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub software: String,
    }

    /// A change that an engine is ordered to make.
    pub enum OrderAction {
        /// Load a model from the weight store.
        Load {
            /// The model to load.
            model: ModelName,
            /// The version to load.
            version: String,
            /// The memory that the model needs, in MB.
            #[serde(rename = "memory")]
            memory_mb: u64,
        },
        /// Unload a model once its running answers have ended.
        Unload {
            /// The model to unload.
            model: ModelName,
        },
        /// Load an adapter for a resident model.
        LoadAdapter {
            /// The resident model.
            model: ModelName,
            /// The adapter to load.
            adapter: AdapterName,
        },
        /// Unload an adapter.
        UnloadAdapter {
            /// The model that the adapter belongs to.
            model: ModelName,
            /// The adapter to unload.
            adapter: AdapterName,
        },
        /// Raise the fencing token of the engine without any other change.
        #[serde(rename = "seal")]
        RaiseFence,
    }

    /// An order that a lease holder sends to an engine.
    pub struct Order {
        /// The unique id of the order.
        pub id: AppendId,
        /// The fencing token of the lease under which the order is sent.
        pub fence: u64,
        /// The change to make.
        pub action: OrderAction,
    }

    /// The answer of an engine to an order.
    pub enum OrderAnswer {
        /// The order was accepted; a later report shows its completion.
        #[serde(rename = "taken")]
        Accepted,
        /// The order was rejected, since a higher fencing token was seen before.
        Fenced {
            /// The highest fencing token that the engine has seen.
            #[serde(rename = "highest")]
            highest_fence: u64,
        },
        /// The engine cannot execute the order.
        Refused {
            /// The reason that the engine gave.
            reason: String,
        },
    }
}

/// An event on the connection of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineStreamEvent {
    /// A token, or the end of the answer.
    Chunk(GenerateChunk),
    /// A keep-alive: the engine works but has no token yet.
    Ping,
}

/// A client of model engines, each identified by its address.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait EngineClient {
    /// The event stream of one answer.
    type Events: Stream<Item = Result<EngineStreamEvent, CallError>> + Unpin;

    /// Requests an answer and returns its event stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the engine refused the request or no answer started.
    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<Self::Events, CallError>;

    /// Returns the latest report of the engine.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no report arrived before the timeout.
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, CallError>;

    /// Sends an order to the engine.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no answer arrived; the order may still take effect.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderAnswer, CallError>;

    /// Cancels an answer that no caller waits for any more.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the engine did not confirm the cancellation.
    async fn cancel(&self, address: SocketAddr, id: &RequestId) -> Result<(), CallError>;
}
