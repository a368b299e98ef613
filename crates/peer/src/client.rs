//! Calling side.

use crate::Error;
use crate::auth::{self, CODE_BYTES, NONCE_BYTES, Nonce, Side};
use crate::frame::{self, Reader};
use crate::wire::{Reply, Request};
use bytes::Bytes;
use compact_str::CompactString;
use h2::client::SendRequest;
use indexmap::IndexMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Path of the first handshake step.
pub(crate) const HELLO: &str = "/hello";
/// Path of the second handshake step.
pub(crate) const PROOF: &str = "/proof";
/// Path of a request.
pub(crate) const CALL: &str = "/call";
/// Bytes that a stream may send ahead of its reader.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Bytes that a connection may send ahead of its readers.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Frames of an answer.
pub struct Replies {
    reader: Reader,
}

impl Replies {
    /// Returns the next frame, or `None` after the last.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] when the connection breaks before the answer ends.
    pub async fn next(&mut self) -> Result<Option<Reply>, Error> {
        self.reader.next().await
    }
}

/// Connections to peers, opened when first used and again after a failure.
#[derive(Clone)]
pub struct Client {
    key: Arc<[u8]>,
    connect_timeout: Duration,
    connections: Arc<Mutex<IndexMap<CompactString, SendRequest<Bytes>>>>,
}

impl Client {
    /// Prepares calls under the cluster's key.
    pub fn new(key: &[u8], connect_timeout: Duration) -> Self {
        Self { key: key.into(), connect_timeout, connections: Arc::default() }
    }

    /// Sends a request to the peer at `addr`, an IP address and port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] when the request did not leave, [`Error::Interrupted`] when it may have.
    pub async fn call(&self, addr: &str, request: &Request) -> Result<Replies, Error> {
        let body = frame::encode(request)?;
        let connection = self.connection(addr).await?;
        let result = open(connection, CALL, body).await;
        if result.is_err() {
            self.disconnect(addr);
        }
        result
    }

    /// Sends a request and waits for its first reply; `None` when none comes in time.
    pub async fn first_reply(
        &self,
        addr: &str,
        request: &Request,
        bound: Duration,
    ) -> Option<Reply> {
        let first = async {
            let mut replies = self.call(addr, request).await.ok()?;
            replies.next().await.ok()?
        };
        tokio::time::timeout(bound, first).await.ok().flatten()
    }

    /// Drops the connection to `addr`, so that the next call opens a new one.
    pub fn disconnect(&self, addr: &str) {
        self.lock().swap_remove(addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<CompactString, SendRequest<Bytes>>> {
        self.connections.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn connection(&self, addr: &str) -> Result<SendRequest<Bytes>, Error> {
        let known = self.lock().get(addr).cloned();
        if let Some(known) = known
            && let Ok(ready) = known.ready().await
        {
            return Ok(ready);
        }
        let opened = timeout(self.connect_timeout, connect(addr, &self.key)).await;
        let opened = opened.map_err(|_| Error::Unsent("connecting timed out".to_owned()))?;
        let opened = opened.map_err(|error| match error {
            Error::Interrupted(reason) => Error::Unsent(reason),
            other => other,
        })?;
        self.lock().insert(addr.into(), opened.clone());
        opened.ready().await.map_err(|error| Error::Unsent(error.to_string()))
    }
}

async fn connect(addr: &str, key: &[u8]) -> Result<SendRequest<Bytes>, Error> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(stream)
        .await?;
    tokio::spawn(connection);
    authenticate(sender, key).await
}

async fn authenticate(sender: SendRequest<Bytes>, key: &[u8]) -> Result<SendRequest<Bytes>, Error> {
    let client = auth::nonce();
    let sender = sender.ready().await?;
    let mut hello = open(sender.clone(), HELLO, frame::encode(&client)?).await?;
    let answer: Option<(Nonce, Vec<u8>)> = hello.reader.next().await?;
    let (server, code) = answer.ok_or(Error::Unauthenticated)?;
    debug_assert_eq!(server.len(), NONCE_BYTES);
    if code.len() != CODE_BYTES || !auth::verify(key, Side::Server, &client, &server, &code) {
        return Err(Error::Unauthenticated);
    }
    let proof = auth::code(key, Side::Client, &client, &server);
    let sender = sender.ready().await?;
    let mut proved = open(sender.clone(), PROOF, frame::encode(&proof)?).await?;
    match proved.reader.next::<bool>().await? {
        Some(true) => Ok(sender),
        _ => Err(Error::Unauthenticated),
    }
}

async fn open(mut sender: SendRequest<Bytes>, path: &str, body: Bytes) -> Result<Replies, Error> {
    let request = http::Request::post(path).body(());
    let request = request.map_err(|error| Error::Unsent(error.to_string()))?;
    let opened = sender.send_request(request, false);
    let (response, mut stream) = opened.map_err(|error| Error::Unsent(error.to_string()))?;
    frame::send(&mut stream, body, true).await?;
    let response = response.await?;
    match response.status().as_u16() {
        200 => Ok(Replies { reader: Reader::new(response.into_body()) }),
        401 => Err(Error::Unauthenticated),
        status => Err(Error::Interrupted(format!("the peer answered with status {status}"))),
    }
}
