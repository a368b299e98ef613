//! Connections to endpoints.
//!
//! A connection carries one request at a time. After a whole answer it waits a moment before it is
//! used again, so that bytes which an endpoint sends after its answer break the idle connection
//! instead of being read as the next answer; it is used again only well within the time for which
//! the endpoint keeps it open. A connection whose answer was not read to its end is closed, which
//! also cancels the work at the endpoint.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use sched::fleet::Registration;
use sched::id::EndpointId;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Idle time of a connection of which the endpoint did not say how long it keeps it.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Part of the endpoint's idle time that is left unused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time after an answer in which stray bytes may still follow it.
const SETTLE: Duration = Duration::from_millis(15);
/// Idle connections kept for one endpoint.
const MAX_IDLE: usize = 8;
/// Interval of keep-alive probes, and idle time before the first.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which unacknowledged bytes reset the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request for an endpoint.
pub type Order = Request<Full<Bytes>>;

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The endpoint takes no connection.
    #[error("the endpoint cannot be reached: {0}")]
    Unreachable(#[from] io::Error),
    /// The connection was unusable before a byte of the request left.
    #[error("the connection closed before the request left")]
    Unsent,
    /// The request left, and the endpoint has been silent since.
    #[error("the endpoint stays silent")]
    Silent,
    /// The request may have left, and no answer came.
    #[error("the endpoint broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// A connection to an endpoint; it closes when dropped.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    endpoint: EndpointId,
    incarnation: u64,
    usable_from: Instant,
    usable_until: Instant,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] when no byte left, else [`Error::Broken`].
    pub async fn send(&mut self, order: Order) -> Result<Response<Incoming>, Error> {
        let sent = self.sender.try_send_request(order).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Error::Unsent,
            None => Error::Broken(error.into_error()),
        })
    }
}

/// Idle connections by endpoint.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<IndexMap<EndpointId, Vec<Link>>>,
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, IndexMap<EndpointId, Vec<Link>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to this incarnation of an endpoint.
    pub fn take(&self, registration: &Registration, now: Instant) -> Option<Link> {
        let mut idle = self.lock();
        let links = idle.get_mut(&registration.id)?;
        links.retain(|link| {
            link.incarnation == registration.incarnation
                && now < link.usable_until
                && !link.sender.is_closed()
        });
        let at =
            links.iter().rposition(|link| link.usable_from <= now && link.sender.is_ready())?;
        Some(links.swap_remove(at))
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when the endpoint does not take it in time.
    pub async fn open(
        &self,
        registration: &Registration,
        timeout: Duration,
    ) -> Result<Link, Error> {
        metrics::counter!("endpoint_connections_total").increment(1);
        let stream = connect(registration, timeout).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The request that was under way learns of the failure by itself.
            let _ = connection.await;
        });
        let now = Instant::now();
        Ok(Link {
            sender,
            driver: driver.abort_handle(),
            endpoint: registration.id.clone(),
            incarnation: registration.incarnation,
            usable_from: now,
            usable_until: now + IDLE_DEFAULT,
            reused: false,
        })
    }

    /// Keeps a connection whose answer was read to its end.
    ///
    /// At most `share` idle connections stay open, this daemon's share of what the endpoint takes.
    pub fn keep(&self, mut link: Link, keep_alive: Option<Duration>, share: usize, now: Instant) {
        if link.sender.is_closed() {
            return;
        }
        let idle = keep_alive.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        link.usable_from = now + SETTLE;
        link.usable_until = now + idle;
        link.reused = true;
        let mut pool = self.lock();
        let links = pool.entry(link.endpoint.clone()).or_default();
        if links.len() < MAX_IDLE.min(share) {
            links.push(link);
        }
    }

    /// Closes connections that are past their time.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.lock();
        for links in idle.values_mut() {
            links.retain(|link| now < link.usable_until && !link.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
    }
}

/// Connects to an endpoint.
///
/// # Errors
///
/// Returns an error when the endpoint does not take the connection in time.
pub async fn connect(registration: &Registration, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(registration.addr)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    guard(&stream)?;
    Ok(stream)
}

/// Sets the options by which the kernel finds that the other side is gone.
///
/// # Errors
///
/// Returns an error when the connection is closed already.
pub fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
