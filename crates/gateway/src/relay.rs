//! Relays a stream of events from an endpoint to a client.
//!
//! Only whole events are forwarded, each as soon as it arrives. When an endpoint fails, the stream
//! is resumed after the last forwarded event, within the same response to the client. Events that
//! are received again are dropped, and a gap in their ids is treated like a failure of the
//! endpoint. A response that resumes a stream must have the status and the type of the first one,
//! and begin with a numbered event: an error or another resource is no part of the stream.
//!
//! The relay does not read ahead: it fetches an event when the client's connection polls for one.
//! When the client disconnects, the stream is dropped, which closes the connection to the endpoint.

use crate::answer::Reason;
use crate::budgets::Reservation;
use crate::forward::{
    Cut, EndpointResponse, Exchange, Forwarder, WaitError, Waiting, closes_connection,
};
use crate::upstream::Connection;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use platform::event::{Event, Splitter};
use platform::header;
use sched::attempt::Action;
use sched::fleet::Registration;
use sched::id::Tokens;
use sched::quarantine::Phase;
use std::time::{Duration, Instant};

/// The endpoint's side of a stream.
struct Source {
    body: Incoming,
    connection: Connection,
    registration: Registration,
    exchange: Exchange,
    keep_alive: Option<Duration>,
    closes: bool,
    /// Whether the response has a length or chunks, so that its end differs from a break.
    framed: bool,
    /// Whether the response is known to belong to the stream: it began the stream, or has sent a
    /// numbered event.
    proven: bool,
    /// Whether the endpoint has sent an event.
    progressed: bool,
}

/// Result of reading from the endpoint.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    /// The connection to the endpoint broke.
    Broken(String),
    Unresponsive,
    Quarantined,
    DeadlinePassed,
}

/// A stream in progress.
pub struct Relay {
    forwarder: Forwarder,
    source: Option<Source>,
    splitter: Splitter,
    status: StatusCode,
    headers: HeaderMap,
    last_event_id: Option<u64>,
    event_forwarded: bool,
    reservation: Option<Reservation>,
    event_tokens: Tokens,
}

impl Relay {
    /// Starts relaying a response whose head has arrived.
    ///
    /// `event_tokens` is the maximum number of tokens in one event.
    pub fn new(
        forwarder: Forwarder,
        received: EndpointResponse,
        reservation: Option<Reservation>,
        event_tokens: Tokens,
    ) -> Self {
        let last_event_id = forwarder.request.metadata.resume_after;
        let mut relay = Self {
            forwarder,
            source: None,
            splitter: Splitter::default(),
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            last_event_id,
            event_forwarded: false,
            reservation,
            event_tokens,
        };
        relay.attach(received);
        relay
    }

    /// Returns the status and headers for the client.
    pub fn head(&self) -> (StatusCode, HeaderMap) {
        (self.status, self.headers.clone())
    }

    /// Returns the forwarder, to send another response instead of the stream.
    pub fn into_forwarder(self) -> Forwarder {
        self.forwarder
    }

    fn attach(&mut self, received: EndpointResponse) {
        let EndpointResponse { response, connection, registration, exchange } = received;
        let (parts, body) = response.into_parts();
        let keep_alive = header::keep_alive_timeout(&parts.headers);
        let closes = closes_connection(&parts.headers);
        let framed =
            body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
        if !self.event_forwarded {
            self.status = parts.status;
            self.headers = header::end_to_end(&parts.headers);
        }
        self.splitter.clear();
        let proven = !self.event_forwarded;
        self.source = Some(Source {
            body,
            connection,
            registration,
            exchange,
            keep_alive,
            closes,
            framed,
            proven,
            progressed: false,
        });
    }

