//! Reservations of programs' budgets, as the serving daemon and as the owner.

use crate::members::{self, Suspects};
use crate::records::Records;
use crate::settings::{Settings, millis};
use crate::view::View;
use indexmap::IndexMap;
use peer::client::Client as Peers;
use peer::gateway::{Answer, Ask, Member, Settlement};
use peer::wire::{self, Request};
use platform::kv;
use sched::id::{ProgramId, RequestId, Tokens, VmId};
use sched::spend::{self, Ledger, Record, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::timeout;

/// Owners asked for one turn before it is refused.
const MAX_OWNERS: usize = 3;
/// Tries of recording that a program is stopped.
const MAX_STOPS: usize = 4;
/// Programs whose draws go on at the same time.
const DRAW_STRIPES: usize = 32;
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
    records: Records,
    /// Held while a program draws, so that its parallel turns do not draw one after the other.
    draws: [tokio::sync::Mutex<()>; DRAW_STRIPES],
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
            records: Records::new(kv),
            draws: std::array::from_fn(|_| tokio::sync::Mutex::default()),
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
        let verdict = match self.ledger().reserve(ask, fresh, Instant::now()) {
            Verdict::Draw(_) => None,
            verdict => Some(verdict),
        };
        let verdict = match verdict {
            Some(verdict) => verdict,
            None => self.draw(ask, fresh).await?,
        };
        match verdict {
            Verdict::Granted => Some(true),
            Verdict::Exhausted => Some(false),
            Verdict::Stop => {
                self.stop(ask).await;
                Some(false)
            }
            Verdict::Draw(_) => None,
        }
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
        let keep_until_ms = unix_ms() + ask.retention.as_millis() as u64;
        let record = Record { budget: ask.budget, drawn: ask.budget, keep_until_ms };
        for _ in 0..MAX_STOPS {
            match self.records.update(&ask.program, |_| Some(record)).await {
                Ok(_) => return,
                Err(error) => log::warn!(
                    target: "budget", program = ask.program.as_str();
                    "the stop is not recorded yet: {error}"
                ),
            }
        }
    }

    /// Draws from the program's durable record, unless another turn has drawn enough meanwhile.
    async fn draw(&self, ask: &spend::Ask, fresh: bool) -> Option<Verdict> {
        let stripe = members::stripe(&ask.program, self.draws.len());
        let _held = self.draws[stripe].lock().await;
        let verdict = self.ledger().reserve(ask, fresh, Instant::now());
        let Verdict::Draw(draw) = verdict else {
            return Some(verdict);
        };
        let taken = AtomicU64::new(0);
        let drawn = self.records.update(&ask.program, |found| {
            let (record, tokens) = spend::drawn(ask, found, draw, unix_ms())?;
            taken.store(tokens, Ordering::Relaxed);
            Some(record)
        });
        match drawn.await {
            Ok(true) => self.ledger().draw(&ask.program, taken.into_inner()),
            Ok(false) => self.ledger().exhaust(&ask.program),
            Err(error) => {
                log::warn!(
                    target: "budget", program = ask.program.as_str();
                    "the budget's record cannot be written: {error}"
                );
                return None;
            }
        }
        Some(self.ledger().reserve(ask, fresh, Instant::now()))
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
        let listing = timeout(RECORDS_TIMEOUT, self.records.list()).await;
        let late = || kv::Error::Unknown("the listing takes too long".to_owned());
        match listing.unwrap_or_else(|_| Err(late())) {
            Ok(records) => {
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
