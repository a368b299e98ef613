//! Terms of founders: which process may hand out a part of a program's budget without a record.
//!
//! A term names the processes that were live when it opened. The founder of a program is the one of
//! them with the highest hash of the pair; it alone may hand out the term's share of the budget of a
//! program that it does not know, without a durable record. Most programs end within that share and
//! cost no write. When most of a term's founders have been restarted, the next term opens, so programs
//! that begin later need no write again.
//!
//! A founder may have spent its share of any term, and nobody else can tell. So whoever draws from a
//! program's record counts the shares of all terms as spent that the record does not cover yet,
//! except those of founders that closed their books. Three rules keep the sum within the budget:
//!
//! * every write of a record names the last term and takes effect only while that is the last one;
//! * a term is announced before it opens. Between the two, the records are listed, and programs whose
//!   record leaves less than the new share are barred: they get no share of this term;
//! * the shares of all terms leave something to draw: each takes half of what those before it left.
//!
//! A term is forgotten when all of its founders have closed their books, and when it ended longer ago
//! than any program lasts. No term opens soon after many founders were lost with open books: their
//! shares and the new one, which nobody can tell apart, would leave too little of a new program's
//! budget, while a draw for each program costs calls only.

use crate::id::{ProgramId, Tokens, VmId};
use crate::members;
use crate::spend::Record;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Number of a term, from 1.
pub type Number = u32;
/// Number of a daemon's process.
pub type Incarnation = u64;

/// Largest share of a term, in thousandths of what a program may be handed in all.
///
/// Programs that end by themselves rarely need more, whether their founder is lost or not.
const MAX_SHARE: u32 = 400;
/// Smallest share that is worth a term; a turn's most is about as large.
const MIN_SHARE: u32 = 200;
/// Part of a term's founders, one in so many, that is left when the next term is due; as many may have
/// been lost with open books.
const FEW: usize = 4;
/// All that a program may be handed, in thousandths.
const WHOLE: u32 = 1_000;
/// Time for which the live daemons stay the same before a term is announced, so that daemons that
/// start together all become founders.
const SETTLED: Duration = Duration::from_secs(1);
/// Time after which a term that is due is announced although daemons still come and go, as they do
/// when they are restarted in turn.
const PATIENCE: Duration = Duration::from_secs(3);
/// Longest time between a program's first and last turn.
const PROGRAM_LIFE: Duration = Duration::from_secs(3_600);

/// A process that may hand out shares of a term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocator {
    /// Its VM.
    pub vm: VmId,
    /// Its process.
    pub incarnation: Incarnation,
}

/// One term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Its number.
    pub number: Number,
    /// Part of what a program may be handed in all, in thousandths.
    pub share: u32,
    /// When it was announced, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Whether its founders may hand out shares; before, it is only announced.
    pub open: bool,
    /// Its founders.
    #[serde(rename = "founders")]
    pub allocators: Vec<Allocator>,
    /// Programs that get no share.
    #[serde(rename = "barred")]
    pub excluded: IndexSet<ProgramId>,
}

impl Term {
    fn allocator(&self, program: &str) -> Option<&Allocator> {
        self.allocators.iter().max_by_key(|allocator| members::weight(&program, &allocator.vm))
    }
}

/// The terms that count, oldest first, as they are kept in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    terms: Vec<Term>,
}

/// The terms as a daemon believes them to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermView {
    /// The terms.
    pub terms: Terms,
    /// Revision of the key-value service at which they were written.
    pub revision: u64,
    /// Founders that have closed their books.
    pub closed: IndexSet<Incarnation>,
}

/// A founder that handed out no share to some program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusedShare {
    /// The founder.
    #[serde(rename = "founder")]
    pub allocator: Incarnation,
    /// The terms after this one are meant.
    pub after: Number,
}

/// Where a program that an owner does not know comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InitialAllowance {
    /// This process.
    pub process: Incarnation,
    /// The last term.
    pub term: Number,
    /// Tokens that this process may hand out without a record, as the program's founder.
    pub share_tokens: Tokens,
    /// Tokens that may have been handed out where no record exists, those of `share_tokens` included.
    pub unrecorded: Tokens,
}

