//! Reads bodies of clients' requests into a bounded account, see [`sched::holding`].

use crate::answer::Reason;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use indexmap::IndexMap;
use sched::holding::{Account, BodyId, SHORT_BYTES, Verdict};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Number of bytes by which the buffer of a body grows at least.
const MIN_GROWTH_BYTES: usize = 4 << 10;

struct State {
    account: Account,
    /// Senders that tell readers that their bodies are given up.
    readers: IndexMap<BodyId, oneshot::Sender<()>>,
}

/// Bodies that this process holds; clones share one account.
#[derive(Clone)]
pub struct Bodies {
    state: Arc<Mutex<State>>,
    stall_timeout: Duration,
}

/// Bytes that a body holds; released when dropped.
pub struct Holding {
    bodies: Bodies,
    id: BodyId,
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut state = self.bodies.lock();
        state.account.close(self.id);
        state.readers.swap_remove(&self.id);
        metrics::gauge!("held_body_bytes").set(state.account.held() as f64);
    }
}

impl Bodies {
    /// Creates an account of `limit` bytes. A body without a byte for `stall_timeout` is given up.
    pub fn new(limit: usize, stall_timeout: Duration) -> Self {
        let state = State { account: Account::new(limit), readers: IndexMap::new() };
        Self { state: Arc::new(Mutex::new(state)), stall_timeout }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a body of up to `max_bytes` to its end.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when the body cannot be read or held.
    pub async fn read(&self, body: Incoming, max_bytes: usize) -> Result<(Bytes, Holding), Reason> {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(Reason::TooLarge);
        }
        let (sender, mut given_up) = oneshot::channel();
        let holding = {
            let mut state = self.lock();
            let id = state.account.open(Instant::now());
            state.readers.insert(id, sender);
            Holding { bodies: self.clone(), id }
        };
        let read = tokio::select! {
            read = self.read_held(body, max_bytes, holding.id) => read,
            _ = &mut given_up => Err(Reason::BodyStalled),
        };
        if let Err(reason @ (Reason::BodyStalled | Reason::NoRoom)) = &read {
            metrics::counter!("bodies_given_up_total", "reason" => reason.name()).increment(1);
            log::info!(
                target: "ingress", held = self.lock().account.held(), reason = reason.name();
                "gave up a request's body"
            );
        }
        Ok((read?, holding))
    }

    async fn read_held(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        id: BodyId,
    ) -> Result<Bytes, Reason> {
        let mut buffer: Vec<u8> = Vec::new();
        loop {
            let frame = timeout(self.stall_timeout, body.frame()).await;
            let frame = frame.map_err(|_| Reason::BodyStalled)?;
            let Some(frame) = frame else {
                self.lock().account.complete(id);
                return Ok(buffer.into());
            };
            let Ok(bytes) = frame.map_err(|_| Reason::Malformed)?.into_data() else {
                continue;
            };
            let length = buffer.len() + bytes.len();
            if length > max_bytes {
                return Err(Reason::TooLarge);
            }
            if length > buffer.capacity() {
                let expected = body.size_hint().exact().map(|rest| length + rest as usize);
                let capacity = capacity_for(length, buffer.capacity(), expected).min(max_bytes);
                self.grow(id, capacity)?;
                buffer.reserve_exact(capacity - buffer.len());
            } else {
                self.lock().account.touch(id, Instant::now());
            }
            buffer.extend_from_slice(&bytes);
        }
    }

    /// Lets a body grow, and tells the readers of bodies that are given up for it.
    fn grow(&self, id: BodyId, bytes: usize) -> Result<(), Reason> {
        let mut state = self.lock();
        match state.account.grow(id, bytes, Instant::now()) {
            Verdict::Admitted(given_up) => {
                for id in given_up {
                    // A reader that is gone has closed its body.
                    let _ = state.readers.swap_remove(&id).map(|reader| reader.send(()));
                }
                metrics::gauge!("held_body_bytes").set(state.account.held() as f64);
                Ok(())
            }
            Verdict::Refused => Err(Reason::NoRoom),
        }
    }
}

/// Returns the capacity of a buffer that has to hold `length` bytes: a quarter more than before, so
/// that a body is rarely copied, but not more than it is `expected` to need.
fn capacity_for(length: usize, capacity: usize, expected: Option<usize>) -> usize {
    let grown = (capacity + capacity / 4).max(length + MIN_GROWTH_BYTES);
    match expected {
        Some(expected) if expected <= SHORT_BYTES => expected,
        Some(expected) => grown.min(expected),
        None => grown,
    }
}
