//! Token budgets of programs whose turns arrive through many daemons.
//!
//! Each program has an owner among the live daemons: the one with the highest hash of program and
//! daemon. The daemon that serves a turn reserves the turn's maximum number of tokens at the owner
//! and settles the number that it actually handed out. Daemons fail and their views of the
//! membership differ, so several owners may decide on one program at the same time without knowing
//! of each other. A durable record per program keeps the total within the budget:
//!
//! * In each term (see [`crate::term`]), a program has one allocator, a process that alone may hand
//!   out the term's share of the budget without a record. Most programs therefore cost no write.
//! * An owner draws everything else from the record, by compare-and-swap, before it grants a turn.
//!   A new record counts the shares of all terms as drawn, whether or not they were spent.
//! * An allocator that stops closes its ledger: it records what its programs have spent. From then
//!   on, its shares of programs without a record count as unspent. The same holds for a program
//!   whose share the allocator has released.
//! * An owner counts each granted turn at its maximum until the turn is settled.
//!
//! The shares and all draws together therefore bound the tokens handed out, no matter which daemons
//! owned the program and how many of them were lost. The bound exceeds the budget by at most the
//! maximum of one turn, and only an owner that took the program over uses that excess.
//!
//! Each reservation repeats the total that the serving daemon has handed out to the program. What a
//! daemon handed out before its first request to this owner was granted by another owner, and is
//! covered by an allocator's share or by the draws of that owner.
//!
//! An allocator must never take a program that it has forgotten for a new one: it remembers for the
//! lifetime of a program which accounts it has dropped or transferred, and draws for these programs.
//! The record then says how much is left, or that the program is stopped.
//!
//! An owner that does not know a program asks the previous owner, or the one that replaced it in
//! the meantime, and takes over its account.

use crate::admission::Stage;
use crate::id::{ProgramId, RequestId, Tokens, VmId};
use crate::term::{
    self, Incarnation, InitialAllowance, MAX_PROGRAM_LIFETIME, TermView, UnusedShare,
};
use compact_str::format_compact;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Maximum number of forgotten programs in one generation, see [`Forgotten`]. Beyond it, all unknown
/// programs draw.
const MAX_FORGOTTEN: usize = 100_000;
/// Idle time after which a daemon drops the count of a program; longer than any turn.
const COUNT_TTL: Duration = Duration::from_secs(120);
/// Fraction of a record's remaining tokens that one draw takes, unless the turn needs more.
///
/// The rest is left for an owner that takes over and cannot tell which drawn tokens were not spent.
const DRAW_FRACTION: f64 = 0.5;
/// Upper bound of one draw as a fraction of the program's limit, unless the turn needs more.
const MAX_USUAL_DRAW_FRACTION: f64 = 0.4;
/// Time after which an unsettled reservation is charged in full, because its daemon is gone.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Durable record of a program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The program's budget.
    pub budget: Tokens,
    /// Maximum number of tokens of one of its turns.
    #[serde(default, rename = "most")]
    pub max_tokens: Tokens,
    /// Tokens drawn by all owners, including the shares of allocators.
    pub drawn: Tokens,
    /// Last term whose share is included in `drawn`.
    #[serde(default)]
    pub term: term::Number,
    /// Time after which the record may be deleted, in milliseconds since the Unix epoch.
    pub keep_until_ms: u64,
    /// Last draw. It shows an owner that lost the reply whether its draw took effect.
    #[serde(default, rename = "last")]
    pub last_draw: Option<AppliedDraw>,
}

/// Draw that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedDraw {
    /// Process of the owner that made the draw.
    pub owner: VmId,
    /// Number that the owner gave to the draw.
    pub number: u32,
    /// Tokens drawn.
    pub tokens: Tokens,
}

/// Request to reserve the tokens of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// Program of the turn.
    pub program: ProgramId,
    /// Budget of the program.
    pub budget: Tokens,
    /// Request that carries the turn.
    #[serde(rename = "request")]
    pub request_id: RequestId,
    /// Maximum number of tokens that the turn may generate.
    #[serde(rename = "most")]
    pub max_tokens: Tokens,
    /// Process of the daemon that serves the turn. A restarted daemon counts as a new process.
    pub daemon: VmId,
    /// Tokens that this process has handed out to the program so far.
    pub handed_out: Tokens,
    /// Time for which a program stays stopped after it exhausted its budget.
    pub retention: Duration,
}

