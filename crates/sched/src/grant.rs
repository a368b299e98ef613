//! Ledger of one budget account, drawn from by several logs.
//!
//! The ledger lives in the key-value service and changes only by compare-and-swap. A log may use
//! no more of the account than its grant. A grant carries the epoch of the owner that last touched
//! it: an owner that lost its log cannot return tokens that its successor may have used.

use crate::id::{Epoch, LogId, Tokens, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Tokens granted to one log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Owner that last touched the grant.
    pub epoch: Epoch,
    /// Tokens that the log may use in all.
    pub tokens: Tokens,
}

/// Grants of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Configuration version that last set the limit.
    pub version: Version,
    /// Most tokens granted in all.
    pub limit: Tokens,
    /// Grants by log.
    pub logs: IndexMap<LogId, Grant>,
}

/// What an owner asks of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The log.
    pub log: LogId,
    /// Its owner's epoch.
    pub epoch: Epoch,
    /// Tokens that the log uses now.
    pub used: Tokens,
    /// Tokens that the log wants to hold in all.
    pub wanted: Tokens,
    /// Configuration version that the owner has applied.
    pub version: Version,
    /// The account's limit in that version.
    pub limit: Tokens,
}

/// Why the ledger did not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A later owner of the log has touched the grant.
    #[error("a later owner holds the grant")]
    Fenced,
    /// The ledger follows a later configuration than the owner.
    #[error("the owner's configuration is behind the ledger's")]
    OutdatedConfig,
}

impl Ledger {
    /// Sets the log's grant to what it wants, as far as the limit allows, and never below its use.
    ///
    /// Returns the log's grant from here on.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] and leaves the ledger unchanged for an owner that is out of date.
    pub fn update_grant(&mut self, request: Request) -> Result<Tokens, Rejection> {
        if request.version < self.version {
            return Err(Rejection::OutdatedConfig);
        }
        let current = self.logs.get(&request.log).copied().unwrap_or_default();
        if request.epoch < current.epoch {
            return Err(Rejection::Fenced);
        }
        self.version = request.version;
        self.limit = request.limit;
        let others = self.total_granted() - current.tokens;
        let free = self.limit.saturating_sub(others);
        let tokens = request.wanted.min(free).max(request.used.min(current.tokens));
        self.logs.insert(request.log, Grant { epoch: request.epoch, tokens });
        Ok(tokens)
    }

    /// Tokens granted to all logs.
    pub fn total_granted(&self) -> Tokens {
        self.logs.values().map(|grant| grant.tokens).sum()
    }
}
