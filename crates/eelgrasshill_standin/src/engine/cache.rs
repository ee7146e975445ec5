//! The prefix cache: which blocks of earlier prompts need not be computed again.

use std::collections::BTreeMap;

use eelgrasshill_domain::{AdapterName, FastMap};
use eelgrasshill_ports::GenerateRequest;

use crate::text::{Fnv, prompt_tokens};

/// Prompt bytes of one block.
const BLOCK_BYTES: usize = 64;

/// A cache of prompt blocks that forgets the least recently used.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    limit: usize,
    clock: u64,
    used: FastMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the tokens of the prompt and how many of them were cached.
    pub(super) fn enter(&mut self, request: &GenerateRequest) -> (u64, u64) {
        let total = prompt_tokens(&request.input);
        let text = request.input.to_string();
        let adapter = request.adapter.as_ref().map_or("", AdapterName::as_str);
        let mut hash = Fnv::default();
        hash.write(request.model.as_str().as_bytes());
        hash.write(&[0]);
        hash.write(adapter.as_bytes());
        let mut held = 0;
        let mut missed = false;
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash.write(block);
            missed |= !self.touch(hash.0);
            held += u64::from(!missed);
        }
        let blocks = (text.len() / BLOCK_BYTES).max(1) as u64;
        (total, total * held / blocks)
    }

    /// Marks a block as used now and returns whether it was held.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
        while self.used.len() > self.limit {
            let Some((_time, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
        }
        before.is_some()
    }
}
