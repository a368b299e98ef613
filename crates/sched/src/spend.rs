//! Budgets of programs whose turns arrive through many daemons.
//!
//! Each program has an owner among the live daemons, the one with the highest hash of the pair. A
//! daemon that serves a turn reserves the turn's longest answer at the owner and settles what was
//! really handed out. Daemons are lost, and views differ, so several owners may decide on one program
//! at the same time, none knowing of the others. What keeps the budget then is the durable record:
//!
//! * each program has one founder in each term (see [`crate::term`]), a process that alone may hand
//!   out the term's share of the budget without a record, so most programs cost no write;
//! * whatever else an owner lets run it has drawn from the record before, by compare-and-swap; the
//!   record starts with the shares of all terms as drawn, whether they were spent or not;
//! * a founder that stops closes its books: it records what its programs have spent, and from then on
//!   its shares of programs without a record count as not spent; the same holds for a program that
//!   its founder renounces;
//! * an owner counts what it lets run at its most until that is settled.
//!
//! So the shares and all draws together bound what is handed out, whoever owned the program and
//! however often it was lost. They may exceed the budget by one turn's most, of which only an owner
//! that took over makes use.
//!
//! Every reservation repeats what the serving daemon has handed out to the program in all. What a
//! daemon had handed out before it first asked an owner was let run by another one, and is paid for by
//! a founder's share or by that one's draws.
//!
//! An owner that does not know a program asks the member that owned it before, or stood in, and takes
//! over all that it knows.

use crate::admission::Stage;
use crate::id::{ProgramId, RequestId, Tokens, VmId};
use crate::term::{self, Incarnation, InitialAllowance, TermView, UnusedShare};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which a program that was given away is remembered.
const GIVEN_LIFE: Duration = Duration::from_secs(120);
/// Part of what a record leaves that one draw takes, unless more is needed.
///
/// The rest is for an owner that takes over and cannot know what was not spent.
const DRAW_SHARE: f64 = 0.5;
/// Largest part of all that may be handed out to a program which one draw takes, unless more is
/// needed.
const USUAL_SHARE: f64 = 0.4;
/// Time after which a reservation that was never settled is charged in full; its daemon is gone.
const RESERVATION_LIFE: Duration = Duration::from_secs(15);

/// The durable part of a program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The program's budget.
    pub budget: Tokens,
    /// Most tokens of one of its turns.
    #[serde(default, rename = "most")]
    pub max_tokens: Tokens,
    /// Tokens drawn by all owners, the shares of founders included.
    pub drawn: Tokens,
    /// The last term whose share is included.
    #[serde(default)]
    pub term: term::Number,
    /// Time after which the record may be deleted, in milliseconds since the Unix epoch.
    pub keep_until_ms: u64,
    /// The last draw, by which its owner finds that it took effect although its answer was lost.
    #[serde(default, rename = "last")]
    pub last_draw: Option<AppliedDraw>,
}

/// A draw that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedDraw {
    /// Process of the owner.
    pub owner: VmId,
    /// The owner's number of the draw.
    pub number: u32,
    /// Tokens drawn.
    pub tokens: Tokens,
}

/// A turn that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The program.
    pub program: ProgramId,
    /// Its budget.
    pub budget: Tokens,
    /// The turn's request.
    #[serde(rename = "request")]
    pub request_id: RequestId,
    /// Most tokens that the turn may generate.
    #[serde(rename = "most")]
    pub max_tokens: Tokens,
    /// Process of the daemon that serves the turn; a restarted daemon is another one.
    pub daemon: VmId,
    /// Tokens that this process has handed out to the program so far.
    pub handed_out: Tokens,
    /// Time for which a program that spent its budget stays stopped.
    pub retention: Duration,
}

/// What becomes of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// It is reserved and may run.
    Granted,
    /// The budget did not hold an earlier turn.
    Exhausted,
    /// The budget does not hold it, which is to be recorded.
    NewlyExhausted,
    /// More must be drawn from the durable record before it may run.
    Draw(Draw),
}

/// What the owner answers to the daemon that serves the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The turn is reserved; how far its program has come.
    Granted(Stage),
    /// The budget does not hold it.
    Exhausted,
    /// The owner needs the durable record and cannot reach it.
    Unknown,
}

/// Tokens to add to a program's durable record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// Tokens without which the turn cannot run.
    pub needed: Tokens,
    /// The owner's number of this draw; it stays the same until the outcome is known.
    pub number: u32,
    /// Tokens that may have been handed out where no record exists, up to the term `term`.
    pub unrecorded: Tokens,
    /// The last term that `unrecorded` covers.
    pub term: term::Number,
    /// The owner's process, and since when it knows the program; so it founds it in no later term.
    #[serde(rename = "silent")]
    pub unused_share: UnusedShare,
}

