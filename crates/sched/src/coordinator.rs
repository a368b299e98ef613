//! Endpoint selection by one daemon for a group of endpoints.
//!
//! A daemon sees only the load that its own requests put on an endpoint. With many daemons and few
//! endpoints that is almost nothing: requests spread as if at random, and some endpoints queue
//! while others have free slots. So the endpoints of one service in one data centre have a
//! coordinator among the daemons there, which books an endpoint for each request and knows what
//! runs where. A coordinator serves a few dozen endpoints, so its load does not grow with the
//! fleet.
//!
//! A turn of a program goes to the endpoint where it costs least. Its cost is the part of the
//! prompt that the engine has to prefill, which also delays the other turns in the batch, plus the
//! wait for a slot. An engine that has the prompt cached is worth a short queue, most of all in a
//! burst: engines that prefill every prompt again complete a third fewer turns. Other requests go
//! to the endpoint with the fewest bookings per slot. Bookings that are never released because
//! their daemon is gone expire.
//!
//! An endpoint may fail some of its requests and look healthy otherwise. A single daemon sends it
//! too few requests to notice, so each release reports how the request ended, and recent failures
//! add to the endpoint's load. This changes nothing where all endpoints fail equally often. Where
//! they do not, it moves requests that run at most once, and are lost when their endpoint fails, to
//! endpoints that fail less often. An endpoint that failed several requests in a row is assumed to
//! fail all of them: it is penalized until its failures are some seconds old, and then the next
//! request shows whether it has recovered.

use crate::admission::{self, Controller, Limits, Load, Refusal, Stage};
use crate::fair::Shares;
use crate::fleet::{Candidate, Fleet, Registration};
use crate::id::{CustomerId, EndpointId, ProgramId, RequestId, ServiceId, SoftwareVersion, Tokens};
use crate::limit::{self, Permit, SLOT_TIME};
use crate::members;
use crate::pace::Pace;
use crate::prefix::Cache;
use crate::quota::{Charge, Denial};
use crate::request::Part;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Prompt tokens that an engine prefills in the time that a turn occupies a slot of a full engine.
const PREFILL_TOKENS_PER_TURN: f64 = 25_000.0;
/// Fraction of a prompt's prefill time by which it delays each other turn in the batch.
const PREFILL_INTERFERENCE: f64 = 0.3;
/// Cost of running in a full batch for a turn that finds a slot, in turns.
const FULL_BATCH_COST: f64 = 0.1;
/// Number of slots by which the load of an endpoint may exceed that of others if it handled the
/// object of a request last.
const OBJECT_SLOTS: f64 = 1.0;
/// Number of objects after which those that were not used since are forgotten.
const MAX_RECENT_OBJECTS: usize = 2_048;
/// Weight of one request in the mean time of a request.
const REQUEST_TIME_GAIN: f64 = 0.05;
/// Time after which a booking expires.
const BOOKING_TTL: Duration = Duration::from_secs(6);
/// Load that one failure adds to its endpoint, as a fraction of the slots.
const FAILURE_LOAD: f64 = 0.4;
/// Load that one failure adds to its endpoint for a turn of a program, as a fraction of the slots.
///
/// It is lower than [`FAILURE_LOAD`] because a lost turn continues on another endpoint, and
/// crowding the other engines delays more turns than a failure does.
const TURN_FAILURE_LOAD: f64 = 0.05;
/// Time without a prompt after which the cache of an engine is forgotten.
const CACHE_TTL: Duration = Duration::from_secs(60);
/// Upper bound of an endpoint's failure weight.
const MAX_FAILURE_WEIGHT: f64 = 4.0;
/// Failure weight from which prompts cached on an engine no longer reduce its cost.
const IGNORED_CACHE_WEIGHT: f64 = 2.0;
/// Number of failures in a row from which an endpoint is penalized.
const PENALTY_STREAK: u32 = 5;
/// Failure weight from which an endpoint with such a streak of failures is penalized.
const PENALTY_WEIGHT: f64 = 2.0;
/// Load added to a penalized endpoint, enough to keep requests away unless all others have long
/// queues.
const PENALTY_LOAD: f64 = 2.0;
/// Failure weight below which the failures of an endpoint are forgotten.
const MIN_FAILURE_WEIGHT: f64 = 0.01;
/// Half-life of a failure's weight.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// A request that needs an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Request id.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// Program whose turn this is; `None` for other requests.
    pub program: Option<ProgramId>,
    /// Service that the endpoint has to belong to.
    pub service: ServiceId,
    /// Whether the request is the first of its program.
    pub stage: Stage,
    /// Time left until the program should end.
    pub time_left: Option<Duration>,
    /// Leading parts of the prompt, in order; the parts beyond the tracked number are left out.
    pub prompt: Vec<Part>,
    /// Prompt cache capacity of one engine of the service, in tokens; 0 if unknown.
    pub memory: Tokens,
    /// Endpoints that already refused the request.
    pub avoid: Vec<EndpointId>,
    /// Endpoint that alone may run the request, because it may have run there; `None` for any.
    pub only: Option<EndpointId>,
    /// Software version that alone may run the request, because it began the stream; `None` for any.
    pub version: Option<SoftwareVersion>,
    /// Object that the request concerns, if endpoints that handled it lately are faster.
    pub object: Option<CompactString>,
    /// Customer that sends the request, if it is known.
    pub customer: Option<CustomerId>,
    /// What the booking spends of a customer's quota; `None` if nothing.
    pub charge: Option<Charge>,
    /// Whether the request comes from another data centre than that of the endpoints.
    pub is_borrowed: bool,
}

