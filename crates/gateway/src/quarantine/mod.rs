//! Keeps requests that crash endpoints away from them.
//!
//! The rules are those of [`sched::quarantine`]. A daemon reports the requests that were at an endpoint
//! whose process ended to the arbiters of the service, the members with the highest hashes. Each of
//! them judges by itself. It sends what it quarantines to the delegates, and these pass it on with
//! their subscriptions, so that every daemon refuses the request when it arrives, and a daemon that
//! starts learns of it with its first update.

pub mod operator;

use crate::budgets::Budgets;
use crate::forward::ClientRequest;
use crate::members;
use crate::settings::Settings;
use crate::view::View;
use indexmap::IndexMap;
use peer::gateway::{Command, Member};
use sched::id::VmId;
use sched::origin::holders;
use sched::quarantine::{
    Accusation, Completed, Culprit, Fingerprint, Fingerprints, Holds, Process, Recent, Row,
    SETTLE_TIME, Scope, Tracker, Verdict,
};
use sha2::{Digest, Sha256};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// Number of members that judge the requests of one service; one that is lost, cut off or frozen is
/// not waited for.
const ARBITERS: usize = 3;
/// Time for which accusations are collected before they are sent, since all requests at an endpoint
/// fail together.
const COLLECT_TIME: Duration = Duration::from_millis(5);
/// Time before a request is sent again that has lost as many endpoints as put it in quarantine; its
/// arbiters decide within it.
pub const JUDGEMENT_TIME: Duration = Duration::from_millis(80);

/// Length of the beginning of a body that the wide fingerprint covers, in bytes.
const BEGINNING_BYTES: usize = 256;

