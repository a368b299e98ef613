//! A log that this daemon owns, and its commits.
//!
//! Entries are applied to the state at once and wait in memory for the next commit; what depends
//! on their durability waits with them as [`Continuation`]. One commit of a log is under way at a
//! time, and all entries that came up meanwhile share the next one.

use super::event::ReplySender;
use crate::io::segment::{self, Segment};
use crate::output::Output;
use indexmap::IndexMap;
use peer::wire::Reply;
use platform::kv::{LeaseId, Revision};
use sched::id::{AccountId, CallId, Epoch, LogId, ProgramId, Tokens};
use sched::log::{Error, State};
use sched::record::Record;
use std::time::{Duration, Instant};

/// Size of a batch from which further entries wait for the next one, in bytes before compression.
const BATCH_BYTES: usize = 700 << 10;
/// Estimated size of an entry without its texts, in bytes.
const ENTRY_BYTES: usize = 64;

/// What waits for an entry to become durable.
#[derive(Debug)]
pub enum Continuation {
    /// An allowance may be used.
    ReleaseAllowance {
        /// The program.
        program: ProgramId,
        /// Tokens added.
        tokens: Tokens,
    },
    /// A call's order may leave.
    PrepareCall {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
    },
    /// An answer may end.
    EndAnswer {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// The answer.
        tape: Output,
        /// Its last frame.
        reply: Reply,
        /// Whether the caller has the answer already, with a receipt.
        receipt_sent: bool,
    },
    /// An operation is done.
    Reply {
        /// Who asked.
        outbox: ReplySender,
        /// The answer.
        reply: Reply,
    },
    /// The ownership is confirmed.
    ConfirmOwnership,
    /// The log has been handed off.
    FinishHandoff,
}

/// A commit under way.
#[derive(Debug)]
pub struct Flight {
    /// What waits for it.
    pub after: Vec<Continuation>,
    /// When it began.
    pub since: Instant,
    bytes: usize,
    snapshot: Option<(u64, Vec<u8>)>,
}

/// Tokens that the log may use of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The grant as last learned.
    pub tokens: Tokens,
    /// Whether it was learned in this epoch.
    pub known: bool,
    /// Whether a draw is under way.
    pub drawing: bool,
    /// Whether the last draw just ended, so that another would bring no more.
    pub refused: bool,
}

/// What a commit is to write.
#[derive(Debug)]
pub struct Batch {
    /// Number of the segment.
    pub number: u64,
    /// The segment.
    pub segment: Segment,
}

/// A log that this daemon owns.
#[derive(Debug)]
pub struct Log {
    /// Its state, with entries that are not durable yet.
    pub state: State,
    /// Number of this takeover.
    pub epoch: Epoch,
    /// When it was taken over.
    pub adopted: Instant,
    /// Revision of the owner key.
    pub claim: Revision,
    /// Lease that the owner key is bound to.
    pub lease: LeaseId,
    /// Whether the lease lapsed, and no commit has confirmed the ownership since.
    pub unconfirmed: bool,
    /// Grants by account.
    pub grants: IndexMap<AccountId, Grant>,
    /// Whether allowances of earlier owners have returned.
    pub settled: bool,
    /// When the log began to be handed off.
    pub draining: Option<Instant>,
    /// Whether the last entry before a hand-off is written.
    pub handing_off: bool,
    next: u64,
    pending: Vec<(Record, usize)>,
    after: Vec<(usize, Continuation)>,
    pending_bytes: usize,
    flight: Option<Flight>,
    oldest: Option<Instant>,
    since_snapshot: u64,
    ahead: IndexMap<ProgramId, Tokens>,
}

impl Log {
    /// Starts with the state after the takeover; `next` is the number of the next segment.
    pub fn new(state: State, next: u64, claim: Revision, lease: LeaseId, now: Instant) -> Self {
        Self {
            epoch: state.epoch,
            state,
            adopted: now,
            claim,
            lease,
            unconfirmed: false,
            grants: IndexMap::new(),
            settled: false,
            draining: None,
            handing_off: false,
            next,
            pending: Vec::new(),
            after: Vec::new(),
            pending_bytes: 0,
            flight: None,
            oldest: None,
            since_snapshot: 0,
            ahead: IndexMap::new(),
        }
    }

    /// Tells whether operations are taken.
    pub fn accepts_operations(&self) -> bool {
        self.draining.is_none() && !self.unconfirmed
    }

    /// Number of the log.
    pub fn log(&self) -> LogId {
        self.state.log
    }

    /// Adds an entry and applies it to the state.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] and adds nothing when the entry does not fit.
    pub fn push(&mut self, record: Record) -> Result<(), Error> {
        let added = self.allowance_added(&record);
        self.state.apply(&record)?;
        let bytes = size(&record);
        self.pending_bytes += bytes;
        self.pending.push((record, bytes));
        if let Some((program, tokens)) = added {
            *self.ahead.entry(program.clone()).or_default() += tokens;
            self.on_durable(Continuation::ReleaseAllowance { program, tokens });
        }
        Ok(())
    }

    /// Waits with `after` for all entries added so far.
    pub fn on_durable(&mut self, after: Continuation) {
        self.after.push((self.pending.len(), after));
    }