/// Outcome of [`Ledger::reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The turn is reserved and may run.
    Granted,
    /// The program is stopped, because an earlier turn exceeded the budget.
    Exhausted,
    /// The turn exceeds the budget. The program is now stopped, which the caller must record.
    NewlyExhausted,
    /// More tokens must be drawn from the durable record before the turn may run.
    Draw(Draw),
}

/// Owner's reply to the daemon that serves the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The turn is reserved; contains the program's stage.
    Granted(Stage),
    /// The turn exceeds the budget.
    Exhausted,
    /// The owner needs the durable record but cannot reach it.
    Unknown,
}

/// Request to draw tokens from a program's durable record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// Minimum number of tokens that the turn needs to run.
    pub needed: Tokens,
    /// Number that the owner gave to this draw. A retry keeps it until the outcome is known.
    pub number: u32,
    /// Tokens that may have been handed out without a record, up to and including term `term`.
    pub unrecorded: Tokens,
    /// Last term that `unrecorded` covers.
    pub term: term::Number,
    /// The owner's process and the last term when it opened or took over the program's account. The
    /// process uses no share of a later term for this program.
    #[serde(rename = "silent")]
    pub unused_share: UnusedShare,
}

/// Summary of an owner's account of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSummary {
    /// The program's budget.
    pub budget: Tokens,
    /// Tokens that were handed out, or may have been by daemons that are gone.
    pub spent: Tokens,
    /// Maximum number of tokens of all running turns together.
    pub reserved: Tokens,
    /// Tokens that may be spent or reserved without a further draw.
    pub allowed: Tokens,
}

/// Part of an account that is transferred unchanged to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AccountState {
    budget: Tokens,
    /// Maximum number of tokens of one of its turns.
    #[serde(rename = "most")]
    max_tokens: Tokens,
    /// Tokens that may have been handed out without a record, up to and including term `term`.
    unrecorded: Tokens,
    /// Allocator's share held by this account that no record covers.
    #[serde(rename = "free")]
    share_tokens: Tokens,
    /// Last term that `unrecorded` covers.
    term: term::Number,
    /// Tokens handed out by each daemon process.
    handed_out: IndexMap<VmId, Tokens>,
    /// Tokens reserved for turns whose daemons are gone.
    lost: Tokens,
    /// Tokens that may be handed out or reserved without a further draw.
    allowed: Tokens,
    /// Whether a turn was refused, which stops the program.
    stopped: bool,
    /// Whether the program has a durable record.
    recorded: bool,
    retention: Duration,
}

impl AccountState {
    /// Returns the usage of the allocator's share if up to `spent` tokens of the program were
    /// spent.
    fn share_usage(&self, spent: Tokens) -> ShareUsage {
        let Self { budget, max_tokens, term, retention, share_tokens, .. } = *self;
        ShareUsage { budget, max_tokens, term, spent: spent.min(share_tokens), retention }
    }
}

/// Usage of an allocator's share by a program without a record, reported when the ledger closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareUsage {
    budget: Tokens,
    max_tokens: Tokens,
    /// Term of the share.
    term: term::Number,
    /// Spent tokens of the share.
    spent: Tokens,
    retention: Duration,
}

impl ShareUsage {
    /// Returns the record that replaces `found` when the allocator `process` closes its ledger, or
    /// `None` if `found` already counts the whole share.
    pub fn record_after_close(
        &self,
        program: &str,
        found: Option<&Record>,
        view: &TermView,
        process: Incarnation,
        now_ms: u64,
    ) -> Option<Record> {
        let (drawn, last_term) = found.map_or((0, 0), |record| (record.drawn, record.term));
        if found.is_some() && last_term >= self.term {
            return None;
        }
        let limit = self.budget + self.max_tokens;
        let unused_share = UnusedShare { allocator: process, after: 0 };
        let unrecorded = view.unrecorded(program, limit, last_term, &[unused_share]);
        Some(Record {
            budget: self.budget,
            max_tokens: self.max_tokens,
            drawn: drawn + unrecorded + self.spent,
            term: view.terms.number(),
            keep_until_ms: now_ms + self.retention.as_millis() as u64,
            last_draw: None,
        })
    }
}

/// Account of a program, for transfer to its next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSnapshot {
    #[serde(rename = "holding")]
    state: AccountState,
    reserved: IndexMap<RequestId, Tokens>,
}

