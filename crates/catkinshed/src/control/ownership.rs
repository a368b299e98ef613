//! Taking logs over and handing them off.
//!
//! Every daemon assigns the logs to the live members by the same function. A daemon takes over a
//! log that is assigned to it and has no owner, and hands off one that is assigned to another. A
//! hand-off takes no new calls, waits for requests that cannot move, leaves running model orders to
//! the next owner, and writes a last entry that tells the next owner that nothing is unaccounted
//! for.

use super::active_call::Stage;
use super::commits::{self, since};
use super::event::Event;
use super::owned::{Continuation, Log};
use super::{Control, ProgramTimes};
use crate::io::keys;
use crate::io::takeover::{self, Failure, Ownership};
use crate::routes::Member;
use indexmap::IndexMap;
use peer::wire::{Operation, Principal, Reply};
use platform::kv::{Client, Error, LeaseId, Revision};
use sched::call::{Outcome, Work};
use sched::id::{LogId, ProgramId};
use sched::record::Record;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time that a hand-off leaves to running model orders before the next owner resumes them.
const HANDOFF_WAIT: Duration = Duration::from_millis(500);
/// Longest time between two looks at the assignment while nothing changes.
const BALANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two changes of a log's owner for balance alone.
const SETTLE_BEFORE_MOVE: Duration = Duration::from_secs(2);

