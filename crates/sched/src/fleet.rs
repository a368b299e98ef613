//! Endpoints as their registrations and this daemon's own traffic show them, and placement.
//!
//! A daemon learns of endpoints from the registry and of their load from its own requests, since
//! reports come late and health checks cost calls. An endpoint that refuses connections, breaks off
//! answers or stays silent is ejected for a time that doubles with each failure in a row; ejection
//! never empties a service, because an ejected endpoint is still chosen when no other is left.
//!
//! [`Fleet::place`] looks at every endpoint of one service when the service is small, and else at a
//! few random ones. Its cost is therefore bounded whatever the size of the fleet.

use crate::id::{DcId, EndpointId, ServiceId};
use crate::members;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// First ejection after a failure.
const EJECT_FIRST: Duration = Duration::from_millis(400);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_secs(3);
/// Time for which an endpoint that answered "full" is passed over.
const FULL_FOR: Duration = Duration::from_millis(60);
/// Time for which an endpoint whose registration vanished may still be used.
///
/// Registrations lapse while the registry is away and come back shortly after it; an endpoint that
/// left serves for longer than this after its registration went.
const VANISHED_GRACE: Duration = Duration::from_millis(1_400);
/// Endpoints of a service up to which all are compared.
const SCAN_ALL: usize = 32;
/// Random candidates among more endpoints.
const SAMPLES: usize = 8;

/// What an endpoint says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// A registered endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its id.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DcId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its readiness.
    pub state: State,
    /// Number of its start; another number under the same id is another process.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct Member {
    registration: Registration,
    in_flight: u32,
    failures: u32,
    ejected_until: Option<Instant>,
    full_until: Option<Instant>,
    vanished: Option<Instant>,
}

impl Member {
    fn usable(&self, now: Instant) -> bool {
        let present = self.vanished.is_none_or(|since| now.duration_since(since) < VANISHED_GRACE);
        present && self.registration.state == State::Ready
    }

    fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

/// What a request needs of its endpoint.
#[derive(Clone, Debug, Default)]
pub struct Criteria<'a> {
    /// Data centre of this daemon.
    pub dc: &'a str,
    /// Name that prefers the same endpoint for requests that share a prompt; empty for none.
    pub affinity: &'a str,
    /// Share of an endpoint's slots up to which affinity goes before load.
    pub affinity_load: f64,
    /// Endpoints that refused this request.
    pub avoid: &'a [EndpointId],
}

/// An endpoint that takes work.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its registration.
    pub registration: &'a Registration,
    /// Whether it failed lately.
    pub ejected: bool,
    /// Whether it answered "full" just now.
    pub full: bool,
}

/// All endpoints.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: IndexMap<EndpointId, Member>,
    services: IndexMap<ServiceId, IndexSet<EndpointId>>,
}

impl Fleet {
    /// Takes a registration in; a new incarnation starts without history.
    pub fn register(&mut self, registration: Registration) {
        let known = self.members.get_mut(&registration.id);
        if let Some(member) = known
            && member.registration.incarnation == registration.incarnation
            && member.registration.service == registration.service
        {
            member.registration = registration;
            member.vanished = None;
            return;
        }
        self.forget(&registration.id);
        let service = self.services.entry(registration.service.clone()).or_default();
        service.insert(registration.id.clone());
        let member = Member {
            in_flight: 0,
            failures: 0,
            ejected_until: None,
            full_until: None,
            vanished: None,
            registration,
        };
        self.members.insert(member.registration.id.clone(), member);
    }

