//! Handling of calls: results of attempts, retries, and the end of a call.

use super::Control;
use super::active_call::{ActiveCall, Attempt, Stage, StopCause};
use super::event::AttemptKey;
use super::owned::Continuation;
use crate::settings::InjectedFault;
use crate::traffic::{model, service};
use peer::wire::Reply;
use sched::call::{Outcome, StopReason, Work};
use sched::id::ProgramId;
use sched::record::Record;
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// Number of failed attempts after which a further failure ends the call.
const MAX_FAILED_ATTEMPTS: u32 = 4;

impl Control {
    /// Moves the active call of a program to another stage.
    pub(super) fn set_stage(&mut self, program: &ProgramId, stage: Stage, now: Instant) {
        if let Some(active) = self.active_calls.get_mut(program) {
            active.set_stage(stage, now);
        }
    }

    /// Removes an active call from its queue or endpoint and from the counters.
    ///
    /// Returns `None` if the program has no active call.
    fn remove_active_call(&mut self, program: &ProgramId, now: Instant) -> Option<ActiveCall> {
        let mut active = self.active_calls.swap_remove(program)?;
        let stage = std::mem::replace(&mut active.stage, Stage::AwaitingTokens);
        match &stage {
            Stage::Queued(key) => {
                if let Some(queue) = self.queues.get_mut(&active.pool) {
                    queue.remove(key);
                }
            }
            Stage::Running(attempt) => self.release_endpoint_load(&active.pool, attempt),
            Stage::AwaitingTokens | Stage::AwaitingCommit => {}
        }
        if let Some(count) = self.team_calls.get_mut(&active.team) {
            *count = count.saturating_sub(1);
        }
        if let Some(times) = self.program_times.get_mut(program) {
            times.last_used_at = now;
        }
        Some(active)
    }

    /// Ends the running attempt that `key` identifies and releases its load on the endpoint.
    ///
    /// Returns `None` if that attempt is not running any more.
    fn take_attempt(&mut self, key: &AttemptKey, now: Instant) -> Option<Attempt> {
        let active = self.active_calls.get_mut(&key.program)?;
        match &active.stage {
            Stage::Running(attempt) if attempt.number == key.attempt => {}
            _ => return None,
        }
        let pool = active.pool.clone();
        let Stage::Running(attempt) = std::mem::replace(&mut active.stage, Stage::AwaitingTokens)
        else {
            return None;
        };
        active.stage_since = now;
        self.release_endpoint_load(&pool, &attempt);
        Some(attempt)
    }

    /// Records the tokens that a running attempt received, and the pace of its endpoint.
    pub(super) fn handle_progress(
        &mut self,
        key: &AttemptKey,
        progress: model::Progress,
        now: Instant,
    ) {
        let Some(active) = self.active_calls.get(&key.program) else {
            return;
        };
        let Stage::Running(attempt) = &active.stage else {
            return;
        };
        if attempt.number != key.attempt {
            return;
        }
        metrics::counter!("tokens_total").increment(progress.tokens);
        metrics::counter!("prompt_tokens_recomputed_total")
            .increment(progress.recomputed_prompt_tokens);
        if progress.has_first_token {
            let wait = now.saturating_duration_since(active.arrived_at);
            metrics::histogram!("first_token_seconds").record(wait.as_secs_f64());
        }
        let timed_tokens = progress.tokens - u64::from(progress.has_first_token);
        let duration =
            progress.inter_token_latency * u32::try_from(timed_tokens).unwrap_or(u32::MAX);
        let endpoint = attempt.endpoint.clone();
        let pool = active.pool.clone();
        self.slowdown_detectors.entry(pool).or_default().observe(
            &endpoint,
            timed_tokens,
            duration,
            now,
        );
    }

