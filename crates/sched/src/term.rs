//! Terms, which define the processes that may hand out part of a program's budget without a
//! record.
//!
//! A term lists the processes that were live when it was announced. One of them is the allocator of
//! a given program: the one with the highest hash of the pair. It alone may hand out the term's
//! share of the program's budget without a durable record, provided that it has no account of the
//! program yet. Most programs end within that share and cost no write. When most of a term's
//! allocators have been restarted, the next term opens, so that programs that begin later need no
//! write either.
//!
//! An allocator may have spent its share of any term, and no other process knows whether it did. An
//! owner that draws from a program's record therefore counts the shares of all terms that the
//! record does not cover yet as spent, except for those of allocators that closed their ledgers or
//! released the share. Three rules keep the sum within the budget:
//!
//! * Every write of a record names the last term, and takes effect only while that term is the
//!   last.
//! * A term is announced before it opens. In between, the records are listed, and programs whose
//!   record leaves less than the new share are excluded: they get no share of this term.
//! * The shares of all terms leave something to draw: each takes at most half of what the earlier
//!   terms left.
//!
//! A term is dropped when all of its allocators have closed their ledgers, or when the maximum
//! lifetime of a program has passed since the term ended. No term opens soon after many allocators
//! were lost with open ledgers: it is unknown which of their shares were spent, so counting them
//! all together with the new share would leave too little of a new program's budget, whereas a draw
//! for each program costs only calls.

use crate::id::{ProgramId, Tokens, VmId};
use crate::members;
use crate::spend::Record;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Number of a term, from 1.
pub type Number = u32;
/// Number that identifies one process of a daemon.
pub type Incarnation = u64;

/// Maximum share of a term, in thousandths of a program's limit.
///
/// Programs that complete normally rarely need more, whether or not their allocator is lost.
const MAX_SHARE_PERMILLE: u32 = 400;
/// Minimum share for which a term is announced, in thousandths of a program's limit. The maximum of
/// one turn is about as large.
const MIN_SHARE_PERMILLE: u32 = 200;
/// The next term is due when at most one in this many allocators of the last term is live with an
/// open ledger. It is delayed while more than one in this many was lost with an open ledger.
const OPEN_LEDGER_DIVISOR: usize = 4;
/// A program's whole limit, in thousandths.
const FULL_SHARE_PERMILLE: u32 = 1_000;
/// Time for which the set of live daemons must not change before a term is announced, so that all
/// daemons that start together become allocators.
const STABLE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a due term is announced even if the set of live daemons still changes, as it
/// does during a rolling restart.
const MAX_STABILITY_WAIT: Duration = Duration::from_secs(3);
/// Maximum time between a program's first and last turn.
pub const MAX_PROGRAM_LIFETIME: Duration = Duration::from_secs(3_600);

/// Process that may hand out shares of a term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocator {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Number of the process.
    pub incarnation: Incarnation,
}

/// Period in which a fixed set of processes may hand out shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Number of the term.
    pub number: Number,
    /// Part of a program's limit ([`crate::spend::limit`]) that its allocator may hand out, in
    /// thousandths.
    pub share: u32,
    /// Time of the announcement, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Whether allocators may hand out shares; otherwise, the term is only announced.
    pub open: bool,
    /// Processes that may hand out shares.
    #[serde(rename = "founders")]
    pub allocators: Vec<Allocator>,
    /// Programs that get no share of this term.
    #[serde(rename = "barred")]
    pub excluded: IndexSet<ProgramId>,
}

impl Term {
    fn allocator(&self, program: &str) -> Option<&Allocator> {
        self.allocators.iter().max_by_key(|allocator| members::weight(&program, &allocator.vm))
    }
}

/// Relevant terms, oldest first, as stored in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    terms: Vec<Term>,
}

/// A daemon's view of the terms, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermView {
    /// The terms.
    pub terms: Terms,
    /// Revision of the key-value service at which the terms were written.
    pub revision: u64,
    /// Allocators that have closed their ledgers.
    pub closed: IndexSet<Incarnation>,
}

/// Statement that an allocator handed out no share to a program in some terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusedShare {
    /// Process of the allocator.
    #[serde(rename = "founder")]
    pub allocator: Incarnation,
    /// The statement covers the terms after this one.
    pub after: Number,
}

/// Tokens with which an owner opens the account of a program that it does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InitialAllowance {
    /// Process of the owner.
    pub process: Incarnation,
    /// Last term.
    pub term: Number,
    /// Tokens that this process may hand out without a record, as the program's allocator.
    pub share_tokens: Tokens,
    /// Tokens that may have been handed out without a record, including `share_tokens`.
    pub unrecorded: Tokens,
}

