//! One answer's server-sent events, with the faults that break a stream.

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
use crate::fault::Link;

/// The event by which the engine shows that it is alive.
const PING: &[u8] = b"event: ping\ndata: {}\n\n";
/// The kind of call whose faults concern streams.
const LABEL: &str = "POST /generate";

/// A stream that a fault switch broke.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream was broken by a fault switch")]
pub(super) struct Broken;

/// The sending end of one answer.
#[derive(Debug)]
pub(super) struct Feed {
    pub(super) engine: Engine,
    pub(super) id: RequestId,
    pub(super) link: Option<Arc<Link>>,
    pub(super) events: UnboundedReceiver<GenerateChunk>,
    pub(super) ping: Duration,
    pub(super) sent: u64,
}

enum Next {
    Ping,
    Chunk(GenerateChunk),
    End,
}

impl Feed {
    /// Returns the events as bytes until the answer ends or is broken.
    pub(super) fn stream(self) -> impl Stream<Item = Result<Bytes, Broken>> {
        unfold(Some(self), |feed| async {
            let mut feed = feed?;
            let event = feed.next().await;
            match event {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(feed))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        let next = match tokio::time::timeout(self.ping, self.events.recv()).await {
            Err(_elapsed) => Next::Ping,
            Ok(Some(chunk)) => Next::Chunk(chunk),
            Ok(None) => Next::End,
        };
        let faults = &self.engine.faults;
        faults.hold(self.link.as_ref(), LABEL).await;
        let set = faults.get();
        if set.stall_after.is_some_and(|limit| self.sent >= limit) {
            std::future::pending::<()>().await;
        }
        if set.stop_after.is_some_and(|limit| self.sent >= limit) {
            return Err(Broken);
        }
        match next {
            Next::Ping => Ok(Some(Bytes::from_static(PING))),
            Next::End => Ok(None),
            Next::Chunk(chunk) => Ok(Some(self.encode(chunk)?)),
        }
    }

    fn encode(&mut self, mut chunk: GenerateChunk) -> Result<Bytes, Broken> {
        self.sent += 1;
        if self.engine.faults.take_cross() {
            chunk = self.engine.foreign(&self.id, chunk);
        }
        let mut bytes = b"data: ".to_vec();
        serde_json::to_writer(&mut bytes, &chunk).map_err(|error| {
            log::warn!("standin engine: chunk cannot be written: {error}");
            Broken
        })?;
        bytes.extend_from_slice(b"\n\n");
        Ok(Bytes::from(bytes))
    }
}