impl Request {
    /// Returns whether an endpoint is one that may run the request.
    fn allows(&self, registration: &Registration) -> bool {
        let version = self.version.as_ref();
        self.only.as_ref().is_none_or(|only| *only == registration.id)
            && version.is_none_or(|version| *version == registration.version)
    }
}

/// The endpoints that a daemon books as their coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group<'a> {
    /// Data centre of the endpoints.
    pub dc: &'a str,
    /// Part of the endpoints' rate limits that the daemon may spend, from 0 to 1.
    pub share: f64,
}

impl Group<'_> {
    fn contains(&self, registration: &Registration) -> bool {
        registration.dc == self.dc
    }
}

/// A booked endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Booking {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Process of the endpoint.
    pub incarnation: u64,
    /// Permission to send the request.
    pub permit: Permit,
    /// Load of the endpoint before this booking: bookings as a fraction of its slots, or use of its
    /// rate limit if that is higher.
    pub load: f64,
    /// Cost of the request at this endpoint, in turns of a full engine.
    pub cost: f64,
    /// Mean time of a request at the endpoints, if it is known.
    pub request_time: Option<Duration>,
}

/// Result of a request for an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// An endpoint is booked.
    Booked(Booking),
    /// The endpoints are too loaded to admit the request.
    Refused(Refusal),
    /// The customer's quota leaves no request.
    Denied(Denial),
    /// The coordinator knows no suitable endpoint.
    #[serde(rename = "Nowhere")]
    NoEndpoint,
}

impl Outcome {
    /// Returns the booking, if there is one.
    pub fn booking(self) -> Option<Booking> {
        match self {
            Self::Booked(booking) => Some(booking),
            Self::Refused(_) | Self::Denied(_) | Self::NoEndpoint => None,
        }
    }
}

/// How a booked request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It completed or its client cancelled it.
    Done,
    /// It was never sent to the endpoint.
    Unsent,
    /// The endpoint said that it did not run it.
    Rejected,
    /// The endpoint failed it.
    Failed,
    /// It broke off, and nothing follows for the endpoint, since the daemon is cut off from it.
    Interrupted,
}

/// Recent failures of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Failures {
    /// Number of failures with exponential decay, as of `updated`.
    weight: f64,
    updated: Instant,
    /// Failures since the last request that succeeded.
    streak: u32,
}

