//! Making log entries durable, and doing what waited for that.

use super::Control;
use super::active_call::Stage;
use super::event::Event;
use super::operations::platform_down;
use super::owned::Continuation;
use crate::io::{commit, snapshot};
use crate::receipt::Receipt;
use crate::settings::{InjectedFault, millis};
use peer::wire::Reply;
use sched::id::{CallId, Epoch, LogId, ProgramId};
use sched::refusal::{Execution, Refusal};
use std::time::{Duration, Instant};

impl Control {
    /// Starts the commits that are due.
    pub(super) fn flush(&mut self, now: Instant) {
        let mut ready = Vec::new();
        let mut due = Vec::new();
        for owned in self.logs.values_mut() {
            ready.extend(owned.take_ready().into_iter().map(|after| (owned.state.log, after)));
            due.extend(owned.due_since(now).map(|since| (since, owned.state.log)));
        }
        due.sort();
        for (_, log) in due {
            if !self.pacer.take(now) {
                break;
            }
            self.start_commit(log, now);
        }
        for (log, after) in ready {
            self.proceed(log, after, now);
        }
    }

    fn start_commit(&mut self, log: LogId, now: Instant) {
        let snapshot_after = self.limits().snapshot_segments;
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        let Some(batch) = owned.take_batch(now, snapshot_after) else {
            return;
        };
        metrics::counter!("commits_total").increment(1);
        metrics::counter!("entries_total").increment(batch.segment.records.len() as u64);
        let epoch = owned.epoch;
        let (kv, events) = (self.shared.kv.clone(), self.shared.events.clone());
        self.shared.runtime.spawn(async move {
            let end = commit::commit(&kv, &events, log, batch.number, &batch.segment).await;
            events.send(Event::CommitEnded { log, epoch, end });
        });
    }

    /// Takes the end of a commit.
    pub(super) fn commit_ended(
        &mut self,
        log: LogId,
        epoch: Epoch,
        end: commit::Outcome,
        now: Instant,
    ) {
        let Some(owned) = self.logs.get_mut(&log).filter(|owned| owned.epoch == epoch) else {
            return;
        };
        let ignored = self.shared.settings.injects(InjectedFault::NoFence);
        if end != commit::Outcome::Durable && !ignored {
            metrics::counter!("logs_fenced_total").increment(1);
            log::warn!("log {log} was taken over by another daemon, or cannot be written");
            return self.abandon(log, now);
        }
        metrics::histogram!("commit_seconds").record(owned.stalled(now).as_secs_f64());
        let (waiting, snapshot) = owned.committed();
        if let Some((number, packed)) = snapshot {
            self.write_snapshot(log, number, packed);
        }
        for after in waiting {
            self.proceed(log, after, now);
        }
    }

    fn write_snapshot(&self, log: LogId, number: u64, packed: Vec<u8>) {
        let kv = self.shared.kv.clone();
        self.shared.runtime.spawn(async move {
            match snapshot::write(&kv, log, number, &packed).await {
                Ok(()) => metrics::counter!("snapshots_total").increment(1),
                Err(fault) => {
                    metrics::counter!("snapshot_failures_total").increment(1);
                    log::warn!("the snapshot of log {log} failed: {fault}");
                }
            }
        });
    }

    fn proceed(&mut self, log: LogId, after: Continuation, now: Instant) {
        match after {
            Continuation::ReleaseAllowance { .. } => {}
            Continuation::PrepareCall { program, call } => {
                let waiting = self.active_calls.get(&program).is_some_and(|live| {
                    live.call.id == call && matches!(live.stage, Stage::AwaitingCommit)
                });
                if waiting {
                    self.prepare_call(&program, now);
                }
            }
            Continuation::EndAnswer { tape, reply, .. } => tape.finish(reply),
            Continuation::Reply { outbox, reply } => {
                // An asker that has gone needs no answer.
                let _ = outbox.try_send(reply);
            }
            Continuation::ConfirmOwnership => {
                if let Some(owned) = self.logs.get_mut(&log) {
                    owned.unconfirmed = false;
                    log::info!("log {log} is still owned here");
                }
            }
            Continuation::FinishHandoff => self.handed_off(log),
        }
    }

