//! A call from its arrival to its end.

use super::Control;
use super::active_call::{ActiveCall, Attempt, Stage, StopCause};
use super::event::AttemptKey;
use super::owned::Continuation;
use crate::io::{completion, service};
use crate::settings::InjectedFault;
use peer::wire::Reply;
use sched::call::{Outcome, StopReason, Work};
use sched::id::ProgramId;
use sched::record::Record;
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// Orders of one call that may fail before the call does.
const MAX_FAILURES: u32 = 4;

impl Control {
    /// Moves a call to another stage.
    pub(super) fn set_stage(&mut self, program: &ProgramId, stage: Stage, now: Instant) {
        if let Some(live) = self.active_calls.get_mut(program) {
            live.set_stage(stage, now);
        }
    }

    /// Takes a live call out and gives back its share of the counters.
    fn take_live(&mut self, program: &ProgramId, now: Instant) -> Option<ActiveCall> {
        let mut live = self.active_calls.swap_remove(program)?;
        let ended = std::mem::replace(&mut live.stage, Stage::AwaitingTokens);
        match &ended {
            Stage::Queued(key) => {
                if let Some(queue) = self.queues.get_mut(&live.pool) {
                    queue.remove(key);
                }
            }
            Stage::Running(running) => self.release_endpoint_load(&live.pool, running),
            Stage::AwaitingTokens | Stage::AwaitingCommit => {}
        }
        if let Some(count) = self.team_calls.get_mut(&live.team) {
            *count = count.saturating_sub(1);
        }
        if let Some(clock) = self.program_times.get_mut(program) {
            clock.last_used_at = now;
        }
        Some(live)
    }

    /// Takes a running order out of a call; `None` when the event belongs to an earlier one.
    fn take_running(&mut self, key: &AttemptKey, now: Instant) -> Option<Attempt> {
        let live = self.active_calls.get_mut(&key.program)?;
        match &live.stage {
            Stage::Running(running) if running.number == key.attempt => {}
            _ => return None,
        }
        let pool = live.pool.clone();
        let Stage::Running(running) = std::mem::replace(&mut live.stage, Stage::AwaitingTokens)
        else {
            return None;
        };
        live.stage_since = now;
        self.release_endpoint_load(&pool, &running);
        Some(running)
    }

    /// Takes an order's progress.
    pub(super) fn handle_progress(
        &mut self,
        key: &AttemptKey,
        progress: completion::Progress,
        now: Instant,
    ) {
        let Some(live) = self.active_calls.get(&key.program) else {
            return;
        };
        let Stage::Running(running) = &live.stage else {
            return;
        };
        if running.number != key.attempt {
            return;
        }
        metrics::counter!("tokens_total").increment(progress.tokens);
        metrics::counter!("prompt_tokens_recomputed_total")
            .increment(progress.recomputed_prompt_tokens);
        if progress.has_first_token {
            let wait = now.saturating_duration_since(live.arrived_at);
            metrics::histogram!("first_token_seconds").record(wait.as_secs_f64());
        }
        let timed = progress.tokens - u64::from(progress.has_first_token);
        let time = progress.inter_token_latency * u32::try_from(timed).unwrap_or(u32::MAX);
        let endpoint = running.endpoint.clone();
        let pool = live.pool.clone();
        self.slowdown_detectors.entry(pool).or_default().observe(&endpoint, timed, time, now);
    }

    /// Takes the end of an order to an engine.
    pub(super) fn model_ended(&mut self, key: &AttemptKey, end: completion::Outcome, now: Instant) {
        let Some(running) = self.take_running(key, now) else {
            return;
        };
        let program = &key.program;
        match end {
            completion::Outcome::Complete => self.complete(program, StopReason::End, now),
            completion::Outcome::Length => self.reached_limit(program, now),
            completion::Outcome::Aborted { reason, lost } => {
                if let Some(live) = self.active_calls.get_mut(program) {
                    live.undelivered_tokens += lost;
                }
                self.model_broke(program, &running, &reason, now);
            }
        }
        self.dispatch_pool_of(&running.endpoint, now);
    }

    fn complete(&mut self, program: &ProgramId, stop: StopReason, now: Instant) {
        let Some(live) = self.active_calls.get(program) else {
            return;
        };
        let tokens = live.charged_tokens();
        self.answer_lengths.learn(&live.team, &live.kind, tokens);
        let run = live.tape.run();
        let outcome = Outcome::Done { text: live.tape.text(), tokens, stop, run };
        self.end_call(program, outcome, now);
    }

    fn reached_limit(&mut self, program: &ProgramId, now: Instant) {
        let Some(live) = self.active_calls.get_mut(program) else {
            return;
        };
        if live.tape.tokens() >= live.max_tokens {
            return self.complete(program, StopReason::Length, now);
        }
        live.answer_reservation = live.answer_reservation.saturating_mul(2).min(live.max_tokens);
        live.expected_tokens = live.expected_tokens.saturating_mul(2).min(live.max_tokens);
        self.prepare_call(program, now);
    }

    fn model_broke(&mut self, program: &ProgramId, running: &Attempt, reason: &str, now: Instant) {
        let Some(live) = self.active_calls.get_mut(program) else {
            return;
        };
        match running.cause {
            Some(StopCause::Cancel) => {
                return self.fail_call(program, "the program was cancelled", now);
            }
            Some(StopCause::Deadline) => {
                return self.fail_call(program, "the deadline passed", now);
            }
            Some(StopCause::Move) => {}
            None => live.failures += 1,
        }
        metrics::counter!("orders_broken_total").increment(1);
        live.avoid = Some(running.endpoint.clone());
        if live.failures > MAX_FAILURES {
            let message = format!("{MAX_FAILURES} endpoints failed; the last: {reason}");
            return self.fail_call(program, &message, now);
        }
        self.prepare_call(program, now);
    }

