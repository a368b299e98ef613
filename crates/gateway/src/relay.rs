//! A stream on its way to a client.
//!
//! Only whole events are passed on, each as it comes. When an endpoint breaks off, the stream is
//! resumed after the last event that was passed on, within the same answer; events that come again
//! are dropped, and a gap in their ids counts as broken off too. Nothing runs ahead of the client:
//! the client's connection asks for each event, and a client that leaves drops the stream, which
//! closes the connection to the endpoint.

use crate::desk::Reservation;
use crate::forward::{Head, Quiet, Trip, Visit, closes};
use crate::local_reply::Reason;
use crate::upstream::Link;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::event::{Event, Splitter};
use platform::header;
use sched::attempt::Action;
use sched::fleet::Registration;
use sched::id::Tokens;
use std::time::{Duration, Instant};

/// The endpoint's side of a stream.
struct Source {
    body: Incoming,
    link: Link,
    registration: Registration,
    visit: Visit,
    keep_alive: Option<Duration>,
    closes: bool,
}

/// What a wait for the endpoint ended with.
enum Heard {
    Bytes(Bytes),
    End,
    Broken(String),
    Overdue,
}

/// A stream under way.
pub struct Relay {
    trip: Trip,
    source: Option<Source>,
    splitter: Splitter,
    status: StatusCode,
    headers: HeaderMap,
    last: Option<u64>,
    passed_on: bool,
    reservation: Option<Reservation>,
    event_tokens: Tokens,
}

impl Relay {
    /// Starts with an answer whose head has come.
    pub fn new(
        trip: Trip,
        head: Head,
        reservation: Option<Reservation>,
        event_tokens: Tokens,
    ) -> Self {
        let last = trip.arrival.metadata.resume_after;
        let mut relay = Self {
            trip,
            source: None,
            splitter: Splitter::default(),
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            last,
            passed_on: false,
            reservation,
            event_tokens,
        };
        relay.attach(head);
        relay
    }

    /// Status and headers for the client.
    pub fn head(&self) -> (StatusCode, HeaderMap) {
        (self.status, self.headers.clone())
    }

    /// Gives the request back, to answer it otherwise.
    pub fn into_trip(self) -> Trip {
        self.trip
    }

    fn attach(&mut self, head: Head) {
        let Head { response, link, registration, visit } = head;
        let (parts, body) = response.into_parts();
        let keep_alive = header::keep_alive_timeout(&parts.headers);
        let closes = closes(&parts.headers);
        if !self.passed_on {
            self.status = parts.status;
            self.headers = header::end_to_end(&parts.headers);
        }
        self.splitter.clear();
        self.source = Some(Source { body, link, registration, visit, keep_alive, closes });
    }

    /// The next event, `None` after the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot go on.
    pub async fn next(&mut self) -> Option<Result<Bytes, Reason>> {
        loop {
            while let Some(event) = self.splitter.take() {
                match self.admit(event) {
                    Ok(Some(bytes)) => return Some(Ok(bytes)),
                    Ok(None) => {}
                    Err(why) => {
                        if let Err(reason) = self.resume(&why).await {
                            return Some(Err(reason));
                        }
                    }
                }
            }
            let source = self.source.as_mut()?;
            let broken = match hear(&self.trip, source).await {
                Heard::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => error.to_string(),
                },
                Heard::End if self.splitter.is_empty() => {
                    self.finish();
                    return None;
                }
                Heard::End => "the stream ended inside an event".to_owned(),
                Heard::Broken(why) => why,
                Heard::Overdue => {
                    self.source = None;
                    return Some(Err(Reason::Deadline));
                }
            };
            if let Err(reason) = self.resume(&broken).await {
                return Some(Err(reason));
            }
        }
    }

    /// Decides whether an event is passed on.
    fn admit(&mut self, event: Event) -> Result<Option<Bytes>, String> {
        if let Some(id) = event.id {
            let expected = self.last.map_or(id, |last| last + 1);
            if id < expected {
                return Ok(None);
            }
            if id > expected {
                return Err(format!("event {id} came where {expected} was due"));
            }
            self.last = Some(id);
        }
        self.passed_on = true;
        if let Some(reservation) = &self.reservation {
            reservation.hand_out(self.event_tokens, Instant::now());
        }
        Ok(Some(event.bytes))
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            drop(source.visit);
            if !source.closes {
                let pool = &self.trip.context.pool;
                let share = self.trip.idle_share();
                pool.keep(source.link, source.keep_alive, share, Instant::now());
            }
        }
        self.reservation = None;
    }

    async fn resume(&mut self, why: &str) -> Result<(), Reason> {
        let Some(source) = self.source.take() else {
            return Err(Reason::Unknown);
        };
        let Source { body, link, registration, visit, .. } = source;
        // The former run has to end before another one begins.
        drop((body, link));
        visit.fail();
        let only = match self.trip.lost(&registration, why).await {
            Action::RetrySame(endpoint) => Some(endpoint),
            Action::RetryAny => None,
            Action::FailNotRun | Action::FailUnknown => return Err(Reason::Unknown),
        };
        let head = self.trip.head(only, self.last).await?;
        if !head.response.status().is_success() {
            return Err(Reason::Unknown);
        }
        self.attach(head);
        Ok(())
    }
}

async fn hear(trip: &Trip, source: &mut Source) -> Heard {
    loop {
        match trip.hear(&source.registration, source.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => {
                    source.visit.hear();
                    return Heard::Bytes(bytes);
                }
                Err(_) => continue,
            },
            Ok(Some(Err(error))) => return Heard::Broken(error.to_string()),
            Ok(None) => return Heard::End,
            Err(Quiet::Overdue) => return Heard::Overdue,
            Err(Quiet::Silent) => return Heard::Broken("the endpoint stays silent".to_owned()),
        }
    }
}
