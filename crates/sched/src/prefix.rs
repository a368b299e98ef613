//! Model of the prompt cache of an engine, from the requests that it completed.
//!
//! An engine caches the parts of the prompts that it has prefilled. It need not prefill a part
//! again while all parts before it are cached too, and it evicts the least recently used parts when
//! its memory is full. The model follows the same rules, so it tells how much of a prompt the
//! engine has to prefill. The turns of a session are one growing part, so the model stores how many
//! tokens of each part are cached.

use crate::id::{PartId, Tokens};
use crate::request::Part;
use indexmap::IndexMap;

/// Maximum number of parts per engine, which bounds the model if the memory is unknown or very
/// large.
const MAX_PARTS: usize = 1_024;

/// Cached tokens of one part.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: Tokens,
    /// Value of the cache's clock at its last use.
    last_used: u64,
}

/// Prompt parts that one engine has cached.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: IndexMap<PartId, Entry>,
    tokens: Tokens,
    /// Number of inserted prompts.
    clock: u64,
}

impl Cache {
    /// Returns how many tokens at the start of a prompt are cached.
    pub fn cached(&self, prompt: &[Part]) -> Tokens {
        let mut sum = 0;
        for part in prompt {
            let cached = self.parts.get(&part.id).map_or(0, |entry| entry.tokens.min(part.tokens));
            sum += cached;
            if cached < part.tokens {
                break;
            }
        }
        sum
    }

    /// Adds a prompt and evicts the least recently used parts beyond `memory` tokens; 0 means no
    /// limit.
    pub fn insert(&mut self, prompt: &[Part], memory: Tokens) {
        self.clock += 1;
        for part in prompt {
            let entry = self.parts.entry(part.id).or_insert(Entry { tokens: 0, last_used: 0 });
            self.tokens += part.tokens.saturating_sub(entry.tokens);
            entry.tokens = entry.tokens.max(part.tokens);
            entry.last_used = self.clock;
        }
        while self.parts.len() > MAX_PARTS || (memory > 0 && self.tokens > memory) {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Evicts the least recently used part; among parts of the same prompt, the last one. Returns
    /// `false` if only one part is left.
    fn evict_oldest(&mut self) -> bool {
        let parts = self.parts.iter().enumerate();
        let oldest = parts.rev().min_by_key(|(_, (_, entry))| entry.last_used);
        let Some(index) = oldest.map(|(index, _)| index).filter(|_| self.parts.len() > 1) else {
            return false;
        };
        if let Some((_, entry)) = self.parts.shift_remove_index(index) {
            self.tokens -= entry.tokens;
        }
        true
    }
}