    /// Handles the end of a request to an engine.
    pub(super) fn model_ended(&mut self, key: &AttemptKey, result: model::Outcome, now: Instant) {
        let Some(attempt) = self.take_attempt(key, now) else {
            return;
        };
        let program = &key.program;
        match result {
            model::Outcome::Complete => self.complete_call(program, StopReason::End, now),
            model::Outcome::Length => self.handle_length_limit(program, now),
            model::Outcome::Aborted { reason, lost } => {
                if let Some(active) = self.active_calls.get_mut(program) {
                    active.undelivered_tokens += lost;
                }
                self.handle_broken_attempt(program, &attempt, &reason, now);
            }
        }
        self.dispatch_pool_of(&attempt.endpoint, now);
    }

    /// Ends a model call with the answer received so far.
    fn complete_call(&mut self, program: &ProgramId, stop: StopReason, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        let tokens = active.charged_tokens();
        self.answer_lengths.learn(&active.team, &active.kind, tokens);
        let run = active.output.run();
        let outcome = Outcome::Done { text: active.output.text(), tokens, stop, run };
        self.end_call(program, outcome, now);
    }

    /// Ends the call, or reserves more tokens for it if its reservation was below the caller's
    /// limit.
    fn handle_length_limit(&mut self, program: &ProgramId, now: Instant) {
        let Some(active) = self.active_calls.get_mut(program) else {
            return;
        };
        if active.output.tokens() >= active.max_tokens {
            return self.complete_call(program, StopReason::Length, now);
        }
        active.answer_reservation =
            active.answer_reservation.saturating_mul(2).min(active.max_tokens);
        active.expected_tokens = active.expected_tokens.saturating_mul(2).min(active.max_tokens);
        self.prepare_call(program, now);
    }

    /// Retries a model call whose attempt was aborted, or fails the call if it was cancelled, its
    /// deadline passed or too many attempts failed.
    fn handle_broken_attempt(
        &mut self,
        program: &ProgramId,
        attempt: &Attempt,
        reason: &str,
        now: Instant,
    ) {
        let Some(active) = self.active_calls.get_mut(program) else {
            return;
        };
        match attempt.cause {
            Some(StopCause::Cancel) => {
                return self.fail_call(program, "the program was cancelled", now);
            }
            Some(StopCause::Deadline) => {
                return self.fail_call(program, "the deadline passed", now);
            }
            Some(StopCause::Move) => {}
            None => active.failures += 1,
        }
        metrics::counter!("orders_broken_total").increment(1);
        active.avoid = Some(attempt.endpoint.clone());
        if active.failures > MAX_FAILED_ATTEMPTS {
            let message =
                format!("more than {MAX_FAILED_ATTEMPTS} attempts failed; last error: {reason}");
            return self.fail_call(program, &message, now);
        }
        self.prepare_call(program, now);
    }

    /// Handles the end of a request to a plain service.
    pub(super) fn service_ended(
        &mut self,
        key: &AttemptKey,
        result: service::Outcome,
        elapsed: Duration,
        now: Instant,
    ) {
        let Some(attempt) = self.take_attempt(key, now) else {
            return;
        };
        metrics::histogram!("service_seconds").record(elapsed.as_secs_f64());
        let program = &key.program;
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        let idempotent = active.call.work.idempotent();
        match result {
            service::Outcome::Done(text) => {
                let outcome = Outcome::Done { text, tokens: 0, stop: StopReason::End, run: 0 };
                self.end_call(program, outcome, now);
            }
            service::Outcome::Status(status, text) => {
                let message = format!("the service answered with status {status}: {text}");
                self.fail_call(program, &message, now);
            }
            service::Outcome::Unsent(reason) => self.retry_service(program, &attempt, &reason, now),
            service::Outcome::Unknown(reason) if idempotent => {
                self.retry_service(program, &attempt, &reason, now);
            }
            service::Outcome::Unknown(reason) if self.injects(InjectedFault::UnknownAsNotRun) => {
                self.refuse_call(program, Refusal::not_run(Code::Internal, reason), now);
            }
            service::Outcome::Unknown(_) => self.end_call(program, Outcome::Unknown, now),
        }
        self.dispatch_pool_of(&attempt.endpoint, now);
    }

