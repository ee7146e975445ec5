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
    use_counter: u64,
    last_used: FastMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Adds a prompt and returns its total and its cached number of tokens.
    pub(super) fn insert_prompt(&mut self, request: &GenerateRequest) -> (u64, u64) {
        let total = prompt_tokens(&request.input);
        let text = request.input.to_string();
        let adapter = request.adapter.as_ref().map_or("", AdapterName::as_str);
        let mut hash = Fnv::default();
        hash.write(request.model.as_str().as_bytes());
        hash.write(&[0]);
        hash.write(adapter.as_bytes());
        let mut cached_blocks = 0;
        let mut missed = false;
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash.write(block);
            missed |= !self.touch(hash.0);
            cached_blocks += u64::from(!missed);
        }
        let blocks = (text.len() / BLOCK_BYTES).max(1) as u64;
        (total, total * cached_blocks / blocks)
    }

    /// Marks a block as most recently used and returns whether it was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.use_counter += 1;
        let before = self.last_used.insert(block, self.use_counter);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.use_counter, block);
        while self.last_used.len() > self.capacity {
            let Some((_time, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.last_used.remove(&oldest);
        }
        before.is_some()
    }
}
