//! Budgets of programs whose turns arrive through many daemons.
//!
//! Each program has an owner among the live daemons, the one with the highest hash of the pair. A
//! daemon that serves a turn reserves the turn's longest answer at the owner and settles what was
//! really handed out. Three things bound what a program may overspend when daemons are lost:
//!
//! * every reservation repeats what the serving daemon itself has handed out to the program, so an
//!   owner that takes over learns the counts of all daemons that still live;
//! * beyond a free share of its budget a program spends only what was drawn from a durable record
//!   by compare-and-swap, so most programs cost no write and a program that spends much is known to
//!   every later owner; while no more than the free share is handed out, turns do not wait for the
//!   draw, so that a slow or absent platform does not stop them;
//! * an owner that does not know a program asks the member that owned it before, or stood in;
//! * an owner that has not been there from the start charges an unknown program the free share, the
//!   most that can have been spent without a record.
//!
//! What is handed out may exceed the budget by one turn's most. Owners keep that in reserve: only a
//! charge, which few programs have really spent, may reach into it.

use crate::id::{ProgramId, RequestId, Tokens, VmId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Share of a budget that is spent without a durable record.
///
/// Programs that end by themselves rarely spend as much, so few of them ever draw.
const FREE_SHARE: f64 = 0.5;
/// Turns whose most is spent without a durable record, however small the budget.
const FREE_TURNS: f64 = 1.5;
/// Time for which a program that was given away is remembered.
const GIVEN_LIFE: Duration = Duration::from_secs(120);
/// Share of a budget that one draw from the record takes at least.
const DRAW_SHARE: f64 = 0.2;
/// Time after which a reservation that was never settled is charged in full; its daemon is gone.
const RESERVATION_LIFE: Duration = Duration::from_secs(15);

/// The durable part of a program's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The program's budget.
    pub budget: Tokens,
    /// Tokens drawn by all owners, the free share included.
    pub drawn: Tokens,
    /// Time after which the record may be deleted, in milliseconds since the Unix epoch.
    pub keep_until_ms: u64,
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
    /// Daemon that serves the turn.
    pub daemon: VmId,
    /// Tokens that this daemon has handed out to the program so far.
    pub handed_out: Tokens,
    /// Whether the daemon has run since before any program began, so that its count is complete.
    pub complete: bool,
    /// Time for which a program that spent its budget stays stopped.
    pub retention: Duration,
}

/// What becomes of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is reserved and may run.
    Granted {
        /// What should be drawn meanwhile, so that the next turns can run too.
        draw: Option<Draw>,
    },
    /// The budget did not hold an earlier turn.
    Exhausted,
    /// The budget does not hold it, which is to be recorded.
    Stop,
    /// More must be drawn from the durable record before it may run.
    Draw(Draw),
}

/// Tokens to add to a program's durable record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Tokens without which the turn cannot run.
    pub needed: Tokens,
    /// Tokens that spare the next turns a draw.
    pub wanted: Tokens,
}

/// What an owner knows of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The program's budget.
    pub budget: Tokens,
    /// Tokens known to be handed out.
    pub known: Tokens,
    /// Most tokens of the turns under way.
    pub reserved: Tokens,
    /// Tokens that may have been spent before the owner knew the program.
    pub assumed: Tokens,
}

/// All that an owner knows of a program, for the owner that takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inheritance {
    budget: Tokens,
    assumed: Tokens,
    recorded: bool,
    handed_out: IndexMap<VmId, Tokens>,
    reserved: IndexMap<RequestId, Tokens>,
    allowed: Tokens,
    free: Tokens,
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
    /// Tokens that may have been spent before this owner knew the program.
    assumed: Tokens,
    /// Whether `assumed` comes from a durable record.
    recorded: bool,
    /// Tokens handed out by each daemon.
    handed_out: IndexMap<VmId, Tokens>,
    reservations: IndexMap<RequestId, Reservation>,
    /// Tokens that may be known to be spent without a further draw.
    allowed: Tokens,
    /// Tokens that may be handed out without any record.
    free: Tokens,
    /// Whether a draw is under way.
    drawing: bool,
    /// Whether a turn was refused, which ends the program.
    stopped: bool,
    used: Instant,
    retention: Duration,
}

impl Account {
    /// Tokens that are known to be handed out.
    fn known(&self) -> Tokens {
        self.handed_out.values().sum()
    }

    fn reserved(&self) -> Tokens {
        self.reservations.values().map(|reservation| reservation.most).sum()
    }

    /// Notes what a daemon has handed out.
    ///
    /// What a daemon that was never restarted had handed out before this owner knew the program is
    /// part of what was assumed. Another daemon may have done so after the loss that is assumed,
    /// through an owner that stood in for this one.
    fn declare(&mut self, daemon: &str, handed_out: Tokens, complete: bool) {
        if let Some(counted) = self.handed_out.get_mut(daemon) {
            *counted = (*counted).max(handed_out);
            return;
        }
        if complete && !self.recorded {
            self.assumed = self.assumed.saturating_sub(handed_out);
        }
        self.handed_out.insert(daemon.into(), handed_out);
    }

    /// Charges reservations whose daemon is gone: their turns may have handed out their most.
    fn charge_overdue(&mut self, now: Instant) {
        let overdue = |held: &Reservation| now.duration_since(held.since) >= RESERVATION_LIFE;
        let lost: Tokens =
            self.reservations.values().filter(|held| overdue(held)).map(|held| held.most).sum();
        self.assumed += lost;
        self.reservations.retain(|_, held| !overdue(held));
    }
}

fn share(budget: Tokens, share: f64) -> Tokens {
    (budget as f64 * share) as Tokens
}

