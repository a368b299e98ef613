//! Durable records of programs' budgets in the key-value service.
//!
//! An owner writes a record as the follower of what it knows of it, without reading it first; where
//! another owner wrote meanwhile, the write conflicts and the record is read. A draw therefore costs
//! one call in the usual case.
//!
//! Every write is guarded by the key of the founders' terms, because a record has to count the shares of
//! all terms (see [`sched::term`]). Where that key changed meanwhile, it is read too.

use crate::members;
use crate::view::View;
use indexmap::IndexMap;
use platform::kv::{self, BatchOutcome, Client, Entry, Error, Revision};
use sched::id::ProgramId;
use sched::spend::{Record, ShareUsage};
use sched::term::{Incarnation, TermView};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
/// Tries of one update of several records, the first of which tells what the others wrote.
const MAX_JOINT_TRIES: u32 = 3;
/// Records whose revisions are kept; the oldest are dropped first.
const MAX_KNOWN: usize = 10_000;
/// Records that are written at once; the guard of the terms takes the room of one.
pub const MAX_CREATED: usize = kv::MAX_GUARDED_KEYS - 1;

#[derive(Clone, Debug, Default)]
struct Known {
    revision: Revision,
    record: Option<Record>,
}

/// Records that this daemon has written or read.
pub struct Records {
    kv: Client,
    view: Arc<View>,
    /// Until when the service is not called, after it did not answer.
    rests_until: Mutex<Option<Instant>>,
    known: Mutex<IndexMap<ProgramId, Known>>,
}

