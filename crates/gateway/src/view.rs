//! A daemon's local copy of the configuration, the endpoints and the members.
//!
//! Everything here mirrors keys of the key-value service, together with the revision up to which
//! the copy is current. A configuration is only replaced by one with a higher version, whether it
//! comes from the key-value service or from a peer.

use crate::members;
use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use peer::gateway::{Change, Changes, Member, View as Exported};
use sched::fleet::{Fleet, Registration};
use sched::freshness::Freshness;
use sched::id::{EndpointId, VmId};
use sched::members::weight;
use sched::route::Table;
use sched::term::{Allocator, Incarnation, TermView, Terms};
use sched::versions::Register;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time for which departed members are remembered; longer than any program is retained.
const DEPARTED_TTL: Duration = Duration::from_secs(600);
/// Maximum number of recent changes kept for subscribers; a subscriber that falls further behind
/// gets the whole view.
const MAX_RECENT_CHANGES: usize = 512;

#[derive(Default)]
struct State {
    table: Option<Arc<Table>>,
    fleet: Fleet,
    members: IndexMap<VmId, Member>,
    terms: TermView,
    versions: Register,
    /// Revision at which the register of versions was written; 0 if there is none.
    versions_revision: u64,
    revision: u64,
    /// The most recent changes, oldest first.
    recent_changes: VecDeque<Change>,
    /// Number of changes before those in `recent_changes`.
    discarded: u64,
    /// Members that left recently, with the time at which they left.
    departed: IndexMap<VmId, (Member, Instant)>,
}

/// Part of the view that one watch of the key-value service keeps up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The configuration that operators set.
    Configuration,
    /// The endpoint registrations, the members and the allocation terms.
    Directory,
}

/// Where this daemon got a configuration from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A listing of the key-value service.
    Listing,
    /// A watch of the key-value service.
    Watch,
    /// The peer at this address.
    Peer(CompactString),
}

impl Source {
    /// Returns the name used in log lines and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Listing => "listing",
            Self::Watch => "watch",
            Self::Peer(_) => "peer",
        }
    }

    /// Returns the address of the peer; empty if the source is not a peer.
    pub fn peer(&self) -> &str {
        match self {
            Self::Peer(addr) => addr,
            Self::Listing | Self::Watch => "",
        }
    }

    /// Counts a configuration from this source, by what became of it.
    pub fn count(&self, outcome: &'static str) {
        metrics::counter!("configurations_total", "source" => self.name(), "outcome" => outcome)
            .increment(1);
    }
}

/// What confirms that the view is current.
#[derive(Clone, Copy, Debug, Default)]
struct Sources {
    configuration_watch: Freshness,
    directory_watch: Freshness,
    peers: Freshness,
    /// Whether the view was current when that was last reported.
    reported_current: bool,
}

impl Sources {
    fn freshness(&self) -> Freshness {
        self.configuration_watch.and(self.directory_watch).or(self.peers)
    }
}

/// Copy of the cluster state that all tasks of the daemon share.
pub struct View {
    state: Mutex<State>,
    sources: Mutex<Sources>,
    changed: watch::Sender<u64>,
}

impl State {
    fn record_change(&mut self, change: Change) {
        self.recent_changes.push_back(change);
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
            self.discarded += 1;
        }
    }

    /// Replaces the terms if `revision` is newer than that of the current ones.
    fn update_terms(&mut self, terms: Terms, revision: u64) -> bool {
        let newer = revision > self.terms.revision;
        if newer {
            let (term, open) = (terms.number(), terms.is_open());
            log::info!(target: "budget", term, open, revision; "allocation terms changed");
            let open_term = if open { term } else { term.saturating_sub(1) };
            metrics::gauge!("founders_term").set(f64::from(open_term));
            self.terms.terms = terms;
            self.terms.revision = revision;
        }
        newer
    }

    /// Replaces the register of versions if `revision` is newer than that of the current one.
    fn update_versions(&mut self, versions: Register, revision: u64) {
        if revision > self.versions_revision {
            log::info!(target: "resume", revision; "the announced software versions changed");
            self.versions = versions;
            self.versions_revision = revision;
        }
    }

    /// Holds back endpoints whose versions are not announced, once there is a register.
    fn hold_unannounced(&mut self, now: Instant) {
        if self.versions_revision > 0 {
            let with_streams = self.table.as_ref().map(|table| table.stream_services());
            let has_streams = |service: &str| {
                with_streams.as_ref().is_none_or(|services| services.contains(service))
            };
            self.fleet.hold_unannounced(&self.versions, has_streams, now);
        }
    }

    /// Returns the index of the next change, counted from the start of the process.
    fn next_index(&self) -> u64 {
        self.discarded + self.recent_changes.len() as u64
    }
}