impl Failures {
    /// Returns the weight decayed to `now`.
    fn weight(&self, now: Instant) -> f64 {
        let halvings = now.duration_since(self.updated).div_duration_f64(FAILURE_HALF_LIFE);
        self.weight * (-halvings).exp2()
    }

    /// Returns whether the endpoint is penalized at the given decayed weight.
    fn penalized(&self, weight: f64) -> bool {
        self.streak >= PENALTY_STREAK && weight >= PENALTY_WEIGHT
    }
}

/// Prompts cached by one process of an engine.
#[derive(Clone, Debug)]
struct EngineCache {
    incarnation: u64,
    cache: Cache,
    last_used: Instant,
}

/// A booking that is not released yet.
#[derive(Clone, Debug)]
struct Entry {
    endpoint: EndpointId,
    incarnation: u64,
    prompt: Vec<Part>,
    memory: Tokens,
    booked_at: Instant,
    service: ServiceId,
    customer: Option<CustomerId>,
    /// Program of a turn.
    program: Option<ProgramId>,
    /// Load of the endpoint before the booking.
    load: f64,
    /// Service and object of the request.
    object: Option<(ServiceId, CompactString)>,
    charge: Option<Charge>,
}

/// Endpoints that handled objects lately, in two generations of bounded size.
#[derive(Clone, Debug, Default)]
struct Objects {
    recent: IndexMap<(ServiceId, CompactString), (EndpointId, u64)>,
    previous: IndexMap<(ServiceId, CompactString), (EndpointId, u64)>,
}

impl Objects {
    fn record(&mut self, entry: &Entry) {
        let Some(object) = &entry.object else {
            return;
        };
        if self.recent.len() >= MAX_RECENT_OBJECTS {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(object.clone(), (entry.endpoint.clone(), entry.incarnation));
    }

    /// Returns whether the process of an endpoint handled the object of a request last.
    fn is_at(&self, request: &Request, registration: &Registration) -> bool {
        let Some(object) = &request.object else {
            return false;
        };
        let key = (request.service.clone(), object.clone());
        let last = self.recent.get(&key).or_else(|| self.previous.get(&key));
        last.is_some_and(|(endpoint, incarnation)| {
            *endpoint == registration.id && *incarnation == registration.incarnation
        })
    }
}

/// Bookings of one coordinator.
#[derive(Clone, Debug, Default)]
pub struct Bookings {
    /// Number of bookings of each endpoint.
    counts: IndexMap<EndpointId, u32>,
    entries: IndexMap<RequestId, Entry>,
    caches: IndexMap<EndpointId, EngineCache>,
    failures: IndexMap<EndpointId, Failures>,
    /// Admission control for the endpoints of each service.
    controllers: IndexMap<ServiceId, Controller>,
    /// Shares of the customers in the endpoints of each service.
    shares: IndexMap<ServiceId, Shares>,
    /// Pace of the endpoints of each service.
    paces: IndexMap<ServiceId, Pace>,
    limits: Limits,
    /// Mean time of a request of each service, from its booking to its end.
    request_times: IndexMap<ServiceId, Duration>,
    /// Endpoints that handled objects lately.
    objects: Objects,
    /// Rate limits of the endpoints.
    pub rate_limits: limit::Limits,
}

impl Bookings {
    /// Creates an empty table with the given admission limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Books an endpoint of `group` if admission control accepts the request and the rate limit of
    /// the endpoint allows it.
    ///
    /// Replaces an earlier booking of the same request.
    pub fn book(
        &mut self,
        fleet: &Fleet,
        group: Group<'_>,
        request: &Request,
        now: Instant,
    ) -> Outcome {
        self.remove(&request.id);
        if !self.rate_limits.is_empty() {
            let candidates = fleet.usable(&request.service, now).map(|found| found.registration);
            let endpoints = candidates.filter(|registration| group.contains(registration));
            self.rate_limits.set_share(endpoints, group.share, now);
        }
        let Some(load) = self.group_load(fleet, group, request, now) else {
            return Outcome::NoEndpoint;
        };
        // A request that may have run was admitted before.
        if request.only.is_none() {
            let controller = self
                .controllers
                .entry(request.service.clone())
                .or_insert_with(|| Controller::new(self.limits));
            let admission_request = admission::Request {
                program: request.program.as_ref(),
                stage: request.stage,
                time_left: request.time_left,
                is_borrowed: request.is_borrowed,
            };
            if let Err(refusal) = controller.admit(admission_request, load, now) {
                if let Some(customer) = &request.customer {
                    let shares = self.shares.entry(request.service.clone()).or_default();
                    shares.record_refusal(customer, now);
                }
                return Outcome::Refused(refusal);
            }
        }
        self.choose(fleet, group, request, now)
    }

