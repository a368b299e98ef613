//! Budgets of programs whose turns arrive through many daemons.
//!
//! Each program has an owner among the live daemons, the one with the highest hash of the pair. A
//! daemon that serves a turn reserves the turn's longest answer at the owner and settles what was
//! really handed out. Daemons are lost, and views differ, so several owners may decide on one program
//! at the same time, none knowing of the others. What keeps the budget then is the durable record:
//!
//! * a program's first owner, which has been there since before any program began, may hand out a
//!   free share of the budget without a record, so most programs cost no write;
//! * whatever else an owner lets run it has drawn from the record before, by compare-and-swap; the
//!   record starts with the free share as drawn, whoever may have spent it;
//! * an owner counts what it lets run at its most until that is settled.
//!
//! So the free share and all draws together bound what is handed out, whoever owned the program and
//! however often it was lost. They may exceed the budget by one turn's most, of which only an owner
//! that took over makes use.
//!
//! Every reservation repeats what the serving daemon has handed out to the program in all. What a
//! daemon had handed out before it first asked an owner was let run by another one, and is paid for by
//! the free share or by that one's draws.
//!
//! An owner that does not know a program asks the member that owned it before, or stood in, and takes
//! over all that it knows.

use crate::id::{ProgramId, RequestId, Tokens, VmId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Part of all that may be handed out to a program which its first owner lets run without a durable
/// record.
///
/// Programs that end by themselves rarely need more, wherever the first owner is or is not lost.
const FREE_SHARE: f64 = 0.5;
/// Time for which a program that was given away is remembered.
const GIVEN_LIFE: Duration = Duration::from_secs(120);
/// Share of a budget that one draw from the record takes at least.
const DRAW_SHARE: f64 = 0.3;
/// Time after which a reservation that was never settled is charged in full; its daemon is gone.
const RESERVATION_LIFE: Duration = Duration::from_secs(15);

/// The durable part of a program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The program's budget.
    pub budget: Tokens,
    /// Tokens drawn by all owners, the free share included.
    pub drawn: Tokens,
    /// Time after which the record may be deleted, in milliseconds since the Unix epoch.
    pub keep_until_ms: u64,
    /// The last draw, by which its owner finds that it took effect although its answer was lost.
    #[serde(default)]
    pub last: Option<Done>,
}

/// A draw that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Process of the owner.
    pub owner: VmId,
    /// The owner's number of the draw.
    pub number: u32,
    /// Tokens drawn.
    pub tokens: Tokens,
}

/// A turn that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The program.
    pub program: ProgramId,
    /// Its budget.
    pub budget: Tokens,
    /// The turn's request.
    pub request: RequestId,
    /// Most tokens that the turn may generate.
    pub most: Tokens,
    /// Process of the daemon that serves the turn; a restarted daemon is another one.
    pub daemon: VmId,
    /// Tokens that this process has handed out to the program so far.
    pub handed_out: Tokens,
    /// Time for which a program that spent its budget stays stopped.
    pub retention: Duration,
}

/// What becomes of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is reserved and may run.
    Granted,
    /// The budget did not hold an earlier turn.
    Exhausted,
    /// The budget does not hold it, which is to be recorded.
    Stop,
    /// More must be drawn from the durable record before it may run.
    Draw(Draw),
}

/// Tokens to add to a program's durable record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// Tokens without which the turn cannot run.
    pub needed: Tokens,
    /// Tokens that spare the next turns a draw.
    pub wanted: Tokens,
    /// The owner's number of this draw; it stays the same until the outcome is known.
    pub number: u32,
}

/// What an owner knows of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The program's budget.
    pub budget: Tokens,
    /// Tokens that were handed out, or may have been by daemons that are gone.
    pub known: Tokens,
    /// Most tokens of the turns under way.
    pub reserved: Tokens,
    /// Tokens that may be known or reserved without a further draw.
    pub allowed: Tokens,
}

