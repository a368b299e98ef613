//! Takeover and hand-off of logs.
//!
//! Every daemon computes the same assignment of logs to live members. A daemon takes over a log
//! that is assigned to it and has no owner, and hands off a log that is assigned to another member.
//! During a hand-off, the daemon accepts no new calls for the log, waits for requests to plain
//! services, which cannot move, leaves running model requests to the next owner, and records a
//! final entry that tells the next owner that the log is complete.

use super::active_call::Stage;
use super::commits::{self, since};
use super::event::Event;
use super::owned::{Continuation, Log};
use super::{Control, ProgramTimes};
use crate::routes::Member;
use crate::traffic::keys;
use crate::traffic::takeover::{self, Failure, Ownership};
use indexmap::IndexMap;
use peer::wire::{Operation, Principal, Reply};
use platform::kv::{Client, Error, LeaseId, Revision};
use sched::call::{Outcome, Work};
use sched::id::{LogId, ProgramId};
use sched::record::Record;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time for which a hand-off lets model requests finish before the next owner resumes them.
const HANDOFF_WAIT: Duration = Duration::from_millis(500);
/// Maximum time between two checks of the assignment while the members and owners stay the same.
const BALANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time that a log stays with an owner before it moves because of the assignment alone.
const MIN_OWNERSHIP: Duration = Duration::from_secs(2);

impl Control {
    /// Takes over and hands off logs according to the assignment.
    pub(super) fn balance_logs(&mut self, now: Instant) {
        if !self.config_loaded || self.lease.is_none() || self.stopping.is_some() {
            return;
        }
        let changed = self.routes.has_changed().unwrap_or(false);
        if !changed && since(now, self.last_balance) < BALANCE_INTERVAL {
            return;
        }
        self.last_balance = now;
        self.reclaim();
        let table = self.routes.borrow_and_update().clone();
        self.assignment.update(&table, &self.shared.local_member.vm, self.shared.settings.logs);
        for log in self.assignment.local_logs() {
            let owner = table.owners.get(&log);
            if owner.is_none_or(|owner| *owner == self.shared.local_member) {
                self.take_over(log);
            }
        }
        let owned: Vec<LogId> = self.logs.keys().copied().collect();
        for log in owned {
            if self.assignment.is_remote(log) {
                self.begin_handoff(log, MIN_OWNERSHIP, now);
            }
        }
    }

    fn take_over(&mut self, log: LogId) {
        let Some(lease) = self.lease else {
            return;
        };
        if self.logs.contains_key(&log) || !self.claims_in_progress.insert(log) {
            return;
        }
        let (kv, events) = (self.shared.kv.clone(), self.shared.events.clone());
        let me = self.shared.local_member.clone();
        self.shared.runtime.spawn(async move {
            let result = Box::new(takeover::take_over(&kv, &events, log, &me, lease).await);
            events.send(Event::TakeoverEnded { log, result });
        });
    }

    /// Handles the end of a takeover.
    pub(super) fn takeover_ended(
        &mut self,
        log: LogId,
        result: Result<Ownership, Failure>,
        now: Instant,
    ) {
        self.claims_in_progress.swap_remove(&log);
        let ownership = match result {
            Ok(ownership) => ownership,
            Err(Failure::Held) => return,
            Err(failure) => {
                metrics::counter!("takeover_failures_total").increment(1);
                log::error!("failed to take over log {log}: {failure}");
                return;
            }
        };
        if self.stopping.is_some() || self.lease.is_none() {
            return self.release_claim(log, ownership.owner_revision);
        }
        let (state, next_segment) = (ownership.state, ownership.next_segment);
        let owned = Log::new(state, next_segment, ownership.owner_revision, ownership.lease, now);
        for program in owned.state.programs.keys() {
            self.program_times
                .insert(program.clone(), ProgramTimes { started_at: now, last_used_at: now });
        }
        metrics::counter!("takeovers_total").increment(1);
        log::info!("took over log {log} with {} programs", owned.state.programs.len());
        self.logs.insert(log, owned);
    }