    /// Returns the load of the service's endpoints in `group`; `None` if there are none.
    fn group_load(
        &self,
        fleet: &Fleet,
        group: Group<'_>,
        request: &Request,
        now: Instant,
    ) -> Option<Load> {
        let (mut used, mut slots, mut least) = (0.0, 0.0, f64::INFINITY);
        let usable = fleet.usable(&request.service, now).map(|candidate| candidate.registration);
        for registration in usable.filter(|found| group.contains(found) && request.allows(found)) {
            let load = self.load(registration, now);
            let own_slots = self.rate_limits.slots(registration);
            used += load * own_slots;
            slots += own_slots;
            least = load.min(least);
        }
        let ceiling = self.paces.get(&request.service).and_then(Pace::ceiling);
        let shares = self.shares.get(&request.service).zip(request.customer.as_ref());
        let share = shares.map_or(1.0, |(shares, customer)| shares.part(customer));
        (slots > 0.0).then(|| Load { group: used / slots, least, ceiling, share })
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        group: Group<'_>,
        request: &Request,
        now: Instant,
    ) -> Outcome {
        let max_wait_s = SLOT_TIME.as_secs_f64() * (self.limits.go_on - 1.0).max(0.0);
        let max_delay = Duration::try_from_secs_f64(max_wait_s).unwrap_or(Duration::MAX);
        let mut least_delay = Duration::MAX;
        let usable = fleet.usable(&request.service, now).filter(|candidate| {
            group.contains(candidate.registration)
                && request.allows(candidate.registration)
                && !request.avoid.contains(&candidate.registration.id)
        });
        let permitted = usable.filter(|candidate| {
            let delay = self.rate_limits.delay(candidate.registration, now);
            least_delay = least_delay.min(delay);
            delay <= max_delay
        });
        let costs =
            permitted.map(|candidate| (self.cost(candidate.registration, request, now), candidate));
        let best = costs.min_by(|(left_cost, left), (right_cost, right)| {
            let order = |candidate: &Candidate<'_>| (candidate.ejected, candidate.full);
            order(left).cmp(&order(right)).then_with(|| left_cost.total_cmp(right_cost))
        });
        let Some((cost, best)) = best else {
            return match least_delay {
                Duration::MAX => Outcome::NoEndpoint,
                delay => Outcome::Refused(Refusal::until(delay.saturating_sub(max_delay))),
            };
        };
        let registration = best.registration;
        let (endpoint, incarnation) = (registration.id.clone(), registration.incarnation);
        let load = self.load(registration, now);
        let Some(permit) = self.rate_limits.take(registration, max_delay, now) else {
            return Outcome::NoEndpoint;
        };
        *self.counts.entry(endpoint.clone()).or_default() += 1;
        let entry = Entry {
            endpoint: endpoint.clone(),
            incarnation,
            prompt: request.prompt.clone(),
            memory: request.memory,
            booked_at: now,
            service: request.service.clone(),
            customer: request.customer.clone(),
            program: request.program.clone(),
            load,
            object: request.object.clone().map(|object| (request.service.clone(), object)),
            charge: request.charge.clone(),
        };
        if let Some(program) = &entry.program {
            let pace = self.paces.entry(entry.service.clone()).or_default();
            pace.begin_turn(program, request.time_left, now);
        }
        self.entries.insert(request.id.clone(), entry);
        let request_time = self.request_times.get(&request.service).copied();
        Outcome::Booked(Booking { endpoint, incarnation, permit, load, cost, request_time })
    }

