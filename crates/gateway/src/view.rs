//! What a daemon believes of the configuration, the endpoints and its peers.
//!
//! Everything here is a copy of keys of the key-value service, with the revision up to which the
//! copy holds. A configuration is only ever replaced by one of a higher version, whichever way it
//! came.

use crate::members;
use indexmap::{IndexMap, IndexSet};
use peer::gateway::{Change, Changes, Member, View as Exported};
use sched::fleet::{Fleet, Registration};
use sched::id::{EndpointId, VmId};
use sched::members::weight;
use sched::route::Table;
use sched::term::{Allocator, Incarnation, TermView, Terms};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time for which members that left are remembered, longer than any program is retained.
const REMEMBERED: Duration = Duration::from_secs(600);
/// Changes that are kept for followers; one that falls further behind gets the whole view.
const MAX_KEPT: usize = 512;

#[derive(Default)]
struct State {
    table: Option<Arc<Table>>,
    fleet: Fleet,
    members: IndexMap<VmId, Member>,
    roll: TermView,
    revision: u64,
    /// The last changes, and the number of all before them.
    kept: VecDeque<Change>,
    dropped: u64,
    /// Members that left lately, with the time.
    left: IndexMap<VmId, (Member, Instant)>,
}

/// Shared copy.
pub struct View {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl State {
    fn keep(&mut self, change: Change) {
        self.kept.push_back(change);
        if self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
            self.dropped += 1;
        }
    }

    /// Takes in terms unless they are older than the present ones.
    fn learn_terms(&mut self, terms: Terms, revision: u64) -> bool {
        let newer = revision > self.roll.revision;
        if newer {
            let (term, open) = (terms.number(), terms.is_open());
            log::info!(target: "budget", term, open, revision; "the founders' terms changed");
            let in_force = if open { term } else { term.saturating_sub(1) };
            metrics::gauge!("founders_term").set(f64::from(in_force));
            self.roll.terms = terms;
            self.roll.revision = revision;
        }
        newer
    }

    /// Number of the next change.
    fn next(&self) -> u64 {
        self.dropped + self.kept.len() as u64
    }
}

/// How far a follower has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Version of the configuration that it has.
    pub version: Option<u64>,
    /// Revision up to which its view held at first.
    revision: u64,
    next: Option<u64>,
}

impl Cursor {
    /// Starts a follower that has this version of the configuration and a view up to `revision`.
    pub fn new(version: Option<u64>, revision: u64) -> Self {
        Self { version, revision, next: None }
    }
}

/// What a follower is sent.
pub enum Update {
    /// The whole view.
    View(Exported),
    /// What changed.
    Changes(Changes),
}

impl Default for View {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl View {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a decision on the endpoints.
    pub fn with_fleet<R>(&self, decide: impl FnOnce(&mut Fleet) -> R) -> R {
        decide(&mut self.lock().fleet)
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.lock().table.clone()
    }

    /// Runs a decision on the live daemons.
    pub fn with_members<R>(&self, decide: impl FnOnce(&IndexMap<VmId, Member>) -> R) -> R {
        decide(&self.lock().members)
    }

    /// Runs a decision on the founders' terms.
    pub fn with_terms<R>(&self, decide: impl FnOnce(&TermView) -> R) -> R {
        decide(&self.lock().roll)
    }

    /// Runs a decision on the founders' terms and the live daemons.
    pub fn with_terms_and_members<R>(
        &self,
        decide: impl FnOnce(&TermView, &IndexMap<VmId, Member>) -> R,
    ) -> R {
        let state = self.lock();
        decide(&state.roll, &state.members)
    }

    /// Processes of the live daemons.
    pub fn processes(&self) -> Vec<Allocator> {
        self.with_members(|live| live.values().map(members::process).collect())
    }

    /// Takes in the founders' terms as they were written at `revision`.
    pub fn learn_terms(&self, terms: Terms, revision: u64) {
        let learned = self.lock().learn_terms(terms, revision);
        if learned {
            self.notify();
        }
    }

    /// Drops closed founders that are not among `named`.
    pub fn forget_closed(&self, named: &IndexSet<Incarnation>) {
        self.lock().roll.closed.retain(|founder| named.contains(founder));
    }

    /// Daemons that left within `span` and came before `me` in a program's order of owners; the one
    /// that left last is first.
    pub fn lost_before(
        &self,
        program: &str,
        me: &str,
        span: Duration,
        now: Instant,
    ) -> Vec<Member> {
        let own = weight(&program, me);
        let state = self.lock();
        let mut lost: Vec<&(Member, Instant)> = state
            .left
            .iter()
            .filter(|(vm, (_, at))| {
                let gone = !state.members.contains_key(*vm);
                gone && now.duration_since(*at) <= span && weight(&program, vm) > own
            })
            .map(|(_, left)| left)
            .collect();
        lost.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        lost.into_iter().map(|(member, _)| member.clone()).collect()
    }

