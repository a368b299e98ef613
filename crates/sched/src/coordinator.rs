//! Placement by one daemon that sees all of a group of endpoints.
//!
//! A daemon knows the load of an endpoint only by its own requests. With many daemons before few
//! endpoints that is nearly nothing, and requests spread as if by lot: some endpoints queue while
//! others have room. So the endpoints of one service in one data centre have a steward among the
//! daemons there, which books each request and knows what runs where. A steward answers for some tens
//! of endpoints, so its load stays the same when the fleet grows.
//!
//! A turn goes where it costs least: what its engine has to read of the prompt, which also holds up
//! the neighbours in its batch, against the wait for a slot. A prompt that is kept on one engine is
//! worth a short queue there, most of all in a burst: engines that read every prompt again serve a
//! third fewer turns. Plain requests go to the endpoint with the fewest bookings. Bookings that are
//! never released, because their daemon is gone, lapse.
//!
//! An endpoint may fail a part of its requests and look healthy otherwise. Each daemon sees too few of
//! its requests to tell, so daemons say with each release how the request ended, and failures of the
//! last seconds count as load. Where all endpoints fail alike, this changes nothing; a request that
//! runs at most once is then lost with an endpoint that fails seldom rather than often. An endpoint
//! that has failed several requests in a row fails all of them, as far as one can tell; it is shunned
//! until its failures are some seconds old, and then one more request tells.

use crate::admission::{self, Controller, Limits, Load, Refusal, Stage};
use crate::fleet::{Candidate, Fleet, Registration};
use crate::id::{EndpointId, ProgramId, RequestId, ServiceId, Tokens};
use crate::members;
use crate::prefix::Cache;
use crate::request::Part;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Prompt tokens that an engine reads in the time that a turn holds a slot of a full engine.
const TOKENS_PER_TURN: f64 = 25_000.0;
/// Part of a prompt's reading that each neighbour in the batch counts as its own delay.
const SHARED_READING: f64 = 0.3;
/// Cost of a full batch to a turn that finds a slot, as a share of a turn.
const FULL_BATCH: f64 = 0.1;
/// Time after which a booking lapses.
const BOOKING_LIFE: Duration = Duration::from_secs(6);
/// Load that one failure adds to its endpoint, as a share of the slots.
const FAULT_LOAD: f64 = 0.4;
/// The same for a program's turn, which goes on elsewhere when it is lost; crowding the other engines
/// delays more turns than a failure does.
const TURN_FAULT_LOAD: f64 = 0.05;
/// Time after which an engine that got no prompt is forgotten.
const MEMORY_LIFE: Duration = Duration::from_secs(60);
/// Most failures that count.
const MAX_FAULTS: f64 = 4.0;
/// Failures from which it does not count that an engine keeps a prompt.
const UNKEPT_FAULTS: f64 = 2.0;
/// Failures in a row from which an endpoint is shunned.
const SHUNNED_STREAK: u32 = 5;
/// Weight of its failures from which it is shunned.
const SHUNNED_FAULTS: f64 = 2.0;
/// Load that keeps requests away from a shunned endpoint unless all others have long queues.
const SHUNNED_LOAD: f64 = 2.0;
/// Failures that are forgotten.
const FORGOTTEN_FAULTS: f64 = 0.01;
/// Time in which the weight of a failure halves.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(4);

/// A request that asks for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The turn's request.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// Its program, for a turn of one.
    pub program: Option<ProgramId>,
    /// The service.
    pub service: ServiceId,
    /// How far its program has come.
    pub stage: Stage,
    /// Time within which its program should end.
    pub time_left: Option<Duration>,
    /// Parts of its prompt, in order, as far as they are followed.
    pub prompt: Vec<Part>,
    /// Memory of one engine of the service, in tokens; 0 where it is not known.
    pub memory: Tokens,
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
    /// Cost of the request there, in turns of a full engine.
    pub cost: f64,
}

/// What became of an ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// An endpoint is booked.
    Booked(Booking),
    /// The group has no room.
    Refused(Refusal),
    /// The steward knows no endpoint that the request could go to.
    #[serde(rename = "Nowhere")]
    NoEndpoint,
}

impl Outcome {
    /// The booking, where there is one.
    pub fn booking(self) -> Option<Booking> {
        match self {
            Self::Booked(booking) => Some(booking),
            Self::Refused(_) | Self::NoEndpoint => None,
        }
    }
}

/// How a booked request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// As it should, or by its client.
    Done,
    /// Without having been sent there.
    Unsent,
    /// By a fault of the endpoint.
    Failed,
}

