//! Settings of one daemon, in JSON with comments.
//!
//! Keys that are not known are errors. Secrets live in a file of their own, named by the settings,
//! so that the settings themselves can be shown.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use sched::id::{DcId, LogId, TeamId, VmId};
use sched::queue::Policy;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Shortest key that the daemons may share, in bytes.
const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {reason}; check that the file exists and may be read")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// The file is not what was expected.
    #[error("{path}, line {line}, key '{key}': {reason}")]
    Malformed {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The key, with those around it.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// A value is out of its range.
    #[error("{path}, key '{key}': {reason}")]
    Invalid {
        /// The file.
        path: String,
        /// The key.
        key: &'static str,
        /// What is wrong.
        reason: String,
    },
}

/// Addresses of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Key-value service, as an HTTP address.
    pub kv: CompactString,
    /// List of VMs, as an HTTP address.
    pub vms: CompactString,
}

/// Intervals and limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Life of this daemon's lease without renewal, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Mean time between two commits of this daemon when it is busy, in milliseconds.
    pub commit_interval_ms: u64,
    /// Bound of one call to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Time after which an answer whose turn is not durable is given with a receipt, in milliseconds.
    pub receipt_after_ms: u64,
    /// Longest time without the key-value service in which calls still start, in milliseconds.
    pub outage_limit_ms: u64,
    /// Time after a takeover at which allowances of earlier owners return, in milliseconds.
    pub settle_after_ms: u64,
    /// Time that an ended program can still be read, in milliseconds.
    pub retain_ms: u64,
    /// Interval of reports to peers, in milliseconds.
    pub report_interval_ms: u64,
    /// Interval of reading the VM list, in milliseconds.
    pub vms_interval_ms: u64,
    /// Interval of sweeping engines for memory of programs that are gone, in milliseconds.
    pub sweep_interval_ms: u64,
    /// Longest time that a request waits for an owner of its log, in milliseconds.
    pub route_wait_ms: u64,
    /// Longest time that a stop waits for calls in flight, in milliseconds.
    pub stop_wait_ms: u64,
    /// Tokens set aside for a program ahead of its calls.
    pub allowance: u64,
    /// Tokens that a log draws from an account at once.
    pub grant_chunk: u64,
    /// Segments of a log after which a snapshot is written.
    pub snapshot_segments: u64,
    /// Longest request body, in bytes.
    pub max_body_bytes: u64,
    /// Most bytes of entries that a log holds while they are not durable.
    pub max_pending_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_ttl_ms: 5_000,
            commit_interval_ms: 25,
            platform_timeout_ms: 1_000,
            receipt_after_ms: 500,
            outage_limit_ms: 600_000,
            settle_after_ms: 900_000,
            retain_ms: 600_000,
            report_interval_ms: 200,
            vms_interval_ms: 500,
            sweep_interval_ms: 2_000,
            route_wait_ms: 15_000,
            stop_wait_ms: 60_000,
            allowance: 4_096,
            grant_chunk: 65_536,
            snapshot_segments: 200,
            max_body_bytes: 256 << 10,
            max_pending_bytes: 16 << 20,
        }
    }
}

/// Secrets, read from the file that the settings name.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Key that the daemons share.
    pub cluster: String,
    /// Teams by their callers' tokens.
    pub teams: IndexMap<CompactString, TeamId>,
    /// Operators by their tokens.
    pub operators: IndexMap<CompactString, CompactString>,
}

/// A fault that a test injects, to show that the check of a promise can fail.
///
/// Only a build with the `injection` feature accepts these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InjectedFault {
    /// Orders that must run at most once leave before their intent is durable.
    IntentAfterOrder,
    /// An owner goes on after another has taken its log over.
    NoFence,
    /// Orders are not limited by the budget.
    BudgetUnchecked,
    /// Engine memory is never released.
    KeepPins,
    /// An unknown outcome is refused as not run.
    UnknownAsNotRun,
    /// A repeated call id is answered from another program.
    ForeignAnswer,
    /// A planned stop does not wait for anything.
    StopAtOnce,
}

/// Settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// IP address and port for callers and operators.
    pub http_addr: SocketAddr,
    /// IP address and port for peers.
    pub peer_addr: SocketAddr,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Number of logs; the same at every daemon, for ever.
    #[serde(default = "default_logs")]
    pub logs: LogId,
    /// File that holds the secrets; a relative path starts at the settings file.
    pub keys_file: PathBuf,
    /// How waiting calls are ordered and placed.
    #[serde(default)]
    pub policy: Policy,
    /// Intervals and limits.
    #[serde(default)]
    pub limits: Limits,
    /// Faults injected by a test.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    pub injected: IndexSet<InjectedFault>,
    /// Secrets.
    #[serde(skip)]
    pub keys: Keys,
}

fn default_logs() -> LogId {
    16
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: VmId::default(),
            dc: DcId::default(),
            http_addr: SocketAddr::from(([127, 0, 0, 1], 8080)),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 9080)),
            platform: Platform::default(),
            logs: default_logs(),
            keys_file: PathBuf::new(),
            policy: Policy::default(),
            limits: Limits::default(),
            injected: IndexSet::new(),
            keys: Keys::default(),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file and the keys file that it names.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file and the key at fault.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let mut settings: Self = read(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let keys_path = folder.join(&settings.keys_file);
        settings.keys = read(&keys_path)?;
        settings.validate(path)?;
        settings.keys.validate(&keys_path)?;
        Ok(settings)
    }

    /// Tells whether a test injects this fault.
    pub fn injects(&self, fault: InjectedFault) -> bool {
        cfg!(feature = "injection") && self.injected.contains(&fault)
    }

    fn validate(&self, path: &Path) -> Result<(), Error> {
        let limits = &self.limits;
        let checks = [
            (!self.vm.is_empty(), "vm", "must not be empty"),
            (!self.dc.is_empty(), "dc", "must not be empty"),
            (self.logs > 0, "logs", "must be at least 1"),
            (self.platform.kv.starts_with("http://"), "platform.kv", "must start with http://"),
            (self.platform.vms.starts_with("http://"), "platform.vms", "must start with http://"),
            (limits.lease_ttl_ms >= 1_000, "limits.lease_ttl_ms", "must be at least 1000"),
            (
                limits.lease_ttl_ms.is_multiple_of(1_000),
                "limits.lease_ttl_ms",
                "must be whole seconds, since the platform's leases are",
            ),
            (limits.report_interval_ms > 0, "limits.report_interval_ms", "must not be 0"),
            (limits.vms_interval_ms > 0, "limits.vms_interval_ms", "must not be 0"),
            (limits.vms_interval_ms <= 1_000, "limits.vms_interval_ms", "must be at most 1000"),
            (limits.sweep_interval_ms > 0, "limits.sweep_interval_ms", "must not be 0"),
            (
                cfg!(feature = "injection") || self.injected.is_empty(),
                "injected",
                "is only for test builds; remove it",
            ),
            (limits.allowance > 0, "limits.allowance", "must not be 0"),
            (
                limits.settle_after_ms > limits.outage_limit_ms,
                "limits.settle_after_ms",
                "must exceed limits.outage_limit_ms",
            ),
        ];
        check_all(path, &checks)
    }
}

impl Keys {
    fn validate(&self, path: &Path) -> Result<(), Error> {
        let long = self.cluster.len() >= MIN_CLUSTER_KEY_BYTES;
        check_all(path, &[(long, "cluster", "must have at least 16 bytes")])
    }
}

fn check_all(path: &Path, checks: &[(bool, &'static str, &str)]) -> Result<(), Error> {
    let found = checks.iter().find(|(valid, _, _)| !valid);
    ensure_valid(path, found.map(|(_, key, reason)| (*key, *reason)))
}

/// Turns a key with a reason against its value into an error.
///
/// # Errors
///
/// Returns [`Error::Invalid`] when `found` names a key.
pub fn ensure_valid(path: &Path, found: Option<(&'static str, &str)>) -> Result<(), Error> {
    match found {
        None => Ok(()),
        Some((key, reason)) => {
            Err(Error::Invalid { path: path.display().to_string(), key, reason: reason.to_owned() })
        }
    }
}

/// Reads a file in JSON with comments.
///
/// # Errors
///
/// Returns an [`Error`] that names the file, the line and the key at fault.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::Unreadable {
        path: path.display().to_string(),
        reason: error.to_string(),
    })?;
    parse(path, &text)
}

fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let mut reader = serde_json::Deserializer::from_reader(stripped);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| Error::Malformed {
        path: path.display().to_string(),
        line: error.inner().line(),
        key: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}

/// Converts a setting in milliseconds.
pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
