//! Snapshots of logs, and trimming of the segments that they cover.
//!
//! A snapshot is written in parts, read back and compared, and only then named by the log's head.
//! The head only rises. Segments are trimmed after the head covers them.

use super::keys;
use super::segment;
use platform::kv::{Client, Error, WriteOutcome};
use sched::id::LogId;
use sched::log::State;
use serde::{Deserialize, Serialize};

/// Longest part, in bytes.
const PART_BYTES: usize = 900 << 10;

/// What a log's head names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Last segment that the snapshot covers; 0 for none.
    pub number: u64,
    /// Parts of the snapshot.
    pub parts: usize,
}

/// A snapshot that was not written or cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The key-value service failed.
    #[error(transparent)]
    Platform(#[from] Error),
    /// A stored value is damaged.
    #[error(transparent)]
    Damaged(#[from] segment::Error),
    /// The parts do not read back as written.
    #[error("the snapshot does not read back as written")]
    Mismatch,
}

/// Writes a snapshot that covers the segments up to `number`, and trims them.
///
/// # Errors
///
/// Returns a [`StorageError`] and leaves the log as it was when the snapshot cannot be verified.
pub async fn write(
    kv: &Client,
    log: LogId,
    number: u64,
    packed: &[u8],
) -> Result<(), StorageError> {
    let before = read_head(kv, log).await?;
    if before.0.number >= number {
        return Ok(());
    }
    let parts = packed.chunks(PART_BYTES);
    let head = Head { number, parts: parts.len() };
    for (index, part) in parts.enumerate() {
        kv.create(&keys::snapshot_part(log, number, index), part, None).await?;
    }
    if read_parts(kv, log, head).await? != packed {
        return Err(StorageError::Mismatch);
    }
    let value = segment::pack(&head)?;
    if kv.compare_and_swap(&keys::head(log), &value, before.1, None).await?
        == WriteOutcome::Conflict
    {
        return Ok(());
    }
    trim(kv, log, number, before.0.number).await?;
    Ok(())
}

/// Reads the state that a log's head names, and the last segment that it covers.
///
/// # Errors
///
/// Returns a [`StorageError`] when the service is out of reach or the snapshot is damaged.
pub async fn read(kv: &Client, log: LogId) -> Result<(State, u64), StorageError> {
    let (head, _) = read_head(kv, log).await?;
    if head.number == 0 {
        return Ok((State::new(log), 0));
    }
    let packed = read_parts(kv, log, head).await?;
    Ok((segment::unpack(&packed)?, head.number))
}

/// Reads a log's head and its revision.
///
/// # Errors
///
/// Returns a [`StorageError`] when the service is out of reach or the head is damaged.
pub async fn read_head(kv: &Client, log: LogId) -> Result<(Head, u64), StorageError> {
    match kv.get(&keys::head(log)).await? {
        Some(entry) => Ok((segment::unpack(&entry.value)?, entry.revision)),
        None => Ok((Head::default(), 0)),
    }
}

async fn read_parts(kv: &Client, log: LogId, head: Head) -> Result<Vec<u8>, StorageError> {
    let mut packed = Vec::new();
    for index in 0..head.parts {
        let part = kv.get(&keys::snapshot_part(log, head.number, index)).await?;
        packed.extend(part.ok_or(StorageError::Mismatch)?.value);
    }
    Ok(packed)
}

async fn trim(kv: &Client, log: LogId, number: u64, former: u64) -> Result<(), Error> {
    kv.delete_range(&keys::segments(log), &keys::segment(log, number + 1)).await?;
    if former > 0 {
        let from = keys::snapshot(log, former);
        kv.delete_range(&from, &format!("{from}~")).await?;
    }
    Ok(())
}
