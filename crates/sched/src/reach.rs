//! Whether a daemon reaches endpoints directly, or only through other daemons.
//!
//! If a connection to an endpoint fails, the endpoint may be gone, or silent for a moment, or the daemon
//! may be cut off from it. What tells these apart is another daemon: if it connects to an endpoint that
//! this one does not reach, the path is broken and the endpoint is not. Two such endpoints in a row, of
//! one service in one data centre, make all of them be reached through other daemons, until a direct
//! connection succeeds again. An endpoint that the other daemon does not reach either is gone or silent,
//! as far as anybody can tell, and nothing follows from it.

use crate::fleet::Registration;
use crate::id::{DcId, EndpointId, ServiceId};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Number of endpoints that only other daemons reach from which the path to their group counts as
/// broken.
const CUT_ENDPOINTS: usize = 2;
/// Number of endpoints to which connections failed in a row from which another daemon is asked also
/// about endpoints that refuse connections.
const SUSPICIOUS_ENDPOINTS: usize = 2;
/// Time for which a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// Time for which an endpoint that another daemon did not reach either is not asked about again.
const DOWN_TTL: Duration = Duration::from_millis(500);
/// Interval at which a direct connection is tried while the path is broken.
const TEST_INTERVAL: Duration = Duration::from_millis(400);

/// Endpoints of one service in one data centre, which lose their paths together.
pub type GroupId = (ServiceId, DcId);

/// The way to an endpoint that is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// A connection of this daemon.
    Direct,
    /// A connection of another daemon, which passes the bytes on.
    Relayed,
}

/// What a direct connection that did not succeed says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The other side refused it.
    Refused,
    /// Nothing came back.
    TimedOut,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// Endpoints to which direct connections failed since the last one that succeeded.
    failed: IndexMap<EndpointId, Instant>,
    /// Endpoints that another daemon reached meanwhile.
    relayed: IndexMap<EndpointId, Instant>,
    /// Endpoints that another daemon did not reach either.
    down: IndexMap<EndpointId, Instant>,
    cut_since: Option<Instant>,
    /// Whether the path broke since [`Reach::take_news`] was last called.
    is_news: bool,
    /// Time of the last direct connection that was tried as a test.
    tested_at: Option<Instant>,
}

/// A daemon's paths to endpoints.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    groups: IndexMap<GroupId, Group>,
}

impl Group {
    /// Decides whether the path is broken: several endpoints are reached by others and not from here.
    fn evaluate(&mut self, now: Instant) {
        let broken = self.relayed.keys().filter(|id| self.failed.contains_key(*id)).count();
        if self.cut_since.is_none() && broken >= CUT_ENDPOINTS {
            (self.cut_since, self.tested_at, self.is_news) = (Some(now), Some(now), true);
        }
    }
}

fn group_id(registration: &Registration) -> GroupId {
    (registration.service.clone(), registration.dc.clone())
}

impl Reach {
    fn group(&self, registration: &Registration) -> Option<&Group> {
        self.groups.get(&group_id(registration))
    }

    /// Returns the path to try first.
    pub fn path(&self, registration: &Registration) -> Path {
        let group = self.group(registration);
        match group.is_some_and(|group| group.cut_since.is_some()) {
            true => Path::Relayed,
            false => Path::Direct,
        }
    }

    /// Returns whether the path to an endpoint's group is broken.
    pub fn is_cut(&self, registration: &Registration) -> bool {
        self.path(registration) == Path::Relayed
    }

    /// Returns whether a failed connection to an endpoint says something about the endpoint, since the
    /// others beside it do not fail as well.
    pub fn can_tell(&self, registration: &Registration) -> bool {
        self.group(registration).is_none_or(|group| {
            group.cut_since.is_none() && group.failed.keys().all(|id| *id == registration.id)
        })
    }

    /// Returns the number of groups to which the path is broken.
    pub fn cut_count(&self) -> usize {
        self.groups.values().filter(|group| group.cut_since.is_some()).count()
    }

    /// Records that a direct connection succeeded; returns whether the path was broken before.
    pub fn on_connected(&mut self, registration: &Registration) -> bool {
        let group = self.groups.swap_remove(&group_id(registration));
        group.is_some_and(|group| group.cut_since.is_some())
    }

    /// Records that a direct connection failed; returns whether another daemon should be asked.
    pub fn on_failed(
        &mut self,
        registration: &Registration,
        failure: Failure,
        now: Instant,
    ) -> bool {
        let group = self.groups.entry(group_id(registration)).or_default();
        group.failed.retain(|_, at| now.duration_since(*at) < FAILURE_TTL);
        group.failed.insert(registration.id.clone(), now);
        group.evaluate(now);
        let is_down = |at: &Instant| now.duration_since(*at) < DOWN_TTL;
        if group.down.get(&registration.id).is_some_and(is_down) {
            return false;
        }
        match failure {
            Failure::TimedOut => true,
            Failure::Refused => {
                group.cut_since.is_some() || group.failed.len() >= SUSPICIOUS_ENDPOINTS
            }
        }
    }

    /// Records that another daemon connected to an endpoint.
    pub fn on_relayed(&mut self, registration: &Registration, now: Instant) {
        let group = self.groups.entry(group_id(registration)).or_default();
        group.down.swap_remove(&registration.id);
        group.relayed.retain(|_, at| now.duration_since(*at) < FAILURE_TTL);
        group.relayed.insert(registration.id.clone(), now);
        group.evaluate(now);
    }

    /// Returns whether the path to an endpoint's group broke since the last call.
    pub fn take_news(&mut self, registration: &Registration) -> bool {
        let group = self.groups.get_mut(&group_id(registration));
        group.is_some_and(|group| std::mem::take(&mut group.is_news))
    }

    /// Records that another daemon did not reach an endpoint either.
    pub fn on_unreached(&mut self, registration: &Registration, now: Instant) {
        let group = self.groups.entry(group_id(registration)).or_default();
        group.relayed.swap_remove(&registration.id);
        group.down.insert(registration.id.clone(), now);
    }

    /// Returns the groups to which a direct connection should be tried now, and records that it is.
    pub fn due_tests(&mut self, now: Instant) -> Vec<GroupId> {
        let due = self.groups.iter_mut().filter(|(_, group)| {
            let tested = group.tested_at.is_none_or(|at| now.duration_since(at) >= TEST_INTERVAL);
            group.cut_since.is_some() && tested
        });
        due.map(|(id, group)| {
            group.tested_at = Some(now);
            id.clone()
        })
        .collect()
    }

    /// Drops what is out of date.
    pub fn sweep(&mut self, now: Instant) {
        for group in self.groups.values_mut() {
            group.failed.retain(|_, at| now.duration_since(*at) < FAILURE_TTL);
            group.relayed.retain(|_, at| now.duration_since(*at) < FAILURE_TTL);
            group.down.retain(|_, at| now.duration_since(*at) < DOWN_TTL);
        }
        self.groups.retain(|_, group| {
            let is_empty =
                group.failed.is_empty() && group.relayed.is_empty() && group.down.is_empty();
            group.cut_since.is_some() || !is_empty
        });
    }
}
