//! Known endpoints, their load and health as this daemon observes them, and placement on them.
//!
//! A daemon learns of endpoints from the registry. It infers their load and health from its own
//! requests, since load reports arrive late and health checks cost calls. An endpoint that refuses
//! connections, aborts responses or does not respond is ejected for a time that doubles with each
//! failure in a row. Ejection never empties a service: an ejected endpoint is still chosen when no
//! other is left.
//!
//! [`Fleet::place`] compares all endpoints of a small service and a few random ones of a large one,
//! so its cost is bounded for any size of the fleet.

use crate::id::{DcId, EndpointId, ServiceId, SoftwareVersion};
use crate::members;
use crate::versions::{Register, Serving};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Ejection time after the first failure.
const MIN_EJECTION: Duration = Duration::from_millis(400);
/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// Time for which an endpoint that refused a request because it is full is avoided.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Time for which an endpoint whose registration disappeared may still be used.
///
/// Registrations expire while the registry is unavailable and reappear shortly after it is back. An
/// endpoint that leaves keeps serving for longer than this after its registration is gone.
const DEREGISTRATION_GRACE: Duration = Duration::from_millis(1_400);
/// Time for which an endpoint is held back until its version is announced. Beyond it, requests matter
/// more than streams that go on after the loss of all daemons.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// Time for which it is remembered which process of an endpoint said that it leaves; longer than
/// endpoints take to leave.
const LEAVING_RETENTION: Duration = Duration::from_secs(3_600);
/// Time for which an endpoint that left is remembered; longer than another daemon's view may be out
/// of date without that daemon noticing.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of endpoints of a service returned by [`Fleet::withdrawn`].
const MAX_WITHDRAWN: usize = 32;
/// Maximum number of endpoints of a service for which all are compared.
const MAX_FULL_SCAN: usize = 32;
/// Number of random candidates of a larger service.
const SAMPLES: usize = 8;

/// Readiness that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It is about to stop and accepts no new requests.
    Draining,
}

/// A registered endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Endpoint id.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Data centre of the endpoint.
    pub dc: DcId,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Version of its software; empty if it does not name one.
    pub version: SoftwareVersion,
    /// Reported readiness.
    pub state: State,
    /// Number of the process; it tells a restarted endpoint from the process that used the same id
    /// before.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct Endpoint {
    registration: Registration,
    in_flight: u32,
    /// Failures since the last success.
    failures: u32,
    ejected_until: Option<Instant>,
    full_until: Option<Instant>,
    /// Time at which the registration disappeared, if it did.
    deregistered_at: Option<Instant>,
    /// Time until which it gets no requests because its version is not announced.
    held_until: Option<Instant>,
    /// Whether this process of the endpoint said in a response that it leaves.
    leaving: bool,
}

impl Endpoint {
    fn usable(&self, now: Instant) -> bool {
        let available =
            self.deregistered_at.is_none_or(|at| now.duration_since(at) < DEREGISTRATION_GRACE);
        let held = self.held_until.is_some_and(|until| now < until);
        available && !held && !self.leaving && self.registration.state == State::Ready
    }

    fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

/// Criteria for the choice of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Criteria<'a> {
    /// Data centre of this daemon, whose endpoints are preferred.
    pub dc: &'a str,
    /// Key whose hash prefers the same endpoint for requests that share a prompt; empty for none.
    pub affinity: &'a str,
    /// Load difference, as a fraction of an endpoint's slots, up to which affinity outweighs load.
    pub affinity_load: f64,
    /// Endpoints that already refused the request.
    pub avoid: &'a [EndpointId],
    /// Software version that alone may run the request; `None` for any.
    pub version: Option<&'a SoftwareVersion>,
}

/// An endpoint that accepts new requests.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Registration of the endpoint.
    pub registration: &'a Registration,
    /// Whether it is ejected after a failure.
    pub ejected: bool,
    /// Whether it recently refused a request because it was full.
    pub full: bool,
}

/// All known endpoints.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    endpoints: IndexMap<EndpointId, Endpoint>,
    services: IndexMap<ServiceId, IndexSet<EndpointId>>,
    /// Endpoints that were removed because their registrations disappeared.
    departed: IndexMap<EndpointId, Departure>,
    /// Processes that said that they leave, by endpoint. It holds whether or not the endpoint is
    /// registered: a registration may expire and come back meanwhile.
    leaving: IndexMap<EndpointId, Leaving>,
}

/// A process that said that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    incarnation: u64,
    said_at: Instant,
}

/// An endpoint that left, remembered for a while.
#[derive(Clone, Debug)]
struct Departure {
    service: ServiceId,
    removed_at: Instant,
}