    /// Releases the booking of `endpoint` and records how the request ended.
    ///
    /// A retried request may be booked again before its earlier booking is released, so a booking
    /// of another endpoint stays. Returns what the booking spent of a customer's quota if the request
    /// did not run.
    pub fn release(
        &mut self,
        request: &str,
        endpoint: &str,
        end: End,
        now: Instant,
    ) -> Option<Charge> {
        let booked = self.entries.get(request).is_some_and(|entry| entry.endpoint == endpoint);
        let entry = if booked { self.remove(request) } else { None };
        if let Some(entry) = &entry {
            self.record_turn(entry, end == End::Done, now);
        }
        let charge = entry.as_ref().and_then(|entry| entry.charge.clone());
        match end {
            End::Done | End::Rejected => self.record_success(endpoint, entry, now),
            End::Failed => self.record_failure(endpoint.into(), now),
            End::Unsent if booked => self.rate_limits.refund(endpoint, now),
            End::Unsent | End::Interrupted => {}
        }
        charge.filter(|_| matches!(end, End::Unsent | End::Rejected))
    }

    fn record_turn(&mut self, entry: &Entry, done: bool, now: Instant) {
        if let Some(customer) = &entry.customer {
            let time = now.saturating_duration_since(entry.booked_at);
            let shares = self.shares.entry(entry.service.clone()).or_default();
            shares.record_use(customer, time, now);
        }
        if done {
            let time = now.saturating_duration_since(entry.booked_at);
            let mean = self.request_times.entry(entry.service.clone()).or_insert(time);
            *mean = mean.mul_f64(1.0 - REQUEST_TIME_GAIN) + time.mul_f64(REQUEST_TIME_GAIN);
        }
        if let Some(program) = &entry.program
            && let Some(pace) = self.paces.get_mut(&entry.service)
        {
            let duration = now.saturating_duration_since(entry.booked_at);
            pace.end_turn(program, done.then_some((entry.load, duration)), now);
        }
    }

    fn record_success(&mut self, endpoint: &str, entry: Option<Entry>, now: Instant) {
        if let Some(failures) = self.failures.get_mut(endpoint) {
            failures.streak = 0;
        }
        if let Some(entry) = entry {
            self.objects.record(&entry);
            self.record_prompt(entry, now);
        }
    }

    /// Records that the engine now has the prompt of a booking cached.
    fn record_prompt(&mut self, entry: Entry, now: Instant) {
        if entry.prompt.is_empty() {
            return;
        }
        let incarnation = entry.incarnation;
        let empty = || EngineCache { incarnation, cache: Cache::default(), last_used: now };
        let engine = self.caches.entry(entry.endpoint).or_insert_with(empty);
        if engine.incarnation != incarnation {
            *engine = empty();
        }
        engine.cache.insert(&entry.prompt, entry.memory);
        engine.last_used = now;
    }

    fn record_failure(&mut self, endpoint: EndpointId, now: Instant) {
        let none = Failures { weight: 0.0, updated: now, streak: 0 };
        let failures = self.failures.entry(endpoint).or_insert(none);
        let weight = (failures.weight(now) + 1.0).min(MAX_FAILURE_WEIGHT);
        *failures = Failures { weight, updated: now, streak: failures.streak + 1 };
    }

    /// Drops expired bookings, unused caches and decayed failures.
    pub fn sweep(&mut self, now: Instant) {
        let is_expired = |entry: &Entry| now.duration_since(entry.booked_at) > BOOKING_TTL;
        let entries = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<RequestId> = entries.map(|(request, _)| request.clone()).collect();
        for request in &expired {
            if let Some(entry) = self.remove(request) {
                self.record_turn(&entry, false, now);
            }
        }
        self.paces.values_mut().for_each(|pace| pace.sweep(now));
        self.shares.values_mut().for_each(|shares| shares.sweep(now));
        self.counts.retain(|_, count| *count > 0);
        self.caches.retain(|_, engine| now.duration_since(engine.last_used) < CACHE_TTL);
        self.failures.retain(|_, failures| failures.weight(now) > MIN_FAILURE_WEIGHT);
    }

