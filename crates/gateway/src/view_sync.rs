//! Keeps the view up to date.
//!
//! A few members, the delegates, watch the key-value service. Every other daemon subscribes to two
//! different delegates, so the load on the service grows more slowly than the fleet, and each
//! delegate subscribes to another one. The delegates are the members with the highest rendezvous
//! hashes or, before any members are known, the seeds in the settings.
//!
//! Each update states the age of the sender's view (see [`sched::freshness`]). A subscriber leaves a
//! delegate whose view is not current, and a daemon whose subscriptions do not keep its view current
//! watches the service itself: a delegate may hang or be partitioned, and the service may reject some
//! daemons while it serves others.
//!
//! A watch starts from a listing; a failed watch starts again from a new listing.

use crate::budgets::Budgets;
use crate::quarantine::Quarantine;
use crate::settings::{Settings, millis};
use crate::view::{Scope, Source, View};
use crate::{members, retire};
use compact_str::CompactString;
use indexmap::IndexMap;
use peer::gateway::{Change, Command, Member, Response};
use peer::wire::{Reply, Request};
use platform::kv::{Client, Entry, Error, Event, Listing};
use platform::{config, registry};
use sched::fleet::Registration;
use sched::freshness::{self, Position, Role, Transit};
use sched::id::VmId;
use sched::term::TermView;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};

/// Prefix that covers both registrations and members, whose keys have the same first letter.
const DIRECTORY_PREFIX: &str = "s";
/// Minimum pause before a failed watch is retried.
const MIN_RETRY: Duration = Duration::from_millis(150);
/// Maximum pause before a delegate retries a failed watch.
const MAX_RETRY_DELEGATE: Duration = Duration::from_millis(800);
/// Maximum pause before any other daemon retries a failed watch. It can be longer because a
/// delegate that the service answers sends updates in the meantime.
const MAX_RETRY_OTHER: Duration = Duration::from_millis(2_400);
/// Minimum time between two calls of the directory watch.
///
/// Changes come in bursts when daemons or endpoints restart together; one call returns a burst.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an update after which a subscription counts as broken.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without an update from any peer after which no peer counts as reachable.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time, per member, by which a daemon that is not a delegate defers its calls.
///
/// If all daemons of a large fleet call a service that is down or overloaded, it does not recover.
const DEFERRAL_PER_MEMBER: Duration = Duration::from_millis(8);
/// Number of members assumed while none are known.
const ASSUMED_MEMBERS: usize = 60;
/// Time for which a daemon waits for the delegates' first updates when all daemons start together.
pub const FIRST_START_GRACE: Duration = Duration::from_millis(500);
/// Interval between checks whether this daemon has to watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a daemon waits for a delegate's update between a listing and its own watch.
const DELEGATE_GRACE: Duration = Duration::from_millis(400);
/// Polling interval while waiting for the listing of the configuration or a delegate's update.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before subscribing to another delegate.
const RESUBSCRIBE_DELAY: Duration = Duration::from_millis(100);
/// Number of delegates that each daemon subscribes to.
pub const SUBSCRIPTIONS: usize = 2;

/// Delegates that the subscriptions use, by slot.
type Targets = [Option<CompactString>; SUBSCRIPTIONS];

/// Why a subscription ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The peer did not answer.
    Unreachable,
    /// The peer sent nothing for [`SUBSCRIPTION_TIMEOUT`], or closed the connection.
    Silent,
    /// The peer's view is not current.
    NotCurrent,
    /// The peer sent something else than an update.
    Unexpected,
}

impl End {
    /// Returns the name used in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::NotCurrent => "not_current",
            Self::Unexpected => "unexpected",
        }
    }
}

/// State of this daemon's watches and subscriptions.
pub struct SyncStatus {
    /// Time until which this daemon waits for delegates before it watches the service itself.
    grace_until: Instant,
    /// Time of the last update from any peer, whether or not that peer watches the service.
    last_peer_update: Mutex<Option<Instant>>,
    /// Whether each scope is being watched.
    watching: [AtomicBool; 2],
    /// Whether the service answered the last listing of the configuration.
    configuration_listed: AtomicBool,
    targets: Mutex<Targets>,
}

