//! Token allowances of programs.
//!
//! A model call can be sent once the program's durable allowance covers the tokens that the call is
//! predicted to need. Otherwise the allowance is raised first, within the program's budget and the
//! log's grant of the account, and the call waits until the increase is durable. The grant is the
//! part of the account's tokens that the log may use; a draw updates it in the account's ledger,
//! usually to increase it. A call that needs more tokens while it runs goes through the same steps
//! again; when no tokens are left, its answer ends with those received so far.

use super::Control;
use super::active_call::Stage;
use super::owned::{Continuation, Grant};
use crate::settings::InjectedFault;
use crate::traffic::grants;
use sched::call::{Outcome, StopReason, Work};
use sched::grant::Request;
use sched::id::{AccountId, Epoch, LogId, ProgramId, Tokens};
use sched::record::Record;
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// Retry delay of calls that are refused because the budget or the account is exhausted.
const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Percentage of the `allowance` setting below which an allowance is raised ahead of the next call.
const REFILL_BELOW_PERCENT: Tokens = 50;

/// Result of an attempt to raise an allowance.
enum Raise {
    /// The increase is recorded but not durable yet.
    Pending,
    /// A draw from the account is in progress.
    Drawing,
    /// The budget or the account has no more tokens.
    Exhausted,
}

impl Control {
    /// Reserves the tokens of a model call, records the intent of the call, and queues the call.
    ///
    /// Runs for a new call and for one that needs more tokens or must be sent again, and once more
    /// after each wait for a draw or a commit.
    pub(super) fn prepare_call(&mut self, program: &ProgramId, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        match active.call.work {
            Work::Model { .. } => self.prepare_model_call(program, now),
            Work::Service { idempotent, .. } => self.prepare_service_call(program, idempotent, now),
        }
    }

    fn prepare_model_call(&mut self, program: &ProgramId, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        let (log, charged) = (active.log, active.charged_tokens());
        let wanted = charged
            + active
                .answer_reservation
                .min(active.max_tokens.saturating_sub(active.output.tokens()));
        let usable = self.logs.get(&log).map_or(0, |owned| owned.usable_tokens(program));
        if usable >= wanted.max(1) {
            return self.enqueue_model_call(program, usable, now);
        }
        match self.raise_allowance(log, program, wanted) {
            Raise::Pending => self.wait_durable(program, now),
            Raise::Drawing => self.set_stage(program, Stage::AwaitingTokens, now),
            Raise::Exhausted if usable > charged => self.enqueue_model_call(program, usable, now),
            Raise::Exhausted => self.out_of_budget(program, now),
        }
    }

    fn enqueue_model_call(&mut self, program: &ProgramId, usable: Tokens, now: Instant) {
        let Some(active) = self.active_calls.get_mut(program) else {
            return;
        };
        active.token_limit = usable;
        let (log, call) = (active.log, active.call.clone());
        if !self.has_intent(log, program) {
            let record = Record::Intent { program: program.clone(), call };
            if !self.record(log, record) {
                return self.fail_call(program, "the log rejected the call's intent", now);
            }
        }
        self.enqueue(program, now);
    }

    fn has_intent(&self, log: LogId, program: &ProgramId) -> bool {
        self.find_program(log, program).is_ok_and(|found| found.open.is_some())
    }

    fn wait_durable(&mut self, program: &ProgramId, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        let (log, call) = (active.log, active.call.id.clone());
        if let Some(owned) = self.logs.get_mut(&log) {
            owned.on_durable(Continuation::PrepareCall { program: program.clone(), call });
        }
        self.set_stage(program, Stage::AwaitingCommit, now);
    }

    fn prepare_service_call(&mut self, program: &ProgramId, idempotent: bool, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        let (log, call) = (active.log, active.call.clone());
        if self.has_intent(log, program) {
            return self.enqueue(program, now);
        }
        if !self.record(log, Record::Intent { program: program.clone(), call }) {
            return self.fail_call(program, "the log rejected the call's intent", now);
        }
        match idempotent || self.injects(InjectedFault::IntentAfterOrder) {
            true => self.enqueue(program, now),
            false => self.wait_durable(program, now),
        }
    }

