//! Bounds the connections of clients, so that descriptors are left for endpoints and peers.
//!
//! At the limit, the connection that has waited longest for a request is closed for a new one, then
//! one whose client does not read. The client of an ordinary request sends it at once, so it is not
//! the one that waited longest.

use crate::answer::Body;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use indexmap::IndexMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time without reading after which the connection of a client may be closed for a new one.
const UNREAD_AFTER: Duration = Duration::from_secs(10);
/// Descriptors that are not for connections: files, the listeners and the runtime.
const RESERVED_DESCRIPTORS: usize = 100;
/// Memory that a connection may use for its buffers and its state, in bytes.
const CONNECTION_BYTES: usize = 24 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No request is in progress since this time, or its head has not arrived completely.
    Waiting(Instant),
    /// A request is in progress.
    Serving,
    /// A part of a response waits since this time until the client reads.
    Writing(Instant),
}

struct Entry {
    state: State,
    close: Arc<Notify>,
}

#[derive(Default)]
struct Registry {
    entries: IndexMap<u64, Entry>,
    next_id: u64,
}

/// Connections of clients; clones share one registry.
#[derive(Clone)]
pub struct Connections {
    registry: Arc<Mutex<Registry>>,
    limit: usize,
}

/// A connection in the registry; removed when dropped.
pub struct Connection {
    connections: Connections,
    id: u64,
    close: Arc<Notify>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().entries.swap_remove(&self.id);
    }
}

impl Connection {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Records that a request is in progress; the returned handle follows its response.
    pub fn begin(&self) -> Exchange {
        let exchange = Exchange { connections: self.connections.clone(), id: self.id };
        exchange.set(State::Serving);
        exchange
    }
}

/// A request in progress on a connection.
pub struct Exchange {
    connections: Connections,
    id: u64,
}

impl Exchange {
    fn set(&self, state: State) {
        if let Some(entry) = self.connections.lock().entries.get_mut(&self.id) {
            entry.state = state;
        }
    }

    /// Returns a response body that tells whether the client reads it.
    pub fn follow(self, body: Body) -> Followed {
        Followed { body, exchange: self }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.set(State::Waiting(Instant::now()));
    }
}

/// A response body whose progress is recorded.
pub struct Followed {
    body: Body,
    exchange: Exchange,
}

impl hyper::body::Body for Followed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        // The next part is polled only once this one is written.
        self.exchange.set(match polled.is_ready() {
            true => State::Writing(Instant::now()),
            false => State::Serving,
        });
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Connections {
    /// Creates a registry of up to `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { registry: Arc::default(), limit }
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, and closes another one if there are too many; returns `None` if the new one
    /// has to be closed instead.
    pub fn open(&self, now: Instant) -> Option<Connection> {
        let mut registry = self.lock();
        if registry.entries.len() >= self.limit {
            metrics::counter!("client_connections_over_limit_total").increment(1);
            let victim = registry.victim(now)?;
            if let Some(entry) = registry.entries.swap_remove(&victim) {
                entry.close.notify_one();
            }
        }
        registry.next_id += 1;
        let (id, close) = (registry.next_id, Arc::new(Notify::new()));
        registry.entries.insert(id, Entry { state: State::Waiting(now), close: close.clone() });
        Some(Connection { connections: self.clone(), id, close })
    }

    /// Closes connections whose clients have not read for `timeout`.
    pub fn close_unread(&self, timeout: Duration, now: Instant) {
        for entry in self.lock().entries.values() {
            if let State::Writing(since) = entry.state
                && now.saturating_duration_since(since) >= timeout
            {
                metrics::counter!("client_connections_unread_total").increment(1);
                entry.close.notify_one();
            }
        }
    }
}

impl Registry {
    /// Returns the connection to close for a new one.
    fn victim(&self, now: Instant) -> Option<u64> {
        let candidates = self.entries.iter().filter_map(|(id, entry)| match entry.state {
            State::Waiting(since) => Some((false, since, *id)),
            State::Writing(since) if now.saturating_duration_since(since) >= UNREAD_AFTER => {
                Some((true, since, *id))
            }
            State::Writing(_) | State::Serving => None,
        });
        candidates.min().map(|(_, _, id)| id)
    }
}

/// Returns the maximum number of clients' connections of this process.
///
/// `memory` is the part of the VM's memory for connections, in bytes.
pub fn limit(memory: usize) -> usize {
    let mut descriptors = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: `descriptors` is a valid place for the result.
    let found = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut descriptors) };
    let descriptors = match found {
        0 => usize::try_from(descriptors.rlim_cur).unwrap_or(usize::MAX),
        _ => usize::MAX,
    };
    let for_clients = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 4 * 3;
    for_clients.min(memory / CONNECTION_BYTES).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_connection_that_waited_longest_is_closed_for_a_new_one() {
        let (connections, now) = (Connections::new(2), Instant::now());
        let first = connections.open(now).expect("a place");
        let second = connections.open(now + Duration::from_secs(1)).expect("a place");
        let _serving = first.begin();
        assert!(connections.open(now + Duration::from_secs(2)).is_some());
        let is_listed =
            |connection: &Connection| connections.lock().entries.contains_key(&connection.id);
        assert!(is_listed(&first) && !is_listed(&second));
    }

    #[test]
    fn a_new_connection_is_closed_while_all_others_serve() {
        let (connections, now) = (Connections::new(1), Instant::now());
        let first = connections.open(now).expect("a place");
        let exchange = first.begin();
        assert!(connections.open(now).is_none());
        exchange.set(State::Writing(now));
        assert!(connections.open(now + UNREAD_AFTER).is_some());
    }
}
