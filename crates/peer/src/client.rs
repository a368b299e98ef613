//! Client side of calls.

use crate::Error;
use crate::auth::{self, CODE_BYTES, NONCE_BYTES, Nonce, Side};
use crate::frame::{self, Reader};
use crate::tunnel::{Refusal, Target, Tunnel};
use crate::wire::{Reply, Request};
use bytes::Bytes;
use compact_str::CompactString;
use h2::client::SendRequest;
use indexmap::IndexMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Path of the handshake step that exchanges the nonces.
pub(crate) const HELLO_PATH: &str = "/hello";
/// Path of the handshake step in which the client sends its code.
pub(crate) const PROOF_PATH: &str = "/proof";
/// Path of calls.
pub(crate) const CALL_PATH: &str = "/call";
/// Path of tunnels.
pub(crate) const TUNNEL_PATH: &str = "/tunnel";
/// Initial flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Initial flow-control window of a tunnel, in bytes; this much of each may stay unread.
const TUNNEL_WINDOW_BYTES: u32 = 64 << 10;
/// Initial flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Reply frames of one call.
pub struct Replies {
    reader: Reader,
}

impl Replies {
    /// Returns the next reply, or `None` after the last.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] when the stream fails before the peer ends it, and
    /// [`Error::Malformed`] when a frame cannot be decoded.
    pub async fn next(&mut self) -> Result<Option<Reply>, Error> {
        self.reader.next().await
    }
}

/// Client for calls to peers.
///
/// Opens the connection to a peer on first use and reopens it after a failure. Clones share the
/// connections.
#[derive(Clone)]
pub struct Client {
    key: Arc<[u8]>,
    connect_timeout: Duration,
    stream_window_bytes: u32,
    connections: Arc<Mutex<IndexMap<CompactString, SendRequest<Bytes>>>>,
}

impl Client {
    /// Creates a client that authenticates with the cluster key and has no connections yet.
    pub fn new(key: &[u8], connect_timeout: Duration) -> Self {
        let stream_window_bytes = STREAM_WINDOW_BYTES;
        Self { key: key.into(), connect_timeout, stream_window_bytes, connections: Arc::default() }
    }

    /// Creates a client for tunnels, whose connections carry nothing else: what is not read of one must
    /// not hold up calls.
    pub fn for_tunnels(key: &[u8], connect_timeout: Duration) -> Self {
        let stream_window_bytes = TUNNEL_WINDOW_BYTES;
        Self { stream_window_bytes, ..Self::new(key, connect_timeout) }
    }

    /// Sends a request to the peer at `addr`, an IP address and port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] when the request was not sent, [`Error::Interrupted`] when it may
    /// have been, [`Error::Unauthenticated`] when the handshake fails, and [`Error::Malformed`]
    /// when the request or a handshake frame is malformed.
    pub async fn call(&self, addr: &str, request: &Request) -> Result<Replies, Error> {
        let body = frame::encode(request)?;
        let connection = self.ready_connection(addr).await?;
        let result = post(connection, CALL_PATH, body).await;
        if result.is_err() {
            self.disconnect(addr);
        }
        result
    }

    /// Sends a request and returns its first reply, or `None` when the call fails or does not reply
    /// within `reply_timeout`.
    pub async fn first_reply(
        &self,
        addr: &str,
        request: &Request,
        reply_timeout: Duration,
    ) -> Option<Reply> {
        let first = async {
            let mut replies = self.call(addr, request).await.ok()?;
            replies.next().await.ok()?
        };
        tokio::time::timeout(reply_timeout, first).await.ok().flatten()
    }

