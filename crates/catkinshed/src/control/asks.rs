//! Operations on programs.

use super::event::Outbox;
use super::live::{Live, Stage};
use super::owned::After;
use super::{Clock, Control};
use crate::receipt::Receipt;
use crate::settings::Injected;
use crate::tape::Tape;
use peer::wire::{Ask, Asker, Position, Reply};
use sched::call::{Call, Outcome, Turn, Work};
use sched::config::Pool;
use sched::id::{CallId, LogId, PoolId, ProgramId};
use sched::program::Program;
use sched::record::{Ending, Record, Spec};
use sched::refusal::{Code, Ran, Refusal};
use std::time::{Duration, Instant};

/// When a caller may repeat a request that met a full queue.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// When a caller may repeat a request that needs the key-value service.
const PLATFORM_RETRY: Duration = Duration::from_secs(2);
/// Longest text of one model prompt, in bytes.
const MAX_HISTORY_BYTES: usize = 2 << 20;

impl Control {
    /// Answers an operation, or refuses it.
    pub(super) fn ask(&mut self, asker: &Asker, ask: Ask, outbox: &Outbox, now: Instant) {
        let Some(log) = ask.log() else {
            return reply(outbox, Reply::Refused(no_program()));
        };
        let serves = self.logs.get(&log).is_some_and(|owned| owned.serves());
        // After a pause the lease may be another's; its next renewal will tell.
        let doubtful = self.platform_up && !self.lease_fresh(now);
        let doubtful = doubtful && !self.injects(Injected::NoFence);
        if !serves || doubtful {
            return reply(outbox, Reply::NotOwner);
        }
        let result = match ask {
            Ask::Create { spec, .. } => self.create(log, asker, spec, outbox, now),
            Ask::Call { program, call, within, position, receipts } => {
                let request = Request { log, program, call, within, position };
                self.call(asker, request, &receipts, outbox, now)
            }
            Ask::Attach { program, call, position } => {
                self.attach(log, asker, &program, &call, position, outbox)
            }
            Ask::Restore { program, receipts } => {
                self.take_restored(log, asker, &program, &receipts, outbox)
            }
            Ask::Read { program } => self.read(log, asker, &program, outbox),
            Ask::End { program, ending } => self.end(log, asker, &program, ending, outbox, now),
            Ask::Prioritise { program, priority } => {
                self.prioritise(log, asker, &program, priority, outbox)
            }
        };
        if let Err(refusal) = result {
            self.refuse(outbox, refusal, now);
        }
    }

    fn refuse(&self, outbox: &Outbox, refusal: Refusal, now: Instant) {
        metrics::counter!("refusals_total", "code" => format!("{:?}", refusal.code)).increment(1);
        let refusal = match rests_on_history(refusal.code) && !self.lease_fresh(now) {
            true => platform_down("the history here may be out of date"),
            false => refusal,
        };
        reply(outbox, Reply::Refused(self.qualify(refusal, now)));
    }

    /// Says `unknown` in place of `not_run` where another owner may have run the call.
    pub(super) fn qualify(&self, refusal: Refusal, now: Instant) -> Refusal {
        match refusal.ran {
            Ran::NotRun if !self.lease_fresh(now) => Refusal { ran: Ran::Unknown, ..refusal },
            _ => refusal,
        }
    }

    fn create(
        &mut self,
        log: LogId,
        asker: &Asker,
        spec: Spec,
        outbox: &Outbox,
        now: Instant,
    ) -> Result<(), Refusal> {
        let team = asker_team(asker)?;
        let spec = Spec { team: team.clone(), ..spec };
        let owned = self.owned(log)?;
        if let Some(key) = &spec.key
            && let Some(program) = owned.state.by_key(&team, key).cloned()
        {
            let same = owned.state.programs.get(&program).is_some_and(|found| found.spec == spec);
            if !same {
                let message = format!("key '{key}' was used before for another program");
                return Err(Refusal::not_run(Code::CallMismatch, message));
            }
            owned.after(After::Reply { outbox: outbox.clone(), reply: Reply::Created(program) });
            return Ok(());
        }
        self.check_create(log, &spec)?;
        let owned = self.owned(log)?;
        let program = owned.state.next_program();
        push(owned, Record::Create { program: program.clone(), spec })?;
        owned
            .after(After::Reply { outbox: outbox.clone(), reply: Reply::Created(program.clone()) });
        self.clocks.insert(program, Clock { began: now, touched: now });
        metrics::counter!("programs_created_total").increment(1);
        Ok(())
    }