impl SyncStatus {
    /// Creates the state without watches or updates; waits for delegates until `grace_until`.
    pub fn new(grace_until: Instant) -> Self {
        Self {
            grace_until,
            last_peer_update: Mutex::default(),
            watching: Default::default(),
            configuration_listed: AtomicBool::default(),
            targets: Mutex::default(),
        }
    }

    fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_peer_update(&self, now: Instant) {
        *self.last_peer_update.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Returns whether a peer is reachable.
    ///
    /// Reachable peers have new updates as soon as the service serves a delegate.
    fn has_peers(&self, now: Instant) -> bool {
        let last_update = *self.last_peer_update.lock().unwrap_or_else(PoisonError::into_inner);
        last_update.is_some_and(|at| now.duration_since(at) < PEER_TIMEOUT)
    }

    /// Waits until the configuration has been listed, at most [`MAX_RETRY_OTHER`]; returns at once
    /// if `scope` is the configuration.
    ///
    /// A service that rejects this daemon is thus called once instead of once for each scope.
    async fn wait_for_configuration(&self, scope: Scope) {
        if scope == Scope::Configuration {
            return;
        }
        let until = Instant::now() + MAX_RETRY_OTHER;
        while !self.configuration_listed.load(Ordering::Relaxed) && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records whether the service answers calls for `scope`; kept only for the configuration.
    fn set_listed(&self, scope: Scope, listed: bool) {
        if scope == Scope::Configuration {
            self.configuration_listed.store(listed, Ordering::Relaxed);
        }
    }

    fn set_watching(&self, scope: Scope, watching: bool, why: &str) {
        let before = self.watching[scope as usize].swap(watching, Ordering::Relaxed);
        if before != watching {
            log::info!(target: "platform", watch = prefix(scope), watching; "{why}");
        }
    }
}

/// Returns the prefix of the keys of a scope.
fn prefix(scope: Scope) -> &'static str {
    match scope {
        Scope::Configuration => config::PREFIX,
        Scope::Directory => DIRECTORY_PREFIX,
    }
}

/// Consistency of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Consistency {
    /// The listing may be out of date, which costs the service little.
    Stale,
    /// The listing is current.
    Current,
}

/// Keeps the view up to date by watches and subscriptions.
#[derive(Clone)]
pub struct Synchronizer {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// The view that is kept up to date.
    pub view: Arc<View>,
    /// Client of the key-value service.
    pub kv: Client,
    /// Budgets, whose peer client is used for subscriptions.
    pub budgets: Arc<Budgets>,
    /// Requests that crash endpoints, of which delegates tell.
    pub quarantine: Arc<Quarantine>,
    /// State of the watches and subscriptions.
    pub sync_status: Arc<SyncStatus>,
    /// Revision of the last answered request to retire a storage VM, by VM.
    pub answered_retirements: Arc<Mutex<IndexMap<VmId, u64>>>,
}

impl Synchronizer {
    /// Watches one scope whenever this daemon has to, and retries failed watches.
    pub async fn run_watch(self, scope: Scope) {
        let mut pause = self.initial_pause();
        let mut consistency = Consistency::Stale;
        loop {
            while !self.must_watch(Instant::now()) || self.defer_to_others().await {
                sleep(ROLE_CHECK_INTERVAL).await;
            }
            self.sync_status.wait_for_configuration(scope).await;
            let result = self.watch(scope, consistency, &mut pause).await;
            consistency = Consistency::Stale;
            if let Err(error) = result {
                if matches!(error, Error::Compacted) {
                    // The revision of a stale listing may be older than what the service retains.
                    consistency = Consistency::Current;
                    continue;
                }
                self.sync_status.set_listed(scope, false);
                self.sync_status.set_watching(
                    scope,
                    false,
                    &format!("the watch on the key-value service failed: {error}"),
                );
                sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                pause = (pause * 2).min(self.max_pause());
            }
        }
    }