impl Records {
    /// Prepares updates through `kv`.
    pub fn new(kv: Client, view: Arc<View>) -> Self {
        Self { kv, view, rests_until: Mutex::default(), known: Mutex::default() }
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
        change: impl Fn(Option<Record>, &TermView) -> Option<Record>,
    ) -> Result<bool, Error> {
        let key = members::record_key(program);
        let mut known = self.known().get(program).cloned().unwrap_or_default();
        let mut read = false;
        for _ in 0..MAX_TRIES {
            let (record, terms) =
                self.view.with_terms(|roll| (change(known.record.clone(), roll), roll.revision));
            let Some(record) = record else {
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
            let writes = [(key.clone(), encode(&record)?, known.revision)];
            let guard = [(members::TERMS_KEY, terms)];
            let swap = self.bounded(self.kv.compare_and_swap_all(&writes, &guard)).await?;
            match swap {
                BatchOutcome::Done(revision) => {
                    self.keep(program, Known { revision, record: Some(record) });
                    return Ok(true);
                }
                BatchOutcome::Conflict(found) if !read => known = self.learn(program, &found),
                BatchOutcome::Conflict(_) => {
                    known = self.fetch(program).await?;
                    self.fetch_terms().await?;
                }
            }
            read = true;
        }
        Err(Error::Refused("other owners change the record too".to_owned()))
    }

    /// Writes the books of the founder `me`, and that they are closed.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when that is not known to be written.
    pub async fn close(
        &self,
        me: Incarnation,
        books: &[(ProgramId, ShareUsage)],
        now_ms: u64,
    ) -> Result<(), Error> {
        let chunks = books.chunks(MAX_CREATED).map(|chunk| self.write_books(me, chunk, now_ms));
        futures::future::try_join_all(chunks).await?;
        if !self.view.with_terms(|roll| roll.terms.allocators().contains(&me)) {
            return Ok(());
        }
        // Where the key exists already, an earlier try wrote it.
        self.bounded(self.kv.create(&members::closed_key(me), b"", None)).await.map(drop)
    }

    /// Writes books at once, or one by one where some programs have a record already.
    async fn write_books(
        &self,
        me: Incarnation,
        books: &[(ProgramId, ShareUsage)],
        now_ms: u64,
    ) -> Result<(), Error> {
        let (records, terms) = self.view.with_terms(|roll| {
            let records = books.iter().filter_map(|(program, books)| {
                Some((program, books.record_after_close(program, None, roll, me, now_ms)?))
            });
            (records.collect::<Vec<_>>(), roll.revision)
        });
        let mut writes = Vec::new();
        for (program, record) in &records {
            writes.push((members::record_key(program), encode(record)?, 0));
        }
        let guard = [(members::TERMS_KEY, terms)];
        if let BatchOutcome::Done(_) =
            self.bounded(self.kv.compare_and_swap_all(&writes, &guard)).await?
        {
            return Ok(());
        }
        for (program, books) in books {
            let merged = |found: Option<Record>, roll: &TermView| {
                books.record_after_close(program, found.as_ref(), roll, me, now_ms).or(found)
            };
            self.update(program, merged).await?;
        }
        Ok(())
    }

    /// Replaces the records of several programs, each by what `change` makes of it for its number.
    ///
    /// Tells for each whether that is done; the others are to be updated one by one.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach; the updates may have taken effect.
    pub async fn update_all(
        &self,
        programs: &[ProgramId],
        change: impl Fn(usize, Option<Record>, &TermView) -> Option<Record>,
    ) -> Result<Vec<bool>, Error> {
        for _ in 0..MAX_JOINT_TRIES {
            let mut done = vec![false; programs.len()];
            let mut writes = Vec::new();
            let mut written = Vec::new();
            let terms = self.view.with_terms(|roll| roll.revision);
            for (number, program) in programs.iter().enumerate().take(MAX_CREATED) {
                let known = self.known().get(program).cloned().unwrap_or_default();
                let record =
                    self.view.with_terms(|roll| change(number, known.record.clone(), roll));
                let Some(record) = record else {
                    continue;
                };
                done[number] = true;
                if known.record.as_ref() != Some(&record) {
                    writes.push((members::record_key(program), encode(&record)?, known.revision));
                    written.push((program, record));
                }
            }
            if writes.is_empty() {
                return Ok(done);
            }
            let guard = [(members::TERMS_KEY, terms)];
            match self.bounded(self.kv.compare_and_swap_all(&writes, &guard)).await? {
                BatchOutcome::Done(revision) => {
                    for (program, record) in written {
                        self.keep(program, Known { revision, record: Some(record) });
                    }
                    return Ok(done);
                }
                BatchOutcome::Conflict(found) => {
                    for (program, _) in written {
                        self.learn(program, &found);
                    }
                }
            }
        }
        Ok(vec![false; programs.len()])
    }

    /// Takes in what a conflicting write was told of a program's record and of the terms.
    fn learn(&self, program: &str, found: &[Entry]) -> Known {
        if let Some((terms, revision)) = found
            .iter()
            .find(|entry| entry.key == members::TERMS_KEY)
            .and_then(members::decode_terms)
        {
            self.view.update_terms(terms, revision);
        }
        let key = members::record_key(program);
        let entry = found.iter().find(|entry| entry.key == key);
        let known = entry.map_or_else(Known::default, |entry| Known {
            revision: entry.revision,
            record: serde_json::from_slice(&entry.value).ok(),
        });
        self.keep(program, known.clone());
        known
    }

    /// All records.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach.
    pub async fn all(&self) -> Result<Vec<(ProgramId, Record)>, Error> {
        let listing = self.kv.list(members::RECORDS, "").await?;
        let records = listing.entries.iter().filter_map(|entry| {
            let program = entry.key.strip_prefix(members::RECORDS)?;
            Some((program.into(), serde_json::from_slice(&entry.value).ok()?))
        });
        Ok(records.collect())
    }

    /// Reads the founders' terms, which changed since this daemon heard of them.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach.
    pub async fn fetch_terms(&self) -> Result<(), Error> {
        let found = self.bounded(self.kv.get(members::TERMS_KEY)).await?;
        if let Some((terms, revision)) = found.as_ref().and_then(members::decode_terms) {
            self.view.update_terms(terms, revision);
        }
        Ok(())
    }

    /// The record of a program as it was written or read last.
    pub fn last(&self, program: &str) -> Option<Record> {
        self.known().get(program)?.record.clone()
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
    pub async fn delete_expired(&self, now_ms: u64) -> Result<usize, Error> {
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
