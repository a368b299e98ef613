//! Commits of log entries, and the actions that wait for them.

use super::Control;
use super::active_call::Stage;
use super::event::Event;
use super::operations::platform_down;
use super::owned::Continuation;
use crate::receipt::Receipt;
use crate::settings::{InjectedFault, millis};
use crate::traffic::{commit, snapshot};
use peer::wire::Reply;
use sched::id::{CallId, Epoch, LogId, ProgramId};
use sched::refusal::{Execution, Refusal};
use std::time::{Duration, Instant};

impl Control {
    /// Starts commits, longest-waiting log first, and runs the continuations of logs whose entries
    /// are all durable.
    ///
    /// Logs for which the pacer has no permit wait for the next flush.
    pub(super) fn flush(&mut self, now: Instant) {
        let mut ready = Vec::new();
        let mut due = Vec::new();
        for owned in self.logs.values_mut() {
            ready.extend(
                owned.take_ready().into_iter().map(|continuation| (owned.state.log, continuation)),
            );
            due.extend(owned.due_since(now).map(|since| (since, owned.state.log)));
        }
        due.sort();
        for (_, log) in due {
            if !self.pacer.try_acquire(now) {
                break;
            }
            self.start_commit(log, now);
        }
        for (log, continuation) in ready {
            self.run_continuation(log, continuation, now);
        }
    }

    fn start_commit(&mut self, log: LogId, now: Instant) {
        let snapshot_segments = self.limits().snapshot_segments;
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        let Some(batch) = owned.take_batch(now, snapshot_segments) else {
            return;
        };
        metrics::counter!("commits_total").increment(1);
        metrics::counter!("entries_total").increment(batch.segment.records.len() as u64);
        let epoch = owned.epoch;
        let (kv, events) = (self.shared.kv.clone(), self.shared.events.clone());
        self.shared.runtime.spawn(async move {
            let result = commit::commit(&kv, &events, log, batch.number, &batch.segment).await;
            events.send(Event::CommitEnded { log, epoch, result });
        });
    }

    /// Handles the end of a commit: runs its continuations, or drops the log if the commit failed.
    pub(super) fn commit_ended(
        &mut self,
        log: LogId,
        epoch: Epoch,
        result: commit::Outcome,
        now: Instant,
    ) {
        let Some(owned) = self.logs.get_mut(&log).filter(|owned| owned.epoch == epoch) else {
            return;
        };
        let fence_ignored = self.shared.settings.injects(InjectedFault::NoFence);
        if result != commit::Outcome::Durable && !fence_ignored {
            metrics::counter!("logs_fenced_total").increment(1);
            log::warn!(
                "dropping log {log}: another daemon took it over, or its segment cannot be written"
            );
            return self.abandon(log, now);
        }
        metrics::histogram!("commit_seconds").record(owned.commit_age(now).as_secs_f64());
        let (continuations, snapshot) = owned.finish_commit();
        if let Some((number, packed)) = snapshot {
            self.write_snapshot(log, number, packed);
        }
        for continuation in continuations {
            self.run_continuation(log, continuation, now);
        }
    }

    fn write_snapshot(&self, log: LogId, number: u64, packed: Vec<u8>) {
        let kv = self.shared.kv.clone();
        self.shared.runtime.spawn(async move {
            match snapshot::write(&kv, log, number, &packed).await {
                Ok(()) => metrics::counter!("snapshots_total").increment(1),
                Err(error) => {
                    metrics::counter!("snapshot_failures_total").increment(1);
                    log::warn!("failed to write a snapshot of log {log}: {error}");
                }
            }
        });
    }

    fn run_continuation(&mut self, log: LogId, continuation: Continuation, now: Instant) {
        match continuation {
            Continuation::ActivateAllowance { .. } => {}
            Continuation::PrepareCall { program, call } => {
                let waiting = self.active_calls.get(&program).is_some_and(|active| {
                    active.call.id == call && matches!(active.stage, Stage::AwaitingCommit)
                });
                if waiting {
                    self.prepare_call(&program, now);
                }
            }
            Continuation::EndAnswer { output, reply, .. } => output.finish(reply),
            Continuation::Reply { replies, reply } => {
                // Fails if the caller disconnected.
                let _ = replies.try_send(reply);
            }
            Continuation::ConfirmOwnership => {
                if let Some(owned) = self.logs.get_mut(&log) {
                    owned.unconfirmed = false;
                    log::info!("confirmed the ownership of log {log}");
                }
            }
            Continuation::FinishHandoff => self.finish_handoff(log),
        }
    }

