//! Decisions on programs' budgets, as their owner.
//!
//! The rules are those of [`sched::spend`]; this module brings what they need: what the member knows
//! that owned a program before, and the durable records.

use crate::desk::Desk;
use crate::members;
use peer::gateway::{Answer, Ask, Settlement};
use peer::wire::{self, Request};
use sched::id::ProgramId;
use sched::spend::{self, Draw, Record, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};

/// Pause before recording that a program is stopped is tried again.
const STOP_RETRY: Duration = Duration::from_millis(700);
/// Bound of asking the former owner of a program.
const INHERIT_TIMEOUT: Duration = Duration::from_millis(120);
/// Age of the records read from the platform at which a takeover reads them again.
///
/// What was recorded since is known to the member that the owner asks first.
const RECORDS_MAX_AGE: Duration = Duration::from_secs(5);

/// What the member that owned a program, or stood in, knew of it.
enum Former {
    Knew(Box<spend::Inheritance>),
    KnewNothing,
    Silent,
}

impl Desk {
    /// Decides as the owner; `None` when the durable record cannot be reached.
    pub async fn decide(self: &Arc<Self>, ask: &spend::Ask, first: bool) -> Option<bool> {
        let undisturbed = self.view.undisturbed(ask.retention, Instant::now());
        let given = self.ledger().gave(&ask.program);
        let fresh = first && self.settings.first_start && undisturbed && !given;
        if !fresh && !self.ledger().knows(&ask.program) {
            self.take_over(ask).await?;
        }
        let verdict = self.ledger().reserve(ask, fresh, Instant::now());
        let verdict = match verdict {
            Verdict::Draw(_) => self.draw_first(ask, fresh).await?,
            verdict => verdict,
        };
        match verdict {
            Verdict::Granted { draw } => {
                if let Some(draw) = draw {
                    let (desk, ask) = (self.clone(), ask.clone());
                    tokio::spawn(async move { desk.draw(&ask, draw).await });
                }
                Some(true)
            }
            Verdict::Exhausted => Some(false),
            Verdict::Stop => {
                let (desk, ask) = (self.clone(), ask.clone());
                tokio::spawn(async move { desk.stop(&ask).await });
                Some(false)
            }
            Verdict::Draw(_) => None,
        }
    }

    /// Decides when no member answers: this daemon's own key is not written yet, or has lapsed.
    ///
    /// Without the durable records nobody would know of programs that were stopped.
    pub(crate) async fn decide_alone(self: &Arc<Self>, ask: &spend::Ask) -> Option<bool> {
        let records = self.records.list().await.ok()?;
        self.ledger().learn(records);
        self.decide(ask, false).await
    }

    /// Learns what others know of a program that this owner does not know.
    async fn take_over(&self, ask: &spend::Ask) -> Option<()> {
        let stripe = members::stripe(&ask.program, self.takeovers.len());
        let _held = self.takeovers[stripe].lock().await;
        if self.ledger().knows(&ask.program) {
            return Some(());
        }
        match self.ask_former(ask).await {
            Former::Knew(inheritance) => {
                self.ledger().inherit(ask.program.clone(), *inheritance, Instant::now());
                Some(())
            }
            Former::KnewNothing => self.refresh_records().await,
            Former::Silent => self.read_record(&ask.program).await,
        }
    }

    /// Reads a program's record as it is now, since its former owner may just have drawn on it.
    async fn read_record(&self, program: &ProgramId) -> Option<()> {
        match self.records.read(program).await {
            Ok(record) => {
                self.ledger().learn(record.map(|record| (program.clone(), record)));
                Some(())
            }
            Err(_) => self.refresh_records().await,
        }
    }

    /// Asks the member that owned a program, or stood in, for what it knows.
    async fn ask_former(&self, ask: &spend::Ask) -> Former {
        let now = Instant::now();
        let all = self.view.members_since(ask.retention, now);
        let Some(former) = members::successor(&ask.program, &all, &self.settings.vm) else {
            return Former::KnewNothing;
        };
        if self.suspects.contains(&former.vm, now) {
            return Former::Silent;
        }
        let request = Request::Gateway(Box::new(Ask::Inherit(ask.program.clone())));
        let answer = async {
            let mut replies = self.peers.call(&former.addr, &request).await.ok()?;
            match replies.next().await.ok()?? {
                wire::Reply::Gateway(Answer::Inherited(inheritance)) => Some(inheritance),
                _ => None,
            }
        };
        match timeout(INHERIT_TIMEOUT, answer).await.ok().flatten() {
            Some(Some(inheritance)) => Former::Knew(inheritance),
            Some(None) => Former::KnewNothing,
            None => {
                self.suspects.suspect(&former.vm, now);
                Former::Silent
            }
        }
    }

    /// Gives a program away to the owner that asks for it.
    pub fn give(&self, program: &str) -> Option<spend::Inheritance> {
        self.ledger().give(program, Instant::now())
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
                assumed = standing.assumed,
                most = ask.most;
                "the program is stopped"
            );
        }
        let keep_until_ms = unix_ms() + ask.retention.as_millis() as u64;
        let record = Record { budget: ask.budget, drawn: ask.budget, keep_until_ms };
        let since = Instant::now();
        while since.elapsed() < ask.retention {
            match self.records.update(&ask.program, |_| Some(record)).await {
                Ok(_) => return self.teach(&ask.program),
                Err(error) => log::info!(
                    target: "budget", program = ask.program.as_str();
                    "the stop is not recorded yet: {error}"
                ),
            }
            sleep(STOP_RETRY).await;
        }
    }

    /// Draws before a turn may run, unless another turn has drawn enough meanwhile.
    async fn draw_first(self: &Arc<Self>, ask: &spend::Ask, fresh: bool) -> Option<Verdict> {
        let stripe = members::stripe(&ask.program, self.draws.len());
        let _held = self.draws[stripe].lock().await;
        let verdict = self.ledger().reserve(ask, fresh, Instant::now());
        let Verdict::Draw(draw) = verdict else {
            return Some(verdict);
        };
        self.draw(ask, draw).await?;
        Some(self.ledger().reserve(ask, fresh, Instant::now()))
    }

    /// Draws from the program's durable record; `None` when that cannot be reached.
    async fn draw(self: &Arc<Self>, ask: &spend::Ask, draw: Draw) -> Option<()> {
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
                self.ledger().fail_draw(&ask.program);
                log::info!(
                    target: "budget", program = ask.program.as_str();
                    "the budget's record cannot be written: {error}"
                );
                return None;
            }
        }
        self.teach(&ask.program);
        Some(())
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
        match self.records.list().await {
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

    /// Takes in a record that another owner wrote.
    pub fn learn(&self, program: ProgramId, record: Record) {
        self.ledger().learn([(program, record)]);
    }

    /// Tells the member that takes over if this one is lost what a record holds, since it reads the
    /// records only now and then.
    fn teach(self: &Arc<Self>, program: &ProgramId) {
        let Some(record) = self.records.written(program) else {
            return;
        };
        let successor = self.view.with_members(|live| {
            members::successor(program, live, &self.settings.vm).map(|member| member.addr.clone())
        });
        if let Some(addr) = successor {
            self.tell(addr, Ask::Learn { program: program.clone(), record });
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
