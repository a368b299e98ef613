//! Keeps the view up to date.
//!
//! A few daemons, the delegates, watch the key-value service; the others follow two delegates each,
//! so the service's load grows more slowly than the fleet. The delegates are the members with the
//! highest hashes, and before any members are known the daemons that the settings name. A daemon
//! watches the service itself as soon as no delegate that watches it has been heard for a moment: a
//! delegate may be frozen or cut off, and the service may turn some daemons away and serve others.
//!
//! A watch starts from a listing and starts again from one when it fails.

use crate::budgets::Budgets;
use crate::settings::{Settings, millis};
use crate::view::View;
use crate::{members, retire};
use compact_str::CompactString;
use indexmap::IndexMap;
use peer::gateway::{Change, Command, Member, Response};
use peer::wire::{Reply, Request};
use platform::kv::{Client, Entry, Error, Event, Listing};
use platform::{config, registry};
use sched::fleet::Registration;
use sched::id::VmId;
use sched::term::TermView;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};

/// Prefix that covers the registrations and the members, which have their first letter in common.
const DIRECTORY: &str = "s";
/// Pause before a failed watch starts again.
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause of a delegate before a failed watch starts again.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Longest pause of another daemon; delegates tell it sooner when the service is back for them.
const RETRY_MAX_OTHERS: Duration = Duration::from_millis(2_400);
/// Shortest time between two calls of the watch of endpoints and members.
///
/// Changes come in bursts when daemons or endpoints restart together; a call takes all of a burst.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a delegate does not count as heard.
const FEED_SILENCE: Duration = Duration::from_millis(900);
/// Silence after which no peer counts as answering.
const PEER_SILENCE: Duration = Duration::from_secs(2);
/// Longest time, for each member, that a daemon leaves to others before it calls the service itself.
///
/// The daemons of a large fleet that call a service which is down or busy keep it so.
const DEFERENCE: Duration = Duration::from_millis(8);
/// Members that are assumed while none are known.
const ASSUMED_MEMBERS: usize = 60;
/// Time that delegates have to be heard when all daemons start together.
pub const FIRST_START_GRACE: Duration = Duration::from_millis(500);
/// Interval of looks whether this daemon has to watch.
const ROLE_CHECK: Duration = Duration::from_millis(200);
/// Time for which a daemon that has listed waits for a delegate before it watches itself.
const FEED_GRACE: Duration = Duration::from_millis(400);
/// Interval of looks whether the part before is answered, or a delegate heard.
const TURN_CHECK: Duration = Duration::from_millis(10);
/// Pause before another delegate is followed.
const FEED_RETRY: Duration = Duration::from_millis(100);
/// Delegates that each daemon follows.
pub const SUBSCRIPTIONS: usize = 2;

/// Where the view comes from at present.
pub struct SyncStatus {
    feeds_expected: Instant,
    /// When a peer answered last, whether or not it watches the service.
    answered: Mutex<Option<Instant>>,
    watching: [AtomicBool; 2],
    /// Whether the service has answered the last call for the configuration.
    answering: AtomicBool,
    heard: Mutex<[Option<Instant>; SUBSCRIPTIONS]>,
}

impl SyncStatus {
    /// Starts without any source; delegates are waited for until `feeds_expected`.
    pub fn new(feeds_expected: Instant) -> Self {
        Self {
            feeds_expected,
            answered: Mutex::default(),
            watching: Default::default(),
            answering: AtomicBool::default(),
            heard: Mutex::default(),
        }
    }

    /// Tells whether this daemon watches the key-value service and is answered.
    pub fn watching(&self) -> bool {
        self.watching.iter().all(|watching| watching.load(Ordering::Relaxed))
    }