/// All that an owner knows of a program, for the owner that takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inheritance {
    budget: Tokens,
    handed_out: IndexMap<VmId, Tokens>,
    lost: Tokens,
    reserved: IndexMap<RequestId, Tokens>,
    allowed: Tokens,
    stopped: bool,
    retention: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    most: Tokens,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Account {
    budget: Tokens,
    /// Tokens handed out by each daemon's process.
    handed_out: IndexMap<VmId, Tokens>,
    /// Most tokens of turns whose daemons are gone.
    lost: Tokens,
    reservations: IndexMap<RequestId, Reservation>,
    /// Tokens that may be handed out or reserved without a further draw.
    allowed: Tokens,
    /// Number of the draw whose outcome is not known.
    drawing: Option<u32>,
    /// Whether a turn was refused, which ends the program.
    stopped: bool,
    used: Instant,
    retention: Duration,
}

impl Account {
    /// Tokens that were handed out, or may have been.
    fn known(&self) -> Tokens {
        self.handed_out.values().sum::<Tokens>() + self.lost
    }

    fn reserved(&self) -> Tokens {
        self.reservations.values().map(|reservation| reservation.most).sum()
    }

    /// Notes what a daemon's process has handed out.
    fn declare(&mut self, daemon: &str, handed_out: Tokens) {
        if let Some(counted) = self.handed_out.get_mut(daemon) {
            *counted = (*counted).max(handed_out);
            return;
        }
        // Another owner let this run, so it is paid for.
        self.allowed += handed_out;
        self.handed_out.insert(daemon.into(), handed_out);
    }

    /// Charges reservations whose daemon is gone: their turns may have handed out their most.
    fn charge_overdue(&mut self, now: Instant) {
        let overdue = |held: &Reservation| now.duration_since(held.since) >= RESERVATION_LIFE;
        let lost: Tokens =
            self.reservations.values().filter(|held| overdue(held)).map(|held| held.most).sum();
        self.lost += lost;
        self.reservations.retain(|_, held| !overdue(held));
    }
}

fn share(budget: Tokens, share: f64) -> Tokens {
    (budget as f64 * share) as Tokens
}

/// Tokens that all owners together may let run.
fn limit(ask: &Ask) -> Tokens {
    ask.budget + ask.most
}

/// Tokens that a program's first owner lets run without a durable record.
fn free(ask: &Ask) -> Tokens {
    share(limit(ask), FREE_SHARE)
}

/// Computes the record that follows `found` when `owner` draws more for the ask's program, and the
/// tokens drawn.
///
/// A draw that has taken effect already changes nothing. Returns `None` when the record leaves less
/// than is needed.
pub fn drawn(
    ask: &Ask,
    owner: &VmId,
    found: Option<Record>,
    draw: Draw,
    now_ms: u64,
) -> Option<(Record, Tokens)> {
    let done = found.as_ref().and_then(|record| record.last.as_ref());
    if let Some(tokens) = done
        .filter(|done| done.owner == *owner && done.number == draw.number)
        .map(|done| done.tokens)
    {
        return found.map(|record| (record, tokens));
    }
    let before = found.map_or(free(ask), |record| record.drawn);
    let tokens = draw.wanted.min(limit(ask).saturating_sub(before));
    let done = Done { owner: owner.clone(), number: draw.number, tokens };
    let record = Record {
        budget: ask.budget,
        drawn: before + tokens,
        keep_until_ms: keep_until(ask, now_ms),
        last: Some(done),
    };
    (tokens >= draw.needed).then_some((record, tokens))
}

/// The record that lets no later owner draw for the ask's program.
pub fn closed(ask: &Ask, now_ms: u64) -> Record {
    let keep_until_ms = keep_until(ask, now_ms);
    Record { budget: ask.budget, drawn: limit(ask), keep_until_ms, last: None }
}

