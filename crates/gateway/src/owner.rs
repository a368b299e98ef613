//! Decisions on programs' budgets, as their owner.
//!
//! The rules are those of [`sched::spend`]; this module brings what they need: what the member knows
//! that owned a program before, and draws from the durable records. A draw for which the key-value
//! service cannot be reached from here is made through another daemon, since the service may turn some
//! away and serve others.

use crate::budgets::Budgets;
use crate::draws;
use crate::members;
use peer::gateway::{Command, DrawOutcome, Member, Response, Settlement};
use peer::wire::{self, Request};
use sched::id::{ProgramId, VmId};
use sched::spend::{self, Decision, Draw, Record, ReserveOutcome, Transfer};
use sched::term::{Allocator, InitialAllowance, TermView, UnusedShare};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Pause before recording that a program is stopped is tried again.
const STOP_RETRY: Duration = Duration::from_millis(700);
/// Bound of asking the former owner of a program.
const INHERIT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a daemon that left has ended.
const EXIT_WITHIN: Duration = Duration::from_secs(10);
/// Members that are asked for a program that is not known.
const MAX_FORMERS: usize = 3;
/// Draws for one turn; the first may be an earlier one whose answer was lost.
const MAX_DRAWS: u32 = 4;
/// Bound of a draw through another daemon.
const DRAW_TIMEOUT: Duration = Duration::from_millis(650);

impl Budgets {
    /// Decides as the owner.
    pub async fn decide(self: &Arc<Self>, ask: &spend::ReservationRequest) -> Decision {
        let origin = self.origin(ask).await;
        let verdict = match self.reserve_as(ask, origin) {
            ReserveOutcome::Draw(_) => self.draw_and_reserve(ask, origin).await,
            verdict => Some(verdict),
        };
        match verdict {
            Some(ReserveOutcome::Granted) => Decision::Granted(self.ledger().stage(&ask.program)),
            Some(ReserveOutcome::Exhausted) => Decision::Exhausted,
            Some(ReserveOutcome::NewlyExhausted) => {
                let (budgets, ask) = (self.clone(), ask.clone());
                tokio::spawn(async move { budgets.stop(&ask).await });
                Decision::Exhausted
            }
            Some(ReserveOutcome::Draw(_)) | None => Decision::Unknown,
        }
    }

    fn reserve_as(
        &self,
        ask: &spend::ReservationRequest,
        origin: InitialAllowance,
    ) -> ReserveOutcome {
        self.ledger().reserve(ask, origin, Instant::now())
    }

    /// Finds out where the ask's program comes from; takes it over from who knows it.
    async fn origin(&self, ask: &spend::ReservationRequest) -> InitialAllowance {
        let origin = |silent: &[UnusedShare]| {
            let limit = spend::limit(ask);
            self.view.with_terms(|roll| {
                roll.initial_allowance(&ask.program, limit, self.incarnation, silent)
            })
        };
        let found = origin(&[]);
        // Were it given away meanwhile, it would not come back as a new one.
        let known = InitialAllowance { share_tokens: 0, ..found };
        if self.ledger().contains(&ask.program) {
            return known;
        }
        if self.ledger().may_use_share(&ask.program, found) {
            return found;
        }
        let stripe = members::stripe(&ask.program, self.takeovers.len());
        let _held = self.takeovers[stripe].lock().await;
        if self.ledger().contains(&ask.program) {
            return known;
        }
        let founder = self.view.with_terms(|roll| roll.allocator(&ask.program).cloned());
        let mut renounced = Vec::new();
        for former in self.formers(&ask.program, founder.as_ref()) {
            match self.inherit_from(&former, &ask.program).await {
                Transfer::Account(inheritance) => {
                    let (program, now) = (ask.program.clone(), Instant::now());
                    self.ledger().take_over(program, *inheritance, found.term, now);
                    return known;
                }
                // One that is the founder in its own view only speaks of another term.
                Transfer::Renounced if founder.as_ref() == Some(&members::process(&former)) => {
                    renounced.push(UnusedShare { allocator: former.incarnation, after: 0 });
                }
                Transfer::Renounced | Transfer::Nothing => {}
            }
        }
        InitialAllowance { share_tokens: 0, ..origin(&renounced) }
    }

