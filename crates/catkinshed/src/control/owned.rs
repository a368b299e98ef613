//! Logs that this daemon owns, and the commits of their entries.
//!
//! An entry is applied to the state at once and buffered in memory until the next commit. Actions
//! that must wait until an entry is durable are queued as [`Continuation`]s. At most one commit per
//! log is in flight; entries added meanwhile are batched into the next one.

use super::event::ReplySender;
use crate::output::Output;
use crate::traffic::segment::{self, Segment};
use indexmap::IndexMap;
use peer::wire::Reply;
use platform::kv::{LeaseId, Revision};
use sched::id::{AccountId, CallId, Epoch, LogId, ProgramId, Tokens};
use sched::log::{Error, State};
use sched::record::Record;
use std::time::{Duration, Instant};

/// Maximum size of a batch, in estimated bytes before compression. A larger entry gets its own
/// batch.
const MAX_BATCH_BYTES: usize = 700 << 10;
/// Estimated size of an entry without its texts, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// An action to run once the entries before it are durable.
#[derive(Debug)]
pub enum Continuation {
    /// Makes an increase of an allowance usable.
    ActivateAllowance {
        /// The program.
        program: ProgramId,
        /// Tokens added to the allowance.
        tokens: Tokens,
    },
    /// Resumes the preparation of a call, which may then be sent to an endpoint.
    PrepareCall {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
    },
    /// Ends the answer to a call.
    EndAnswer {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// Buffer that the answer is streamed from.
        output: Output,
        /// The final reply.
        reply: Reply,
        /// Whether the caller already received the end of the answer, with a receipt.
        receipt_sent: bool,
    },
    /// Replies to an operation.
    Reply {
        /// Channel to the caller.
        replies: ReplySender,
        /// The reply.
        reply: Reply,
    },
    /// Confirms the ownership of the log.
    ConfirmOwnership,
    /// Gives up the ownership of the log.
    FinishHandoff,
}

/// A commit in flight.
#[derive(Debug)]
pub struct Commit {
    /// Actions to run when it ends.
    pub continuations: Vec<Continuation>,
    /// When it started.
    pub started: Instant,
    bytes: usize,
    snapshot: Option<(u64, Vec<u8>)>,
}

/// Tokens of one account that the log may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The grant as last read from the account's ledger.
    pub tokens: Tokens,
    /// Whether it was read in this epoch.
    pub known: bool,
    /// Whether a draw from the account is in progress.
    pub drawing: bool,
    /// Whether a draw has just ended, so that another one would yield no more tokens.
    pub just_drawn: bool,
}

/// Entries to write in one commit.
#[derive(Debug)]
pub struct Batch {
    /// Number of the segment.
    pub number: u64,
    /// The segment.
    pub segment: Segment,
}

/// A log owned by this daemon.
#[derive(Debug)]
pub struct Log {
    /// State of the log, including entries that are not durable yet.
    pub state: State,
    /// Epoch of this daemon's takeover.
    pub epoch: Epoch,
    /// When this daemon took the log over.
    pub taken_over: Instant,
    /// Revision of the owner key.
    pub owner_revision: Revision,
    /// Lease that the owner key is bound to.
    pub lease: LeaseId,
    /// Whether the lease expired and no commit has confirmed the ownership since.
    pub unconfirmed: bool,
    /// Grants by account.
    pub grants: IndexMap<AccountId, Grant>,
    /// Whether the unsettled allowances of earlier owners have been released.
    pub settled: bool,
    /// When the hand-off of the log began.
    pub handoff_started_at: Option<Instant>,
    /// Whether the final entry of the hand-off was added.
    pub handoff_recorded: bool,
    next_segment: u64,
    pending: Vec<(Record, usize)>,
    continuations: Vec<(usize, Continuation)>,
    pending_bytes: usize,
    in_flight: Option<Commit>,
    ready_since: Option<Instant>,
    segments_since_snapshot: u64,
    nondurable_allowances: IndexMap<ProgramId, Tokens>,
}

impl Log {
    /// Creates an owned log from the state after the takeover and the number of the next segment.
    pub fn new(
        state: State,
        next_segment: u64,
        owner_revision: Revision,
        lease: LeaseId,
        now: Instant,
    ) -> Self {
        Self {
            epoch: state.epoch,
            state,
            taken_over: now,
            owner_revision,
            lease,
            unconfirmed: false,
            grants: IndexMap::new(),
            settled: false,
            handoff_started_at: None,
            handoff_recorded: false,
            next_segment,
            pending: Vec::new(),
            continuations: Vec::new(),
            pending_bytes: 0,
            in_flight: None,
            ready_since: None,
            segments_since_snapshot: 0,
            nondurable_allowances: IndexMap::new(),
        }
    }

    /// Returns whether the log accepts operations on its programs.
    pub fn accepts_operations(&self) -> bool {
        self.handoff_started_at.is_none() && !self.unconfirmed
    }

    /// Returns the number of the log.
    pub fn log(&self) -> LogId {
        self.state.log
    }

    /// Adds an entry and applies it to the state.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] and adds nothing if the state rejects the entry.
    pub fn push(&mut self, record: Record) -> Result<(), Error> {
        let added = self.allowance_added(&record);
        self.state.apply(&record)?;
        let bytes = estimated_size(&record);
        self.pending_bytes += bytes;
        self.pending.push((record, bytes));
        if let Some((program, tokens)) = added {
            *self.nondurable_allowances.entry(program.clone()).or_default() += tokens;
            self.on_durable(Continuation::ActivateAllowance { program, tokens });
        }
        Ok(())
    }

    /// Queues a continuation until all entries added so far are durable.
    pub fn on_durable(&mut self, continuation: Continuation) {
        self.continuations.push((self.pending.len(), continuation));
    }