    /// Opens a tunnel through the peer at `addr`; the inner error is the peer's.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the peer cannot be reached.
    pub async fn tunnel(
        &self,
        addr: &str,
        target: &Target,
    ) -> Result<Result<Tunnel, Refusal>, Error> {
        let body = frame::encode(target)?;
        let mut connection = self.ready_connection(addr).await?;
        let request = http::Request::post(TUNNEL_PATH).body(());
        let request = request.map_err(|error| Error::Unsent(error.to_string()))?;
        let sent = connection.send_request(request, false);
        let (response, mut stream) = sent.map_err(|error| Error::Unsent(error.to_string()))?;
        frame::send(&mut stream, body, false).await?;
        let response = response.await?;
        if response.status().as_u16() != 200 {
            return Err(Error::Interrupted(format!("status {}", response.status())));
        }
        let mut reader = Reader::new(response.into_body());
        let connected: Option<Result<(), Refusal>> = reader.next().await?;
        let connected =
            connected.ok_or_else(|| Error::Interrupted("the stream ended".to_owned()))?;
        Ok(connected.map(|()| Tunnel::new(stream, reader)))
    }

    /// Discards the connection to `addr`, so that the next call opens a new one.
    pub fn disconnect(&self, addr: &str) {
        self.lock().swap_remove(addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<CompactString, SendRequest<Bytes>>> {
        self.connections.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn ready_connection(&self, addr: &str) -> Result<SendRequest<Bytes>, Error> {
        let existing = self.lock().get(addr).cloned();
        if let Some(existing) = existing
            && let Ok(ready) = existing.ready().await
        {
            return Ok(ready);
        }
        let connecting = connect(addr, &self.key, self.stream_window_bytes);
        let connected = timeout(self.connect_timeout, connecting).await;
        let connected = connected.map_err(|_| Error::Unsent("connection timed out".to_owned()))?;
        let connected = connected.map_err(|error| match error {
            Error::Interrupted(reason) => Error::Unsent(reason),
            other => other,
        })?;
        self.lock().insert(addr.into(), connected.clone());
        connected.ready().await.map_err(|error| Error::Unsent(error.to_string()))
    }
}

async fn connect(
    addr: &str,
    key: &[u8],
    stream_window_bytes: u32,
) -> Result<SendRequest<Bytes>, Error> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(stream_window_bytes)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(stream)
        .await?;
    tokio::spawn(connection);
    authenticate(sender, key).await
}

async fn authenticate(sender: SendRequest<Bytes>, key: &[u8]) -> Result<SendRequest<Bytes>, Error> {
    let client = auth::random_nonce();
    let sender = sender.ready().await?;
    let mut hello = post(sender.clone(), HELLO_PATH, frame::encode(&client)?).await?;
    let reply: Option<(Nonce, Vec<u8>)> = hello.reader.next().await?;
    let (server, code) = reply.ok_or(Error::Unauthenticated)?;
    debug_assert_eq!(server.len(), NONCE_BYTES);
    if code.len() != CODE_BYTES || !auth::verify_code(key, Side::Server, &client, &server, &code) {
        return Err(Error::Unauthenticated);
    }
    let proof = auth::compute_code(key, Side::Client, &client, &server);
    let sender = sender.ready().await?;
    let mut accepted = post(sender.clone(), PROOF_PATH, frame::encode(&proof)?).await?;
    match accepted.reader.next::<bool>().await? {
        Some(true) => Ok(sender),
        _ => Err(Error::Unauthenticated),
    }
}

async fn post(mut sender: SendRequest<Bytes>, path: &str, body: Bytes) -> Result<Replies, Error> {
    let request = http::Request::post(path).body(());
    let request = request.map_err(|error| Error::Unsent(error.to_string()))?;
    let sent = sender.send_request(request, false);
    let (response, mut stream) = sent.map_err(|error| Error::Unsent(error.to_string()))?;
    frame::send(&mut stream, body, true).await?;
    let response = response.await?;
    match response.status().as_u16() {
        200 => Ok(Replies { reader: Reader::new(response.into_body()) }),
        401 => Err(Error::Unauthenticated),
        status => Err(Error::Interrupted(format!("peer answered with status {status}"))),
    }
}