/// Founders of a term that have not closed their books.
#[derive(Clone, Copy, Debug)]
struct OpenBooks {
    /// Those that live.
    here: usize,
    /// Those that do not.
    lost: usize,
}

/// What has to be done for the next term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Write these terms, the last of which is announced.
    Announce(Terms),
    /// List the records and open the term that is announced.
    Open,
}

impl Terms {
    /// Number of the last term; 0 before the first one.
    pub fn number(&self) -> Number {
        self.terms.last().map_or(0, |term| term.number)
    }

    /// Tells whether the last term is open.
    pub fn is_open(&self) -> bool {
        self.terms.last().is_some_and(|term| term.open)
    }

    /// Founders of all terms.
    pub fn allocators(&self) -> IndexSet<Incarnation> {
        let allocators = self.terms.iter().flat_map(|term| &term.allocators);
        allocators.map(|allocator| allocator.incarnation).collect()
    }

    /// The term whose founders may hand out shares.
    fn open(&self) -> Option<&Term> {
        self.terms.iter().rev().find(|term| term.open)
    }

    /// Opens the announced term; programs whose record leaves less than its share are barred.
    pub fn opened(&self, records: &[(ProgramId, Record)]) -> Self {
        let mut next = self.clone();
        let room = |record: &Record| {
            let limit = record.budget + record.max_tokens;
            let later = self.terms.iter().filter(|term| term.number > record.term);
            let shares: Tokens = later.map(|term| part(limit, term.share)).sum();
            record.drawn + shares <= limit
        };
        if let Some(term) = next.terms.last_mut() {
            let full = records.iter().filter(|(_, record)| !room(record));
            term.excluded = full.map(|(program, _)| program.clone()).collect();
            term.open = true;
        }
        next
    }
}

impl TermView {
    /// The founder of a program in the last open term.
    pub fn allocator(&self, program: &str) -> Option<&Allocator> {
        let term = self.terms.open().filter(|term| !term.excluded.contains(program))?;
        term.allocator(program)
    }

    /// Tells whether a founder has closed its books.
    pub fn is_closed(&self, allocator: &Allocator) -> bool {
        self.closed.contains(&allocator.incarnation)
    }

    /// Tokens that founders of the terms after `after` may have handed out to a program without a
    /// record, where it may be handed `limit` in all. `silent` names founders that did not.
    pub fn unrecorded(
        &self,
        program: &str,
        limit: Tokens,
        after: Number,
        silent: &[UnusedShare],
    ) -> Tokens {
        let is_silent = |term: &Term, allocator: &Allocator| {
            let mut own = silent.iter().filter(|silent| silent.allocator == allocator.incarnation);
            own.any(|silent| silent.after < term.number)
        };
        let later = self.terms.terms.iter().filter(|term| term.number > after);
        let spent = later.filter(|term| !term.excluded.contains(program)).filter(|term| {
            term.allocator(program)
                .is_some_and(|allocator| !self.is_closed(allocator) && !is_silent(term, allocator))
        });
        spent.map(|term| part(limit, term.share)).sum()
    }

    /// Tells where a program comes from that the process `me` does not know; `limit` is what it may be
    /// handed in all, and `silent` names founders that handed out nothing.
    pub fn initial_allowance(
        &self,
        program: &str,
        limit: Tokens,
        me: Incarnation,
        silent: &[UnusedShare],
    ) -> InitialAllowance {
        let own = self.allocator(program).is_some_and(|allocator| allocator.incarnation == me);
        let share = self.terms.open().map_or(0, |term| term.share);
        InitialAllowance {
            process: me,
            term: self.terms.number(),
            share_tokens: if own { part(limit, share) } else { 0 },
            unrecorded: self.unrecorded(program, limit, 0, silent),
        }
    }

    /// Tells whether a term is due: the last one has few founders left, or is only announced.
    pub fn is_due(&self, live: &[Allocator]) -> bool {
        let Some(last) = self.terms.terms.last().filter(|last| last.open) else {
            return true;
        };
        self.open_books(last, live).here * FEW <= last.allocators.len()
    }