/// Reply of a former owner to the program's next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// The account of the former owner.
    Account(Box<AccountSnapshot>),
    /// The former owner does not know the program.
    Nothing,
    /// The former owner is the program's allocator and does not know the program. It releases its
    /// share: from now on it grants the program nothing without a draw.
    #[serde(rename = "Renounced")]
    ShareReleased,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    max_tokens: Tokens,
    reserved_at: Instant,
}

#[derive(Clone, Debug)]
struct Account {
    state: AccountState,
    reservations: IndexMap<RequestId, Reservation>,
    /// Number of the draw whose outcome is unknown.
    pending_draw: Option<u32>,
    /// Last term when this process opened or took over the account.
    known_since: term::Number,
    last_used: Instant,
    /// Time at which this process last wrote the program's record.
    record_written_at: Option<Instant>,
}

impl Account {
    /// Returns the tokens that were, or may have been, handed out.
    fn spent(&self) -> Tokens {
        self.state.handed_out.values().sum::<Tokens>() + self.state.lost
    }

    fn reserved(&self) -> Tokens {
        self.reservations.values().map(|reservation| reservation.max_tokens).sum()
    }

    /// Updates the total that a daemon process has handed out.
    fn update_handed_out(&mut self, daemon: &str, handed_out: Tokens) {
        if let Some(counted) = self.state.handed_out.get_mut(daemon) {
            *counted = (*counted).max(handed_out);
            return;
        }
        // Another owner granted these tokens, so a share or a draw already covers them.
        self.state.allowed += handed_out;
        self.state.handed_out.insert(daemon.into(), handed_out);
    }

    /// Charges expired reservations in full: their daemons are gone and may have handed out the
    /// maximum.
    fn charge_expired(&mut self, now: Instant) {
        let expired = |reservation: &Reservation| {
            now.duration_since(reservation.reserved_at) >= RESERVATION_TIMEOUT
        };
        let lost: Tokens = self
            .reservations
            .values()
            .filter(|reservation| expired(reservation))
            .map(|reservation| reservation.max_tokens)
            .sum();
        self.state.lost += lost;
        self.reservations.retain(|_, reservation| !expired(reservation));
    }
}

fn fraction_of(tokens: Tokens, fraction: f64) -> Tokens {
    (tokens as f64 * fraction) as Tokens
}

/// Returns the maximum number of tokens that all owners together may grant to the program.
pub fn limit(request: &ReservationRequest) -> Tokens {
    request.budget + request.max_tokens
}

/// Returns the record that replaces `found` after `owner` draws for the requested turn, and the
/// number of tokens drawn.
///
/// A draw that already took effect leaves the record unchanged. Returns `None` if the record has
/// fewer tokens left than the draw needs.
pub fn record_after_draw(
    request: &ReservationRequest,
    owner: &VmId,
    found: Option<Record>,
    draw: Draw,
    view: &TermView,
    now_ms: u64,
) -> Option<(Record, Tokens)> {
    let last_draw = found.as_ref().and_then(|record| record.last_draw.as_ref());
    if let Some(tokens) = last_draw
        .filter(|last| last.owner == *owner && last.number == draw.number)
        .map(|last| last.tokens)
    {
        return found.map(|record| (record, tokens));
    }
    let (covered, term) =
        found.map_or((draw.unrecorded, draw.term), |record| (record.drawn, record.term));
    let already_drawn =
        covered + view.unrecorded(&request.program, limit(request), term, &[draw.unused_share]);
    let remaining = limit(request).saturating_sub(already_drawn);
    // A draw as large as an allocator's share saves most programs a second one.
    let usual_draw = fraction_of(remaining, DRAW_FRACTION)
        .min(fraction_of(limit(request), MAX_USUAL_DRAW_FRACTION));
    let tokens = draw.needed.max(usual_draw).min(remaining);
    let applied = AppliedDraw { owner: owner.clone(), number: draw.number, tokens };
    let record = Record {
        budget: request.budget,
        max_tokens: request.max_tokens,
        drawn: already_drawn + tokens,
        term: view.terms.number(),
        keep_until_ms: keep_until_ms(request, now_ms),
        last_draw: Some(applied),
    };
    (tokens >= draw.needed).then_some((record, tokens))
}

