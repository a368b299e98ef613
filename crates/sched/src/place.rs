//! Choice of an endpoint for a call.
//!
//! An endpoint's room is what its slots and memory leave after this daemon's own calls, its
//! peers' calls as they last told, and whatever its last load report shows beyond those. The
//! endpoint that holds the program's cache competes with two sampled others, so many daemons
//! that choose at once do not all take the same one, and the cost does not grow with the pool.
//! Long work leaves a part of each endpoint's slots to short work.

use crate::id::{DcId, EndpointId, Tokens};
use crate::queue::Policy;
use indexmap::IndexMap;
use std::time::Duration;

/// Part of the slots, in percent, from which long work is not added.
const LONG_SLOTS_PERCENT: u32 = 75;
/// Expected tokens from which work counts as long.
const LONG_TOKENS: Tokens = 256;
/// Cost of a call to another data centre.
const REMOTE_COST: Duration = Duration::from_millis(3);
/// Cost of each prompt token that the endpoint has no cache for.
const PREFILL_COST_PER_TOKEN: Duration = Duration::from_micros(150);
/// Cost of each expected token at an endpoint whose slots are all taken, relative to an empty one.
const FULL_COST_PER_TOKEN: Duration = Duration::from_millis(5);
/// Slowdown from which an endpoint gets one call at a time, as a probe.
const SLOW_FACTOR: f64 = 2.5;
/// Samples beside the endpoint with the cache.
const SAMPLES: usize = 2;

/// One endpoint as this daemon sees it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Its data centre.
    pub dc: DcId,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 where memory does not count.
    pub memory: Tokens,
    /// Calls of this daemon.
    pub own_calls: u32,
    /// Memory reserved by this daemon.
    pub own_memory: Tokens,
    /// Calls of the other daemons, as they last told.
    pub peer_calls: u32,
    /// Memory reserved by the other daemons, as they last told.
    pub peer_memory: Tokens,
    /// Factor by which it runs slower than its pool; 1 when it keeps up.
    pub slowdown: f64,
    /// Whether new work may go there.
    pub open: bool,
}

impl View {
    fn calls(&self) -> u32 {
        self.own_calls + self.peer_calls
    }

    fn fits(&self, need: &Criteria<'_>) -> bool {
        if !self.open || self.calls() >= self.slots {
            return false;
        }
        if need.policy == Policy::Program && self.slowdown >= SLOW_FACTOR && self.own_calls > 0 {
            return false;
        }
        if self.memory > 0 && self.own_memory + self.peer_memory + need.memory > self.memory {
            return self.calls() == 0;
        }
        !need.limits_long() || self.calls() * 100 < self.slots * LONG_SLOTS_PERCENT
    }

    fn cost(&self, need: &Criteria<'_>, cached: bool) -> Duration {
        let remote = if self.dc == *need.dc { Duration::ZERO } else { REMOTE_COST };
        let prefill = if cached { 0 } else { need.prompt };
        let full = FULL_COST_PER_TOKEN * u32::try_from(need.expected).unwrap_or(u32::MAX);
        let load = full.mul_f64(f64::from(self.calls()) / f64::from(self.slots.max(1)));
        let prefill = PREFILL_COST_PER_TOKEN * u32::try_from(prefill).unwrap_or(u32::MAX);
        (remote + prefill + load).mul_f64(self.slowdown.max(1.0))
    }
}

/// What a call needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Prompt tokens, history included.
    pub prompt: Tokens,
    /// Memory to reserve, in tokens.
    pub memory: Tokens,
    /// Tokens that the call is expected to generate.
    pub expected: Tokens,
    /// Endpoint that holds the program's cache.
    pub cached: Option<&'a EndpointId>,
    /// Endpoint that failed the call last; taken only when it is the only one with room.
    pub avoid: Option<&'a EndpointId>,
    /// Data centre of this daemon.
    pub dc: &'a DcId,
}

impl Criteria<'_> {
    fn limits_long(&self) -> bool {
        self.policy == Policy::Program && is_long(self.expected)
    }
}

/// Tells whether work of this expected length counts as long.
fn is_long(expected: Tokens) -> bool {
    expected >= LONG_TOKENS
}

/// Endpoints of one pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Endpoints by name.
    pub views: IndexMap<EndpointId, View>,
    turn: usize,
}

impl Pool {
    /// Chooses an endpoint with room, or none when every candidate is full.
    pub fn choose(&mut self, need: &Criteria<'_>, rng: &mut fastrand::Rng) -> Option<EndpointId> {
        match need.policy {
            Policy::Program => self.sample(need, rng),
            Policy::Fcfs => self.least_loaded(need),
            Policy::RoundRobin => self.in_turn(need),
        }
    }

    /// Tells whether an endpoint that keeps up has a free slot.
    pub fn has_healthy_free_slot(&self) -> bool {
        let keeping_up =
            self.views.values().filter(|view| view.open && view.slowdown < SLOW_FACTOR);
        keeping_up.into_iter().any(|view| view.calls() < view.slots)
    }

    fn sample(&self, need: &Criteria<'_>, rng: &mut fastrand::Rng) -> Option<EndpointId> {
        let count = self.views.len();
        if count == 0 {
            return None;
        }
        let cached = need.cached.and_then(|id| self.views.get_index_of(id));
        let mut candidates: Vec<usize> = cached.into_iter().collect();
        candidates.extend((0..SAMPLES).map(|_| rng.usize(..count)));
        self.cheapest(need, candidates.into_iter()).or_else(|| self.cheapest(need, 0..count))
    }

    fn cheapest(
        &self,
        need: &Criteria<'_>,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<EndpointId> {
        let fitting = candidates
            .filter_map(|index| self.views.get_index(index))
            .filter(|(_, view)| view.fits(need));
        let best = fitting.min_by_key(|(id, view)| {
            (need.avoid == Some(id), view.cost(need, need.cached == Some(id)))
        });
        best.map(|(id, _)| id.clone())
    }

    fn least_loaded(&self, need: &Criteria<'_>) -> Option<EndpointId> {
        let fitting = self.views.iter().filter(|(_, view)| view.fits(need));
        fitting.min_by_key(|(_, view)| view.calls()).map(|(id, _)| id.clone())
    }

    fn in_turn(&mut self, need: &Criteria<'_>) -> Option<EndpointId> {
        let count = self.views.len();
        let order = (0..count).map(|step| (self.turn + step) % count);
        let chosen = order.into_iter().find(|&index| self.views[index].fits(need))?;
        self.turn = (chosen + 1) % count;
        self.views.get_index(chosen).map(|(id, _)| id.clone())
    }
}
