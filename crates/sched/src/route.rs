//! Routes from requests to services.
//!
//! A [`Table`] is one version of the operators' configuration of routes. Among the routes of a
//! request's host, the one with the longest prefix of its path is selected; the lookup costs the
//! number of that host's routes. A route that splits its traffic picks a service by the hash of the
//! request's line, so all turns of a line meet the same service.

use crate::id::{ServiceId, Tokens, Version};
use crate::members;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether it may go on elsewhere after its last event, which makes it idempotent.
        resumable: bool,
    },
}

impl Kind {
    /// Tells whether a request may run again after it may have run.
    pub fn idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends a share of its requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other targets' weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// Host that it belongs to.
    pub host: CompactString,
    /// Prefix of the paths that it takes, from slash to slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may wait for the end of its answer.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target_latency: Duration,
    /// Longest pause between events within which a stream is on time.
    pub target_gap: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services with their shares.
    pub targets: Vec<Target>,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// Time for which a program that spent its budget stays stopped.
    pub retention: Duration,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            name: CompactString::default(),
            host: CompactString::default(),
            prefix: CompactString::const_new("/"),
            kind: Kind::Unsafe,
            timeout: Duration::from_secs(30),
            target_latency: Duration::from_secs(1),
            target_gap: Duration::from_millis(500),
            priority: 0,
            targets: Vec::new(),
            max_attempts: 1,
            retention: Duration::from_secs(60),
        }
    }
}

impl Route {
    /// Selects the service for a request of `line`.
    pub fn select_service(&self, line: &str) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = members::weight(&line, &self.name) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// What a model engine of a service offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine batches.
    pub slots: u32,
    /// Memory for prompts and answers of one engine.
    pub memory: Tokens,
    /// Tokens that one event of a stream holds at most.
    pub event_tokens: Tokens,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one endpoint takes from all daemons together.
    pub max_connections: u32,
    /// Its engines, for a service of model engines.
    pub engine: Option<Engine>,
}

/// Bounds of what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request's head.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// Routes by host, the longest prefix first.
    hosts: IndexMap<CompactString, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Bounds of requests.
    pub limits: Limits,
}

impl Table {
    /// Builds a table.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: IndexMap<CompactString, Vec<Route>> = IndexMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, hosts, services, limits }
    }

    /// Finds the route of a request; a port in `host` is left out of account.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
