//! Configuration changes and snapshots of the configuration in the key-value service.

use super::keys;
use super::segment;
use super::watch;
use platform::kv::{Client, Error, WriteOutcome};
use sched::config::{Change, Config};
use sched::id::Version;

/// Number of versions from one snapshot of the configuration to the next.
const SNAPSHOT_INTERVAL: Version = 64;

/// Writes a change unless another change has its version.
///
/// Returns whether this change is the one stored under its version.
///
/// # Errors
///
/// Returns an [`Error`] when it is unknown whether the change was written.
pub async fn write(kv: &Client, change: &Change) -> Result<bool, Error> {
    let value = serde_json::to_vec(change).map_err(|error| Error::Malformed(error.to_string()))?;
    let key = keys::change(change.version);
    match kv.create(&key, &value, None).await {
        Ok(WriteOutcome::Done(_)) => return Ok(true),
        Ok(WriteOutcome::Conflict) | Err(Error::Unknown(_)) => {}
        Err(error) => return Err(error),
    }
    match kv.get(&key).await? {
        Some(entry) => Ok(entry.value == value),
        None => Err(Error::Unknown("the change has not been written yet".to_owned())),
    }
}

/// Writes a snapshot of the configuration if its version is a multiple of the snapshot interval and
/// the stored snapshot is older.
///
/// # Errors
///
/// Returns an [`Error`] when the key-value service is unreachable or the stored snapshot is
/// damaged. If the service is unreachable, the old or the new snapshot is stored; both are valid.
pub async fn write_snapshot(kv: &Client, config: &Config) -> Result<(), Error> {
    if !config.version.is_multiple_of(SNAPSHOT_INTERVAL) {
        return Ok(());
    }
    let entry = kv.get(keys::CONFIG_SNAPSHOT).await?;
    let stored = watch::read_snapshot(kv).await?;
    if stored.is_some_and(|stored| stored.version >= config.version) {
        return Ok(());
    }
    let value = segment::pack(config).map_err(|error| Error::Malformed(error.to_string()))?;
    let revision = entry.map_or(0, |entry| entry.revision);
    kv.compare_and_swap(keys::CONFIG_SNAPSHOT, &value, revision, None).await.map(drop)
}

/// Reads the last `count` changes up to `version` and any later ones, oldest first.
///
/// Changes that cannot be decoded are left out.
///
/// # Errors
///
/// Returns an [`Error`] when the key-value service is unreachable.
pub async fn read_recent(kv: &Client, version: Version, count: u64) -> Result<Vec<Change>, Error> {
    let after = version.saturating_sub(count);
    let listing = kv.list(keys::CHANGES, &keys::change(after)).await?;
    let changes =
        listing.entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok());
    Ok(changes.collect())
}
