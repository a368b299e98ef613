//! One try of a request: the way to one endpoint, up to the head of its answer.
//!
//! Every way in which a try can end without an answer is told apart here, by whether bytes of the
//! request may have left and by what that says of the endpoint.

use super::{Context, Head, Trip};
use crate::settings::millis;
use crate::stewards::Booked;
use crate::upstream::{self, Link, Order};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::header;
use sched::attempt::{Action, Failure};
use sched::coordinator;
use sched::fleet::Registration;
use sched::id::EndpointId;
use sched::retry;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Time within which an endpoint that is down resets a connection; no run ends as soon.
const RESET_WITHIN: Duration = Duration::from_millis(20);

/// Status by which an endpoint says that the request is meant for another one.
const MISDIRECTED: u16 = 421;
/// Silence of an endpoint that counts as its failure when the request ends in it.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Why nothing was heard of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quiet {
    /// The time is up.
    Overdue,
    /// It takes no connection any more.
    Silent,
}

/// A request at an endpoint.
pub struct Visit {
    context: Arc<Context>,
    endpoint: EndpointId,
    booked: Option<Booked>,
    /// When the endpoint was last heard of, or the request was sent.
    heard: Instant,
}

impl Visit {
    /// Notes that something came from the endpoint.
    pub fn hear(&mut self) {
        self.heard = Instant::now();
    }

    /// Notes that the endpoint failed the request.
    pub fn fail(mut self) {
        if let Some(booked) = &mut self.booked {
            booked.end = coordinator::End::Failed;
        }
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        // Clients leave endpoints that stay silent before the endpoint's failure shows otherwise.
        if let Some(booked) = &mut self.booked
            && self.heard.elapsed() >= SILENCE
        {
            booked.end = coordinator::End::Failed;
        }
        self.context.view.fleet(|fleet| fleet.end_request(&self.endpoint));
    }
}

impl Context {
    /// Counts a request at an endpoint until the guard is dropped.
    fn begin(self: &Arc<Self>, endpoint: &EndpointId, booked: Option<Booked>) -> Visit {
        self.view.fleet(|fleet| fleet.begin_request(endpoint));
        let heard = Instant::now();
        Visit { context: self.clone(), endpoint: endpoint.clone(), booked, heard }
    }
}

impl Trip {
    /// Brings the request to one endpoint and waits for the head of its answer.
    pub(super) async fn visit(
        &mut self,
        registration: Registration,
        booked: Option<Booked>,
        resume_after: Option<u64>,
    ) -> Result<Head, Action> {
        // Behind others an answer is expected to be late.
        let queued = booked.as_ref().is_some_and(|booked| booked.load >= 1.0);
        let visit = self.context.begin(&registration.id, booked);
        let now = Instant::now();
        let idle = self.context.pool.take(&registration, now);
        let mut link = match idle {
            Some(link) => link,
            None => {
                let bound = millis(self.context.settings.limits.connect_timeout_ms);
                match self.context.pool.open(&registration, bound.min(self.left(now))).await {
                    Ok(link) => link,
                    Err(error) => {
                        visit.fail();
                        return Err(self.unreachable(&registration, &error.to_string()));
                    }
                }
            }
        };
        let order = match self.order(&registration, resume_after) {
            Some(order) => order,
            None => return Err(self.unreachable(&registration, "the request cannot be built")),
        };
        self.attempt.on_send();
        let sent = Instant::now();
        let error = match self.hear_head(&registration, queued, link.send(order)).await {
            Some(Ok(Ok(response))) => return self.check(response, link, registration, visit),
            Some(Ok(Err(error))) => error,
            Some(Err(Quiet::Overdue | Quiet::Silent)) => upstream::Error::Silent,
            None => return Err(self.repeat(&registration, visit)),
        };
        if link.reused && matches!(error, upstream::Error::Unsent) {
            return Err(self.attempt.on_stale_connection(&registration.id));
        }
        visit.fail();
        Err(match error {
            upstream::Error::Unsent => self.unreachable(&registration, &error.to_string()),
            upstream::Error::Broken(error) if sent.elapsed() < RESET_WITHIN => {
                self.reset(&registration, link.reused, &error.to_string())
            }
            error => self.lost(&registration, &error.to_string()).await,
        })
    }

    /// Waits for the head of an answer; `None` when the request is to be sent once more instead.
    async fn hear_head<T>(
        &self,
        registration: &Registration,
        queued: bool,
        heard: impl Future<Output = T>,
    ) -> Option<Result<T, Quiet>> {
        let mut heard = std::pin::pin!(self.hear(registration, heard));
        let Some(patience) = self.patience.filter(|_| !queued) else {
            return Some(heard.await);
        };
        match timeout(patience, heard.as_mut()).await {
            Ok(heard) => Some(heard),
            Err(_) if self.may_repeat(registration) => None,
            Err(_) => Some(heard.await),
        }
    }

    /// Tells whether a late request may be sent once more.
    ///
    /// Where its attempts are used up, it goes to the same endpoint, which must still take work.
    fn may_repeat(&self, registration: &Registration) -> bool {
        let takes_work =
            self.context.view.fleet(|fleet| fleet.accepts(registration, Instant::now()));
        takes_work && self.context.with_repeats(retry::Budget::try_withdraw)
    }

