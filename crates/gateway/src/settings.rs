//! Settings of a gateway daemon and of a storage daemon.

use crate::ingress::connections;
use compact_str::{CompactString, format_compact};
use sched::id::{DcId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Parts of the VM's memory, of which one is for bodies and one for connections.
const MEMORY_PARTS: usize = 4;
/// Minimum length of the cluster key, in bytes.
const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// Timeouts and intervals of a gateway daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Timeout of one call to the key-value service, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Time to live of the lease on this daemon's member key, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Timeout for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout of one request to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Timeout for the decision of a budget owner that has reported a reservation as pending, in
    /// milliseconds.
    pub reserve_timeout_ms: u64,
    /// Time without data from an endpoint after which a test connection is opened to it, in
    /// milliseconds.
    pub stall_ms: u64,
    /// Time for which an endpoint that accepts no connection may send nothing before a request that
    /// must not be repeated is given up, in milliseconds.
    pub silence_ms: u64,
    /// Time after which a connection to an endpoint that is not established is also made through
    /// another daemon, in milliseconds.
    pub relay_delay_ms: u64,
    /// Maximum number of connections that this daemon makes for others at a time; 0 for a quarter as
    /// many as clients' connections.
    pub max_tunnels: usize,
    /// Delay between a stop signal and the closing of idle connections, in milliseconds.
    pub stop_close_ms: u64,
    /// Maximum time after a stop signal that the daemon waits for requests in progress, in
    /// milliseconds.
    pub stop_wait_ms: u64,
    /// Memory that bodies of clients' requests may hold together, in bytes; 0 for a quarter of the
    /// VM's memory.
    pub held_body_bytes: usize,
    /// Time without a byte of a request's body after which the request is given up, in milliseconds.
    pub body_stall_ms: u64,
    /// Time without reading its response after which a client's connection is closed, in
    /// milliseconds.
    pub unread_ms: u64,
    /// Maximum number of clients' connections; 0 for as many as the descriptors and the memory of the
    /// VM allow.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            platform_timeout_ms: 1_000,
            lease_ttl_ms: 10_000,
            connect_timeout_ms: 250,
            peer_timeout_ms: 250,
            reserve_timeout_ms: 1_500,
            stall_ms: 500,
            silence_ms: 2_500,
            relay_delay_ms: 80,
            max_tunnels: 0,
            stop_close_ms: 3_000,
            stop_wait_ms: 7_500,
            held_body_bytes: 0,
            body_stall_ms: 30_000,
            unread_ms: 60_000,
            max_connections: 0,
        }
    }
}

fn default_cpu_share() -> f64 {
    1.0
}

/// Memory of a VM whose settings don't name it, in megabytes.
fn default_memory_mb() -> usize {
    128
}

/// Settings of a gateway daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub dc: DcId,
    /// IP address and port for clients.
    pub client_addr: SocketAddr,
    /// IP address and port for the load balancer's readiness probe and for metrics.
    pub probe_addr: SocketAddr,
    /// IP address and port for requests from peers.
    pub peer_addr: SocketAddr,
    /// Address at which peers reach `peer_addr`, if it differs.
    #[serde(default)]
    pub peer_public: Option<SocketAddr>,
    /// Addresses of some peers, used until the members are known. Some may be outdated.
    #[serde(default)]
    pub seeds: Vec<CompactString>,
    /// HTTP address of the key-value service.
    pub kv: CompactString,
    /// Secret key shared by all daemons, with which they authenticate each other.
    #[serde(skip_serializing)]
    pub cluster_key: String,
    /// Share of a CPU core available to this daemon.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Memory of the VM, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Whether the whole system is starting for the first time, rather than this daemon restarting.
    #[serde(default)]
    pub first_start: bool,
    /// Timeouts and intervals.
    #[serde(default)]
    pub limits: Limits,
    /// Endpoint loads below which requests are admitted.
    #[serde(default)]
    pub admission: sched::admission::Limits,
    /// Prices of requests that leave their data centre.
    #[serde(default)]
    pub locality: sched::locality::Prices,
    /// When requests that crash endpoints are quarantined.
    #[serde(default)]
    pub quarantine: sched::quarantine::Limits,
    /// Token with which operators may change what this daemon refuses; without one, they can't.
    #[serde(default, skip_serializing)]
    pub operator_token: Option<String>,
    /// How far customers' quotas may be exceeded in one window.
    #[serde(default)]
    pub quota_tolerance: sched::quota::Tolerance,
}

impl Settings {
    /// Returns the address at which peers reach this daemon.
    pub fn public_addr(&self) -> CompactString {
        format_compact!("{}", self.peer_public.unwrap_or(self.peer_addr))
    }

    /// Returns the part of the VM's memory for bodies, or for connections, in bytes.
    fn memory_part(&self) -> usize {
        (self.memory_mb << 20) / MEMORY_PARTS
    }

    /// Returns the memory that bodies of clients' requests may hold together, in bytes.
    pub fn held_body_bytes(&self) -> usize {
        match self.limits.held_body_bytes {
            0 => self.memory_part(),
            bytes => bytes,
        }
    }

    /// Returns the maximum number of clients' connections.
    pub fn max_connections(&self) -> usize {
        match self.limits.max_connections {
            0 => connections::limit(self.memory_part()),
            count => count,
        }
    }

    /// Returns the maximum number of connections that this daemon makes for others at a time.
    pub fn max_tunnels(&self) -> usize {
        match self.limits.max_tunnels {
            0 => self.max_connections() / 4,
            count => count,
        }
    }

    /// Returns the first key whose value is invalid, with the reason.
    pub fn find_invalid(&self) -> Option<(&'static str, &'static str)> {
        let limits = &self.limits;
        let checks = [
            (!self.vm.is_empty(), "vm", "must not be empty"),
            (!self.dc.is_empty(), "dc", "must not be empty"),
            (self.kv.starts_with("http://"), "kv", "must start with http://"),
            (
                self.cluster_key.len() >= MIN_CLUSTER_KEY_BYTES,
                "cluster_key",
                "must have at least 16 bytes",
            ),
            (limits.lease_ttl_ms >= 1_000, "limits.lease_ttl_ms", "must be at least 1000"),
            (limits.stall_ms > 0, "limits.stall_ms", "must not be 0"),
            (limits.body_stall_ms > 0, "limits.body_stall_ms", "must not be 0"),
            (limits.unread_ms > 0, "limits.unread_ms", "must not be 0"),
            (self.memory_mb > 0, "memory_mb", "must not be 0"),
            (self.locality.ms_per_mb >= 0.0, "locality.ms_per_mb", "must not be negative"),
            (self.quarantine.hold_ms > 0, "quarantine.hold_ms", "must not be 0"),
            (
                self.operator_token.as_ref().is_none_or(|token| !token.is_empty()),
                "operator_token",
                "must not be empty",
            ),
            (self.quota_tolerance.is_valid(), "quota_tolerance", "must not be negative"),
            (
                limits.stop_close_ms <= limits.stop_wait_ms,
                "limits.stop_close_ms",
                "must not exceed limits.stop_wait_ms",
            ),
        ];
        checks.iter().find(|(valid, _, _)| !valid).map(|(_, key, reason)| (*key, *reason))
    }
}

/// Settings of a storage daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Storage {
    /// Name of this VM.
    pub vm: VmId,
}

/// Converts a number of milliseconds to a [`Duration`].
pub fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
