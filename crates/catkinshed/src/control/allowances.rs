//! Tokens for calls.
//!
//! A model call may leave once the program's durable allowance covers what the call is predicted
//! to need. Otherwise the allowance is raised first, within the program's budget and the log's
//! grant of the account, and the call waits until that is durable. A call that needs more while it
//! runs is funded again; when nothing is left, its answer ends there.

use super::Control;
use super::live::Stage;
use super::owned::{Continuation, Grant};
use crate::settings::Injected;
use crate::traffic::grants;
use sched::call::{Outcome, StopReason, Work};
use sched::grant::Request;
use sched::id::{AccountId, Epoch, LogId, ProgramId, Tokens};
use sched::record::Record;
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// When a caller may repeat a request that its account did not cover.
const BUDGET_RETRY: Duration = Duration::from_secs(30);
/// Part of the allowance below which it is raised ahead of need.
const REFILL_BELOW_PERCENT: Tokens = 50;

/// What an attempt to raise an allowance led to.
enum Raise {
    /// The raised allowance waits to become durable.
    Pending,
    /// A draw from the account is under way.
    Drawing,
    /// Nothing more can be had.
    Exhausted,
}

impl Control {
    /// Brings a call from its arrival, or from the end of its tokens, to the queue.
    pub(super) fn prepare_call(&mut self, program: &ProgramId, now: Instant) {
        let Some(live) = self.live.get(program) else {
            return;
        };
        match live.call.work {
            Work::Model { .. } => self.fund_model(program, now),
            Work::Service { idempotent, .. } => self.intend_service(program, idempotent, now),
        }
    }

    fn fund_model(&mut self, program: &ProgramId, now: Instant) {
        let Some(live) = self.live.get(program) else {
            return;
        };
        let (log, charged) = (live.log, live.charged());
        let wanted = charged + live.reserve.min(live.asked.saturating_sub(live.tape.tokens()));
        let usable = self.logs.get(&log).map_or(0, |owned| owned.usable_tokens(program));
        if usable >= wanted.max(1) {
            return self.funded(program, usable, now);
        }
        match self.raise(log, program, wanted) {
            Raise::Pending => self.wait_durable(program, now),
            Raise::Drawing => self.enter(program, Stage::Funding, now),
            Raise::Exhausted if usable > charged => self.funded(program, usable, now),
            Raise::Exhausted => self.out_of_budget(program, now),
        }
    }

    fn funded(&mut self, program: &ProgramId, usable: Tokens, now: Instant) {
        let Some(live) = self.live.get_mut(program) else {
            return;
        };
        live.hold = usable;
        let (log, call) = (live.log, live.call.clone());
        if !self.has_intent(log, program) {
            let record = Record::Intent { program: program.clone(), call };
            if !self.record(log, record) {
                return self.fail(program, "the call does not fit its log", now);
            }
        }
        self.enqueue(program, now);
    }

    fn has_intent(&self, log: LogId, program: &ProgramId) -> bool {
        self.find(log, program).is_ok_and(|found| found.open.is_some())
    }

    fn wait_durable(&mut self, program: &ProgramId, now: Instant) {
        let Some(live) = self.live.get(program) else {
            return;
        };
        let (log, call) = (live.log, live.call.id.clone());
        if let Some(owned) = self.logs.get_mut(&log) {
            owned.on_durable(Continuation::PrepareCall { program: program.clone(), call });
        }
        self.enter(program, Stage::Durable, now);
    }

    fn intend_service(&mut self, program: &ProgramId, idempotent: bool, now: Instant) {
        let Some(live) = self.live.get(program) else {
            return;
        };
        let (log, call) = (live.log, live.call.clone());
        if self.has_intent(log, program) {
            return self.enqueue(program, now);
        }
        if !self.record(log, Record::Intent { program: program.clone(), call }) {
            return self.fail(program, "the call does not fit its log", now);
        }
        match idempotent || self.injects(Injected::IntentAfterOrder) {
            true => self.enqueue(program, now),
            false => self.wait_durable(program, now),
        }
    }

