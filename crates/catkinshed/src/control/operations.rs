//! Operations on programs.

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

/// When a caller may repeat a request that needs the key-value service.
const PLATFORM_RETRY: Duration = Duration::from_secs(2);

impl Control {
    /// Answers an operation, or refuses it.
    pub(super) fn handle_operation(
        &mut self,
        asker: &Principal,
        ask: Operation,
        outbox: &ReplySender,
        now: Instant,
    ) {
        let Some(log) = ask.log() else {
            return reply(outbox, Reply::Refused(program_not_found()));
        };
        let serves = self.logs.get(&log).is_some_and(|owned| owned.accepts_operations());
        // After a pause the lease may be another's; its next renewal will tell.
        let doubtful = self.platform_up && !self.lease_valid(now);
        let doubtful = doubtful && !self.injects(InjectedFault::NoFence);
        if !serves || doubtful {
            return reply(outbox, Reply::NotOwner);
        }
        let result = match ask {
            Operation::Create { spec, .. } => self.create(log, asker, spec, outbox, now),
            Operation::Call { program, call, timeout: within, position, receipts } => {
                let request = Request { log, program, call, within, position };
                self.call(asker, request, &receipts, outbox, now)
            }
            Operation::Attach { program, call, position } => {
                self.attach(log, asker, &program, &call, position, outbox)
            }
            Operation::Restore { program, receipts } => {
                self.restore_and_reply(log, asker, &program, &receipts, outbox)
            }
            Operation::Read { program } => self.read(log, asker, &program, outbox),
            Operation::End { program, ending } => {
                self.end(log, asker, &program, ending, outbox, now)
            }
            Operation::Prioritise { program, priority } => {
                self.prioritise(log, asker, &program, priority, outbox)
            }
        };
        if let Err(refusal) = result {
            self.refuse(outbox, refusal, now);
        }
    }

    fn refuse(&self, outbox: &ReplySender, refusal: Refusal, now: Instant) {
        metrics::counter!("refusals_total", "code" => format!("{:?}", refusal.code)).increment(1);
        let refusal = match rests_on_history(refusal.code) && !self.lease_valid(now) {
            true => platform_down("the history here may be out of date"),
            false => refusal,
        };
        reply(outbox, Reply::Refused(self.adjust_execution(refusal, now)));
    }

    /// Says `unknown` in place of `not_run` where another owner may have run the call.
    pub(super) fn adjust_execution(&self, refusal: Refusal, now: Instant) -> Refusal {
        match refusal.ran {
            Execution::NotRun if !self.lease_valid(now) => {
                Refusal { ran: Execution::Unknown, ..refusal }
            }
            _ => refusal,
        }
    }

    fn create(
        &mut self,
        log: LogId,
        asker: &Principal,
        spec: Spec,
        outbox: &ReplySender,
        now: Instant,
    ) -> Result<(), Refusal> {
        let team = asker_team(asker)?;
        let spec = Spec { team: team.clone(), ..spec };
        let owned = self.owned_log(log)?;
        if let Some(key) = &spec.key
            && let Some(program) = owned.state.program_by_key(&team, key).cloned()
        {
            let same = owned.state.programs.get(&program).is_some_and(|found| found.spec == spec);
            if !same {
                let message = format!("key '{key}' was used before for another program");
                return Err(Refusal::not_run(Code::CallMismatch, message));
            }
            owned.on_durable(Continuation::Reply {
                outbox: outbox.clone(),
                reply: Reply::Created(program),
            });
            return Ok(());
        }
        self.check_new_program(log, &spec)?;
        let owned = self.owned_log(log)?;
        let program = owned.state.next_program_id();
        push_record(owned, Record::Create { program: program.clone(), spec })?;
        owned.on_durable(Continuation::Reply {
            outbox: outbox.clone(),
            reply: Reply::Created(program.clone()),
        });
        self.program_times.insert(program, ProgramTimes { started_at: now, last_used_at: now });
        metrics::counter!("programs_created_total").increment(1);
        Ok(())
    }

    fn call(
        &mut self,
        asker: &Principal,
        request: Request,
        receipts: &[String],
        outbox: &ReplySender,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.authorized_program(request.log, asker, &request.program)?;
        self.restore_turns(request.log, &request.program, receipts)?;
        if self.answer_known(&request, outbox)? {
            return Ok(());
        }
        self.check_new_call(&request, now)?;
        let tape = Output::default();
        follow(&self.shared.runtime, &tape, request.position, outbox);
        self.begin(request, tape, now)
    }

