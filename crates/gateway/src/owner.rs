//! Decisions on programs' budgets, as their owner.
//!
//! The rules are those of [`sched::spend`]. This module supplies their inputs: the accounts of
//! former owners, and draws from the durable records. The key-value service may reject some daemons
//! while it serves others, so a draw that fails because the service is unreachable from this daemon
//! is made through another one.

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

/// Pause before another attempt to record that a program is stopped.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of asking a former owner for a program's account.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after a member left the membership within which its daemon may still run and answer.
const DEPARTURE_GRACE: Duration = Duration::from_secs(10);
/// Maximum number of members asked for the account of an unknown program.
const MAX_FORMER_OWNERS: usize = 3;
/// Maximum number of draws for one turn; the first may repeat an earlier one whose answer was lost.
const MAX_DRAWS: u32 = 4;
/// Timeout of a draw through another daemon.
const DRAW_TIMEOUT: Duration = Duration::from_millis(650);

impl Budgets {
    /// Decides on a reservation as the owner of the program's budget.
    pub async fn decide(self: &Arc<Self>, request: &spend::ReservationRequest) -> Decision {
        let allowance = self.resolve_allowance(request).await;
        let outcome = match self.reserve_locally(request, allowance) {
            ReserveOutcome::Draw(_) => self.draw_and_reserve(request, allowance).await,
            outcome => Some(outcome),
        };
        match outcome {
            Some(ReserveOutcome::Granted) => {
                Decision::Granted(self.ledger().stage(&request.program))
            }
            Some(ReserveOutcome::Exhausted) => Decision::Exhausted,
            Some(ReserveOutcome::NewlyExhausted) => {
                let (budgets, request) = (self.clone(), request.clone());
                tokio::spawn(async move { budgets.record_stop(&request).await });
                Decision::Exhausted
            }
            Some(ReserveOutcome::Draw(_)) | None => Decision::Unknown,
        }
    }

    fn reserve_locally(
        &self,
        request: &spend::ReservationRequest,
        allowance: InitialAllowance,
    ) -> ReserveOutcome {
        self.ledger().reserve(request, allowance, Instant::now())
    }

    /// Returns the allowance for a program that is not in the ledger yet.
    ///
    /// If a former owner has the program's account, takes it over.
    async fn resolve_allowance(&self, request: &spend::ReservationRequest) -> InitialAllowance {
        let allowance = |unused: &[UnusedShare]| {
            let limit = spend::limit(request);
            self.view.with_terms(|terms| {
                terms.initial_allowance(&request.program, limit, self.incarnation, unused)
            })
        };
        let initial = allowance(&[]);
        // If the account is transferred away before the reservation, the program must not get the
        // share a second time.
        let without_share = InitialAllowance { share_tokens: 0, ..initial };
        if self.ledger().contains(&request.program) {
            return without_share;
        }
        if self.ledger().may_use_share(&request.program, initial) {
            return initial;
        }
        let stripe = members::stripe(&request.program, self.takeover_locks.len());
        let _guard = self.takeover_locks[stripe].lock().await;
        if self.ledger().contains(&request.program) {
            return without_share;
        }
        let allocator = self.view.with_terms(|terms| terms.allocator(&request.program).cloned());
        let mut unused = Vec::new();
        for former in self.former_owners(&request.program, allocator.as_ref()) {
            match self.request_transfer(&former, &request.program).await {
                Transfer::Account(snapshot) => {
                    let (program, now) = (request.program.clone(), Instant::now());
                    self.ledger().take_over(program, *snapshot, initial.term, now);
                    return without_share;
                }
                // A member that is the allocator only according to its own view refers to another
                // term.
                Transfer::ShareReleased
                    if allocator.as_ref() == Some(&members::process(&former)) =>
                {
                    unused.push(UnusedShare { allocator: former.incarnation, after: 0 });
                }
                Transfer::ShareReleased | Transfer::Nothing => {}
            }
        }
        InitialAllowance { share_tokens: 0, ..allowance(&unused) }
    }

