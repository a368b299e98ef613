//! Decisions on programs' budgets, as their owner.
//!
//! The rules are those of [`sched::spend`]; this module brings what they need: what the member knows
//! that owned a program before, and draws from the durable records. A draw for which the key-value
//! service cannot be reached from here is made through another daemon, since the service may turn some
//! away and serve others.

use crate::desk::Desk;
use crate::members;
use peer::gateway::{Answer, Ask, Drawn, Founder, Member, Settlement};
use peer::wire::{self, Request};
use platform::kv::Error;
use sched::id::{ProgramId, Tokens, VmId};
use sched::spend::{self, Draw, Legacy, Record, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Pause before recording that a program is stopped is tried again.
const STOP_RETRY: Duration = Duration::from_millis(700);
/// Bound of asking the former owner of a program.
const INHERIT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a daemon that left has ended.
const EXIT_WITHIN: Duration = Duration::from_secs(10);
/// Members that are asked for a program that is not known.
const MAX_FORMERS: usize = 3;
/// Draws for one turn; the first may be an earlier one whose answer was lost.
const MAX_DRAWS: u32 = 4;
/// Bound of a draw through another daemon.
const DRAW_TIMEOUT: Duration = Duration::from_millis(650);

/// Where a program comes from.
#[derive(Clone, Copy, Debug)]
struct Origin {
    /// Whether this daemon is its founder.
    own: bool,
    /// Tokens that may have been handed out where no record exists.
    unrecorded: Tokens,
}

impl Desk {
    /// Decides as the owner; `None` when the durable record cannot be reached.
    pub async fn decide(self: &Arc<Self>, ask: &spend::Ask) -> Option<bool> {
        let origin = self.origin(ask).await;
        let verdict = match self.reserve_as(ask, origin) {
            Verdict::Draw(_) => self.draw_and_reserve(ask, origin).await?,
            verdict => verdict,
        };
        match verdict {
            Verdict::Granted => Some(true),
            Verdict::Exhausted => Some(false),
            Verdict::Stop => {
                let (desk, ask) = (self.clone(), ask.clone());
                tokio::spawn(async move { desk.stop(&ask).await });
                Some(false)
            }
            Verdict::Draw(_) => None,
        }
    }

    fn reserve_as(&self, ask: &spend::Ask, origin: Origin) -> Verdict {
        self.ledger().reserve(ask, origin.own, origin.unrecorded, Instant::now())
    }

    /// Finds out where the ask's program comes from; takes it over from who knows it.
    async fn origin(&self, ask: &spend::Ask) -> Origin {
        if self.ledger().knows(&ask.program) {
            // Its account tells; were it given away meanwhile, nothing is assumed to be recorded.
            return Origin { own: false, unrecorded: spend::free(ask) };
        }
        let founder = self.view.founder(&ask.program);
        let own = founder.as_ref().is_some_and(|founder| founder.vm == self.settings.vm);
        // A founder that has closed its books has recorded all that was handed out.
        let open = founder.filter(|founder| !founder.closed);
        let unrecorded = open.as_ref().map_or(0, |_| spend::free(ask));
        let origin = Origin { own, unrecorded };
        if self.ledger().founds(&ask.program, own) {
            return origin;
        }
        let stripe = members::stripe(&ask.program, self.takeovers.len());
        let _held = self.takeovers[stripe].lock().await;
        if self.ledger().knows(&ask.program) {
            return origin;
        }
        let mut renounced = false;
        for former in self.formers(&ask.program, open) {
            match self.inherit_from(&former, &ask.program).await {
                Legacy::Account(inheritance) => {
                    self.ledger().inherit(ask.program.clone(), *inheritance, Instant::now());
                    return origin;
                }
                Legacy::Renounced => renounced = true,
                Legacy::Nothing => {}
            }
        }
        match renounced {
            true => Origin { unrecorded: 0, ..origin },
            false => origin,
        }
    }

    /// Members that may have owned a program: its founder, those that left and came before this one in
    /// the program's order, and the one that comes next.
    fn formers(&self, program: &str, founder: Option<Founder>) -> Vec<Member> {
        let me = &self.settings.vm;
        let lost = self.view.lost_before(program, me, EXIT_WITHIN, Instant::now());
        let (founder, next) = self.view.with_members(|live| {
            let founder = founder.and_then(|founder| live.get(&founder.vm).cloned());
            (founder, members::successor(program, live, me).cloned())
        });
        let mut formers: Vec<Member> = Vec::new();
        for member in founder.into_iter().chain(lost).chain(next) {
            if member.vm != *me && !formers.iter().any(|known| known.vm == member.vm) {
                formers.push(member);
            }
        }
        formers.truncate(MAX_FORMERS);
        formers
    }

    async fn inherit_from(&self, former: &Member, program: &ProgramId) -> Legacy {
        let now = Instant::now();
        if self.suspects.contains(&former.vm, now) {
            return Legacy::Nothing;
        }
        let request = Request::Gateway(Box::new(Ask::Inherit(program.clone())));
        match self.peers.ask(&former.addr, &request, INHERIT_TIMEOUT).await {
            Some(wire::Reply::Gateway(Answer::Inherited(legacy))) => legacy,
            _ => {
                self.suspects.suspect(&former.vm, now);
                Legacy::Nothing
            }
        }
    }

    /// Gives a program away to the owner that asks for it.
    pub fn give(&self, program: &str) -> Legacy {
        let founder = self.view.founder(program);
        let own = founder.is_some_and(|founder| founder.vm == self.settings.vm);
        self.ledger().give(program, own, Instant::now())
    }

    /// Becomes a founder; `None` when that is not known to be durable.
    pub async fn found(&self) -> Option<()> {
        self.records.found(&self.settings.vm).await.ok()?;
        self.ledger().found();
        Some(())
    }

    /// Records what programs have spent of their free shares, when this daemon stops.
    ///
    /// A founder then closes its books, so that nobody has to take its programs' free shares for spent.
    /// A later process on a founder's VM does not know what that one had spent, and leaves them open.
    pub async fn close(&self) {
        let (founder, records) = {
            let mut ledger = self.ledger();
            (ledger.is_founder(), ledger.close(unix_ms()))
        };
        let count = records.len();
        match self.close_books(founder, &records).await {
            Ok(()) => log::info!(target: "budget", count, founder; "the books are closed"),
            Err(error) => log::info!(target: "budget", count; "the books stay open: {error}"),
        }
    }

    async fn close_books(
        &self,
        founder: bool,
        records: &[(ProgramId, Record)],
    ) -> Result<(), Error> {
        self.records.create(records).await?;
        match founder {
            true => self.records.close(&self.settings.vm).await,
            false => Ok(()),
        }
    }

    /// Records that a program's budget is spent, so that no later owner lets it go on.
    async fn stop(self: &Arc<Self>, ask: &spend::Ask) {
        if let Some(standing) = self.ledger().explain(&ask.program) {
            log::info!(
                target: "budget",
                program = ask.program.as_str(),
                request = ask.request.as_str(),
                budget = standing.budget,
                known = standing.known,
                reserved = standing.reserved,
                allowed = standing.allowed,
                most = ask.most;
                "the program is stopped"
            );
        }
        let record = spend::closed(ask, unix_ms());
        let since = Instant::now();
        while since.elapsed() < ask.retention {
            match self.records.update(&ask.program, |_| Some(record.clone())).await {
                Ok(_) => return,
                Err(error) => log::info!(
                    target: "budget", program = ask.program.as_str();
                    "the stop is not recorded yet: {error}"
                ),
            }
            sleep(STOP_RETRY).await;
        }
    }

    /// Draws until the turn may run or must not; `None` when the record cannot be reached.
    async fn draw_and_reserve(&self, ask: &spend::Ask, origin: Origin) -> Option<Verdict> {
        let stripe = members::stripe(&ask.program, self.draws.len());
        let _held = self.draws[stripe].lock().await;
        for _ in 0..MAX_DRAWS {
            // Another turn may have drawn enough meanwhile.
            let verdict = self.reserve_as(ask, origin);
            let Verdict::Draw(draw) = verdict else {
                return Some(verdict);
            };
            let drawn = match self.draw(ask, self.process(), draw).await {
                Drawn::Unreachable => self.draw_elsewhere(ask, draw).await,
                drawn => drawn,
            };
            match drawn {
                Drawn::Tokens(tokens) => self.ledger().draw(&ask.program, tokens),
                Drawn::Exhausted => self.ledger().exhaust(&ask.program),
                Drawn::Unreachable => return None,
            }
        }
        None
    }

    /// Draws from the program's durable record for the process `owner`.
    pub async fn draw(&self, ask: &spend::Ask, owner: &VmId, draw: Draw) -> Drawn {
        let taken = AtomicU64::new(0);
        let drawn = self.records.update(&ask.program, |found| {
            let (record, tokens) = spend::drawn(ask, owner, found, draw, unix_ms())?;
            taken.store(tokens, Ordering::Relaxed);
            Some(record)
        });
        match drawn.await {
            Ok(true) => Drawn::Tokens(taken.into_inner()),
            Ok(false) => Drawn::Exhausted,
            Err(error) => {
                log::info!(
                    target: "budget", program = ask.program.as_str();
                    "the budget's record cannot be written: {error}"
                );
                Drawn::Unreachable
            }
        }
    }

    /// Draws through another daemon, which the key-value service may still serve.
    async fn draw_elsewhere(&self, ask: &spend::Ask, draw: Draw) -> Drawn {
        let others = self.view.with_members(|live| {
            let others = live.values().filter(|member| member.vm != self.settings.vm);
            others.cloned().collect::<Vec<Member>>()
        });
        let Some(other) = fastrand::choice(others) else {
            return Drawn::Unreachable;
        };
        let (ask, owner) = (ask.clone(), self.process().clone());
        let request = Request::Gateway(Box::new(Ask::Draw { ask, owner, draw }));
        match self.peers.ask(&other.addr, &request, DRAW_TIMEOUT).await {
            Some(wire::Reply::Gateway(Answer::Drawn(drawn))) => drawn,
            // A draw whose answer is lost is found by the next try.
            _ => Drawn::Unreachable,
        }
    }

    /// Settles as the owner.
    pub fn settle(&self, settlement: &Settlement) {
        let Settlement { program, request, daemon, handed_out } = settlement;
        self.ledger().settle(program, request, daemon, *handed_out);
    }

    /// Deletes durable records whose time is over, where this daemon is the first delegate.
    pub async fn trim(&self) {
        let first = self.view.with_members(|live| members::delegates(live).into_iter().next());
        if first != Some(self.settings.public_addr()) {
            return;
        }
        match self.records.trim(unix_ms()).await {
            Ok(0) => {}
            Ok(count) => log::info!(target: "budget", count; "records are deleted"),
            Err(error) => log::info!(target: "budget", "records are not deleted yet: {error}"),
        }
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
