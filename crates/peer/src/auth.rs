//! Handshake that authenticates both sides by the cluster key.
//!
//! The client sends a nonce, the server answers with a nonce and a code, and the client then sends
//! a code. A code is the HMAC-SHA256, under the cluster key, of a label for the side that sends it,
//! the client's nonce and the server's nonce.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;
/// Length of an authentication code, in bytes.
pub(crate) const CODE_BYTES: usize = 32;

/// Random bytes that protect a handshake against replay.
pub(crate) type Nonce = [u8; NONCE_BYTES];

/// Side of a connection that an authentication code belongs to.
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

pub(crate) fn random_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).expect("the system provides random bytes");
    nonce
}

/// Computes the code of `side` for a handshake with these nonces.
pub(crate) fn compute_code(key: &[u8], side: Side, client: &Nonce, server: &Nonce) -> Vec<u8> {
    hmac(key, side, client, server).finalize().into_bytes().to_vec()
}

/// Checks a code in constant time.
pub(crate) fn verify_code(
    key: &[u8],
    side: Side,
    client: &Nonce,
    server: &Nonce,
    code: &[u8],
) -> bool {
    hmac(key, side, client, server).verify_slice(code).is_ok()
}

fn hmac(key: &[u8], side: Side, client: &Nonce, server: &Nonce) -> Hmac<Sha256> {
    let mut hmac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any key length is valid");
    hmac.update(side.label());
    hmac.update(client);
    hmac.update(server);
    hmac
}