    /// Answers callers whose commit takes too long.
    ///
    /// Answers to calls end with a receipt. While the key-value service is unreachable, other
    /// operations are refused with an unknown result, and calls that wait for a commit and have not
    /// been sent to an endpoint are refused. The timeout is doubled while the service is reachable
    /// and the lease is valid.
    pub(super) fn answer_stalled(&mut self, now: Instant) {
        let timeout = millis(self.limits().receipt_after_ms);
        let key = self.shared.settings.keys.cluster.clone();
        let healthy = self.platform_up && self.lease_valid(now);
        let timeout = if healthy { 2 * timeout } else { timeout };
        let mut stalled = Vec::new();
        for owned in self.logs.values_mut() {
            if owned.commit_age(now) < timeout {
                continue;
            }
            end_answers_with_receipts(owned, key.as_bytes());
            if !self.platform_up {
                refuse_operations(owned);
                stalled.push(owned.log());
            }
        }
        for log in stalled {
            self.refuse_waiting_calls(log, now);
        }
    }

    fn refuse_waiting_calls(&mut self, log: LogId, now: Instant) {
        let waiting = self.active_calls.iter().filter(|(_, active)| {
            active.log == log && !active.sent && matches!(active.stage, Stage::AwaitingCommit)
        });
        let waiting: Vec<ProgramId> = waiting.map(|(program, _)| program.clone()).collect();
        for program in waiting {
            let refusal = platform_down("the call cannot be made durable");
            self.refuse_call(&program, refusal, now);
        }
    }
}

/// Refuses operations that wait for durability; they may still take effect later.
fn refuse_operations(owned: &mut super::owned::Log) {
    for continuation in owned.continuations_mut() {
        if let Continuation::Reply { replies, .. } = continuation {
            let refusal = platform_down("the operation may become durable later");
            let refusal = Refusal { ran: Execution::Unknown, ..refusal };
            // Fails if the caller disconnected or stopped reading after an earlier reply.
            let _ = replies.try_send(Reply::Refused(refusal));
        }
    }
}

/// Ends all answers that wait for durability, each with a receipt for its turn.
fn end_answers_with_receipts(owned: &mut super::owned::Log, key: &[u8]) {
    let mut ended = Vec::new();
    for continuation in owned.continuations_mut() {
        if let Continuation::EndAnswer { program, call, output, reply, receipt_sent } = continuation
            && !std::mem::replace(receipt_sent, true)
        {
            ended.push((program.clone(), call.clone(), output.clone(), reply.clone()));
        }
    }
    for (program, call, output, reply) in ended {
        let Some(receipt) = seal_receipt(owned, &program, &call, key) else { continue };
        let Reply::Ended { outcome, queued, .. } = reply else { continue };
        metrics::counter!("receipts_total").increment(1);
        output.finish(Reply::Ended { outcome, receipt: Some(receipt), queued });
    }
}

fn seal_receipt(
    owned: &super::owned::Log,
    program: &ProgramId,
    call: &CallId,
    key: &[u8],
) -> Option<String> {
    let turn = owned.state.programs.get(program)?.turn(call)?.clone();
    Receipt { program: program.clone(), turn }.sign(key)
}

/// Returns receipts for all turns that were answered before they were durable, in order.
pub(super) fn nondurable_receipts(
    owned: &mut super::owned::Log,
    key: &[u8],
) -> Vec<(ProgramId, String)> {
    let mut turns = Vec::new();
    for continuation in owned.continuations_mut() {
        if let Continuation::EndAnswer { program, call, receipt_sent: true, .. } = continuation {
            turns.push((program.clone(), call.clone()));
        }
    }
    let receipts = turns.into_iter().filter_map(|(program, call)| {
        let receipt = seal_receipt(owned, &program, &call, key)?;
        Some((program, receipt))
    });
    receipts.collect()
}

/// Returns the time since `moment`, or zero if it is in the future.
pub(super) fn since(now: Instant, moment: Instant) -> Duration {
    now.saturating_duration_since(moment)
}
