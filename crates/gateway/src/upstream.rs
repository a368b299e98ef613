//! Connections to endpoints.
//!
//! A connection carries one request at a time. After a complete response it is not reused at once:
//! bytes that an endpoint sends after its response then break the idle connection instead of being
//! read as the next response. It is reused only well within the time for which the endpoint
//! keeps it open. A connection whose response was not read to its end is closed, which also cancels
//! the work at the endpoint.

use crate::paths::Paths;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use peer::tunnel::Tunnel;
use platform::header;
use sched::fleet::Registration;
use sched::id::EndpointId;
use sched::id::VmId;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Idle timeout of a connection for which the endpoint did not announce a keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Safety margin by which a connection is closed before the endpoint's idle timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Time after a response for which a connection is not reused, since stray bytes may still arrive.
const REUSE_DELAY: Duration = Duration::from_millis(15);
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum size of the buffer of a connection, and so of the head of a response; faulty endpoints may
/// fill the buffers of all connections at once.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Interval of TCP keep-alive probes, and idle time before the first.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which unacknowledged bytes make the kernel close the connection.
///
/// It also decides when keep-alive probes give up, and is longer than endpoints are silent without a
/// fault.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A request to an endpoint, with its whole body in memory.
pub type BufferedRequest = Request<Full<Bytes>>;

/// Why an endpoint sent no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The endpoint does not accept connections.
    #[error("failed to connect to the endpoint: {0}")]
    Unreachable(#[from] io::Error),
    /// The connection closed before any byte of the request was sent.
    #[error("the connection closed before the request was sent")]
    Unsent,
    /// The request was sent, and the endpoint has sent nothing since.
    #[error("the endpoint does not respond")]
    Unresponsive,
    /// The request was sent, and its deadline passed before the endpoint sent anything.
    #[error("the deadline passed before the endpoint responded")]
    DeadlinePassed,
    /// The connection failed after the request may have been sent.
    #[error("the connection to the endpoint failed: {0}")]
    Interrupted(#[from] hyper::Error),
}

impl Error {
    /// Returns whether the error says nothing about the endpoint, because this daemon is cut off from it
    /// and no other one can tell.
    pub fn is_inconclusive(&self) -> bool {
        self.kind() == Some(io::ErrorKind::NetworkUnreachable)
    }

    /// Returns whether the endpoint refuses connections.
    pub fn is_refusal(&self) -> bool {
        self.kind() == Some(io::ErrorKind::ConnectionRefused)
    }

    fn kind(&self) -> Option<io::ErrorKind> {
        match self {
            Self::Unreachable(error) => Some(error.kind()),
            _ => None,
        }
    }
}

/// Way to an endpoint, on which a connection is made.
pub enum Link {
    /// A socket of this daemon.
    Direct(TcpStream),
    /// A socket of another daemon, which passes on the bytes.
    Relayed(Tunnel, VmId),
}

/// A connection to an endpoint; closes when dropped.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    endpoint: EndpointId,
    incarnation: u64,
    usable_from: Instant,
    usable_until: Instant,
    /// Daemon that passes on the bytes; `None` for a direct connection.
    pub relay: Option<VmId>,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
    /// Whether the process at the other end is known to be the registered one.
    verified: bool,
    /// Whether the process at the other end said in a response that it leaves.
    pub leaving: bool,
}