    /// Gives up a try whose answer is late, to send the request once more.
    fn repeat(&mut self, registration: &Registration, visit: Visit) -> Action {
        self.patience = None;
        visit.fail();
        metrics::counter!("requests_repeated_total").increment(1);
        self.note(registration, "the answer is late");
        self.attempt.on_failure(&registration.id, Failure::Incomplete)
    }

    /// Notes that an endpoint reset the connection as soon as the request came.
    ///
    /// A kept connection may have been dropped without notice, which says nothing of the endpoint.
    fn reset(&mut self, registration: &Registration, kept: bool, why: &str) -> Action {
        self.note(registration, why);
        if kept {
            return self.attempt.on_failure(&registration.id, Failure::Incomplete);
        }
        self.context.view.fleet(|fleet| fleet.record_failure(&registration.id, Instant::now()));
        self.attempt.on_failure(&registration.id, Failure::Reset)
    }

    fn order(&self, registration: &Registration, resume_after: Option<u64>) -> Option<Order> {
        let left = self.left(Instant::now());
        let order = header::Overrides {
            endpoint: &registration.id,
            time_left: left,
            priority: None,
            resume_after: resume_after.or(self.arrival.metadata.resume_after),
        };
        let mut request = Request::builder()
            .method(self.arrival.method.clone())
            .uri(self.arrival.uri.path_and_query()?.as_str())
            .body(Full::new(self.arrival.body.clone()))
            .ok()?;
        *request.headers_mut() = header::forward(&self.arrival.headers, &order);
        Some(request)
    }

    /// Waits for something of an endpoint; one that stays silent is asked for a connection now and then.
    ///
    /// # Errors
    ///
    /// Returns why it did not come.
    pub async fn hear<T>(
        &self,
        registration: &Registration,
        heard: impl Future<Output = T>,
    ) -> Result<T, Quiet> {
        let due = tokio::time::Instant::from_std(self.due());
        let stall = millis(self.context.settings.limits.stall_ms);
        let mut heard = std::pin::pin!(heard);
        loop {
            let check = due.min(tokio::time::Instant::now() + stall);
            match timeout_at(check, heard.as_mut()).await {
                Ok(heard) => return Ok(heard),
                Err(_) if check >= due => return Err(Quiet::Overdue),
                Err(_) => self.probe(registration).await.map_err(|_| Quiet::Silent)?,
            }
        }
    }

    /// Opens a connection to an endpoint that has been silent.
    async fn probe(&self, registration: &Registration) -> Result<(), upstream::Error> {
        let bound = millis(self.context.settings.limits.connect_timeout_ms);
        upstream::connect(registration, bound).await.map(drop).map_err(upstream::Error::from)
    }

    fn check(
        &mut self,
        response: Response<Incoming>,
        link: Link,
        registration: Registration,
        mut visit: Visit,
    ) -> Result<Head, Action> {
        let status = response.status().as_u16();
        let headers = response.headers();
        if !header::matches_request(headers, &self.arrival.metadata.id) {
            visit.fail();
            self.note(&registration, "the answer belongs to another request");
            return Err(self.attempt.on_failure(&registration.id, Failure::Incomplete));
        }
        if header::not_run(status, headers) {
            let now = Instant::now();
            let view = &self.context.view;
            self.note(&registration, "the endpoint did not run the request");
            if status == MISDIRECTED {
                view.fleet(|fleet| fleet.record_failure(&registration.id, now));
                return Err(self.attempt.on_gone(&registration.id));
            }
            view.fleet(|fleet| fleet.record_full(&registration.id, now));
            return Err(self.attempt.on_refusal(&registration.id));
        }
        if !header::has_signature(headers) || header::has_content_encoding(headers) {
            visit.fail();
            self.note(&registration, "the answer is not the endpoint's own");
            return Err(self.attempt.on_failure(&registration.id, Failure::Incomplete));
        }
        self.context.view.fleet(|fleet| fleet.record_success(&registration.id));
        visit.hear();
        Ok(Head { response, link, registration, visit })
    }

    fn unreachable(&mut self, registration: &Registration, why: &str) -> Action {
        self.note(registration, why);
        self.context.view.fleet(|fleet| fleet.record_failure(&registration.id, Instant::now()));
        self.attempt.on_gone(&registration.id)
    }

    /// Notes that an endpoint broke off and finds out whether it still lives.
    pub async fn lost(&mut self, registration: &Registration, why: &str) -> Action {
        self.note(registration, why);
        if Instant::now() >= self.due() {
            return self.attempt.on_failure(&registration.id, Failure::Incomplete);
        }
        let loss = match self.route.kind.idempotent() {
            true if self.probe(registration).await.is_err() => Failure::Gone,
            _ => Failure::Incomplete,
        };
        if loss == Failure::Gone {
            self.context.view.fleet(|fleet| fleet.record_failure(&registration.id, Instant::now()));
        }
        self.attempt.on_failure(&registration.id, loss)
    }

    fn note(&self, registration: &Registration, why: &str) {
        metrics::counter!("tries_failed_total").increment(1);
        log::info!(
            target: "try",
            request = self.arrival.metadata.id.as_str(),
            endpoint = registration.id.as_str(),
            age_ms = self.arrival.received_at.elapsed().as_millis() as u64;
            "{why}"
        );
    }
}