    /// Raises a program's allowance to cover `wanted` tokens, as far as its budget and the log's
    /// grant allow.
    fn raise_allowance(&mut self, log: LogId, program: &ProgramId, wanted: Tokens) -> Raise {
        let target = self.limits().allowance.max(wanted);
        let Some(owned) = self.logs.get_mut(&log) else {
            return Raise::Exhausted;
        };
        let Some(found) = owned.state.programs.get(program) else {
            return Raise::Exhausted;
        };
        let usable = owned.usable_tokens(program);
        if found.allowance > usable && found.allowance >= wanted {
            return Raise::Pending;
        }
        let max_allowance = found.allowance + found.uncommitted();
        let goal = target.min(max_allowance);
        if goal <= found.allowance {
            let pending = found.allowance > usable;
            return if pending { Raise::Pending } else { Raise::Exhausted };
        }
        let account = found.spec.account.clone();
        let before = found.allowance;
        let grant = owned.grants.get(&account).copied().unwrap_or_default();
        let used = owned.state.usage(&account).total();
        let free = grant.tokens.saturating_sub(used);
        let needed = wanted.min(goal).saturating_sub(before);
        if !grant.known || free < needed.max(1) {
            return self.draw_or_use_rest(log, program, &account, goal);
        }
        let allowance = goal.min(before + free);
        match self.record(log, Record::Allow { program: program.clone(), allowance }) {
            true => Raise::Pending,
            false => Raise::Exhausted,
        }
    }

    /// Draws from the account, or uses the rest of the grant if a draw has just ended.
    fn draw_or_use_rest(
        &mut self,
        log: LogId,
        program: &ProgramId,
        account: &AccountId,
        goal: Tokens,
    ) -> Raise {
        let Some(owned) = self.logs.get_mut(&log) else {
            return Raise::Exhausted;
        };
        let grant = owned.grants.entry(account.clone()).or_default();
        if grant.drawing {
            return Raise::Drawing;
        }
        let just_drawn = std::mem::take(&mut grant.just_drawn);
        if !just_drawn {
            self.draw(log, account);
            return Raise::Drawing;
        }
        let used = owned.state.usage(account).total();
        let free = owned.grants.get(account).map_or(0, |grant| grant.tokens.saturating_sub(used));
        let before = owned.state.programs.get(program).map_or(0, |found| found.allowance);
        let allowance = goal.min(before + free);
        let more = allowance > before;
        match more && self.record(log, Record::Allow { program: program.clone(), allowance }) {
            true => Raise::Pending,
            false => Raise::Exhausted,
        }
    }

    /// Requests a grant for the log's current use, its waiting calls and one more chunk.
    pub(super) fn draw(&mut self, log: LogId, account: &AccountId) {
        let chunk = self.limits().grant_chunk;
        let extra = self.waiting_tokens(log, account) + chunk;
        let Some(owned) = self.logs.get(&log) else {
            return;
        };
        let wanted = owned.state.usage(account).total() + extra;
        self.request_grant(log, account, wanted);
    }

    /// Returns the tokens reserved for calls that wait for the account.
    fn waiting_tokens(&self, log: LogId, account: &AccountId) -> Tokens {
        let waiting = self.active_calls.iter().filter(|(_, active)| {
            active.log == log && matches!(active.stage, Stage::AwaitingTokens)
        });
        let of_account = waiting.filter(|(program, _)| {
            self.find_program(log, program).is_ok_and(|found| found.spec.account == *account)
        });
        of_account.map(|(_, active)| active.answer_reservation).sum()
    }

    /// Requests a grant of `wanted` tokens for the log, as far as the account's limit allows.
    fn request_grant(&mut self, log: LogId, account: &AccountId, wanted: Tokens) {
        let limit = self.config.budgets.get(account).map_or(0, |budget| budget.limit);
        let version = self.config.version;
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        let used = owned.state.usage(account).total();
        let epoch = owned.epoch;
        owned.grants.entry(account.clone()).or_default().drawing = true;
        let request = Request { log, epoch, used, wanted, version, limit };
        let (kv, events) = (self.shared.kv.clone(), self.shared.events.clone());
        let account = account.clone();
        metrics::counter!("grant_draws_total").increment(1);
        self.shared.runtime.spawn(async move {
            let result = grants::update(&kv, &account, request).await;
            let platform_down = matches!(result, Err(grants::Failure::Platform(_)));
            if let Err(failure) = &result {
                log::debug!("failed to draw tokens from account '{account}': {failure}");
            }
            let tokens = result.ok();
            events.send(super::Event::DrawEnded { log, epoch, account, tokens, platform_down });
        });
    }