/// Numbers of allocators of a term that have not closed their ledgers.
#[derive(Clone, Copy, Debug)]
struct OpenLedgers {
    /// Allocators that are live.
    live: usize,
    /// Allocators that are not live any more.
    lost: usize,
}

/// Next step towards a new term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing yet.
    Wait,
    /// Write these terms, the last of which is announced but not open.
    Announce(Terms),
    /// List the records and open the announced term.
    Open,
}

impl Terms {
    /// Returns the number of the last term, or 0 before the first one.
    pub fn number(&self) -> Number {
        self.terms.last().map_or(0, |term| term.number)
    }

    /// Returns whether the last term is open.
    pub fn is_open(&self) -> bool {
        self.terms.last().is_some_and(|term| term.open)
    }

    /// Returns the allocators of all terms.
    pub fn allocators(&self) -> IndexSet<Incarnation> {
        let allocators = self.terms.iter().flat_map(|term| &term.allocators);
        allocators.map(|allocator| allocator.incarnation).collect()
    }

    /// Returns the term whose allocators may hand out shares.
    fn last_open(&self) -> Option<&Term> {
        self.terms.iter().rev().find(|term| term.open)
    }

    /// Returns the terms with the announced one open.
    ///
    /// The term excludes the programs whose record leaves less than its share.
    pub fn opened(&self, records: &[(ProgramId, Record)]) -> Self {
        let mut next = self.clone();
        let has_room = |record: &Record| {
            let limit = record.budget + record.max_tokens;
            let later = self.terms.iter().filter(|term| term.number > record.term);
            let shares: Tokens = later.map(|term| share_tokens(limit, term.share)).sum();
            record.drawn + shares <= limit
        };
        if let Some(term) = next.terms.last_mut() {
            let full = records.iter().filter(|(_, record)| !has_room(record));
            term.excluded = full.map(|(program, _)| program.clone()).collect();
            term.open = true;
        }
        next
    }
}

impl TermView {
    /// Returns the allocator of a program in the last open term, or `None` if no term is open or
    /// the program is excluded.
    pub fn allocator(&self, program: &str) -> Option<&Allocator> {
        let term = self.terms.last_open().filter(|term| !term.excluded.contains(program))?;
        term.allocator(program)
    }

    /// Returns whether an allocator has closed its ledger.
    pub fn is_closed(&self, allocator: &Allocator) -> bool {
        self.closed.contains(&allocator.incarnation)
    }

    /// Returns the tokens that allocators of the terms after `after` may have handed out to a
    /// program without a record.
    ///
    /// `limit` is the limit of the program, and `unused` lists allocators that handed out
    /// nothing to it.
    pub fn unrecorded(
        &self,
        program: &str,
        limit: Tokens,
        after: Number,
        unused: &[UnusedShare],
    ) -> Tokens {
        let is_unused = |term: &Term, allocator: &Allocator| {
            let mut matching =
                unused.iter().filter(|share| share.allocator == allocator.incarnation);
            matching.any(|share| share.after < term.number)
        };
        let later = self.terms.terms.iter().filter(|term| term.number > after);
        let may_be_spent = later.filter(|term| !term.excluded.contains(program)).filter(|term| {
            term.allocator(program)
                .is_some_and(|allocator| !self.is_closed(allocator) && !is_unused(term, allocator))
        });
        may_be_spent.map(|term| share_tokens(limit, term.share)).sum()
    }

    /// Returns the tokens with which `process` opens the account of a program that it does not
    /// know.
    ///
    /// `limit` is the limit of the program, and `unused` lists allocators that handed out
    /// nothing to it.
    pub fn initial_allowance(
        &self,
        program: &str,
        limit: Tokens,
        process: Incarnation,
        unused: &[UnusedShare],
    ) -> InitialAllowance {
        let is_allocator =
            self.allocator(program).is_some_and(|allocator| allocator.incarnation == process);
        let share = self.terms.last_open().map_or(0, |term| term.share);
        InitialAllowance {
            process,
            term: self.terms.number(),
            share_tokens: if is_allocator { share_tokens(limit, share) } else { 0 },
            unrecorded: self.unrecorded(program, limit, 0, unused),
        }
    }

    /// Returns whether a term is due: the last one has few allocators left, or is only announced.
    pub fn is_due(&self, live: &[Allocator]) -> bool {
        let Some(last) = self.terms.terms.last().filter(|last| last.open) else {
            return true;
        };
        self.count_open_ledgers(last, live).live * OPEN_LEDGER_DIVISOR <= last.allocators.len()
    }