    /// Watches until a call fails or this daemon no longer has to watch.
    async fn watch(
        &self,
        scope: Scope,
        consistency: Consistency,
        pause: &mut Duration,
    ) -> Result<(), Error> {
        let called = Instant::now();
        let (listing, is_current) = match (scope, consistency) {
            // A former configuration would be used until the first answer of the watch.
            (Scope::Directory, Consistency::Stale) if !self.is_delegate() => {
                (self.list_stale(scope).await?, false)
            }
            _ => (self.kv.list(prefix(scope), "").await?, true),
        };
        match scope {
            Scope::Configuration => {
                let entries = listing.entries.iter();
                entries.for_each(|entry| self.apply_configuration(entry, &Source::Listing))
            }
            Scope::Directory => self.replace(&listing.entries, listing.revision),
        }
        if is_current {
            self.view.confirm(scope, called);
        }
        self.sync_status.set_listed(scope, true);
        *pause = self.initial_pause();
        if !self.is_delegate() && self.wait_for_delegate().await {
            return Ok(());
        }
        self.sync_status.set_watching(scope, true, "watching the key-value service");
        let mut position = Position::new(listing.revision);
        while self.must_watch(Instant::now()) {
            let called = Instant::now();
            let wait = freshness::watch_wait(self.view.watch_age(scope, called));
            let (events, revision) = self.kv.changes(prefix(scope), position.after(), wait).await?;
            position.advance(revision, !events.is_empty(), Instant::now());
            // Without changes, the service answers only after the wait.
            let waited = events.is_empty() && called.elapsed() >= wait;
            self.apply(scope, events, position.after());
            self.view.confirm(scope, if waited { called + wait } else { called });
            if scope == Scope::Directory {
                sleep_until((called + MIN_WATCH_INTERVAL).into()).await;
            }
        }
        self.sync_status.set_watching(
            scope,
            false,
            "receiving updates from delegates instead of watching",
        );
        Ok(())
    }