impl Fleet {
    /// Adds or updates an endpoint; a new incarnation starts without history.
    pub fn register(&mut self, registration: Registration) {
        let known = self.endpoints.get_mut(&registration.id);
        if let Some(endpoint) = known
            && endpoint.registration.incarnation == registration.incarnation
            && endpoint.registration.service == registration.service
        {
            endpoint.registration = registration;
            endpoint.deregistered_at = None;
            return;
        }
        self.remove(&registration.id);
        self.departed.shift_remove(&registration.id);
        let service = self.services.entry(registration.service.clone()).or_default();
        service.insert(registration.id.clone());
        let endpoint = Endpoint {
            in_flight: 0,
            failures: 0,
            ejected_until: None,
            full_until: None,
            deregistered_at: None,
            held_until: None,
            leaving: self
                .leaving
                .get(&registration.id)
                .is_some_and(|leaving| leaving.incarnation == registration.incarnation),
            registration,
        };
        self.endpoints.insert(endpoint.registration.id.clone(), endpoint);
    }

    /// Records that a process of an endpoint said in a response that it leaves. From then on, this
    /// daemon sends it no requests, whatever its registration says. Returns whether that is news.
    pub fn record_leaving(&mut self, registration: &Registration, now: Instant) -> bool {
        let Registration { id, incarnation, .. } = registration;
        let leaving = Leaving { incarnation: *incarnation, said_at: now };
        let previous = self.leaving.insert(id.clone(), leaving);
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && endpoint.registration.incarnation == *incarnation
        {
            endpoint.leaving = true;
        }
        previous.is_none_or(|previous| previous.incarnation != *incarnation)
    }

    /// Holds back the endpoints whose versions `register` does not list, see [`crate::versions`].
    ///
    /// Only services for which `has_streams` returns true are concerned: no stream begins at the
    /// others.
    pub fn hold_unannounced(
        &mut self,
        register: &Register,
        has_streams: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        for endpoint in self.endpoints.values_mut() {
            let Registration { service, version, .. } = &endpoint.registration;
            endpoint.held_until = match register.lists(service, version) || !has_streams(service) {
                true => None,
                false => endpoint.held_until.or(Some(now + MAX_HOLD)),
            };
        }
    }

    /// Returns the services and versions that have registered endpoints.
    pub fn serving(&self) -> Serving {
        let registered =
            self.endpoints.values().filter(|endpoint| endpoint.deregistered_at.is_none());
        let pairs = registered.map(|endpoint| {
            let Registration { service, version, .. } = &endpoint.registration;
            (service, version)
        });
        let pairs: IndexSet<_> = pairs.collect();
        pairs.into_iter().map(|(service, version)| (service.clone(), version.clone())).collect()
    }

