//! The prefix cache: decides how many tokens of a prompt need no prefill.
//!
//! Prompts are split into blocks, each hashed together with the model, the
//! adapter and all blocks before it. A block counts as cached only if all
//! earlier blocks of the prompt are cached too.

use std::collections::BTreeMap;

use eelgrasshill_domain::{AdapterName, FastMap};
use eelgrasshill_ports::GenerateRequest;

use crate::text::{Fnv, prompt_tokens};

/// Size of a block in prompt bytes.
const BLOCK_BYTES: usize = 64;

/// An LRU cache of prompt block hashes.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Number of the last use of any block.
    use_counter: u64,
    /// Use number of the last use of each cached block.
    last_use_of_block: FastMap<u64, u64>,
    /// Cached blocks by the use number of their last use.
    blocks_by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Adds a prompt; returns how many tokens it has and how many of them were cached.
    pub(super) fn insert_prompt(&mut self, request: &GenerateRequest) -> (u64, u64) {
        let total = prompt_tokens(&request.input);
        let text = request.input.to_string();
        let adapter = request.adapter.as_ref().map_or("", AdapterName::as_str);
        let mut hash = Fnv::default();
        hash.write(request.model.as_str().as_bytes());
        hash.write(&[0]);
        hash.write(adapter.as_bytes());
        let mut cached_blocks = 0;
        let mut prefix_ended = false;
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash.write(block);
            // Every block is marked as used, but only those before the first miss count.
            prefix_ended |= !self.touch(hash.0);
            cached_blocks += u64::from(!prefix_ended);
        }
        // A partial block at the end is not hashed; it counts as cached if all whole blocks are.
        let blocks = (text.len() / BLOCK_BYTES).max(1) as u64;
        (total, total * cached_blocks / blocks)
    }

    /// Marks a block as most recently used and returns whether it was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.use_counter += 1;
        let previous_use = self.last_use_of_block.insert(block, self.use_counter);
        if let Some(previous_use) = previous_use {
            self.blocks_by_last_use.remove(&previous_use);
        }
        self.blocks_by_last_use.insert(self.use_counter, block);
        while self.last_use_of_block.len() > self.capacity {
            let Some((_use_number, oldest)) = self.blocks_by_last_use.pop_first() else {
                break;
            };
            self.last_use_of_block.remove(&oldest);
        }
        previous_use.is_some()
    }
}