/// Position of a subscriber in the sequence of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Version of the configuration that the subscriber has.
    pub version: Option<u64>,
    /// Revision of the subscriber's view when it subscribed.
    revision: u64,
    /// Index of the next change to send; `None` before the first update.
    next_index: Option<u64>,
}

impl Cursor {
    /// Creates the cursor of a subscriber with this configuration version and view revision.
    pub fn new(version: Option<u64>, revision: u64) -> Self {
        Self { version, revision, next_index: None }
    }
}

/// Update that is sent to a subscriber.
pub enum Update {
    /// The whole view.
    View(Box<Exported>),
    /// The changes since the previous update.
    Changes(Box<Changes>),
}

impl Default for View {
    fn default() -> Self {
        Self { state: Mutex::default(), sources: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl View {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sources(&self) -> MutexGuard<'_, Sources> {
        self.sources.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Confirms that `scope` includes all changes that the key-value service had acknowledged at
    /// `at`.
    pub fn confirm(&self, scope: Scope, at: Instant) {
        let mut sources = self.sources();
        match scope {
            Scope::Configuration => sources.configuration_watch.confirm(at),
            Scope::Directory => sources.directory_watch.confirm(at),
        }
    }

    /// Returns how long ago the watch of `scope` was last confirmed, or `None` if it never was.
    pub fn watch_age(&self, scope: Scope, now: Instant) -> Option<Duration> {
        let sources = self.sources();
        match scope {
            Scope::Configuration => sources.configuration_watch.age(now),
            Scope::Directory => sources.directory_watch.age(now),
        }
    }

    /// Confirms the view with an update of a peer whose own view had this age when it sent it.
    pub fn confirm_by_peer(&self, age: Duration, now: Instant) {
        if let Some(at) = now.checked_sub(age) {
            self.sources().peers.confirm(at);
        }
    }

    /// Returns the age of the view, or `None` if it was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.sources().freshness().age(now)
    }

    /// Returns whether the view is current.
    pub fn is_current(&self, now: Instant) -> bool {
        self.sources().freshness().is_current(now)
    }

    /// Reports the age of the view as a metric, and logs when it becomes current or ceases to be.
    pub fn report_age(&self, now: Instant) {
        let (age, is_current, changed) = {
            let mut sources = self.sources();
            let freshness = sources.freshness();
            let is_current = freshness.is_current(now);
            let changed = sources.reported_current != is_current;
            sources.reported_current = is_current;
            (freshness.age(now), is_current, changed)
        };
        if let Some(age) = age {
            metrics::gauge!("view_age_ms").set(age.as_millis() as f64);
        }
        if changed {
            let age_ms = age.map(|age| age.as_millis() as u64);
            log::info!(
                target: "platform", is_current, age_ms, revision = self.revision();
                "the view became current or ceased to be"
            );
        }
    }

    /// Returns whether this daemon's own watches keep the view current.
    pub fn is_current_by_watch(&self, now: Instant) -> bool {
        let Sources { configuration_watch, directory_watch, .. } = *self.sources();
        configuration_watch.and(directory_watch).is_current(now)
    }

    /// Returns whether peers alone keep the view current.
    pub fn is_current_by_peers(&self, now: Instant) -> bool {
        self.sources().peers.is_current(now)
    }

    /// Calls `decide` with the endpoints while the view is locked.
    pub fn with_fleet<R>(&self, decide: impl FnOnce(&mut Fleet) -> R) -> R {
        decide(&mut self.lock().fleet)
    }

    /// Returns the configuration in force, or `None` before one is known.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.lock().table.clone()
    }

    /// Calls `decide` with the live members while the view is locked.
    pub fn with_members<R>(&self, decide: impl FnOnce(&IndexMap<VmId, Member>) -> R) -> R {
        decide(&self.lock().members)
    }

    /// Calls `decide` with the allocation terms while the view is locked.
    pub fn with_terms<R>(&self, decide: impl FnOnce(&TermView) -> R) -> R {
        decide(&self.lock().terms)
    }

    /// Calls `decide` with the allocation terms and the live members while the view is locked.
    pub fn with_terms_and_members<R>(
        &self,
        decide: impl FnOnce(&TermView, &IndexMap<VmId, Member>) -> R,
    ) -> R {
        let state = self.lock();
        decide(&state.terms, &state.members)
    }

    /// Returns the processes of the live members.
    pub fn processes(&self) -> Vec<Allocator> {
        self.with_members(|live| live.values().map(members::process).collect())
    }

    /// Replaces the allocation terms if those written at `revision` are newer.
    pub fn update_terms(&self, terms: Terms, revision: u64) {
        let updated = self.lock().update_terms(terms, revision);
        if updated {
            self.notify();
        }
    }

    /// Replaces the register of versions if the one written at `revision` is newer.
    pub fn update_versions(&self, versions: Register, revision: u64, now: Instant) {
        {
            let mut state = self.lock();
            state.update_versions(versions, revision);
            state.hold_unannounced(now);
        }
        self.notify();
    }

    /// Returns the register of versions and the revision at which it was written, 0 if there is none.
    pub fn versions(&self) -> (Register, u64) {
        let state = self.lock();
        (state.versions.clone(), state.versions_revision)
    }

    /// Returns whether several versions of a service may have written a stream since `since_ms`.
    pub fn is_mixed(&self, service: &str, since_ms: u64) -> bool {
        self.lock().versions.is_mixed(service, since_ms)
    }

    /// Removes the closed allocators that are not in `referenced`.
    pub fn remove_closed(&self, referenced: &IndexSet<Incarnation>) {
        self.lock().terms.closed.retain(|allocator| referenced.contains(allocator));
    }

    /// Returns the members that left within `window` and rank above `me` as owners of a program.
    ///
    /// The most recently departed member comes first.
    pub fn departed_ranked_above(
        &self,
        program: &str,
        me: &str,
        window: Duration,
        now: Instant,
    ) -> Vec<Member> {
        let own = weight(&program, me);
        let state = self.lock();
        let mut departed: Vec<&(Member, Instant)> = state
            .departed
            .iter()
            .filter(|(vm, (_, at))| {
                let absent = !state.members.contains_key(*vm);
                absent && now.duration_since(*at) <= window && weight(&program, vm) > own
            })
            .map(|(_, departure)| departure)
            .collect();
        departed.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        departed.into_iter().map(|(member, _)| member.clone()).collect()
    }

    /// Returns the revision up to which the copy is current.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Subscribes to changes; the watched value is the revision of the view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns whether the view suffices to serve requests.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        // Without members no budget has an owner, so every turn of a program would be refused.
        state.table.is_some() && !state.fleet.is_empty() && !state.members.is_empty()
    }

