//! Connections from clients.
//!
//! A request with both a length and a chunked encoding is rejected, and the connection closes after
//! every chunked request. This prevents request smuggling: where two parsers could disagree on
//! where a request ends, no second request is read from the same connection. When a client
//! disconnects, the future of its request is dropped, which closes the connection to the endpoint.

pub mod bodies;
pub mod connections;

use crate::answer::{self, Body, Reason};
use crate::forward::{self, ClientRequest, Context};
use crate::inflight::Tracker;
use compact_str::CompactString;
use connections::{Connection, Connections};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::header;
use sched::route::Limits;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Lower bound of the maximum buffer size of a connection.
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Retry-After of a daemon that has no configuration yet.
const RETRY_AFTER_NOT_CONFIGURED: Duration = Duration::from_millis(300);
/// Retry-After of a request whose body has no room; stalled bodies are given up after a second.
const RETRY_AFTER_NO_ROOM: Duration = Duration::from_secs(1);

/// Lifecycle phase of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The daemon is ready and accepts requests.
    #[default]
    Serving,
    /// The readiness probe fails, so that the load balancer sends no new connections; requests are
    /// still accepted.
    NotReady,
    /// Connections close after the request in progress. New connections still arrive, since the
    /// load balancer keeps sending some while most of a data centre's daemons are stopping.
    Draining {
        /// Latest time at which the process exits; requests with a later deadline are rejected.
        exit_deadline: Instant,
    },
}

impl Phase {
    /// Returns the latest time at which the process exits, while it is draining.
    fn exit_deadline(self) -> Option<Instant> {
        match self {
            Self::Serving | Self::NotReady => None,
            Self::Draining { exit_deadline } => Some(exit_deadline),
        }
    }
}

/// Accepts and serves connections until the process exits.
pub async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    phase: watch::Receiver<Phase>,
    in_flight: Tracker,
    connections: Connections,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, phase) = (context.clone(), phase.clone());
                let Some(connection) = connections.open(Instant::now()) else {
                    continue;
                };
                let guard = in_flight.track();
                tokio::spawn(async move {
                    serve_connection(stream, context, phase, connection).await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!(target: "ingress", "failed to accept a client connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    context: Arc<Context>,
    mut phase: watch::Receiver<Phase>,
    client: Connection,
) {
    // This fails only when the connection is already closed, which the first read detects.
    let _ = stream.set_nodelay(true);
    let limits = context.view.table().map_or_else(Limits::default, |table| table.limits);
    let current_phase = phase.clone();
    // A connection accepted while the daemon is draining serves a single request.
    let draining = phase.borrow().exit_deadline().is_some();
    let service = service_fn(|request| {
        let (context, phase) = (context.clone(), current_phase.clone());
        let exchange = client.begin();
        async move {
            let response = handle(context, phase, request).await;
            Ok::<_, Infallible>(response.map(|body| exchange.follow(body)))
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(!draining)
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service)
    );
    tokio::select! {
        result = connection.as_mut() => log_error(result),
        () = client.closed() => log::debug!(target: "ingress", "closed a client connection"),
        () = wait_for_draining(&mut phase), if !draining => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => log_error(result),
                () = client.closed() => {}
            }
        }
    }
}

/// Waits for [`Phase::Draining`]; never returns if the phase can no longer change.
async fn wait_for_draining(phase: &mut watch::Receiver<Phase>) {
    let draining = phase.wait_for(|phase| phase.exit_deadline().is_some()).await.map(drop);
    if draining.is_err() {
        std::future::pending::<()>().await;
    }
}

fn log_error(result: hyper::Result<()>) {
    if let Err(error) = result {
        metrics::counter!("client_connections_broken_total").increment(1);
        log::debug!(target: "ingress", "client connection failed: {error}");
    }
}

async fn handle(
    context: Arc<Context>,
    phase: watch::Receiver<Phase>,
    request: Request<Incoming>,
) -> Response<Body> {
    metrics::counter!("requests_total").increment(1);
    let received_at = Instant::now();
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match read_request(&context, request, received_at).await {
        Ok(request) => match context.view.table() {
            Some(table) => {
                // The stop may have come while the body arrived.
                let exit_deadline = phase.borrow().exit_deadline();
                forward::serve(context, &table, request, exit_deadline).await
            }
            None => {
                let id = &request.metadata.id;
                answer::unrouted(Reason::NotConfigured, id, Some(RETRY_AFTER_NOT_CONFIGURED))
            }
        },
        Err((reason, id)) => {
            let retry_after = (reason == Reason::NoRoom).then_some(RETRY_AFTER_NO_ROOM);
            with_connection_close(answer::unrouted(reason, &id, retry_after))
        }
    };
    if chunked {
        response = with_connection_close(response);
    }
    let status = response.status().as_u16().to_string();
    let elapsed = received_at.elapsed().as_secs_f64();
    metrics::histogram!("answer_head_seconds", "status" => status).record(elapsed);
    response
}

fn with_connection_close(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn has_ambiguous_length(headers: &HeaderMap) -> bool {
    let chunked_with_length =
        headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    chunked_with_length || headers.get_all(CONTENT_LENGTH).iter().count() > 1
}

async fn read_request(
    context: &Context,
    request: Request<Incoming>,
    received_at: Instant,
) -> Result<ClientRequest, (Reason, CompactString)> {
    let (parts, body) = request.into_parts();
    let metadata = header::parse_request(&parts.headers);
    if has_ambiguous_length(&parts.headers) {
        return Err((Reason::Malformed, metadata.id));
    }
    let limits = context.view.table().map_or_else(Limits::default, |table| table.limits);
    let read = context.bodies.read(body, limits.max_body_bytes).await;
    let (body, holding) = read.map_err(|reason| (reason, metadata.id.clone()))?;
    let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
    Ok(ClientRequest { method, uri, headers, body, holding, metadata, received_at })
}