    /// Takes all queued continuations if every entry is durable, and none otherwise.
    pub fn take_ready(&mut self) -> Vec<Continuation> {
        match self.durable() {
            true => self.continuations.drain(..).map(|(_, continuation)| continuation).collect(),
            false => Vec::new(),
        }
    }

    /// Returns the durable part of the program's allowance, in tokens.
    pub fn usable_tokens(&self, program: &ProgramId) -> Tokens {
        let allowance = self.state.programs.get(program).map_or(0, |found| found.allowance);
        allowance
            .saturating_sub(self.nondurable_allowances.get(program).copied().unwrap_or_default())
    }

    /// Returns the estimated size of all entries that are not durable, in bytes.
    pub fn nondurable_bytes(&self) -> usize {
        self.pending_bytes + self.in_flight.as_ref().map_or(0, |commit| commit.bytes)
    }

    /// Returns whether all entries are durable.
    pub fn durable(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Returns the time since the commit in flight started, or zero if no commit is in flight.
    pub fn commit_age(&self, now: Instant) -> Duration {
        let started = self.in_flight.as_ref().map(|commit| commit.started);
        started.map_or(Duration::ZERO, |started| now.saturating_duration_since(started))
    }

    /// Returns when the pending entries were first ready to be committed.
    ///
    /// Returns `None` if there are no pending entries or a commit is in flight.
    pub fn due_since(&mut self, now: Instant) -> Option<Instant> {
        if self.in_flight.is_some() || self.pending.is_empty() {
            return None;
        }
        Some(*self.ready_since.get_or_insert(now))
    }

    /// Starts a commit and returns the entries to write, unless a commit is in flight.
    ///
    /// A snapshot is prepared every `snapshot_segments` segments.
    pub fn take_batch(&mut self, now: Instant, snapshot_segments: u64) -> Option<Batch> {
        if self.in_flight.is_some() || self.pending.is_empty() {
            return None;
        }
        let count = self.batch_count();
        let records = self.pending.drain(..count);
        let (records, sizes): (Vec<Record>, Vec<usize>) = records.unzip();
        let bytes = sizes.iter().sum();
        let continuations = self.take_continuations(count);
        self.pending_bytes -= bytes;
        let number = self.next_segment;
        self.next_segment += 1;
        self.segments_since_snapshot += 1;
        let snapshot = self.take_snapshot(number, snapshot_segments);
        self.in_flight = Some(Commit { continuations, started: now, bytes, snapshot });
        self.ready_since = None;
        let nonce = fastrand::u64(..);
        Some(Batch { number, segment: Segment { epoch: self.epoch, nonce, records } })
    }

    /// Ends the commit in flight.
    ///
    /// Returns its continuations and, if a snapshot is due, the number of the last segment that the
    /// snapshot covers and its content.
    pub fn finish_commit(&mut self) -> (Vec<Continuation>, Option<(u64, Vec<u8>)>) {
        let Some(commit) = self.in_flight.take() else {
            return (Vec::new(), None);
        };
        for continuation in &commit.continuations {
            if let Continuation::ActivateAllowance { program, tokens } = continuation {
                self.activate_allowance(program, *tokens);
            }
        }
        (commit.continuations, commit.snapshot)
    }

    /// Returns an iterator over all continuations that have not run yet, in order.
    pub fn continuations_mut(&mut self) -> impl Iterator<Item = &mut Continuation> {
        let in_flight =
            self.in_flight.iter_mut().flat_map(|commit| commit.continuations.iter_mut());
        in_flight.chain(self.continuations.iter_mut().map(|(_, continuation)| continuation))
    }

    fn activate_allowance(&mut self, program: &ProgramId, tokens: Tokens) {
        let Some(nondurable) = self.nondurable_allowances.get_mut(program) else {
            return;
        };
        *nondurable = nondurable.saturating_sub(tokens);
        if *nondurable == 0 {
            self.nondurable_allowances.swap_remove(program);
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
            total <= MAX_BATCH_BYTES
        });
        fits.count().max(1).min(self.pending.len())
    }

    /// Takes the continuations that wait only for the first `count` pending entries.
    fn take_continuations(&mut self, count: usize) -> Vec<Continuation> {
        let ready = self.continuations.partition_point(|(position, _)| *position <= count);
        let rest = self.continuations.split_off(ready);
        let taken = std::mem::replace(&mut self.continuations, rest);
        for (position, _) in &mut self.continuations {
            *position -= count;
        }
        taken.into_iter().map(|(_, continuation)| continuation).collect()
    }

    /// Packs the state as a snapshot up to segment `number`, if one is due.
    ///
    /// The state includes pending entries, so the snapshot waits for a batch that leaves none.
    fn take_snapshot(&mut self, number: u64, interval: u64) -> Option<(u64, Vec<u8>)> {
        if self.segments_since_snapshot < interval || !self.pending.is_empty() {
            return None;
        }
        self.segments_since_snapshot = 0;
        segment::pack(&self.state).ok().map(|packed| (number, packed))
    }
}

fn estimated_size(record: &Record) -> usize {
    let text = match record {
        Record::Intent { call, .. } => call.work.text().len(),
        Record::Outcome { outcome, .. } => outcome_size(outcome),
        Record::Restore { turn, .. } => turn.call.work.text().len() + outcome_size(&turn.outcome),
        _ => 0,
    };
    ENTRY_OVERHEAD_BYTES + text
}

fn outcome_size(outcome: &sched::call::Outcome) -> usize {
    match outcome {
        sched::call::Outcome::Done { text, .. } => text.len(),
        sched::call::Outcome::Failed { message, .. } => message.len(),
        sched::call::Outcome::Unknown | sched::call::Outcome::NotRun => 0,
    }
}