/// Whether the process at the other end of a connection is the registered one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// It is.
    Registered,
    /// It is another process, with this incarnation, which uses the same id and address.
    Other(u64),
    /// It did not say.
    Unknown,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Asks the process at the other end which incarnation it is, once for each connection.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the connection fails.
    pub async fn identify(&mut self) -> Result<Identity, Error> {
        if self.verified {
            return Ok(Identity::Registered);
        }
        let request = Request::get(platform::report::PATH)
            .header(http::header::HOST, "endpoint")
            .body(Full::default());
        let Ok(request) = request else {
            return Ok(Identity::Unknown);
        };
        let response = self.send(request).await?;
        let is_success = response.status().is_success();
        let body = Limited::new(response.into_body(), platform::report::MAX_BYTES);
        let Ok(report) = body.collect().await else {
            return Err(Error::Unsent);
        };
        self.sender.ready().await?;
        // Without a start time in the registration there is nothing to compare.
        let said = platform::report::incarnation(&report.to_bytes())
            .filter(|_| is_success && self.incarnation != 0);
        self.verified = said == Some(self.incarnation);
        Ok(match said {
            Some(said) if said == self.incarnation => Identity::Registered,
            Some(said) => Identity::Other(said),
            None => Identity::Unknown,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] when no byte was sent, else [`Error::Interrupted`].
    pub async fn send(&mut self, request: BufferedRequest) -> Result<Response<Incoming>, Error> {
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => Error::Unsent,
            None => Error::Interrupted(error.into_error()),
        })?;
        self.leaving |= header::is_leaving(response.status().as_u16(), response.headers());
        Ok(response)
    }
}

/// Pool of idle connections, by endpoint.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<IndexMap<EndpointId, Vec<Connection>>>,
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, IndexMap<EndpointId, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a reusable connection to this incarnation of an endpoint out of the pool; a direct one only
    /// if the path `is_cut` no more than usual.
    pub fn take(
        &self,
        registration: &Registration,
        is_cut: bool,
        now: Instant,
    ) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&registration.id)?;
        connections.retain(|connection| {
            connection.incarnation == registration.incarnation
                && now < connection.usable_until
                && !connection.sender.is_closed()
                && !(is_cut && connection.relay.is_none())
        });
        let index = connections.iter().rposition(|connection| {
            connection.usable_from <= now && connection.sender.is_ready()
        })?;
        Some(connections.swap_remove(index))
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when the endpoint does not accept the connection within
    /// `timeout`.
    pub async fn open(
        &self,
        paths: &Arc<Paths>,
        registration: &Registration,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        metrics::counter!("endpoint_connections_total").increment(1);
        let (sender, driver, relay) = match paths.connect(registration, timeout).await? {
            Link::Direct(stream) => {
                let (sender, driver) = handshake(stream).await?;
                (sender, driver, None)
            }
            Link::Relayed(tunnel, relay) => {
                let (sender, driver) = handshake(tunnel).await?;
                (sender, driver, Some(relay))
            }
        };
        let now = Instant::now();
        Ok(Connection {
            sender,
            driver,
            endpoint: registration.id.clone(),
            incarnation: registration.incarnation,
            usable_from: now,
            usable_until: now + DEFAULT_IDLE_TIMEOUT,
            relay,
            reused: false,
            verified: false,
            leaving: false,
        })
    }

    /// Returns a connection whose response was read to its end to the pool.
    ///
    /// `keep_alive` is the idle timeout that the endpoint announced. The connection is closed
    /// instead if `max_idle` connections to the endpoint are already idle.
    pub fn put(
        &self,
        mut connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: usize,
        now: Instant,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout =
            keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_TIMEOUT_MARGIN);
        connection.usable_from = now + REUSE_DELAY;
        connection.usable_until = now + idle_timeout;
        connection.reused = true;
        let mut idle = self.lock();
        let connections = idle.entry(connection.endpoint.clone()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS.min(max_idle) {
            connections.push(connection);
        }
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                now < connection.usable_until && !connection.sender.is_closed()
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Begins to speak HTTP on a link.
async fn handshake<S>(stream: S) -> Result<(SendRequest<Full<Bytes>>, AbortHandle), Error>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(async move {
        // The request in progress gets the error from its own future.
        let _ = connection.await;
    });
    Ok((sender, driver.abort_handle()))
}

/// Opens a TCP connection to an endpoint.
///
/// # Errors
///
/// Returns an error when the endpoint does not accept the connection within `timeout`.
pub async fn connect(registration: &Registration, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(registration.addr)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_tcp_options(&stream)?;
    Ok(stream)
}

/// Sets the TCP options by which the kernel detects that the other side is gone, and disables
/// Nagle's algorithm.
///
/// # Errors
///
/// Returns an error when an option cannot be set, for example because the connection is closed.
pub fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
