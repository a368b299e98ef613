//! Whether a new program or call is taken.
//!
//! Everything is checked before anything changes, so that a refused request leaves no trace; only a
//! call beyond the step limit ends its program.

use super::Control;
use super::operations::{
    Request, call_pool, check_same_call, not_found, platform_down, program_ended,
    program_not_found, wrong_team,
};
use sched::call::{Outcome, Turn};
use sched::id::{LogId, PoolId};
use sched::record::{Ending, Spec};
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// When a caller may repeat a request that met a full queue.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// Longest text of one model prompt, in bytes.
const MAX_HISTORY_BYTES: usize = 2 << 20;

impl Control {
    /// Checks the creation of a program.
    pub(super) fn check_new_program(&self, log: LogId, spec: &Spec) -> Result<(), Refusal> {
        if self.stopping.is_some() {
            let refusal = Refusal::not_run(Code::Stopping, "this VM is stopping");
            return Err(refusal.retry_after(OVERLOAD_RETRY));
        }
        if !self.platform_up {
            return Err(platform_down("a program cannot be created"));
        }
        self.pool_config(&spec.pool)?;
        let account = self.config.budgets.get(&spec.account);
        let account = account.ok_or_else(|| not_found("budget", &spec.account))?;
        if account.team != spec.team {
            let message = format!("budget '{}' belongs to another team", spec.account);
            return Err(Refusal::not_run(Code::WrongTeam, message));
        }
        self.check_team_limit(log, spec)?;
        self.check_parent(log, spec)
    }

    fn check_team_limit(&self, log: LogId, spec: &Spec) -> Result<(), Refusal> {
        let limit = self.config.teams.get(&spec.team).map_or(0, |team| team.max_programs);
        let programs = self.logs.get(&log).map(|owned| owned.state.programs.values());
        let live = programs
            .into_iter()
            .flatten()
            .filter(|program| program.ending.is_none() && program.spec.team == spec.team);
        if live.count() < limit as usize {
            return Ok(());
        }
        let message = format!("team '{}' has {limit} programs under way already", spec.team);
        Err(Refusal::not_run(Code::Overloaded, message).retry_after(OVERLOAD_RETRY))
    }

    fn check_parent(&self, log: LogId, spec: &Spec) -> Result<(), Refusal> {
        let Some(parent) = &spec.parent else {
            return Ok(());
        };
        let programs = self.logs.get(&log).map(|owned| &owned.state.programs);
        let found = programs.and_then(|programs| programs.get(parent));
        match found {
            Some(found) if found.spec.team != spec.team => Err(wrong_team(parent)),
            Some(found) if found.ending.is_some() => Err(program_ended(parent)),
            Some(_) => Ok(()),
            None => Err(program_not_found()),
        }
    }

    /// Checks a call that is not known yet.
    pub(super) fn check_new_call(
        &mut self,
        request: &Request,
        now: Instant,
    ) -> Result<(), Refusal> {
        let program = self.find_program(request.log, &request.program)?;
        if program.ending.is_some() {
            return Err(program_ended(&request.program));
        }
        let unfinished = program.open.as_ref().is_some_and(|open| open.call.id != request.call.id);
        if unfinished || self.active_calls.contains_key(&request.program) {
            let message = "the program's previous call has not ended";
            return Err(Refusal::not_run(Code::PreviousUnfinished, message));
        }
        if let Some(open) = &program.open {
            check_same_call(&open.call, &request.call)?;
        }
        let expected = program.next_seq();
        if request.call.seq != expected {
            let message = format!("call {} came where {expected} is next", request.call.seq);
            return Err(Refusal::not_run(Code::OutOfOrder, message));
        }
        let spec_pool = program.spec.pool.clone();
        let steps = self.pool_config(&spec_pool)?.max_steps;
        if request.call.seq > steps {
            self.end_program(request.log, &request.program, Ending::StepLimit, now);
            let message = format!("the program reached its limit of {steps} calls");
            return Err(Refusal::not_run(Code::ProgramEnded, message));
        }
        self.check_size(request)?;
        self.check_admission(request, &spec_pool, now)
    }

    fn check_size(&self, request: &Request) -> Result<(), Refusal> {
        let program = self.find_program(request.log, &request.program)?;
        let history: usize = program.turns.iter().map(turn_size).sum();
        if history + request.call.work.text().len() > MAX_HISTORY_BYTES {
            let message = "the program's history would exceed 2 MiB; finish it and begin another";
            return Err(Refusal::not_run(Code::TooLarge, message));
        }
        Ok(())
    }

    fn check_admission(
        &self,
        request: &Request,
        spec_pool: &PoolId,
        now: Instant,
    ) -> Result<(), Refusal> {
        let pool = call_pool(&request.call, spec_pool);
        let config = self.pool_config(pool)?;
        let waiting = self.queues.get(pool).map_or(0, |queue| queue.len());
        if waiting >= config.max_queue as usize {
            let message = format!("pool '{pool}' has {waiting} calls waiting");
            return Err(Refusal::not_run(Code::Overloaded, message).retry_after(OVERLOAD_RETRY));
        }
        let open = self.pools.get(pool).is_some_and(|pool| pool.views.values().any(|v| v.open));
        if !open {
            let message = format!("pool '{pool}' has no endpoint that takes work");
            return Err(Refusal::not_run(Code::NoEndpoint, message).retry_after(OVERLOAD_RETRY));
        }
        if !request.call.work.idempotent() && !self.platform_up {
            return Err(platform_down("a call that must run at most once cannot start"));
        }
        let outage = now.saturating_duration_since(self.platform_last_up);
        if outage.as_millis() as u64 > self.limits().outage_limit_ms {
            return Err(platform_down("the outage has outlasted its limit"));
        }
        let owned = self.logs.get(&request.log).map_or(0, |owned| owned.nondurable_bytes());
        if owned as u64 > self.limits().max_pending_bytes {
            return Err(platform_down("too much is waiting to be made durable"));
        }
        Ok(())
    }
}

fn turn_size(turn: &Turn) -> usize {
    let answer = match &turn.outcome {
        Outcome::Done { text, .. } => text.len(),
        _ => 0,
    };
    turn.call.work.text().len() + answer
}