    /// Queues a service call again, or fails it if too many attempts failed or its deadline passed.
    fn retry_service(
        &mut self,
        program: &ProgramId,
        attempt: &Attempt,
        reason: &str,
        now: Instant,
    ) {
        let Some(active) = self.active_calls.get_mut(program) else {
            return;
        };
        active.failures += 1;
        active.avoid = Some(attempt.endpoint.clone());
        if active.failures > MAX_FAILED_ATTEMPTS || active.deadline <= now {
            let message = format!("the request to the service failed: {reason}");
            return self.fail_call(program, &message, now);
        }
        self.enqueue(program, now);
    }

    /// Ends a call with [`Outcome::Failed`].
    pub(super) fn fail_call(&mut self, program: &ProgramId, message: &str, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        let outcome =
            Outcome::Failed { message: message.to_owned(), tokens: active.charged_tokens() };
        self.end_call(program, outcome, now);
    }

    /// Ends a call and records its outcome; the answer stream ends once the outcome is durable.
    pub(super) fn end_call(&mut self, program: &ProgramId, outcome: Outcome, now: Instant) {
        let Some(active) = self.remove_active_call(program, now) else {
            return;
        };
        let record = Record::Outcome {
            program: program.clone(),
            call: active.call.id.clone(),
            outcome: outcome.clone(),
        };
        if !self.record(active.log, record) {
            let refusal =
                Refusal::unknown(Code::Internal, "the log rejected the outcome of the call");
            return active.output.finish(Reply::Refused(refusal));
        }
        if matches!(active.call.work, Work::Service { .. })
            && let Outcome::Done { text, .. } = &outcome
        {
            active.output.set_text(text, 0);
        }
        self.refill_allowance(active.log, program);
        self.complete_ending(active.log, program);
        let seconds = now.saturating_duration_since(active.arrived_at).as_secs_f64();
        metrics::histogram!("call_seconds").record(seconds);
        let queued = active.queue_time;
        metrics::histogram!("queue_seconds").record(queued.as_secs_f64());
        let reply = Reply::Ended { outcome, receipt: None, queued };
        if let Some(owned) = self.logs.get_mut(&active.log) {
            owned.on_durable(Continuation::EndAnswer {
                program: program.clone(),
                call: active.call.id.clone(),
                output: active.output,
                reply,
                receipt_sent: false,
            });
        }
    }

    /// Ends a call with a refusal; the call must not have been sent to an endpoint.
    pub(super) fn refuse_call(&mut self, program: &ProgramId, refusal: Refusal, now: Instant) {
        let Some(active) = self.remove_active_call(program, now) else {
            return;
        };
        let open = self.find_program(active.log, program).is_ok_and(|found| {
            found.open.as_ref().is_some_and(|open| open.call.id == active.call.id)
        });
        if open {
            let (call, outcome) = (active.call.id.clone(), Outcome::NotRun);
            self.record(active.log, Record::Outcome { program: program.clone(), call, outcome });
        }
        self.complete_ending(active.log, program);
        let code = format!("{:?}", refusal.code);
        metrics::counter!("refusals_total", "code" => code).increment(1);
        active.output.finish(Reply::Refused(self.adjust_execution(refusal, now)));
    }

    /// Drops a call without recording an outcome, because another owner takes it over.
    pub(super) fn detach_call(&mut self, program: &ProgramId, now: Instant) {
        self.stop_attempt(program, model::StopMode::Detach, None);
        let Some(active) = self.remove_active_call(program, now) else {
            return;
        };
        active.output.finish(Reply::Moved);
    }

    /// Cancels the running model attempt of a program, if there is one.
    pub(super) fn cancel_running(&mut self, program: &ProgramId, cause: StopCause) {
        self.stop_attempt(program, model::StopMode::Cancel, Some(cause));
    }

    /// Tells the task that reads from the engine to stop, unless it was told before.
    fn stop_attempt(
        &mut self,
        program: &ProgramId,
        mode: model::StopMode,
        cause: Option<StopCause>,
    ) {
        let Some(active) = self.active_calls.get_mut(program) else {
            return;
        };
        if let Stage::Running(attempt) = &mut active.stage
            && let Some(stop) = attempt.stop.take()
        {
            attempt.cause = cause;
            // The task may have ended already.
            let _ = stop.send(mode);
        }
    }
}