/// Tokens that a program spends without a durable record.
fn free(ask: &Ask) -> Tokens {
    let turns = share(ask.most, FREE_TURNS);
    share(ask.budget, FREE_SHARE).max(turns).min(ask.budget)
}

/// Computes the record that follows `found` when more is drawn for the ask's program, and the tokens
/// drawn.
///
/// Returns `None` when the record leaves less than is needed.
pub fn drawn(
    ask: &Ask,
    found: Option<Record>,
    draw: Draw,
    now_ms: u64,
) -> Option<(Record, Tokens)> {
    let before = found.map_or(free(ask), |record| record.drawn);
    let tokens = draw.wanted.min(ask.budget.saturating_sub(before));
    let keep_until_ms = now_ms + ask.retention.as_millis() as u64;
    let record = Record { budget: ask.budget, drawn: before + tokens, keep_until_ms };
    (tokens >= draw.needed).then_some((record, tokens))
}

/// Accounts of the programs that this daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: IndexMap<ProgramId, Account>,
    records: IndexMap<ProgramId, Record>,
    /// Programs that were given to another owner, which may come back but are not new.
    given: IndexMap<ProgramId, Instant>,
}

impl Ledger {
    /// Takes in durable records, as read from the platform.
    pub fn learn(&mut self, records: impl IntoIterator<Item = (ProgramId, Record)>) {
        for (program, record) in records {
            self.raise(&program, record);
        }
    }

    /// Decides on a turn.
    ///
    /// `fresh` tells that this daemon has owned the program's share since before any program began.
    pub fn reserve(&mut self, ask: &Ask, fresh: bool, now: Instant) -> Verdict {
        let record = self.records.get(&ask.program).copied();
        let account = self.accounts.entry(ask.program.clone()).or_insert_with(|| {
            let free = free(ask);
            let assumed = match record {
                Some(record) => record.drawn,
                None if fresh => 0,
                None => free,
            };
            Account {
                budget: ask.budget,
                assumed,
                recorded: record.is_some(),
                handed_out: IndexMap::new(),
                reservations: IndexMap::new(),
                allowed: free,
                free,
                drawing: false,
                stopped: record.is_some_and(|record| record.drawn >= record.budget),
                used: now,
                retention: ask.retention,
            }
        });
        account.used = now;
        account.charge_overdue(now);
        account.declare(&ask.daemon, ask.handed_out, ask.complete);
        let open = account.reserved() + ask.most;
        let known = account.known() + open;
        let charged = account.assumed + account.known() + open;
        if account.stopped {
            return Verdict::Exhausted;
        }
        if known > account.budget || charged > account.budget + ask.most {
            account.stopped = true;
            return Verdict::Stop;
        }
        let mut draw = None;
        if known > account.allowed {
            let needed = known - account.allowed;
            let wanted = needed.max(share(account.budget, DRAW_SHARE));
            let due = Draw { needed, wanted };
            if account.known() > account.free {
                return Verdict::Draw(due);
            }
            // Turns under way hand out a part of their most, so the record may follow.
            draw = (!account.drawing).then_some(due);
            account.drawing = true;
        }
        let reservation = Reservation { most: ask.most, since: now };
        account.reservations.insert(ask.request.clone(), reservation);
        Verdict::Granted { draw }
    }

    /// Tells whether the owner knows a program already.
    pub fn knows(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Tells whether a program was given to another owner.
    pub fn gave(&self, program: &str) -> bool {
        self.given.contains_key(program)
    }

    /// Gives a program away to the owner that asks for it.
    pub fn give(&mut self, program: &str, now: Instant) -> Option<Inheritance> {
        let account = self.accounts.swap_remove(program)?;
        self.given.insert(program.into(), now);
        let reserved = account.reservations.into_iter().map(|(id, held)| (id, held.most));
        Some(Inheritance {
            budget: account.budget,
            assumed: account.assumed,
            recorded: account.recorded,
            handed_out: account.handed_out,
            reserved: reserved.collect(),
            allowed: account.allowed,
            free: account.free,
            stopped: account.stopped,
            retention: account.retention,
        })
    }

    /// Takes a program over from the owner that knew it.
    pub fn inherit(&mut self, program: ProgramId, from: Inheritance, now: Instant) {
        let reservations = from.reserved.into_iter();
        let account = Account {
            budget: from.budget,
            assumed: from.assumed,
            recorded: from.recorded,
            handed_out: from.handed_out,
            reservations: reservations
                .map(|(id, most)| (id, Reservation { most, since: now }))
                .collect(),
            allowed: from.allowed,
            free: from.free,
            drawing: false,
            stopped: from.stopped,
            used: now,
            retention: from.retention,
        };
        self.accounts.insert(program, account);
    }

    /// Notes a draw of `tokens` that is durable.
    pub fn draw(&mut self, program: &str, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.allowed = (account.allowed + tokens).min(account.budget);
            account.drawing = false;
        }
    }

    /// Notes that a draw failed; the next turn tries again.
    pub fn fail_draw(&mut self, program: &str) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.drawing = false;
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
            assumed: account.assumed,
        })
    }

    /// Settles a turn: `daemon` has handed out `handed_out` tokens to the program in all.
    pub fn settle(&mut self, program: &str, request: &str, daemon: &str, handed_out: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.reservations.swap_remove(request);
            account.declare(daemon, handed_out, false);
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

    fn raise(&mut self, program: &str, record: Record) {
        let known = self.records.entry(program.into()).or_insert(record);
        known.drawn = known.drawn.max(record.drawn);
        known.keep_until_ms = known.keep_until_ms.max(record.keep_until_ms);
    }
}
