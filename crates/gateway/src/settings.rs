//! Settings of a gateway daemon and of a storage daemon.

use compact_str::{CompactString, format_compact};
use sched::id::{DcId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest key that the daemons may share, in bytes.
const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// Intervals and limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bound of one call to the key-value service, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Life of this daemon's member key without renewal, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Bound of connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Bound of one question to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Bound of waiting for an owner that waits for the platform, in milliseconds.
    pub reserve_timeout_ms: u64,
    /// Silence of an endpoint after which it is asked for a connection, in milliseconds.
    pub stall_ms: u64,
    /// Time between a stop signal and the closing of idle connections, in milliseconds.
    pub stop_close_ms: u64,
    /// Longest time that a stop waits for requests under way, in milliseconds.
    pub stop_wait_ms: u64,
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
            stop_close_ms: 3_000,
            stop_wait_ms: 7_500,
        }
    }
}

fn default_cpu_share() -> f64 {
    1.0
}

/// Settings of a gateway daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// IP address and port for clients.
    pub client_addr: SocketAddr,
    /// IP address and port for the balancer's question whether this daemon takes new connections.
    pub probe_addr: SocketAddr,
    /// IP address and port for other daemons.
    pub peer_addr: SocketAddr,
    /// Address at which other daemons reach `peer_addr`, where it differs.
    #[serde(default)]
    pub peer_public: Option<SocketAddr>,
    /// Addresses of some peers, which may be outdated.
    #[serde(default)]
    pub seeds: Vec<CompactString>,
    /// Key-value service, as an HTTP address.
    pub kv: CompactString,
    /// Key that the daemons share.
    #[serde(skip_serializing)]
    pub cluster_key: String,
    /// Share of a processor core that this daemon has.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Intervals and limits.
    #[serde(default)]
    pub limits: Limits,
    /// Loads of endpoints up to which requests are taken on.
    #[serde(default)]
    pub admission: sched::admission::Limits,
}

impl Settings {
    /// Address at which other daemons reach this one.
    pub fn public_addr(&self) -> CompactString {
        format_compact!("{}", self.peer_public.unwrap_or(self.peer_addr))
    }

    /// Finds a key whose value cannot be used, and why.
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

/// Converts a setting in milliseconds.
pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
