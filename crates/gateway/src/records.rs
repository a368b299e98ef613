//! Durable records of programs' budgets in the key-value service.
//!
//! A record is written by compare-and-swap against the cached version, without reading it first. If
//! another owner wrote it in the meantime, the write conflicts, and the update is computed again
//! from the current record. A draw therefore usually costs one call.
//!
//! Every write is also guarded by the revision of the allocation terms, because a record has to
//! count the shares of all terms (see [`sched::term`]). If the terms changed in the meantime, they
//! are read too.

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

/// Timeout of one call; a turn may be waiting for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the service is not called after a failed call.
const BACKOFF: Duration = Duration::from_millis(800);
/// Time for which an expired record is kept because VM clocks differ, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 60_000;
/// Maximum number of attempts of one update that conflicts with those of other owners.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of attempts of a batch update; a conflict returns the current records for the
/// next attempt.
const MAX_BATCH_ATTEMPTS: u32 = 3;
/// Capacity of the record cache; beyond it, each new record evicts another one.
const MAX_CACHED: usize = 10_000;
/// Maximum number of records written in one call; the guard on the terms takes the place of one.
pub const MAX_BATCH: usize = kv::MAX_GUARDED_KEYS - 1;

#[derive(Clone, Debug, Default)]
struct CachedRecord {
    revision: Revision,
    record: Option<Record>,
}

/// Access to the durable records, with a cache of those that this daemon has written or read.
pub struct Records {
    kv: Client,
    view: Arc<View>,
    /// Time until which the service is not called after a failed call.
    backoff_until: Mutex<Option<Instant>>,
    cache: Mutex<IndexMap<ProgramId, CachedRecord>>,
}

impl Records {
    /// Creates an empty cache of the records in `kv`.
    pub fn new(kv: Client, view: Arc<View>) -> Self {
        Self { kv, view, backoff_until: Mutex::default(), cache: Mutex::default() }
    }

