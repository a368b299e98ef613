//! Budget reservations, as the daemon that serves the programs' turns.

use crate::draws::Batch;
use crate::members::{self, Suspects};
use crate::records::Records;
use crate::settings::{Settings, millis};
use crate::view::View;
use compact_str::{CompactString, format_compact};
use peer::client::Client as Peers;
use peer::gateway::{Command, Member, Response, Settlement};
use peer::wire::{self, Request};
use platform::kv;
use sched::admission::Stage;
use sched::id::{ProgramId, RequestId, Tokens, VmId};
use sched::spend::{self, Counts, Decision, Ledger};
use sched::term::Incarnation;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::time::timeout;

/// Maximum number of owners asked for one turn before it is refused.
const MAX_OWNERS: usize = 3;
/// Number of lock stripes; limits how many programs draw, or are taken over, at the same time.
const STRIPES: usize = 32;

/// Reason why a turn was not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The remaining budget is too small for the turn.
    #[error("the program's budget is exhausted")]
    Exhausted,
    /// No owner responded.
    #[error("no owner of the program's budget responded")]
    NoOwner,
    /// The owner cannot reach the durable record that it needs.
    #[error("the durable record of the program's budget is unreachable")]
    NoRecord,
}

/// Result of asking an owner for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerReply {
    Decided(Decision),
    /// The owner did not respond in time or could not be reached.
    NoResponse,
}

/// State for reserving and deciding on programs' budgets.
pub struct Budgets {
    pub(crate) settings: Arc<Settings>,
    pub(crate) view: Arc<View>,
    pub(crate) records: Records,
    /// Draws that wait to be made in one call.
    pub(crate) draw_batch: Batch,
    /// Held while a program draws, so that its concurrent turns share one draw.
    pub(crate) draw_locks: [tokio::sync::Mutex<()>; STRIPES],
    /// Held while an owner asks former owners for a program's account.
    pub(crate) takeover_locks: [tokio::sync::Mutex<()>; STRIPES],
    pub(crate) peers: Peers,
    pub(crate) suspects: Suspects,
    pub(crate) ledger: Mutex<Ledger>,
    counts: Mutex<Counts>,
    /// Random number that identifies this process.
    pub(crate) incarnation: Incarnation,
    /// Name of this process.
    process: VmId,
}