/// What an owner knows of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSummary {
    /// The program's budget.
    pub budget: Tokens,
    /// Tokens that were handed out, or may have been by daemons that are gone.
    pub spent: Tokens,
    /// Most tokens of the turns under way.
    pub reserved: Tokens,
    /// Tokens that may be known or reserved without a further draw.
    pub allowed: Tokens,
}

/// What an owner knows of a program and hands over as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holding {
    budget: Tokens,
    /// Most tokens of one of its turns.
    #[serde(rename = "most")]
    max_tokens: Tokens,
    /// Tokens that may have been handed out where no record exists, up to the term `term`.
    unrecorded: Tokens,
    /// The founder's share that is held here and that no record covers.
    free: Tokens,
    /// The last term that `unrecorded` covers.
    term: term::Number,
    /// Tokens handed out by each daemon's process.
    handed_out: IndexMap<VmId, Tokens>,
    /// Most tokens of turns whose daemons are gone.
    lost: Tokens,
    /// Tokens that may be handed out or reserved without a further draw.
    allowed: Tokens,
    /// Whether a turn was refused, which ends the program.
    stopped: bool,
    retention: Duration,
}

impl Holding {
    /// What a founder's books say of the program, of whose share `spent` tokens may be spent.
    fn books(&self, spent: Tokens) -> ShareUsage {
        let Self { budget, max_tokens, term, retention, free, .. } = *self;
        ShareUsage { budget, max_tokens, term, spent: spent.min(free), retention }
    }
}

/// What a founder that closes its books has handed out to a program without a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareUsage {
    budget: Tokens,
    max_tokens: Tokens,
    /// Term of the share.
    term: term::Number,
    /// Tokens of the share that are spent.
    spent: Tokens,
    retention: Duration,
}

impl ShareUsage {
    /// The record that follows `found` when the founder `me` closes its books; `None` where `found`
    /// counts the whole share already.
    pub fn record_after_close(
        &self,
        program: &str,
        found: Option<&Record>,
        roll: &TermView,
        me: Incarnation,
        now_ms: u64,
    ) -> Option<Record> {
        let (drawn, after) = found.map_or((0, 0), |record| (record.drawn, record.term));
        if found.is_some() && after >= self.term {
            return None;
        }
        let limit = self.budget + self.max_tokens;
        let unused_share = UnusedShare { allocator: me, after: 0 };
        let others = roll.unrecorded(program, limit, after, &[unused_share]);
        Some(Record {
            budget: self.budget,
            max_tokens: self.max_tokens,
            drawn: drawn + others + self.spent,
            term: roll.terms.number(),
            keep_until_ms: now_ms + self.retention.as_millis() as u64,
            last_draw: None,
        })
    }
}

/// All that an owner knows of a program, for the owner that takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSnapshot {
    holding: Holding,
    reserved: IndexMap<RequestId, Tokens>,
}

/// What the member that is asked leaves to a program's next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// All that it knew.
    Account(Box<AccountSnapshot>),
    /// It knew nothing.
    Nothing,
    /// It is the founder, knew nothing, and will let nothing run without a draw.
    Renounced,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    max_tokens: Tokens,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Account {
    holding: Holding,
    reservations: IndexMap<RequestId, Reservation>,
    /// Number of the draw whose outcome is not known.
    drawing: Option<u32>,
    /// The last term when this process came to know the program.
    since: term::Number,
    used: Instant,
}

impl Account {
    /// Tokens that were handed out, or may have been.
    fn known(&self) -> Tokens {
        self.holding.handed_out.values().sum::<Tokens>() + self.holding.lost
    }

    fn reserved(&self) -> Tokens {
        self.reservations.values().map(|reservation| reservation.max_tokens).sum()
    }

    /// Notes what a daemon's process has handed out.
    fn declare(&mut self, daemon: &str, handed_out: Tokens) {
        if let Some(counted) = self.holding.handed_out.get_mut(daemon) {
            *counted = (*counted).max(handed_out);
            return;
        }
        // Another owner let this run, so it is paid for.
        self.holding.allowed += handed_out;
        self.holding.handed_out.insert(daemon.into(), handed_out);
    }

    /// Charges reservations whose daemon is gone: their turns may have handed out their most.
    fn charge_overdue(&mut self, now: Instant) {
        let overdue = |held: &Reservation| now.duration_since(held.since) >= RESERVATION_LIFE;
        let lost: Tokens = self
            .reservations
            .values()
            .filter(|held| overdue(held))
            .map(|held| held.max_tokens)
            .sum();
        self.holding.lost += lost;
        self.reservations.retain(|_, held| !overdue(held));
    }
}

fn share(budget: Tokens, share: f64) -> Tokens {
    (budget as f64 * share) as Tokens
}

