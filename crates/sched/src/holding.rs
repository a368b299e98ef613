//! The memory that bodies of clients' requests hold in a process.
//!
//! A body is held from its first byte to the end of its request. Short and long bodies have parts of
//! their own, so that long ones cannot take the room of ordinary requests. When a part is full, bodies
//! that stopped arriving are given up, the longest stalled first; if that does not suffice, the body
//! that grows is refused.
//!
//! The load pattern that this answers is a crowd of clients that send large bodies and stop just short
//! of their ends.

use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Size up to which a body is short.
pub const SHORT_BYTES: usize = 64 << 10;
/// Part of the limit for short bodies: one in this many.
const SHORT_PART: usize = 4;
/// Time without a byte after which a body may be given up for another one.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Id of a body within a process.
pub type BodyId = u64;

/// A body that is held.
#[derive(Clone, Copy, Debug)]
struct Entry {
    bytes: usize,
    last_byte: Instant,
    /// Whether the whole body has arrived.
    is_complete: bool,
}

impl Entry {
    fn is_short(&self) -> bool {
        self.bytes <= SHORT_BYTES
    }
}

/// What happens to a body that grows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may grow, and these bodies are given up for it.
    Admitted(Vec<BodyId>),
    /// There is no room.
    Refused,
}

/// Account of the bytes that bodies hold.
#[derive(Clone, Debug)]
pub struct Account {
    limit: usize,
    bodies: IndexMap<BodyId, Entry>,
    next_id: BodyId,
    short_bytes: usize,
    long_bytes: usize,
}

impl Account {
    /// Creates an account that holds up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, bodies: IndexMap::new(), next_id: 0, short_bytes: 0, long_bytes: 0 }
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.short_bytes + self.long_bytes
    }

    /// Adds a body without bytes.
    pub fn open(&mut self, now: Instant) -> BodyId {
        self.next_id += 1;
        let entry = Entry { bytes: 0, last_byte: now, is_complete: false };
        self.bodies.insert(self.next_id, entry);
        self.next_id
    }

    /// Records that a body got a byte.
    pub fn touch(&mut self, id: BodyId, now: Instant) {
        if let Some(entry) = self.bodies.get_mut(&id) {
            entry.last_byte = now;
        }
    }

    /// Records that a body has arrived completely, so that it is not given up any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(entry) = self.bodies.get_mut(&id) {
            entry.is_complete = true;
        }
    }

    /// Removes a body.
    pub fn close(&mut self, id: BodyId) {
        if let Some(entry) = self.bodies.swap_remove(&id) {
            *self.part(entry.is_short()) -= entry.bytes;
        }
    }

    /// Lets a body grow to hold `bytes`, if there is room.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Instant) -> Verdict {
        let Some(entry) = self.bodies.get(&id).copied() else {
            return Verdict::Refused;
        };
        let grown = Entry { bytes, last_byte: now, ..entry };
        let is_short = grown.is_short();
        let own = if entry.is_short() == is_short { entry.bytes } else { 0 };
        let others = *self.part(is_short) - own;
        let limit = if is_short { self.limit / SHORT_PART } else { self.limit / SHORT_PART * 3 };
        let excess = (others + bytes).saturating_sub(limit);
        // One body alone is admitted whatever its length.
        let given_up =
            if others == 0 { Vec::new() } else { self.stalled(id, is_short, excess, now) };
        let freed: usize = given_up.iter().map(|id| self.bodies[id].bytes).sum();
        if freed < excess && others > freed {
            return Verdict::Refused;
        }
        given_up.iter().for_each(|id| self.close(*id));
        *self.part(entry.is_short()) -= entry.bytes;
        *self.part(is_short) += bytes;
        self.bodies.insert(id, grown);
        Verdict::Admitted(given_up)
    }

    /// Returns the bodies to give up so that `bytes` become free, the longest stalled first.
    fn stalled(&self, id: BodyId, is_short: bool, bytes: usize, now: Instant) -> Vec<BodyId> {
        if bytes == 0 {
            return Vec::new();
        }
        let is_stalled = |entry: &Entry| {
            !entry.is_complete && now.saturating_duration_since(entry.last_byte) >= STALLED_AFTER
        };
        let mut stalled: Vec<(&BodyId, &Entry)> = self
            .bodies
            .iter()
            .filter(|(other, entry)| **other != id && entry.is_short() == is_short)
            .filter(|(_, entry)| is_stalled(entry))
            .collect();
        stalled.sort_by_key(|(_, entry)| entry.last_byte);
        let mut freed = 0;
        let needed = stalled.into_iter().take_while(|(_, entry)| {
            let is_needed = freed < bytes;
            freed += entry.bytes;
            is_needed
        });
        needed.map(|(id, _)| *id).collect()
    }

    fn part(&mut self, is_short: bool) -> &mut usize {
        if is_short { &mut self.short_bytes } else { &mut self.long_bytes }
    }
}
