//! Durable records of programs' budgets in the key-value service.
//!
//! An owner writes a record as the follower of what it knows of it, without reading it first; where
//! another owner wrote meanwhile, the write conflicts and the record is read. A draw therefore costs
//! one call in the usual case.

use crate::members;
use indexmap::IndexMap;
use platform::kv::{self, Client, Entry, Error, Revision, Swap};
use sched::id::ProgramId;
use sched::spend::Record;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Bound of one call, which a turn may wait for.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the service is not called after it did not answer.
const REST: Duration = Duration::from_millis(800);
/// Difference of clocks that a record outlives its time for, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 60_000;
/// Tries of one update against those of other owners.
const MAX_TRIES: u32 = 4;
/// Records whose revisions are kept; the oldest are dropped first.
const MAX_KNOWN: usize = 10_000;

#[derive(Clone, Debug, Default)]
struct Known {
    revision: Revision,
    record: Option<Record>,
}

/// Records that this daemon has written or read.
pub struct Records {
    kv: Client,
    /// Until when the service is not called, after it did not answer.
    rests_until: Mutex<Option<Instant>>,
    known: Mutex<IndexMap<ProgramId, Known>>,
}

impl Records {
    /// Prepares updates through `kv`.
    pub fn new(kv: Client) -> Self {
        Self { kv, rests_until: Mutex::default(), known: Mutex::default() }
    }

    fn known(&self) -> MutexGuard<'_, IndexMap<ProgramId, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keep(&self, program: &str, known: Known) {
        let mut all = self.known();
        if all.len() >= MAX_KNOWN && !all.contains_key(program) {
            all.swap_remove_index(0);
        }
        all.insert(program.into(), known);
    }

    /// Bounds a call, and calls nothing for a moment after one that was not answered.
    async fn bounded<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let rest = || self.rests_until.lock().unwrap_or_else(PoisonError::into_inner);
        if rest().is_some_and(|until| Instant::now() < until) {
            return Err(Error::Refused("the key-value service did not answer just now".to_owned()));
        }
        let result = timeout(CALL_TIMEOUT, call).await;
        let result = result.unwrap_or_else(|_| Err(Error::Unknown("no answer in time".to_owned())));
        if result.is_err() {
            *rest() = Some(Instant::now() + REST);
        }
        result
    }

    /// Replaces a record by what `change` makes of it.
    ///
    /// Returns whether `change` wanted a replacement.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach; the update may have taken effect.
    pub async fn update(
        &self,
        program: &str,
        change: impl Fn(Option<Record>) -> Option<Record>,
    ) -> Result<bool, Error> {
        let key = members::record_key(program);
        let mut known = self.known().get(program).cloned().unwrap_or_default();
        let mut read = false;
        for _ in 0..MAX_TRIES {
            let Some(record) = change(known.record.clone()) else {
                if read {
                    return Ok(false);
                }
                known = self.fetch(program).await?;
                read = true;
                continue;
            };
            if known.record.as_ref() == Some(&record) {
                return Ok(true);
            }
            let value = encode(&record)?;
            let swap = self.bounded(self.kv.swap(&key, &value, known.revision, None)).await?;
            if let Swap::Done(revision) = swap {
                self.keep(program, Known { revision, record: Some(record) });
                return Ok(true);
            }
            known = self.fetch(program).await?;
            read = true;
        }
        Err(Error::Refused("other owners change the record too".to_owned()))
    }

    /// Writes the key of a founder.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when it is not known to be written.
    pub async fn found(&self, vm: &str) -> Result<(), Error> {
        match self.bounded(self.kv.create(&members::founder_key(vm), members::OPEN, None)).await? {
            Swap::Done(_) => Ok(()),
            Swap::Conflict => Err(Error::Refused("an earlier process is the founder".to_owned())),
        }
    }

    /// Writes that a founder's books are closed.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when that is not known to be written.
    pub async fn close(&self, vm: &str) -> Result<(), Error> {
        let key = members::founder_key(vm);
        let found = self.bounded(self.kv.get(&key)).await?;
        let revision = found.map_or(0, |found| found.revision);
        match self.bounded(self.kv.swap(&key, members::CLOSED, revision, None)).await? {
            Swap::Done(_) => Ok(()),
            Swap::Conflict => Err(Error::Refused("the founder's key changed".to_owned())),
        }
    }

    /// Writes the records of programs that have none.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when that is not known to be written.
    pub async fn create(&self, records: &[(ProgramId, Record)]) -> Result<(), Error> {
        let chunks = records.chunks(kv::MAX_SWAPS).map(|chunk| self.create_all(chunk));
        futures::future::try_join_all(chunks).await.map(drop)
    }

    /// Writes records at once, or one by one where some exist already.
    async fn create_all(&self, records: &[(ProgramId, Record)]) -> Result<(), Error> {
        let mut writes = Vec::new();
        for (program, record) in records {
            writes.push((members::record_key(program), encode(record)?, 0));
        }
        if let Swap::Done(_) = self.bounded(self.kv.swap_all(&writes)).await? {
            return Ok(());
        }
        for (program, record) in records {
            self.update(program, |found| found.or(Some(record.clone()))).await?;
        }
        Ok(())
    }

    async fn fetch(&self, program: &str) -> Result<Known, Error> {
        let known = match self.bounded(self.kv.get(&members::record_key(program))).await? {
            Some(entry) => Known {
                revision: entry.revision,
                record: serde_json::from_slice(&entry.value).ok(),
            },
            None => Known::default(),
        };
        self.keep(program, known.clone());
        Ok(known)
    }

    /// Deletes records whose time is over at `now_ms`, in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach; the next call goes on.
    pub async fn trim(&self, now_ms: u64) -> Result<usize, Error> {
        let listing = self.kv.list(members::RECORDS, "").await?;
        let over = |value: &[u8]| match serde_json::from_slice::<Record>(value) {
            Ok(record) => record.keep_until_ms + CLOCK_MARGIN_MS < now_ms,
            Err(_) => false,
        };
        let over: Vec<Entry> =
            listing.entries.into_iter().filter(|entry| over(&entry.value)).collect();
        self.kv.delete_unchanged(&over).await?;
        Ok(over.len())
    }
}

fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(record).map_err(|error| Error::Malformed(error.to_string()))
}