    fn heard(&self) -> MutexGuard<'_, [Option<Instant>; SUBSCRIPTIONS]> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_answer(&self, now: Instant) {
        *self.answered.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Tells whether peers answer, which hear of the service as soon as it serves a delegate.
    fn has_peers(&self, now: Instant) -> bool {
        let answered = *self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        answered.is_some_and(|at| now.duration_since(at) < PEER_SILENCE)
    }

    /// Tells whether a delegate that watches the service has been heard lately.
    fn fed(&self, now: Instant) -> bool {
        if now < self.feeds_expected {
            return true;
        }
        let heard = *self.heard();
        heard.iter().flatten().any(|at| now.duration_since(*at) < FEED_SILENCE)
    }

    /// Waits until the part before this one is answered, so that a service that turns this daemon away
    /// is called once, not once for each part.
    async fn await_turn(&self, part: Scope) {
        if part == Scope::Configuration {
            return;
        }
        let until = Instant::now() + RETRY_MAX_OTHERS;
        while !self.answering.load(Ordering::Relaxed) && Instant::now() < until {
            sleep(TURN_CHECK).await;
        }
    }

    /// Notes whether the service answers calls for a part.
    fn answers(&self, part: Scope, answers: bool) {
        if part == Scope::Configuration {
            self.answering.store(answers, Ordering::Relaxed);
        }
    }

    fn set(&self, part: Scope, watching: bool, why: &str) {
        let before = self.watching[part as usize].swap(watching, Ordering::Relaxed);
        if before != watching {
            log::info!(target: "platform", watch = part.prefix(), watching; "{why}");
        }
    }
}

/// A part of the view that one watch keeps up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The operators' configuration.
    Configuration,
    /// The endpoints' registrations and the members.
    Directory,
}

impl Scope {
    fn prefix(self) -> &'static str {
        match self {
            Self::Configuration => config::PREFIX,
            Self::Directory => DIRECTORY,
        }
    }
}

/// How a part is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// As it was some time ago, which costs the service little.
    Stale,
    /// As it is.
    Fresh,
}

/// The parts that following needs.
#[derive(Clone)]
pub struct Synchronizer {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// What is kept up to date.
    pub view: Arc<View>,
    /// The key-value service.
    pub kv: Client,
    /// Connections to peers.
    pub budgets: Arc<Budgets>,
    /// Where the view comes from.
    pub sync_status: Arc<SyncStatus>,
    /// Requests to empty a storage VM that were taken up, with their revisions.
    pub answered_retirements: Arc<Mutex<IndexMap<VmId, u64>>>,
}

impl Synchronizer {
    /// Keeps one part of the view up to date while this daemon has to watch it.
    pub async fn run_watch(self, part: Scope) {
        let mut pause = self.first_pause();
        let mut reading = Reading::Stale;
        loop {
            while !self.has_to_watch(Instant::now()) || self.defers().await {
                sleep(ROLE_CHECK).await;
            }
            self.sync_status.await_turn(part).await;
            let watched = self.watch(part, reading, &mut pause).await;
            reading = Reading::Stale;
            if let Err(error) = watched {
                if matches!(error, Error::Compacted) {
                    // A stale listing may lie before what the service still keeps.
                    reading = Reading::Fresh;
                    continue;
                }
                self.sync_status.answers(part, false);
                self.sync_status.set(
                    part,
                    false,
                    &format!("the key-value service is lost: {error}"),
                );
                sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                pause = (pause * 2).min(self.longest_pause());
            }
        }
    }