    /// Notes that a registration vanished at `now`.
    pub fn deregister(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.vanished.get_or_insert(now);
        }
    }

    /// Notes that no registrations but those of `present` exist.
    pub fn deregister_absent(&mut self, present: &IndexSet<EndpointId>, now: Instant) {
        for (id, member) in &mut self.members {
            if !present.contains(id) {
                member.vanished.get_or_insert(now);
            }
        }
    }

    /// Drops endpoints whose registrations vanished long ago.
    pub fn sweep(&mut self, now: Instant) {
        let gone: Vec<EndpointId> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.vanished.is_some_and(|since| now.duration_since(since) > VANISHED_GRACE)
                    && member.in_flight == 0
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.forget(&id);
        }
    }

    fn forget(&mut self, id: &str) {
        if let Some(member) = self.members.swap_remove(id)
            && let Some(service) = self.services.get_mut(&member.registration.service)
        {
            service.swap_remove(id);
        }
    }

    /// The registration of an endpoint.
    pub fn registration(&self, id: &str) -> Option<Registration> {
        self.members.get(id).map(|member| member.registration.clone())
    }

    /// Data centres that have endpoints of a service.
    pub fn dcs(&self, service: &str) -> IndexSet<DcId> {
        self.of(service).map(|member| member.registration.dc.clone()).collect()
    }

    fn of(&self, service: &str) -> impl Iterator<Item = &Member> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id))
    }

    /// Endpoints of a service that take work.
    pub fn usable(&self, service: &str, now: Instant) -> impl Iterator<Item = Candidate<'_>> {
        self.of(service).filter(move |member| member.usable(now)).map(move |member| Candidate {
            registration: &member.registration,
            ejected: member.ejected(now),
            full: member.full(now),
        })
    }

    /// Registrations that hold, for peers that cannot reach the registry.
    pub fn registrations(&self) -> Vec<Registration> {
        let present = self.members.values().filter(|member| member.vanished.is_none());
        present.map(|member| member.registration.clone()).collect()
    }

    /// Number of known endpoints.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Tells whether new work may go to this incarnation of an endpoint.
    pub fn accepts(&self, registration: &Registration, now: Instant) -> bool {
        self.members.get(&registration.id).is_some_and(|member| {
            member.usable(now) && member.registration.incarnation == registration.incarnation
        })
    }

    /// Chooses an endpoint of `service`.
    pub fn place(
        &self,
        service: &str,
        need: &Criteria<'_>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Option<Registration> {
        let ids = self.services.get(service)?;
        let candidates: Vec<&Member> = match ids.len() {
            0..=SCAN_ALL => self.of(service).collect(),
            count => (0..SAMPLES)
                .filter_map(|_| ids.get_index(rng.usize(..count)))
                .filter_map(|id| self.members.get(id))
                .collect(),
        };
        let usable = candidates
            .into_iter()
            .filter(|member| member.usable(now) && !need.avoid.contains(&member.registration.id));
        let best = usable.min_by(|left, right| {
            let order =
                (left.ejected(now), left.full(now)).cmp(&(right.ejected(now), right.full(now)));
            order.then_with(|| cost(left, need).total_cmp(&cost(right, need)))
        })?;
        Some(best.registration.clone())
    }

    /// Own requests under way at a service's endpoints that take work, and their slots.
    pub fn own_load(&self, service: &str, now: Instant) -> (u32, u32) {
        let usable = self.of(service).filter(|member| member.usable(now));
        usable.fold((0, 0), |(own, slots), member| {
            (own + member.in_flight, slots + member.registration.slots)
        })
    }

    /// Counts a request that goes to an endpoint.
    pub fn begin_request(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
        }
    }

    /// Counts a request that has ended.
    pub fn end_request(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    /// Notes that an endpoint answered as it should.
    pub fn record_success(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = 0;
            member.ejected_until = None;
        }
    }

    /// Notes that an endpoint refused a request because it is full.
    pub fn record_full(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.full_until = Some(now + FULL_FOR);
        }
    }

    /// Notes that an endpoint failed: it could not be reached, broke off, or another answers there.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            let time = EJECT_FIRST * 2_u32.pow(member.failures.min(4));
            member.failures += 1;
            member.ejected_until = Some(now + time.min(EJECT_MAX));
        }
    }
}

/// Load that another data centre adds to an endpoint's cost, as a share of its slots.
const REMOTE_COST: f64 = 0.25;

fn cost(member: &Member, need: &Criteria<'_>) -> f64 {
    let slots = f64::from(member.registration.slots.max(1));
    let load = f64::from(member.in_flight) / slots;
    let remote = if member.registration.dc == need.dc { 0.0 } else { REMOTE_COST };
    // The highest hash of the affinity is cheapest; where loads differ by more, load decides.
    let spread = members::weight(&need.affinity, &member.registration.id) as f64 / u64::MAX as f64;
    load + remote + (1.0 - spread) * need.affinity_load
}
