//! Keeps the view up to date.
//!
//! One task watches the configuration and one the registrations and members, each from a listing on.
//! A watch that fails starts again from a listing. While any of them fails, the daemon follows peers,
//! since the service may turn some daemons away and serve others.

use crate::desk::Desk;
use crate::settings::{Settings, millis};
use crate::view::{Change, View};
use crate::{members, retire};
use indexmap::IndexMap;
use peer::gateway::{Answer, Ask, Member};
use peer::wire::{Reply, Request};
use platform::kv::{Client, Entry, Error, Event};
use platform::{config, registry};
use sched::fleet::Registration;
use sched::id::VmId;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Prefix that covers the registrations and the members, which have their first letter in common.
const DIRECTORY: &str = "s";
/// Pause before a failed watch starts again.
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause before a failed watch starts again.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Pause between looks whether peers have to be followed.
const FOLLOW_CHECK: Duration = Duration::from_millis(100);
/// Silence after which another peer is followed.
const FOLLOW_SILENCE: Duration = Duration::from_secs(5);

/// Watches that fail at present.
#[derive(Default)]
pub struct Health {
    failing: AtomicU32,
}

impl Health {
    /// Tells whether the service cannot be watched.
    pub fn failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed) > 0
    }

    fn lost(&self, what: &str, error: &Error) {
        if self.failing.fetch_add(1, Ordering::Relaxed) == 0 {
            log::warn!(target: "platform", watch = what; "the key-value service is lost: {error}");
        }
    }

    fn regained(&self) {
        if self.failing.fetch_sub(1, Ordering::Relaxed) == 1 {
            log::info!(target: "platform", "the key-value service is back");
        }
    }
}

/// A part of the view that one watch keeps up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The operators' configuration.
    Configuration,
    /// The endpoints' registrations and the members.
    Directory,
}

impl Part {
    fn prefix(self) -> &'static str {
        match self {
            Self::Configuration => config::PREFIX,
            Self::Directory => DIRECTORY,
        }
    }
}

/// The parts that following needs.
#[derive(Clone)]
pub struct Follower {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// What is kept up to date.
    pub view: Arc<View>,
    /// The key-value service.
    pub kv: Client,
    /// Connections to peers.
    pub desk: Arc<Desk>,
    /// Whether the watches work.
    pub health: Arc<Health>,
    /// Requests to empty a storage VM that were taken up, with their revisions.
    pub retired: Arc<Mutex<IndexMap<VmId, u64>>>,
}

impl Follower {
    /// Keeps one part of the view up to date: lists, then watches, and starts again whenever that
    /// fails.
    pub async fn keep(self, part: Part) {
        let mut pause = RETRY;
        let mut failing = false;
        loop {
            let result = self.watch(part, &mut failing, &mut pause).await;
            if let Err(error) = result {
                if matches!(error, Error::Compacted) {
                    continue;
                }
                if !failing {
                    failing = true;
                    self.health.lost(part.prefix(), &error);
                }
            }
            sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            pause = (pause * 2).min(RETRY_MAX);
        }
    }

    async fn watch(
        &self,
        part: Part,
        failing: &mut bool,
        pause: &mut Duration,
    ) -> Result<(), Error> {
        let listing = self.kv.list(part.prefix(), "").await?;
        match part {
            Part::Configuration => listing.entries.iter().for_each(|entry| self.configure(entry)),
            Part::Directory => self.replace(&listing.entries, listing.revision),
        }
        if std::mem::take(failing) {
            self.health.regained();
        }
        *pause = RETRY;
        let mut after = listing.revision;
        loop {
            let (events, revision) = self.kv.changes(part.prefix(), after).await?;
            after = revision;
            self.apply(part, events, revision);
        }
    }

    fn apply(&self, part: Part, events: Vec<Event>, revision: u64) {
        match part {
            Part::Configuration => {
                for event in events {
                    if let Event::Put(entry) = event {
                        self.configure(&entry);
                    }
                }
            }
            Part::Directory => {
                let changes = events.into_iter().filter_map(change).collect();
                self.view.apply(changes, revision, Instant::now());
            }
        }
    }