/// Failures of an endpoint, weighted by their age at `at`.
#[derive(Clone, Copy, Debug)]
struct Faults {
    weight: f64,
    at: Instant,
    /// Failures since the last request that ended as it should.
    streak: u32,
}

impl Faults {
    fn weight(&self, now: Instant) -> f64 {
        let halvings = now.duration_since(self.at).div_duration_f64(FAULT_HALF_LIFE);
        self.weight * (-halvings).exp2()
    }

    /// Tells whether the endpoint is shunned while its failures have this weight.
    fn shunned(&self, weight: f64) -> bool {
        self.streak >= SHUNNED_STREAK && weight >= SHUNNED_FAULTS
    }
}

/// What one process of an engine keeps.
#[derive(Clone, Debug)]
struct Memory {
    incarnation: u64,
    cache: Cache,
    used: Instant,
}

#[derive(Clone, Debug)]
struct Ticket {
    endpoint: EndpointId,
    incarnation: u64,
    prompt: Vec<Part>,
    memory: Tokens,
    since: Instant,
}

/// Bookings of one steward.
#[derive(Clone, Debug, Default)]
pub struct Bookings {
    booked: IndexMap<EndpointId, u32>,
    tickets: IndexMap<RequestId, Ticket>,
    memories: IndexMap<EndpointId, Memory>,
    faults: IndexMap<EndpointId, Faults>,
    /// Admission to the endpoints of each service.
    gates: IndexMap<ServiceId, Controller>,
    limits: Limits,
}

impl Bookings {
    /// Starts without bookings.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Books an engine of the data centre `dc`, where the request is taken on.
    pub fn book(&mut self, fleet: &Fleet, dc: &str, ask: &Request, now: Instant) -> Outcome {
        self.unbook(&ask.id);
        let Some(load) = self.group_load(fleet, dc, ask, now) else {
            return Outcome::NoEndpoint;
        };
        let gate =
            self.gates.entry(ask.service.clone()).or_insert_with(|| Controller::new(self.limits));
        let request = admission::Request {
            program: ask.program.as_ref(),
            stage: ask.stage,
            time_left: ask.time_left,
        };
        if let Err(refusal) = gate.admit(request, load, now) {
            return Outcome::Refused(refusal);
        }
        self.choose(fleet, dc, ask, now).map_or(Outcome::NoEndpoint, Outcome::Booked)
    }

    /// Load of the endpoints that the ask could go to; `None` when there are none.
    fn group_load(&self, fleet: &Fleet, dc: &str, ask: &Request, now: Instant) -> Option<Load> {
        let (mut booked, mut slots, mut least) = (0.0, 0.0, f64::INFINITY);
        let usable = fleet.usable(&ask.service, now);
        for Candidate { registration, .. } in usable.filter(|found| found.registration.dc == dc) {
            let (load, room) = (self.load(registration), f64::from(registration.slots.max(1)));
            booked += load * room;
            slots += room;
            least = load.min(least);
        }
        (slots > 0.0).then(|| Load { group: booked / slots, least })
    }

    fn choose(&mut self, fleet: &Fleet, dc: &str, ask: &Request, now: Instant) -> Option<Booking> {
        let usable = fleet.usable(&ask.service, now).filter(|candidate| {
            candidate.registration.dc == dc && !ask.avoid.contains(&candidate.registration.id)
        });
        let costs =
            usable.map(|candidate| (self.cost(candidate.registration, ask, now), candidate));
        let (cost, best) = costs.min_by(|(left_cost, left), (right_cost, right)| {
            let order = |candidate: &Candidate<'_>| (candidate.ejected, candidate.full);
            order(left).cmp(&order(right)).then_with(|| left_cost.total_cmp(right_cost))
        })?;
        let registration = best.registration;
        let endpoint = registration.id.clone();
        let load = self.load(registration);
        *self.booked.entry(endpoint.clone()).or_default() += 1;
        let ticket = Ticket {
            endpoint: endpoint.clone(),
            incarnation: registration.incarnation,
            prompt: ask.prompt.clone(),
            memory: ask.memory,
            since: now,
        };
        self.tickets.insert(ask.id.clone(), ticket);
        Some(Booking { endpoint, load, cost })
    }

    /// Ends the booking of an endpoint.
    ///
    /// A request that is tried again may be booked anew before its former booking is released, so the
    /// endpoint tells which one ends.
    pub fn release(&mut self, request: &str, endpoint: &str, end: End, now: Instant) {
        let booked = self.tickets.get(request).is_some_and(|ticket| ticket.endpoint == endpoint);
        let ticket = if booked { self.unbook(request) } else { None };
        match end {
            End::Done => self.succeed(endpoint, ticket, now),
            End::Failed => self.blame(endpoint.into(), now),
            End::Unsent => {}
        }
    }

