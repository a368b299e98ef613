//! State of one program.
//!
//! A program's tokens are split four ways, and `spent + unsettled + allowance <= budget` always
//! holds. `spent` was charged by outcomes. `allowance` is set aside durably, so that a call within
//! it may leave before its intent is durable. `unsettled` is the allowance of an owner that lost
//! the log without handing it off: it may have been spent, so it counts as spent until settled.

use crate::call::{Call, Outcome, Turn};
use crate::id::{CallId, EndpointId, Seq, Tokens};
use crate::record::{Ending, Spec};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// A program's call that has an intent and no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The call.
    pub call: Call,
    /// Where it was last sent.
    pub endpoint: Option<EndpointId>,
}

/// One program as its log records it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// What it was created with.
    pub spec: Spec,
    /// Tokens charged by outcomes.
    pub spent: Tokens,
    /// Tokens set aside durably for coming calls.
    pub allowance: Tokens,
    /// Tokens that an earlier owner may have spent.
    pub unsettled: Tokens,
    /// Calls that ended, in order.
    pub turns: Vec<Turn>,
    /// The call that may be running.
    pub open: Option<OpenCall>,
    /// Endpoints that hold engine memory for the program.
    pub pins: IndexSet<EndpointId>,
    /// How it ended, once it has.
    pub ending: Option<Ending>,
}

impl Program {
    /// Tokens that no call may use any more.
    pub fn committed(&self) -> Tokens {
        self.spent + self.unsettled + self.allowance
    }

    /// Tokens that an allowance may still grow by.
    pub fn uncommitted(&self) -> Tokens {
        self.spec.budget.saturating_sub(self.committed())
    }

    /// Position of the next call.
    pub fn next_seq(&self) -> Seq {
        self.turns.len() as Seq + 1
    }

    /// Finds an ended call by its id.
    pub fn turn(&self, call: &CallId) -> Option<&Turn> {
        self.turns.iter().rev().find(|turn| turn.call.id == *call)
    }

    /// Appends a turn that was answered outside the log; fails when it is not the next one.
    pub(crate) fn append_restored(&mut self, turn: &Turn) -> Result<(), ()> {
        let foreign = self.open.as_ref().is_some_and(|open| open.call.id != turn.call.id);
        if foreign || turn.call.seq != self.next_seq() {
            return Err(());
        }
        self.open = None;
        self.turns.push(turn.clone());
        Ok(())
    }

    /// Whole history as one prompt, the text of ended turns in order.
    pub fn transcript(&self) -> String {
        let mut text = String::new();
        for turn in &self.turns {
            text.push_str(turn.call.work.text());
            text.push('\n');
            if let Outcome::Done { text: answer, .. } = &turn.outcome {
                text.push_str(answer);
                text.push('\n');
            }
        }
        text
    }
}
