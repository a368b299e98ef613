//! Updates of logs' grants in the ledgers of budget accounts.

use super::backoff;
use super::keys;
use platform::kv::{Client, Error, WriteOutcome};
use sched::grant::{Ledger, Rejection, Request};
use sched::id::Tokens;

/// Maximum number of attempts of an update that fails or conflicts with other logs' updates.
const MAX_ATTEMPTS: usize = 12;

/// Why an update did not return the log's grant.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The key-value service failed.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The ledger rejected the request, since the owner or its configuration is out of date.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The ledger cannot be decoded.
    #[error("the account's ledger is damaged")]
    Damaged,
    /// Other logs changed the ledger during each attempt.
    #[error("the account's ledger is contended")]
    Contended,
}

/// Updates a log's grant in the ledger of an account and returns the grant, in tokens.
///
/// An update whose answer was lost is retried, since repeating it results in the same grant.
///
/// # Errors
///
/// Returns a [`Failure`]. The grant may have changed in the ledger; the next successful update
/// returns its current value.
pub async fn update(kv: &Client, account: &str, request: Request) -> Result<Tokens, Failure> {
    let mut backoff = backoff::platform();
    let mut failure = Failure::Contended;
    for _ in 0..MAX_ATTEMPTS {
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
