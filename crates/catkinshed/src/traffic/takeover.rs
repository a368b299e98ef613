//! Takeover of a log by this daemon.
//!
//! The new owner creates the log's owner key under its lease, loads the snapshot, replays the
//! segments after it, and writes a takeover segment under the next number. If that number has been
//! taken or trimmed in the meantime, the log is loaded again and the write is repeated with the new
//! next number. Once the takeover segment is durable, the former owner is fenced.

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

/// Maximum number of attempts to load a log; an attempt fails if segments are trimmed while it runs
/// or the key-value service does not answer.
const MAX_LOAD_ATTEMPTS: usize = 20;

/// Ownership of a log after a takeover by this daemon.
#[derive(Debug)]
pub struct Ownership {
    /// State of the log after the takeover.
    pub state: State,
    /// Number of the next segment.
    pub next_segment: u64,
    /// Revision of the owner key.
    pub owner_revision: Revision,
    /// Lease to which the owner key is bound.
    pub lease: LeaseId,
}

/// Why a log was not taken over or its owner key was not created.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The owner key exists and belongs to another daemon or lease.
    #[error("another daemon owns the log")]
    Held,
    /// The log cannot be read from or written to the key-value service.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A log entry cannot be applied to the state.
    #[error("the log is damaged: {0}")]
    Replay(#[from] sched::log::Error),
    /// A segment is missing or cannot be written; carries its number.
    #[error("segment {0} of the log is missing or cannot be written")]
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

/// Takes over a log whose owner key does not exist.
///
/// # Errors
///
/// Returns a [`Failure`]; an owner key that was created is then deleted, or expires with the lease.
pub async fn take_over(
    kv: &Client,
    events: &EventSender,
    log: LogId,
    member: &Member,
    lease: LeaseId,
) -> Result<Ownership, Failure> {
    let owner_revision = claim(kv, log, member, lease).await?;
    match append_takeover(kv, events, log, member).await {
        Ok((state, next_segment)) => Ok(Ownership { state, next_segment, owner_revision, lease }),
        Err(failure) => {
            // If the deletion fails, the key expires with the lease.
            let _ = kv.delete(&keys::owner(log), owner_revision).await;
            Err(failure)
        }
    }
}

/// Creates a log's owner key under this daemon's lease and returns the revision of the key.
///
/// # Errors
///
/// Returns [`Failure::Held`] when the key belongs to another daemon or lease, and
/// [`Failure::Storage`] when the key-value service is unreachable.
pub async fn claim(
    kv: &Client,
    log: LogId,
    member: &Member,
    lease: LeaseId,
) -> Result<Revision, Failure> {
    let value = serde_json::to_vec(member).map_err(|_| Failure::Held)?;
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

/// Loads the log and appends a takeover segment; returns the state and the next segment's number.
async fn append_takeover(
    kv: &Client,
    events: &EventSender,
    log: LogId,
    member: &Member,
) -> Result<(State, u64), Failure> {
    let (mut state, mut next) = load(kv, log).await?;
    loop {
        let record = Record::Takeover { epoch: state.epoch + 1, vm: member.vm.clone() };
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

/// Loads the log; returns its state and the next segment's number.
async fn load(kv: &Client, log: LogId) -> Result<(State, u64), Failure> {
    let mut backoff = backoff::platform();
    let mut result = Err(Failure::Gap(0));
    for _ in 0..MAX_LOAD_ATTEMPTS {
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

/// Makes one attempt to load the log; returns the same as [`load`].
async fn load_once(kv: &Client, log: LogId) -> Result<(State, u64), Failure> {
    let (mut state, covered) = snapshot::read(kv, log).await?;
    let mut next = covered + 1;
    let listing = kv.list(&keys::segment_prefix(log), &keys::segment(log, covered)).await?;
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
