//! Calls between daemons.
//!
//! Each daemon keeps one `h2` connection to each peer that it calls. A call is one `h2` stream: the
//! client sends one [`wire::Request`], and the server answers with [`wire::Reply`] frames until it
//! ends the stream. Frames are length-prefixed `bincode`. Before the server accepts requests on a
//! connection, both sides prove in a handshake that they hold the cluster key.

mod auth;
pub mod client;
mod frame;
pub mod gateway;
pub mod server;
pub mod tunnel;
pub mod wire;

use std::io;

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not sent.
    #[error("cannot reach peer: {0}")]
    Unsent(String),
    /// The call failed after the peer may have received the request.
    #[error("call to peer interrupted: {0}")]
    Interrupted(String),
    /// The peer does not hold the cluster key.
    #[error("peer authentication failed")]
    Unauthenticated,
    /// A frame cannot be encoded or decoded, or exceeds the size limit.
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
