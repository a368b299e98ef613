//! A program of one model turn, for a try.

use anyhow::Result;
use caller::api::{Call, Create};
use caller::client::Client;
use sched::call::Work;

/// Most tokens of the answer.
const MAX_TOKENS: u64 = 1_000;

/// Creates a program, makes one model turn, and prints its answer.
///
/// # Errors
///
/// Returns an error with the daemon's refusal.
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
    let (first, total) =
        (answer.time_to_first_text.as_secs_f64() * 1e3, answer.total_time.as_secs_f64() * 1e3);
    eprintln!("program {program}: first token after {first:.1} ms, all after {total:.1} ms");
    Ok(())
}
