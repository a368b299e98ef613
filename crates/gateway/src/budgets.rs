//! Reservations of programs' budgets, as the daemon that serves their turns.

use crate::draws::Draws;
use crate::members::{self, Suspects};
use crate::records::Records;
use crate::settings::{Settings, millis};
use crate::view::View;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use peer::client::Client as Peers;
use peer::gateway::{Command, Member, Response, Settlement};
use peer::wire::{self, Request};
use platform::kv;
use sched::admission::Stage;
use sched::id::{ProgramId, RequestId, Tokens, VmId};
use sched::spend::{self, Decision, Ledger};
use sched::term::Incarnation;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Owners asked for one turn before it is refused.
const MAX_OWNERS: usize = 3;
/// Programs whose draws or takeovers go on at the same time.
const STRIPES: usize = 32;
/// Quiet time after which a program's own count is dropped.
const COUNT_LIFE: Duration = Duration::from_secs(120);

/// Why no reservation was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The budget does not hold the turn.
    #[error("the program's budget is spent")]
    Exhausted,
    /// No owner answers.
    #[error("no owner of the program's budget answers")]
    NoOwner,
    /// The owner cannot reach the durable record that it needs.
    #[error("the durable record of the program's budget is out of reach")]
    NoRecord,
}

/// What asking an owner ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Decided(Decision),
    /// The owner did not answer.
    Silence,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    handed_out: Tokens,
    used: Instant,
}

/// The parts that reservations need.
pub struct Budgets {
    pub(crate) settings: Arc<Settings>,
    pub(crate) view: Arc<View>,
    pub(crate) records: Records,
    /// Draws that wait to be made together.
    pub(crate) joint: Draws,
    /// Held while a program draws, so that its parallel turns do not draw one after the other.
    pub(crate) draws: [tokio::sync::Mutex<()>; STRIPES],
    /// Held while an owner learns what others know of a program.
    pub(crate) takeovers: [tokio::sync::Mutex<()>; STRIPES],
    pub(crate) peers: Peers,
    pub(crate) suspects: Suspects,
    pub(crate) ledger: Mutex<Ledger>,
    counts: Mutex<IndexMap<ProgramId, Count>>,
    /// Number of this process.
    pub(crate) incarnation: Incarnation,
    /// Name of this process, by which owners count what it hands out.
    process: VmId,
}

