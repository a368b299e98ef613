//! Keyed handshake.
//!
//! The client sends a nonce; the server answers with its own and a code over both; the client
//! answers with a code over both in the other order. A code is HMAC-SHA256 under the cluster's key.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a nonce.
pub(crate) const NONCE_BYTES: usize = 32;
/// Bytes of a code.
pub(crate) const CODE_BYTES: usize = 32;

/// Random bytes that make a handshake unrepeatable.
pub(crate) type Nonce = [u8; NONCE_BYTES];

/// Side that a code is made by.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    Client,
    Server,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"catkinshed peer client",
            Self::Server => b"catkinshed peer server",
        }
    }
}

pub(crate) fn nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).expect("the system has a source of random bytes");
    nonce
}

/// Makes the code of `side` over both nonces.
pub(crate) fn code(key: &[u8], side: Side, client: &Nonce, server: &Nonce) -> Vec<u8> {
    hasher(key, side, client, server).finalize().into_bytes().to_vec()
}

/// Checks a code in constant time.
pub(crate) fn verify(key: &[u8], side: Side, client: &Nonce, server: &Nonce, code: &[u8]) -> bool {
    hasher(key, side, client, server).verify_slice(code).is_ok()
}

fn hasher(key: &[u8], side: Side, client: &Nonce, server: &Nonce) -> Hmac<Sha256> {
    let mut hasher = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any key length is valid");
    hasher.update(side.label());
    hasher.update(client);
    hasher.update(server);
    hasher
}
