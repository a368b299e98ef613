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
//!
//! An endpoint may fail a part of its requests and look healthy otherwise. Each daemon sees too few of
//! its requests to tell, so daemons say with each release how the request ended, and failures of the
//! last seconds count as load. Where all endpoints fail alike, this changes nothing; a request that
//! runs at most once is then lost with an endpoint that fails seldom rather than often.

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
/// Load that one failure adds to its endpoint, as a share of the slots.
const FAULT_LOAD: f64 = 0.4;
/// The same for a program's turn, which goes on elsewhere when it is lost; crowding the other engines
/// delays more turns than a failure does.
const TURN_FAULT_LOAD: f64 = 0.1;
/// Most failures that count.
const MAX_FAULTS: f64 = 4.0;
/// Failures from which an engine is not kept for the programs whose prompts it has.
const HOMELESS_FAULTS: f64 = 2.0;
/// Failures that are forgotten.
const FORGOTTEN_FAULTS: f64 = 0.01;
/// Time in which the weight of a failure halves.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(4);
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

/// How a booked request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// As it should, or by its client.
    Done,
    /// By a fault of the endpoint.
    Failed,
}

/// Failures of an endpoint, weighted by their age at `at`.
#[derive(Clone, Copy, Debug)]
struct Faults {
    weight: f64,
    at: Instant,
}

impl Faults {
    fn weight(&self, now: Instant) -> f64 {
        let halvings = now.duration_since(self.at).div_duration_f64(FAULT_HALF_LIFE);
        self.weight * (-halvings).exp2()
    }
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
    faults: IndexMap<EndpointId, Faults>,
}

impl Board {
    /// Books an engine of the data centre `dc`.
    pub fn book(&mut self, fleet: &Fleet, dc: &str, ask: &Ask, now: Instant) -> Option<Booking> {
        self.release(&ask.request, End::Done, now);
        let home = ask.program.as_ref().and_then(|program| self.homes.get(program));
        let shared = ask.program.as_ref().unwrap_or(&ask.request);
        let usable = fleet.usable(&ask.service, now).filter(|candidate| {
            candidate.registration.dc == dc && !ask.avoid.contains(&candidate.registration.id)
        });
        let best = usable.min_by(|left, right| {
            let order = (left.ejected, left.full).cmp(&(right.ejected, right.full));
            let fault_load = if ask.program.is_some() { TURN_FAULT_LOAD } else { FAULT_LOAD };
            let cost = |found: &Registration| {
                let faults = self.faults(&found.id, now);
                self.cost(found, home, shared, faults) + faults * fault_load
            };
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
    pub fn release(&mut self, request: &str, end: End, now: Instant) {
        if let Some(ticket) = self.tickets.swap_remove(request) {
            self.unbook(&ticket.endpoint);
            if end == End::Failed {
                self.blame(ticket.endpoint, now);
            }
        }
    }

    fn blame(&mut self, endpoint: EndpointId, now: Instant) {
        let weight = (self.faults(&endpoint, now) + 1.0).min(MAX_FAULTS);
        self.faults.insert(endpoint, Faults { weight, at: now });
    }

    fn faults(&self, endpoint: &str, now: Instant) -> f64 {
        self.faults.get(endpoint).map_or(0.0, |faults| faults.weight(now))
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
        self.faults.retain(|_, faults| faults.weight(now) > FORGOTTEN_FAULTS);
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

    fn cost(
        &self,
        found: &Registration,
        home: Option<&EndpointId>,
        program: &str,
        faults: f64,
    ) -> f64 {
        let load = self.load(found);
        if home == Some(&found.id) && load < HOME_LOAD && faults < HOMELESS_FAULTS {
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
