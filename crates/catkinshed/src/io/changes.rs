//! Writing of configuration changes.

use super::keys;
use super::segment;
use super::watch;
use platform::kv::{Client, Error, WriteOutcome};
use sched::config::{Change, Config};
use sched::id::Version;

/// Changes after which a snapshot of the configuration is written.
const SNAPSHOT_EVERY: Version = 64;

/// Writes a change if its version is free.
///
/// Returns whether this change, and no other, holds its version.
///
/// # Errors
///
/// Returns an [`Error`] when the fate of the change is not known.
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
        None => Err(Error::Unknown("the change is not written yet".to_owned())),
    }
}

/// Writes a snapshot of the configuration when one is due.
///
/// # Errors
///
/// Returns an [`Error`] when the service is out of reach; the former snapshot then stays.
pub async fn snapshot(kv: &Client, config: &Config) -> Result<(), Error> {
    if !config.version.is_multiple_of(SNAPSHOT_EVERY) {
        return Ok(());
    }
    let entry = kv.get(keys::CONFIG_SNAPSHOT).await?;
    let former = watch::read_snapshot(kv).await?;
    if former.is_some_and(|former| former.version >= config.version) {
        return Ok(());
    }
    let value = segment::pack(config).map_err(|error| Error::Malformed(error.to_string()))?;
    let revision = entry.map_or(0, |entry| entry.revision);
    kv.compare_and_swap(keys::CONFIG_SNAPSHOT, &value, revision, None).await.map(drop)
}

/// Reads the last `count` changes up to `version`, oldest first.
///
/// # Errors
///
/// Returns an [`Error`] when the service is out of reach.
pub async fn read(kv: &Client, version: Version, count: u64) -> Result<Vec<Change>, Error> {
    let before = version.saturating_sub(count);
    let listing = kv.list(keys::CHANGES, &keys::change(before)).await?;
    let changes =
        listing.entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok());
    Ok(changes.collect())
}
