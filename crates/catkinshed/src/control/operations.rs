//! Handlers of the operations on programs.

use super::active_call::{ActiveCall, Stage};
use super::event::ReplySender;
use super::owned::Continuation;
use super::{Control, ProgramTimes};
use crate::output::Output;
use crate::settings::InjectedFault;
use peer::wire::{Operation, Position, Principal, Reply};
use sched::call::{Call, Outcome, Work};
use sched::config::Pool;
use sched::id::{CallId, LogId, PoolId, ProgramId};
use sched::program::Program;
use sched::record::{Ending, Record, Spec};
use sched::refusal::{Code, Execution, Refusal};
use std::time::{Duration, Instant};

/// Delay after which a caller may repeat a request that needs the key-value service.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Control {
    /// Runs an operation on a program of an owned log, or refuses it.
    pub(super) fn handle_operation(
        &mut self,
        principal: &Principal,
        operation: Operation,
        replies: &ReplySender,
        now: Instant,
    ) {
        let Some(log) = operation.log() else {
            return send_reply(replies, Reply::Refused(program_not_found()));
        };
        let serves = self.logs.get(&log).is_some_and(|owned| owned.accepts_operations());
        // If this process was suspended past the end of its lease, another daemon may own the log.
        // The next renewal of the lease shows whether this daemon still does.
        let lease_in_doubt = self.platform_up && !self.lease_valid(now);
        let lease_in_doubt = lease_in_doubt && !self.injects(InjectedFault::NoFence);
        if !serves || lease_in_doubt {
            return send_reply(replies, Reply::NotOwner);
        }
        let result = match operation {
            Operation::Create { spec, .. } => {
                self.create_program(log, principal, spec, replies, now)
            }
            Operation::Call { program, call, timeout, position, receipts } => {
                let request = CallRequest { log, program, call, timeout, position };
                self.accept_call(principal, request, &receipts, replies, now)
            }
            Operation::Attach { program, call, position } => {
                self.attach(log, principal, &program, &call, position, replies)
            }
            Operation::Restore { program, receipts } => {
                self.restore_and_reply(log, principal, &program, &receipts, replies)
            }
            Operation::Read { program } => self.read(log, principal, &program, replies),
            Operation::End { program, ending } => {
                self.end(log, principal, &program, ending, replies, now)
            }
            Operation::Prioritise { program, priority } => {
                self.prioritise(log, principal, &program, priority, replies)
            }
        };
        if let Err(refusal) = result {
            self.refuse(replies, refusal, now);
        }
    }

    /// Refuses an operation.
    ///
    /// A refusal that depends on the program's history is replaced by [`Code::PlatformDown`] while
    /// another daemon may have taken over the log and changed that history.
    fn refuse(&self, replies: &ReplySender, refusal: Refusal, now: Instant) {
        metrics::counter!("refusals_total", "code" => format!("{:?}", refusal.code)).increment(1);
        let refusal = match depends_on_history(refusal.code) && !self.lease_valid(now) {
            true => platform_down("this VM's copy of the program may be out of date"),
            false => refusal,
        };
        send_reply(replies, Reply::Refused(self.adjust_execution(refusal, now)));
    }

    /// Replaces `not_run` with `unknown` in a refusal while another owner may have run the call.
    pub(super) fn adjust_execution(&self, refusal: Refusal, now: Instant) -> Refusal {
        match refusal.ran {
            Execution::NotRun if !self.lease_valid(now) => {
                Refusal { ran: Execution::Unknown, ..refusal }
            }
            _ => refusal,
        }
    }

    /// Creates a program, or returns the one that was created with the same idempotency key.
    fn create_program(
        &mut self,
        log: LogId,
        principal: &Principal,
        spec: Spec,
        replies: &ReplySender,
        now: Instant,
    ) -> Result<(), Refusal> {
        let team = principal_team(principal)?;
        let spec = Spec { team: team.clone(), ..spec };
        let owned = self.owned_log(log)?;
        if let Some(key) = &spec.key
            && let Some(program) = owned.state.program_by_key(&team, key).cloned()
        {
            let same = owned.state.programs.get(&program).is_some_and(|found| found.spec == spec);
            if !same {
                let message =
                    format!("idempotency key '{key}' was already used for a different program");
                return Err(Refusal::not_run(Code::CallMismatch, message));
            }
            owned.on_durable(Continuation::Reply {
                replies: replies.clone(),
                reply: Reply::Created(program),
            });
            return Ok(());
        }
        self.check_new_program(log, &spec)?;
        let owned = self.owned_log(log)?;
        let program = owned.state.next_program_id();
        push_record(owned, Record::Create { program: program.clone(), spec })?;
        owned.on_durable(Continuation::Reply {
            replies: replies.clone(),
            reply: Reply::Created(program.clone()),
        });
        self.program_times.insert(program, ProgramTimes { started_at: now, last_used_at: now });
        metrics::counter!("programs_created_total").increment(1);
        Ok(())
    }

    /// Attaches to a known call, or checks and starts a new one.
    fn accept_call(
        &mut self,
        principal: &Principal,
        request: CallRequest,
        receipts: &[String],
        replies: &ReplySender,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.authorized_program(request.log, principal, &request.program)?;
        self.restore_turns(request.log, &request.program, receipts)?;
        if self.answer_known_call(&request, replies)? {
            return Ok(());
        }
        self.check_new_call(&request, now)?;
        let output = Output::default();
        stream_answer(&self.shared.runtime, &output, request.position, replies);
        self.start_call(request, output, now)
    }

    /// Answers a call that is running or has ended already; returns `false` for any other call.
    fn answer_known_call(
        &mut self,
        request: &CallRequest,
        replies: &ReplySender,
    ) -> Result<bool, Refusal> {
        let id = &request.call.id;
        if let Some(active) = self.active_calls.get(&request.program)
            && active.call.id == *id
        {
            check_same_call(&active.call, &request.call)?;
            stream_answer(&self.shared.runtime, &active.output, request.position, replies);
            return Ok(true);
        }
        let runtime = self.shared.runtime.clone();
        let injected = self.injects(InjectedFault::ForeignAnswer);
        let owned = self.owned_log(request.log)?;
        let turn = owned.state.programs.get(&request.program).and_then(|found| found.turn(id));
        let foreign = owned.state.programs.values().find_map(|found| found.turn(id));
        let turn = turn.or(foreign.filter(|_| injected)).cloned();
        let Some(turn) = turn else {
            return Ok(false);
        };
        if !injected {
            check_same_call(&turn.call, &request.call)?;
        }
        let output = Output::default();
        stream_answer(&runtime, &output, request.position, replies);
        replay(&output, &turn.outcome);
        let reply = Reply::Ended { outcome: turn.outcome, receipt: None, queued: Duration::ZERO };
        owned.on_durable(Continuation::EndAnswer {
            program: request.program.clone(),
            call: id.clone(),
            output,
            reply,
            receipt_sent: false,
        });
        Ok(true)
    }

    /// Adds a call to the active ones and reserves tokens for it.
    fn start_call(
        &mut self,
        request: CallRequest,
        output: Output,
        now: Instant,
    ) -> Result<(), Refusal> {
        let program = self.find_program(request.log, &request.program)?;
        let spec = program.spec.clone();
        let pool = call_pool(&request.call, &spec.pool).clone();
        let config = self.pool_config(&pool)?;
        let timeout = request.timeout.unwrap_or(Duration::from_secs(config.call_s));
        let max_tokens = match &request.call.work {
            Work::Model { max_tokens, .. } => *max_tokens,
            Work::Service { .. } => 0,
        };
        let expected_tokens = self.answer_lengths.predict(&spec.team, &spec.kind).min(max_tokens);
        let answer_reservation =
            self.answer_lengths.reservation(&spec.team, &spec.kind, max_tokens);
        let active = ActiveCall {
            log: request.log,
            call: request.call,
            team: spec.team.clone(),
            pool,
            kind: spec.kind.clone(),
            output,
            stage: Stage::AwaitingTokens,
            arrived_at: now,
            stage_since: now,
            deadline: now + timeout,
            queue_time: Duration::ZERO,
            max_tokens,
            token_limit: 0,
            expected_tokens,
            answer_reservation,
            undelivered_tokens: 0,
            rank: None,
            failures: 0,
            avoid: None,
            sent: false,
        };
        self.record_pause(&request.program, &spec, now);
        *self.team_calls.entry(spec.team).or_default() += 1;
        self.active_calls.insert(request.program.clone(), active);
        metrics::counter!("calls_total").increment(1);
        self.prepare_call(&request.program, now);
        Ok(())
    }

    /// Adds the time since the program's last call to the estimates of pauses.
    fn record_pause(&mut self, program: &ProgramId, spec: &Spec, now: Instant) {
        let times = self
            .program_times
            .entry(program.clone())
            .or_insert(ProgramTimes { started_at: now, last_used_at: now });
        let pause = now.saturating_duration_since(times.last_used_at);
        times.last_used_at = now;
        self.pauses.learn(&spec.team, &spec.kind, pause.as_millis() as u64);
    }

    /// Streams the answer of a call that was made before.
    ///
    /// A call that an earlier owner left open is refused: it resumes only when its caller repeats
    /// it.
    fn attach(
        &mut self,
        log: LogId,
        principal: &Principal,
        program: &ProgramId,
        call: &CallId,
        position: Position,
        replies: &ReplySender,
    ) -> Result<(), Refusal> {
        let found = self.authorized_program(log, principal, program)?;
        let known = found.turn(call).map(|turn| turn.call.clone());
        let known = known.or_else(|| {
            let open = found.open.as_ref().filter(|open| open.call.id == *call);
            open.map(|open| open.call.clone())
        });
        let active = self.active_calls.get(program).filter(|active| active.call.id == *call);
        let known = active.map(|active| active.call.clone()).or(known);
        let call = known.ok_or_else(|| not_found("call", call))?;
        let request = CallRequest { log, program: program.clone(), call, timeout: None, position };
        if self.answer_known_call(&request, replies)? {
            return Ok(());
        }
        let refusal = Refusal::unknown(
            Code::OwnerChanging,
            "the call was interrupted; repeat it with the same id to resume it",
        );
        Err(refusal.retry_after(Duration::ZERO))
    }

    /// Replies with the state of a program.
    fn read(
        &mut self,
        log: LogId,
        principal: &Principal,
        program: &ProgramId,
        replies: &ReplySender,
    ) -> Result<(), Refusal> {
        let found = self.authorized_program(log, principal, program)?.clone();
        send_reply(replies, Reply::Program(Box::new(found)));
        Ok(())
    }

    /// Ends a program, and replies once its end is durable.
    fn end(
        &mut self,
        log: LogId,
        principal: &Principal,
        program: &ProgramId,
        ending: Ending,
        replies: &ReplySender,
        now: Instant,
    ) -> Result<(), Refusal> {
        let found = self.authorized_program(log, principal, program)?;
        if found.ending.is_none() {
            let unfinished = self.active_calls.contains_key(program);
            if unfinished && ending == Ending::Finished {
                let message = "a call of the program has not ended; cancel the program instead";
                return Err(Refusal::not_run(Code::PreviousUnfinished, message));
            }
            self.end_program(log, program, ending, now);
        }
        self.reply_after_ending(log, program, replies);
        Ok(())
    }

    /// Changes the priority of a program; only operators may do so.
    fn prioritise(
        &mut self,
        log: LogId,
        principal: &Principal,
        program: &ProgramId,
        priority: i8,
        replies: &ReplySender,
    ) -> Result<(), Refusal> {
        if let Principal::Team(_) = principal {
            return Err(Refusal::not_run(
                Code::Unauthorized,
                "only operators may change priorities",
            ));
        }
        self.authorized_program(log, principal, program)?;
        let owned = self.owned_log(log)?;
        push_record(owned, Record::Prioritise { program: program.clone(), priority })?;
        owned.on_durable(Continuation::Reply { replies: replies.clone(), reply: Reply::Done });
        Ok(())
    }

    /// Returns a log that this daemon owns, or a `not_found` refusal.
    pub(super) fn owned_log(&mut self, log: LogId) -> Result<&mut super::owned::Log, Refusal> {
        self.logs.get_mut(&log).ok_or_else(program_not_found)
    }

    /// Returns a program of an owned log, or a `not_found` refusal.
    pub(super) fn find_program(
        &self,
        log: LogId,
        program: &ProgramId,
    ) -> Result<&Program, Refusal> {
        let owned = self.logs.get(&log).ok_or_else(program_not_found)?;
        owned.state.programs.get(program).ok_or_else(program_not_found)
    }

    /// Returns a program of an owned log; refuses a team access to another team's program.
    pub(super) fn authorized_program(
        &self,
        log: LogId,
        principal: &Principal,
        program: &ProgramId,
    ) -> Result<&Program, Refusal> {
        let found = self.find_program(log, program)?;
        match principal {
            Principal::Team(team) if *team != found.spec.team => Err(wrong_team(program)),
            _ => Ok(found),
        }
    }

    /// Returns the configuration of a pool, or a `not_found` refusal.
    pub(super) fn pool_config(&self, pool: &PoolId) -> Result<&Pool, Refusal> {
        self.config.pools.get(pool).ok_or_else(|| not_found("pool", pool))
    }
}