impl Control {
    /// Takes over and hands off logs, so that each is where it is assigned.
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
        for log in self.assignment.mine() {
            let owner = table.owners.get(&log);
            if owner.is_none_or(|owner| *owner == self.shared.local_member) {
                self.take_over(log);
            }
        }
        let owned: Vec<LogId> = self.logs.keys().copied().collect();
        for log in owned {
            if self.assignment.is_anothers(log) {
                self.begin_handoff(log, SETTLE_BEFORE_MOVE, now);
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

    /// Takes the end of a takeover.
    pub(super) fn takeover_ended(
        &mut self,
        log: LogId,
        result: Result<Ownership, Failure>,
        now: Instant,
    ) {
        self.claims_in_progress.swap_remove(&log);
        let adopted = match result {
            Ok(adopted) => adopted,
            Err(Failure::Held) => return,
            Err(failure) => {
                metrics::counter!("takeover_failures_total").increment(1);
                log::error!("log {log} cannot be taken over: {failure}");
                return;
            }
        };
        if self.stopping.is_some() || self.lease.is_none() {
            return self.release_claim(log, adopted.owner_revision);
        }
        let (state, next) = (adopted.state, adopted.next_segment);
        let owned = Log::new(state, next, adopted.owner_revision, adopted.lease, now);
        for program in owned.state.programs.keys() {
            self.program_times
                .insert(program.clone(), ProgramTimes { started_at: now, last_used_at: now });
        }
        metrics::counter!("takeovers_total").increment(1);
        log::info!("log {log} taken over, with {} programs", owned.state.programs.len());
        self.logs.insert(log, owned);
    }

    /// Claims the owner keys again that were bound to a lease that lapsed.
    pub(super) fn reclaim(&mut self) {
        let Some(lease) = self.lease else {
            return;
        };
        let lapsed = self.logs.values().filter(|owned| owned.lease != lease);
        let lapsed: Vec<LogId> = lapsed.map(Log::log).collect();
        for log in lapsed {
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

    /// Takes the end of a claim made again; a commit then shows whether anyone took the log over.
    pub(super) fn reclaim_ended(
        &mut self,
        log: LogId,
        lease: LeaseId,
        result: Result<Revision, Failure>,
        now: Instant,
    ) {
        self.claims_in_progress.swap_remove(&log);
        match result {
            Ok(claim) => {
                let Some(owned) = self.logs.get_mut(&log) else {
                    return self.release_claim(log, claim);
                };
                owned.claim = claim;
                owned.lease = lease;
                if owned.push(Record::Confirm).is_ok() {
                    owned.on_durable(Continuation::ConfirmOwnership);
                }
            }
            Err(Failure::Held) => self.abandon(log, now),
            Err(failure) => log::debug!("log {log} is not claimed again yet: {failure}"),
        }
    }

    fn release_claim(&self, log: LogId, claim: Revision) {
        let kv = self.shared.kv.clone();
        self.shared.runtime.spawn(async move {
            // When this is lost, the key lapses with the lease.
            let _ = kv.delete(&keys::owner(log), claim).await;
        });
    }

    fn begin_handoff(&mut self, log: LogId, settle: Duration, now: Instant) {
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        if owned.draining.is_some() || since(now, owned.adopted) < settle {
            return;
        }
        owned.draining = Some(now);
        log::info!("log {log} is being handed off");
        let live: Vec<ProgramId> = self
            .active_calls
            .iter()
            .filter(|(_, l)| l.log == log)
            .map(|(id, _)| id.clone())
            .collect();
        for program in live {
            self.release_waiting(&program, now);
        }
    }

    /// Lets a call go whose order has not left, so that the next owner starts it.
    fn release_waiting(&mut self, program: &ProgramId, now: Instant) {
        let Some(live) = self.active_calls.get(program) else {
            return;
        };
        if matches!(live.stage, Stage::Running(_)) {
            return;
        }
        let (log, call) = (live.log, live.call.id.clone());
        let repeatable = live.call.work.idempotent();
        let open = self.find_program(log, program).is_ok_and(|found| found.open.is_some());
        if open && !repeatable {
            let outcome = Outcome::NotRun;
            self.record(log, Record::Outcome { program: program.clone(), call, outcome });
        }
        self.detach_call(program, now);
    }

    /// Brings hand-offs to their end.
    pub(super) fn advance_handoffs(&mut self, now: Instant) {
        let draining: Vec<(LogId, Instant)> = self
            .logs
            .values()
            .filter_map(|owned| owned.draining.map(|since| (owned.log(), since)))
            .collect();
        for (log, begun) in draining {
            if since(now, begun) >= HANDOFF_WAIT {
                self.detach_models(log, now);
            }
            let busy = self.active_calls.values().any(|live| live.log == log);
            if !busy {
                self.write_handoff(log);
            }
        }
    }

    fn detach_models(&mut self, log: LogId, now: Instant) {
        let running = self
            .active_calls
            .iter()
            .filter(|(_, live)| live.log == log && matches!(live.call.work, Work::Model { .. }));
        let running: Vec<ProgramId> = running.map(|(id, _)| id.clone()).collect();
        for program in running {
            self.detach_call(&program, now);
        }
    }

    fn write_handoff(&mut self, log: LogId) {
        let Some(owned) = self.logs.get_mut(&log) else {
            return;
        };
        if owned.handing_off {
            return;
        }
        owned.handing_off = true;
        if owned.push(Record::Handoff).is_ok() {
            owned.on_durable(Continuation::FinishHandoff);
        }
    }

    /// Ends this daemon's ownership once the last entry is durable.
    pub(super) fn handed_off(&mut self, log: LogId) {
        let Some(owned) = self.logs.swap_remove(&log) else {
            return;
        };
        metrics::counter!("handoffs_total").increment(1);
        log::info!("log {log} is handed off");
        self.forget_programs(&owned);
        self.release_claim(log, owned.claim);
    }

    fn forget_programs(&mut self, owned: &Log) {
        for program in owned.state.programs.keys() {
            self.program_times.swap_remove(program);
            self.pending_endings.swap_remove(program);
        }
    }

    /// Drops a log that another daemon owns now.
    pub(super) fn abandon(&mut self, log: LogId, now: Instant) {
        let Some(mut owned) = self.logs.swap_remove(&log) else {
            return;
        };
        let live: Vec<ProgramId> = self
            .active_calls
            .iter()
            .filter(|(_, l)| l.log == log)
            .map(|(id, _)| id.clone())
            .collect();
        for program in live {
            self.detach_call(&program, now);
        }
        self.pass_on_turns(&mut owned);
        for after in owned.waiting() {
            match after {
                Continuation::EndAnswer { tape, .. } => tape.finish(Reply::Moved),
                Continuation::Reply { outbox, .. } => {
                    // An asker that has gone needs no answer.
                    let _ = outbox.try_send(Reply::Moved);
                }
                Continuation::ReleaseAllowance { .. }
                | Continuation::PrepareCall { .. }
                | Continuation::ConfirmOwnership
                | Continuation::FinishHandoff => {}
            }
        }
        self.forget_programs(&owned);
        self.release_claim(log, owned.claim);
    }

    /// Hands turns that were answered with receipts to the log's new owner.
    fn pass_on_turns(&self, owned: &mut Log) {
        let key = self.shared.settings.keys.cluster.clone();
        let mut by_program: IndexMap<ProgramId, Vec<String>> = IndexMap::new();
        for (program, receipt) in commits::undurable_receipts(owned, key.as_bytes()) {
            by_program.entry(program).or_default().push(receipt);
        }
        for (program, receipts) in by_program {
            let Some(team) = owned.state.programs.get(&program).map(|p| p.spec.team.clone()) else {
                continue;
            };
            metrics::counter!("turns_passed_on_total").increment(1);
            let ask = Operation::Restore { program, receipts };
            let _guard = self.shared.runtime.enter();
            // The new owner takes or refuses the turn; the caller has its receipt in any case.
            self.shared.entry().submit_detached(Principal::Team(team), ask);
        }
    }

    /// Begins to hand all logs off.
    pub(super) fn begin_stop(&mut self, done: oneshot::Sender<()>, now: Instant) {
        self.stopping = Some(done);
        self.update_ready();
        let (kv, me) = (self.shared.kv.clone(), self.shared.local_member.clone());
        self.shared.runtime.spawn(async move {
            if let Err(error) = announce_stop(&kv, me).await {
                log::warn!("the stop is not announced to peers: {error}");
            }
        });
        let logs: Vec<LogId> = self.logs.keys().copied().collect();
        for log in logs {
            self.begin_handoff(log, Duration::ZERO, now);
        }
    }

    /// Tells the one that asked for the stop that no log is left.
    pub(super) fn finish_stop(&mut self) {
        if self.stopping.is_none() || !self.logs.is_empty() || !self.claims_in_progress.is_empty() {
            return;
        }
        if let Some(done) = self.stopping.replace(oneshot::channel().0) {
            // The waiter may have run out of patience.
            let _ = done.send(());
        }
    }
}

/// Marks this daemon's member key, so that no log is assigned to it any more.
async fn announce_stop(kv: &Client, me: Member) -> Result<(), Error> {
    let key = keys::member(&me.vm);
    let Some(entry) = kv.get(&key).await? else {
        return Ok(());
    };
    let stopping = Member { stopping: true, ..me };
    let value = serde_json::to_vec(&stopping).map_err(|e| Error::Malformed(e.to_string()))?;
    kv.compare_and_swap(&key, &value, entry.revision, Some(entry.lease)).await.map(drop)
}