    /// Waits a short time for an update from a delegate; returns whether one came.
    ///
    /// A delegate with the same view sends only later changes, which costs the service no call.
    async fn wait_for_delegate(&self) -> bool {
        let until = Instant::now() + DELEGATE_GRACE;
        while Instant::now() < until {
            if self.has_delegate(Instant::now()) {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Lists a scope without requiring a current result.
    ///
    /// The first call of the watch returns the changes that the listing misses. If the listing is
    /// older than the view, it is discarded and a current one is made.
    async fn list_stale(&self, scope: Scope) -> Result<Listing, Error> {
        let listing = self.kv.list_stale(prefix(scope)).await?;
        match listing.revision < self.view.revision() {
            true => self.kv.list(prefix(scope), "").await,
            false => Ok(listing),
        }
    }

    fn must_watch(&self, now: Instant) -> bool {
        self.is_delegate() || !self.has_delegate(now)
    }

    /// Returns whether delegates keep the view current; assumes so during the initial grace period.
    fn has_delegate(&self, now: Instant) -> bool {
        now < self.sync_status.grace_until || self.view.is_current_by_peers(now)
    }

    fn is_delegate(&self) -> bool {
        self.delegates().contains(&self.settings.public_addr())
    }

    /// Waits a random time for another daemon to watch; returns whether this one no longer has to.
    ///
    /// Delegates, and daemons that reach no peer, do not wait.
    async fn defer_to_others(&self) -> bool {
        if self.is_delegate() || !self.sync_status.has_peers(Instant::now()) {
            return false;
        }
        sleep(self.max_deferral().mul_f64(fastrand::f64())).await;
        !self.must_watch(Instant::now())
    }

    fn max_deferral(&self) -> Duration {
        let members = self.view.with_members(IndexMap::len);
        let members = if members == 0 { ASSUMED_MEMBERS } else { members };
        DEFERRAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
    }

    fn initial_pause(&self) -> Duration {
        match self.is_delegate() {
            true => MIN_RETRY,
            false => MIN_RETRY.max(self.max_deferral() / 2),
        }
    }

    fn max_pause(&self) -> Duration {
        match self.is_delegate() {
            true => MAX_RETRY_DELEGATE,
            false => MAX_RETRY_OTHER.max(self.max_deferral() * 2),
        }
    }

    /// Returns the addresses of the delegates, or the seeds while no members are known.
    fn delegates(&self) -> Vec<CompactString> {
        let delegates = self.view.with_members(members::delegates);
        match delegates.is_empty() {
            true => self.settings.seeds.clone(),
            false => delegates,
        }
    }

    fn apply(&self, scope: Scope, events: Vec<Event>, revision: u64) {
        match scope {
            Scope::Configuration => {
                for event in events {
                    if let Event::Put(entry) = event {
                        self.apply_configuration(&entry, &Source::Watch);
                    }
                }
            }
            Scope::Directory => {
                let changes = events.into_iter().filter_map(to_change).collect();
                self.view.apply(changes, revision, Instant::now());
            }
        }
    }

    /// Applies an entry that operators wrote. A configuration that cannot be decoded leaves the one
    /// in force in place.
    fn apply_configuration(&self, entry: &Entry, source: &Source) {
        if entry.key == config::KEY {
            match config::decode(&entry.value) {
                Ok(table) => drop(self.view.install_table(table, source, Instant::now())),
                Err(error) => {
                    source.count("undecodable");
                    let in_force = self.view.table().map(|table| table.version);
                    log::error!(
                        target: "config", revision = entry.revision, in_force, source = source.name();
                        "ignoring a configuration: {error}"
                    );
                }
            }
        }
        if let Some(vm) = entry.key.strip_prefix(config::RETIRE_PREFIX) {
            self.answer_retirement(vm.into(), entry.revision);
        }
    }

    /// Answers a request to retire a storage VM unless this daemon has answered it already.
    fn answer_retirement(&self, vm: VmId, revision: u64) {
        let mut answered = self.answered_retirements.lock().unwrap_or_else(PoisonError::into_inner);
        if answered.insert(vm.clone(), revision) == Some(revision) {
            return;
        }
        let synchronizer = self.clone();
        tokio::spawn(async move {
            let Self { kv, view, settings, .. } = &synchronizer;
            retire::report(kv, view, &settings.vm, &vm).await;
        });
    }

    fn replace(&self, entries: &[Entry], revision: u64) {
        let registrations = entries.iter().filter_map(decode_registration).collect();
        let members = entries.iter().filter_map(decode_member).collect();
        let terms = entries.iter().find(|entry| entry.key == members::TERMS_KEY);
        let (terms, terms_revision) = terms.and_then(members::decode_terms).unwrap_or_default();
        let closed = entries.iter().filter_map(|entry| members::closed_allocator(&entry.key));
        let term_view = TermView { terms, revision: terms_revision, closed: closed.collect() };
        let versions = entries.iter().find(|entry| entry.key == members::VERSIONS_KEY);
        let versions = versions.and_then(members::decode_versions).unwrap_or_default();
        self.view.replace(registrations, members, term_view, versions, revision, Instant::now());
    }

    /// Subscribes to one delegate after another.
    ///
    /// `slot` is the index of the subscription, less than [`SUBSCRIPTIONS`].
    pub async fn run_subscription(self, slot: usize) {
        let mut failures = 0;
        loop {
            let Some(delegate) = self.choose_delegate(slot, failures, Instant::now()) else {
                sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            };
            let reason = self.subscribe(&delegate, slot).await.name();
            metrics::counter!("subscriptions_ended_total", "reason" => reason).increment(1);
            log::debug!(
                target: "platform", delegate = delegate.as_str(), slot, reason;
                "a subscription ended"
            );
            self.sync_status.targets()[slot] = None;
            failures += 1;
            sleep(RESUBSCRIBE_DELAY).await;
        }
    }

    /// Returns the delegate that a subscription uses next, or `None` if it needs none.
    fn choose_delegate(&self, slot: usize, failures: usize, now: Instant) -> Option<CompactString> {
        let own = self.settings.public_addr();
        let delegates = self.delegates();
        let index = |addr: &CompactString| delegates.iter().position(|found| found == addr);
        let role = match index(&own) {
            // A delegate that hears the service follows one other delegate.
            Some(_) if slot > 0 && self.view.is_current_by_watch(now) => return None,
            Some(index) => Role::Delegate(index),
            None => Role::Follower(sched::members::weight(&"follower", &own)),
        };
        let mut targets = self.sync_status.targets();
        let taken = targets.iter().flatten().find_map(index);
        let chosen = freshness::choose_delegate(delegates.len(), role, slot, failures, taken)?;
        targets[slot] = Some(delegates[chosen].clone());
        targets[slot].clone()
    }

    /// Receives updates from a peer until it stops sending, or its view is not current, and returns
    /// why it ended.
    ///
    /// Another delegate may be in touch in the latter case.
    async fn subscribe(&self, addr: &str, slot: usize) -> End {
        let version = self.view.table().map(|table| table.version);
        let revision = self.view.revision();
        let request = Request::Gateway(Box::new(Command::Subscribe { version, revision }));
        let peer_timeout = millis(self.settings.limits.peer_timeout_ms);
        let Ok(Ok(mut replies)) =
            timeout(peer_timeout, self.budgets.peers().call(addr, &request)).await
        else {
            self.budgets.peers().disconnect(addr);
            return End::Unreachable;
        };
        let source = Source::Peer(addr.into());
        let mut transit = Transit::default();
        let mut confirmed = false;
        loop {
            let Ok(Ok(Some(Reply::Gateway(response)))) =
                timeout(SUBSCRIPTION_TIMEOUT, replies.next()).await
            else {
                self.budgets.peers().disconnect(addr);
                return End::Silent;
            };
            let now = Instant::now();
            self.sync_status.record_peer_update(now);
            let stamp = match response {
                Response::View { view, stamp } => {
                    self.view.merge(*view, &source, now);
                    stamp
                }
                Response::Changes { changes, stamp } => {
                    self.view.merge_changes(*changes, &source, now);
                    stamp
                }
                Response::Quarantined(verdicts) => {
                    self.quarantine.merge(verdicts, now);
                    continue;
                }
                Response::Pending
                | Response::Reserved(_)
                | Response::Drawn(_)
                | Response::Inherited(_)
                | Response::Booked(_)
                | Response::Origin(_)
                | Response::Quota(_)
                | Response::Noted => return End::Unexpected,
            };
            let delay = transit.delay(stamp.sent, now);
            let age = stamp.age.map(|age| age + delay);
            match age.filter(|_| freshness::is_current(age)) {
                Some(age) => {
                    self.view.confirm_by_peer(age, now);
                    if !confirmed {
                        confirmed = true;
                        let age_ms = age.as_millis() as u64;
                        log::info!(
                            target: "platform", delegate = addr, slot, age_ms;
                            "a delegate keeps the view current"
                        );
                    }
                }
                // The updates that wait behind a delayed one are newer.
                None if freshness::is_current(stamp.age) => {}
                None => return End::NotCurrent,
            }
        }
    }
}

/// Decodes a registration; returns `None` for other entries and for odd ones, which are logged.
fn decode_registration(entry: &Entry) -> Option<Registration> {
    let id = registry::endpoint_id(&entry.key)?;
    registry::decode(id, &entry.value).inspect_err(|error| log_odd_entry(entry, error)).ok()
}

/// Decodes a member; returns `None` for other entries and for odd ones, which are logged.
fn decode_member(entry: &Entry) -> Option<Member> {
    let vm = entry.key.strip_prefix(members::PREFIX)?;
    let member: Result<Member, _> = serde_json::from_slice(&entry.value);
    // A member under another name would never leave.
    member.inspect_err(|error| log_odd_entry(entry, error)).ok().filter(|member| member.vm == vm)
}

fn log_odd_entry(entry: &Entry, error: &impl std::fmt::Display) {
    metrics::counter!("odd_entries_total").increment(1);
    log::warn!(
        target: "platform", key = entry.key.as_str(), revision = entry.revision;
        "ignoring an entry: {error}"
    );
}

/// Converts an event into a change of the view, if it concerns the view.
///
/// A registration that cannot be decoded deregisters its endpoint.
fn to_change(event: Event) -> Option<Change> {
    match event {
        Event::Put(entry) => {
            if let Some(id) = registry::endpoint_id(&entry.key) {
                let registered = decode_registration(&entry).map(Change::Registered);
                return registered.or(Some(Change::Deregistered(id.into())));
            }
            if entry.key == members::TERMS_KEY {
                return members::decode_terms(&entry)
                    .map(|(terms, revision)| Change::Terms(terms, revision));
            }
            if entry.key == members::VERSIONS_KEY {
                return members::decode_versions(&entry)
                    .map(|(versions, revision)| Change::Versions(versions, revision));
            }
            let joined = decode_member(&entry).map(Change::Joined);
            joined.or_else(|| members::closed_allocator(&entry.key).map(Change::Closed))
        }
        Event::Delete(key) => {
            let deregistered =
                registry::endpoint_id(&key).map(|id| Change::Deregistered(id.into()));
            deregistered.or_else(|| Some(Change::Left(key.strip_prefix(members::PREFIX)?.into())))
        }
    }
}