/// A request to run a call or to attach to it.
///
/// Without a `timeout`, the pool's limit for calls applies.
pub(super) struct CallRequest {
    pub(super) log: LogId,
    pub(super) program: ProgramId,
    pub(super) call: Call,
    pub(super) timeout: Option<Duration>,
    pub(super) position: Position,
}

/// Returns the pool that serves a call: the program's own for a model call, the one that the call
/// names for a service call.
pub(super) fn call_pool<'a>(call: &'a Call, spec_pool: &'a PoolId) -> &'a PoolId {
    match &call.work {
        Work::Model { .. } => spec_pool,
        Work::Service { service, .. } => service,
    }
}

/// Writes the text of an ended call to an output; readers get it in one piece.
fn replay(output: &Output, outcome: &Outcome) {
    if let Outcome::Done { text, run, tokens, .. } = outcome
        && !text.is_empty()
    {
        output.set_run(*run);
        output.set_text(text, *tokens);
    }
}

/// Spawns a task that forwards the answer, starting at `position`, until the answer ends or the
/// caller disconnects.
fn stream_answer(
    runtime: &tokio::runtime::Handle,
    output: &Output,
    position: Position,
    replies: &ReplySender,
) {
    let mut reader = output.read_from(position);
    let replies = replies.clone();
    runtime.spawn(async move {
        while let Some(reply) = reader.next().await {
            if replies.send(reply).await.is_err() {
                return;
            }
        }
    });
}

