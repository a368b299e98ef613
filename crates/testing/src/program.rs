//! Builders of the calls that test programs make.

use caller::api::Call;
use compact_str::format_compact;
use sched::call::Work;
use sched::id::{Seq, Tokens};

/// Builds a model call whose answer has `length` tokens, unless `max_tokens` is lower.
pub fn model(seq: Seq, text: &str, length: Tokens, max_tokens: Tokens) -> Call {
    let prompt = format!("{text} [[len={length}]]");
    call(seq, Work::Model { prompt, max_tokens })
}

/// Builds a call to a plain service.
pub fn service(seq: Seq, pool: &str, op: &str, body: &str, idempotent: bool) -> Call {
    let work =
        Work::Service { service: pool.into(), op: op.into(), body: body.to_owned(), idempotent };
    call(seq, work)
}

fn call(seq: Seq, work: Work) -> Call {
    Call { call: format_compact!("c{seq}"), seq, work, within_ms: None, receipts: Vec::new() }
}