/// Tokens that all owners together may let run.
pub fn limit(ask: &ReservationRequest) -> Tokens {
    ask.budget + ask.max_tokens
}

/// Computes the record that follows `found` when `owner` draws more for the ask's program, and the
/// tokens drawn.
///
/// A draw that has taken effect already changes nothing. Returns `None` when the record leaves less
/// than is needed.
pub fn record_after_draw(
    ask: &ReservationRequest,
    owner: &VmId,
    found: Option<Record>,
    draw: Draw,
    roll: &TermView,
    now_ms: u64,
) -> Option<(Record, Tokens)> {
    let done = found.as_ref().and_then(|record| record.last_draw.as_ref());
    if let Some(tokens) = done
        .filter(|done| done.owner == *owner && done.number == draw.number)
        .map(|done| done.tokens)
    {
        return found.map(|record| (record, tokens));
    }
    let (covered, term) =
        found.map_or((draw.unrecorded, draw.term), |record| (record.drawn, record.term));
    let before = covered + roll.unrecorded(&ask.program, limit(ask), term, &[draw.unused_share]);
    let left = limit(ask).saturating_sub(before);
    // As much as a founder has spares most programs a second draw.
    let usual = share(left, DRAW_SHARE).min(share(limit(ask), USUAL_SHARE));
    let tokens = draw.needed.max(usual).min(left);
    let done = AppliedDraw { owner: owner.clone(), number: draw.number, tokens };
    let record = Record {
        budget: ask.budget,
        max_tokens: ask.max_tokens,
        drawn: before + tokens,
        term: roll.terms.number(),
        keep_until_ms: keep_until(ask, now_ms),
        last_draw: Some(done),
    };
    (tokens >= draw.needed).then_some((record, tokens))
}

/// The record that follows `found` and lets no later owner draw for the ask's program.
pub fn record_after_stop(
    ask: &ReservationRequest,
    found: Option<&Record>,
    roll: &TermView,
    now_ms: u64,
) -> Record {
    let covered = found.map_or(0, |record| {
        // A share that does not fit has to show, so that a term that is announced bars the program.
        record.drawn + roll.unrecorded(&ask.program, limit(ask), record.term, &[])
    });
    Record {
        budget: ask.budget,
        max_tokens: ask.max_tokens,
        drawn: covered.max(limit(ask)),
        term: roll.terms.number(),
        keep_until_ms: keep_until(ask, now_ms),
        last_draw: None,
    }
}

fn keep_until(ask: &ReservationRequest, now_ms: u64) -> u64 {
    now_ms + ask.retention.as_millis() as u64
}

/// A program that was given to another owner.
#[derive(Clone, Debug)]
struct Given {
    until: Instant,
    /// What the other owner may have spent of the founder's share.
    books: Option<ShareUsage>,
}

/// Accounts of the programs that this daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: IndexMap<ProgramId, Account>,
    /// Programs that were given to another owner; they may come back, but not as new ones.
    given: IndexMap<ProgramId, Given>,
    /// Draws that were begun.
    draws: u32,
    /// Whether this process has closed its books.
    closed: bool,
}

impl Ledger {
    /// Closes the books: from now on nothing runs without a draw.
    ///
    /// Returns what programs have spent of the founder's shares.
    pub fn close(&mut self) -> Vec<(ProgramId, ShareUsage)> {
        self.closed = true;
        let mut all = Vec::new();
        for (program, account) in
            self.accounts.iter_mut().filter(|(_, account)| account.holding.free > 0)
        {
            let spent = account.known() + account.reserved();
            let books = account.holding.books(spent);
            let holding = &mut account.holding;
            holding.allowed = holding.allowed.min(spent);
            holding.unrecorded = holding.unrecorded.saturating_sub(holding.free) + books.spent;
            holding.free = 0;
            all.push((program.clone(), books));
        }
        for (program, given) in &mut self.given {
            if let Some(books) = given.books.take() {
                all.push((program.clone(), books));
            }
        }
        all
    }