    /// Claims owner keys again if they are bound to an expired lease.
    pub(super) fn reclaim(&mut self) {
        let Some(lease) = self.lease else {
            return;
        };
        let expired = self.logs.values().filter(|owned| owned.lease != lease);
        let expired: Vec<LogId> = expired.map(Log::log).collect();
        for log in expired {
            if !self.claims_in_progress.insert(log) {
                continue;
            }
            let (kv, events) = (self.shared.kv.clone(), self.shared.events.clone());
            let me = self.shared.local_member.clone();
            self.shared.runtime.spawn(async move {
                let result = takeover::claim(&kv, log, &me, lease).await;
                events.send(Event::ReclaimEnded { log, lease, result });
            });
        }
    }

    /// Handles the end of a claim that was made again.
    ///
    /// The commit of a [`Record::Confirm`] then shows whether another daemon took the log over.
    pub(super) fn reclaim_ended(
        &mut self,
        log: LogId,
        lease: LeaseId,
        result: Result<Revision, Failure>,
        now: Instant,
    ) {
        self.claims_in_progress.swap_remove(&log);
        match result {
            Ok(owner_revision) => {
                let Some(owned) = self.logs.get_mut(&log) else {
                    return self.release_claim(log, owner_revision);
                };
                owned.owner_revision = owner_revision;
                owned.lease = lease;
                if owned.push(Record::Confirm).is_ok() {
                    owned.on_durable(Continuation::ConfirmOwnership);
                }
            }
            Err(Failure::Held) => self.abandon(log, now),
            Err(failure) => log::debug!("failed to claim log {log} again: {failure}"),
        }
    }

    fn release_claim(&self, log: LogId, owner_revision: Revision) {
        let kv = self.shared.kv.clone();
        self.shared.runtime.spawn(async move {
            // If the deletion fails, the key expires with the lease.
            let _ = kv.delete(&keys::owner(log), owner_revision).await;
        });
    }

    /// Starts the hand-off of a log, unless it was taken over less than `min_ownership` ago.
    fn begin_handoff(&mut self, log: LogId, min_ownership: Duration, now: Instant) {
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        if owned.handoff_started_at.is_some() || since(now, owned.taken_over) < min_ownership {
            return;
        }
        owned.handoff_started_at = Some(now);
        log::info!("handing off log {log}");
        let programs: Vec<ProgramId> = self
            .active_calls
            .iter()
            .filter(|(_, active)| active.log == log)
            .map(|(id, _)| id.clone())
            .collect();
        for program in programs {
            self.detach_unsent(&program, now);
        }
    }

    /// Detaches a call whose request has not been sent, so that the next owner starts it.
    fn detach_unsent(&mut self, program: &ProgramId, now: Instant) {
        let Some(active) = self.active_calls.get(program) else {
            return;
        };
        if matches!(active.stage, Stage::Running(_)) {
            return;
        }
        let (log, call) = (active.log, active.call.id.clone());
        let idempotent = active.call.work.idempotent();
        let open = self.find_program(log, program).is_ok_and(|found| found.open.is_some());
        if open && !idempotent {
            let outcome = Outcome::NotRun;
            self.record(log, Record::Outcome { program: program.clone(), call, outcome });
        }
        self.detach_call(program, now);
    }

    /// Advances hand-offs: detaches model calls after [`HANDOFF_WAIT`], and records the final entry
    /// of a log that has no more active calls.
    pub(super) fn advance_handoffs(&mut self, now: Instant) {
        let handoffs: Vec<(LogId, Instant)> = self
            .logs
            .values()
            .filter_map(|owned| {
                owned.handoff_started_at.map(|started_at| (owned.log(), started_at))
            })
            .collect();
        for (log, started_at) in handoffs {
            if since(now, started_at) >= HANDOFF_WAIT {
                self.detach_model_calls(log, now);
            }
            let busy = self.active_calls.values().any(|active| active.log == log);
            if !busy {
                self.record_handoff(log);
            }
        }
    }

    fn detach_model_calls(&mut self, log: LogId, now: Instant) {
        let running = self.active_calls.iter().filter(|(_, active)| {
            active.log == log && matches!(active.call.work, Work::Model { .. })
        });
        let running: Vec<ProgramId> = running.map(|(id, _)| id.clone()).collect();
        for program in running {
            self.detach_call(&program, now);
        }
    }

    fn record_handoff(&mut self, log: LogId) {
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        if owned.handoff_recorded {
            return;
        }
        owned.handoff_recorded = true;
        if owned.push(Record::Handoff).is_ok() {
            owned.on_durable(Continuation::FinishHandoff);
        }
    }

