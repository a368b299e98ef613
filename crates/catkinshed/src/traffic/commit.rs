//! Commit of one log segment.
//!
//! A segment's key is created only if it does not exist, which fences former owners: once a new
//! owner has written its takeover segment, the number of the former owner's next commit is taken.
//! When the answer to a write is lost, the segment is read back and its nonce shows who wrote it.
//!
//! Trimming deletes segments and so makes their numbers available again. A created segment is
//! therefore durable only if the log's head does not cover its number. This check is sound because
//! the head advances before segments are trimmed, and covers a number only after the owner at that
//! time has seen that segment become durable.

use super::backoff;
use super::keys;
use super::segment::{self, Segment};
use super::snapshot::{self, StorageError};
use crate::control::event::{Event, EventSender};
use platform::kv::{Client, Error, WriteOutcome};
use sched::id::LogId;

/// Result of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The segment is durable.
    Durable,
    /// Another owner has written a segment under this number, or a snapshot covers the number.
    Fenced,
    /// The segment cannot be encoded or is too large, so it can never be written.
    Invalid,
}

/// Writes a segment, retrying until the result is known.
///
/// Reports whether the key-value service answers as [`Event::PlatformReachable`].
pub async fn commit(
    kv: &Client,
    events: &EventSender,
    log: LogId,
    number: u64,
    segment: &Segment,
) -> Outcome {
    let Ok(value) = segment::pack(segment) else {
        return Outcome::Invalid;
    };
    let mut backoff = backoff::platform();
    loop {
        match attempt(kv, log, number, &value, segment.nonce).await {
            Ok(Some(outcome)) => {
                events.send(Event::PlatformReachable(true));
                return outcome;
            }
            Ok(None) => {}
            Err(Error::TooLarge(_)) => return Outcome::Invalid,
            Err(error) => {
                metrics::counter!("commit_retries_total").increment(1);
                log::debug!("failed to write segment {number} of log {log}, retrying: {error}");
                events.send(Event::PlatformReachable(false));
            }
        }
        backoff.wait().await;
    }
}

async fn attempt(
    kv: &Client,
    log: LogId,
    number: u64,
    value: &[u8],
    nonce: u64,
) -> Result<Option<Outcome>, Error> {
    let key = keys::segment(log, number);
    let outcome = match kv.create(&key, value, None).await {
        Ok(WriteOutcome::Done(_)) => Some(Outcome::Durable),
        Ok(WriteOutcome::Conflict) | Err(Error::Unknown(_)) => read_back(kv, &key, nonce).await?,
        Err(error) => return Err(error),
    };
    match outcome {
        Some(Outcome::Durable) if is_trimmed(kv, log, number).await? => Ok(Some(Outcome::Fenced)),
        outcome => Ok(outcome),
    }
}

/// Returns whether a snapshot covers the segment's number, so that the segment may be trimmed.
async fn is_trimmed(kv: &Client, log: LogId, number: u64) -> Result<bool, Error> {
    match snapshot::read_head(kv, log).await {
        Ok((head, _)) => Ok(head.number >= number),
        Err(StorageError::Platform(error)) => Err(error),
        Err(damaged) => Err(Error::Malformed(damaged.to_string())),
    }
}

/// Reads a segment back and compares its nonce; returns `None` when the key does not exist.
async fn read_back(kv: &Client, key: &str, nonce: u64) -> Result<Option<Outcome>, Error> {
    let Some(entry) = kv.get(key).await? else {
        return Ok(None);
    };
    let own = segment::unpack::<Segment>(&entry.value).is_ok_and(|found| found.nonce == nonce);
    Ok(Some(if own { Outcome::Durable } else { Outcome::Fenced }))
}