    /// Decides on a turn; `origin` tells where a program comes from that is not known.
    pub fn reserve(
        &mut self,
        ask: &ReservationRequest,
        origin: InitialAllowance,
        now: Instant,
    ) -> ReserveOutcome {
        let free = if self.may_use_share(&ask.program, origin) { origin.share_tokens } else { 0 };
        let account = self.accounts.entry(ask.program.clone()).or_insert_with(|| Account {
            holding: Holding {
                budget: ask.budget,
                max_tokens: ask.max_tokens,
                unrecorded: origin.unrecorded,
                free,
                term: origin.term,
                handed_out: IndexMap::new(),
                lost: 0,
                allowed: free,
                stopped: false,
                retention: ask.retention,
            },
            reservations: IndexMap::new(),
            drawing: None,
            since: origin.term,
            used: now,
        });
        account.used = now;
        account.charge_overdue(now);
        account.declare(&ask.daemon, ask.handed_out);
        if account.holding.stopped {
            return ReserveOutcome::Exhausted;
        }
        let known = account.known() + account.reserved() + ask.max_tokens;
        if known > account.holding.budget {
            account.holding.stopped = true;
            return ReserveOutcome::NewlyExhausted;
        }
        if known > account.holding.allowed {
            let needed = known - account.holding.allowed;
            let number = *account.drawing.get_or_insert_with(|| {
                self.draws += 1;
                self.draws
            });
            let Holding { unrecorded, term, .. } = account.holding;
            let unused_share = UnusedShare { allocator: origin.process, after: account.since };
            return ReserveOutcome::Draw(Draw { needed, number, unrecorded, term, unused_share });
        }
        let reservation = Reservation { max_tokens: ask.max_tokens, since: now };
        account.reservations.insert(ask.request_id.clone(), reservation);
        ReserveOutcome::Granted
    }

    /// Tells whether this process may hand out a founder's share to a program that is not known here.
    pub fn may_use_share(&self, program: &str, origin: InitialAllowance) -> bool {
        origin.share_tokens > 0 && !self.closed && !self.given.contains_key(program)
    }

    /// Tells whether the owner knows a program already.
    pub fn contains(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Gives a program away to the owner that asks for it.
    ///
    /// `founder` tells that this daemon is the program's founder.
    pub fn transfer(&mut self, program: &str, allocator: bool, now: Instant) -> Transfer {
        let Some(account) = self.accounts.swap_remove(program) else {
            // Who got a part of the share may be spending it.
            let given = self.given.get(program).is_some_and(|given| given.books.is_some());
            if allocator && !self.closed && !given {
                let given = Given { until: now + GIVEN_LIFE, books: None };
                self.given.entry(program.into()).or_insert(given);
                return Transfer::Renounced;
            }
            return Transfer::Nothing;
        };
        let free = account.holding.free;
        let books = (free > 0).then(|| account.holding.books(free));
        let until = now + account.holding.retention.max(GIVEN_LIFE);
        let before = self.given.swap_remove(program).and_then(|given| given.books);
        self.given.insert(program.into(), Given { until, books: books.or(before) });
        let reserved = account.reservations.into_iter().map(|(id, held)| (id, held.max_tokens));
        let inheritance =
            AccountSnapshot { holding: account.holding, reserved: reserved.collect() };
        Transfer::Account(Box::new(inheritance))
    }

    /// Takes a program over, while `since` is the last term, from the owner that knew it.
    pub fn take_over(
        &mut self,
        program: ProgramId,
        from: AccountSnapshot,
        since: term::Number,
        now: Instant,
    ) {
        if self.contains(&program) {
            // What would have been inherited counts as spent.
            return;
        }
        let reserved = from.reserved.into_iter();
        let reservations =
            reserved.map(|(id, max_tokens)| (id, Reservation { max_tokens, since: now }));
        let account = Account {
            holding: from.holding,
            reservations: reservations.collect(),
            drawing: None,
            since,
            used: now,
        };
        self.accounts.insert(program, account);
    }

    /// Notes a draw of `tokens` that is durable.
    pub fn apply_draw(&mut self, program: &str, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.holding.allowed += tokens;
            account.holding.free = 0;
            account.drawing = None;
        }
    }

    /// Notes that the record leaves nothing to draw.
    pub fn mark_exhausted(&mut self, program: &str) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.holding.stopped = true;
        }
    }

    /// How far a program has come, of which a turn has just been reserved.
    ///
    /// A program whose former owner was lost with all that it knew counts as one that begins.
    pub fn stage(&self, program: &str) -> Stage {
        let begins = |account: &Account| account.known() == 0 && account.reservations.len() <= 1;
        match self.accounts.get(program).is_some_and(begins) {
            true => Stage::Begins,
            false => Stage::Continues,
        }
    }

    /// What is known of a program, for a log line.
    pub fn summary(&self, program: &str) -> Option<AccountSummary> {
        let account = self.accounts.get(program)?;
        Some(AccountSummary {
            budget: account.holding.budget,
            spent: account.known(),
            reserved: account.reserved(),
            allowed: account.holding.allowed,
        })
    }

    /// Settles a turn: `daemon` has handed out `handed_out` tokens to the program in all.
    pub fn settle(&mut self, program: &str, request: &str, daemon: &str, handed_out: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.reservations.swap_remove(request);
            account.declare(daemon, handed_out);
        }
    }

    /// Drops programs that have been quiet for longer than their retention.
    pub fn sweep(&mut self, now: Instant) {
        self.accounts
            .retain(|_, account| now.duration_since(account.used) <= account.holding.retention);
        self.given.retain(|_, given| now < given.until);
    }
}
