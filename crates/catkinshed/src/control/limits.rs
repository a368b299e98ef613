//! Time limits and endings of programs and calls.

use super::Control;
use super::active_call::{Stage, StopCause};
use super::commits::since;
use super::event::ReplySender;
use super::owned::Continuation;
use crate::settings::millis;
use peer::wire::Reply;
use sched::call::Outcome;
use sched::id::{LogId, ProgramId};
use sched::program::Program;
use sched::record::{Ending, Record};
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// Action that a time limit requires for a program.
enum Due {
    End(Ending),
    Forget,
}

impl Control {
    /// Applies all time limits except call deadlines; called once per second.
    ///
    /// Expires peer reports, releases idle pins, settles logs, ends programs that are idle or
    /// exceed their wall-clock limit, and forgets ended programs after the retention time.
    pub(super) fn enforce_limits(&mut self, now: Instant) {
        self.expire_reports(now);
        self.release_idle_pins(now);
        self.settle_logs(now);
        let mut due = Vec::new();
        for owned in self.logs.values().filter(|owned| owned.handoff_started_at.is_none()) {
            for (id, program) in &owned.state.programs {
                if let Some(action) = self.due_action(id, program, now) {
                    due.push((owned.state.log, id.clone(), action));
                }
            }
        }
        for (log, program, action) in due {
            match action {
                Due::End(ending) => self.end_program(log, &program, ending, now),
                Due::Forget => self.forget(log, &program),
            }
        }
    }

    fn due_action(&self, id: &ProgramId, program: &Program, now: Instant) -> Option<Due> {
        let times = self.program_times.get(id)?;
        if program.ending.is_some() {
            let expired = since(now, times.last_used_at) > millis(self.limits().retain_ms);
            return (expired && program.pins.is_empty()).then_some(Due::Forget);
        }
        let pool = self.config.pools.get(&program.spec.pool)?;
        if since(now, times.started_at) > Duration::from_secs(pool.max_wall_s) {
            return Some(Due::End(Ending::WallLimit));
        }
        let no_call = !self.active_calls.contains_key(id);
        let idle = since(now, times.last_used_at) > Duration::from_secs(pool.idle_s);
        (no_call && idle).then_some(Due::End(Ending::Idle))
    }

    fn forget(&mut self, log: LogId, program: &ProgramId) {
        if self.record(log, Record::Forget { program: program.clone() }) {
            self.program_times.swap_remove(program);
        }
    }

    /// Releases the unsettled allowances of earlier owners, `settle_after_ms` after the takeover.
    fn settle_logs(&mut self, now: Instant) {
        let delay = millis(self.limits().settle_after_ms);
        for owned in self.logs.values_mut() {
            if owned.settled || since(now, owned.taken_over) < delay {
                continue;
            }
            owned.settled = true;
            if let Err(error) = owned.push(Record::Settle) {
                log::error!("failed to settle log {}: {error}", owned.state.log);
            }
        }
    }

    /// Ends a program, and cancels its sub-agents unless it finished normally.
    ///
    /// A running call is cancelled first; the ending is recorded once that call has ended.
    pub(super) fn end_program(
        &mut self,
        log: LogId,
        program: &ProgramId,
        ending: Ending,
        now: Instant,
    ) {
        self.pending_endings.entry(program.clone()).or_insert_with(|| (ending, Vec::new()));
        if ending != Ending::Finished {
            for child in self.children(log, program) {
                self.end_program(log, &child, Ending::Cancelled, now);
            }
        }
        match self.active_calls.get(program).map(|active| &active.stage) {
            Some(Stage::Running(_)) => self.cancel_running(program, StopCause::Cancel),
            Some(_) => {
                let refusal = Refusal::not_run(Code::ProgramEnded, "the program has ended");
                self.refuse_call(program, refusal, now);
            }
            None => self.close_open_call(log, program),
        }
        self.complete_ending(log, program);
    }

    /// Records an unknown outcome for a call that an earlier owner left open and no caller
    /// repeated.
    fn close_open_call(&mut self, log: LogId, program: &ProgramId) {
        let open = self.find_program(log, program).ok().and_then(|found| found.open.clone());
        if let Some(open) = open {
            let (call, outcome) = (open.call.id, Outcome::Unknown);
            self.record(log, Record::Outcome { program: program.clone(), call, outcome });
        }
    }

    fn children(&self, log: LogId, parent: &ProgramId) -> Vec<ProgramId> {
        let programs = self.logs.get(&log).map(|owned| &owned.state.programs);
        let children = programs.into_iter().flatten().filter(|(id, child)| {
            child.ending.is_none()
                && child.spec.parent.as_ref() == Some(parent)
                && !self.pending_endings.contains_key(*id)
        });
        children.map(|(id, _)| id.clone()).collect()
    }

    /// Replies once the program's ending is durable.
    pub(super) fn reply_after_ending(
        &mut self,
        log: LogId,
        program: &ProgramId,
        replies: &ReplySender,
    ) {
        if let Some((_, waiting)) = self.pending_endings.get_mut(program) {
            return waiting.push(replies.clone());
        }
        if let Some(owned) = self.logs.get_mut(&log) {
            owned.on_durable(Continuation::Reply { replies: replies.clone(), reply: Reply::Done });
        }
    }

    /// Records a pending ending of a program, releases its pins and answers the callers that wait,
    /// unless a call of the program is still open.
    pub(super) fn complete_ending(&mut self, log: LogId, program: &ProgramId) {
        let open = self.find_program(log, program).is_ok_and(|found| found.open.is_some());
        if open || self.active_calls.contains_key(program) {
            return;
        }
        let Some((ending, waiting)) = self.pending_endings.swap_remove(program) else {
            return;
        };
        let ended = self.find_program(log, program).is_ok_and(|found| found.ending.is_some());
        if !ended && self.record(log, Record::Finish { program: program.clone(), ending }) {
            metrics::counter!("programs_ended_total", "ending" => format!("{ending:?}"))
                .increment(1);
        }
        self.release_pins(log, program);
        for replies in waiting {
            self.reply_after_ending(log, program, &replies);
        }
    }

    /// Ends calls whose deadline has passed.
    pub(super) fn enforce_deadlines(&mut self, now: Instant) {
        let overdue = self.active_calls.iter().filter(|(_, active)| active.deadline <= now);
        let overdue: Vec<ProgramId> = overdue.map(|(id, _)| id.clone()).collect();
        for program in overdue {
            let Some(active) = self.active_calls.get(&program) else {
                continue;
            };
            match (&active.stage, active.sent) {
                (Stage::Running(_), _) => self.cancel_running(&program, StopCause::Deadline),
                (_, true) => self.fail_call(&program, "the deadline passed", now),
                (_, false) => {
                    let message = "the deadline passed before an endpoint was available";
                    let refusal = Refusal::not_run(Code::DeadlinePassed, message);
                    self.refuse_call(&program, refusal.retry_after(Duration::from_secs(1)), now);
                }
            }
        }
    }
}
