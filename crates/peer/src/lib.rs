//! Calls between daemons.
//!
//! Each daemon keeps one `h2` connection to each peer that it talks to. A call is one `h2` stream:
//! the caller sends one [`wire::Request`] and the other side answers with [`wire::Reply`] frames
//! until it ends the stream. Frames are `bincode` with a length before each. Both ends prove with a
//! keyed handshake that they hold the cluster's key before any request is taken.

mod auth;
pub mod client;
mod frame;
pub mod gateway;
pub mod server;
pub mod wire;

use std::io;

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request never left this daemon.
    #[error("the peer is out of reach: {0}")]
    Unsent(String),
    /// The peer may have taken the request.
    #[error("the peer broke off: {0}")]
    Interrupted(String),
    /// The other side does not hold the cluster's key.
    #[error("the peer failed the keyed handshake")]
    Unauthenticated,
    /// A frame cannot be decoded or is too long.
    #[error("malformed frame: {0}")]
    Malformed(String),
}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Self::Interrupted(error.to_string())
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Unsent(error.to_string())
    }
}