/// Returns the record that replaces `found` and leaves later owners of the program nothing to draw.
pub fn record_after_stop(
    request: &ReservationRequest,
    found: Option<&Record>,
    view: &TermView,
    now_ms: u64,
) -> Record {
    let already_drawn = found.map_or(0, |record| {
        // May exceed the limit: the excess makes an announced term exclude the program when it
        // opens.
        record.drawn + view.unrecorded(&request.program, limit(request), record.term, &[])
    });
    Record {
        budget: request.budget,
        max_tokens: request.max_tokens,
        drawn: already_drawn.max(limit(request)),
        term: view.terms.number(),
        keep_until_ms: keep_until_ms(request, now_ms),
        last_draw: None,
    }
}

/// Returns a record that is kept for `retention` from now on, or as long as before if that is longer.
pub fn record_kept(record: &Record, retention: Duration, now_ms: u64) -> Record {
    let keep_until_ms = record.keep_until_ms.max(now_ms + retention.as_millis() as u64);
    Record { keep_until_ms, ..record.clone() }
}

fn keep_until_ms(request: &ReservationRequest, now_ms: u64) -> u64 {
    now_ms + request.retention.as_millis() as u64
}

/// Program that was transferred to another owner.
#[derive(Clone, Debug)]
struct Transferred {
    until: Instant,
    /// Part of the allocator's share that the other owner may have spent.
    usage: Option<ShareUsage>,
}

/// Programs whose accounts were dropped.
///
/// Two generations, each of them one program lifetime long, bound the memory and drop old programs
/// at a constant cost.
#[derive(Clone, Debug, Default)]
struct Forgotten {
    current: IndexSet<ProgramId>,
    previous: IndexSet<ProgramId>,
    /// Time at which the current generation began.
    began_at: Option<Instant>,
}

impl Forgotten {
    fn insert(&mut self, program: ProgramId) {
        if self.current.len() < MAX_FORGOTTEN {
            self.current.insert(program);
        }
    }

    /// Returns whether the program may have had an account.
    fn may_contain(&self, program: &str) -> bool {
        let is_full = |generation: &IndexSet<ProgramId>| generation.len() >= MAX_FORGOTTEN;
        let generations = [&self.current, &self.previous];
        generations.into_iter().any(|found| is_full(found) || found.contains(program))
    }

    fn sweep(&mut self, now: Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        if now.saturating_duration_since(began_at) >= MAX_PROGRAM_LIFETIME {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = Some(now);
        }
    }
}

/// Accounts of the programs that this daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: IndexMap<ProgramId, Account>,
    /// Programs that were transferred to another owner. They may be transferred back, but do
    /// not count as new.
    transferred: IndexMap<ProgramId, Transferred>,
    /// Programs that had an account and do not count as new either.
    forgotten: Forgotten,
    /// Number of the last draw that was started.
    last_draw_number: u32,
    /// Whether this process has closed its ledger.
    closed: bool,
}

impl Ledger {
    /// Closes the ledger: from now on no turn is granted without a draw.
    ///
    /// Returns how much of the allocator's shares the programs have spent.
    pub fn close(&mut self) -> Vec<(ProgramId, ShareUsage)> {
        self.closed = true;
        let transferred = self.transferred.iter_mut();
        let mut usages: IndexMap<ProgramId, ShareUsage> = transferred
            .filter_map(|(program, transferred)| Some((program.clone(), transferred.usage.take()?)))
            .collect();
        for (program, account) in
            self.accounts.iter_mut().filter(|(_, account)| account.state.share_tokens > 0)
        {
            let committed = account.spent() + account.reserved();
            let usage = account.state.share_usage(committed);
            let state = &mut account.state;
            state.allowed = state.allowed.min(committed);
            state.unrecorded = state.unrecorded.saturating_sub(state.share_tokens) + usage.spent;
            state.share_tokens = 0;
            usages.insert(program.clone(), usage);
        }
        usages.into_iter().collect()
    }

