//! What a daemon believes of the configuration, the endpoints and its peers.
//!
//! Everything here is a copy of keys of the key-value service, with the revision up to which the
//! copy holds. A configuration is only ever replaced by one of a higher version, whichever way it
//! came.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use peer::gateway::{Member, View as Exported};
use sched::fleet::{Fleet, Registration};
use sched::id::{EndpointId, VmId};
use sched::route::Table;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Change of a registration.
#[derive(Clone, Debug)]
pub enum Change {
    /// The endpoint registered.
    Registered(Registration),
    /// The registration is gone.
    Vanished(EndpointId),
    /// A daemon is live.
    Joined(Member),
    /// A daemon is gone.
    Left(VmId),
}

#[derive(Default)]
struct State {
    table: Option<Arc<Table>>,
    fleet: Fleet,
    members: IndexMap<VmId, Member>,
    revision: u64,
    /// When a daemon last left or started again, which moves the ownership of budgets.
    disturbed: Option<Instant>,
}

/// Shared copy.
pub struct View {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
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
    pub fn fleet<R>(&self, decide: impl FnOnce(&mut Fleet) -> R) -> R {
        decide(&mut self.lock().fleet)
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.lock().table.clone()
    }

    /// Live daemons.
    pub fn members(&self) -> IndexMap<VmId, Member> {
        self.lock().members.clone()
    }

    /// Runs a decision on the live daemons.
    pub fn with_members<R>(&self, decide: impl FnOnce(&IndexMap<VmId, Member>) -> R) -> R {
        decide(&self.lock().members)
    }

    /// Tells whether no daemon has left or started again within `span`.
    pub fn undisturbed(&self, span: Duration, now: Instant) -> bool {
        self.lock().disturbed.is_none_or(|at| now.duration_since(at) > span)
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
    pub fn complete(&self) -> bool {
        let state = self.lock();
        state.table.is_some() && !state.fleet.is_empty()
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
            state.fleet.retain(&present, now);
            let members: IndexMap<VmId, Member> =
                members.into_iter().map(|member| (member.vm.clone(), member)).collect();
            if state.members.iter().any(|(vm, known)| members.get(vm) != Some(known)) {
                state.disturbed = Some(now);
            }
            state.members = members;
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
        self.replace(view.registrations, view.members, view.revision, now);
        true
    }

    /// The view for a peer that knows the configuration `version` already.
    pub fn export(&self, version: Option<u64>) -> Exported {
        let state = self.lock();
        let newer = state.table.as_ref().filter(|table| Some(table.version) > version);
        Exported {
            table: newer.map(|table| Table::clone(table)),
            registrations: state.fleet.registrations(),
            members: state.members.values().cloned().collect(),
            revision: state.revision,
        }
    }

    fn notify(&self) {
        let revision = self.revision();
        self.changed.send_replace(revision);
    }
}

fn apply(state: &mut State, change: Change, now: Instant) {
    match change {
        Change::Registered(registration) => state.fleet.register(registration),
        Change::Vanished(id) => state.fleet.vanish(&id, now),
        Change::Joined(member) => {
            let vm = member.vm.clone();
            let incarnation = member.incarnation;
            let known = state.members.insert(vm, member);
            if known.is_some_and(|known| known.incarnation != incarnation) {
                state.disturbed = Some(now);
            }
        }
        Change::Left(vm) => {
            if state.members.swap_remove(&vm).is_some() {
                state.disturbed = Some(now);
            }
        }
    }
}

/// Address of a peer.
pub type PeerAddr = CompactString;
