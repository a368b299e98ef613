//! `explain program`: explains why a program is in its current state.

use super::{Error, message_response};
use crate::http::App;
use compact_str::CompactString;
use operator::api::Response;
use peer::wire::{Activity, ProgramRow, Query};

/// Explains what a program's current call does or waits for.
pub(super) async fn run(app: &App, program: &CompactString) -> Result<Response, Error> {
    let cluster_status = app.gather(&Query { programs: true, endpoints: false }).await;
    let rows = cluster_status.statuses.iter().flat_map(|status| &status.programs);
    let row = rows.into_iter().find(|row| row.program == *program);
    let silent = cluster_status.unresponsive.clone();
    match row {
        Some(row) => Ok(Response { silent, ..message_response(explain(row)) }),
        None if !silent.is_empty() => {
            let names = silent.join(", ");
            Err(Error::OutcomeUnknown(format!(
                "no daemon that answered knows the program, and these did not answer: {names}"
            )))
        }
        None => Err(Error::NoSuchProgram(program.clone())),
    }
}

fn explain(row: &ProgramRow) -> String {
    let subject =
        format!("{} (team {}, at {}), for {} ms", row.program, row.team, row.vm, row.for_ms);
    let cause = match &row.activity {
        Activity::Running { endpoint, tokens, slow: false } => {
            format!("call {} runs at {endpoint} and has {tokens} tokens", row.seq)
        }
        Activity::Running { endpoint, tokens, slow: true } => format!(
            "call {} runs at {endpoint}, which is slower than the rest of its pool, and has \
             {tokens} tokens; it moves when another endpoint has room",
            row.seq
        ),
        Activity::Queue { pool, open: 0, .. } => format!(
            "call {} waits because pool '{pool}' has no endpoint that accepts calls; \
             see 'show endpoints where pool = {pool}'",
            row.seq
        ),
        Activity::Queue { pool, ahead, open } => format!(
            "call {} waits in the queue of pool '{pool}' behind {ahead} calls; \
             {open} endpoints accept calls and all are full",
            row.seq
        ),
        Activity::Durability { platform_up: true } => {
            format!("call {} waits for its intent to become durable", row.seq)
        }
        Activity::Durability { platform_up: false } => format!(
            "call {} waits for its intent to become durable, and the key-value service is \
             unreachable",
            row.seq
        ),
        Activity::Budget { account } => format!(
            "call {} waits for tokens of budget '{account}'; {} of the program's {} are spent",
            row.seq, row.spent, row.budget
        ),
        Activity::Caller => format!("the caller has not made call {} yet", row.seq),
        Activity::Ended { ending } => format!("the program has ended: {ending:?}"),
    };
    format!("{subject}: {cause}")
}
