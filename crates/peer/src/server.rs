//! Answering side.

use crate::Error;
use crate::auth::{self, Nonce, Side};
use crate::client::{CALL, HELLO, PROOF};
use crate::frame::{self, Reader};
use crate::wire::{Reply, Request};
use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Frames of one answer that may wait to be sent.
const OUTBOX_FRAMES: usize = 256;
/// Bytes that a stream may send ahead of its reader.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Bytes that a connection may send ahead of its readers.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Where the frames of an answer go; the answer ends when it is dropped.
pub type ReplySender = mpsc::Sender<Reply>;

#[derive(Default)]
struct Session {
    nonces: Option<(Nonce, Nonce)>,
    proved: bool,
}

type Shared = Arc<Mutex<Session>>;

/// Takes connections and hands each authenticated request to `handle`.
///
/// What `handle` returns is kept until the answer has been sent.
///
/// # Errors
///
/// Returns when the listener fails.
pub async fn serve<H, G>(listener: TcpListener, key: Arc<[u8]>, handle: H) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G + Clone + Send + Sync + 'static,
    G: Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        let (key, handle) = (key.clone(), handle.clone());
        tokio::spawn(async move {
            if let Err(error) = connection(stream, key, handle).await {
                metrics::counter!("peer_connections_failed_total").increment(1);
                log::debug!("peer connection ended: {error}");
            }
        });
    }
}

async fn connection<H, G>(stream: TcpStream, key: Arc<[u8]>, handle: H) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G + Clone + Send + Sync + 'static,
    G: Send + 'static,
{
    stream.set_nodelay(true)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(u32::MAX)
        .handshake::<_, Bytes>(stream)
        .await?;
    let session = Shared::default();
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (key, handle, session) = (key.clone(), handle.clone(), session.clone());
        tokio::spawn(async move {
            if let Err(error) = stream_call(request, respond, &key, handle, session).await {
                log::debug!("peer stream ended: {error}");
            }
        });
    }
    Ok(())
}

async fn stream_call<H, G>(
    request: http::Request<h2::RecvStream>,
    respond: SendResponse<Bytes>,
    key: &[u8],
    handle: H,
    session: Shared,
) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G,
{
    let path = request.uri().path().to_owned();
    let mut reader = Reader::new(request.into_body());
    match path.as_str() {
        HELLO => hello(&mut reader, respond, key, &session).await,
        PROOF => proof(&mut reader, respond, key, &session).await,
        CALL if proved(&session) => call(&mut reader, respond, handle).await,
        CALL => status(respond, 401).map(drop),
        _ => status(respond, 404).map(drop),
    }
}

fn lock(session: &Shared) -> std::sync::MutexGuard<'_, Session> {
    session.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn proved(session: &Shared) -> bool {
    lock(session).proved
}

fn status(mut respond: SendResponse<Bytes>, code: u16) -> Result<SendStream<Bytes>, Error> {
    let response = http::Response::builder().status(code).body(());
    let response = response.map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(respond.send_response(response, code != 200)?)
}

async fn hello(
    reader: &mut Reader,
    respond: SendResponse<Bytes>,
    key: &[u8],
    session: &Shared,
) -> Result<(), Error> {
    let client: Nonce = reader.next().await?.ok_or(Error::Unauthenticated)?;
    let server = auth::nonce();
    lock(session).nonces = Some((client, server));
    let answer = (server, auth::code(key, Side::Server, &client, &server));
    let mut stream = status(respond, 200)?;
    frame::send(&mut stream, frame::encode(&answer)?, true).await
}

async fn proof(
    reader: &mut Reader,
    respond: SendResponse<Bytes>,
    key: &[u8],
    session: &Shared,
) -> Result<(), Error> {
    let code: Vec<u8> = reader.next().await?.ok_or(Error::Unauthenticated)?;
    let nonces = lock(session).nonces.take();
    let valid = nonces
        .is_some_and(|(client, server)| auth::verify(key, Side::Client, &client, &server, &code));
    if !valid {
        return status(respond, 401).map(drop);
    }
    lock(session).proved = true;
    let mut stream = status(respond, 200)?;
    frame::send(&mut stream, frame::encode(&true)?, true).await
}

async fn call<H, G>(
    reader: &mut Reader,
    respond: SendResponse<Bytes>,
    handle: H,
) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G,
{
    let request: Option<Request> = reader.next().await?;
    let request = request.ok_or_else(|| Error::Malformed("no request".to_owned()))?;
    let mut stream = status(respond, 200)?;
    let (outbox, mut replies) = mpsc::channel(OUTBOX_FRAMES);
    let guard = handle(request, outbox);
    while let Some(reply) = replies.recv().await {
        frame::send(&mut stream, frame::encode(&reply)?, false).await?;
    }
    stream.send_data(Bytes::new(), true)?;
    drop(guard);
    Ok(())
}
