//! Keys of the key-value service.

use compact_str::{CompactString, format_compact};
use sched::id::{LogId, Version};

/// Prefix of the keys that are bound to daemons' leases.
pub const LIVE: &str = "catkinshed/live/";
/// Prefix of the configuration changes.
pub const CHANGES: &str = "catkinshed/config/change/";
/// Key of the configuration snapshot.
pub const CONFIG_SNAPSHOT: &str = "catkinshed/config/snapshot";

/// Key of a member.
pub fn member(vm: &str) -> CompactString {
    format_compact!("{LIVE}member/{vm}")
}

/// Key of a log's owner.
pub fn owner(log: LogId) -> CompactString {
    format_compact!("{LIVE}owner/{log}")
}

/// Returns the log that an owner key names.
pub fn owner_log(key: &str) -> Option<LogId> {
    key.strip_prefix(LIVE)?.strip_prefix("owner/")?.parse().ok()
}

/// Returns the VM that a member key names.
pub fn member_vm(key: &str) -> Option<&str> {
    key.strip_prefix(LIVE)?.strip_prefix("member/")
}

/// Key of a configuration change.
pub fn change(version: Version) -> CompactString {
    format_compact!("{CHANGES}{version:012}")
}

/// Prefix of a log's segments.
pub fn segments(log: LogId) -> CompactString {
    format_compact!("catkinshed/log/{log}/segment/")
}

/// Key of a log's segment.
pub fn segment(log: LogId, number: u64) -> CompactString {
    format_compact!("{}{number:012}", segments(log))
}

/// Key that names a log's last snapshot.
pub fn head(log: LogId) -> CompactString {
    format_compact!("catkinshed/log/{log}/head")
}

/// Prefix of the parts of a log's snapshot.
pub fn snapshot(log: LogId, number: u64) -> CompactString {
    format_compact!("catkinshed/log/{log}/snapshot/{number:012}/")
}

/// Key of one part of a log's snapshot.
pub fn snapshot_part(log: LogId, number: u64, part: usize) -> CompactString {
    format_compact!("{}{part:06}", snapshot(log, number))
}

/// Key of an account's ledger.
pub fn ledger(account: &str) -> CompactString {
    format_compact!("catkinshed/grant/{account}")
}