    /// Raises a program's allowance to cover `wanted`.
    fn raise(&mut self, log: LogId, program: &ProgramId, wanted: Tokens) -> Raise {
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
        let most = found.allowance + found.uncommitted();
        let goal = target.min(most);
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
            return self.draw_or_take(log, program, &account, goal);
        }
        let allowance = goal.min(before + free);
        match self.record(log, Record::Allow { program: program.clone(), allowance }) {
            true => Raise::Pending,
            false => Raise::Exhausted,
        }
    }

    /// Draws from the account, or takes what is left of a grant that cannot grow.
    fn draw_or_take(
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
        let refused = std::mem::take(&mut grant.just_drawn);
        if !refused {
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

    /// Draws a further chunk for a log from an account.
    pub(super) fn draw(&mut self, log: LogId, account: &AccountId) {
        let chunk = self.limits().grant_chunk;
        let extra = self.waiting_demand(log, account) + chunk;
        let Some(owned) = self.logs.get(&log) else {
            return;
        };
        let wanted = owned.state.usage(account).total() + extra;
        self.settle_grant(log, account, wanted);
    }

    fn waiting_demand(&self, log: LogId, account: &AccountId) -> Tokens {
        let waiting = self
            .live
            .iter()
            .filter(|(_, live)| live.log == log && matches!(live.stage, Stage::Funding));
        let of_account = waiting.filter(|(program, _)| {
            self.find(log, program).is_ok_and(|found| found.spec.account == *account)
        });
        of_account.map(|(_, live)| live.reserve).sum()
    }

    /// Sets the log's grant to `wanted`, as far as the account allows.
    fn settle_grant(&mut self, log: LogId, account: &AccountId, wanted: Tokens) {
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
            let result = grants::draw(&kv, &account, request).await;
            let platform_down = matches!(result, Err(grants::Failure::Platform(_)));
            if let Err(failure) = &result {
                log::debug!("the draw from '{account}' failed: {failure}");
            }
            let tokens = result.ok();
            events.send(super::Event::Granted { log, epoch, account, tokens, platform_down });
        });
    }

    /// Takes the end of a draw and funds the calls that waited for it.
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
            self.set_platform(false, now);
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
        let waiting: Vec<ProgramId> = self.waiting_for(log, account);
        for program in waiting {
            if tokens.is_none() {
                self.give_up_funding(&program, platform_down, now);
                continue;
            }
            // Each call takes what it can of a grant that did not grow enough.
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

    fn waiting_for(&self, log: LogId, account: &AccountId) -> Vec<ProgramId> {
        let funding = self.live.iter().filter(|(program, live)| {
            live.log == log
                && matches!(live.stage, Stage::Funding)
                && self.find(log, program).is_ok_and(|found| found.spec.account == *account)
        });
        funding.map(|(program, _)| program.clone()).collect()
    }

    fn give_up_funding(&mut self, program: &ProgramId, platform_down: bool, now: Instant) {
        let refusal = match platform_down {
            true => super::asks::platform_down("the account cannot be drawn from"),
            false => Refusal::not_run(Code::Internal, "the account's ledger is contended")
                .retry_after(Duration::from_secs(1)),
        };
        self.stop_short(program, refusal, now);
    }

    fn out_of_budget(&mut self, program: &ProgramId, now: Instant) {
        let refusal = Refusal::not_run(Code::BudgetExhausted, "the budget is used up");
        self.stop_short(program, refusal.retry_after(BUDGET_RETRY), now);
    }

    /// Ends a call that gets no more tokens: refused before its first one, cut there afterwards.
    fn stop_short(&mut self, program: &ProgramId, refusal: Refusal, now: Instant) {
        let Some(live) = self.live.get(program) else {
            return;
        };
        if !live.sent {
            return self.withdraw(program, refusal, now);
        }
        let outcome = Outcome::Done {
            text: live.tape.text(),
            tokens: live.charged(),
            stop: StopReason::Budget,
            run: live.tape.run(),
        };
        self.conclude(program, outcome, now);
    }

    /// Raises a program's allowance ahead of its next call, where the grant allows it.
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

    /// Returns grants that exceed their use by far.
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
            self.settle_grant(log, &account, wanted);
        }
    }

    /// Adds an entry to a log; returns whether it fits.
    pub(super) fn record(&mut self, log: LogId, record: Record) -> bool {
        let Some(owned) = self.logs.get_mut(&log) else {
            return false;
        };
        match owned.push(record) {
            Ok(()) => true,
            Err(fault) => {
                metrics::counter!("entries_rejected_total").increment(1);
                log::error!("an entry of log {log} does not fit: {fault}");
                false
            }
        }
    }
}