    /// Members that may have owned a program: its founder, those that left and came before this one in
    /// the program's order, and the one that comes next.
    fn formers(&self, program: &str, founder: Option<&Allocator>) -> Vec<Member> {
        let me = &self.settings.vm;
        let lost = self.view.departed_before(program, me, EXIT_WITHIN, Instant::now());
        let (founder, next) = self.view.with_members(|live| {
            let founder = founder.and_then(|founder| members::find_member(founder, live)).cloned();
            (founder, members::successor(program, live, me).cloned())
        });
        let mut formers: Vec<Member> = Vec::new();
        for member in founder.into_iter().chain(lost).chain(next) {
            if member.vm != *me && !formers.iter().any(|known| known.vm == member.vm) {
                formers.push(member);
            }
        }
        formers.truncate(MAX_FORMERS);
        formers
    }

    async fn inherit_from(&self, former: &Member, program: &ProgramId) -> Transfer {
        let now = Instant::now();
        if self.suspects.contains(&former.vm, now) {
            return Transfer::Nothing;
        }
        let request = Request::Gateway(Box::new(Command::Inherit(program.clone())));
        match self.peers.first_reply(&former.addr, &request, INHERIT_TIMEOUT).await {
            Some(wire::Reply::Gateway(Response::Inherited(legacy))) => legacy,
            _ => {
                self.suspects.suspect(&former.vm, now);
                Transfer::Nothing
            }
        }
    }

    /// Gives a program away to the owner that asks for it.
    pub fn give(&self, program: &str) -> Transfer {
        let own = self.view.with_terms(|roll| {
            roll.allocator(program).is_some_and(|founder| founder.incarnation == self.incarnation)
        });
        self.ledger().transfer(program, own, Instant::now())
    }

    /// Closes the books when this daemon stops, so that nobody has to take the shares that it could
    /// have handed out for spent.
    pub async fn close(&self) {
        let books = self.ledger().close();
        let count = books.len();
        match self.records.close(self.incarnation, &books, unix_ms()).await {
            Ok(()) => log::info!(target: "budget", count; "the books are closed"),
            Err(error) => log::info!(target: "budget", count; "the books stay open: {error}"),
        }
    }

    /// Records that a program's budget is spent, so that no later owner lets it go on.
    async fn stop(self: &Arc<Self>, ask: &spend::ReservationRequest) {
        if let Some(standing) = self.ledger().summary(&ask.program) {
            log::info!(
                target: "budget",
                program = ask.program.as_str(),
                request = ask.request_id.as_str(),
                budget = standing.budget,
                known = standing.spent,
                reserved = standing.reserved,
                allowed = standing.allowed,
                most = ask.max_tokens;
                "the program is stopped"
            );
        }
        let (since, kept_from) = (Instant::now(), unix_ms());
        let stopped = |found: Option<Record>, roll: &TermView| {
            Some(spend::record_after_stop(ask, found.as_ref(), roll, kept_from))
        };
        while since.elapsed() < ask.retention {
            match self.records.update(&ask.program, stopped).await {
                Ok(_) => return,
                Err(error) => log::info!(
                    target: "budget", program = ask.program.as_str();
                    "the stop is not recorded yet: {error}"
                ),
            }
            sleep(STOP_RETRY).await;
        }
    }

    /// Draws until the turn may run or must not; `None` when the record cannot be reached.
    async fn draw_and_reserve(
        self: &Arc<Self>,
        ask: &spend::ReservationRequest,
        origin: InitialAllowance,
    ) -> Option<ReserveOutcome> {
        let stripe = members::stripe(&ask.program, self.draws.len());
        let _held = self.draws[stripe].lock().await;
        for _ in 0..MAX_DRAWS {
            // Another turn may have drawn enough meanwhile.
            let verdict = self.reserve_as(ask, origin);
            let ReserveOutcome::Draw(draw) = verdict else {
                return Some(verdict);
            };
            let drawn = match self.draw_by_writer(ask, draw).await {
                DrawOutcome::Unreachable => self.draw_alone(ask, draw).await,
                drawn => drawn,
            };
            match drawn {
                DrawOutcome::Tokens(tokens) => self.ledger().apply_draw(&ask.program, tokens),
                DrawOutcome::Exhausted => self.ledger().mark_exhausted(&ask.program),
                DrawOutcome::Unreachable => return None,
            }
        }
        None
    }