    /// Installs a configuration if it is newer than the current one; returns whether it was newer.
    pub fn install_table(&self, table: Table, source: &Source, now: Instant) -> bool {
        let (version, routes) = (table.version, table.route_count());
        let previous = {
            let mut state = self.lock();
            let previous = state.table.as_ref().map(|current| current.version);
            if previous.is_none_or(|previous| previous < version) {
                state.table = Some(Arc::new(table));
                // A route may send streams to a service that had none.
                state.hold_unannounced(now);
            }
            previous
        };
        let (name, peer) = (source.name(), source.peer());
        match previous {
            // Each daemon has several sources, so it gets most versions more than once.
            Some(previous) if previous == version => source.count("known"),
            Some(previous) if previous > version => {
                source.count("older");
                log::info!(
                    target: "config", version, in_force = previous, source = name, peer;
                    "discarded a configuration that is older than the one in force"
                );
            }
            previous => {
                source.count("installed");
                metrics::gauge!("configuration_version").set(version as f64);
                log::info!(
                    target: "config", version, previous, routes, source = name, peer;
                    "configuration installed"
                );
                self.notify();
                return true;
            }
        }
        false
    }

    /// Applies changes, after which the view is current up to `revision`.
    ///
    /// Changes that the view has already are ignored, unless newer ones follow.
    pub fn apply(&self, changes: Vec<Change>, revision: u64, now: Instant) {
        {
            let mut state = self.lock();
            state.fleet.sweep(now);
            let changes = if revision < state.revision { Vec::new() } else { changes };
            for change in changes {
                state.record_change(change.clone());
                apply(&mut state, change, now);
            }
            state.hold_unannounced(now);
            state.revision = state.revision.max(revision);
        }
        self.notify();
    }