    /// Handles the end of a draw, and resumes or refuses the calls that waited for it.
    pub(super) fn draw_ended(
        &mut self,
        log: LogId,
        epoch: Epoch,
        account: &AccountId,
        tokens: Option<Tokens>,
        platform_down: bool,
        now: Instant,
    ) {
        if platform_down {
            self.set_platform_up(false, now);
        }
        let Some(owned) = self.logs.get_mut(&log).filter(|owned| owned.epoch == epoch) else {
            return;
        };
        let used = owned.state.usage(account).total();
        let grant = owned.grants.entry(account.clone()).or_default();
        grant.drawing = false;
        if let Some(tokens) = tokens {
            *grant = Grant { tokens, known: true, drawing: false, just_drawn: false };
        }
        let waiting: Vec<ProgramId> = self.programs_waiting_for(log, account);
        for program in waiting {
            if tokens.is_none() {
                self.handle_failed_draw(&program, platform_down, now);
                continue;
            }
            // If the grant did not grow enough, each call takes the rest instead of drawing again.
            if let Some(owned) = self.logs.get_mut(&log)
                && let Some(grant) = owned.grants.get_mut(account)
            {
                grant.just_drawn = true;
            }
            self.prepare_call(&program, now);
        }
        if let Some(owned) = self.logs.get_mut(&log)
            && let Some(grant) = owned.grants.get_mut(account)
        {
            grant.just_drawn = false;
            metrics::gauge!("grant_free_tokens", "account" => account.to_string())
                .set(grant.tokens.saturating_sub(used) as f64);
        }
    }

    fn programs_waiting_for(&self, log: LogId, account: &AccountId) -> Vec<ProgramId> {
        let waiting = self.active_calls.iter().filter(|(program, active)| {
            active.log == log
                && matches!(active.stage, Stage::AwaitingTokens)
                && self.find_program(log, program).is_ok_and(|found| found.spec.account == *account)
        });
        waiting.map(|(program, _)| program.clone()).collect()
    }

    /// Ends a call whose draw failed.
    fn handle_failed_draw(&mut self, program: &ProgramId, platform_down: bool, now: Instant) {
        let refusal = match platform_down {
            true => super::operations::platform_down("cannot draw tokens from the account"),
            false => Refusal::not_run(
                Code::Internal,
                "cannot draw tokens from the account: its ledger is contended",
            )
            .retry_after(Duration::from_secs(1)),
        };
        self.stop_call(program, refusal, now);
    }

    fn out_of_budget(&mut self, program: &ProgramId, now: Instant) {
        let refusal = Refusal::not_run(
            Code::BudgetExhausted,
            "the budget of the program or its account is exhausted",
        );
        self.stop_call(program, refusal.retry_after(BUDGET_RETRY_AFTER), now);
    }

    /// Ends a call that gets no more tokens.
    ///
    /// A call that has not been sent is refused; the answer of any other ends with the tokens
    /// received so far.
    fn stop_call(&mut self, program: &ProgramId, refusal: Refusal, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        if !active.sent {
            return self.refuse_call(program, refusal, now);
        }
        let outcome = Outcome::Done {
            text: active.output.text(),
            tokens: active.charged_tokens(),
            stop: StopReason::Budget,
            run: active.output.run(),
        };
        self.end_call(program, outcome, now);
    }

    /// Raises a program's allowance ahead of its next call, as far as the grant allows, and draws
    /// from the account if the grant runs low.
    pub(super) fn refill_allowance(&mut self, log: LogId, program: &ProgramId) {
        let target = self.limits().allowance;
        let Some(owned) = self.logs.get(&log) else {
            return;
        };
        let Some(found) = owned.state.programs.get(program) else {
            return;
        };
        if found.ending.is_some() || found.allowance * 100 >= target * REFILL_BELOW_PERCENT {
            return;
        }
        let account = found.spec.account.clone();
        let grant = owned.grants.get(&account).copied().unwrap_or_default();
        let used = owned.state.usage(&account).total();
        let free = grant.tokens.saturating_sub(used);
        let allowance = target.min(found.allowance + found.uncommitted().min(free));
        let low = free < target;
        if allowance > found.allowance {
            self.record(log, Record::Allow { program: program.clone(), allowance });
        }
        if low && !grant.drawing {
            self.draw(log, &account);
        }
    }

    /// Shrinks grants that exceed the log's use by more than two chunks, so that one chunk is left.
    pub(super) fn return_grants(&mut self) {
        let chunk = self.limits().grant_chunk;
        let mut surplus = Vec::new();
        for owned in self.logs.values_mut() {
            for (account, grant) in &mut owned.grants {
                let used = owned.state.usage(account).total();
                if grant.known && !grant.drawing && grant.tokens > used + 2 * chunk {
                    grant.tokens = used + chunk;
                    surplus.push((owned.state.log, account.clone(), used + chunk));
                }
            }
        }
        for (log, account, wanted) in surplus {
            self.request_grant(log, &account, wanted);
        }
    }

    /// Adds an entry to a log; returns whether the log accepted it.
    pub(super) fn record(&mut self, log: LogId, record: Record) -> bool {
        let Some(owned) = self.logs.get_mut(&log) else {
            return false;
        };
        match owned.push(record) {
            Ok(()) => true,
            Err(error) => {
                metrics::counter!("entries_rejected_total").increment(1);
                log::error!("log {log} rejected an entry: {error}");
                false
            }
        }
    }
}