    /// Draws from the program's durable record for the process `owner`.
    pub async fn draw(
        &self,
        ask: &spend::ReservationRequest,
        owner: &VmId,
        draw: Draw,
    ) -> DrawOutcome {
        let taken = AtomicU64::new(0);
        let drawn = self.records.update(&ask.program, |found, roll| {
            let (record, tokens) =
                spend::record_after_draw(ask, owner, found, draw, roll, unix_ms())?;
            taken.store(tokens, Ordering::Relaxed);
            Some(record)
        });
        match drawn.await {
            Ok(true) => DrawOutcome::Tokens(taken.into_inner()),
            Ok(false) => {
                let record = self.records.last(&ask.program).unwrap_or_default();
                log::info!(
                    target: "budget",
                    program = ask.program.as_str(),
                    request = ask.request_id.as_str(),
                    limit = spend::limit(ask),
                    needed = draw.needed,
                    drawn = record.drawn,
                    record_term = record.term,
                    term = self.view.with_terms(|roll| roll.terms.number());
                    "the record leaves too little"
                );
                DrawOutcome::Exhausted
            }
            Err(error) => {
                log::info!(
                    target: "budget", program = ask.program.as_str();
                    "the budget's record cannot be written: {error}"
                );
                DrawOutcome::Unreachable
            }
        }
    }

    /// Draws through the program's writer, together with others.
    async fn draw_by_writer(
        self: &Arc<Self>,
        ask: &spend::ReservationRequest,
        draw: Draw,
    ) -> DrawOutcome {
        let now = Instant::now();
        let writer = self
            .view
            .with_members(|live| members::writer(&ask.program, live, &self.suspects, now).cloned());
        let (ask, owner) = (ask.clone(), self.process().clone());
        match writer {
            Some(writer) if writer.vm != self.settings.vm => {
                self.ask_to_draw(&writer, draws::Draw { ask, owner, draw }).await
            }
            _ => self.draw_jointly(draws::Draw { ask, owner, draw }).await,
        }
    }

    async fn ask_to_draw(&self, other: &Member, draw: draws::Draw) -> DrawOutcome {
        let draws::Draw { ask, owner, draw } = draw;
        let request = Request::Gateway(Box::new(Command::Draw { request: ask, owner, draw }));
        match self.peers.first_reply(&other.addr, &request, DRAW_TIMEOUT).await {
            Some(wire::Reply::Gateway(Response::Drawn(drawn))) => drawn,
            // A draw whose answer is lost is found by the next try.
            _ => {
                self.suspects.suspect(&other.vm, Instant::now());
                DrawOutcome::Unreachable
            }
        }
    }

    /// Draws by itself, or else through another daemon, which the key-value service may still serve.
    async fn draw_alone(&self, ask: &spend::ReservationRequest, draw: Draw) -> DrawOutcome {
        let drawn = self.draw(ask, self.process(), draw).await;
        if drawn != DrawOutcome::Unreachable {
            return drawn;
        }
        let others = self.view.with_members(|live| {
            let others = live.values().filter(|member| member.vm != self.settings.vm);
            others.cloned().collect::<Vec<Member>>()
        });
        let Some(other) = fastrand::choice(others) else {
            return DrawOutcome::Unreachable;
        };
        let (ask, owner) = (ask.clone(), self.process().clone());
        self.ask_to_draw(&other, draws::Draw { ask, owner, draw }).await
    }

    /// Settles as the owner.
    pub fn settle(&self, settlement: &Settlement) {
        let Settlement { program, request, daemon, handed_out } = settlement;
        self.ledger().settle(program, request, daemon, *handed_out);
    }

    /// Deletes durable records whose time is over, where this daemon is the first delegate.
    pub async fn delete_expired(&self) {
        let first = self.view.with_members(|live| members::delegates(live).into_iter().next());
        if first != Some(self.settings.public_addr()) {
            return;
        }
        match self.records.delete_expired(unix_ms()).await {
            Ok(0) => {}
            Ok(count) => log::info!(target: "budget", count; "records are deleted"),
            Err(error) => log::info!(target: "budget", "records are not deleted yet: {error}"),
        }
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
