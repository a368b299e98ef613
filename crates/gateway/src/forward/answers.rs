//! Whole answers that are read before they are passed on.
//!
//! An endpoint in trouble may send without end, and several may at once. So an answer may grow a little
//! by itself, and beyond that within what all long answers may take together; short ones always fit.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Part of an answer that counts for itself alone, in bytes.
const OWN_BYTES: usize = 64 << 10;
/// Bytes of all answers beyond that.
const MAX_SHARED_BYTES: usize = 12 << 20;

/// Why an answer is not whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Its endpoint broke off.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// It is longer than any answer may be.
    #[error("the answer is longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// Long answers take all that they may.
    #[error("too many long answers are read at the same time")]
    NoRoom,
}

/// What long answers take together.
#[derive(Clone, Debug, Default)]
pub struct Room(Arc<AtomicUsize>);

/// What one answer takes; dropping it gives that back.
struct Part<'a> {
    room: &'a Room,
    bytes: usize,
}

impl Part<'_> {
    /// Grows to an answer of `length` bytes; tells whether there is room.
    fn grow(&mut self, length: usize) -> bool {
        let more = length.saturating_sub(OWN_BYTES).saturating_sub(self.bytes);
        let before = self.room.0.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        more == 0 || before + more <= MAX_SHARED_BYTES
    }
}

impl Drop for Part<'_> {
    fn drop(&mut self) {
        self.room.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Room {
    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// Returns why it is not whole.
    pub async fn collect(&self, mut body: Incoming) -> Result<Bytes, Error> {
        let mut part = Part { room: self, bytes: 0 };
        let mut answer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(bytes) = frame?.into_data() else {
                continue;
            };
            let length = answer.len() + bytes.len();
            if length > MAX_ANSWER_BYTES {
                return Err(Error::TooLong);
            }
            if !part.grow(length) {
                return Err(Error::NoRoom);
            }
            answer.extend_from_slice(&bytes);
        }
        Ok(answer.freeze())
    }
}