    /// Answers what waits for a commit that has not ended in time.
    ///
    /// Answers of calls end with a receipt. While the key-value service is out of reach, other
    /// operations are told that their fate is not known yet, and calls whose order has not left are
    /// refused.
    pub(super) fn answer_stalled(&mut self, now: Instant) {
        let patience = millis(self.limits().receipt_after_ms);
        let key = self.shared.settings.keys.cluster.clone();
        let healthy = self.platform_up && self.lease_valid(now);
        let patience = if healthy { 2 * patience } else { patience };
        let mut stalled = Vec::new();
        for owned in self.logs.values_mut() {
            if owned.stalled(now) < patience {
                continue;
            }
            seal_all(owned, key.as_bytes());
            if !self.platform_up {
                answer_operations(owned);
                stalled.push(owned.log());
            }
        }
        for log in stalled {
            self.refuse_undurable(log, now);
        }
    }

    fn refuse_undurable(&mut self, log: LogId, now: Instant) {
        let waiting = self.active_calls.iter().filter(|(_, live)| {
            live.log == log && !live.sent && matches!(live.stage, Stage::AwaitingCommit)
        });
        let waiting: Vec<ProgramId> = waiting.map(|(program, _)| program.clone()).collect();
        for program in waiting {
            let refusal = platform_down("the call cannot be made durable");
            self.refuse_call(&program, refusal, now);
        }
    }
}

/// Tells the askers of operations that their fate is not known yet.
fn answer_operations(owned: &mut super::owned::Log) {
    for after in owned.waiting() {
        if let Continuation::Reply { outbox, .. } = after {
            let refusal = platform_down("the operation may become durable later");
            let refusal = Refusal { ran: Execution::Unknown, ..refusal };
            // An asker that has its answer takes no further one.
            let _ = outbox.try_send(Reply::Refused(refusal));
        }
    }
}

/// Ends all answers that wait for durability, each with a receipt.
fn seal_all(owned: &mut super::owned::Log, key: &[u8]) {
    let mut ended = Vec::new();
    for after in owned.waiting() {
        if let Continuation::EndAnswer { program, call, tape, reply, receipt_sent } = after
            && !std::mem::replace(receipt_sent, true)
        {
            ended.push((program.clone(), call.clone(), tape.clone(), reply.clone()));
        }
    }
    for (program, call, tape, reply) in ended {
        let Some(receipt) = seal(owned, &program, &call, key) else { continue };
        let Reply::Ended { outcome, queued, .. } = reply else { continue };
        metrics::counter!("receipts_total").increment(1);
        tape.finish(Reply::Ended { outcome, receipt: Some(receipt), queued });
    }
}

fn seal(
    owned: &super::owned::Log,
    program: &ProgramId,
    call: &CallId,
    key: &[u8],
) -> Option<String> {
    let turn = owned.state.programs.get(program)?.turn(call)?.clone();
    Receipt { program: program.clone(), turn }.sign(key)
}

/// Receipts of all turns that were answered and are not durable, in order.
pub(super) fn undurable_receipts(
    owned: &mut super::owned::Log,
    key: &[u8],
) -> Vec<(ProgramId, String)> {
    let mut turns = Vec::new();
    for after in owned.waiting() {
        if let Continuation::EndAnswer { program, call, receipt_sent: true, .. } = after {
            turns.push((program.clone(), call.clone()));
        }
    }
    let receipts = turns.into_iter().filter_map(|(program, call)| {
        let receipt = seal(owned, &program, &call, key)?;
        Some((program, receipt))
    });
    receipts.collect()
}

/// Time since a moment that may lie ahead.
pub(super) fn since(now: Instant, moment: Instant) -> Duration {
    now.saturating_duration_since(moment)
}