    /// Records that the registration of an endpoint disappeared.
    pub fn deregister(&mut self, id: &str, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.deregistered_at.get_or_insert(now);
        }
    }

    /// Records that all registrations except those in `registered` disappeared.
    pub fn deregister_absent(&mut self, registered: &IndexSet<EndpointId>, now: Instant) {
        for (id, endpoint) in &mut self.endpoints {
            if !registered.contains(id) {
                endpoint.deregistered_at.get_or_insert(now);
            }
        }
    }

    /// Removes idle endpoints whose registrations disappeared longer ago than the grace period.
    pub fn sweep(&mut self, now: Instant) {
        let expired: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint
                    .deregistered_at
                    .is_some_and(|at| now.duration_since(at) > DEREGISTRATION_GRACE)
                    && endpoint.in_flight == 0
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            if let Some(Registration { service, .. }) = self.remove(&id) {
                self.departed.insert(id, Departure { service, removed_at: now });
            }
        }
        self.leaving.retain(|_, leaving| now.duration_since(leaving.said_at) < LEAVING_RETENTION);
        self.departed
            .retain(|_, departure| now.duration_since(departure.removed_at) < DEPARTURE_RETENTION);
    }

    fn remove(&mut self, id: &str) -> Option<Registration> {
        let endpoint = self.endpoints.swap_remove(id)?;
        if let Some(service) = self.services.get_mut(&endpoint.registration.service) {
            service.swap_remove(id);
        }
        Some(endpoint.registration)
    }

    /// Returns the registration of an endpoint.
    pub fn registration(&self, id: &str) -> Option<Registration> {
        self.endpoints.get(id).map(|endpoint| endpoint.registration.clone())
    }

    /// Returns whether an endpoint is known.
    pub fn contains(&self, id: &str) -> bool {
        self.endpoints.contains_key(id)
    }

    /// Returns the data centres that have endpoints of a service.
    pub fn dcs(&self, service: &str) -> IndexSet<DcId> {
        self.in_service(service).map(|endpoint| endpoint.registration.dc.clone()).collect()
    }

    fn in_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn usable(&self, service: &str, now: Instant) -> impl Iterator<Item = Candidate<'_>> {
        self.in_service(service).filter(move |endpoint| endpoint.usable(now)).map(move |endpoint| {
            Candidate {
                registration: &endpoint.registration,
                ejected: endpoint.ejected(now),
                full: endpoint.full(now),
            }
        })
    }

    /// Returns the current registrations, for peers that cannot reach the registry.
    pub fn registrations(&self) -> Vec<Registration> {
        let registered =
            self.endpoints.values().filter(|endpoint| endpoint.deregistered_at.is_none());
        registered.map(|endpoint| endpoint.registration.clone()).collect()
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the endpoints of a service that this daemon knows to accept no new requests.
    ///
    /// A coordinator whose view is older may still book them.
    pub fn withdrawn(&self, service: &str, now: Instant) -> Vec<EndpointId> {
        let known = self.in_service(service).filter(|endpoint| !endpoint.usable(now));
        let known = known.map(|endpoint| &endpoint.registration.id);
        let departed = self.departed.iter().rev();
        let departed = departed.filter(|(_, departure)| departure.service == service);
        known.chain(departed.map(|(id, _)| id)).take(MAX_WITHDRAWN).cloned().collect()
    }

    /// Returns whether this incarnation of an endpoint accepts new requests.
    ///
    /// Every request is checked by this right before it is sent, whichever way its endpoint was
    /// chosen.
    pub fn accepts(&self, registration: &Registration, now: Instant) -> bool {
        self.endpoints.get(&registration.id).is_some_and(|endpoint| {
            endpoint.usable(now) && endpoint.registration.incarnation == registration.incarnation
        })
    }

    /// Chooses an endpoint of `service`; `None` if none accepts new requests.
    pub fn place(
        &self,
        service: &str,
        criteria: &Criteria<'_>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Option<Registration> {
        let ids = self.services.get(service)?;
        let candidates: Vec<&Endpoint> = match ids.len() {
            0..=MAX_FULL_SCAN => self.in_service(service).collect(),
            // Samples may miss a version that few endpoints have.
            _ if criteria.version.is_some() => self.in_service(service).collect(),
            count => (0..SAMPLES)
                .filter_map(|_| ids.get_index(rng.usize(..count)))
                .filter_map(|id| self.endpoints.get(id))
                .collect(),
        };
        let usable = candidates.into_iter().filter(|endpoint| {
            let registration = &endpoint.registration;
            endpoint.usable(now)
                && !criteria.avoid.contains(&registration.id)
                && criteria.version.is_none_or(|version| *version == registration.version)
        });
        let best = usable.min_by(|left, right| {
            let order =
                (left.ejected(now), left.full(now)).cmp(&(right.ejected(now), right.full(now)));
            order.then_with(|| cost(left, criteria).total_cmp(&cost(right, criteria)))
        })?;
        Some(best.registration.clone())
    }

    /// Returns this daemon's requests in flight at the usable endpoints of a service, and the sum of
    /// the endpoints' `slots`.
    pub fn own_load(
        &self,
        service: &str,
        slots: impl Fn(&Registration) -> f64,
        now: Instant,
    ) -> (u32, f64) {
        let usable = self.in_service(service).filter(|endpoint| endpoint.usable(now));
        usable.fold((0, 0.0), |(own, total), endpoint| {
            (own + endpoint.in_flight, total + slots(&endpoint.registration))
        })
    }

    /// Counts a request that is sent to an endpoint.
    pub fn begin_request(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
        }
    }

    /// Stops counting a request that has ended.
    pub fn end_request(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records a successful request, which ends an ejection.
    pub fn record_success(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.failures = 0;
            endpoint.ejected_until = None;
        }
    }

    /// Ends the ejections of the endpoints that stand beside this one, since the failures were those of
    /// the path to them.
    pub fn end_ejections(&mut self, registration: &Registration) {
        for endpoint in self.endpoints.values_mut() {
            let Registration { service, dc, .. } = &endpoint.registration;
            if *service == registration.service && *dc == registration.dc {
                endpoint.failures = 0;
                endpoint.ejected_until = None;
            }
        }
    }

    /// Records that an endpoint refused a request because it is full.
    pub fn record_full(&mut self, id: &str, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.full_until = Some(now + FULL_BACKOFF);
        }
    }

    /// Records a failure and ejects the endpoint: it was unreachable, aborted a response, or
    /// another process responded at its address.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let ejection = MIN_EJECTION * 2_u32.pow(endpoint.failures.min(4));
            endpoint.failures += 1;
            endpoint.ejected_until = Some(now + ejection.min(MAX_EJECTION));
        }
    }
}

/// Cost added to an endpoint in another data centre, as a fraction of its slots.
const REMOTE_COST: f64 = 0.25;

fn cost(endpoint: &Endpoint, criteria: &Criteria<'_>) -> f64 {
    let slots = f64::from(endpoint.registration.slots.max(1));
    let load = f64::from(endpoint.in_flight) / slots;
    let remote = if endpoint.registration.dc == criteria.dc { 0.0 } else { REMOTE_COST };
    // The endpoint with the highest hash of the affinity key has the lowest cost, unless loads
    // differ by more than `affinity_load`.
    let hash =
        members::weight(&criteria.affinity, &endpoint.registration.id) as f64 / u64::MAX as f64;
    load + remote + (1.0 - hash) * criteria.affinity_load
}