    /// Returns the members that may have owned a program.
    ///
    /// These are its allocator, recently departed members that rank above this one, and the member
    /// that would own the program without this one.
    fn former_owners(&self, program: &str, allocator: Option<&Allocator>) -> Vec<Member> {
        let me = &self.settings.vm;
        let departed =
            self.view.departed_ranked_above(program, me, DEPARTURE_GRACE, Instant::now());
        let (allocator, next) = self.view.with_members(|live| {
            let allocator =
                allocator.and_then(|allocator| members::find_member(allocator, live)).cloned();
            (allocator, members::successor(program, live, me).cloned())
        });
        let mut former_owners: Vec<Member> = Vec::new();
        for member in allocator.into_iter().chain(departed).chain(next) {
            if member.vm != *me && !former_owners.iter().any(|known| known.vm == member.vm) {
                former_owners.push(member);
            }
        }
        former_owners.truncate(MAX_FORMER_OWNERS);
        former_owners
    }

    async fn request_transfer(&self, former: &Member, program: &ProgramId) -> Transfer {
        let now = Instant::now();
        if self.suspects.contains(&former.vm, now) {
            return Transfer::Nothing;
        }
        let message = Request::Gateway(Box::new(Command::Inherit(program.clone())));
        match self.peers.first_reply(&former.addr, &message, TRANSFER_TIMEOUT).await {
            Some(wire::Reply::Gateway(Response::Inherited(transfer))) => transfer,
            _ => {
                self.suspects.suspect(&former.vm, now);
                Transfer::Nothing
            }
        }
    }

    /// Transfers a program's account to the owner that asks for it.
    pub fn transfer(&self, program: &str) -> Transfer {
        let is_allocator = self.view.with_terms(|terms| {
            terms
                .allocator(program)
                .is_some_and(|allocator| allocator.incarnation == self.incarnation)
        });
        self.ledger().transfer(program, is_allocator, Instant::now())
    }

    /// Closes this daemon as an allocator and records the usage of its shares, when it stops.
    ///
    /// Otherwise later owners would have to count all shares that it could have granted as spent.
    pub async fn close(&self) {
        let usages = self.ledger().close();
        let count = usages.len();
        match self.records.close_allocator(self.incarnation, &usages, unix_ms()).await {
            Ok(()) => log::info!(target: "budget", count; "share usage recorded"),
            Err(error) => {
                log::info!(target: "budget", count; "share usage not recorded: {error}")
            }
        }
    }

    /// Records that a program's budget is exhausted, so that no later owner lets it continue.
    async fn record_stop(self: &Arc<Self>, request: &spend::ReservationRequest) {
        if let Some(account) = self.ledger().summary(&request.program) {
            log::info!(
                target: "budget",
                program = request.program.as_str(),
                request = request.request_id.as_str(),
                budget = account.budget,
                known = account.spent,
                reserved = account.reserved,
                allowed = account.allowed,
                most = request.max_tokens;
                "program stopped because its budget is exhausted"
            );
        }
        let (since, stopped_at_ms) = (Instant::now(), unix_ms());
        let stopped = |found: Option<Record>, terms: &TermView| {
            Some(spend::record_after_stop(request, found.as_ref(), terms, stopped_at_ms))
        };
        while since.elapsed() < request.retention {
            match self.records.update(&request.program, stopped).await {
                Ok(_) => return,
                Err(error) => log::info!(
                    target: "budget", program = request.program.as_str();
                    "failed to record that the program is stopped; retrying: {error}"
                ),
            }
            sleep(STOP_RETRY_INTERVAL).await;
        }
    }

    /// Draws until the turn is granted or refused; returns `None` if the record is unreachable.
    async fn draw_and_reserve(
        self: &Arc<Self>,
        request: &spend::ReservationRequest,
        allowance: InitialAllowance,
    ) -> Option<ReserveOutcome> {
        let stripe = members::stripe(&request.program, self.draw_locks.len());
        let _guard = self.draw_locks[stripe].lock().await;
        for _ in 0..MAX_DRAWS {
            // Another turn may have drawn enough in the meantime.
            let outcome = self.reserve_locally(request, allowance);
            let ReserveOutcome::Draw(draw) = outcome else {
                return Some(outcome);
            };
            let drawn = match self.draw_via_writer(request, draw).await {
                DrawOutcome::Unreachable => self.draw_directly(request, draw).await,
                drawn => drawn,
            };
            match drawn {
                DrawOutcome::Tokens(tokens) => self.ledger().apply_draw(&request.program, tokens),
                DrawOutcome::Exhausted => self.ledger().mark_exhausted(&request.program),
                DrawOutcome::Unreachable => return None,
            }
        }
        None
    }

