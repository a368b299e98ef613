//! Connections of clients.
//!
//! A request that carries both a length and chunks is refused, and after any chunked request the
//! connection closes: where two readers could disagree about a request's end, no second request is
//! read from the same bytes. A client that leaves drops its request's future, which closes the
//! connection to the endpoint.

use crate::answer::{self, Body, Reason};
use crate::forward::{self, Arrival, Context};
use crate::inflight::Tracker;
use compact_str::CompactString;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
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

/// Pause after a failure to take a connection, such as running out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer of a connection.
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Time after which a daemon that knows no configuration yet is worth asking again.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(300);

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Requests are taken.
    #[default]
    Serving,
    /// The balancer is told to send no new connections.
    Leaving,
    /// Connections close after the request under way. The balancer goes on sending some where most of a
    /// data centre's daemons stop.
    Closing {
        /// When the process ends at the latest; requests that may wait for longer are refused.
        ends: Instant,
    },
}

impl Phase {
    /// When the process ends, once connections are to close.
    fn ends(self) -> Option<Instant> {
        match self {
            Self::Serving | Self::Leaving => None,
            Self::Closing { ends } => Some(ends),
        }
    }
}

/// Takes connections until the process ends.
pub async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    phase: watch::Receiver<Phase>,
    flights: Tracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, phase) = (context.clone(), phase.clone());
                let flight = flights.track();
                tokio::spawn(async move {
                    connection(stream, context, phase).await;
                    drop(flight);
                });
            }
            Err(error) => {
                log::warn!(target: "ingress", "a connection cannot be taken: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, context: Arc<Context>, mut phase: watch::Receiver<Phase>) {
    // A connection that is closed already ends at its first read.
    let _ = stream.set_nodelay(true);
    let limits = context.view.table().map_or_else(Limits::default, |table| table.limits);
    let present = phase.clone();
    // A connection that comes while others are closed serves one request.
    let late = phase.borrow().ends().is_some();
    let service = service_fn(move |request| {
        let (context, ends) = (context.clone(), present.borrow().ends());
        async move { Ok::<_, Infallible>(answer(context, ends, request).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(!late)
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service)
    );
    tokio::select! {
        result = connection.as_mut() => note(result),
        () = closing_phase(&mut phase), if !late => {
            connection.as_mut().graceful_shutdown();
            note(connection.await);
        }
    }
}

/// Waits until connections are to close; for ever where that never comes.
async fn closing_phase(phase: &mut watch::Receiver<Phase>) {
    let closing = phase.wait_for(|phase| phase.ends().is_some()).await.map(drop);
    if closing.is_err() {
        std::future::pending::<()>().await;
    }
}

fn note(result: hyper::Result<()>) {
    if let Err(error) = result {
        metrics::counter!("client_connections_broken_total").increment(1);
        log::debug!(target: "ingress", "a client's connection broke: {error}");
    }
}

async fn answer(
    context: Arc<Context>,
    ends: Option<Instant>,
    request: Request<Incoming>,
) -> Response<Body> {
    metrics::counter!("requests_total").increment(1);
    let at = Instant::now();
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match read(&context, request, at).await {
        Ok(arrival) => match context.view.table() {
            Some(table) => forward::serve(context, &table, arrival, ends).await,
            None => {
                let id = &arrival.facts.id;
                answer::early(Reason::NotConfigured, id, Some(RETRY_UNCONFIGURED))
            }
        },
        Err((reason, id)) => closing(answer::early(reason, &id, None)),
    };
    if chunked {
        response = closing(response);
    }
    let status = response.status().as_u16().to_string();
    let elapsed = at.elapsed().as_secs_f64();
    metrics::histogram!("answer_head_seconds", "status" => status).record(elapsed);
    response
}

fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn ambiguous(headers: &HeaderMap) -> bool {
    let framed_twice =
        headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    framed_twice || headers.get_all(CONTENT_LENGTH).iter().count() > 1
}

async fn read(
    context: &Context,
    request: Request<Incoming>,
    at: Instant,
) -> Result<Arrival, (Reason, CompactString)> {
    let (parts, body) = request.into_parts();
    let facts = header::parse_request(&parts.headers);
    if ambiguous(&parts.headers) {
        return Err((Reason::Malformed, facts.id));
    }
    let limits = context.view.table().map_or_else(Limits::default, |table| table.limits);
    let body = Limited::new(body, limits.max_body_bytes).collect().await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return Err((Reason::TooLarge, facts.id));
        }
        Err(_) => return Err((Reason::Malformed, facts.id)),
    };
    let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
    Ok(Arrival { method, uri, headers, body, facts, at })
}
