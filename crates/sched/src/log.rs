//! State of one log, rebuilt by replaying its entries.
//!
//! [`State::apply`] is deterministic: every owner that replays the same segments gets the same
//! state. An entry that is not valid in the current state is rejected with an [`Error`]. The owner
//! never writes such an entry, so an error during a replay means that the log is corrupt.

use crate::call::{Call, Outcome, Turn};
use crate::id::{self, AccountId, CallId, Epoch, LogId, ProgramId, Tokens};
use crate::program::{OpenCall, Program};
use crate::record::{Ending, Record, Spec};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The reason why an entry is not valid in the current state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The epoch of a takeover is not higher than that of the state.
    #[error("takeover epoch {found} is not higher than the current epoch {last}")]
    StaleEpoch {
        /// Epoch of the entry.
        found: Epoch,
        /// Epoch of the state.
        last: Epoch,
    },
    /// The program is not in this log.
    #[error("program {0} is not in this log")]
    UnknownProgram(ProgramId),
    /// The program is already in this log.
    #[error("program {0} already exists")]
    ProgramExists(ProgramId),
    /// The program has ended.
    #[error("program {0} has ended")]
    ProgramEnded(ProgramId),
    /// The call does not match the state of the program: it is neither the next nor the open call,
    /// it is still open when the program ends, or the program to be dropped has not ended.
    #[error("call {1} does not match the state of program {0}")]
    UnexpectedCall(ProgramId, CallId),
    /// The entry would exceed the budget of the program.
    #[error("program {0} would exceed its budget")]
    BudgetExceeded(ProgramId),
}

/// Tokens of an account that one log uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens charged for the outcomes of calls.
    pub spent: Tokens,
    /// Allowances and unsettled tokens of the programs.
    pub held: Tokens,
}

impl Usage {
    /// Returns the number of tokens that the log's grant must cover.
    pub fn total(self) -> Tokens {
        self.spent + self.held
    }
}

/// The state of one log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of the log.
    pub log: LogId,
    /// Number of the last takeover.
    pub epoch: Epoch,
    /// Whether the last owner handed the log over, leaving nothing unrecorded.
    pub clean: bool,
    /// Programs by id, in order of creation.
    pub programs: IndexMap<ProgramId, Program>,
    /// Usage of each account by this log, including ended programs.
    pub accounts: IndexMap<AccountId, Usage>,
    /// Programs by team and idempotency key.
    keys: IndexMap<CompactString, ProgramId>,
    /// Number of programs ever created.
    created: u64,
}

impl State {
    /// Creates the state of an empty log.
    pub fn new(log: LogId) -> Self {
        Self { log, clean: true, ..Self::default() }
    }

    /// Returns the id of the next program to be created.
    pub fn next_program_id(&self) -> ProgramId {
        id::program(self.log, self.created + 1)
    }

    /// Returns the program that `team` created with the idempotency key `key`.
    pub fn program_by_key(&self, team: &str, key: &str) -> Option<&ProgramId> {
        self.keys.get(&scoped_key(team, key))
    }

    /// Returns the usage of `account` by this log.
    pub fn usage(&self, account: &str) -> Usage {
        self.accounts.get(account).copied().unwrap_or_default()
    }

    /// Applies one entry.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] and leaves the state unchanged if the entry is not valid.
    pub fn apply(&mut self, record: &Record) -> Result<(), Error> {
        match record {
            Record::Takeover { epoch, .. } => self.take_over(*epoch),
            Record::Handoff => {
                self.clean = true;
                Ok(())
            }
            Record::Confirm => Ok(()),
            Record::Create { program, spec } => self.create(program, spec),
            Record::Intent { program, call } => self.open_call(program, call),
            Record::Placed { program, endpoint } => {
                if let Some(open) = self.running_program_mut(program)?.open.as_mut() {
                    open.endpoint = Some(endpoint.clone());
                }
                Ok(())
            }
            Record::Outcome { program, call, outcome } => self.end_call(program, call, outcome),
            Record::Restore { program, turn } => self.restore(program, turn),
            Record::Allow { program, allowance } => self.allow(program, *allowance),
            Record::Pin { program, endpoint } => {
                self.program_mut(program)?.pins.insert(endpoint.clone());
                Ok(())
            }
            Record::Unpin { program, endpoint } => {
                self.program_mut(program)?.pins.shift_remove(endpoint);
                Ok(())
            }
            Record::Prioritise { program, priority } => {
                self.running_program_mut(program)?.spec.priority = *priority;
                Ok(())
            }
            Record::Finish { program, ending } => self.finish(program, *ending),
            Record::Settle => {
                self.settle();
                Ok(())
            }
            Record::Forget { program } => self.forget(program),
        }
    }

    fn program_mut(&mut self, program: &ProgramId) -> Result<&mut Program, Error> {
        self.programs.get_mut(program).ok_or_else(|| Error::UnknownProgram(program.clone()))
    }

    fn running_program_mut(&mut self, program: &ProgramId) -> Result<&mut Program, Error> {
        let found = self.program_mut(program)?;
        match found.ending {
            Some(_) => Err(Error::ProgramEnded(program.clone())),
            None => Ok(found),
        }
    }

    fn take_over(&mut self, epoch: Epoch) -> Result<(), Error> {
        if epoch <= self.epoch {
            return Err(Error::StaleEpoch { found: epoch, last: self.epoch });
        }
        self.epoch = epoch;
        for program in self.programs.values_mut() {
            if !self.clean || program.open.is_some() {
                program.unsettled += std::mem::take(&mut program.allowance);
            }
            close_non_idempotent_call(program);
        }
        self.clean = false;
        Ok(())
    }

