//! Reservations of programs' budgets, as the serving daemon and as the owner.

use crate::members::{self, Suspects};
use crate::settings::{Settings, millis};
use crate::view::View;
use indexmap::IndexMap;
use peer::client::Client as Peers;
use peer::gateway::{Answer, Ask, Member, Settlement};
use peer::wire::{self, Request};
use platform::kv::{self, Swap};
use sched::id::{ProgramId, RequestId, Tokens, VmId};
use sched::spend::{self, Ledger, Record, Verdict};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::timeout;

/// Owners asked for one turn before it is refused.
const MAX_OWNERS: usize = 3;
/// Tries of one draw from a program's record against other owners' draws.
const MAX_DRAWS: usize = 4;
/// Quiet time after which a program's own count is dropped.
const COUNT_LIFE: Duration = Duration::from_secs(120);
/// Bound of reading the records, which a turn waits for.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the records read from the platform at which a takeover reads them again.
const RECORDS_MAX_AGE: Duration = Duration::from_secs(2);

/// Why no reservation was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The budget does not hold the turn.
    #[error("the program's budget is spent")]
    Exhausted,
    /// No owner can tell.
    #[error("no owner of the program's budget can tell")]
    NoOwner,
}

/// What asking an owner ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Granted,
    Exhausted,
    /// The owner needs the durable record and cannot reach it.
    CannotTell,
    /// The owner did not answer.
    Silence,
}