/// Quarantined and suspected requests.
pub struct Quarantine {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    /// Crashes that this daemon judges as an arbiter.
    tracker: Mutex<Tracker>,
    holds: Mutex<Holds>,
    /// Requests that completed at this daemon.
    completed: Mutex<Completed>,
    /// Fingerprints by which this daemon accused requests that have not completed here since.
    accused: Mutex<Recent>,
    /// Accusations that are not sent yet.
    unsent: Mutex<Vec<Accusation>>,
    /// Number of changes to `holds`.
    changed: watch::Sender<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the fingerprints of a request that a customer sent; `customer` is empty if the configuration
/// has none.
///
/// Ids, deadlines and the other headers differ between the repetitions of a request, so they are left
/// out.
pub fn fingerprints(customer: &str, host: &str, request: &ClientRequest) -> Fingerprints {
    let digest = |scope: Scope, target: &str, body: &[u8]| {
        let mut hash = Sha256::new();
        for part in [scope.name(), customer, request.method.as_str(), host, target] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        let digest = hash.finalize();
        let mut fingerprint = [0; 16];
        let length = fingerprint.len();
        fingerprint.copy_from_slice(&digest[..length]);
        Fingerprint(fingerprint)
    };
    let target = request.uri.path_and_query().map_or("", |target| target.as_str());
    let beginning = request.body.len().min(BEGINNING_BYTES);
    Fingerprints {
        wide: digest(Scope::Wide, target, &request.body[..beginning]),
        narrow: digest(Scope::Narrow, target, &request.body),
    }
}

impl Quarantine {
    /// Creates the state, without requests.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, budgets: Arc<Budgets>) -> Self {
        let tracker = Mutex::new(Tracker::new(settings.quarantine));
        Self {
            settings,
            view,
            budgets,
            tracker,
            holds: Mutex::default(),
            completed: Mutex::default(),
            accused: Mutex::default(),
            unsent: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns whether no request is quarantined, so that no fingerprint is needed.
    pub fn is_empty(&self) -> bool {
        lock(&self.holds).is_empty()
    }

    /// Returns whether a request is to be refused, and counts it if so.
    pub fn refuse(&self, fingerprints: &Fingerprints, now: Instant) -> bool {
        let refused = lock(&self.holds).refuse(fingerprints, now);
        if refused {
            metrics::counter!("quarantine_refusals_total").increment(1);
        }
        refused
    }

    /// Returns the fingerprint by which a request is accused.
    pub fn select(&self, fingerprints: &Fingerprints, now: Instant) -> (Fingerprint, Scope) {
        let Fingerprints { wide, narrow } = *fingerprints;
        match lock(&self.completed).contains(&wide) || lock(&self.holds).is_lifted(&wide, now) {
            true => (narrow, Scope::Narrow),
            false => (wide, Scope::Wide),
        }
    }

    /// Returns whether a request completed lately at this daemon.
    pub fn has_completed(&self, fingerprints: &Fingerprints) -> bool {
        lock(&self.completed).contains_narrow(&fingerprints.narrow)
    }

    /// Records that a request of a service completed: its arbiters forget crashes for which this daemon
    /// accused it, also in an earlier attempt or under another id, and a quarantine that covers it ends.
    pub fn record_completed(
        self: &Arc<Self>,
        fingerprints: &Fingerprints,
        service: &str,
        now: Instant,
    ) {
        let Fingerprints { wide, narrow } = fingerprints;
        lock(&self.completed).record(fingerprints, now);
        let was_accused = {
            let mut accused = lock(&self.accused);
            let by_wide = accused.remove(wide);
            accused.remove(narrow) || by_wide
        };
        if was_accused {
            self.absolve(fingerprints, service);
        }
        if !self.is_empty() {
            self.end(wide, true, now);
            self.end(narrow, false, now);
        }
    }

    /// Returns the arbiters of a service.
    fn arbiters(&self, service: &str) -> Vec<Member> {
        self.view.with_members(|live| {
            let arbiters = holders(service, live.keys(), ARBITERS);
            arbiters.into_iter().filter_map(|vm| live.get(vm).cloned()).collect()
        })
    }

    /// Reports that a request was at an endpoint whose process ended.
    pub fn accuse(self: &Arc<Self>, accusation: Accusation) {
        metrics::counter!("quarantine_accusations_total").increment(1);
        lock(&self.accused).record(accusation.fingerprint, Instant::now());
        let mut unsent = lock(&self.unsent);
        let first = unsent.is_empty();
        unsent.push(accusation);
        if first {
            let quarantine = self.clone();
            tokio::spawn(async move {
                sleep(COLLECT_TIME).await;
                quarantine.send_accusations();
            });
        }
    }

    fn send_accusations(self: &Arc<Self>) {
        let mut by_arbiter: IndexMap<VmId, (Member, Vec<Accusation>)> = IndexMap::new();
        let accusations = std::mem::take(&mut *lock(&self.unsent));
        for accusation in accusations {
            for arbiter in self.arbiters(&accusation.service) {
                let entry = by_arbiter.entry(arbiter.vm.clone());
                entry.or_insert_with(|| (arbiter, Vec::new())).1.push(accusation.clone());
            }
        }
        for (vm, (arbiter, accusations)) in by_arbiter {
            match vm == self.settings.vm {
                true => self.record(accusations, Instant::now()),
                false => self.budgets.send_one_way(arbiter.addr, Command::Accuse(accusations)),
            }
        }
    }

    /// Reports that a request that was accused has completed.
    fn absolve(&self, fingerprints: &Fingerprints, service: &str) {
        metrics::counter!("quarantine_absolutions_total").increment(1);
        for arbiter in self.arbiters(service) {
            match arbiter.vm == self.settings.vm {
                true => self.absolve_locally(fingerprints),
                false => {
                    self.budgets.send_one_way(arbiter.addr, Command::Absolve(*fingerprints));
                }
            }
        }
    }

    /// Records, as an arbiter, that a request that was accused has completed.
    pub fn absolve_locally(&self, fingerprints: &Fingerprints) {
        lock(&self.tracker).record_completed(fingerprints);
    }

    /// Records accusations as an arbiter, and judges them once the other daemons have reported theirs.
    pub fn record(self: &Arc<Self>, accusations: Vec<Accusation>, now: Instant) {
        let mut is_new = false;
        {
            let mut tracker = lock(&self.tracker);
            for accusation in accusations {
                let Process { endpoint, incarnation } = accusation.process.clone();
                let (fingerprint, request) = (accusation.fingerprint, accusation.request.clone());
                let phase = format!("{:?}", accusation.phase);
                is_new |= tracker.record(accusation, now);
                let crashes = tracker.crashes(&fingerprint);
                log::info!(
                    target: "quarantine", request = request.as_str(), endpoint = endpoint.as_str(),
                    fingerprint = fingerprint.to_string(), incarnation, phase, crashes;
                    "a request was at an endpoint whose process ended"
                );
            }
        }
        if is_new {
            let quarantine = self.clone();
            tokio::spawn(async move {
                sleep(SETTLE_TIME).await;
                quarantine.judge(Instant::now());
            });
        }
    }

    /// Quarantines the requests that explain the crashes so far, as an arbiter.
    fn judge(self: &Arc<Self>, now: Instant) {
        let verdicts: Vec<Verdict> = {
            let mut holds = lock(&self.holds);
            let judged = lock(&self.tracker).judge(|request| holds.is_held(request, now), now);
            let limits = &self.settings.quarantine;
            let hold = |culprit: Culprit| holds.hold(&culprit, limits, now);
            judged.into_iter().filter_map(hold).collect()
        };
        self.announce(verdicts);
    }

    /// Merges verdicts of other daemons.
    pub fn merge(self: &Arc<Self>, verdicts: Vec<Verdict>, now: Instant) {
        for verdict in verdicts {
            if lock(&self.holds).merge(verdict.clone(), now) {
                if !verdict.held {
                    self.on_lifted(&verdict, now);
                }
                self.note(&verdict);
                self.object(&verdict, now);
            }
        }
    }

    /// Ends a quarantine that covers a request which completed at this daemon.
    fn object(self: &Arc<Self>, verdict: &Verdict, now: Instant) {
        let contradicts = lock(&self.completed).contradicts(verdict, now);
        if contradicts {
            self.end(&verdict.fingerprint, verdict.scope == Scope::Wide, now);
        }
    }

    /// Lifts the quarantine of a request that has completed, if it has one.
    fn end(self: &Arc<Self>, fingerprint: &Fingerprint, narrowed: bool, now: Instant) {
        if self.lift(fingerprint, narrowed, now) {
            metrics::counter!("quarantine_objections_total").increment(1);
        }
    }

    /// Forgets the crashes of a request, or judges it by its narrow fingerprint.
    fn on_lifted(self: &Arc<Self>, verdict: &Verdict, now: Instant) {
        match verdict.narrowed {
            true => {
                lock(&self.tracker).narrow(&verdict.fingerprint);
                self.judge(now);
            }
            false => lock(&self.tracker).absolve(&verdict.fingerprint),
        }
    }

    /// Lifts the quarantine of a request at all daemons, see [`Holds::lift`]; returns whether it had one.
    pub fn lift(self: &Arc<Self>, fingerprint: &Fingerprint, narrowed: bool, now: Instant) -> bool {
        let Some(lifted) = lock(&self.holds).lift(fingerprint, narrowed, now) else {
            return false;
        };
        self.announce(vec![lifted.clone()]);
        self.on_lifted(&lifted, now);
        true
    }

    /// Logs a change and wakes the subscribers.
    fn note(&self, verdict: &Verdict) {
        let Verdict { held, crashes, generation, .. } = *verdict;
        log::warn!(
            target: "quarantine", request = verdict.request.as_str(),
            fingerprint = verdict.fingerprint.to_string(), scope = verdict.scope.name(), service = verdict.service.as_str(),
            held, crashes, generation;
            "the quarantine of a request changed"
        );
        metrics::counter!("quarantine_changes_total").increment(1);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Sends changes to the delegates, which pass them on.
    fn announce(self: &Arc<Self>, verdicts: Vec<Verdict>) {
        if verdicts.is_empty() {
            return;
        }
        for verdict in &verdicts {
            self.note(verdict);
            self.object(verdict, Instant::now());
        }
        let own = self.settings.public_addr();
        for addr in self.view.with_members(members::delegates) {
            if addr != own {
                self.budgets.send_one_way(addr, Command::Quarantine(verdicts.clone()));
            }
        }
    }

    /// Subscribes to changes; the watched value counts them.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the changes since `cursor` and advances it, see [`Holds::next`].
    pub fn next(&self, cursor: &mut Option<u64>, now: Instant) -> Vec<Verdict> {
        lock(&self.holds).next(cursor, now)
    }

    /// Returns the quarantined requests, for operators.
    pub fn rows(&self, now: Instant) -> Vec<Row> {
        lock(&self.holds).rows(now)
    }

    /// Drops entries whose time is over.
    pub fn sweep(&self, now: Instant) {
        let mut holds = lock(&self.holds);
        holds.sweep(now);
        metrics::gauge!("quarantined_requests").set(holds.rows(now).len() as f64);
    }
}
