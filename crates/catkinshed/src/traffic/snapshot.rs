//! Snapshots of logs, and trimming of the segments that they cover.
//!
//! A snapshot is written in parts, read back and compared; only then is the log's head set to refer
//! to it. The segment number in the head never decreases. Segments are trimmed after the head
//! covers them.

use super::keys;
use super::segment;
use platform::kv::{Client, Error, WriteOutcome};
use sched::id::LogId;
use sched::log::State;
use serde::{Deserialize, Serialize};

/// Maximum length of a part of a snapshot, in bytes; the key-value service allows 1 MiB per value.
const PART_BYTES: usize = 900 << 10;

/// Head of a log, which refers to its latest snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the last segment that the snapshot covers; 0 if there is no snapshot.
    pub number: u64,
    /// Number of parts of the snapshot.
    pub parts: usize,
}

/// Why a snapshot or a log's head was not written or cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The key-value service failed.
    #[error(transparent)]
    Platform(#[from] Error),
    /// A value cannot be encoded or decoded.
    #[error(transparent)]
    Damaged(#[from] segment::Error),
    /// The parts read back differ from those written, or some are missing.
    #[error("the stored parts of the snapshot are missing or differ from those written")]
    Mismatch,
}

/// Writes a snapshot that covers the segments up to `number`, and trims these segments.
///
/// Does nothing when the head already covers `number`, and does not trim when the head was changed
/// in the meantime.
///
/// # Errors
///
/// Returns a [`StorageError`] when the key-value service is unreachable or the snapshot cannot be
/// verified. The head and the segments are unchanged until the snapshot is verified.
pub async fn write(
    kv: &Client,
    log: LogId,
    number: u64,
    packed: &[u8],
) -> Result<(), StorageError> {
    let current = read_head(kv, log).await?;
    if current.0.number >= number {
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
    if kv.compare_and_swap(&keys::head(log), &value, current.1, None).await?
        == WriteOutcome::Conflict
    {
        return Ok(());
    }
    trim(kv, log, number, current.0.number).await?;
    Ok(())
}

/// Reads a log's latest snapshot and the number of the last segment that it covers.
///
/// Without a snapshot, returns the empty state and 0.
///
/// # Errors
///
/// Returns a [`StorageError`] when the key-value service is unreachable or the snapshot is damaged.
pub async fn read(kv: &Client, log: LogId) -> Result<(State, u64), StorageError> {
    let (head, _) = read_head(kv, log).await?;
    if head.number == 0 {
        return Ok((State::new(log), 0));
    }
    let packed = read_parts(kv, log, head).await?;
    Ok((segment::unpack(&packed)?, head.number))
}

/// Reads a log's head and the revision of its key; returns defaults for a log without a head.
///
/// # Errors
///
/// Returns a [`StorageError`] when the key-value service is unreachable or the head is damaged.
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

/// Deletes the segments up to `number` and the parts of the snapshot that covers `previous`.
async fn trim(kv: &Client, log: LogId, number: u64, previous: u64) -> Result<(), Error> {
    kv.delete_range(&keys::segment_prefix(log), &keys::segment(log, number + 1)).await?;
    if previous > 0 {
        let from = keys::snapshot_prefix(log, previous);
        kv.delete_range(&from, &format!("{from}~")).await?;
    }
    Ok(())
}
