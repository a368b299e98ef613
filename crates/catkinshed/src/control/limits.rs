//! Ending of what has run out of time.

use super::Control;
use super::commits::since;
use super::event::Outbox;
use super::live::{Cause, Stage};
use super::owned::Continuation;
use crate::settings::millis;
use peer::wire::Reply;
use sched::call::Outcome;
use sched::id::{LogId, ProgramId};
use sched::program::Program;
use sched::record::{Ending, Record};
use sched::refusal::{Code, Refusal};
use std::time::{Duration, Instant};

/// What is due for a program.
enum Due {
    End(Ending),
    Forget,
}

impl Control {
    /// Ends programs and allowances that have run out of time; called each second.
    pub(super) fn enforce_limits(&mut self, now: Instant) {
        self.expire_reports(now);
        self.release_idle_pins(now);
        self.settle_logs(now);
        let mut due = Vec::new();
        for owned in self.logs.values().filter(|owned| owned.draining.is_none()) {
            for (id, program) in &owned.state.programs {
                if let Some(action) = self.due(id, program, now) {
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

    fn due(&self, id: &ProgramId, program: &Program, now: Instant) -> Option<Due> {
        let clock = self.clocks.get(id)?;
        if program.ending.is_some() {
            let old = since(now, clock.touched) > millis(self.limits().retain_ms);
            return (old && program.pins.is_empty()).then_some(Due::Forget);
        }
        let pool = self.config.pools.get(&program.spec.pool)?;
        if since(now, clock.began) > Duration::from_secs(pool.max_wall_s) {
            return Some(Due::End(Ending::WallLimit));
        }
        let silent = !self.live.contains_key(id);
        let idle = since(now, clock.touched) > Duration::from_secs(pool.idle_s);
        (silent && idle).then_some(Due::End(Ending::Idle))
    }

    fn forget(&mut self, log: LogId, program: &ProgramId) {
        if self.record(log, Record::Forget { program: program.clone() }) {
            self.clocks.swap_remove(program);
        }
    }

    fn settle_logs(&mut self, now: Instant) {
        let after = millis(self.limits().settle_after_ms);
        for owned in self.logs.values_mut() {
            if owned.settled || since(now, owned.taken_over) < after {
                continue;
            }
            owned.settled = true;
            if let Err(fault) = owned.push(Record::Settle) {
                log::error!("log {} is not settled: {fault}", owned.state.log);
            }
        }
    }

    /// Ends a program, after its running call where there is one, and its sub-agents.
    pub(super) fn end_program(
        &mut self,
        log: LogId,
        program: &ProgramId,
        ending: Ending,
        now: Instant,
    ) {
        self.endings.entry(program.clone()).or_insert_with(|| (ending, Vec::new()));
        if ending != Ending::Finished {
            for child in self.children(log, program) {
                self.end_program(log, &child, Ending::Cancelled, now);
            }
        }
        match self.live.get(program).map(|live| &live.stage) {
            Some(Stage::Running(_)) => self.halt(program, Cause::Cancel),
            Some(_) => {
                let refusal = Refusal::not_run(Code::ProgramEnded, "the program has ended");
                self.withdraw(program, refusal, now);
            }
            None => self.close_open_call(log, program),
        }
        self.complete_ending(log, program);
    }

    /// Ends a call that an earlier owner left open and nobody repeated.
    fn close_open_call(&mut self, log: LogId, program: &ProgramId) {
        let open = self.find(log, program).ok().and_then(|found| found.open.clone());
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
                && !self.endings.contains_key(*id)
        });
        children.map(|(id, _)| id.clone()).collect()
    }

    /// Answers `outbox` once the program has ended durably.
    pub(super) fn reply_after_ending(&mut self, log: LogId, program: &ProgramId, outbox: &Outbox) {
        if let Some((_, waiting)) = self.endings.get_mut(program) {
            return waiting.push(outbox.clone());
        }
        if let Some(owned) = self.logs.get_mut(&log) {
            owned.on_durable(Continuation::Reply { outbox: outbox.clone(), reply: Reply::Done });
        }
    }

    /// Writes a program's end once no call of it is open.
    pub(super) fn complete_ending(&mut self, log: LogId, program: &ProgramId) {
        let open = self.find(log, program).is_ok_and(|found| found.open.is_some());
        if open || self.live.contains_key(program) {
            return;
        }
        let Some((ending, waiting)) = self.endings.swap_remove(program) else {
            return;
        };
        let ended = self.find(log, program).is_ok_and(|found| found.ending.is_some());
        if !ended && self.record(log, Record::Finish { program: program.clone(), ending }) {
            metrics::counter!("programs_ended_total", "ending" => format!("{ending:?}"))
                .increment(1);
        }
        self.release_all(log, program);
        for outbox in waiting {
            self.reply_after_ending(log, program, &outbox);
        }
    }

    /// Ends calls whose deadline has passed.
    pub(super) fn enforce_deadlines(&mut self, now: Instant) {
        let late = self.live.iter().filter(|(_, live)| live.deadline <= now);
        let late: Vec<ProgramId> = late.map(|(id, _)| id.clone()).collect();
        for program in late {
            let Some(live) = self.live.get(&program) else {
                continue;
            };
            match (&live.stage, live.sent) {
                (Stage::Running(_), _) => self.halt(&program, Cause::Deadline),
                (_, true) => self.fail(&program, "the deadline passed", now),
                (_, false) => {
                    let message = "the deadline passed before an endpoint was free";
                    let refusal = Refusal::not_run(Code::DeadlinePassed, message);
                    self.withdraw(&program, refusal.retry_after(Duration::from_secs(1)), now);
                }
            }
        }
    }
}
