//! Server side of calls.

use crate::Error;
use crate::auth::{self, Nonce, Side};
use crate::client::{CALL_PATH, HELLO_PATH, PROOF_PATH, TUNNEL_PATH};
use crate::frame::{self, Reader};
use crate::tunnel::{self, Connect};
use crate::wire::{Reply, Request};
use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Capacity of the queue of replies of one call.
const REPLY_QUEUE_FRAMES: usize = 256;
/// Initial flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Initial flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Sender for the replies of one call; the stream ends when the last clone is dropped.
pub type ReplySender = mpsc::Sender<Reply>;

#[derive(Default)]
struct Session {
    /// Nonces of the client and of the server, between the two steps of the handshake.
    nonces: Option<(Nonce, Nonce)>,
    authenticated: bool,
}

type SharedSession = Arc<Mutex<Session>>;

/// Accepts connections, passes each authenticated request to `handle`, and makes connections to
/// endpoints for peers with `connect`.
///
/// The value that `handle` returns is a guard, dropped once the last reply has been sent or the
/// stream has failed.
///
/// # Errors
///
/// Returns an [`Error`] when the listener fails; otherwise it runs until it is cancelled.
pub async fn serve<H, G>(
    listener: TcpListener,
    key: Arc<[u8]>,
    handle: H,
    connect: impl Connect,
) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G + Clone + Send + Sync + 'static,
    G: Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        let (key, handle, connect) = (key.clone(), handle.clone(), connect.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, key, handle, connect).await {
                metrics::counter!("peer_connections_failed_total").increment(1);
                log::debug!("peer connection failed: {error}");
            }
        });
    }
}

async fn serve_connection<H, G>(
    stream: TcpStream,
    key: Arc<[u8]>,
    handle: H,
    connect: impl Connect,
) -> Result<(), Error>
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
    let session = SharedSession::default();
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (key, handle, session) = (key.clone(), handle.clone(), session.clone());
        let connect = connect.clone();
        tokio::spawn(async move {
            let served = serve_stream(request, respond, &key, handle, connect, session);
            if let Err(error) = served.await {
                log::debug!("peer stream failed: {error}");
            }
        });
    }
    Ok(())
}

async fn serve_stream<H, G>(
    request: http::Request<h2::RecvStream>,
    respond: SendResponse<Bytes>,
    key: &[u8],
    handle: H,
    connect: impl Connect,
    session: SharedSession,
) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G,
{
    let path = request.uri().path().to_owned();
    let mut reader = Reader::new(request.into_body());
    match path.as_str() {
        HELLO_PATH => serve_hello(&mut reader, respond, key, &session).await,
        PROOF_PATH => serve_proof(&mut reader, respond, key, &session).await,
        CALL_PATH if is_authenticated(&session) => serve_call(&mut reader, respond, handle).await,
        TUNNEL_PATH if is_authenticated(&session) => {
            tunnel::serve(reader, send_status(respond, 200)?, connect).await
        }
        CALL_PATH | TUNNEL_PATH => send_status(respond, 401).map(drop),
        _ => send_status(respond, 404).map(drop),
    }
}

fn lock(session: &SharedSession) -> std::sync::MutexGuard<'_, Session> {
    session.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn is_authenticated(session: &SharedSession) -> bool {
    lock(session).authenticated
}

fn send_status(mut respond: SendResponse<Bytes>, status: u16) -> Result<SendStream<Bytes>, Error> {
    let response = http::Response::builder().status(status).body(());
    let response = response.map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(respond.send_response(response, status != 200)?)
}

async fn serve_hello(
    reader: &mut Reader,
    respond: SendResponse<Bytes>,
    key: &[u8],
    session: &SharedSession,
) -> Result<(), Error> {
    let client: Nonce = reader.next().await?.ok_or(Error::Unauthenticated)?;
    let server = auth::random_nonce();
    lock(session).nonces = Some((client, server));
    let reply = (server, auth::compute_code(key, Side::Server, &client, &server));
    let mut stream = send_status(respond, 200)?;
    frame::send(&mut stream, frame::encode(&reply)?, true).await
}

async fn serve_proof(
    reader: &mut Reader,
    respond: SendResponse<Bytes>,
    key: &[u8],
    session: &SharedSession,
) -> Result<(), Error> {
    let code: Vec<u8> = reader.next().await?.ok_or(Error::Unauthenticated)?;
    let nonces = lock(session).nonces.take();
    let valid = nonces.is_some_and(|(client, server)| {
        auth::verify_code(key, Side::Client, &client, &server, &code)
    });
    if !valid {
        return send_status(respond, 401).map(drop);
    }
    lock(session).authenticated = true;
    let mut stream = send_status(respond, 200)?;
    frame::send(&mut stream, frame::encode(&true)?, true).await
}

async fn serve_call<H, G>(
    reader: &mut Reader,
    respond: SendResponse<Bytes>,
    handle: H,
) -> Result<(), Error>
where
    H: Fn(Request, ReplySender) -> G,
{
    let request: Option<Request> = reader.next().await?;
    let request =
        request.ok_or_else(|| Error::Malformed("the stream ended before a request".to_owned()))?;
    let mut stream = send_status(respond, 200)?;
    let (sender, mut replies) = mpsc::channel(REPLY_QUEUE_FRAMES);
    let guard = handle(request, sender);
    while let Some(reply) = replies.recv().await {
        frame::send(&mut stream, frame::encode(&reply)?, false).await?;
    }
    stream.send_data(Bytes::new(), true)?;
    drop(guard);
    Ok(())
}