    /// Replaces the registrations and the members with a listing made at `revision`, unless the view
    /// is newer.
    pub fn replace(
        &self,
        registrations: Vec<Registration>,
        members: Vec<Member>,
        terms: TermView,
        (versions, versions_revision): (Register, u64),
        revision: u64,
        now: Instant,
    ) {
        {
            let mut state = self.lock();
            if revision < state.revision {
                return;
            }
            let present: IndexSet<EndpointId> =
                registrations.iter().map(|registration| registration.id.clone()).collect();
            for registration in registrations {
                state.fleet.register(registration);
            }
            state.fleet.deregister_absent(&present, now);
            state.update_terms(terms.terms, terms.revision);
            state.terms.closed.extend(terms.closed);
            state.update_versions(versions, versions_revision);
            state.hold_unannounced(now);
            state.departed.retain(|_, (_, at)| now.duration_since(*at) <= DEPARTED_TTL);
            let members: IndexMap<VmId, Member> =
                members.into_iter().map(|member| (member.vm.clone(), member)).collect();
            let previous = std::mem::replace(&mut state.members, members);
            for (vm, member) in previous {
                if state.members.get(&vm) != Some(&member) {
                    state.departed.insert(vm, (member, now));
                }
            }
            // A replacement is not a list of changes. Counting one more change than was recorded
            // puts every cursor out of range, so all subscribers get the whole view.
            state.discarded += state.recent_changes.len() as u64 + 1;
            state.recent_changes.clear();
            state.revision = state.revision.max(revision);
        }
        self.notify();
    }

    /// Merges a peer's view if it is newer than this one; returns whether it was.
    ///
    /// The peer's configuration is installed if it is newer, whatever the revision of the view.
    pub fn merge(&self, view: Exported, source: &Source, now: Instant) -> bool {
        if let Some(table) = view.table {
            self.install_table(table, source, now);
        }
        if view.revision <= self.revision() {
            return false;
        }
        let Exported { registrations, members, terms, versions, revision, .. } = view;
        self.replace(registrations, members, terms, versions, revision, now);
        true
    }

    /// Applies a peer's changes if they are newer than this view.
    ///
    /// The peer's configuration is installed if it is newer, whatever the revision of the changes.
    pub fn merge_changes(&self, changes: Changes, source: &Source, now: Instant) {
        if let Some(table) = changes.table {
            self.install_table(table, source, now);
        }
        if changes.revision > self.revision() {
            self.apply(changes.changes, changes.revision, now);
        }
    }

    /// Returns the next update for a subscriber and advances its cursor.
    pub fn next_update(&self, cursor: &mut Cursor) -> Update {
        let state = self.lock();
        let newer = state.table.as_ref().filter(|table| Some(table.version) > cursor.version);
        let table = newer.map(|table| Table::clone(table));
        cursor.version = table.as_ref().map(|table| table.version).or(cursor.version);
        let offset = match cursor.next_index {
            Some(next_index) => next_index.checked_sub(state.discarded),
            // The subscriber's view is already as new as this one.
            None if cursor.revision >= state.revision => Some(state.recent_changes.len() as u64),
            None => None,
        };
        cursor.next_index = Some(state.next_index());
        let revision = state.revision;
        match offset {
            Some(offset) => {
                let changes = state.recent_changes.iter().skip(offset as usize).cloned().collect();
                Update::Changes(Box::new(Changes { table, changes, revision }))
            }
            None => Update::View(Box::new(Exported {
                table,
                registrations: state.fleet.registrations(),
                members: state.members.values().cloned().collect(),
                terms: state.terms.clone(),
                versions: (state.versions.clone(), state.versions_revision),
                revision,
            })),
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
        Change::Terms(terms, revision) => drop(state.update_terms(terms, revision)),
        Change::Versions(versions, revision) => state.update_versions(versions, revision),
        Change::Closed(allocator) => drop(state.terms.closed.insert(allocator)),
        Change::Left(vm) => {
            if let Some(member) = state.members.swap_remove(&vm) {
                state.departed.insert(vm, (member, now));
            }
        }
    }
}
