//! Commit of one segment.
//!
//! A segment is created only if its number is free. That is the fence: once a new owner has
//! written its takeover, every later commit of the former owner finds its number taken. A write
//! whose answer was lost is settled by reading the number back and comparing the nonce.

use super::backoff;
use super::keys;
use super::segment::{self, Segment};
use crate::control::event::{Event, Events};
use platform::kv::{Client, Error, Swap};
use sched::id::LogId;

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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
    events: &Events,
    log: LogId,
    number: u64,
    segment: &Segment,
) -> End {
    let Ok(value) = segment::pack(segment) else {
        return End::Invalid;
    };
    let key = keys::segment(log, number);
    let mut backoff = backoff::platform();
    loop {
        match attempt(kv, &key, &value, segment.nonce).await {
            Ok(Some(end)) => {
                events.send(Event::Platform(true));
                return end;
            }
            Ok(None) => {}
            Err(Error::TooLarge(_)) => return End::Invalid,
            Err(error) => {
                metrics::counter!("commit_retries_total").increment(1);
                log::debug!("segment {number} of log {log} is not written yet: {error}");
                events.send(Event::Platform(false));
            }
        }
        backoff.wait().await;
    }
}

async fn attempt(kv: &Client, key: &str, value: &[u8], nonce: u64) -> Result<Option<End>, Error> {
    match kv.create(key, value, None).await {
        Ok(Swap::Done(_)) => Ok(Some(End::Durable)),
        Ok(Swap::Conflict) | Err(Error::Unknown(_)) => read_back(kv, key, nonce).await,
        Err(error) => Err(error),
    }
}

async fn read_back(kv: &Client, key: &str, nonce: u64) -> Result<Option<End>, Error> {
    let Some(entry) = kv.get(key).await? else {
        return Ok(None);
    };
    let own = segment::unpack::<Segment>(&entry.value).is_ok_and(|found| found.nonce == nonce);
    Ok(Some(if own { End::Durable } else { End::Fenced }))
}