    /// Draws from the program's durable record for the process `owner`.
    pub async fn draw(
        &self,
        request: &spend::ReservationRequest,
        owner: &VmId,
        draw: Draw,
    ) -> DrawOutcome {
        let drawn = AtomicU64::new(0);
        let updated = self.records.update(&request.program, |found, terms| {
            let (record, tokens) =
                spend::record_after_draw(request, owner, found, draw, terms, unix_ms())?;
            drawn.store(tokens, Ordering::Relaxed);
            Some(record)
        });
        match updated.await {
            Ok(true) => DrawOutcome::Tokens(drawn.into_inner()),
            Ok(false) => {
                let record = self.records.cached_record(&request.program).unwrap_or_default();
                log::info!(
                    target: "budget",
                    program = request.program.as_str(),
                    request = request.request_id.as_str(),
                    limit = spend::limit(request),
                    needed = draw.needed,
                    drawn = record.drawn,
                    record_term = record.term,
                    term = self.view.with_terms(|terms| terms.terms.number());
                    "the budget record leaves fewer tokens than the draw needs"
                );
                DrawOutcome::Exhausted
            }
            Err(error) => {
                log::info!(
                    target: "budget", program = request.program.as_str();
                    "failed to write the budget record: {error}"
                );
                DrawOutcome::Unreachable
            }
        }
    }

    /// Draws through the program's writer, in a batch with other draws.
    async fn draw_via_writer(
        self: &Arc<Self>,
        request: &spend::ReservationRequest,
        draw: Draw,
    ) -> DrawOutcome {
        let now = Instant::now();
        let writer = self.view.with_members(|live| {
            members::writer(&request.program, live, &self.suspects, now).cloned()
        });
        let (request, owner) = (request.clone(), self.process().clone());
        match writer {
            Some(writer) if writer.vm != self.settings.vm => {
                self.request_draw(&writer, draws::Draw { request, owner, draw }).await
            }
            _ => self.draw_batched(draws::Draw { request, owner, draw }).await,
        }
    }

    async fn request_draw(&self, other: &Member, draw: draws::Draw) -> DrawOutcome {
        let draws::Draw { request, owner, draw } = draw;
        let message = Request::Gateway(Box::new(Command::Draw { request, owner, draw }));
        match self.peers.first_reply(&other.addr, &message, DRAW_TIMEOUT).await {
            Some(wire::Reply::Gateway(Response::Drawn(drawn))) => drawn,
            // If the draw took effect although its answer was lost, the next attempt finds it.
            _ => {
                self.suspects.suspect(&other.vm, Instant::now());
                DrawOutcome::Unreachable
            }
        }
    }

    /// Draws directly and, if the record is unreachable, through a random other daemon.
    ///
    /// The key-value service may still serve that daemon.
    async fn draw_directly(&self, request: &spend::ReservationRequest, draw: Draw) -> DrawOutcome {
        let drawn = self.draw(request, self.process(), draw).await;
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
        let (request, owner) = (request.clone(), self.process().clone());
        self.request_draw(&other, draws::Draw { request, owner, draw }).await
    }

    /// Settles a turn as the owner of its program's budget.
    pub fn settle(&self, settlement: &Settlement) {
        let Settlement { program, request, daemon, handed_out } = settlement;
        self.ledger().settle(program, request, daemon, *handed_out);
    }

    /// Writes the records of programs in use again before they expire.
    pub async fn keep_records(self: Arc<Self>) {
        let due = self.ledger().due_records(Instant::now());
        for (program, retention) in due {
            let keep = |found: Option<Record>, _: &TermView| {
                found.map(|record| spend::record_kept(&record, retention, unix_ms()))
            };
            if let Err(error) = self.records.update(&program, keep).await {
                log::info!(
                    target: "budget", program = program.as_str();
                    "failed to keep the budget record, will retry: {error}"
                );
                self.ledger().retry_record(&program);
            }
        }
    }

    /// Deletes expired durable records if this daemon is the first delegate.
    pub async fn delete_expired(&self) {
        let first = self.view.with_members(|live| members::delegates(live).into_iter().next());
        if first != Some(self.settings.public_addr()) {
            return;
        }
        match self.records.delete_expired(unix_ms()).await {
            Ok(0) => {}
            Ok(count) => log::info!(target: "budget", count; "expired budget records deleted"),
            Err(error) => {
                log::info!(target: "budget", "failed to delete expired budget records: {error}")
            }
        }
    }
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
