//! Ledger of one budget account that is shared by several logs.
//!
//! The ledger is stored in the key-value service and changes only by compare-and-swap. A log may
//! use no more of the account than its grant. A grant carries the epoch of the owner that last
//! updated it, so an owner that lost its log cannot return tokens that its successor may have used.

use crate::id::{Epoch, LogId, Tokens, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Tokens granted to one log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner that last updated the grant.
    pub epoch: Epoch,
    /// Total number of tokens that the log may use.
    pub tokens: Tokens,
}

/// Limit of one account and the grants to its logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Configuration version that last set the limit.
    pub version: Version,
    /// Maximum number of tokens granted to all logs together.
    pub limit: Tokens,
    /// Grants by log.
    pub logs: IndexMap<LogId, Grant>,
}

/// Request of a log's owner to update the log's grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Log whose grant is updated.
    pub log: LogId,
    /// Epoch of the log's owner.
    pub epoch: Epoch,
    /// Tokens that the log uses now.
    pub used: Tokens,
    /// Total number of tokens that the log requests.
    pub wanted: Tokens,
    /// Configuration version that the owner has applied.
    pub version: Version,
    /// Account's limit in that version.
    pub limit: Tokens,
}

/// Reason why the ledger rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A later owner of the log has updated the grant.
    #[error("a later owner of the log has updated the grant")]
    Fenced,
    /// The owner's configuration is older than the ledger's.
    #[error("the owner's configuration is older than the ledger's")]
    OutdatedConfig,
}

impl Ledger {
    /// Sets the log's grant to the requested tokens, as far as the limit allows.
    ///
    /// Never reduces the grant below the tokens that the log uses. Returns the new grant in tokens.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] and leaves the ledger unchanged if the owner is out of date.
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
        let granted_to_others = self.total_granted() - current.tokens;
        let available = self.limit.saturating_sub(granted_to_others);
        let tokens = request.wanted.min(available).max(request.used.min(current.tokens));
        self.logs.insert(request.log, Grant { epoch: request.epoch, tokens });
        Ok(tokens)
    }

    /// Returns the tokens granted to all logs together.
    pub fn total_granted(&self) -> Tokens {
        self.logs.values().map(|grant| grant.tokens).sum()
    }
}
