//! Routes from requests to services.
//!
//! A [`Table`] is one version of the operators' configuration of routes. Among the routes of a
//! request's host, the one with the longest matching path prefix is selected, in time linear in the
//! number of routes of that host. A route that splits its traffic selects a service by the hash of
//! the request's affinity key, so all turns of a session use the same service.

use crate::customer::Directory;
use crate::id::{ServiceId, Tokens, Version};
use crate::members;
use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The kind of a route's requests, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent requests.
    Safe,
    /// Requests that may run at most once.
    Unsafe,
    /// Requests that are answered with a stream of events.
    Stream {
        /// Whether the stream can be resumed at another endpoint after its last event, which makes
        /// the request idempotent.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run may run again.
    pub fn idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight of the service relative to the other targets of the route.
    pub weight: u32,
}

/// A route from requests to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host of the requests.
    pub host: CompactString,
    /// Prefix of the request paths; it starts and ends with a slash.
    pub prefix: CompactString,
    /// Kind of the requests.
    pub kind: Kind,
    /// Maximum time until the end of the response.
    pub timeout: Duration,
    /// Time within which a response counts as on time.
    pub target_latency: Duration,
    /// Maximum time between two events with which a stream counts as on time.
    pub target_gap: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that the requests are split between.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Time for which a program that has exhausted its budget stays stopped.
    pub retention: Duration,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests for the same object should go to the same endpoint.
    pub sticky: bool,
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
            public: false,
            sticky: false,
        }
    }
}

impl Route {
    /// Returns the service for a request with this affinity key, or `None` if the route has no
    /// targets.
    pub fn select_service(&self, affinity_key: &str) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = members::weight(&affinity_key, &self.name) % total;
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

/// The capacity of each model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Memory for prompts and responses, in tokens.
    pub memory: Tokens,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: Tokens,
}

/// A service, which is a group of equivalent endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections from all daemons together to one endpoint.
    pub max_connections: u32,
    /// Capacity of each engine; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Limits on the connections and requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
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

/// One version of the route configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Routes by host, with the longest prefix first.
    hosts: IndexMap<CompactString, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Limits on the connections and requests of clients.
    pub limits: Limits,
    /// Customers and their keys.
    pub customers: Directory,
}

impl Table {
    /// Creates a table from the routes and services of one version.
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
        Self { version, hosts, services, limits, customers: Directory::default() }
    }

    /// Sets the customers.
    pub fn with_customers(self, customers: Directory) -> Self {
        Self { customers, ..self }
    }

    /// Returns the route with the longest prefix that matches a request; a port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the routes by host, with the longest prefix first.
    pub fn hosts(&self) -> &IndexMap<CompactString, Vec<Route>> {
        &self.hosts
    }

    /// Returns the services that routes send streams to.
    pub fn stream_services(&self) -> IndexSet<&str> {
        let routes = self.hosts.values().flatten().filter(|route| route.kind.is_stream());
        routes.flat_map(|route| &route.targets).map(|target| target.service.as_str()).collect()
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