    /// Takes the end of a request to a plain service.
    pub(super) fn service_ended(
        &mut self,
        key: &AttemptKey,
        end: service::Outcome,
        took: Duration,
        now: Instant,
    ) {
        let Some(running) = self.take_running(key, now) else {
            return;
        };
        metrics::histogram!("service_seconds").record(took.as_secs_f64());
        let program = &key.program;
        let Some(live) = self.active_calls.get(program) else {
            return;
        };
        let idempotent = live.call.work.idempotent();
        match end {
            service::Outcome::Done(text) => {
                let outcome = Outcome::Done { text, tokens: 0, stop: StopReason::End, run: 0 };
                self.end_call(program, outcome, now);
            }
            service::Outcome::Status(status, text) => {
                let message = format!("the service answered with status {status}: {text}");
                self.fail_call(program, &message, now);
            }
            service::Outcome::Unsent(reason) => self.retry_service(program, &running, &reason, now),
            service::Outcome::Unknown(reason) if idempotent => {
                self.retry_service(program, &running, &reason, now);
            }
            service::Outcome::Unknown(reason) if self.injects(InjectedFault::UnknownAsNotRun) => {
                self.refuse_call(program, Refusal::not_run(Code::Internal, reason), now);
            }
            service::Outcome::Unknown(_) => self.end_call(program, Outcome::Unknown, now),
        }
        self.dispatch_pool_of(&running.endpoint, now);
    }

    fn retry_service(
        &mut self,
        program: &ProgramId,
        running: &Attempt,
        reason: &str,
        now: Instant,
    ) {
        let Some(live) = self.active_calls.get_mut(program) else {
            return;
        };
        live.failures += 1;
        live.avoid = Some(running.endpoint.clone());
        if live.failures > MAX_FAILURES || live.deadline <= now {
            let message = format!("the service failed: {reason}");
            return self.fail_call(program, &message, now);
        }
        self.enqueue(program, now);
    }

    /// Ends a call as failed.
    pub(super) fn fail_call(&mut self, program: &ProgramId, message: &str, now: Instant) {
        let Some(live) = self.active_calls.get(program) else {
            return;
        };
        let outcome =
            Outcome::Failed { message: message.to_owned(), tokens: live.charged_tokens() };
        self.end_call(program, outcome, now);
    }

    /// Ends a call with its outcome; the answer ends once that is durable.
    pub(super) fn end_call(&mut self, program: &ProgramId, outcome: Outcome, now: Instant) {
        let Some(live) = self.take_live(program, now) else {
            return;
        };
        let record = Record::Outcome {
            program: program.clone(),
            call: live.call.id.clone(),
            outcome: outcome.clone(),
        };
        if !self.record(live.log, record) {
            let refusal = Refusal::unknown(Code::Internal, "the outcome does not fit the log");
            return live.tape.finish(Reply::Refused(refusal));
        }
        if matches!(live.call.work, Work::Service { .. })
            && let Outcome::Done { text, .. } = &outcome
        {
            live.tape.set_text(text, 0);
        }
        self.refill_allowance(live.log, program);
        self.complete_ending(live.log, program);
        let seconds = now.saturating_duration_since(live.arrived_at).as_secs_f64();
        metrics::histogram!("call_seconds").record(seconds);
        let queued = live.queue_time;
        metrics::histogram!("queue_seconds").record(queued.as_secs_f64());
        let reply = Reply::Ended { outcome, receipt: None, queued };
        if let Some(owned) = self.logs.get_mut(&live.log) {
            owned.on_durable(Continuation::EndAnswer {
                program: program.clone(),
                call: live.call.id.clone(),
                tape: live.tape,
                reply,
                receipt_sent: false,
            });
        }
    }

    /// Refuses a call whose order has not left.
    pub(super) fn refuse_call(&mut self, program: &ProgramId, refusal: Refusal, now: Instant) {
        let Some(live) = self.take_live(program, now) else {
            return;
        };
        let open = self.find_program(live.log, program).is_ok_and(|found| {
            found.open.as_ref().is_some_and(|open| open.call.id == live.call.id)
        });
        if open {
            let (call, outcome) = (live.call.id.clone(), Outcome::NotRun);
            self.record(live.log, Record::Outcome { program: program.clone(), call, outcome });
        }
        self.complete_ending(live.log, program);
        let code = format!("{:?}", refusal.code);
        metrics::counter!("refusals_total", "code" => code).increment(1);
        live.tape.finish(Reply::Refused(self.adjust_execution(refusal, now)));
    }

    /// Drops a call without an end, since another owner takes it over.
    pub(super) fn detach_call(&mut self, program: &ProgramId, now: Instant) {
        self.stop_order(program, completion::StopMode::Detach, None);
        let Some(live) = self.take_live(program, now) else {
            return;
        };
        live.tape.finish(Reply::Moved);
    }

    /// Cancels a running order.
    pub(super) fn cancel_running(&mut self, program: &ProgramId, cause: StopCause) {
        self.stop_order(program, completion::StopMode::Cancel, Some(cause));
    }

    /// Tells the task of a model order to stop, once.
    fn stop_order(
        &mut self,
        program: &ProgramId,
        halt: completion::StopMode,
        cause: Option<StopCause>,
    ) {
        let Some(live) = self.active_calls.get_mut(program) else {
            return;
        };
        if let Stage::Running(running) = &mut live.stage
            && let Some(stop) = running.stop.take()
        {
            running.cause = cause;
            // A task that has ended needs no word.
            let _ = stop.send(halt);
        }
    }
}