    fn check_create(&self, log: LogId, spec: &Spec) -> Result<(), Refusal> {
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
            Some(found) if found.ending.is_some() => Err(ended(parent)),
            Some(_) => Ok(()),
            None => Err(no_program()),
        }
    }

    fn call(
        &mut self,
        asker: &Asker,
        request: Request,
        receipts: &[String],
        outbox: &Outbox,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.program(request.log, asker, &request.program)?;
        self.restore(request.log, &request.program, receipts)?;
        if self.answer_known(&request, outbox)? {
            return Ok(());
        }
        self.check_new(&request, now)?;
        let tape = Tape::default();
        follow(&self.shared.runtime, &tape, request.position, outbox);
        self.begin(request, tape, now)
    }

    fn take_restored(
        &mut self,
        log: LogId,
        asker: &Asker,
        program: &ProgramId,
        receipts: &[String],
        outbox: &Outbox,
    ) -> Result<(), Refusal> {
        self.program(log, asker, program)?;
        self.restore(log, program, receipts)?;
        let owned = self.owned(log)?;
        owned.after(After::Reply { outbox: outbox.clone(), reply: Reply::Done });
        Ok(())
    }

    /// Restores turns that an earlier owner answered with receipts.
    fn restore(
        &mut self,
        log: LogId,
        program: &ProgramId,
        receipts: &[String],
    ) -> Result<(), Refusal> {
        let key = self.shared.settings.keys.cluster.clone();
        for text in receipts {
            let receipt = Receipt::open(text, key.as_bytes())
                .map_err(|error| Refusal::not_run(Code::Malformed, error.to_string()))?;
            if receipt.program != *program {
                let message = "the receipt belongs to another program";
                return Err(Refusal::not_run(Code::Malformed, message));
            }
            self.restore_turn(log, program, receipt.turn)?;
        }
        Ok(())
    }

    fn restore_turn(&mut self, log: LogId, program: &ProgramId, turn: Turn) -> Result<(), Refusal> {
        let running = self.live.contains_key(program);
        let owned = self.owned(log)?;
        let Some(found) = owned.state.programs.get(program) else {
            return Err(no_program());
        };
        let known = found.turn(&turn.call.id).is_some_and(|turn| turn.outcome != Outcome::Unknown);
        if running || found.ending.is_some() || known {
            return Ok(());
        }
        metrics::counter!("turns_restored_total").increment(1);
        push(owned, Record::Restore { program: program.clone(), turn })
    }

    /// Answers a call that is known already; returns whether it was.
    fn answer_known(&mut self, request: &Request, outbox: &Outbox) -> Result<bool, Refusal> {
        let id = &request.call.id;
        if let Some(live) = self.live.get(&request.program)
            && live.call.id == *id
        {
            check_same(&live.call, &request.call)?;
            follow(&self.shared.runtime, &live.tape, request.position, outbox);
            return Ok(true);
        }
        let runtime = self.shared.runtime.clone();
        let injected = self.injects(Injected::ForeignAnswer);
        let owned = self.owned(request.log)?;
        let turn = owned.state.programs.get(&request.program).and_then(|found| found.turn(id));
        let foreign = owned.state.programs.values().find_map(|found| found.turn(id));
        let turn = turn.or(foreign.filter(|_| injected)).cloned();
        let Some(turn) = turn else {
            return Ok(false);
        };
        if !injected {
            check_same(&turn.call, &request.call)?;
        }
        let tape = Tape::default();
        follow(&runtime, &tape, request.position, outbox);
        replay(&tape, &turn.outcome);
        let reply = Reply::Ended { outcome: turn.outcome, receipt: None, queued: Duration::ZERO };
        owned.after(After::End {
            program: request.program.clone(),
            call: id.clone(),
            tape,
            reply,
            sealed: false,
        });
        Ok(true)
    }

    fn check_new(&mut self, request: &Request, now: Instant) -> Result<(), Refusal> {
        let program = self.find(request.log, &request.program)?;
        if program.ending.is_some() {
            return Err(ended(&request.program));
        }
        let unfinished = program.open.as_ref().is_some_and(|open| open.call.id != request.call.id);
        if unfinished || self.live.contains_key(&request.program) {
            let message = "the program's previous call has not ended";
            return Err(Refusal::not_run(Code::PreviousUnfinished, message));
        }
        if let Some(open) = &program.open {
            check_same(&open.call, &request.call)?;
        }
        let expected = program.next_seq();
        if request.call.seq != expected {
            let message = format!("call {} came where {expected} is next", request.call.seq);
            return Err(Refusal::not_run(Code::OutOfOrder, message));
        }
        let spec_pool = program.spec.pool.clone();
        let steps = self.pool_config(&spec_pool)?.max_steps;
        if request.call.seq > steps {
            self.finish_program(request.log, &request.program, Ending::StepLimit, now);
            let message = format!("the program reached its limit of {steps} calls");
            return Err(Refusal::not_run(Code::ProgramEnded, message));
        }
        self.check_size(request)?;
        self.check_admission(request, &spec_pool, now)
    }

    fn check_size(&self, request: &Request) -> Result<(), Refusal> {
        let program = self.find(request.log, &request.program)?;
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
        let outage = now.saturating_duration_since(self.platform_seen);
        if outage.as_millis() as u64 > self.limits().outage_limit_ms {
            return Err(platform_down("the outage has outlasted its limit"));
        }
        let owned = self.logs.get(&request.log).map_or(0, |owned| owned.undurable_bytes());
        if owned as u64 > self.limits().max_pending_bytes {
            return Err(platform_down("too much is waiting to be made durable"));
        }
        Ok(())
    }

    fn begin(&mut self, request: Request, tape: Tape, now: Instant) -> Result<(), Refusal> {
        let program = self.find(request.log, &request.program)?;
        let spec = program.spec.clone();
        let pool = call_pool(&request.call, &spec.pool).clone();
        let config = self.pool_config(&pool)?;
        let within = request.within.unwrap_or(Duration::from_secs(config.call_s));
        let asked = match &request.call.work {
            Work::Model { max_tokens, .. } => *max_tokens,
            Work::Service { .. } => 0,
        };
        let expected = self.lengths.expect(&spec.team, &spec.kind).min(asked);
        let reserve = self.lengths.reserve(&spec.team, &spec.kind, asked);
        let live = Live {
            log: request.log,
            call: request.call,
            team: spec.team.clone(),
            pool,
            kind: spec.kind.clone(),
            tape,
            stage: Stage::Funding,
            began: now,
            since: now,
            deadline: now + within,
            queued: Duration::ZERO,
            asked,
            hold: 0,
            expected,
            reserve,
            lost: 0,
            rank: None,
            failures: 0,
            avoid: None,
            sent: false,
        };
        self.learn_pause(&request.program, &spec, now);
        *self.team_calls.entry(spec.team).or_default() += 1;
        self.live.insert(request.program.clone(), live);
        metrics::counter!("calls_total").increment(1);
        self.fund(&request.program, now);
        Ok(())
    }

    fn learn_pause(&mut self, program: &ProgramId, spec: &Spec, now: Instant) {
        let clock =
            self.clocks.entry(program.clone()).or_insert(Clock { began: now, touched: now });
        let pause = now.saturating_duration_since(clock.touched);
        clock.touched = now;
        self.pauses.learn(&spec.team, &spec.kind, pause.as_millis() as u64);
    }

    fn attach(
        &mut self,
        log: LogId,
        asker: &Asker,
        program: &ProgramId,
        call: &CallId,
        position: Position,
        outbox: &Outbox,
    ) -> Result<(), Refusal> {
        let found = self.program(log, asker, program)?;
        let known = found.turn(call).map(|turn| turn.call.clone());
        let known = known.or_else(|| {
            let open = found.open.as_ref().filter(|open| open.call.id == *call);
            open.map(|open| open.call.clone())
        });
        let live = self.live.get(program).filter(|live| live.call.id == *call);
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
        asker: &Asker,
        program: &ProgramId,
        outbox: &Outbox,
    ) -> Result<(), Refusal> {
        let found = self.program(log, asker, program)?.clone();
        reply(outbox, Reply::Program(Box::new(found)));
        Ok(())
    }

    fn end(
        &mut self,
        log: LogId,
        asker: &Asker,
        program: &ProgramId,
        ending: Ending,
        outbox: &Outbox,
        now: Instant,
    ) -> Result<(), Refusal> {
        let found = self.program(log, asker, program)?;
        if found.ending.is_none() {
            let unfinished = self.live.contains_key(program);
            if unfinished && ending == Ending::Finished {
                let message = "a call of the program has not ended; cancel the program instead";
                return Err(Refusal::not_run(Code::PreviousUnfinished, message));
            }
            self.finish_program(log, program, ending, now);
        }
        self.after_ending(log, program, outbox);
        Ok(())
    }

    fn prioritise(
        &mut self,
        log: LogId,
        asker: &Asker,
        program: &ProgramId,
        priority: i8,
        outbox: &Outbox,
    ) -> Result<(), Refusal> {
        if let Asker::Team(_) = asker {
            return Err(Refusal::not_run(Code::Unauthorized, "only operators change priorities"));
        }
        self.program(log, asker, program)?;
        let owned = self.owned(log)?;
        push(owned, Record::Prioritise { program: program.clone(), priority })?;
        owned.after(After::Reply { outbox: outbox.clone(), reply: Reply::Done });
        Ok(())
    }

    pub(super) fn owned(&mut self, log: LogId) -> Result<&mut super::owned::Owned, Refusal> {
        self.logs.get_mut(&log).ok_or_else(no_program)
    }

    pub(super) fn find(&self, log: LogId, program: &ProgramId) -> Result<&Program, Refusal> {
        let owned = self.logs.get(&log).ok_or_else(no_program)?;
        owned.state.programs.get(program).ok_or_else(no_program)
    }

    fn program(&self, log: LogId, asker: &Asker, program: &ProgramId) -> Result<&Program, Refusal> {
        let found = self.find(log, program)?;
        match asker {
            Asker::Team(team) if *team != found.spec.team => Err(wrong_team(program)),
            _ => Ok(found),
        }
    }

    fn pool_config(&self, pool: &PoolId) -> Result<&Pool, Refusal> {
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

fn call_pool<'a>(call: &'a Call, spec_pool: &'a PoolId) -> &'a PoolId {
    match &call.work {
        Work::Model { .. } => spec_pool,
        Work::Service { service, .. } => service,
    }
}

fn turn_size(turn: &Turn) -> usize {
    let answer = match &turn.outcome {
        Outcome::Done { text, .. } => text.len(),
        _ => 0,
    };
    turn.call.work.text().len() + answer
}

/// Writes an ended answer to a tape as one token.
fn replay(tape: &Tape, outcome: &Outcome) {
    if let Outcome::Done { text, run, tokens, .. } = outcome
        && !text.is_empty()
    {
        tape.begin(*run);
        tape.load(text, *tokens);
    }
}

fn follow(runtime: &tokio::runtime::Handle, tape: &Tape, position: Position, outbox: &Outbox) {
    let mut reader = tape.follow(position);
    let outbox = outbox.clone();
    runtime.spawn(async move {
        while let Some(frame) = reader.next().await {
            if outbox.send(frame).await.is_err() {
                return;
            }
        }
    });
}

fn reply(outbox: &Outbox, reply: Reply) {
    // An asker that has gone needs no answer.
    let _ = outbox.try_send(reply);
}

fn push(owned: &mut super::owned::Owned, record: Record) -> Result<(), Refusal> {
    owned.push(record).map_err(|fault| Refusal::not_run(Code::Internal, fault.to_string()))
}

fn check_same(known: &Call, asked: &Call) -> Result<(), Refusal> {
    if known == asked {
        return Ok(());
    }
    let message = format!("call '{}' was made before with other content", asked.id);
    Err(Refusal { code: Code::CallMismatch, ran: Ran::Unknown, retry_after_ms: None, message })
}

fn asker_team(asker: &Asker) -> Result<compact_str::CompactString, Refusal> {
    match asker {
        Asker::Team(team) => Ok(team.clone()),
        Asker::Operator(_) => {
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

fn no_program() -> Refusal {
    Refusal::not_run(Code::NotFound, "there is no such program")
}

fn not_found(what: &str, name: &str) -> Refusal {
    Refusal::not_run(Code::NotFound, format!("there is no {what} '{name}'"))
}

fn wrong_team(program: &str) -> Refusal {
    Refusal::not_run(Code::WrongTeam, format!("program {program} belongs to another team"))
}

fn ended(program: &str) -> Refusal {
    Refusal::not_run(Code::ProgramEnded, format!("program {program} has ended"))
}

/// Refuses what needs the key-value service while that is out of reach.
pub(super) fn platform_down(what: &str) -> Refusal {
    let message = format!("the key-value service is out of reach: {what}");
    Refusal::not_run(Code::PlatformDown, message).retry_after(PLATFORM_RETRY)
}
