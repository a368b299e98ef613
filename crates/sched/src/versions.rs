//! Software versions of each service that may have written the streams of its clients.
//!
//! A stream goes on only at the version that began it (see [`crate::origin`]). Daemons hold the
//! records of that in memory, so they are lost with the daemons. This register lies in the key-value
//! service and outlives them. It rests on one rule: a version is announced in the register before a
//! daemon sends the first request to it ([`crate::fleet::Fleet::hold_unannounced`]). So a daemon that
//! reads the register after it got a client's request knows every version that may have begun the
//! client's stream. If there is only one, the stream goes on there. While there are several, the
//! beginnings of streams are recorded in the key-value service too.
//!
//! Delegates write the register when the set of versions changes, which is about twice in a release.

use crate::id::{ServiceId, SoftwareVersion};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time without endpoints after which a version is closed, so that registrations that expire in an
/// outage and come back cost no writes.
const CLOSE_DELAY: Duration = Duration::from_secs(5);
/// Time by which each delegate after the first one writes later.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Time for which a closed version stays in the register, in milliseconds; longer than any stream.
const RETENTION_MS: u64 = 600_000;

/// Pairs of a service and a version that have registered endpoints.
pub type Serving = IndexSet<(ServiceId, SoftwareVersion)>;

/// Time for which a version has served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Span {
    /// Time at which it was known to have no endpoints, in milliseconds since the Unix epoch; `None`
    /// while it has some.
    until_ms: Option<u64>,
}

/// Versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    services: IndexMap<ServiceId, IndexMap<SoftwareVersion, Span>>,
}

impl Register {
    fn span(&self, service: &str, version: &str) -> Option<&Span> {
        self.services.get(service)?.get(version)
    }

    /// Returns whether the version is announced.
    pub fn lists(&self, service: &str, version: &str) -> bool {
        self.span(service, version).is_some_and(|span| span.until_ms.is_none())
    }

    /// Returns the versions of a service that may have written a stream since `since_ms`, in
    /// milliseconds since the Unix epoch.
    pub fn since(&self, service: &str, since_ms: u64) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        let open = move |span: &Span| span.until_ms.is_none_or(|until_ms| until_ms >= since_ms);
        versions.filter(move |(_, span)| open(span)).map(|(version, _)| version)
    }

    /// Returns the version of a service that alone may have written a stream since `since_ms`, or
    /// `None` if there are several or none.
    pub fn only_version(&self, service: &str, since_ms: u64) -> Option<&SoftwareVersion> {
        let mut versions = self.since(service, since_ms);
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Returns whether several versions of a service may have written a stream since `since_ms`.
    pub fn is_mixed(&self, service: &str, since_ms: u64) -> bool {
        self.since(service, since_ms).nth(1).is_some()
    }
}

/// Decides when this daemon, as a delegate, writes the register.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    /// Time since which a version that serves is not announced.
    due_since: Option<Instant>,
    /// Time since which announced versions have no endpoints.
    absent_since: IndexMap<(ServiceId, SoftwareVersion), Instant>,
}

impl Announcer {
    /// Returns the register to write in place of `register`, or `None` if nothing is to be written
    /// now.
    ///
    /// `rank` is the daemon's index among the delegates; the others write only if the first ones do
    /// not. `now_ms` is in milliseconds since the Unix epoch.
    pub fn next_write(
        &mut self,
        register: &Register,
        serving: &Serving,
        rank: usize,
        now: Instant,
        now_ms: u64,
    ) -> Option<Register> {
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        let new = serving.iter().filter(|(service, version)| !register.lists(service, version));
        let new: Vec<_> = new.collect();
        self.due_since = (!new.is_empty()).then(|| self.due_since.unwrap_or(now));
        let announce = self.due_since.is_some_and(|since| now.duration_since(since) >= delay);
        let close = self.absent(register, serving, now, CLOSE_DELAY + delay);
        if !announce && close.is_empty() {
            return None;
        }
        let mut next = register.clone();
        for (service, version) in close {
            let versions = next.services.entry(service).or_default();
            versions.insert(version, Span { until_ms: Some(now_ms) });
        }
        for (service, version) in new {
            let versions = next.services.entry(service.clone()).or_default();
            versions.insert(version.clone(), Span::default());
        }
        for versions in next.services.values_mut() {
            versions.retain(|_, span| span.until_ms.is_none_or(|at| at + RETENTION_MS > now_ms));
        }
        next.services.retain(|_, versions| !versions.is_empty());
        Some(next)
    }

    /// Returns the announced versions that have had no endpoints for `time`.
    fn absent(
        &mut self,
        register: &Register,
        serving: &Serving,
        now: Instant,
        time: Duration,
    ) -> Serving {
        let listed = register.services.iter().flat_map(|(service, versions)| {
            let open = versions.iter().filter(|(_, span)| span.until_ms.is_none());
            open.map(|(version, _)| (service.clone(), version.clone()))
        });
        let absent: Serving = listed.filter(|pair| !serving.contains(pair)).collect();
        self.absent_since.retain(|pair, _| absent.contains(pair));
        for pair in absent {
            self.absent_since.entry(pair).or_insert(now);
        }
        let due = self.absent_since.iter().filter(|(_, since)| now.duration_since(**since) >= time);
        due.map(|(pair, _)| pair.clone()).collect()
    }
}
