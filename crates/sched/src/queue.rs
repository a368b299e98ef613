//! Priority queue of waiting calls.
//!
//! The rank of a call is fixed when the call arrives: it is the arrival time plus a delay in
//! proportion to the service that the whole program has attained and that the call is expected to
//! need. Short work overtakes long work that arrived shortly before it; long work cannot starve,
//! since later arrivals get later ranks. Ranks are wall-clock milliseconds, so ranks of different
//! daemons are comparable and engines use them as priorities. Adding, finding and removing a call
//! take logarithmic time in the length of the queue.

use crate::id::{ProgramId, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay of a call's rank per token generated for its program so far.
const DELAY_PER_ATTAINED: Duration = Duration::from_micros(500);
/// Delay of a call's rank per token that the call is expected to generate.
const DELAY_PER_EXPECTED: Duration = Duration::from_millis(10);
/// Maximum delay of a rank by attained and expected service.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// Delay of a call's rank per call of the same team in progress, divided by the team's share.
const DELAY_PER_TEAM_CALL: Duration = Duration::from_millis(10);
/// Milliseconds by which each step of priority moves a rank ahead.
const PRIORITY_STEP_MS: i64 = 2_000;

/// The policy by which waiting calls are ordered and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// By the service of the program, reserving the predicted number of tokens.
    #[default]
    Program,
    /// First come, first served to the least-loaded endpoint, reserving the requested maximum.
    Fcfs,
    /// First come, first served to the endpoints in turn, reserving the requested maximum.
    RoundRobin,
}

/// Rank of a waiting call, in milliseconds since the Unix epoch; the lowest rank runs first.
pub type Rank = i64;

/// The values that the rank of a call is computed from.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankInput {
    /// Arrival time, in milliseconds since the Unix epoch.
    pub arrival_ms: i64,
    /// Tokens generated for the program so far.
    pub attained: Tokens,
    /// Tokens that the call is expected to generate.
    pub expected: Tokens,
    /// Priority of the program.
    pub priority: i8,
    /// Number of the team's calls in progress at this daemon.
    pub team_calls: u32,
    /// Configured share of the team ([`crate::config::Team::share`]).
    pub team_share: u32,
}

/// Returns the rank of a call that arrives now.
pub fn rank(policy: Policy, input: RankInput) -> Rank {
    match policy {
        Policy::Fcfs | Policy::RoundRobin => input.arrival_ms,
        Policy::Program => program_rank(input),
    }
}

fn program_rank(input: RankInput) -> Rank {
    let attained = scale(DELAY_PER_ATTAINED, input.attained);
    let expected = scale(DELAY_PER_EXPECTED, input.expected);
    let service = (attained + expected).min(MAX_DELAY);
    let team = DELAY_PER_TEAM_CALL * input.team_calls / input.team_share.max(1);
    let delay = (service + team).as_millis() as i64;
    input.arrival_ms + delay - i64::from(input.priority) * PRIORITY_STEP_MS
}

fn scale(step: Duration, count: Tokens) -> Duration {
    step.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}

/// A call that waits for an endpoint.
#[derive(Clone, Debug)]
pub struct Item {
    /// Program that makes the call.
    pub program: ProgramId,
    /// Rank of the call.
    pub rank: Rank,
    /// Number of prompt tokens, including the history.
    pub prompt: Tokens,
    /// Engine memory to reserve at the endpoint, in tokens.
    pub reserve: Tokens,
    /// Number of tokens that the call is expected to generate.
    pub expected: Tokens,
}

/// Key of a waiting call: its rank and a sequence number that is unique within the queue.
pub type Key = (Rank, u64);

/// The waiting calls of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Key, Item>,
    /// Number of calls ever added.
    added: u64,
}

impl Queue {
    /// Adds a call and returns its key.
    pub fn push(&mut self, item: Item) -> Key {
        self.added += 1;
        let key = (item.rank, self.added);
        self.items.insert(key, item);
        key
    }

    /// Returns the first call after the key `after`, or the first of all calls if it is `None`.
    pub fn next_after(&self, after: Option<Key>) -> Option<(Key, &Item)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.items.range((from, Unbounded)).next().map(|(key, item)| (*key, item))
    }

    /// Removes the call with this key.
    pub fn remove(&mut self, key: &Key) -> Option<Item> {
        self.items.remove(key)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no calls are waiting.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of calls ahead of `key`.
    pub fn ahead(&self, key: &Key) -> usize {
        self.items.range(..*key).count()
    }
}
