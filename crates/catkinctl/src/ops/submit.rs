//! Runs a program of one model turn.

use anyhow::Result;
use caller::api::{Call, Create};
use caller::client::Client;
use sched::call::Work;

/// Maximum number of tokens in the answer.
const MAX_TOKENS: u64 = 1_000;

/// Creates a program, makes one model turn with `prompt`, finishes the program and prints the
/// answer.
///
/// # Errors
///
/// Returns an error when the daemon refuses a request or does not respond.
pub async fn run(addr: &str, token: &str, pool: &str, account: &str, prompt: &str) -> Result<()> {
    let mut client = Client::new(&[addr.into()], token, 0);
    let create = Create {
        pool: pool.into(),
        account: account.into(),
        budget: MAX_TOKENS,
        kind: "try".into(),
        ..Create::default()
    };
    let program = client.create(&create).await?;
    let work = Work::Model { prompt: prompt.to_owned(), max_tokens: MAX_TOKENS };
    let call = Call { call: "turn".into(), seq: 1, work, within_ms: None, receipts: Vec::new() };
    let answer = client.call(&program, &call).await?;
    client.finish(&program).await?;
    println!("{}", answer.text);
    let (first_ms, total_ms) =
        (answer.time_to_first_text.as_secs_f64() * 1e3, answer.total_time.as_secs_f64() * 1e3);
    eprintln!(
        "program {program}: first text after {first_ms:.1} ms, complete after {total_ms:.1} ms"
    );
    Ok(())
}
