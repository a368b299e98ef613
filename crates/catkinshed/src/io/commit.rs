//! Commit of one segment.
//!
//! A segment is created only if its number is free. That is the fence: once a new owner has
//! written its takeover, every later commit of the former owner finds its number taken. A write
//! whose answer was lost is settled by reading the number back and comparing the nonce.
//!
//! Trimming frees numbers again, so a created segment counts only if the log's head does not cover
//! its number: the head rises before anything is trimmed, and covers a number only after the owner
//! of that time has seen the number durable.

use super::backoff;
use super::keys;
use super::segment::{self, Segment};
use super::snapshot::{self, StorageError};
use crate::control::event::{Event, EventSender};
use platform::kv::{Client, Error, WriteOutcome};
use sched::id::LogId;

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The segment is durable.
    Durable,
    /// Another owner wrote the number first.
    Fenced,
    /// The segment can never be written.
    Invalid,
}

/// Writes a segment, and tries again until its fate is known.
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
            Ok(Some(end)) => {
                events.send(Event::PlatformReachable(true));
                return end;
            }
            Ok(None) => {}
            Err(Error::TooLarge(_)) => return Outcome::Invalid,
            Err(error) => {
                metrics::counter!("commit_retries_total").increment(1);
                log::debug!("segment {number} of log {log} is not written yet: {error}");
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
    let end = match kv.create(&key, value, None).await {
        Ok(WriteOutcome::Done(_)) => Some(Outcome::Durable),
        Ok(WriteOutcome::Conflict) | Err(Error::Unknown(_)) => read_back(kv, &key, nonce).await?,
        Err(error) => return Err(error),
    };
    match end {
        Some(Outcome::Durable) if is_trimmed(kv, log, number).await? => Ok(Some(Outcome::Fenced)),
        end => Ok(end),
    }
}

/// Tells whether another owner's snapshot covers the number.
async fn is_trimmed(kv: &Client, log: LogId, number: u64) -> Result<bool, Error> {
    match snapshot::read_head(kv, log).await {
        Ok((head, _)) => Ok(head.number >= number),
        Err(StorageError::Platform(error)) => Err(error),
        Err(fault) => Err(Error::Malformed(fault.to_string())),
    }
}

async fn read_back(kv: &Client, key: &str, nonce: u64) -> Result<Option<Outcome>, Error> {
    let Some(entry) = kv.get(key).await? else {
        return Ok(None);
    };
    let own = segment::unpack::<Segment>(&entry.value).is_ok_and(|found| found.nonce == nonce);
    Ok(Some(if own { Outcome::Durable } else { Outcome::Fenced }))
}