impl Budgets {
    /// Creates the state, with a new random incarnation for this process.
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
            draw_batch: Batch::default(),
            draw_locks: std::array::from_fn(|_| tokio::sync::Mutex::default()),
            takeover_locks: std::array::from_fn(|_| tokio::sync::Mutex::default()),
            peers,
            suspects: Suspects::default(),
            ledger: Mutex::default(),
            counts: Mutex::new(Counts::new(process.clone())),
            incarnation,
            process,
        }
    }

    /// Returns the name of this process.
    pub fn process(&self) -> &VmId {
        &self.process
    }

    /// Returns the client for calls to peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds to the tokens that this daemon has handed out to a program.
    pub fn add_handed_out(&self, program: &str, tokens: Tokens, now: Instant) {
        self.counts().add(program, tokens, now);
    }

    /// Reserves a turn at the owner of its program's budget.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the turn must not run.
    pub async fn reserve(
        self: &Arc<Self>,
        request: spend::ReservationRequest,
    ) -> Result<Reservation, Error> {
        let (daemon, handed_out) = self.counts().report(&request.program, Instant::now());
        let request = spend::ReservationRequest { daemon, handed_out, ..request };
        for _ in 0..MAX_OWNERS {
            let now = Instant::now();
            let reply = match self.owner(&request.program, now) {
                Some(owner) if owner.vm != self.settings.vm => {
                    self.ask_owner(&owner, &request).await
                }
                // Without known members, this daemon's own key is not written yet or has expired. It
                // then decides itself.
                Some(_) | None => OwnerReply::Decided(self.decide(&request).await),
            };
            match reply {
                OwnerReply::Decided(Decision::Granted(stage)) => {
                    return Ok(Reservation { budgets: self.clone(), request, stage });
                }
                OwnerReply::Decided(Decision::Exhausted) => return Err(Error::Exhausted),
                OwnerReply::Decided(Decision::Unknown) => return Err(Error::NoRecord),
                OwnerReply::NoResponse => {}
            }
        }
        Err(Error::NoOwner)
    }

    fn owner(&self, program: &str, now: Instant) -> Option<Member> {
        self.view.with_terms_and_members(|terms, live| {
            members::owner(program, terms, live, &self.suspects, now).cloned()
        })
    }

    async fn ask_owner(&self, owner: &Member, request: &spend::ReservationRequest) -> OwnerReply {
        let message = Request::Gateway(Box::new(Command::Reserve(request.clone())));
        let first = async {
            let mut replies = self.peers.call(&owner.addr, &message).await.ok()?;
            let first = replies.next().await.ok()??;
            Some((first, replies))
        };
        let peer_timeout = millis(self.settings.limits.peer_timeout_ms);
        match timeout(peer_timeout, first).await.ok().flatten() {
            Some((wire::Reply::Gateway(Response::Reserved(decision)), _)) => {
                self.suspects.clear(&owner.vm);
                OwnerReply::Decided(decision)
            }
            Some((_, mut replies)) => {
                // `Pending` shows that the owner is alive, so no other owner may decide meanwhile.
                let reserve_timeout = millis(self.settings.limits.reserve_timeout_ms);
                match timeout(reserve_timeout, replies.next()).await {
                    Ok(Ok(Some(wire::Reply::Gateway(Response::Reserved(decision))))) => {
                        OwnerReply::Decided(decision)
                    }
                    _ => OwnerReply::Decided(Decision::Unknown),
                }
            }
            None => {
                self.suspects.suspect(&owner.vm, Instant::now());
                self.peers.disconnect(&owner.addr);
                log::info!(
                    target: "budget",
                    request = request.request_id.as_str(),
                    owner = owner.vm.as_str();
                    "the owner of the program's budget did not respond"
                );
                OwnerReply::NoResponse
            }
        }
    }

    /// Sends a command that has no answer, in the background.
    pub fn send_one_way(self: &Arc<Self>, addr: CompactString, command: Command) {
        let budgets = self.clone();
        tokio::spawn(async move {
            let message = Request::Gateway(Box::new(command));
            let call = budgets.peers.call(&addr, &message);
            // A lost command is not resent: the next reservation repeats the total of tokens handed
            // out, and a booking that is not released expires.
            let _ = timeout(millis(budgets.settings.limits.peer_timeout_ms), call).await;
        });
    }

    /// Drops expired accounts and idle counters.
    pub fn sweep(&self, now: Instant) {
        self.ledger().sweep(now);
        self.counts().sweep(now);
    }

    fn send_settlement(self: &Arc<Self>, program: ProgramId, request: RequestId) {
        let (daemon, handed_out) = self.counts().report(&program, Instant::now());
        let settlement = Settlement { program, request, daemon, handed_out };
        let Some(owner) = self.owner(&settlement.program, Instant::now()) else {
            return;
        };
        if owner.vm == self.settings.vm {
            self.settle(&settlement);
            return;
        }
        self.send_one_way(owner.addr, Command::Settle(settlement));
    }
}

/// A reserved turn; dropping it settles the turn with the owner.
pub struct Reservation {
    budgets: Arc<Budgets>,
    request: spend::ReservationRequest,
    /// Whether the turn is the first of its program.
    pub stage: Stage,
}

impl Reservation {
    /// Adds to the tokens handed out to the turn's program.
    pub fn add_handed_out(&self, tokens: Tokens, now: Instant) {
        self.budgets.add_handed_out(&self.request.program, tokens, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budgets.send_settlement(self.request.program.clone(), self.request.request_id.clone());
    }
}