    /// Revision up to which the copy holds.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Notices of changes; the value is the revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Tells whether the daemon knows enough to serve.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        // Without members no budget has an owner, so every turn would be refused.
        state.table.is_some() && !state.fleet.is_empty() && !state.members.is_empty()
    }

    /// Puts a configuration in force unless it is older than the present one.
    pub fn configure(&self, table: Table) -> bool {
        let version = table.version;
        {
            let mut state = self.lock();
            if state.table.as_ref().is_some_and(|present| present.version >= version) {
                return false;
            }
            state.table = Some(Arc::new(table));
        }
        log::info!(target: "config", version; "configuration in force");
        self.notify();
        true
    }

    /// Applies changes up to `revision`.
    pub fn apply(&self, changes: Vec<Change>, revision: u64, now: Instant) {
        {
            let mut state = self.lock();
            state.fleet.sweep(now);
            for change in changes {
                state.keep(change.clone());
                apply(&mut state, change, now);
            }
            state.revision = state.revision.max(revision);
        }
        self.notify();
    }

    /// Replaces registrations and members by a listing that holds at `revision`.
    pub fn replace(
        &self,
        registrations: Vec<Registration>,
        members: Vec<Member>,
        roll: TermView,
        revision: u64,
        now: Instant,
    ) {
        {
            let mut state = self.lock();
            let present: IndexSet<EndpointId> =
                registrations.iter().map(|registration| registration.id.clone()).collect();
            for registration in registrations {
                state.fleet.register(registration);
            }
            state.fleet.deregister_absent(&present, now);
            state.learn_terms(roll.terms, roll.revision);
            state.roll.closed.extend(roll.closed);
            state.left.retain(|_, (_, at)| now.duration_since(*at) <= REMEMBERED);
            let members: IndexMap<VmId, Member> =
                members.into_iter().map(|member| (member.vm.clone(), member)).collect();
            let before = std::mem::replace(&mut state.members, members);
            for (vm, known) in before {
                if state.members.get(&vm) != Some(&known) {
                    state.left.insert(vm, (known, now));
                }
            }
            // Followers cannot tell what changed, so they get the whole view.
            state.dropped += state.kept.len() as u64 + 1;
            state.kept.clear();
            state.revision = state.revision.max(revision);
        }
        self.notify();
    }

    /// Takes in a peer's view where it is newer than this daemon's.
    pub fn merge(&self, view: Exported, now: Instant) -> bool {
        if let Some(table) = view.table {
            self.configure(table);
        }
        if view.revision <= self.revision() {
            return false;
        }
        self.replace(view.registrations, view.members, view.terms, view.revision, now);
        true
    }

    /// Takes in what changed at a peer, where it is newer than this daemon's view.
    pub fn merge_changes(&self, changes: Changes, now: Instant) {
        if let Some(table) = changes.table {
            self.configure(table);
        }
        if changes.revision > self.revision() {
            self.apply(changes.changes, changes.revision, now);
        }
    }

    /// What a follower has to be sent next.
    pub fn next_update(&self, cursor: &mut Cursor) -> Update {
        let state = self.lock();
        let newer = state.table.as_ref().filter(|table| Some(table.version) > cursor.version);
        let table = newer.map(|table| Table::clone(table));
        cursor.version = table.as_ref().map(|table| table.version).or(cursor.version);
        let behind = match cursor.next {
            Some(next) => next.checked_sub(state.dropped),
            // Its view is as new as this one.
            None if cursor.revision >= state.revision => Some(state.kept.len() as u64),
            None => None,
        };
        cursor.next = Some(state.next());
        let revision = state.revision;
        match behind {
            Some(behind) => {
                let changes = state.kept.iter().skip(behind as usize).cloned().collect();
                Update::Changes(Changes { table, changes, revision })
            }
            None => Update::View(Exported {
                table,
                registrations: state.fleet.registrations(),
                members: state.members.values().cloned().collect(),
                terms: state.roll.clone(),
                revision,
            }),
        }
    }

    fn notify(&self) {
        let (revision, members, endpoints) = {
            let state = self.lock();
            (state.revision, state.members.len(), state.fleet.len())
        };
        metrics::gauge!("view_members").set(members as f64);
        metrics::gauge!("view_endpoints").set(endpoints as f64);
        self.changed.send_replace(revision);
    }
}

fn apply(state: &mut State, change: Change, now: Instant) {
    match change {
        Change::Registered(registration) => state.fleet.register(registration),
        Change::Deregistered(id) => state.fleet.deregister(&id, now),
        Change::Joined(member) => {
            state.members.insert(member.vm.clone(), member);
        }
        Change::Terms(terms, revision) => drop(state.learn_terms(terms, revision)),
        Change::Closed(founder) => drop(state.roll.closed.insert(founder)),
        Change::Left(vm) => {
            if let Some(known) = state.members.swap_remove(&vm) {
                state.left.insert(vm, (known, now));
            }
        }
    }
}
