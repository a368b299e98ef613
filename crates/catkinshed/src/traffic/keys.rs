//! Keys that the daemons use in the key-value service.

use compact_str::{CompactString, format_compact};
use sched::id::{LogId, Version};

/// Prefix of the member and owner keys, which are bound to the daemons' leases.
pub const LIVE: &str = "catkinshed/live/";
/// Prefix of the keys of configuration changes.
pub const CHANGES: &str = "catkinshed/config/change/";
/// Key of the configuration snapshot.
pub const CONFIG_SNAPSHOT: &str = "catkinshed/config/snapshot";

/// Returns the member key of the daemon on a VM.
pub fn member(vm: &str) -> CompactString {
    format_compact!("{LIVE}member/{vm}")
}

/// Returns the owner key of a log.
pub fn owner(log: LogId) -> CompactString {
    format_compact!("{LIVE}owner/{log}")
}

/// Returns the log of an owner key, or `None` for any other key.
pub fn owner_log(key: &str) -> Option<LogId> {
    key.strip_prefix(LIVE)?.strip_prefix("owner/")?.parse().ok()
}

/// Returns the VM of a member key, or `None` for any other key.
pub fn member_vm(key: &str) -> Option<&str> {
    key.strip_prefix(LIVE)?.strip_prefix("member/")
}

/// Returns the key of the configuration change that creates `version`.
pub fn change(version: Version) -> CompactString {
    format_compact!("{CHANGES}{version:012}")
}

/// Returns the prefix of the keys of a log's segments.
pub fn segment_prefix(log: LogId) -> CompactString {
    format_compact!("catkinshed/log/{log}/segment/")
}

/// Returns the key of a log's segment.
pub fn segment(log: LogId, number: u64) -> CompactString {
    format_compact!("{}{number:012}", segment_prefix(log))
}

/// Returns the key of a log's head, which refers to the log's latest snapshot.
pub fn head(log: LogId) -> CompactString {
    format_compact!("catkinshed/log/{log}/head")
}

/// Returns the prefix of the keys of a snapshot's parts; `number` is the last segment that the
/// snapshot covers.
pub fn snapshot_prefix(log: LogId, number: u64) -> CompactString {
    format_compact!("catkinshed/log/{log}/snapshot/{number:012}/")
}

/// Returns the key of one part of a log's snapshot.
pub fn snapshot_part(log: LogId, number: u64, part: usize) -> CompactString {
    format_compact!("{}{part:06}", snapshot_prefix(log, number))
}

/// Returns the key of an account's ledger of grants.
pub fn ledger(account: &str) -> CompactString {
    format_compact!("catkinshed/grant/{account}")
}
