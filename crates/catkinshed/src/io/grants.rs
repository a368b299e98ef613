//! Drawing from account ledgers.

use super::backoff;
use super::keys;
use platform::kv::{Client, Error, WriteOutcome};
use sched::grant::{Ledger, Rejection, Request};
use sched::id::Tokens;

/// Tries of a draw that races with others or meets failures.
const TRIES: usize = 12;

/// Why a log's grant is not known.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The key-value service failed.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The owner is out of date.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The ledger is damaged.
    #[error("the account's ledger is damaged")]
    Damaged,
    /// Other logs changed the ledger each time.
    #[error("the account's ledger is contended")]
    Contended,
}

/// Sets a log's grant and returns it.
///
/// Repeating a draw whose answer was lost gives the same grant, so it is tried again.
///
/// # Errors
///
/// Returns a [`Failure`]; the grant is then what the ledger says, and a later draw learns it.
pub async fn update(kv: &Client, account: &str, request: Request) -> Result<Tokens, Failure> {
    let mut backoff = backoff::platform();
    let mut failure = Failure::Contended;
    for _ in 0..TRIES {
        match update_once(kv, account, request).await {
            Ok(Some(tokens)) => return Ok(tokens),
            Ok(None) => failure = Failure::Contended,
            Err(Failure::Platform(error)) => failure = Failure::Platform(error),
            Err(Failure::Rejected(Rejection::OutdatedConfig)) => {
                failure = Failure::Rejected(Rejection::OutdatedConfig)
            }
            Err(other) => return Err(other),
        }
        backoff.wait().await;
    }
    Err(failure)
}

async fn update_once(
    kv: &Client,
    account: &str,
    request: Request,
) -> Result<Option<Tokens>, Failure> {
    let key = keys::ledger(account);
    let entry = kv.get(&key).await?;
    let revision = entry.as_ref().map_or(0, |entry| entry.revision);
    let mut ledger = match &entry {
        Some(entry) => serde_json::from_slice(&entry.value).map_err(|_| Failure::Damaged)?,
        None => Ledger::default(),
    };
    let tokens = ledger.update_grant(request)?;
    let value = serde_json::to_vec(&ledger).map_err(|_| Failure::Damaged)?;
    match kv.compare_and_swap(&key, &value, revision, None).await? {
        WriteOutcome::Done(_) => Ok(Some(tokens)),
        WriteOutcome::Conflict => Ok(None),
    }
}
