//! Choice of an endpoint for a call.
//!
//! The free capacity of an endpoint is what its slots and memory leave after this daemon's own
//! calls and the calls that the other daemons last reported. The endpoint that has the program's
//! prompt cached competes with two random ones, so daemons that choose at the same time do not all
//! take the same endpoint, and the cost of a choice does not grow with the pool. A part of each
//! endpoint's slots is reserved for short calls.

use crate::id::{DcId, EndpointId, Tokens};
use crate::queue::Policy;
use indexmap::IndexMap;
use std::time::Duration;

/// Percentage of used slots from which no further long call is placed on an endpoint.
const LONG_CALL_SLOTS_PERCENT: u32 = 75;
/// Expected number of generated tokens from which a call counts as long.
const LONG_CALL_TOKENS: Tokens = 256;
/// Cost of placing a call in another data centre.
const REMOTE_COST: Duration = Duration::from_millis(3);
/// Cost per prompt token that the endpoint has to prefill.
const PREFILL_COST_PER_TOKEN: Duration = Duration::from_micros(150);
/// Extra cost per expected token on a fully loaded endpoint, compared with an idle one.
const FULL_COST_PER_TOKEN: Duration = Duration::from_millis(5);
/// Slowdown from which an endpoint gets only one call at a time, as a probe.
const SLOW_FACTOR: f64 = 2.5;
/// Number of random candidates besides the endpoint with the cached prompt.
const SAMPLES: usize = 2;

/// State of one endpoint as known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Data centre of the endpoint.
    pub dc: DcId,
    /// Maximum number of calls that it runs at the same time.
    pub slots: u32,
    /// Memory in tokens; 0 if memory is not a limit.
    pub memory: Tokens,
    /// Number of calls that this daemon runs there.
    pub own_calls: u32,
    /// Memory reserved by this daemon, in tokens.
    pub own_memory: Tokens,
    /// Number of calls of the other daemons, as last reported by them.
    pub peer_calls: u32,
    /// Memory reserved by the other daemons, in tokens, as last reported by them.
    pub peer_memory: Tokens,
    /// Factor by which it is slower than its pool; 1 if it is not slow.
    pub slowdown: f64,
    /// Whether it accepts new calls.
    pub open: bool,
}

impl View {
    fn calls(&self) -> u32 {
        self.own_calls + self.peer_calls
    }

    fn fits(&self, criteria: &Criteria<'_>) -> bool {
        if !self.open || self.calls() >= self.slots {
            return false;
        }
        if criteria.policy == Policy::Program && self.slowdown >= SLOW_FACTOR && self.own_calls > 0
        {
            return false;
        }
        if self.memory > 0 && self.own_memory + self.peer_memory + criteria.memory > self.memory {
            return self.calls() == 0;
        }
        !criteria.leaves_reserved_slots()
            || self.calls() * 100 < self.slots * LONG_CALL_SLOTS_PERCENT
    }

    fn cost(&self, criteria: &Criteria<'_>, cached: bool) -> Duration {
        let remote = if self.dc == *criteria.dc { Duration::ZERO } else { REMOTE_COST };
        let prefill = if cached { 0 } else { criteria.prompt };
        let full = FULL_COST_PER_TOKEN * u32::try_from(criteria.expected).unwrap_or(u32::MAX);
        let load = full.mul_f64(f64::from(self.calls()) / f64::from(self.slots.max(1)));
        let prefill = PREFILL_COST_PER_TOKEN * u32::try_from(prefill).unwrap_or(u32::MAX);
        (remote + prefill + load).mul_f64(self.slowdown.max(1.0))
    }
}

/// Criteria for the choice of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Policy by which endpoints are chosen.
    pub policy: Policy,
    /// Number of prompt tokens, including the history.
    pub prompt: Tokens,
    /// Memory to reserve, in tokens.
    pub memory: Tokens,
    /// Number of tokens that the call is expected to generate.
    pub expected: Tokens,
    /// Endpoint that has the program's prompt cached.
    pub cached: Option<&'a EndpointId>,
    /// Endpoint that failed the call last; chosen only if no other one has free capacity.
    pub avoid: Option<&'a EndpointId>,
    /// Data centre of this daemon.
    pub dc: &'a DcId,
}

impl Criteria<'_> {
    /// Returns whether the call has to leave the slots that are reserved for short calls.
    fn leaves_reserved_slots(&self) -> bool {
        self.policy == Policy::Program && is_long(self.expected)
    }
}

/// Returns whether a call with this expected number of tokens counts as long.
fn is_long(expected: Tokens) -> bool {
    expected >= LONG_CALL_TOKENS
}

/// Endpoints of one pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Endpoints by id.
    pub views: IndexMap<EndpointId, View>,
    /// Index at which the next round-robin search starts.
    next: usize,
}

impl Pool {
    /// Chooses an endpoint with free capacity; `None` if all endpoints are full.
    pub fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<EndpointId> {
        match criteria.policy {
            Policy::Program => self.sample(criteria, rng),
            Policy::Fcfs => self.least_loaded(criteria),
            Policy::RoundRobin => self.round_robin(criteria),
        }
    }

    /// Returns whether an endpoint that is not slow has a free slot.
    pub fn has_healthy_free_slot(&self) -> bool {
        let healthy = self.views.values().filter(|view| view.open && view.slowdown < SLOW_FACTOR);
        healthy.into_iter().any(|view| view.calls() < view.slots)
    }

    /// Chooses the cheapest of the cached endpoint and some random ones, or of all if none of these
    /// fits.
    fn sample(&self, criteria: &Criteria<'_>, rng: &mut fastrand::Rng) -> Option<EndpointId> {
        let count = self.views.len();
        if count == 0 {
            return None;
        }
        let cached = criteria.cached.and_then(|id| self.views.get_index_of(id));
        let mut candidates: Vec<usize> = cached.into_iter().collect();
        candidates.extend((0..SAMPLES).map(|_| rng.usize(..count)));
        self.cheapest(criteria, candidates.into_iter())
            .or_else(|| self.cheapest(criteria, 0..count))
    }

    fn cheapest(
        &self,
        criteria: &Criteria<'_>,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<EndpointId> {
        let fitting = candidates
            .filter_map(|index| self.views.get_index(index))
            .filter(|(_, view)| view.fits(criteria));
        let best = fitting.min_by_key(|(id, view)| {
            (criteria.avoid == Some(id), view.cost(criteria, criteria.cached == Some(id)))
        });
        best.map(|(id, _)| id.clone())
    }

    fn least_loaded(&self, criteria: &Criteria<'_>) -> Option<EndpointId> {
        let fitting = self.views.iter().filter(|(_, view)| view.fits(criteria));
        fitting.min_by_key(|(_, view)| view.calls()).map(|(id, _)| id.clone())
    }

    fn round_robin(&mut self, criteria: &Criteria<'_>) -> Option<EndpointId> {
        let count = self.views.len();
        let order = (0..count).map(|step| (self.next + step) % count);
        let chosen = order.into_iter().find(|&index| self.views[index].fits(criteria))?;
        self.next = (chosen + 1) % count;
        self.views.get_index(chosen).map(|(id, _)| id.clone())
    }
}