    fn succeed(&mut self, endpoint: &str, ticket: Option<Ticket>, now: Instant) {
        if let Some(faults) = self.faults.get_mut(endpoint) {
            faults.streak = 0;
        }
        if let Some(ticket) = ticket {
            self.keep(ticket, now);
        }
    }

    /// Notes that an engine has read a prompt.
    fn keep(&mut self, ticket: Ticket, now: Instant) {
        if ticket.prompt.is_empty() {
            return;
        }
        let incarnation = ticket.incarnation;
        let empty = || Memory { incarnation, cache: Cache::default(), used: now };
        let memory = self.memories.entry(ticket.endpoint).or_insert_with(empty);
        if memory.incarnation != incarnation {
            *memory = empty();
        }
        memory.cache.insert(&ticket.prompt, ticket.memory);
        memory.used = now;
    }

    fn blame(&mut self, endpoint: EndpointId, now: Instant) {
        let none = Faults { weight: 0.0, at: now, streak: 0 };
        let faults = self.faults.entry(endpoint).or_insert(none);
        let weight = (faults.weight(now) + 1.0).min(MAX_FAULTS);
        *faults = Faults { weight, at: now, streak: faults.streak + 1 };
    }

    /// Ends bookings whose daemons are gone.
    pub fn sweep(&mut self, now: Instant) {
        let lapsed = |ticket: &Ticket| now.duration_since(ticket.since) > BOOKING_LIFE;
        let tickets = self.tickets.iter().filter(|(_, ticket)| lapsed(ticket));
        let gone: Vec<RequestId> = tickets.map(|(request, _)| request.clone()).collect();
        for request in &gone {
            self.unbook(request);
        }
        self.booked.retain(|_, count| *count > 0);
        self.memories.retain(|_, memory| now.duration_since(memory.used) < MEMORY_LIFE);
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

    fn unbook(&mut self, request: &str) -> Option<Ticket> {
        let ticket = self.tickets.swap_remove(request)?;
        if let Some(count) = self.booked.get_mut(&ticket.endpoint) {
            *count = count.saturating_sub(1);
        }
        Some(ticket)
    }

    fn load(&self, registration: &Registration) -> f64 {
        let booked = self.booked.get(&registration.id).copied().unwrap_or(0);
        f64::from(booked) / f64::from(registration.slots.max(1))
    }

    /// Cost of a request at an endpoint, in turns of a full engine.
    fn cost(&self, found: &Registration, ask: &Request, now: Instant) -> f64 {
        let faults = self.faults.get(&found.id);
        let weight = faults.map_or(0.0, |faults| faults.weight(now));
        let cost = match &ask.program {
            Some(program) => self.turn_cost(found, program, &ask.prompt, weight),
            None => self.plain_cost(found, &ask.id, weight),
        };
        match faults.is_some_and(|faults| faults.shunned(weight)) {
            true => cost + SHUNNED_LOAD,
            false => cost,
        }
    }

    fn plain_cost(&self, found: &Registration, request: &RequestId, faults: f64) -> f64 {
        self.load(found) + spread(found, request) + faults * FAULT_LOAD
    }

    fn turn_cost(
        &self,
        found: &Registration,
        program: &ProgramId,
        prompt: &[Part],
        faults: f64,
    ) -> f64 {
        let load = self.load(found);
        let slots = f64::from(found.slots.max(1));
        let batch = load.min(1.0);
        let queue = (load + 1.0 / slots - 1.0).max(0.0);
        let crowd = (batch + spread(found, program)) * FULL_BATCH;
        let kept = if faults < UNKEPT_FAULTS { self.kept(found, prompt) } else { 0 };
        let tokens: Tokens = prompt.iter().map(|part| part.tokens).sum();
        let reading = tokens.saturating_sub(kept) as f64 / TOKENS_PER_TURN;
        let held_up = reading * SHARED_READING * batch * slots;
        queue + crowd + reading + held_up + faults * TURN_FAULT_LOAD
    }

    fn kept(&self, found: &Registration, prompt: &[Part]) -> Tokens {
        let memory = self.memories.get(&found.id);
        let memory = memory.filter(|memory| memory.incarnation == found.incarnation);
        memory.map_or(0, |memory| memory.cache.cached(prompt))
    }
}

/// Part of a slot's load by which endpoints of equal load share programs or requests by hash.
fn spread(found: &Registration, name: &str) -> f64 {
    let hash = members::weight(&name, &found.id) as f64 / u64::MAX as f64;
    hash / f64::from(found.slots.max(1)) / 2.0
}
