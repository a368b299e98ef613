//! State of one program.
//!
//! The budget of a program has four parts, and `spent + unsettled + allowance <= budget` always
//! holds. `spent` is charged for the outcomes of calls. `allowance` is reserved durably, so that a
//! call within it may be sent before its intent is durable. `unsettled` is the allowance left by an
//! owner that lost the log without a hand-off: it may have been spent, so it counts as spent until
//! it is settled. The rest is uncommitted.

use crate::call::{Call, Outcome, Turn};
use crate::id::{CallId, EndpointId, Seq, Tokens};
use crate::record::{Ending, Spec};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// A call with a recorded intent and no outcome yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The call.
    pub call: Call,
    /// Endpoint that the call was last sent to.
    pub endpoint: Option<EndpointId>,
}

/// The recorded state of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Parameters that the program was created with.
    pub spec: Spec,
    /// Tokens charged for the outcomes of calls.
    pub spent: Tokens,
    /// Tokens reserved durably for future calls.
    pub allowance: Tokens,
    /// Tokens that an earlier owner may have spent without recording them.
    pub unsettled: Tokens,
    /// Ended calls, in order.
    pub turns: Vec<Turn>,
    /// The call that may be running.
    pub open: Option<OpenCall>,
    /// Endpoints that keep engine memory for the program.
    pub pins: IndexSet<EndpointId>,
    /// How the program ended; `None` while it is running.
    pub ending: Option<Ending>,
}

impl Program {
    /// Returns the number of tokens that are spent, possibly spent or reserved.
    pub fn committed(&self) -> Tokens {
        self.spent + self.unsettled + self.allowance
    }

    /// Returns the number of tokens by which the allowance may still grow.
    pub fn uncommitted(&self) -> Tokens {
        self.spec.budget.saturating_sub(self.committed())
    }

    /// Returns the position of the next call.
    pub fn next_seq(&self) -> Seq {
        self.turns.len() as Seq + 1
    }

    /// Finds an ended call by its id.
    pub fn turn(&self, call: &CallId) -> Option<&Turn> {
        self.turns.iter().rev().find(|turn| turn.call.id == *call)
    }

    /// Appends a turn that an earlier owner answered but did not record; fails if it is not the
    /// next one.
    pub(crate) fn append_restored(&mut self, turn: &Turn) -> Result<(), ()> {
        let other_call_open = self.open.as_ref().is_some_and(|open| open.call.id != turn.call.id);
        if other_call_open || turn.call.seq != self.next_seq() {
            return Err(());
        }
        self.open = None;
        self.turns.push(turn.clone());
        Ok(())
    }

    /// Returns the history as one prompt, with the texts of the ended turns in order.
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