    /// Decides whether a turn may run. `allowance` opens the account of an unknown program.
    pub fn reserve(
        &mut self,
        request: &ReservationRequest,
        allowance: InitialAllowance,
        now: Instant,
    ) -> ReserveOutcome {
        let share_tokens = if self.may_use_share(&request.program, allowance) {
            allowance.share_tokens
        } else {
            0
        };
        let account = self.accounts.entry(request.program.clone()).or_insert_with(|| Account {
            state: AccountState {
                budget: request.budget,
                max_tokens: request.max_tokens,
                unrecorded: allowance.unrecorded,
                share_tokens,
                term: allowance.term,
                handed_out: IndexMap::new(),
                lost: 0,
                allowed: share_tokens,
                stopped: false,
                recorded: false,
                retention: request.retention,
            },
            reservations: IndexMap::new(),
            pending_draw: None,
            known_since: allowance.term,
            last_used: now,
            record_written_at: None,
        });
        account.last_used = now;
        account.charge_expired(now);
        account.update_handed_out(&request.daemon, request.handed_out);
        if account.state.stopped {
            return ReserveOutcome::Exhausted;
        }
        let committed = account.spent() + account.reserved() + request.max_tokens;
        if committed > account.state.budget {
            account.state.stopped = true;
            account.state.recorded = true;
            account.record_written_at = Some(now);
            return ReserveOutcome::NewlyExhausted;
        }
        if committed > account.state.allowed {
            let needed = committed - account.state.allowed;
            let number = *account.pending_draw.get_or_insert_with(|| {
                self.last_draw_number += 1;
                self.last_draw_number
            });
            let AccountState { unrecorded, term, .. } = account.state;
            let unused_share =
                UnusedShare { allocator: allowance.process, after: account.known_since };
            return ReserveOutcome::Draw(Draw { needed, number, unrecorded, term, unused_share });
        }
        let reservation = Reservation { max_tokens: request.max_tokens, reserved_at: now };
        account.reservations.insert(request.request_id.clone(), reservation);
        ReserveOutcome::Granted
    }

    /// Returns whether this process may use the allocator's share for a program without an account.
    pub fn may_use_share(&self, program: &str, allowance: InitialAllowance) -> bool {
        allowance.share_tokens > 0
            && !self.closed
            && !self.transferred.contains_key(program)
            && !self.forgotten.may_contain(program)
    }

    /// Returns whether the ledger has an account of the program.
    pub fn contains(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Transfers a program to the owner that asks for it.
    ///
    /// `is_allocator` states that this process is the program's allocator.
    pub fn transfer(&mut self, program: &str, is_allocator: bool, now: Instant) -> Transfer {
        let Some(account) = self.accounts.swap_remove(program) else {
            // The owner that received the share may be spending it.
            let transferred = self
                .transferred
                .get(program)
                .is_some_and(|transferred| transferred.usage.is_some());
            if is_allocator && !self.closed && !transferred {
                let transferred = Transferred { until: now + MAX_PROGRAM_LIFETIME, usage: None };
                self.transferred.entry(program.into()).or_insert(transferred);
                return Transfer::ShareReleased;
            }
            return Transfer::Nothing;
        };
        let share_tokens = account.state.share_tokens;
        let usage = (share_tokens > 0).then(|| account.state.share_usage(share_tokens));
        let until = now + MAX_PROGRAM_LIFETIME;
        let earlier_usage =
            self.transferred.swap_remove(program).and_then(|transferred| transferred.usage);
        self.transferred
            .insert(program.into(), Transferred { until, usage: usage.or(earlier_usage) });
        let reserved =
            account.reservations.into_iter().map(|(id, reservation)| (id, reservation.max_tokens));
        let snapshot = AccountSnapshot { state: account.state, reserved: reserved.collect() };
        Transfer::Account(Box::new(snapshot))
    }

    /// Takes a program over from its former owner, while `current_term` is the last term.
    ///
    /// Ignores the snapshot if the ledger already has an account of the program.
    pub fn take_over(
        &mut self,
        program: ProgramId,
        snapshot: AccountSnapshot,
        current_term: term::Number,
        now: Instant,
    ) {
        if self.contains(&program) {
            // The tokens in the ignored snapshot count as spent.
            return;
        }
        let reserved = snapshot.reserved.into_iter();
        let reservations =
            reserved.map(|(id, max_tokens)| (id, Reservation { max_tokens, reserved_at: now }));
        let account = Account {
            state: snapshot.state,
            reservations: reservations.collect(),
            pending_draw: None,
            known_since: current_term,
            last_used: now,
            record_written_at: None,
        };
        self.accounts.insert(program, account);
    }

    /// Adds a durable draw of `tokens` to what the program may spend.
    pub fn apply_draw(&mut self, program: &str, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.state.allowed += tokens;
            account.state.share_tokens = 0;
            account.state.recorded = true;
            account.pending_draw = None;
            account.record_written_at = Some(account.last_used);
        }
    }