    /// Returns whether many allocators of the last term were lost with open ledgers.
    fn lost_many(&self, live: &[Allocator]) -> bool {
        let lost_many = |last: &Term| {
            self.count_open_ledgers(last, live).lost * OPEN_LEDGER_DIVISOR > last.allocators.len()
        };
        self.terms.terms.last().is_some_and(lost_many)
    }

    /// Counts the allocators of a term that have not closed their ledgers.
    fn count_open_ledgers(&self, term: &Term, live: &[Allocator]) -> OpenLedgers {
        let live_set: IndexSet<&Allocator> = live.iter().collect();
        let open = term.allocators.iter().filter(|allocator| !self.is_closed(allocator));
        let (live, lost): (Vec<&Allocator>, Vec<&Allocator>) =
            open.partition(|allocator| live_set.contains(allocator));
        OpenLedgers { live: live.len(), lost: lost.len() }
    }

    /// Returns the next step towards a new term, given the live processes.
    pub fn next_step(&self, live: &[Allocator], stability: Stability, now_ms: u64) -> Step {
        let is_stable =
            stability.unchanged_for >= STABLE_PERIOD || stability.due_for >= MAX_STABILITY_WAIT;
        if live.is_empty() || !is_stable || !self.is_due(live) {
            return Step::Wait;
        }
        if self.terms.terms.last().is_some_and(|last| !last.open) {
            return Step::Open;
        }
        let expired = stability.due_for >= MAX_PROGRAM_LIFETIME;
        if self.lost_many(live) && !expired {
            return Step::Wait;
        }
        self.announce(live, expired, now_ms).map_or(Step::Wait, Step::Announce)
    }

    /// Returns the terms plus a newly announced one, or `None` if too little is left for its share.
    ///
    /// `last_expired` states that the maximum lifetime of a program has passed since the last term
    /// ended.
    pub fn announce(&self, live: &[Allocator], last_expired: bool, now_ms: u64) -> Option<Terms> {
        let lifetime_ms = MAX_PROGRAM_LIFETIME.as_millis() as u64;
        let expires_ms = |index: usize| match self.terms.terms.get(index + 1) {
            Some(next) => Some(next.since_ms + lifetime_ms),
            None => last_expired.then_some(now_ms),
        };
        let is_relevant = |index: usize, term: &Term| {
            let unexpired = expires_ms(index).is_none_or(|expires_ms| now_ms < expires_ms);
            unexpired && term.allocators.iter().any(|allocator| !self.is_closed(allocator))
        };
        let kept =
            self.terms.terms.iter().enumerate().filter(|(index, term)| is_relevant(*index, term));
        let mut terms: Vec<Term> = kept.map(|(_, term)| term.clone()).collect();
        let remaining =
            FULL_SHARE_PERMILLE.saturating_sub(terms.iter().map(|term| term.share).sum());
        let share = (remaining / 2).min(MAX_SHARE_PERMILLE);
        if share < MIN_SHARE_PERMILLE {
            return None;
        }
        terms.push(Term {
            number: self.terms.number() + 1,
            share,
            since_ms: now_ms,
            open: false,
            allocators: live.to_vec(),
            excluded: IndexSet::new(),
        });
        Some(Terms { terms })
    }
}

/// Stability of the set of live processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stability {
    /// Time for which the set of live processes has not changed.
    pub unchanged_for: Duration,
    /// Time for which a term has been due.
    pub due_for: Duration,
}

impl Stability {
    /// Reduces both times by `delay`, so that this daemon acts that much later than others.
    pub fn delayed_by(self, delay: Duration) -> Self {
        let Self { unchanged_for, due_for } = self;
        Self {
            unchanged_for: unchanged_for.saturating_sub(delay),
            due_for: due_for.saturating_sub(delay),
        }
    }
}

/// Tracker of the time since the set of live processes last changed and since a term became due.
#[derive(Clone, Debug)]
pub struct StabilityTracker {
    live: Vec<Allocator>,
    unchanged_since: Instant,
    due_since: Option<Instant>,
}

impl StabilityTracker {
    /// Creates a tracker that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { live: Vec::new(), unchanged_since: now, due_since: None }
    }

    /// Updates the live processes and whether a term is due, and returns the resulting stability.
    pub fn update(&mut self, live: &[Allocator], due: bool, now: Instant) -> Stability {
        if self.live != live {
            self.live = live.to_vec();
            self.unchanged_since = now;
        }
        self.due_since = if due { self.due_since.or(Some(now)) } else { None };
        let unchanged_for = now.duration_since(self.unchanged_since);
        let due_for = self.due_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        Stability { unchanged_for, due_for }
    }
}

fn share_tokens(limit: Tokens, share: u32) -> Tokens {
    limit * Tokens::from(share) / Tokens::from(FULL_SHARE_PERMILLE)
}
