//! Restoration of turns that an earlier owner answered without making them durable.

use super::Control;
use super::event::ReplySender;
use super::operations::{program_not_found, push_record};
use super::owned::Continuation;
use crate::receipt::Receipt;
use peer::wire::{Principal, Reply};
use sched::call::{Outcome, Turn};
use sched::id::{LogId, ProgramId};
use sched::record::Record;
use sched::refusal::{Code, Refusal};

impl Control {
    /// Restores turns from receipts, and replies once they are durable.
    pub(super) fn restore_and_reply(
        &mut self,
        log: LogId,
        principal: &Principal,
        program: &ProgramId,
        receipts: &[String],
        replies: &ReplySender,
    ) -> Result<(), Refusal> {
        self.authorized_program(log, principal, program)?;
        self.restore_turns(log, program, receipts)?;
        let owned = self.owned_log(log)?;
        owned.on_durable(Continuation::Reply { replies: replies.clone(), reply: Reply::Done });
        Ok(())
    }

    /// Restores the turns of `receipts` in order.
    ///
    /// Skips turns whose outcome is known already, and skips all turns while the program has an
    /// active call or after it has ended.
    ///
    /// # Errors
    ///
    /// Refuses a receipt that is damaged, belongs to another program or is rejected by the log.
    /// Turns of the receipts before it stay restored.
    pub(super) fn restore_turns(
        &mut self,
        log: LogId,
        program: &ProgramId,
        receipts: &[String],
    ) -> Result<(), Refusal> {
        let key = self.shared.settings.keys.cluster.clone();
        for text in receipts {
            let receipt = Receipt::verify(text, key.as_bytes())
                .map_err(|error| Refusal::not_run(Code::Malformed, error.to_string()))?;
            if receipt.program != *program {
                let message = "the receipt belongs to another program";
                return Err(Refusal::not_run(Code::Malformed, message));
            }
            self.restore_turn(log, program, receipt.turn)?;
        }
        Ok(())
    }

    fn restore_turn(&mut self, log: LogId, program: &ProgramId, turn: Turn) -> Result<(), Refusal> {
        let running = self.active_calls.contains_key(program);
        let owned = self.owned_log(log)?;
        let Some(found) = owned.state.programs.get(program) else {
            return Err(program_not_found());
        };
        let known = found.turn(&turn.call.id).is_some_and(|turn| turn.outcome != Outcome::Unknown);
        if running || found.ending.is_some() || known {
            return Ok(());
        }
        metrics::counter!("turns_restored_total").increment(1);
        push_record(owned, Record::Restore { program: program.clone(), turn })
    }
}
