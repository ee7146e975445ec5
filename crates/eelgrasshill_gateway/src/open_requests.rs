//! Ids of the requests whose answers are not delivered, for the log of a stopping host.

use std::collections::VecDeque;
use std::net::SocketAddr;

use eelgrasshill_domain::FastMap;

/// Maximum number of requests that are kept after the server has taken their answers.
///
/// Only the id of the last request of a connection is of use, so this covers as many connections.
const MAX_RECENT: usize = 256;

/// Id of a request that is not known, as it has not been read or was forgotten.
const UNKNOWN_ID: &str = "-";

#[derive(Debug)]
struct Entry {
    peer: Option<SocketAddr>,
    id: String,
}

/// Open requests, and the latest ones whose answers the server has taken.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    last_number: u64,
    open: FastMap<u64, Entry>,
    recent: VecDeque<Entry>,
}

impl OpenRequests {
    /// Adds a request and returns its number.
    pub(crate) fn insert(&mut self, peer: Option<SocketAddr>) -> u64 {
        self.last_number += 1;
        let id = UNKNOWN_ID.to_owned();
        self.open.insert(self.last_number, Entry { peer, id });
        self.last_number
    }

    pub(crate) fn set_id(&mut self, number: u64, id: &str) {
        if let Some(entry) = self.open.get_mut(&number) {
            id.clone_into(&mut entry.id);
        }
    }

    /// Removes a request whose answer the server has taken, or whose connection has ended.
    pub(crate) fn remove(&mut self, number: u64) {
        let Some(entry) = self.open.remove(&number) else {
            return;
        };
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(entry);
    }

    /// Returns the ids of the open requests, and of the last request of each other of the peers.
    pub(crate) fn undelivered_ids(&self, unsent_peers: &[SocketAddr]) -> Vec<String> {
        let mut ids: Vec<_> = self.open.values().map(|entry| entry.id.clone()).collect();
        for peer in unsent_peers {
            if self.open.values().any(|entry| entry.peer == Some(*peer)) {
                continue;
            }
            let last = self.recent.iter().rev();
            let last = last
                .filter(|entry| entry.peer == Some(*peer))
                .map(|entry| entry.id.as_str())
                .next();
            ids.push(last.unwrap_or(UNKNOWN_ID).to_owned());
        }
        ids
    }
}
