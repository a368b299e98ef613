//! What an engine's memory keeps of prompts, as far as its finished requests tell.
//!
//! An engine keeps the parts of the prompts that it has read and need not read them again while all
//! parts before them are kept too; the least recently used parts yield when its memory is full. The
//! model here follows the same rules, so it tells how much of a prompt an engine has to read. A line
//! of turns is one part that grows, so a part is kept up to a number of tokens.

use crate::id::{PartId, Tokens};
use crate::request::Part;
use indexmap::IndexMap;

/// Most parts that are remembered of one engine, where its memory is not known or very large.
const MAX_PARTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: Tokens,
    /// Number of the use that touched it last.
    used: u64,
}

/// Parts of prompts that one engine keeps.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: IndexMap<PartId, Kept>,
    tokens: Tokens,
    uses: u64,
}

impl Cache {
    /// Tokens at the start of a prompt that need not be read.
    pub fn cached(&self, prompt: &[Part]) -> Tokens {
        let mut sum = 0;
        for part in prompt {
            let kept = self.parts.get(&part.id).map_or(0, |kept| kept.tokens.min(part.tokens));
            sum += kept;
            if kept < part.tokens {
                break;
            }
        }
        sum
    }

    /// Notes that a prompt was read, and lets other parts yield beyond `memory` tokens; 0 sets no bound.
    pub fn insert(&mut self, prompt: &[Part], memory: Tokens) {
        self.uses += 1;
        for part in prompt {
            let kept = self.parts.entry(part.id).or_insert(Kept { tokens: 0, used: 0 });
            self.tokens += part.tokens.saturating_sub(kept.tokens);
            kept.tokens = kept.tokens.max(part.tokens);
            kept.used = self.uses;
        }
        while self.parts.len() > MAX_PARTS || (memory > 0 && self.tokens > memory) {
            if !self.yield_oldest() {
                break;
            }
        }
    }

    /// Drops the part that was used longest ago; of one prompt, the last part first.
    fn yield_oldest(&mut self) -> bool {
        let parts = self.parts.iter().enumerate();
        let oldest = parts.rev().min_by_key(|(_, (_, kept))| kept.used);
        let Some(at) = oldest.map(|(at, _)| at).filter(|_| self.parts.len() > 1) else {
            return false;
        };
        if let Some((_, kept)) = self.parts.shift_remove_index(at) {
            self.tokens -= kept.tokens;
        }
        true
    }
}