    fn cache(&self) -> MutexGuard<'_, IndexMap<ProgramId, CachedRecord>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cache_record(&self, program: &str, cached: CachedRecord) {
        let mut cache = self.cache();
        if cache.len() >= MAX_CACHED && !cache.contains_key(program) {
            cache.swap_remove_index(0);
        }
        cache.insert(program.into(), cached);
    }

    /// Makes a call with a timeout; fails without calling during the backoff after a failed call.
    async fn call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let backoff = || self.backoff_until.lock().unwrap_or_else(PoisonError::into_inner);
        if backoff().is_some_and(|until| Instant::now() < until) {
            return Err(Error::Refused("calls are suspended after a recent failure".to_owned()));
        }
        let result = timeout(CALL_TIMEOUT, call).await;
        let result =
            result.unwrap_or_else(|_| Err(Error::Unknown("the call timed out".to_owned())));
        if result.is_err() {
            *backoff() = Some(Instant::now() + BACKOFF);
        }
        result
    }

    /// Replaces a record with the result of `change`.
    ///
    /// `change` gets the current record, if there is one, and the terms; it may be called several
    /// times. Returns `false` if `change` returned `None` for a record read from the service.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is unreachable or other owners keep changing the
    /// record. If the service is unreachable, the update may have taken effect.
    pub async fn update(
        &self,
        program: &str,
        change: impl Fn(Option<Record>, &TermView) -> Option<Record>,
    ) -> Result<bool, Error> {
        let key = members::record_key(program);
        let mut cached = self.cache().get(program).cloned().unwrap_or_default();
        let mut read = false;
        for _ in 0..MAX_ATTEMPTS {
            let (record, terms_revision) = self
                .view
                .with_terms(|terms| (change(cached.record.clone(), terms), terms.revision));
            let Some(record) = record else {
                if read {
                    return Ok(false);
                }
                cached = self.fetch(program).await?;
                read = true;
                continue;
            };
            if cached.record.as_ref() == Some(&record) {
                return Ok(true);
            }
            let writes = [(key.clone(), encode(&record)?, cached.revision)];
            let guard = [(members::TERMS_KEY, terms_revision)];
            let outcome = self.call(self.kv.compare_and_swap_all(&writes, &guard)).await?;
            match outcome {
                BatchOutcome::Done(revision) => {
                    self.cache_record(program, CachedRecord { revision, record: Some(record) });
                    return Ok(true);
                }
                BatchOutcome::Conflict(found) if !read => {
                    cached = self.apply_conflict(program, &found)
                }
                BatchOutcome::Conflict(_) => {
                    cached = self.fetch(program).await?;
                    self.fetch_terms().await?;
                }
            }
            read = true;
        }
        Err(Error::Refused("gave up after repeated conflicts with other owners".to_owned()))
    }

    /// Records the share usage of the allocator `me` and marks the allocator as closed.
    ///
    /// `now_ms` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when it is not certain that everything is written.
    pub async fn close_allocator(
        &self,
        me: Incarnation,
        usages: &[(ProgramId, ShareUsage)],
        now_ms: u64,
    ) -> Result<(), Error> {
        let chunks = usages.chunks(MAX_BATCH).map(|chunk| self.write_usages(me, chunk, now_ms));
        futures::future::try_join_all(chunks).await?;
        if !self.view.with_terms(|terms| terms.terms.allocators().contains(&me)) {
            return Ok(());
        }
        // If the key exists already, an earlier attempt wrote it.
        self.call(self.kv.create(&members::closed_key(me), b"", None)).await.map(drop)
    }

    /// Writes share usage in one call, or one by one if some programs already have a record.
    async fn write_usages(
        &self,
        me: Incarnation,
        usages: &[(ProgramId, ShareUsage)],
        now_ms: u64,
    ) -> Result<(), Error> {
        let (records, terms_revision) = self.view.with_terms(|terms| {
            let records = usages.iter().filter_map(|(program, usage)| {
                Some((program, usage.record_after_close(program, None, terms, me, now_ms)?))
            });
            (records.collect::<Vec<_>>(), terms.revision)
        });
        let mut writes = Vec::new();
        for (program, record) in &records {
            writes.push((members::record_key(program), encode(record)?, 0));
        }
        let guard = [(members::TERMS_KEY, terms_revision)];
        if let BatchOutcome::Done(_) =
            self.call(self.kv.compare_and_swap_all(&writes, &guard)).await?
        {
            return Ok(());
        }
        for (program, usage) in usages {
            let change = |found: Option<Record>, terms: &TermView| {
                usage.record_after_close(program, found.as_ref(), terms, me, now_ms).or(found)
            };
            self.update(program, change).await?;
        }
        Ok(())
    }

    /// Replaces the records of several programs in one call.
    ///
    /// `change` gets the index of the program in `programs`, the cached record, if there is one,
    /// and the terms; it may be called several times. Returns for each program whether its record
    /// is up to date; the caller updates the others one by one.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is unreachable; the updates may have taken effect.
    pub async fn update_all(
        &self,
        programs: &[ProgramId],
        change: impl Fn(usize, Option<Record>, &TermView) -> Option<Record>,
    ) -> Result<Vec<bool>, Error> {
        for _ in 0..MAX_BATCH_ATTEMPTS {
            let mut done = vec![false; programs.len()];
            let mut writes = Vec::new();
            let mut written = Vec::new();
            let terms_revision = self.view.with_terms(|terms| terms.revision);
            for (index, program) in programs.iter().enumerate().take(MAX_BATCH) {
                let cached = self.cache().get(program).cloned().unwrap_or_default();
                let record =
                    self.view.with_terms(|terms| change(index, cached.record.clone(), terms));
                let Some(record) = record else {
                    continue;
                };
                done[index] = true;
                if cached.record.as_ref() != Some(&record) {
                    writes.push((members::record_key(program), encode(&record)?, cached.revision));
                    written.push((program, record));
                }
            }
            if writes.is_empty() {
                return Ok(done);
            }
            let guard = [(members::TERMS_KEY, terms_revision)];
            match self.call(self.kv.compare_and_swap_all(&writes, &guard)).await? {
                BatchOutcome::Done(revision) => {
                    for (program, record) in written {
                        self.cache_record(program, CachedRecord { revision, record: Some(record) });
                    }
                    return Ok(done);
                }
                BatchOutcome::Conflict(found) => {
                    for (program, _) in written {
                        self.apply_conflict(program, &found);
                    }
                }
            }
        }
        Ok(vec![false; programs.len()])
    }

    /// Updates the terms and a program's cached record from the entries that a conflict returned.
    fn apply_conflict(&self, program: &str, found: &[Entry]) -> CachedRecord {
        if let Some((terms, revision)) = found
            .iter()
            .find(|entry| entry.key == members::TERMS_KEY)
            .and_then(members::decode_terms)
        {
            self.view.update_terms(terms, revision);
        }
        let key = members::record_key(program);
        let entry = found.iter().find(|entry| entry.key == key);
        // Without the revision, the next write conflicts too, and the record is read.
        let cached = entry.and_then(|entry| {
            Some(CachedRecord { revision: entry.revision, record: Some(decode(entry).ok()?) })
        });
        let cached = cached.unwrap_or_default();
        self.cache_record(program, cached.clone());
        cached
    }

    /// Reads all records; malformed ones are left out.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is unreachable.
    pub async fn list(&self) -> Result<Vec<(ProgramId, Record)>, Error> {
        let listing = self.kv.list(members::RECORDS, "").await?;
        let records = listing.entries.iter().filter_map(|entry| {
            let program = entry.key.strip_prefix(members::RECORDS)?;
            Some((program.into(), serde_json::from_slice(&entry.value).ok()?))
        });
        Ok(records.collect())
    }

    /// Reads the allocation terms and updates the view with them.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is unreachable.
    pub async fn fetch_terms(&self) -> Result<(), Error> {
        let found = self.call(self.kv.get(members::TERMS_KEY)).await?;
        if let Some((terms, revision)) = found.as_ref().and_then(members::decode_terms) {
            self.view.update_terms(terms, revision);
        }
        Ok(())
    }

    /// Returns a program's record as this daemon last wrote or read it.
    pub fn cached_record(&self, program: &str) -> Option<Record> {
        self.cache().get(program)?.record.clone()
    }

    async fn fetch(&self, program: &str) -> Result<CachedRecord, Error> {
        let cached = match self.call(self.kv.get(&members::record_key(program))).await? {
            // What an unreadable record counts as drawn is not known, so nothing is drawn.
            Some(entry) => CachedRecord { revision: entry.revision, record: Some(decode(&entry)?) },
            None => CachedRecord::default(),
        };
        self.cache_record(program, cached.clone());
        Ok(cached)
    }

    /// Deletes the records that are expired at `now_ms`, in milliseconds since the Unix epoch.
    ///
    /// Returns the number of expired records.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is unreachable; the next call deletes the rest.
    pub async fn delete_expired(&self, now_ms: u64) -> Result<usize, Error> {
        let listing = self.kv.list(members::RECORDS, "").await?;
        let is_expired = |value: &[u8]| match serde_json::from_slice::<Record>(value) {
            Ok(record) => record.keep_until_ms + CLOCK_MARGIN_MS < now_ms,
            Err(_) => false,
        };
        let expired: Vec<Entry> =
            listing.entries.into_iter().filter(|entry| is_expired(&entry.value)).collect();
        self.kv.delete_unchanged(&expired).await?;
        Ok(expired.len())
    }
}

fn decode(entry: &Entry) -> Result<Record, Error> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Error::Malformed(format!("record {}: {error}", entry.key)))
}

fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(record).map_err(|error| Error::Malformed(error.to_string()))
}