    /// Watches until the service fails or this daemon need not watch any more.
    async fn watch(
        &self,
        part: Scope,
        reading: Reading,
        pause: &mut Duration,
    ) -> Result<(), Error> {
        let listing = match reading {
            Reading::Stale if !self.is_delegate() => self.list(part).await?,
            Reading::Stale | Reading::Fresh => self.kv.list(part.prefix(), "").await?,
        };
        match part {
            Scope::Configuration => listing.entries.iter().for_each(|entry| self.configure(entry)),
            Scope::Directory => self.replace(&listing.entries, listing.revision),
        }
        self.sync_status.answers(part, true);
        *pause = self.first_pause();
        if !self.is_delegate() && self.is_fed_soon().await {
            return Ok(());
        }
        self.sync_status.set(part, true, "the key-value service answers");
        let mut after = listing.revision;
        while self.has_to_watch(Instant::now()) {
            let asked = Instant::now();
            let (events, revision) = self.kv.changes(part.prefix(), after).await?;
            after = revision;
            self.apply(part, events, revision);
            if part == Scope::Directory {
                sleep_until((asked + WATCH_INTERVAL).into()).await;
            }
        }
        self.sync_status.set(part, false, "delegates watch for this daemon");
        Ok(())
    }

    /// Waits a moment for a delegate; one that has the same view sends only what changes, which takes
    /// no call.
    async fn is_fed_soon(&self) -> bool {
        let until = Instant::now() + FEED_GRACE;
        while Instant::now() < until {
            if self.sync_status.fed(Instant::now()) {
                return true;
            }
            sleep(TURN_CHECK).await;
        }
        false
    }

    /// Lists a part. The first call of the watch brings what a stale reading misses; one that is older
    /// than what is known here already is not used.
    async fn list(&self, part: Scope) -> Result<Listing, Error> {
        let listing = self.kv.list_stale(part.prefix()).await?;
        match listing.revision < self.view.revision() {
            true => self.kv.list(part.prefix(), "").await,
            false => Ok(listing),
        }
    }

    fn has_to_watch(&self, now: Instant) -> bool {
        self.is_delegate() || !self.sync_status.fed(now)
    }

    fn is_delegate(&self) -> bool {
        self.delegates().contains(&self.settings.public_addr())
    }

    /// Leaves the service to the delegates and to other daemons for a moment; tells whether one of
    /// them watches it by then.
    async fn defers(&self) -> bool {
        if self.is_delegate() || !self.sync_status.has_peers(Instant::now()) {
            return false;
        }
        sleep(self.deference().mul_f64(fastrand::f64())).await;
        !self.has_to_watch(Instant::now())
    }

    fn deference(&self) -> Duration {
        let members = self.view.with_members(IndexMap::len);
        let members = if members == 0 { ASSUMED_MEMBERS } else { members };
        DEFERENCE * u32::try_from(members).unwrap_or(u32::MAX)
    }

    fn first_pause(&self) -> Duration {
        match self.is_delegate() {
            true => RETRY,
            false => RETRY.max(self.deference() / 2),
        }
    }

    fn longest_pause(&self) -> Duration {
        match self.is_delegate() {
            true => RETRY_MAX,
            false => RETRY_MAX_OTHERS.max(self.deference() * 2),
        }
    }

    /// Addresses of the daemons that watch for the others.
    fn delegates(&self) -> Vec<CompactString> {
        let found = self.view.with_members(members::delegates);
        match found.is_empty() {
            true => self.settings.seeds.clone(),
            false => found,
        }
    }

    fn apply(&self, part: Scope, events: Vec<Event>, revision: u64) {
        match part {
            Scope::Configuration => {
                for event in events {
                    if let Event::Put(entry) = event {
                        self.configure(&entry);
                    }
                }
            }
            Scope::Directory => {
                let changes = events.into_iter().filter_map(change).collect();
                self.view.apply(changes, revision, Instant::now());
            }
        }
    }

    fn configure(&self, entry: &Entry) {
        if entry.key == config::KEY {
            match config::decode(&entry.value) {
                Ok(table) => drop(self.view.install_table(table)),
                Err(error) => log::error!(target: "config", "{error}"),
            }
        }
        if let Some(vm) = entry.key.strip_prefix(config::RETIRE_PREFIX) {
            self.retire(vm.into(), entry.revision);
        }
    }