    /// Returns the bytes of the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream failed and could not be resumed.
    pub async fn next(&mut self) -> Option<Result<Bytes, Reason>> {
        loop {
            while let Some(event) = self.splitter.take() {
                match self.accept(event) {
                    Ok(Some(bytes)) => return Some(Ok(bytes)),
                    Ok(None) => {}
                    Err(why) => {
                        if let Err(reason) = self.resume(Cut::Given, &why).await {
                            return Some(Err(reason));
                        }
                    }
                }
            }
            let source = self.source.as_mut()?;
            let broken = Cut::Broken(match source.progressed {
                true => Phase::Progressed,
                false => Phase::Begun,
            });
            let (cut, why) = match read(&self.forwarder, source).await {
                ReadOutcome::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => (Cut::Given, error.to_string()),
                },
                ReadOutcome::End if !source.proven && !source.framed => {
                    (broken, "the response ended before an event".to_owned())
                }
                ReadOutcome::End if self.splitter.is_empty() => {
                    self.finish();
                    return None;
                }
                ReadOutcome::End => (broken, "the stream ended inside an event".to_owned()),
                ReadOutcome::Broken(why) => (broken, why),
                ReadOutcome::Unresponsive => {
                    (Cut::Given, "the endpoint does not respond".to_owned())
                }
                ReadOutcome::Quarantined => {
                    self.source = None;
                    return Some(Err(Reason::Quarantined));
                }
                ReadOutcome::DeadlinePassed => {
                    self.source = None;
                    return Some(Err(Reason::Deadline));
                }
            };
            if let Err(reason) = self.resume(cut, &why).await {
                return Some(Err(reason));
            }
        }
    }

    /// Returns the bytes of an event to forward, or `None` for an event that was forwarded before.
    ///
    /// # Errors
    ///
    /// Returns a message when events before this one are missing, or it is not an event of the
    /// stream.
    fn accept(&mut self, event: Event) -> Result<Option<Bytes>, String> {
        if let Some(source) = &mut self.source {
            source.proven |= event.id.is_some();
            source.progressed = true;
            if !source.proven {
                return Err("the response does not begin with a numbered event".to_owned());
            }
        }
        if let Some(id) = event.id {
            let expected = self.last_event_id.map_or(id, |last| last + 1);
            if id < expected {
                return Ok(None);
            }
            if id > expected {
                return Err(format!("received event {id} where event {expected} was expected"));
            }
            self.last_event_id = Some(id);
        }
        self.event_forwarded = true;
        if let Some(source) = &self.source {
            self.forwarder.record_origin(&source.registration.version);
        }
        if let Some(reservation) = &self.reservation {
            reservation.add_handed_out(self.event_tokens, Instant::now());
        }
        Ok(Some(event.bytes))
    }

    fn finish(&mut self) {
        self.forwarder.on_completed();
        if let Some(source) = self.source.take() {
            drop(source.exchange);
            if !source.closes {
                let pool = &self.forwarder.context.pool;
                let max_idle = self.forwarder.max_idle_connections();
                pool.put(source.connection, source.keep_alive, max_idle, Instant::now());
            }
        }
        self.reservation = None;
    }

    async fn resume(&mut self, cut: Cut, why: &str) -> Result<(), Reason> {
        let Some(source) = self.source.take() else {
            return Err(Reason::Unknown);
        };
        let Source { body, connection, registration, exchange, .. } = source;
        // The earlier run must be cancelled before another one starts.
        drop((body, connection));
        exchange.fail();
        if self.event_forwarded && !self.forwarder.has_origin() {
            return Err(Reason::Unknown);
        }
        let preferred = match self.forwarder.on_interrupted(&registration, cut, why).await {
            Action::RetrySame(endpoint) => Some(endpoint),
            Action::RetryAny => None,
            Action::FailNotRun | Action::FailUnknown => return Err(Reason::Unknown),
        };
        let received = self.forwarder.send_with_retries(preferred, self.last_event_id).await?;
        if !self.continues(&received.response) {
            metrics::counter!("stream_resumptions_rejected_total").increment(1);
            self.forwarder.log_mismatch(&received);
            received.exchange.fail();
            return Err(Reason::Unknown);
        }
        self.attach(received);
        Ok(())
    }

    /// Returns whether a response can go on with the stream: if the client has its head, it must be
    /// of the same kind.
    fn continues(&self, response: &Response<Incoming>) -> bool {
        match self.event_forwarded {
            true => {
                response.status() == self.status
                    && media_type(response.headers()) == media_type(&self.headers)
            }
            false => response.status().is_success(),
        }
    }
}

/// Returns the content type without its parameters.
fn media_type(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    Some(value.split(';').next().unwrap_or(value).trim())
}

async fn read(forwarder: &Forwarder, source: &mut Source) -> ReadOutcome {
    loop {
        let waiting = Waiting {
            registration: &source.registration,
            relay: source.connection.relay.as_deref(),
            progressed: source.progressed,
        };
        match forwarder.wait_for(waiting, source.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => {
                    source.exchange.record_activity();
                    return ReadOutcome::Bytes(bytes);
                }
                Err(_) => continue,
            },
            Ok(Some(Err(error))) => return ReadOutcome::Broken(error.to_string()),
            Ok(None) => return ReadOutcome::End,
            Err(WaitError::DeadlinePassed) => return ReadOutcome::DeadlinePassed,
            Err(WaitError::Unresponsive) => return ReadOutcome::Unresponsive,
            Err(WaitError::Quarantined) => return ReadOutcome::Quarantined,
        }
    }
}