    /// Gives up a log whose hand-off entry is durable.
    pub(super) fn finish_handoff(&mut self, log: LogId) {
        let Some(owned) = self.logs.swap_remove(&log) else {
            return;
        };
        metrics::counter!("handoffs_total").increment(1);
        log::info!("handed off log {log}");
        self.forget_programs(&owned);
        self.release_claim(log, owned.owner_revision);
    }

    fn forget_programs(&mut self, owned: &Log) {
        for program in owned.state.programs.keys() {
            self.program_times.swap_remove(program);
            self.pending_endings.swap_remove(program);
        }
    }

    /// Drops a log that this daemon no longer owns, and forwards turns that are not durable to the
    /// new owner.
    pub(super) fn abandon(&mut self, log: LogId, now: Instant) {
        let Some(mut owned) = self.logs.swap_remove(&log) else {
            return;
        };
        let programs: Vec<ProgramId> = self
            .active_calls
            .iter()
            .filter(|(_, active)| active.log == log)
            .map(|(id, _)| id.clone())
            .collect();
        for program in programs {
            self.detach_call(&program, now);
        }
        self.forward_turns(&mut owned);
        for continuation in owned.continuations_mut() {
            match continuation {
                Continuation::EndAnswer { output, .. } => output.finish(Reply::Moved),
                Continuation::Reply { replies, .. } => {
                    // Fails if the caller disconnected.
                    let _ = replies.try_send(Reply::Moved);
                }
                Continuation::ActivateAllowance { .. }
                | Continuation::PrepareCall { .. }
                | Continuation::ConfirmOwnership
                | Continuation::FinishHandoff => {}
            }
        }
        self.forget_programs(&owned);
        self.release_claim(log, owned.owner_revision);
    }

    /// Sends turns that were answered with receipts and are not durable to the log's new owner.
    fn forward_turns(&self, owned: &mut Log) {
        let key = self.shared.settings.keys.cluster.clone();
        let mut by_program: IndexMap<ProgramId, Vec<String>> = IndexMap::new();
        for (program, receipt) in commits::nondurable_receipts(owned, key.as_bytes()) {
            by_program.entry(program).or_default().push(receipt);
        }
        for (program, receipts) in by_program {
            let Some(team) = owned.state.programs.get(&program).map(|p| p.spec.team.clone()) else {
                continue;
            };
            metrics::counter!("turns_passed_on_total").increment(1);
            let operation = Operation::Restore { program, receipts };
            let _guard = self.shared.runtime.enter();
            // The new owner may refuse the turn; the caller can still present its receipt.
            self.shared.router().submit_detached(Principal::Team(team), operation);
        }
    }

    /// Starts a planned stop: announces it to peers and hands off all logs.
    pub(super) fn begin_stop(&mut self, done: oneshot::Sender<()>, now: Instant) {
        self.stopping = Some(done);
        self.update_ready();
        let (kv, me) = (self.shared.kv.clone(), self.shared.local_member.clone());
        self.shared.runtime.spawn(async move {
            if let Err(error) = announce_stop(&kv, me).await {
                log::warn!("failed to announce the stop to peers: {error}");
            }
        });
        let logs: Vec<LogId> = self.logs.keys().copied().collect();
        for log in logs {
            self.begin_handoff(log, Duration::ZERO, now);
        }
    }

    /// Reports the end of a planned stop once no log is owned or being claimed.
    pub(super) fn finish_stop(&mut self) {
        if self.stopping.is_none() || !self.logs.is_empty() || !self.claims_in_progress.is_empty() {
            return;
        }
        if let Some(done) = self.stopping.replace(oneshot::channel().0) {
            // Fails if the receiver stopped waiting.
            let _ = done.send(());
        }
    }
}

/// Marks this daemon's member key as stopping, so that no more logs are assigned to it.
async fn announce_stop(kv: &Client, me: Member) -> Result<(), Error> {
    let key = keys::member(&me.vm);
    let Some(entry) = kv.get(&key).await? else {
        return Ok(());
    };
    let stopping = Member { stopping: true, ..me };
    let value = serde_json::to_vec(&stopping).map_err(|e| Error::Malformed(e.to_string()))?;
    kv.compare_and_swap(&key, &value, entry.revision, Some(entry.lease)).await.map(drop)
}
