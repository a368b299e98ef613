//! Takeover of a log.
//!
//! The adopter claims the log's owner key under its lease, replays the snapshot and the segments
//! after it, and writes a takeover segment at the next number. When that number is taken, or was
//! trimmed meanwhile, the log is loaded again and the next number is tried. Once the takeover is
//! durable, the former owner is fenced.

use super::backoff;
use super::commit::{self, Outcome};
use super::keys;
use super::segment::{self, Segment};
use super::snapshot::{self, StorageError};
use crate::control::event::EventSender;
use crate::routes::Member;
use platform::kv::{Client, Error, LeaseId, Revision, WriteOutcome};
use sched::id::LogId;
use sched::log::State;
use sched::record::Record;

/// Tries of a load that finds segments trimmed under it.
const LOAD_TRIES: usize = 20;

/// A log that this daemon now owns.
#[derive(Debug)]
pub struct Ownership {
    /// State after the takeover.
    pub state: State,
    /// Number of the next segment.
    pub next_segment: u64,
    /// Revision of the owner key.
    pub owner_revision: Revision,
    /// Lease that the owner key is bound to.
    pub lease: LeaseId,
}

/// Why a log was not taken over.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Another daemon holds the owner key.
    #[error("another daemon owns the log")]
    Held,
    /// The log cannot be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// An entry does not fit the state.
    #[error("the log is damaged: {0}")]
    Replay(#[from] sched::log::Error),
    /// Segments are missing.
    #[error("the log misses segments after {0}")]
    Gap(u64),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Storage(error.into())
    }
}

impl From<segment::Error> for Failure {
    fn from(error: segment::Error) -> Self {
        Self::Storage(error.into())
    }
}

/// Takes over a log whose owner key is free.
///
/// # Errors
///
/// Returns a [`Failure`]; the owner key is then released or lapses with the lease.
pub async fn take_over(
    kv: &Client,
    events: &EventSender,
    log: LogId,
    me: &Member,
    lease: LeaseId,
) -> Result<Ownership, Failure> {
    let claim = claim(kv, log, me, lease).await?;
    match append_takeover(kv, events, log, me).await {
        Ok((state, next_segment)) => {
            Ok(Ownership { state, next_segment, owner_revision: claim, lease })
        }
        Err(failure) => {
            // The key lapses with the lease when this deletion is lost.
            let _ = kv.delete(&keys::owner(log), claim).await;
            Err(failure)
        }
    }
}

/// Creates a log's owner key under this daemon's lease, unless another daemon holds it.
///
/// # Errors
///
/// Returns [`Failure::Held`] when another daemon holds the key.
pub async fn claim(
    kv: &Client,
    log: LogId,
    me: &Member,
    lease: LeaseId,
) -> Result<Revision, Failure> {
    let value = serde_json::to_vec(me).map_err(|_| Failure::Held)?;
    let key = keys::owner(log);
    match kv.create(&key, &value, Some(lease)).await {
        Ok(WriteOutcome::Done(revision)) => return Ok(revision),
        Ok(WriteOutcome::Conflict) | Err(Error::Unknown(_)) => {}
        Err(error) => return Err(error.into()),
    }
    match kv.get(&key).await? {
        Some(entry) if entry.value == value && entry.lease == lease => Ok(entry.revision),
        _ => Err(Failure::Held),
    }
}

async fn append_takeover(
    kv: &Client,
    events: &EventSender,
    log: LogId,
    me: &Member,
) -> Result<(State, u64), Failure> {
    let (mut state, mut next) = load(kv, log).await?;
    loop {
        let record = Record::Takeover { epoch: state.epoch + 1, vm: me.vm.clone() };
        let nonce = fastrand::u64(..);
        let takeover = Segment { epoch: state.epoch + 1, nonce, records: vec![record.clone()] };
        match commit::commit(kv, events, log, next, &takeover).await {
            Outcome::Durable => {
                state.apply(&record)?;
                return Ok((state, next + 1));
            }
            Outcome::Fenced => (state, next) = load(kv, log).await?,
            Outcome::Invalid => return Err(Failure::Gap(next)),
        }
    }
}

async fn load(kv: &Client, log: LogId) -> Result<(State, u64), Failure> {
    let mut backoff = backoff::platform();
    let mut result = Err(Failure::Gap(0));
    for _ in 0..LOAD_TRIES {
        result = load_once(kv, log).await;
        match &result {
            Err(
                Failure::Gap(_)
                | Failure::Storage(StorageError::Mismatch | StorageError::Platform(_)),
            ) => {
                backoff.wait().await;
            }
            _ => return result,
        }
    }
    result
}

async fn load_once(kv: &Client, log: LogId) -> Result<(State, u64), Failure> {
    let (mut state, covered) = snapshot::read(kv, log).await?;
    let mut next = covered + 1;
    let listing = kv.list(&keys::segments(log), &keys::segment(log, covered)).await?;
    for entry in listing.entries {
        if entry.key != keys::segment(log, next) {
            return Err(Failure::Gap(next));
        }
        replay(&mut state, &entry.value)?;
        next += 1;
    }
    Ok((state, next))
}

fn replay(state: &mut State, value: &[u8]) -> Result<(), Failure> {
    let segment: Segment = segment::unpack(value)?;
    for record in &segment.records {
        state.apply(record)?;
    }
    Ok(())
}