    /// Answers a call that is known already; returns whether it was.
    fn answer_known(&mut self, request: &Request, outbox: &ReplySender) -> Result<bool, Refusal> {
        let id = &request.call.id;
        if let Some(live) = self.active_calls.get(&request.program)
            && live.call.id == *id
        {
            check_same_call(&live.call, &request.call)?;
            follow(&self.shared.runtime, &live.tape, request.position, outbox);
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
        let tape = Output::default();
        follow(&runtime, &tape, request.position, outbox);
        replay(&tape, &turn.outcome);
        let reply = Reply::Ended { outcome: turn.outcome, receipt: None, queued: Duration::ZERO };
        owned.on_durable(Continuation::EndAnswer {
            program: request.program.clone(),
            call: id.clone(),
            tape,
            reply,
            receipt_sent: false,
        });
        Ok(true)
    }

    fn begin(&mut self, request: Request, tape: Output, now: Instant) -> Result<(), Refusal> {
        let program = self.find_program(request.log, &request.program)?;
        let spec = program.spec.clone();
        let pool = call_pool(&request.call, &spec.pool).clone();
        let config = self.pool_config(&pool)?;
        let within = request.within.unwrap_or(Duration::from_secs(config.call_s));
        let asked = match &request.call.work {
            Work::Model { max_tokens, .. } => *max_tokens,
            Work::Service { .. } => 0,
        };
        let expected = self.answer_lengths.predict(&spec.team, &spec.kind).min(asked);
        let reserve = self.answer_lengths.reservation(&spec.team, &spec.kind, asked);
        let live = ActiveCall {
            log: request.log,
            call: request.call,
            team: spec.team.clone(),
            pool,
            kind: spec.kind.clone(),
            tape,
            stage: Stage::AwaitingTokens,
            arrived_at: now,
            stage_since: now,
            deadline: now + within,
            queue_time: Duration::ZERO,
            max_tokens: asked,
            token_limit: 0,
            expected_tokens: expected,
            answer_reservation: reserve,
            undelivered_tokens: 0,
            rank: None,
            failures: 0,
            avoid: None,
            sent: false,
        };
        self.learn_pause(&request.program, &spec, now);
        *self.team_calls.entry(spec.team).or_default() += 1;
        self.active_calls.insert(request.program.clone(), live);
        metrics::counter!("calls_total").increment(1);
        self.prepare_call(&request.program, now);
        Ok(())
    }

    fn learn_pause(&mut self, program: &ProgramId, spec: &Spec, now: Instant) {
        let clock = self
            .program_times
            .entry(program.clone())
            .or_insert(ProgramTimes { started_at: now, last_used_at: now });
        let pause = now.saturating_duration_since(clock.last_used_at);
        clock.last_used_at = now;
        self.pauses.learn(&spec.team, &spec.kind, pause.as_millis() as u64);
    }

    fn attach(
        &mut self,
        log: LogId,
        asker: &Principal,
        program: &ProgramId,
        call: &CallId,
        position: Position,
        outbox: &ReplySender,
    ) -> Result<(), Refusal> {
        let found = self.authorized_program(log, asker, program)?;
        let known = found.turn(call).map(|turn| turn.call.clone());
        let known = known.or_else(|| {
            let open = found.open.as_ref().filter(|open| open.call.id == *call);
            open.map(|open| open.call.clone())
        });
        let live = self.active_calls.get(program).filter(|live| live.call.id == *call);
        let known = live.map(|live| live.call.clone()).or(known);
        let call = known.ok_or_else(|| not_found("call", call))?;
        let request = Request { log, program: program.clone(), call, within: None, position };
        if self.answer_known(&request, outbox)? {
            return Ok(());
        }
        let refusal = Refusal::unknown(
            Code::OwnerChanging,
            "the call was interrupted; repeat it under its id to run it on",
        );
        Err(refusal.retry_after(Duration::ZERO))
    }

    fn read(
        &mut self,
        log: LogId,
        asker: &Principal,
        program: &ProgramId,
        outbox: &ReplySender,
    ) -> Result<(), Refusal> {
        let found = self.authorized_program(log, asker, program)?.clone();
        reply(outbox, Reply::Program(Box::new(found)));
        Ok(())
    }

    fn end(
        &mut self,
        log: LogId,
        asker: &Principal,
        program: &ProgramId,
        ending: Ending,
        outbox: &ReplySender,
        now: Instant,
    ) -> Result<(), Refusal> {
        let found = self.authorized_program(log, asker, program)?;
        if found.ending.is_none() {
            let unfinished = self.active_calls.contains_key(program);
            if unfinished && ending == Ending::Finished {
                let message = "a call of the program has not ended; cancel the program instead";
                return Err(Refusal::not_run(Code::PreviousUnfinished, message));
            }
            self.end_program(log, program, ending, now);
        }
        self.reply_after_ending(log, program, outbox);
        Ok(())
    }

    fn prioritise(
        &mut self,
        log: LogId,
        asker: &Principal,
        program: &ProgramId,
        priority: i8,
        outbox: &ReplySender,
    ) -> Result<(), Refusal> {
        if let Principal::Team(_) = asker {
            return Err(Refusal::not_run(Code::Unauthorized, "only operators change priorities"));
        }
        self.authorized_program(log, asker, program)?;
        let owned = self.owned_log(log)?;
        push_record(owned, Record::Prioritise { program: program.clone(), priority })?;
        owned.on_durable(Continuation::Reply { outbox: outbox.clone(), reply: Reply::Done });
        Ok(())
    }

    pub(super) fn owned_log(&mut self, log: LogId) -> Result<&mut super::owned::Log, Refusal> {
        self.logs.get_mut(&log).ok_or_else(program_not_found)
    }

    pub(super) fn find_program(
        &self,
        log: LogId,
        program: &ProgramId,
    ) -> Result<&Program, Refusal> {
        let owned = self.logs.get(&log).ok_or_else(program_not_found)?;
        owned.state.programs.get(program).ok_or_else(program_not_found)
    }

    pub(super) fn authorized_program(
        &self,
        log: LogId,
        asker: &Principal,
        program: &ProgramId,
    ) -> Result<&Program, Refusal> {
        let found = self.find_program(log, program)?;
        match asker {
            Principal::Team(team) if *team != found.spec.team => Err(wrong_team(program)),
            _ => Ok(found),
        }
    }

    pub(super) fn pool_config(&self, pool: &PoolId) -> Result<&Pool, Refusal> {
        self.config.pools.get(pool).ok_or_else(|| not_found("pool", pool))
    }
}

/// A call as it was asked for.
pub(super) struct Request {
    pub(super) log: LogId,
    pub(super) program: ProgramId,
    pub(super) call: Call,
    pub(super) within: Option<Duration>,
    pub(super) position: Position,
}

pub(super) fn call_pool<'a>(call: &'a Call, spec_pool: &'a PoolId) -> &'a PoolId {
    match &call.work {
        Work::Model { .. } => spec_pool,
        Work::Service { service, .. } => service,
    }
}

/// Writes an ended answer to a tape as one token.
fn replay(tape: &Output, outcome: &Outcome) {
    if let Outcome::Done { text, run, tokens, .. } = outcome
        && !text.is_empty()
    {
        tape.set_run(*run);
        tape.set_text(text, *tokens);
    }
}

fn follow(
    runtime: &tokio::runtime::Handle,
    tape: &Output,
    position: Position,
    outbox: &ReplySender,
) {
    let mut reader = tape.read_from(position);
    let outbox = outbox.clone();
    runtime.spawn(async move {
        while let Some(frame) = reader.next().await {
            if outbox.send(frame).await.is_err() {
                return;
            }
        }
    });
}

fn reply(outbox: &ReplySender, reply: Reply) {
    // An asker that has gone needs no answer.
    let _ = outbox.try_send(reply);
}

pub(super) fn push_record(owned: &mut super::owned::Log, record: Record) -> Result<(), Refusal> {
    owned.push(record).map_err(|fault| Refusal::not_run(Code::Internal, fault.to_string()))
}

pub(super) fn check_same_call(known: &Call, asked: &Call) -> Result<(), Refusal> {
    if known == asked {
        return Ok(());
    }
    let message = format!("call '{}' was made before with other content", asked.id);
    Err(Refusal {
        code: Code::CallMismatch,
        ran: Execution::Unknown,
        retry_after_ms: None,
        message,
    })
}

fn asker_team(asker: &Principal) -> Result<compact_str::CompactString, Refusal> {
    match asker {
        Principal::Team(team) => Ok(team.clone()),
        Principal::Operator(_) => {
            Err(Refusal::not_run(Code::Unauthorized, "only a team creates programs"))
        }
    }
}

/// Tells whether a refusal would be wrong where another daemon has taken the log over.
fn rests_on_history(code: Code) -> bool {
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

pub(super) fn program_not_found() -> Refusal {
    Refusal::not_run(Code::NotFound, "there is no such program")
}

pub(super) fn not_found(what: &str, name: &str) -> Refusal {
    Refusal::not_run(Code::NotFound, format!("there is no {what} '{name}'"))
}

pub(super) fn wrong_team(program: &str) -> Refusal {
    Refusal::not_run(Code::WrongTeam, format!("program {program} belongs to another team"))
}

pub(super) fn program_ended(program: &str) -> Refusal {
    Refusal::not_run(Code::ProgramEnded, format!("program {program} has ended"))
}

/// Refuses what needs the key-value service while that is out of reach.
pub(super) fn platform_down(what: &str) -> Refusal {
    let message = format!("the key-value service is out of reach: {what}");
    Refusal::not_run(Code::PlatformDown, message).retry_after(PLATFORM_RETRY)
}