    fn create(&mut self, id: &ProgramId, spec: &Spec) -> Result<(), Error> {
        if self.programs.contains_key(id) {
            return Err(Error::ProgramExists(id.clone()));
        }
        self.created += 1;
        if let Some(key) = &spec.key {
            self.keys.insert(scoped_key(&spec.team, key), id.clone());
        }
        self.programs.insert(id.clone(), Program { spec: spec.clone(), ..Program::default() });
        Ok(())
    }

    fn open_call(&mut self, id: &ProgramId, call: &Call) -> Result<(), Error> {
        let program = self.running_program_mut(id)?;
        if program.open.is_some() || call.seq != program.next_seq() {
            return Err(Error::UnexpectedCall(id.clone(), call.id.clone()));
        }
        program.open = Some(OpenCall { call: call.clone(), endpoint: None });
        Ok(())
    }

    fn end_call(&mut self, id: &ProgramId, call: &CallId, outcome: &Outcome) -> Result<(), Error> {
        let program = self.program_mut(id)?;
        let open = program.open.take_if(|open| open.call.id == *call);
        let Some(open) = open else {
            return Err(Error::UnexpectedCall(id.clone(), call.clone()));
        };
        let tokens = outcome.tokens();
        if tokens > program.allowance {
            program.open = Some(open);
            return Err(Error::BudgetExceeded(id.clone()));
        }
        program.allowance -= tokens;
        program.spent += tokens;
        if *outcome != Outcome::NotRun {
            program.turns.push(Turn { call: open.call, outcome: outcome.clone() });
        }
        let account = program.spec.account.clone();
        let usage = self.accounts.entry(account).or_default();
        usage.held -= tokens;
        usage.spent += tokens;
        Ok(())
    }

    fn restore(&mut self, id: &ProgramId, turn: &Turn) -> Result<(), Error> {
        let program = self.running_program_mut(id)?;
        let call = &turn.call;
        let tokens = turn.outcome.tokens();
        let settled = tokens.min(program.unsettled);
        if tokens - settled > program.uncommitted() {
            return Err(Error::BudgetExceeded(id.clone()));
        }
        let known = program.turns.iter_mut().find(|known| known.call.id == call.id);
        match known {
            Some(known) if known.call == *call && known.outcome == Outcome::Unknown => {
                known.outcome = turn.outcome.clone();
            }
            Some(_) => return Err(Error::UnexpectedCall(id.clone(), call.id.clone())),
            None => program
                .append_restored(turn)
                .map_err(|()| Error::UnexpectedCall(id.clone(), call.id.clone()))?,
        }
        program.unsettled -= settled;
        program.spent += tokens;
        let account = program.spec.account.clone();
        let usage = self.accounts.entry(account).or_default();
        usage.held -= settled;
        usage.spent += tokens;
        Ok(())
    }

    fn allow(&mut self, id: &ProgramId, allowance: Tokens) -> Result<(), Error> {
        let program = self.running_program_mut(id)?;
        if program.spent + program.unsettled + allowance > program.spec.budget {
            return Err(Error::BudgetExceeded(id.clone()));
        }
        let before = std::mem::replace(&mut program.allowance, allowance);
        let account = program.spec.account.clone();
        let usage = self.accounts.entry(account).or_default();
        usage.held = usage.held + allowance - before;
        Ok(())
    }

    fn finish(&mut self, id: &ProgramId, ending: Ending) -> Result<(), Error> {
        let program = self.running_program_mut(id)?;
        if program.open.is_some() {
            let call = program.open.as_ref().map(|open| open.call.id.clone()).unwrap_or_default();
            return Err(Error::UnexpectedCall(id.clone(), call));
        }
        program.ending = Some(ending);
        let unused = std::mem::take(&mut program.allowance);
        let account = program.spec.account.clone();
        self.accounts.entry(account).or_default().held -= unused;
        Ok(())
    }

    fn settle(&mut self) {
        for program in self.programs.values_mut() {
            let unsettled = std::mem::take(&mut program.unsettled);
            if let Some(usage) = self.accounts.get_mut(&program.spec.account) {
                usage.held -= unsettled;
            }
        }
    }

    fn forget(&mut self, id: &ProgramId) -> Result<(), Error> {
        if self.program_mut(id)?.ending.is_none() {
            return Err(Error::UnexpectedCall(id.clone(), CallId::default()));
        }
        let Some(program) = self.programs.swap_remove(id) else {
            return Ok(());
        };
        if let Some(usage) = self.accounts.get_mut(&program.spec.account) {
            usage.held -= program.unsettled;
            usage.spent += program.unsettled;
        }
        if let Some(key) = &program.spec.key {
            self.keys.swap_remove(&scoped_key(&program.spec.team, key));
        }
        Ok(())
    }
}

/// Ends the open call with an unknown outcome if it must not run again.
fn close_non_idempotent_call(program: &mut Program) {
    let interrupted = program.open.take_if(|open| !open.call.work.idempotent());
    if let Some(open) = interrupted {
        program.turns.push(Turn { call: open.call, outcome: Outcome::Unknown });
    }
}

fn scoped_key(team: &str, key: &str) -> CompactString {
    compact_str::format_compact!("{team}/{key}")
}
