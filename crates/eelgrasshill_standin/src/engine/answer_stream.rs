//! The server-sent events of one answer, with the faults that break a stream.

use std::sync::Arc;
use std::time::Duration;

use actix_web::web::Bytes;
use derive_more::{Display, Error};
use eelgrasshill_domain::RequestId;
use eelgrasshill_ports::GenerateChunk;
use futures_util::Stream;
use futures_util::stream::unfold;
use tokio::sync::mpsc::UnboundedReceiver;

use super::Engine;
use crate::fault::Connection;

/// The event that the engine sends while there is no token to send.
const PING: &[u8] = b"event: ping\ndata: {}\n\n";
/// The call label whose faults apply to streams.
pub(super) const GENERATE_LABEL: &str = "POST /generate";

/// The error that ends a stream broken off by a fault switch.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream was broken by a fault switch")]
pub(super) struct StreamBroken;

/// The sending side of one answer's stream.
#[derive(Debug)]
pub(super) struct AnswerStream {
    pub(super) engine: Engine,
    pub(super) id: RequestId,
    pub(super) connection: Option<Arc<Connection>>,
    pub(super) chunks: UnboundedReceiver<GenerateChunk>,
    pub(super) ping_interval: Duration,
    pub(super) chunks_sent: u64,
}

enum NextEvent {
    Ping,
    Chunk(GenerateChunk),
    End,
}

impl AnswerStream {
    /// Returns the encoded events until the answer ends or a fault breaks it off.
    pub(super) fn stream(self) -> impl Stream<Item = Result<Bytes, StreamBroken>> {
        unfold(Some(self), |answer_stream| async {
            let mut answer_stream = answer_stream?;
            let event = answer_stream.next_event_bytes().await;
            match event {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(answer_stream))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        })
    }

    /// Returns the bytes of the next event, or none at the end of the answer.
    async fn next_event_bytes(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        let next = match tokio::time::timeout(self.ping_interval, self.chunks.recv()).await {
            Err(_elapsed) => NextEvent::Ping,
            Ok(Some(chunk)) => NextEvent::Chunk(chunk),
            Ok(None) => NextEvent::End,
        };
        // A fault can hold the event back until it ends or for good, or break the stream off.
        let faults = &self.engine.faults;
        faults
            .wait_if_blocked(self.connection.as_ref(), GENERATE_LABEL)
            .await;
        let active = faults.get();
        if active
            .stall_after_tokens
            .is_some_and(|limit| self.chunks_sent >= limit)
        {
            std::future::pending::<()>().await;
        }
        if active
            .stop_after_tokens
            .is_some_and(|limit| self.chunks_sent >= limit)
        {
            return Err(StreamBroken);
        }
        match next {
            NextEvent::Ping => Ok(Some(Bytes::from_static(PING))),
            NextEvent::End => Ok(None),
            NextEvent::Chunk(chunk) => Ok(Some(self.encode(chunk)?)),
        }
    }

    fn encode(&mut self, mut chunk: GenerateChunk) -> Result<Bytes, StreamBroken> {
        self.chunks_sent += 1;
        if self.engine.faults.take_pending_swap() {
            chunk = self.engine.crossed_chunk(&self.id, chunk);
        }
        let mut bytes = b"data: ".to_vec();
        serde_json::to_writer(&mut bytes, &chunk).map_err(|error| {
            log::warn!("standin engine: cannot serialise an answer chunk: {error}");
            StreamBroken
        })?;
        bytes.extend_from_slice(b"\n\n");
        Ok(Bytes::from(bytes))
    }
}
