//! Admission of new programs and calls.
//!
//! All checks run before any state changes, so a refused request has no effect. The exception is a
//! call beyond the step limit, which ends its program.

use super::Control;
use super::operations::{
    CallRequest, call_pool, check_same_call, not_found, platform_down, program_ended,
    program_not_found, wrong_team,
};
use sched::call::{Outcome, Turn};
use sched::id::{LogId, PoolId};
use sched::record::{Ending, Spec};
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// Delay after which a caller may repeat a request that was refused because of overload, because no
/// endpoint accepts calls or because this VM is stopping.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a program's history together with a new call, in bytes.
const MAX_HISTORY_BYTES: usize = 2 << 20;

impl Control {
    /// Checks whether a program may be created.
    pub(super) fn check_new_program(&self, log: LogId, spec: &Spec) -> Result<(), Refusal> {
        if self.stopping.is_some() {
            let refusal = Refusal::not_run(Code::Stopping, "this VM is stopping");
            return Err(refusal.retry_after(OVERLOAD_RETRY_AFTER));
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

    /// Refuses a program beyond the team's limit of programs that have not ended, counted per log.
    fn check_team_limit(&self, log: LogId, spec: &Spec) -> Result<(), Refusal> {
        let limit = self.config.teams.get(&spec.team).map_or(0, |team| team.max_programs);
        let programs = self.logs.get(&log).map(|owned| owned.state.programs.values());
        let running = programs
            .into_iter()
            .flatten()
            .filter(|program| program.ending.is_none() && program.spec.team == spec.team);
        if running.count() < limit as usize {
            return Ok(());
        }
        let message =
            format!("team '{}' already has {limit} programs that have not ended", spec.team);
        Err(Refusal::not_run(Code::Overloaded, message).retry_after(OVERLOAD_RETRY_AFTER))
    }

    /// Refuses a parent program that is missing, has ended or belongs to another team.
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

    /// Checks whether a call that is neither active nor ended may start.
    pub(super) fn check_new_call(
        &mut self,
        request: &CallRequest,
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
            let message =
                format!("call {} is out of order; the next call is {expected}", request.call.seq);
            return Err(Refusal::not_run(Code::OutOfOrder, message));
        }
        let spec_pool = program.spec.pool.clone();
        let steps = self.pool_config(&spec_pool)?.max_steps;
        if request.call.seq > steps {
            self.end_program(request.log, &request.program, Ending::StepLimit, now);
            let message = format!("the program has reached its limit of {steps} calls");
            return Err(Refusal::not_run(Code::ProgramEnded, message));
        }
        self.check_size(request)?;
        self.check_admission(request, &spec_pool, now)
    }

    /// Refuses a call whose text would make the program's history too large for a prompt.
    fn check_size(&self, request: &CallRequest) -> Result<(), Refusal> {
        let program = self.find_program(request.log, &request.program)?;
        let history: usize = program.turns.iter().map(turn_size).sum();
        if history + request.call.work.text().len() > MAX_HISTORY_BYTES {
            let message =
                "the program's history would exceed 2 MiB; finish the program and create a new one";
            return Err(Refusal::not_run(Code::TooLarge, message));
        }
        Ok(())
    }

    /// Refuses a call if its pool or the log's pending commits have no capacity for it.
    fn check_admission(
        &self,
        request: &CallRequest,
        spec_pool: &PoolId,
        now: Instant,
    ) -> Result<(), Refusal> {
        let pool = call_pool(&request.call, spec_pool);
        let config = self.pool_config(pool)?;
        let waiting = self.queues.get(pool).map_or(0, |queue| queue.len());
        if waiting >= config.max_queue as usize {
            let message = format!("pool '{pool}' has {waiting} calls waiting");
            return Err(
                Refusal::not_run(Code::Overloaded, message).retry_after(OVERLOAD_RETRY_AFTER)
            );
        }
        let open = self.pools.get(pool).is_some_and(|pool| pool.views.values().any(|v| v.open));
        if !open {
            let message = format!("pool '{pool}' has no endpoint that accepts calls");
            return Err(
                Refusal::not_run(Code::NoEndpoint, message).retry_after(OVERLOAD_RETRY_AFTER)
            );
        }
        if !request.call.work.idempotent() && !self.platform_up {
            return Err(platform_down("a call that must not run twice cannot start"));
        }
        let outage = now.saturating_duration_since(self.platform_last_up);
        if outage.as_millis() as u64 > self.limits().outage_limit_ms {
            return Err(platform_down("the outage has lasted longer than the configured limit"));
        }
        let nondurable_bytes =
            self.logs.get(&request.log).map_or(0, |owned| owned.nondurable_bytes());
        if nondurable_bytes as u64 > self.limits().max_pending_bytes {
            return Err(platform_down("too many log entries are waiting to be committed"));
        }
        Ok(())
    }
}

/// Returns the size of a turn's request and answer texts, in bytes.
fn turn_size(turn: &Turn) -> usize {
    let answer = match &turn.outcome {
        Outcome::Done { text, .. } => text.len(),
        _ => 0,
    };
    turn.call.work.text().len() + answer
}
