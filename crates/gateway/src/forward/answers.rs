//! Buffers for responses that are read to their end before they are forwarded.
//!
//! A faulty endpoint may send without end, and several may do so at once. Each response may
//! therefore use a small amount of memory of its own, and beyond that a share of a limit common to
//! all responses. Short responses always fit.

use crate::answer::Body;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Maximum size of one response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Size of a response up to which it does not count towards the common limit, in bytes.
const UNSHARED_BYTES: usize = 64 << 10;
/// Common limit of what all responses use beyond [`UNSHARED_BYTES`], in bytes.
const MAX_SHARED_BYTES: usize = 12 << 20;

/// Why a response was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection to the endpoint failed.
    #[error("{0}")]
    Interrupted(#[from] hyper::Error),
    /// The response exceeds the maximum size.
    #[error("the response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The response would exceed the common limit.
    #[error("too many long responses are being read at the same time")]
    LimitExceeded,
}

/// Limits the memory that all buffered responses use together; clones share one limit.
#[derive(Clone, Debug, Default)]
pub struct Limiter(Arc<AtomicUsize>);

/// Size of the pieces in which a response is passed on, so that the connection's buffer holds little
/// of it.
const PIECE_BYTES: usize = 32 << 10;

/// One response's use of the common limit; released when dropped.
#[derive(Debug)]
struct Usage {
    limiter: Limiter,
    bytes: usize,
}

impl Usage {
    /// Accounts for a response that has grown to `length` bytes; returns whether it fits in the
    /// limit.
    fn grow(&mut self, length: usize) -> bool {
        let more = length.saturating_sub(UNSHARED_BYTES).saturating_sub(self.bytes);
        let before = self.limiter.0.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        more == 0 || before + more <= MAX_SHARED_BYTES
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.limiter.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Limiter {
    /// Reads a response body to its end.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the endpoint fails or a limit is exceeded.
    pub async fn collect(&self, mut body: Incoming) -> Result<Collected, Error> {
        let mut usage = Usage { limiter: self.clone(), bytes: 0 };
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(bytes) = frame?.into_data() else {
                continue;
            };
            let length = buffer.len() + bytes.len();
            if length > MAX_RESPONSE_BYTES {
                return Err(Error::TooLong);
            }
            if !usage.grow(length) {
                return Err(Error::LimitExceeded);
            }
            buffer.extend_from_slice(&bytes);
        }
        Ok(Collected { bytes: buffer.freeze(), _usage: usage })
    }
}

/// A response that was read to its end; counts towards the common limit until it is written.
#[derive(Debug)]
pub struct Collected {
    bytes: Bytes,
    _usage: Usage,
}

impl Collected {
    /// Returns the response as a body.
    pub fn into_body(self) -> Body {
        self.map_err(|never| match never {}).boxed_unsync()
    }
}

impl hyper::body::Body for Collected {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = self.bytes.len().min(PIECE_BYTES);
        let piece = (length > 0).then(|| Ok(Frame::data(self.bytes.split_to(length))));
        Poll::Ready(piece)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