    /// Stops a program whose record has too few tokens left for a draw.
    pub fn mark_exhausted(&mut self, program: &str) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.state.stopped = true;
            account.state.recorded = true;
        }
    }

    /// Returns the programs in use whose records would expire soon, with their retention.
    ///
    /// The caller writes the records again ([`record_kept`]): a record that is deleted while its
    /// program still runs would be taken for one that never was. Programs that end within their
    /// retention cost no write.
    pub fn due_records(&mut self, now: Instant) -> Vec<(ProgramId, Duration)> {
        let mut due = Vec::new();
        for (program, account) in self.accounts.iter_mut().filter(|(_, found)| found.state.recorded)
        {
            let retention = account.state.retention;
            let written = account.record_written_at;
            if written.is_none_or(|at| now.saturating_duration_since(at) >= retention) {
                account.record_written_at = Some(now);
                due.push((program.clone(), retention));
            }
        }
        due
    }

    /// Records that the record of a program could not be written.
    pub fn retry_record(&mut self, program: &str) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.record_written_at = None;
        }
    }

    /// Returns the stage of a program right after one of its turns was reserved.
    ///
    /// A program whose former owner was lost together with its account counts as a new one.
    pub fn stage(&self, program: &str) -> Stage {
        let is_new = |account: &Account| account.spent() == 0 && account.reservations.len() <= 1;
        match self.accounts.get(program).is_some_and(is_new) {
            true => Stage::Begins,
            false => Stage::Continues,
        }
    }

    /// Returns a summary of the program's account, for a log line.
    pub fn summary(&self, program: &str) -> Option<AccountSummary> {
        let account = self.accounts.get(program)?;
        Some(AccountSummary {
            budget: account.state.budget,
            spent: account.spent(),
            reserved: account.reserved(),
            allowed: account.state.allowed,
        })
    }

    /// Settles a turn: `daemon` has handed out `handed_out` tokens to the program in total.
    pub fn settle(&mut self, program: &str, request: &str, daemon: &str, handed_out: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.reservations.swap_remove(request);
            account.update_handed_out(daemon, handed_out);
        }
    }

    /// Removes programs that have been idle for longer than their retention, and remembers that
    /// they had an account.
    pub fn sweep(&mut self, now: Instant) {
        let Self { accounts, transferred, forgotten, .. } = self;
        forgotten.sweep(now);
        accounts.retain(|program, account| {
            let idle = now.saturating_duration_since(account.last_used);
            let kept = idle <= account.state.retention;
            if !kept {
                forgotten.insert(program.clone());
            }
            kept
        });
        transferred.retain(|program, transferred| {
            let kept = now < transferred.until;
            if !kept {
                forgotten.insert(program.clone());
            }
            kept
        });
    }
}

/// Tokens that one daemon process has handed out, by program.
///
/// Counts of idle programs are dropped. Owners keep the highest total that a process has reported,
/// so a count that starts anew is reported under another name. The owners then add both.
#[derive(Clone, Debug)]
pub struct Counts {
    process: VmId,
    counts: IndexMap<ProgramId, Count>,
    /// Number of times that counts were dropped.
    generation: u32,
}

#[derive(Clone, Debug)]
struct Count {
    /// Name under which the count is reported.
    name: VmId,
    handed_out: Tokens,
    last_used: Instant,
}

impl Counts {
    /// Creates empty counts of the process with this name.
    pub fn new(process: VmId) -> Self {
        Self { process, counts: IndexMap::new(), generation: 0 }
    }

    fn count(&mut self, program: &str, now: Instant) -> &mut Count {
        let Self { process, counts, generation } = self;
        let count = counts.entry(program.into()).or_insert_with(|| {
            let name = match generation {
                0 => process.clone(),
                generation => format_compact!("{process}.{generation}"),
            };
            Count { name, handed_out: 0, last_used: now }
        });
        count.last_used = now;
        count
    }

    /// Adds tokens that were handed out to a program.
    pub fn add(&mut self, program: &str, tokens: Tokens, now: Instant) {
        self.count(program, now).handed_out += tokens;
    }

    /// Returns the name of a program's count and its total, as they are reported to an owner.
    pub fn report(&mut self, program: &str, now: Instant) -> (VmId, Tokens) {
        let count = self.count(program, now);
        (count.name.clone(), count.handed_out)
    }

    /// Drops the counts of idle programs.
    pub fn sweep(&mut self, now: Instant) {
        let before = self.counts.len();
        self.counts.retain(|_, count| now.saturating_duration_since(count.last_used) < COUNT_TTL);
        if self.counts.len() < before {
            self.generation += 1;
        }
    }
}
