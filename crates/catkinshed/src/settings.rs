//! Settings of one daemon, in JSON with comments.
//!
//! Unknown keys are errors. The settings name a separate file that holds the secrets, so that the
//! settings themselves can be printed.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use sched::id::{DcId, LogId, TeamId, VmId};
use sched::queue::Policy;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Minimum length of the cluster key, in bytes.
const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// Error in a settings file or a keys file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {reason}; check that the file exists and is readable")]
    Unreadable {
        /// The file.
        path: String,
        /// Description of the I/O error.
        reason: String,
    },
    /// The file is not valid JSON, or a key or the type of a value is wrong.
    #[error("{path}, line {line}, key '{key}': {reason}")]
    Malformed {
        /// The file.
        path: String,
        /// The line, counted from 1.
        line: usize,
        /// The path of the key, such as `limits.allowance`.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// A value is out of range.
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
    /// HTTP address of the key-value service.
    pub kv: CompactString,
    /// HTTP address of the VM list.
    pub vms: CompactString,
}

/// Intervals and limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Time to live of this daemon's lease, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Mean interval between commits of this daemon under load, in milliseconds.
    pub commit_interval_ms: u64,
    /// Timeout for one call to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Time after which a finished call is answered with a receipt if its turn is still not
    /// durable, in milliseconds.
    pub receipt_after_ms: u64,
    /// Duration of an outage of the key-value service after which no new calls start, in
    /// milliseconds.
    pub outage_limit_ms: u64,
    /// Time after a takeover at which unsettled tokens from allowances of earlier owners are
    /// released, in milliseconds.
    pub settle_after_ms: u64,
    /// Time for which an ended program can still be read, in milliseconds.
    pub retain_ms: u64,
    /// Interval between load reports to peers, in milliseconds.
    pub report_interval_ms: u64,
    /// Interval between reads of the VM list, in milliseconds.
    pub vms_interval_ms: u64,
    /// Interval between sweeps that release engine memory of programs that no longer exist, in
    /// milliseconds.
    pub sweep_interval_ms: u64,
    /// Maximum time that a request waits for an owner of its log, in milliseconds.
    pub route_wait_ms: u64,
    /// Maximum time that a graceful stop waits for the hand-off of the logs, and then again for
    /// requests in flight, in milliseconds.
    pub stop_wait_ms: u64,
    /// Tokens reserved for a program ahead of its calls.
    pub allowance: u64,
    /// Number of tokens that a log draws from an account at a time.
    pub grant_chunk: u64,
    /// Number of segments of a log after which a snapshot is written.
    pub snapshot_segments: u64,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum total length of the entries of a log that are not durable yet, in bytes.
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

/// Secrets, read from the file in [`Settings::keys_file`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Key that authenticates the daemons of a cluster to each other and signs receipts.
    pub cluster: String,
    /// Teams by the bearer tokens of their callers.
    pub teams: IndexMap<CompactString, TeamId>,
    /// Names of operators by their bearer tokens.
    pub operators: IndexMap<CompactString, CompactString>,
}

/// Fault that a test injects to show that a check detects it.
///
/// Rejected unless the build has the `injection` feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InjectedFault {
    /// Calls that must run at most once are sent before their intent is durable.
    IntentAfterOrder,
    /// An owner continues after another daemon has taken over its log.
    NoFence,
    /// Calls are not limited by the budget.
    BudgetUnchecked,
    /// Engine memory is never released.
    KeepPins,
    /// An unknown outcome is reported as not run.
    UnknownAsNotRun,
    /// A repeated call id is answered with the outcome of another program.
    ForeignAnswer,
    /// A graceful stop does not wait for anything.
    StopAtOnce,
}

/// Settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Name of its data centre.
    pub dc: DcId,
    /// IP address and port on which callers and operators are served.
    pub http_addr: SocketAddr,
    /// IP address and port on which peers are served.
    pub peer_addr: SocketAddr,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Number of logs; has to be the same for all daemons and must never change.
    #[serde(default = "default_logs")]
    pub logs: LogId,
    /// File that holds the secrets; a relative path is resolved against the directory of the
    /// settings file.
    pub keys_file: PathBuf,
    /// Policy by which waiting calls are ordered and placed.
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
    /// Reads and validates a settings file and the keys file that it names.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file and the invalid key.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let mut settings: Self = read(path)?;
        let directory = path.parent().unwrap_or(Path::new(""));
        let keys_path = directory.join(&settings.keys_file);
        settings.keys = read(&keys_path)?;
        settings.validate(path)?;
        settings.keys.validate(&keys_path)?;
        Ok(settings)
    }

    /// Returns whether a test injects this fault; always false without the `injection` feature.
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
                "must be whole seconds, because platform leases have a resolution of one second",
            ),
            (limits.report_interval_ms > 0, "limits.report_interval_ms", "must not be 0"),
            (limits.vms_interval_ms > 0, "limits.vms_interval_ms", "must not be 0"),
            (limits.vms_interval_ms <= 1_000, "limits.vms_interval_ms", "must be at most 1000"),
            (limits.sweep_interval_ms > 0, "limits.sweep_interval_ms", "must not be 0"),
            (
                cfg!(feature = "injection") || self.injected.is_empty(),
                "injected",
                "is only allowed in test builds; remove it",
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
        let long_enough = self.cluster.len() >= MIN_CLUSTER_KEY_BYTES;
        check_all(path, &[(long_enough, "cluster", "must have at least 16 bytes")])
    }
}

/// Rejects the first key whose check is false.
fn check_all(path: &Path, checks: &[(bool, &'static str, &str)]) -> Result<(), Error> {
    let invalid = checks.iter().find(|(valid, _, _)| !valid);
    ensure_valid(path, invalid.map(|(_, key, reason)| (*key, *reason)))
}

/// Turns the result of a validation into an error.
///
/// # Errors
///
/// Returns [`Error::Invalid`] if `invalid` holds an invalid key and the reason.
pub fn ensure_valid(path: &Path, invalid: Option<(&'static str, &str)>) -> Result<(), Error> {
    match invalid {
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
/// Returns an [`Error`] that names the file and, for invalid contents, the line and the key.
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

/// Converts a setting in milliseconds to a duration.
pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
