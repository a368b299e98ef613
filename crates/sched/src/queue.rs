//! Order of waiting calls.
//!
//! A call's rank is fixed when it arrives: its arrival time plus a delay in proportion to the
//! service that its whole program has had and is expected to need now. Short work overtakes long
//! work that arrived shortly before, and since later arrivals get later ranks, long work cannot
//! starve. Ranks are wall-clock milliseconds, so ranks of different daemons compare, and engines
//! take them as priorities. Adding, taking and removing cost the logarithm of the queue's length.

use crate::id::{ProgramId, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay of a call's rank for each token that its program has had.
const DELAY_PER_ATTAINED: Duration = Duration::from_micros(500);
/// Delay of a call's rank for each token that it is expected to generate.
const DELAY_PER_EXPECTED: Duration = Duration::from_millis(10);
/// Longest delay of a rank by service.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// Delay for each call of the same team already under way, divided by the team's share.
const DELAY_PER_TEAM_CALL: Duration = Duration::from_millis(10);
/// Change of a rank for each step of priority.
const PRIORITY_STEP_MS: i64 = 2_000;

/// How waiting calls are ordered and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// By the program's service, with predicted reservations.
    #[default]
    Program,
    /// First come, first served to the least-loaded endpoint, reserving the asked maximum.
    Fcfs,
    /// First come, first served to each endpoint in turn, reserving the asked maximum.
    RoundRobin,
}

/// Rank of a waiting call, in milliseconds since the Unix epoch; lower runs sooner.
pub type Rank = i64;

/// What a call's rank is computed from.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankInput {
    /// Arrival, in milliseconds since the Unix epoch.
    pub arrival_ms: i64,
    /// Tokens generated for the program so far.
    pub attained: Tokens,
    /// Tokens that the call is expected to generate.
    pub expected: Tokens,
    /// The program's priority.
    pub priority: i8,
    /// The team's calls under way at this daemon.
    pub team_calls: u32,
    /// The team's share.
    pub team_share: u32,
}

/// Computes the rank of a call that arrives now.
pub fn rank(policy: Policy, facts: RankInput) -> Rank {
    match policy {
        Policy::Fcfs | Policy::RoundRobin => facts.arrival_ms,
        Policy::Program => program_rank(facts),
    }
}

fn program_rank(facts: RankInput) -> Rank {
    let attained = scale(DELAY_PER_ATTAINED, facts.attained);
    let expected = scale(DELAY_PER_EXPECTED, facts.expected);
    let service = (attained + expected).min(MAX_DELAY);
    let team = DELAY_PER_TEAM_CALL * facts.team_calls / facts.team_share.max(1);
    let delay = (service + team).as_millis() as i64;
    facts.arrival_ms + delay - i64::from(facts.priority) * PRIORITY_STEP_MS
}

fn scale(step: Duration, count: Tokens) -> Duration {
    step.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}

/// A call that waits for an endpoint.
#[derive(Clone, Debug)]
pub struct Item {
    /// The program.
    pub program: ProgramId,
    /// Rank in the queue.
    pub rank: Rank,
    /// Prompt tokens, history included.
    pub prompt: Tokens,
    /// Memory to reserve at the endpoint, in tokens.
    pub reserve: Tokens,
    /// Tokens that the call is expected to generate.
    pub expected: Tokens,
}

/// Key of a waiting call; unique within a queue.
pub type Key = (Rank, u64);

/// Waiting calls of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Key, Item>,
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

    /// The call to run next, after those up to `after`.
    pub fn next_after(&self, after: Option<Key>) -> Option<(Key, &Item)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.items.range((from, Unbounded)).next().map(|(key, item)| (*key, item))
    }

    /// Removes a call.
    pub fn remove(&mut self, key: &Key) -> Option<Item> {
        self.items.remove(key)
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of calls ahead of `key`.
    pub fn ahead(&self, key: &Key) -> usize {
        self.items.range(..*key).count()
    }
}