impl Budgets {
    /// Prepares reservations.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, kv: kv::Client) -> Self {
        let key = settings.cluster_key.as_bytes();
        let peers = Peers::new(key, millis(settings.limits.peer_timeout_ms));
        let incarnation = fastrand::u64(1..);
        let process = format_compact!("{}/{incarnation:x}", settings.vm);
        let records = Records::new(kv, view.clone());
        Self {
            settings,
            view,
            records,
            joint: Draws::default(),
            draws: std::array::from_fn(|_| tokio::sync::Mutex::default()),
            takeovers: std::array::from_fn(|_| tokio::sync::Mutex::default()),
            peers,
            suspects: Suspects::default(),
            ledger: Mutex::default(),
            counts: Mutex::default(),
            incarnation,
            process,
        }
    }

    /// Name of this process.
    pub fn process(&self) -> &VmId {
        &self.process
    }

    /// Connections to peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> MutexGuard<'_, IndexMap<ProgramId, Count>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts tokens that this daemon hands out to a program.
    pub fn add_handed_out(&self, program: &str, tokens: Tokens, now: Instant) {
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
    pub async fn reserve(
        self: &Arc<Self>,
        ask: spend::ReservationRequest,
    ) -> Result<Reservation, Error> {
        let ask = spend::ReservationRequest { handed_out: self.handed_out(&ask.program), ..ask };
        for _ in 0..MAX_OWNERS {
            let now = Instant::now();
            let granted = match self.owner(&ask.program, now) {
                Some(owner) if owner.vm != self.settings.vm => self.ask_peer(&owner, &ask).await,
                // Without members this daemon's own key is not written yet, or has lapsed.
                Some(_) | None => Reply::Decided(self.decide(&ask).await),
            };
            match granted {
                Reply::Decided(Decision::Granted(stage)) => {
                    return Ok(Reservation { budgets: self.clone(), ask, stage });
                }
                Reply::Decided(Decision::Exhausted) => return Err(Error::Exhausted),
                Reply::Decided(Decision::Unknown) => return Err(Error::NoRecord),
                Reply::Silence => {}
            }
        }
        Err(Error::NoOwner)
    }

    fn owner(&self, program: &str, now: Instant) -> Option<Member> {
        self.view.with_terms_and_members(|roll, live| {
            members::owner(program, roll, live, &self.suspects, now).cloned()
        })
    }

    async fn ask_peer(&self, owner: &Member, ask: &spend::ReservationRequest) -> Reply {
        let request = Request::Gateway(Box::new(Command::Reserve(ask.clone())));
        let first = async {
            let mut replies = self.peers.call(&owner.addr, &request).await.ok()?;
            let first = replies.next().await.ok()??;
            Some((first, replies))
        };
        let bound = millis(self.settings.limits.peer_timeout_ms);
        match timeout(bound, first).await.ok().flatten() {
            Some((wire::Reply::Gateway(Response::Reserved(decision)), _)) => {
                self.suspects.clear(&owner.vm);
                Reply::Decided(decision)
            }
            Some((_, mut replies)) => {
                // The owner lives, so no other may decide meanwhile.
                let bound = millis(self.settings.limits.reserve_timeout_ms);
                match timeout(bound, replies.next()).await {
                    Ok(Ok(Some(wire::Reply::Gateway(Response::Reserved(decision))))) => {
                        Reply::Decided(decision)
                    }
                    _ => Reply::Decided(Decision::Unknown),
                }
            }
            None => {
                self.suspects.suspect(&owner.vm, Instant::now());
                self.peers.disconnect(&owner.addr);
                log::info!(
                    target: "budget", request = ask.request_id.as_str(), owner = owner.vm.as_str();
                    "the budget's owner did not answer"
                );
                Reply::Silence
            }
        }
    }

    /// Sends what needs no answer.
    pub fn tell(self: &Arc<Self>, addr: CompactString, ask: Command) {
        let budgets = self.clone();
        tokio::spawn(async move {
            let request = Request::Gateway(Box::new(ask));
            let call = budgets.peers.call(&addr, &request);
            // What is lost is made up for by the next reservation or reading.
            let _ = timeout(millis(budgets.settings.limits.peer_timeout_ms), call).await;
        });
    }

    /// Drops what is no longer needed.
    pub fn sweep(&self, now: Instant) {
        self.ledger().sweep(now);
        self.counts().retain(|_, count| now.duration_since(count.used) < COUNT_LIFE);
    }

    fn send_settlement(self: &Arc<Self>, program: ProgramId, request: RequestId) {
        let handed_out = self.handed_out(&program);
        let daemon = self.process.clone();
        let settlement = Settlement { program, request, daemon, handed_out };
        let Some(owner) = self.owner(&settlement.program, Instant::now()) else {
            return;
        };
        if owner.vm == self.settings.vm {
            self.settle(&settlement);
            return;
        }
        self.tell(owner.addr, Command::Settle(settlement));
    }
}

/// A reserved turn; dropping it settles the turn.
pub struct Reservation {
    budgets: Arc<Budgets>,
    ask: spend::ReservationRequest,
    /// How far the turn's program has come.
    pub stage: Stage,
}

impl Reservation {
    /// Counts tokens that are handed out.
    pub fn add_handed_out(&self, tokens: Tokens, now: Instant) {
        self.budgets.add_handed_out(&self.ask.program, tokens, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budgets.send_settlement(self.ask.program.clone(), self.ask.request_id.clone());
    }
}