    /// Takes what waits for nothing, since all entries are durable.
    pub fn take_ready(&mut self) -> Vec<Continuation> {
        match self.durable() {
            true => self.after.drain(..).map(|(_, after)| after).collect(),
            false => Vec::new(),
        }
    }

    /// Tokens that a call of the program may use now.
    pub fn usable(&self, program: &ProgramId) -> Tokens {
        let allowance = self.state.programs.get(program).map_or(0, |found| found.allowance);
        allowance.saturating_sub(self.ahead.get(program).copied().unwrap_or_default())
    }

    /// Bytes of entries that are not durable.
    pub fn nondurable_bytes(&self) -> usize {
        self.pending_bytes + self.flight.as_ref().map_or(0, |flight| flight.bytes)
    }

    /// Tells whether all entries are durable.
    pub fn durable(&self) -> bool {
        self.pending.is_empty() && self.flight.is_none()
    }

    /// How long the oldest commit has been under way.
    pub fn stalled(&self, now: Instant) -> Duration {
        let since = self.flight.as_ref().map(|flight| flight.since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// When the oldest entry began to wait for a commit that can start now.
    pub fn due_since(&mut self, now: Instant) -> Option<Instant> {
        if self.flight.is_some() || self.pending.is_empty() {
            return None;
        }
        Some(*self.oldest.get_or_insert(now))
    }

    /// Takes the entries of the next commit, unless one is under way.
    pub fn take_batch(&mut self, now: Instant, snapshot_after: u64) -> Option<Batch> {
        if self.flight.is_some() || self.pending.is_empty() {
            return None;
        }
        let count = self.batch_count();
        let records = self.pending.drain(..count);
        let (records, sizes): (Vec<Record>, Vec<usize>) = records.unzip();
        let bytes = sizes.iter().sum();
        let after = self.take_after(count);
        self.pending_bytes -= bytes;
        let number = self.next;
        self.next += 1;
        self.since_snapshot += 1;
        let snapshot = self.take_snapshot(number, snapshot_after);
        self.flight = Some(Flight { after, since: now, bytes, snapshot });
        self.oldest = None;
        let nonce = fastrand::u64(..);
        Some(Batch { number, segment: Segment { epoch: self.epoch, nonce, records } })
    }

    /// Ends the commit under way; returns what waited for it and a snapshot to write.
    pub fn committed(&mut self) -> (Vec<Continuation>, Option<(u64, Vec<u8>)>) {
        let Some(flight) = self.flight.take() else {
            return (Vec::new(), None);
        };
        for after in &flight.after {
            if let Continuation::ReleaseAllowance { program, tokens } = after {
                self.usable_from_now(program, *tokens);
            }
        }
        (flight.after, flight.snapshot)
    }

    /// All that waits for durability, for one that gives receipts or gives up.
    pub fn waiting(&mut self) -> impl Iterator<Item = &mut Continuation> {
        let flying = self.flight.iter_mut().flat_map(|flight| flight.after.iter_mut());
        flying.chain(self.after.iter_mut().map(|(_, after)| after))
    }

    fn usable_from_now(&mut self, program: &ProgramId, tokens: Tokens) {
        let Some(ahead) = self.ahead.get_mut(program) else {
            return;
        };
        *ahead = ahead.saturating_sub(tokens);
        if *ahead == 0 {
            self.ahead.swap_remove(program);
        }
    }

    fn allowance_added(&self, record: &Record) -> Option<(ProgramId, Tokens)> {
        let Record::Allow { program, allowance } = record else {
            return None;
        };
        let before = self.state.programs.get(program)?.allowance;
        let added = allowance.saturating_sub(before);
        (added > 0).then(|| (program.clone(), added))
    }

    fn batch_count(&self) -> usize {
        let mut total = 0;
        let fits = self.pending.iter().take_while(|(_, bytes)| {
            total += bytes;
            total <= BATCH_BYTES
        });
        fits.count().max(1).min(self.pending.len())
    }

    fn take_after(&mut self, count: usize) -> Vec<Continuation> {
        let ready = self.after.partition_point(|(position, _)| *position <= count);
        let rest = self.after.split_off(ready);
        let taken = std::mem::replace(&mut self.after, rest);
        for (position, _) in &mut self.after {
            *position -= count;
        }
        taken.into_iter().map(|(_, after)| after).collect()
    }

    fn take_snapshot(&mut self, number: u64, every: u64) -> Option<(u64, Vec<u8>)> {
        if self.since_snapshot < every || !self.pending.is_empty() {
            return None;
        }
        self.since_snapshot = 0;
        segment::pack(&self.state).ok().map(|packed| (number, packed))
    }
}

fn size(record: &Record) -> usize {
    let text = match record {
        Record::Intent { call, .. } => call.work.text().len(),
        Record::Outcome { outcome, .. } => outcome_size(outcome),
        Record::Restore { turn, .. } => turn.call.work.text().len() + outcome_size(&turn.outcome),
        _ => 0,
    };
    ENTRY_BYTES + text
}

fn outcome_size(outcome: &sched::call::Outcome) -> usize {
    match outcome {
        sched::call::Outcome::Done { text, .. } => text.len(),
        sched::call::Outcome::Failed { message, .. } => message.len(),
        sched::call::Outcome::Unknown | sched::call::Outcome::NotRun => 0,
    }
}
