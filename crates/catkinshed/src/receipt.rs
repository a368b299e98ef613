//! Signed receipts for turns that are not durable yet.
//!
//! While the key-value service is unreachable, a caller gets the outcome of its call together with a
//! receipt, and sends the receipt back with its next call. If the owner that answered was lost before
//! the turn was durable, the next owner does not know the turn and restores it from the receipt.
//!
//! A receipt is the base64 encoding of an HMAC-SHA256 tag under the cluster key, followed by the
//! compressed turn. It is authenticated, not encrypted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, Mac};
use sched::call::Turn;
use sched::id::ProgramId;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of the HMAC tag in front of the body, in bytes.
const TAG_BYTES: usize = 32;
/// Zstandard compression level.
const COMPRESSION_LEVEL: i32 = 1;
/// Maximum length of the decompressed body of a receipt, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reason why a receipt was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The tag does not match the body under the cluster key.
    #[error("the receipt was not signed by this cluster")]
    InvalidSignature,
    /// The text cannot be decoded.
    #[error("the receipt is malformed")]
    Malformed,
}

/// Copy of a turn for the caller to keep until the turn is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The program that the turn belongs to.
    pub program: ProgramId,
    /// The turn, which may not be durable.
    pub turn: Turn,
}

impl Receipt {
    /// Encodes the receipt and signs it with the cluster key. Returns `None` if encoding fails.
    pub fn sign(&self, key: &[u8]) -> Option<String> {
        let encoded = bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()?;
        let body = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL).ok()?;
        let mut signed = mac(key, &body).finalize().into_bytes().to_vec();
        signed.extend_from_slice(&body);
        Some(STANDARD.encode(signed))
    }

    /// Verifies and decodes a signed receipt.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the text cannot be decoded or was not signed with this key.
    pub fn verify(text: &str, key: &[u8]) -> Result<Self, Error> {
        let signed = STANDARD.decode(text).map_err(|_| Error::Malformed)?;
        let (tag, body) = signed.split_at_checked(TAG_BYTES).ok_or(Error::Malformed)?;
        mac(key, body).verify_slice(tag).map_err(|_| Error::InvalidSignature)?;
        let encoded = zstd::bulk::decompress(body, MAX_BODY_BYTES).map_err(|_| Error::Malformed)?;
        let decoded = bincode::serde::decode_from_slice(&encoded, bincode::config::standard());
        decoded.map(|(receipt, _)| receipt).map_err(|_| Error::Malformed)
    }
}

fn mac(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(b"catkinshed receipt");
    mac.update(body);
    mac
}