    /// Tells whether many founders of the last term were lost with open books.
    fn lost_many(&self, live: &[Allocator]) -> bool {
        let lost_many =
            |last: &Term| self.open_books(last, live).lost * FEW > last.allocators.len();
        self.terms.terms.last().is_some_and(lost_many)
    }

    /// Counts the founders of a term that have not closed their books.
    fn open_books(&self, term: &Term, live: &[Allocator]) -> OpenBooks {
        let live: IndexSet<&Allocator> = live.iter().collect();
        let open = term.allocators.iter().filter(|allocator| !self.is_closed(allocator));
        let (here, lost): (Vec<&Allocator>, Vec<&Allocator>) =
            open.partition(|allocator| live.contains(allocator));
        OpenBooks { here: here.len(), lost: lost.len() }
    }

    /// Decides what has to be done for the next term while `live` are the live processes.
    pub fn next_step(&self, live: &[Allocator], calm: Stability, now_ms: u64) -> Step {
        let quiet = calm.unchanged_for >= SETTLED || calm.due_for >= PATIENCE;
        if live.is_empty() || !quiet || !self.is_due(live) {
            return Step::Wait;
        }
        if self.terms.terms.last().is_some_and(|last| !last.open) {
            return Step::Open;
        }
        let over = calm.due_for >= PROGRAM_LIFE;
        if self.lost_many(live) && !over {
            return Step::Wait;
        }
        self.announce(live, over, now_ms).map_or(Step::Wait, Step::Announce)
    }

    /// The terms with one more that is announced; `None` where too little is left for its share.
    ///
    /// `over` tells that the last term ended longer ago than any program lasts.
    pub fn announce(&self, live: &[Allocator], over: bool, now_ms: u64) -> Option<Terms> {
        let life = PROGRAM_LIFE.as_millis() as u64;
        let ended = |at: usize| match self.terms.terms.get(at + 1) {
            Some(next) => Some(next.since_ms + life),
            None => over.then_some(now_ms),
        };
        let counts = |at: usize, term: &Term| {
            let young = ended(at).is_none_or(|end| now_ms < end);
            young && term.allocators.iter().any(|allocator| !self.is_closed(allocator))
        };
        let kept = self.terms.terms.iter().enumerate().filter(|(at, term)| counts(*at, term));
        let mut terms: Vec<Term> = kept.map(|(_, term)| term.clone()).collect();
        let left = WHOLE.saturating_sub(terms.iter().map(|term| term.share).sum());
        let share = (left / 2).min(MAX_SHARE);
        if share < MIN_SHARE {
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

/// How calm the fleet is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stability {
    /// Time for which the live processes have been the same.
    pub unchanged_for: Duration,
    /// Time for which a term has been due.
    pub due_for: Duration,
}

impl Stability {
    /// The same as seen by a daemon that leaves `turn` to others.
    pub fn delayed_by(self, turn: Duration) -> Self {
        let Self { unchanged_for, due_for } = self;
        Self {
            unchanged_for: unchanged_for.saturating_sub(turn),
            due_for: due_for.saturating_sub(turn),
        }
    }
}

/// Watches how calm the fleet is.
#[derive(Clone, Debug)]
pub struct StabilityTracker {
    live: Vec<Allocator>,
    same_since: Instant,
    due_since: Option<Instant>,
}

impl StabilityTracker {
    /// Starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { live: Vec::new(), same_since: now, due_since: None }
    }

    /// Notes the live processes and whether a term is due.
    pub fn update(&mut self, live: &[Allocator], due: bool, now: Instant) -> Stability {
        if self.live != live {
            self.live = live.to_vec();
            self.same_since = now;
        }
        self.due_since = if due { self.due_since.or(Some(now)) } else { None };
        let unchanged_for = now.duration_since(self.same_since);
        let due_for = self.due_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        Stability { unchanged_for, due_for }
    }
}

fn part(limit: Tokens, share: u32) -> Tokens {
    limit * Tokens::from(share) / Tokens::from(WHOLE)
}