    fn configure(&self, entry: &Entry) {
        if entry.key == config::KEY {
            match config::decode(&entry.value) {
                Ok(table) => drop(self.view.configure(table)),
                Err(error) => log::error!(target: "config", "{error}"),
            }
        }
        if let Some(vm) = entry.key.strip_prefix(config::RETIRE_PREFIX) {
            self.retire(vm.into(), entry.revision);
        }
    }

    /// Answers each request to empty a storage VM once.
    fn retire(&self, vm: VmId, revision: u64) {
        let mut answered = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        if answered.insert(vm.clone(), revision) == Some(revision) {
            return;
        }
        let follower = self.clone();
        tokio::spawn(async move {
            let Follower { kv, view, settings, .. } = &follower;
            retire::report(kv, view, &settings.vm, &vm).await;
        });
    }

    fn replace(&self, entries: &[Entry], revision: u64) {
        let registrations = entries.iter().filter_map(registration).collect();
        let members = entries.iter().filter_map(member).collect();
        self.view.replace(registrations, members, revision, Instant::now());
    }

    /// Follows peers while the service cannot be watched.
    pub async fn peers(self) {
        loop {
            sleep(FOLLOW_CHECK).await;
            if self.health.failing() || !self.view.complete() {
                self.follow_one().await;
            }
        }
    }

    async fn follow_one(&self) {
        let Some(addr) = self.some_peer() else {
            return;
        };
        let version = self.view.table().map(|table| table.version);
        let request = Request::Gateway(Box::new(Ask::Follow { version }));
        let bound = millis(self.settings.limits.peer_timeout_ms);
        let Ok(Ok(mut replies)) = timeout(bound, self.desk.peers().call(&addr, &request)).await
        else {
            self.desk.peers().forget(&addr);
            return;
        };
        while self.health.failing() || !self.view.complete() {
            match timeout(FOLLOW_SILENCE, replies.next()).await {
                Ok(Ok(Some(Reply::Gateway(Answer::View(view))))) => {
                    let revision = view.revision;
                    if self.view.merge(*view, Instant::now()) {
                        log::info!(
                            target: "follow", peer = addr.as_str(), revision;
                            "took a peer's view"
                        );
                    }
                }
                _ => return,
            }
        }
    }

    fn some_peer(&self) -> Option<String> {
        let known = self.view.members();
        let others = known.values().filter(|member| member.vm != self.settings.vm);
        let mut addrs: Vec<String> = others.map(|member| member.addr.to_string()).collect();
        if addrs.is_empty() {
            let own = self.settings.peer_addr.to_string();
            let seeds = self.settings.seeds.iter().filter(|seed| **seed != own);
            addrs = seeds.map(ToString::to_string).collect();
        }
        fastrand::choice(addrs)
    }
}

fn registration(entry: &Entry) -> Option<Registration> {
    registry::decode(registry::endpoint(&entry.key)?, &entry.value)
}

fn member(entry: &Entry) -> Option<Member> {
    entry.key.strip_prefix(members::PREFIX)?;
    serde_json::from_slice(&entry.value).ok()
}

/// Turns an event into a change; an entry that cannot be read names no endpoint to use.
fn change(event: Event) -> Option<Change> {
    match event {
        Event::Put(entry) => {
            if let Some(id) = registry::endpoint(&entry.key) {
                let found = registration(&entry).map(Change::Registered);
                return found.or(Some(Change::Vanished(id.into())));
            }
            member(&entry).map(Change::Joined)
        }
        Event::Delete(key) => {
            let vanished = registry::endpoint(&key).map(|id| Change::Vanished(id.into()));
            vanished.or_else(|| Some(Change::Left(key.strip_prefix(members::PREFIX)?.into())))
        }
    }
}