fn send_reply(replies: &ReplySender, reply: Reply) {
    // Fails if the caller disconnected.
    let _ = replies.try_send(reply);
}

/// Adds an entry to a log; refuses the operation if the log rejects the entry.
pub(super) fn push_record(owned: &mut super::owned::Log, record: Record) -> Result<(), Refusal> {
    owned.push(record).map_err(|error| Refusal::not_run(Code::Internal, error.to_string()))
}

/// Refuses a call whose id was used before with other content.
pub(super) fn check_same_call(known: &Call, requested: &Call) -> Result<(), Refusal> {
    if known == requested {
        return Ok(());
    }
    let message = format!("call '{}' was already made with different content", requested.id);
    Err(Refusal {
        code: Code::CallMismatch,
        ran: Execution::Unknown,
        retry_after_ms: None,
        message,
    })
}

/// Returns the team that requests an operation; refuses operators, which own no programs.
fn principal_team(principal: &Principal) -> Result<compact_str::CompactString, Refusal> {
    match principal {
        Principal::Team(team) => Ok(team.clone()),
        Principal::Operator(_) => {
            Err(Refusal::not_run(Code::Unauthorized, "only teams may create programs"))
        }
    }
}

/// Returns whether a refusal may be wrong if another daemon has taken over the log.
fn depends_on_history(code: Code) -> bool {
    matches!(
        code,
        Code::NotFound
            | Code::OutOfOrder
            | Code::PreviousUnfinished
            | Code::CallMismatch
            | Code::ProgramEnded
            | Code::BudgetExhausted
    )
}

/// Returns the refusal for a program that does not exist.
pub(super) fn program_not_found() -> Refusal {
    Refusal::not_run(Code::NotFound, "the program does not exist")
}

/// Returns the refusal for a missing object; `what` is the kind of the object.
pub(super) fn not_found(what: &str, name: &str) -> Refusal {
    Refusal::not_run(Code::NotFound, format!("{what} '{name}' does not exist"))
}

/// Returns the refusal for a program of another team.
pub(super) fn wrong_team(program: &str) -> Refusal {
    Refusal::not_run(Code::WrongTeam, format!("program {program} belongs to another team"))
}

/// Returns the refusal for a program that has ended.
pub(super) fn program_ended(program: &str) -> Refusal {
    Refusal::not_run(Code::ProgramEnded, format!("program {program} has ended"))
}

/// Returns the refusal for an operation that needs the key-value service while it is unreachable;
/// `what` names the consequence.
pub(super) fn platform_down(what: &str) -> Refusal {
    let message = format!("the key-value service is unreachable: {what}");
    Refusal::not_run(Code::PlatformDown, message).retry_after(PLATFORM_RETRY_AFTER)
}