    /// Returns the number of bookings.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no bookings.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, request: &str) -> Option<Entry> {
        let entry = self.entries.swap_remove(request)?;
        if let Some(count) = self.counts.get_mut(&entry.endpoint) {
            *count = count.saturating_sub(1);
        }
        Some(entry)
    }

    /// Returns the bookings of an endpoint as a fraction of its slots, or the use of its rate limit
    /// if that is higher.
    fn load(&self, registration: &Registration, now: Instant) -> f64 {
        let count = self.counts.get(&registration.id).copied().unwrap_or(0);
        let booked = f64::from(count) / f64::from(registration.slots.max(1));
        booked.max(self.rate_limits.load(registration, now))
    }

    /// Returns the cost of a request at an endpoint, in turns of a full engine.
    fn cost(&self, registration: &Registration, request: &Request, now: Instant) -> f64 {
        let failures = self.failures.get(&registration.id);
        let weight = failures.map_or(0.0, |failures| failures.weight(now));
        let cost = match &request.program {
            Some(program) => self.turn_cost(registration, program, &request.prompt, weight, now),
            None => {
                let cost = self.plain_cost(registration, &request.id, weight, now);
                match self.objects.is_at(request, registration) {
                    true => cost - OBJECT_SLOTS / f64::from(registration.slots.max(1)),
                    false => cost,
                }
            }
        };
        match failures.is_some_and(|failures| failures.penalized(weight)) {
            true => cost + PENALTY_LOAD,
            false => cost,
        }
    }

    /// Returns the cost of a request that is not a turn of a program.
    fn plain_cost(
        &self,
        registration: &Registration,
        request: &RequestId,
        failure_weight: f64,
        now: Instant,
    ) -> f64 {
        self.load(registration, now)
            + tie_break(registration, request)
            + failure_weight * FAILURE_LOAD
    }

    fn turn_cost(
        &self,
        registration: &Registration,
        program: &ProgramId,
        prompt: &[Part],
        failure_weight: f64,
        now: Instant,
    ) -> f64 {
        let load = self.load(registration, now);
        let slots = f64::from(registration.slots.max(1));
        let batch = load.min(1.0);
        let queue = (load + 1.0 / slots - 1.0).max(0.0);
        let batch_cost = (batch + tie_break(registration, program)) * FULL_BATCH_COST;
        let cached = if failure_weight < IGNORED_CACHE_WEIGHT {
            self.cached(registration, prompt)
        } else {
            0
        };
        let tokens: Tokens = prompt.iter().map(|part| part.tokens).sum();
        let prefill = tokens.saturating_sub(cached) as f64 / PREFILL_TOKENS_PER_TURN;
        let interference = prefill * PREFILL_INTERFERENCE * batch * slots;
        queue + batch_cost + prefill + interference + failure_weight * TURN_FAILURE_LOAD
    }

    /// Returns how many tokens at the start of a prompt the engine has cached.
    fn cached(&self, registration: &Registration, prompt: &[Part]) -> Tokens {
        let engine = self.caches.get(&registration.id);
        let engine = engine.filter(|engine| engine.incarnation == registration.incarnation);
        engine.map_or(0, |engine| engine.cache.cached(prompt))
    }
}

/// Returns a load of less than half a slot that depends on the hash of `name` and the endpoint, so
/// that programs or requests are spread over endpoints of equal load.
fn tie_break(registration: &Registration, name: &str) -> f64 {
    let hash = members::weight(&name, &registration.id) as f64 / u64::MAX as f64;
    hash / f64::from(registration.slots.max(1)) / 2.0
}