    /// Answers each request to empty a storage VM once.
    fn retire(&self, vm: VmId, revision: u64) {
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
        let registrations = entries.iter().filter_map(registration).collect();
        let members = entries.iter().filter_map(member).collect();
        let terms = entries.iter().find(|entry| entry.key == members::TERMS_KEY);
        let (terms, terms_revision) = terms.and_then(members::decode_terms).unwrap_or_default();
        let closed = entries.iter().filter_map(|entry| members::closed_allocator(&entry.key));
        let roll = TermView { terms, revision: terms_revision, closed: closed.collect() };
        self.view.replace(registrations, members, roll, revision, Instant::now());
    }

    /// Follows one delegate after the other; `slot` keeps the feeds of one daemon apart.
    pub async fn run_subscription(self, slot: usize) {
        let mut turn = slot;
        loop {
            let own = self.settings.public_addr();
            let mut delegates = self.delegates();
            if self.sync_status.watching() && delegates.contains(&own) {
                sleep(ROLE_CHECK).await;
                continue;
            }
            delegates.retain(|addr| *addr != own);
            if !delegates.is_empty() {
                // Daemons start at different delegates, so that these share the followers.
                let shift = sched::members::weight(&slot, &own) as usize;
                let chosen = (shift % delegates.len() + turn) % delegates.len();
                self.follow(&delegates[chosen], slot).await;
                turn += 1;
            }
            sleep(FEED_RETRY).await;
        }
    }

    /// Follows a peer until it is silent, or does not watch while others might.
    async fn follow(&self, addr: &str, slot: usize) {
        let version = self.view.table().map(|table| table.version);
        let revision = self.view.revision();
        let request = Request::Gateway(Box::new(Command::Subscribe { version, revision }));
        let bound = millis(self.settings.limits.peer_timeout_ms);
        let Ok(Ok(mut replies)) = timeout(bound, self.budgets.peers().call(addr, &request)).await
        else {
            self.budgets.peers().disconnect(addr);
            return;
        };
        loop {
            let Ok(Ok(Some(Reply::Gateway(answer)))) = timeout(FEED_SILENCE, replies.next()).await
            else {
                self.budgets.peers().disconnect(addr);
                return;
            };
            let now = Instant::now();
            self.sync_status.note_answer(now);
            let watching = match answer {
                Response::View { view, watching } => {
                    self.view.merge(*view, now);
                    watching
                }
                Response::Changes { changes, watching } => {
                    self.view.merge_changes(*changes, now);
                    watching
                }
                Response::Pending
                | Response::Reserved(_)
                | Response::Drawn(_)
                | Response::Inherited(_)
                | Response::Booked(_) => return,
            };
            if !watching {
                return;
            }
            self.sync_status.heard()[slot] = Some(now);
        }
    }
}

fn registration(entry: &Entry) -> Option<Registration> {
    registry::decode(registry::endpoint_id(&entry.key)?, &entry.value)
}

fn member(entry: &Entry) -> Option<Member> {
    entry.key.strip_prefix(members::PREFIX)?;
    serde_json::from_slice(&entry.value).ok()
}

/// Turns an event into a change; an entry that cannot be read names no endpoint to use.
fn change(event: Event) -> Option<Change> {
    match event {
        Event::Put(entry) => {
            if let Some(id) = registry::endpoint_id(&entry.key) {
                let found = registration(&entry).map(Change::Registered);
                return found.or(Some(Change::Deregistered(id.into())));
            }
            if entry.key == members::TERMS_KEY {
                return members::decode_terms(&entry)
                    .map(|(terms, revision)| Change::Terms(terms, revision));
            }
            let joined = member(&entry).map(Change::Joined);
            joined.or_else(|| members::closed_allocator(&entry.key).map(Change::Closed))
        }
        Event::Delete(key) => {
            let vanished = registry::endpoint_id(&key).map(|id| Change::Deregistered(id.into()));
            vanished.or_else(|| Some(Change::Left(key.strip_prefix(members::PREFIX)?.into())))
        }
    }
}
