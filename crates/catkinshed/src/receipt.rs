//! Sealed receipts for turns that are not durable yet.
//!
//! While the key-value service is out of reach, a caller gets its answer with a receipt. It hands
//! the receipt back with its next call; an owner that does not know the turn, because the one that
//! answered was lost, restores it from the receipt. A receipt is the turn, compressed, with an
//! HMAC-SHA256 code under the cluster's key, in base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, Mac};
use sched::call::Turn;
use sched::id::ProgramId;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of the code before the body.
const CODE_BYTES: usize = 32;
/// Compression level.
const LEVEL: i32 = 1;
/// Longest turn that a receipt may hold, in bytes.
const MAX_TURN_BYTES: usize = 4 << 20;

/// A receipt that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is no receipt of this cluster.
    #[error("the receipt was not sealed by this cluster")]
    InvalidSignature,
    /// The body cannot be read.
    #[error("the receipt is damaged")]
    Malformed,
}

/// A turn and the program that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: Turn,
}

impl Receipt {
    /// Seals the receipt under the cluster's key; `None` when the turn cannot be encoded.
    pub fn sign(&self, key: &[u8]) -> Option<String> {
        let plain = bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()?;
        let body = zstd::bulk::compress(&plain, LEVEL).ok()?;
        let mut sealed = hasher(key, &body).finalize().into_bytes().to_vec();
        sealed.extend_from_slice(&body);
        Some(STANDARD.encode(sealed))
    }

    /// Opens a sealed receipt.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the text was not sealed under this key.
    pub fn verify(text: &str, key: &[u8]) -> Result<Self, Error> {
        let sealed = STANDARD.decode(text).map_err(|_| Error::Malformed)?;
        let (code, body) = sealed.split_at_checked(CODE_BYTES).ok_or(Error::Malformed)?;
        hasher(key, body).verify_slice(code).map_err(|_| Error::InvalidSignature)?;
        let plain = zstd::bulk::decompress(body, MAX_TURN_BYTES).map_err(|_| Error::Malformed)?;
        let decoded = bincode::serde::decode_from_slice(&plain, bincode::config::standard());
        decoded.map(|(receipt, _)| receipt).map_err(|_| Error::Malformed)
    }
}

fn hasher(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
    let mut hasher = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any key length is valid");
    hasher.update(b"catkinshed receipt");
    hasher.update(body);
    hasher
}