fn keep_until(ask: &Ask, now_ms: u64) -> u64 {
    now_ms + ask.retention.as_millis() as u64
}

/// Accounts of the programs that this daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: IndexMap<ProgramId, Account>,
    /// Programs that were given to another owner; they may come back, but not as new ones.
    given: IndexMap<ProgramId, Instant>,
    /// Draws that were begun.
    draws: u32,
}

impl Ledger {
    /// Decides on a turn.
    ///
    /// `first` tells that no other owner can have let a turn of a program run without a draw that
    /// this one meets now.
    pub fn reserve(&mut self, ask: &Ask, first: bool, now: Instant) -> Verdict {
        let first = first && !self.given.contains_key(&ask.program);
        let account = self.accounts.entry(ask.program.clone()).or_insert_with(|| Account {
            budget: ask.budget,
            handed_out: IndexMap::new(),
            lost: 0,
            reservations: IndexMap::new(),
            allowed: if first { free(ask) } else { 0 },
            drawing: None,
            stopped: false,
            used: now,
            retention: ask.retention,
        });
        account.used = now;
        account.charge_overdue(now);
        account.declare(&ask.daemon, ask.handed_out);
        if account.stopped {
            return Verdict::Exhausted;
        }
        let known = account.known() + account.reserved() + ask.most;
        if known > account.budget {
            account.stopped = true;
            return Verdict::Stop;
        }
        if known > account.allowed {
            let needed = known - account.allowed;
            let wanted = needed.max(share(ask.budget, DRAW_SHARE));
            let number = *account.drawing.get_or_insert_with(|| {
                self.draws += 1;
                self.draws
            });
            return Verdict::Draw(Draw { needed, wanted, number });
        }
        let reservation = Reservation { most: ask.most, since: now };
        account.reservations.insert(ask.request.clone(), reservation);
        Verdict::Granted
    }

    /// Tells whether the owner knows a program already.
    pub fn knows(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Gives a program away to the owner that asks for it.
    pub fn give(&mut self, program: &str, now: Instant) -> Option<Inheritance> {
        let account = self.accounts.swap_remove(program)?;
        self.given.insert(program.into(), now);
        let reserved = account.reservations.into_iter().map(|(id, held)| (id, held.most));
        Some(Inheritance {
            budget: account.budget,
            handed_out: account.handed_out,
            lost: account.lost,
            reserved: reserved.collect(),
            allowed: account.allowed,
            stopped: account.stopped,
            retention: account.retention,
        })
    }

    /// Takes a program over from the owner that knew it.
    pub fn inherit(&mut self, program: ProgramId, from: Inheritance, now: Instant) {
        let reservations = from.reserved.into_iter();
        let account = Account {
            budget: from.budget,
            handed_out: from.handed_out,
            lost: from.lost,
            reservations: reservations
                .map(|(id, most)| (id, Reservation { most, since: now }))
                .collect(),
            allowed: from.allowed,
            drawing: None,
            stopped: from.stopped,
            used: now,
            retention: from.retention,
        };
        self.accounts.insert(program, account);
    }

    /// Notes a draw of `tokens` that is durable.
    pub fn draw(&mut self, program: &str, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.allowed += tokens;
            account.drawing = None;
        }
    }

    /// Notes that the record leaves nothing to draw.
    pub fn exhaust(&mut self, program: &str) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.stopped = true;
        }
    }

    /// What is known of a program, for a log line.
    pub fn explain(&self, program: &str) -> Option<Standing> {
        let account = self.accounts.get(program)?;
        Some(Standing {
            budget: account.budget,
            known: account.known(),
            reserved: account.reserved(),
            allowed: account.allowed,
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
        self.accounts.retain(|_, account| now.duration_since(account.used) <= account.retention);
        self.given.retain(|_, since| now.duration_since(*since) <= GIVEN_LIFE);
    }

    /// Number of programs.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether no program is known.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