impl Reply {
    fn of(granted: Option<bool>) -> Self {
        match granted {
            Some(true) => Self::Granted,
            Some(false) => Self::Exhausted,
            None => Self::CannotTell,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Count {
    handed_out: Tokens,
    used: Instant,
}

/// The parts that reservations need.
pub struct Desk {
    settings: Arc<Settings>,
    view: Arc<View>,
    kv: kv::Client,
    peers: Peers,
    suspects: Suspects,
    ledger: Mutex<Ledger>,
    counts: Mutex<IndexMap<ProgramId, Count>>,
    records_read: Mutex<Option<Instant>>,
}

impl Desk {
    /// Prepares reservations.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, kv: kv::Client) -> Self {
        let key = settings.cluster_key.as_bytes();
        let peers = Peers::new(key, millis(settings.limits.peer_timeout_ms));
        Self {
            settings,
            view,
            kv,
            peers,
            suspects: Suspects::default(),
            ledger: Mutex::default(),
            counts: Mutex::default(),
            records_read: Mutex::default(),
        }
    }

    /// Name of this VM.
    pub fn vm(&self) -> &VmId {
        &self.settings.vm
    }

    /// Connections to peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> MutexGuard<'_, IndexMap<ProgramId, Count>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts tokens that this daemon hands out to a program.
    pub fn hand_out(&self, program: &str, tokens: Tokens, now: Instant) {
        let mut counts = self.counts();
        let fresh = Count { handed_out: 0, used: now };
        let count = counts.entry(program.into()).or_insert(fresh);
        count.handed_out += tokens;
        count.used = now;
    }

    fn handed_out(&self, program: &str) -> Tokens {
        self.counts().get(program).map_or(0, |count| count.handed_out)
    }

    /// Reserves a turn at the owner of its program's budget.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the turn must not run.
    pub async fn reserve(self: &Arc<Self>, ask: spend::Ask) -> Result<Reservation, Error> {
        let ask = spend::Ask { handed_out: self.handed_out(&ask.program), ..ask };
        for _ in 0..MAX_OWNERS {
            let now = Instant::now();
            let Some((owner, first)) = self.owner(&ask.program, now) else {
                return Err(Error::NoOwner);
            };
            let granted = match owner.vm == self.settings.vm {
                true => Reply::of(self.decide(&ask, first).await),
                false => self.ask_peer(&owner, &ask).await,
            };
            match granted {
                Reply::Granted => return Ok(Reservation::new(self.clone(), ask)),
                Reply::Exhausted => return Err(Error::Exhausted),
                Reply::CannotTell => return Err(Error::NoOwner),
                Reply::Silence => self.suspects.suspect(&owner.vm, now),
            }
        }
        Err(Error::NoOwner)
    }

    fn owner(&self, program: &str, now: Instant) -> Option<(Member, bool)> {
        self.view.with_members(|live| {
            let found = members::owner(program, live, &self.suspects, now);
            found.map(|(member, first)| (member.clone(), first))
        })
    }

    async fn ask_peer(&self, owner: &Member, ask: &spend::Ask) -> Reply {
        let request = Request::Gateway(Box::new(Ask::Reserve(ask.clone())));
        let first = async {
            let mut replies = self.peers.call(&owner.addr, &request).await.ok()?;
            let first = replies.next().await.ok()??;
            Some((first, replies))
        };
        let bound = millis(self.settings.limits.peer_timeout_ms);
        match timeout(bound, first).await.ok().flatten() {
            Some((wire::Reply::Gateway(Answer::Reserved(granted)), _)) => {
                self.suspects.clear(&owner.vm);
                Reply::of(granted)
            }
            Some((_, mut replies)) => {
                // The owner lives, so no other may decide meanwhile.
                let bound = millis(self.settings.limits.reserve_timeout_ms);
                match timeout(bound, replies.next()).await {
                    Ok(Ok(Some(wire::Reply::Gateway(Answer::Reserved(granted))))) => {
                        Reply::of(granted)
                    }
                    _ => Reply::CannotTell,
                }
            }
            None => {
                self.peers.forget(&owner.addr);
                log::info!(
                    target: "budget", request = ask.request.as_str(), owner = owner.vm.as_str();
                    "the budget's owner did not answer"
                );
                Reply::Silence
            }
        }
    }

    /// Decides as the owner; `None` when the durable record cannot be reached.
    pub async fn decide(&self, ask: &spend::Ask, first: bool) -> Option<bool> {
        let undisturbed = self.view.undisturbed(ask.retention, Instant::now());
        let fresh = first && self.settings.first_start && undisturbed;
        if !fresh && !self.ledger().knows(&ask.program) {
            self.refresh_records().await?;
        }
        for _ in 0..MAX_DRAWS {
            let verdict = self.ledger().reserve(ask, fresh, Instant::now());
            match verdict {
                Verdict::Granted => return Some(true),
                Verdict::Exhausted => return Some(false),
                Verdict::Stop => {
                    self.stop(ask).await;
                    return Some(false);
                }
                Verdict::Draw { tokens } => self.draw(ask, tokens).await?,
            }
        }
        None
    }

    /// Records that a program's budget is spent, so that no later owner lets it go on.
    async fn stop(&self, ask: &spend::Ask) {
        if let Some(standing) = self.ledger().explain(&ask.program) {
            log::info!(
                target: "budget",
                program = ask.program.as_str(),
                request = ask.request.as_str(),
                budget = standing.budget,
                known = standing.known,
                reserved = standing.reserved,
                assumed = standing.assumed,
                most = ask.most;
                "the program is stopped"
            );
        }
        let key = members::record_key(&ask.program);
        let keep_until_ms = unix_ms() + ask.retention.as_millis() as u64;
        let record = Record { budget: ask.budget, drawn: ask.budget, keep_until_ms };
        let Ok(value) = serde_json::to_vec(&record) else {
            return;
        };
        for _ in 0..MAX_DRAWS {
            let written = match self.kv.create(&key, &value, None).await {
                Ok(Swap::Conflict) => self.overwrite(&key, &value).await,
                other => other,
            };
            match written {
                Ok(Swap::Done(_)) => return,
                Ok(Swap::Conflict) => {}
                Err(error) => {
                    log::warn!(
                        target: "budget", program = ask.program.as_str();
                        "the stop is not recorded yet: {error}"
                    );
                }
            }
        }
    }

    async fn overwrite(&self, key: &str, value: &[u8]) -> Result<Swap, kv::Error> {
        let revision = self.kv.get(key).await?.map_or(0, |entry| entry.revision);
        self.kv.swap(key, value, revision, None).await
    }

    /// Draws from the program's durable record.
    async fn draw(&self, ask: &spend::Ask, tokens: Tokens) -> Option<()> {
        let key = members::record_key(&ask.program);
        for _ in 0..MAX_DRAWS {
            let entry = self.kv.get(&key).await.ok()?;
            let found: Option<Record> =
                entry.as_ref().and_then(|entry| serde_json::from_slice(&entry.value).ok());
            let revision = entry.map_or(0, |entry| entry.revision);
            let Some(record) = self.ledger().drawn(ask, found, tokens, unix_ms()) else {
                self.ledger().exhaust(&ask.program);
                return Some(());
            };
            let value = serde_json::to_vec(&record).ok()?;
            match self.kv.swap(&key, &value, revision, None).await {
                Ok(Swap::Done(_)) => {
                    self.ledger().draw(&ask.program, tokens);
                    return Some(());
                }
                Ok(Swap::Conflict) => {}
                Err(error) => {
                    log::warn!(
                        target: "budget", program = ask.program.as_str();
                        "the budget's record cannot be written: {error}"
                    );
                    return None;
                }
            }
        }
        None
    }

    /// Reads all durable records, unless that was done just now.
    ///
    /// Returns `None` when a process that started after others has never read them.
    pub async fn refresh_records(&self) -> Option<()> {
        let now = Instant::now();
        let recently = |read: &Instant| now.duration_since(*read) < RECORDS_MAX_AGE;
        let read = *self.records_read();
        if read.as_ref().is_some_and(recently) {
            return Some(());
        }
        let known = read.is_some() || self.settings.first_start;
        if known {
            // Others need not read them at the same time.
            *self.records_read() = Some(now);
        }
        let listing = timeout(RECORDS_TIMEOUT, self.kv.list(members::RECORDS, "")).await;
        let late = || kv::Error::Unknown("the listing takes too long".to_owned());
        match listing.unwrap_or_else(|_| Err(late())) {
            Ok(listing) => {
                let records = listing.entries.iter().filter_map(|entry| {
                    let program = entry.key.strip_prefix(members::RECORDS)?;
                    Some((program.into(), serde_json::from_slice(&entry.value).ok()?))
                });
                self.ledger().learn(records);
                *self.records_read() = Some(now);
                Some(())
            }
            Err(error) => {
                log::warn!(target: "budget", "the records cannot be read: {error}");
                known.then_some(())
            }
        }
    }

    fn records_read(&self) -> MutexGuard<'_, Option<Instant>> {
        self.records_read.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Settles as the owner.
    pub fn settle(&self, settlement: &Settlement) {
        let Settlement { program, request, daemon, handed_out } = settlement;
        self.ledger().settle(program, request, daemon, *handed_out);
    }

    /// Drops what is no longer needed.
    pub fn sweep(&self, now: Instant) {
        self.ledger().sweep(now);
        self.counts().retain(|_, count| now.duration_since(count.used) < COUNT_LIFE);
    }

    fn send_settlement(self: &Arc<Self>, program: ProgramId, request: RequestId) {
        let handed_out = self.handed_out(&program);
        let daemon = self.settings.vm.clone();
        let settlement = Settlement { program, request, daemon, handed_out };
        let Some((owner, _)) = self.owner(&settlement.program, Instant::now()) else {
            return;
        };
        if owner.vm == self.settings.vm {
            self.settle(&settlement);
            return;
        }
        let desk = self.clone();
        tokio::spawn(async move {
            let request = Request::Gateway(Box::new(Ask::Settle(settlement)));
            let call = desk.peers.call(&owner.addr, &request);
            let bound = millis(desk.settings.limits.peer_timeout_ms);
            // A settlement that is lost is made up for by the next reservation's count.
            let _ = timeout(bound, call).await;
        });
    }
}

/// A reserved turn; dropping it settles the turn.
pub struct Reservation {
    desk: Arc<Desk>,
    ask: spend::Ask,
}

impl Reservation {
    fn new(desk: Arc<Desk>, ask: spend::Ask) -> Self {
        Self { desk, ask }
    }

    /// Counts tokens that are handed out.
    pub fn hand_out(&self, tokens: Tokens, now: Instant) {
        self.desk.hand_out(&self.ask.program, tokens, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.desk.send_settlement(self.ask.program.clone(), self.ask.request.clone());
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
