//! Placement by one daemon that sees all of a group of endpoints.
//!
//! A daemon knows the load of an endpoint only by its own requests. With many daemons before few
//! endpoints that is nearly nothing, and requests spread as if by lot: some endpoints queue while
//! others have room. So the endpoints of one service in one data centre have a steward among the
//! daemons there, which books each request and knows what runs where. A steward answers for some tens
//! of endpoints, so its load stays the same when the fleet grows.
//!
//! A program's turns go to the engine that keeps its prompt while that engine has room; reading a
//! prompt again costs more than one more neighbour in the batch. Other turns go to the engine with
//! the fewest bookings. Bookings that are never released, because their daemon is gone, lapse.

use crate::fleet::{Fleet, Registration};
use crate::id::{EndpointId, ProgramId, RequestId};
use crate::members;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Share of its slots up to which an engine is kept for the programs whose prompts it has.
const HOME_LOAD: f64 = 0.85;
/// Time after which a booking lapses.
const BOOKING_LIFE: Duration = Duration::from_secs(6);
/// Programs whose engines are remembered; the oldest are forgotten first.
const MAX_HOMES: usize = 8_192;

/// A request that asks for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The turn's request.
    pub request: RequestId,
    /// Its program, for a turn of one.
    pub program: Option<ProgramId>,
    /// The service.
    pub service: crate::id::ServiceId,
    /// Endpoints that have refused it.
    pub avoid: Vec<EndpointId>,
}

/// A booked endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Booking {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its bookings before this one, as a share of its slots.
    pub load: f64,
}

#[derive(Clone, Debug)]
struct Ticket {
    endpoint: EndpointId,
    since: Instant,
}

/// Bookings of one steward.
#[derive(Clone, Debug, Default)]
pub struct Board {
    booked: IndexMap<EndpointId, u32>,
    tickets: IndexMap<RequestId, Ticket>,
    homes: IndexMap<ProgramId, EndpointId>,
}

impl Board {
    /// Books an engine of the data centre `dc`.
    pub fn book(&mut self, fleet: &Fleet, dc: &str, ask: &Ask, now: Instant) -> Option<Booking> {
        self.release(&ask.request);
        let home = ask.program.as_ref().and_then(|program| self.homes.get(program));
        let shared = ask.program.as_ref().unwrap_or(&ask.request);
        let usable = fleet.usable(&ask.service, now).filter(|candidate| {
            candidate.registration.dc == dc && !ask.avoid.contains(&candidate.registration.id)
        });
        let best = usable.min_by(|left, right| {
            let order = (left.ejected, left.full).cmp(&(right.ejected, right.full));
            let cost = |found: &Registration| self.cost(found, home, shared);
            order.then_with(|| cost(left.registration).total_cmp(&cost(right.registration)))
        })?;
        let endpoint = best.registration.id.clone();
        let load = self.load(best.registration);
        *self.booked.entry(endpoint.clone()).or_default() += 1;
        let ticket = Ticket { endpoint: endpoint.clone(), since: now };
        self.tickets.insert(ask.request.clone(), ticket);
        if let Some(program) = &ask.program {
            self.remember(program, &endpoint);
        }
        Some(Booking { endpoint, load })
    }

    /// Ends a booking.
    pub fn release(&mut self, request: &str) {
        if let Some(ticket) = self.tickets.swap_remove(request) {
            self.unbook(&ticket.endpoint);
        }
    }

    /// Ends bookings whose daemons are gone.
    pub fn sweep(&mut self, now: Instant) {
        let lapsed = |ticket: &Ticket| now.duration_since(ticket.since) > BOOKING_LIFE;
        let gone: Vec<EndpointId> = self
            .tickets
            .values()
            .filter(|ticket| lapsed(ticket))
            .map(|ticket| ticket.endpoint.clone())
            .collect();
        self.tickets.retain(|_, ticket| !lapsed(ticket));
        gone.iter().for_each(|endpoint| self.unbook(endpoint));
        self.booked.retain(|_, count| *count > 0);
    }

    /// Number of bookings.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Tells whether nothing is booked.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    fn unbook(&mut self, endpoint: &str) {
        if let Some(count) = self.booked.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
    }

    fn load(&self, registration: &Registration) -> f64 {
        let booked = self.booked.get(&registration.id).copied().unwrap_or(0);
        f64::from(booked) / f64::from(registration.slots.max(1))
    }

    fn cost(&self, found: &Registration, home: Option<&EndpointId>, program: &str) -> f64 {
        let load = self.load(found);
        if home == Some(&found.id) && load < HOME_LOAD {
            return -1.0;
        }
        // Engines with equal loads share the programs by hash.
        let spread = members::weight(&program, &found.id) as f64 / u64::MAX as f64;
        load + spread / f64::from(found.slots.max(1)) / 2.0
    }

    fn remember(&mut self, program: &str, endpoint: &EndpointId) {
        if self.homes.len() >= MAX_HOMES && !self.homes.contains_key(program) {
            self.homes.swap_remove_index(0);
        }
        self.homes.insert(program.into(), endpoint.clone());
    }
}
