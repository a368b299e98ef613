//! One attempt of a request: sends it to one endpoint and waits for the head of the response.
//!
//! An attempt can fail in several ways. They are distinguished here by whether any bytes of the
//! request may have been sent, and by what the failure says about the endpoint.

use super::{Context, EndpointResponse, Forwarder, Target};
use crate::coordinators::BookingGuard;
use crate::settings::millis;
use crate::upstream::{self, BufferedRequest, Connection, Identity};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::header;
use sched::attempt::{Action, Failure, Progress};
use sched::coordinator;
use sched::fleet::Registration;
use sched::limit::Purpose;
use sched::quarantine::{Accusation, Phase, Process};
use sched::retry;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// HTTP statuses of final responses. What has another one is no response, whatever else it says.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// Time after sending within which a lost connection counts as reset by an endpoint that is down;
/// no endpoint runs a request that fast.
const RESET_WINDOW: Duration = Duration::from_millis(20);
/// Time without data from an endpoint after which the end of an exchange counts as a failure of the
/// endpoint.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// The connection on which data is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// Endpoint at the other end.
    pub registration: &'a Registration,
    /// Daemon that passes on the bytes; `None` for a direct connection.
    pub relay: Option<&'a str>,
    /// Whether the endpoint has sent a part of the response's body.
    pub progressed: bool,
}

/// Why waiting for data from an endpoint ended without any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitError {
    /// The request's deadline passed.
    DeadlinePassed,
    /// The endpoint sent nothing and accepts no new connection.
    Unresponsive,
    /// The request was put in quarantine.
    Quarantined,
}

/// How the data of an endpoint ended too early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The connection broke when the request was this far.
    Broken(Phase),
    /// This daemon gave up on the endpoint: it is silent, or what it sends cannot be used.
    Given,
}

/// Why an endpoint must not get a request for a stream.
#[derive(Debug, thiserror::Error)]
enum IdentityError {
    /// The connection failed.
    #[error("failed to ask the endpoint which process it is: {0}")]
    Interrupted(#[from] upstream::Error),
    /// A process with this incarnation answers in place of the registered one.
    #[error("another process answers, with incarnation {0}")]
    Replaced(u64),
    /// The endpoint does not say which process it is, and the view is not current.
    #[error("the endpoint does not say which process it is, and the view is not current")]
    Unknown,
}

/// A request in progress at an endpoint, counted in the endpoint's load until dropped.
pub struct Exchange {
    context: Arc<Context>,
    registration: Registration,
    booked: Option<BookingGuard>,
    /// When the endpoint last sent something, or else when the exchange began.
    last_activity: Instant,
}

impl Exchange {
    /// Records that the endpoint sent something.
    pub fn record_activity(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Records that bytes of the request may have been sent.
    fn record_sent(&mut self) {
        if let Some(booked) = &mut self.booked {
            booked.end = coordinator::End::Done;
        }
    }

    /// Returns whether the booking of this exchange spent a part of a customer's quota.
    fn is_charged(&self) -> bool {
        self.booked.as_ref().is_some_and(|booked| booked.is_charged)
    }

    /// Records that the endpoint said that it did not run the request.
    fn record_rejected(&mut self) {
        if let Some(booked) = &mut self.booked {
            booked.end = coordinator::End::Rejected;
        }
    }

    /// Ends the exchange without any byte of the request sent.
    fn cancel(mut self) {
        if let Some(booked) = &mut self.booked {
            booked.end = coordinator::End::Unsent;
        }
    }

    /// Ends the exchange as failed by the endpoint, as far as can be told.
    pub fn fail(mut self) {
        self.record_failed();
    }

    fn record_failed(&mut self) {
        let is_cut = self.context.paths.is_cut(&self.registration);
        if let Some(booked) = &mut self.booked {
            booked.end = match is_cut {
                true => coordinator::End::Interrupted,
                false => coordinator::End::Failed,
            };
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // Clients give up on a silent endpoint before its failure is detected in another way.
        if self.booked.is_some() && self.last_activity.elapsed() >= SILENCE_LIMIT {
            self.record_failed();
        }
        self.context.view.with_fleet(|fleet| fleet.end_request(&self.registration.id));
    }
}

impl Context {
    /// Counts a request at an endpoint until the returned exchange is dropped.
    fn begin_exchange(
        self: &Arc<Self>,
        registration: &Registration,
        booked: Option<BookingGuard>,
    ) -> Exchange {
        self.view.with_fleet(|fleet| fleet.begin_request(&registration.id));
        let (registration, last_activity) = (registration.clone(), Instant::now());
        Exchange { context: self.clone(), registration, booked, last_activity }
    }

    /// Checks that an endpoint accepts connections by opening one.
    async fn probe(&self, registration: &Registration) -> Result<(), upstream::Error> {
        let connect_timeout = millis(self.settings.limits.connect_timeout_ms);
        let connected = self.paths.connect(registration, connect_timeout).await;
        connected.map(drop).map_err(upstream::Error::from)
    }

    /// Ejects an endpoint after a failure, unless this daemon is cut off from it.
    fn record_failure(&self, registration: &Registration) {
        if !self.paths.is_cut(registration) {
            self.view.with_fleet(|fleet| fleet.record_failure(&registration.id, Instant::now()));
        }
    }
}

impl Forwarder {
    /// Sends the request to one endpoint and waits for the head of the response.
    ///
    /// This is the only place that sends a request to an endpoint; it uses up the target's permit.
    pub(super) async fn send_once(
        &mut self,
        target: Target,
        resume_after: Option<u64>,
    ) -> Result<EndpointResponse, Action> {
        let Target { registration, booked, permit: _ } = target;
        // A response from a fully loaded endpoint is expected to be late.
        let queued = booked.as_ref().is_some_and(|booked| booked.load >= 1.0);
        let mut exchange = self.context.begin_exchange(&registration, booked);
        let now = Instant::now();
        let is_cut = self.context.paths.is_cut(&registration);
        let idle = self.context.pool.take(&registration, is_cut, now);
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let connect_timeout = millis(self.context.settings.limits.connect_timeout_ms);
                match self
                    .context
                    .pool
                    .open(
                        &self.context.paths,
                        &registration,
                        connect_timeout.min(self.time_left(now)),
                    )
                    .await
                {
                    Ok(connection) => connection,
                    Err(error) => {
                        exchange.fail();
                        if self.is_inconclusive(&registration, &error) {
                            self.log_failure(&registration, &error.to_string());
                            return Err(self.attempt.on_unreached(&registration.id));
                        }
                        return Err(self.on_unreachable(&registration, &error.to_string()));
                    }
                }
            }
        };
        let request = match self.build_request(&registration, resume_after) {
            Some(request) => request,
            None => return Err(self.on_unreachable(&registration, "failed to build the request")),
        };
        let purpose = self.purpose(resume_after);
        match self.identify(&registration, &mut connection, purpose).await {
            Ok(certain) => self.origin_certain = certain,
            Err(IdentityError::Interrupted(_)) if connection.reused => {
                exchange.cancel();
                return Err(self.attempt.on_stale_connection(&registration.id));
            }
            Err(error) => {
                exchange.cancel();
                return Err(self.on_unreachable(&registration, &error.to_string()));
            }
        }
        self.note_leaving(&registration, &connection);
        // The endpoint may have been chosen a while ago, and by another daemon.
        if !self.accepts_now(&registration) {
            exchange.cancel();
            return Err(self.on_withdrawn(&registration));
        }
        self.context.coordinators.count_sent(&registration.id, purpose);
        self.attempt.on_send();
        exchange.record_sent();
        self.charged |= exchange.is_charged();
        let sent_at = Instant::now();
        let relay = connection.relay.clone();
        if relay.is_some() {
            self.relayed.push(registration.id.clone());
        }
        let sent = connection.send(request);
        let head = self.wait_for_head(&registration, relay.as_deref(), queued, sent).await;
        self.note_leaving(&registration, &connection);
        let error = match head {
            Some(Ok(Ok(response))) => {
                if purpose == Purpose::Resume {
                    self.log_resumed(&registration, resume_after);
                }
                return self.check_response(response, connection, registration, exchange);
            }
            Some(Ok(Err(error))) => error,
            Some(Err(WaitError::DeadlinePassed)) => upstream::Error::DeadlinePassed,
            Some(Err(WaitError::Unresponsive)) => upstream::Error::Unresponsive,
            Some(Err(WaitError::Quarantined)) => {
                self.log_failure(&registration, "the request was put in quarantine");
                return Err(self.attempt.on_failure(&registration.id, Failure::Incomplete));
            }
            None => return Err(self.on_late_response(&registration, exchange)),
        };
        if connection.reused && matches!(error, upstream::Error::Unsent) {
            self.charged &= !exchange.is_charged();
            exchange.cancel();
            return Err(self.attempt.on_stale_connection(&registration.id));
        }
        exchange.fail();
        Err(match error {
            upstream::Error::Unsent => self.on_unreachable(&registration, &error.to_string()),
            upstream::Error::Interrupted(error) if sent_at.elapsed() < RESET_WINDOW => {
                self.on_reset(&registration, connection.reused, &error.to_string())
            }
            error => {
                let cut = match &error {
                    upstream::Error::Interrupted(_) => Cut::Broken(Phase::Waiting),
                    _ => Cut::Given,
                };
                self.on_interrupted(&registration, cut, &error.to_string()).await
            }
        })
    }

    /// Returns whether an endpoint accepts new requests, according to this daemon's view.
    fn accepts_now(&self, registration: &Registration) -> bool {
        self.context.view.with_fleet(|fleet| fleet.accepts(registration, Instant::now()))
    }

    /// Makes sure that a stream goes on, or begins while this daemon is out of touch, only at the
    /// process that the view names: one that started again under the same id and address may have
    /// another software version. Returns whether the process is certain.
    ///
    /// # Errors
    ///
    /// Returns an [`IdentityError`] when the endpoint must not get the request.
    async fn identify(
        &self,
        registration: &Registration,
        connection: &mut Connection,
        purpose: Purpose,
    ) -> Result<bool, IdentityError> {
        let is_current = self.context.view.is_current(Instant::now());
        let resumable = self.route.kind.is_stream() && self.route.kind.idempotent();
        if !resumable || (is_current && purpose != Purpose::Resume) {
            return Ok(true);
        }
        let limit = millis(self.context.settings.limits.connect_timeout_ms);
        let identity = timeout(limit, connection.identify()).await;
        match identity.unwrap_or(Err(upstream::Error::Unresponsive))? {
            Identity::Registered => Ok(true),
            Identity::Other(incarnation) => {
                metrics::counter!("replaced_endpoints_total").increment(1);
                Err(IdentityError::Replaced(incarnation))
            }
            Identity::Unknown => {
                metrics::counter!("unidentified_endpoints_total").increment(1);
                log::info!(
                    target: "resume", request = self.request.metadata.id.as_str(),
                    endpoint = registration.id.as_str(), is_current;
                    "the endpoint does not say which process it is"
                );
                match is_current || purpose != Purpose::Resume {
                    true => Ok(is_current),
                    false => Err(IdentityError::Unknown),
                }
            }
        }
    }

    /// Records that an endpoint leaves, if it said so on this connection.
    fn note_leaving(&self, registration: &Registration, connection: &Connection) {
        let news = connection.leaving
            && self
                .context
                .view
                .with_fleet(|fleet| fleet.record_leaving(registration, Instant::now()));
        if news {
            metrics::counter!("leaving_endpoints_total").increment(1);
            log::info!(
                target: "leaving",
                request = self.request.metadata.id.as_str(),
                endpoint = registration.id.as_str(),
                incarnation = registration.incarnation,
                revision = self.context.view.revision();
                "the endpoint said in a response that it leaves"
            );
        }
    }

    /// Records that an endpoint stopped accepting requests after it was chosen.
    fn on_withdrawn(&mut self, registration: &Registration) -> Action {
        metrics::counter!("sends_withdrawn_total").increment(1);
        self.log_failure(registration, "the endpoint accepts no new requests any more");
        self.attempt.on_withdrawn(&registration.id)
    }

    /// Returns why the request is about to be sent.
    fn purpose(&self, resume_after: Option<u64>) -> Purpose {
        if resume_after.or(self.request.metadata.resume_after).is_some() {
            return Purpose::Resume;
        }
        match self.attempt.progress() {
            Progress::NotRun if self.attempt.excluded().is_empty() => Purpose::First,
            _ => Purpose::Retry,
        }
    }

    /// Waits for the head of a response; returns `None` when the response is late and the request
    /// should be sent again instead.
    async fn wait_for_head<T>(
        &self,
        registration: &Registration,
        relay: Option<&str>,
        queued: bool,
        response: impl Future<Output = T>,
    ) -> Option<Result<T, WaitError>> {
        let source = Waiting { registration, relay, progressed: false };
        let mut response = std::pin::pin!(self.wait_for(source, response));
        let Some(retry_timeout) = self.retry_timeout.filter(|_| !queued) else {
            return Some(response.await);
        };
        match timeout(retry_timeout, response.as_mut()).await {
            Ok(response) => Some(response),
            Err(_) if self.may_retry_late(registration) => None,
            Err(_) => Some(response.await),
        }
    }

    /// Returns whether a request whose response is late may be sent again, and if so takes the
    /// retry from the retry budget.
    ///
    /// If the request's attempts are used up, it is sent to the same endpoint, so that endpoint
    /// must still accept work.
    fn may_retry_late(&self, registration: &Registration) -> bool {
        self.accepts_now(registration)
            && self.context.with_retry_budget(retry::Budget::try_withdraw)
    }

    /// Ends an attempt whose response is late, so that the request can be sent once more.
    fn on_late_response(&mut self, registration: &Registration, exchange: Exchange) -> Action {
        self.retry_timeout = None;
        exchange.fail();
        metrics::counter!("requests_repeated_total").increment(1);
        self.log_failure(registration, "the response is late");
        self.attempt.on_failure(&registration.id, Failure::Incomplete)
    }

    /// Records that an endpoint reset the connection as soon as the request was sent.
    ///
    /// A reused connection may have been dropped without notice, which says nothing about the
    /// endpoint.
    fn on_reset(&mut self, registration: &Registration, reused: bool, why: &str) -> Action {
        self.log_failure(registration, why);
        if reused {
            return self.attempt.on_failure(&registration.id, Failure::Incomplete);
        }
        self.context.record_failure(registration);
        self.attempt.on_failure(&registration.id, Failure::Reset)
    }

    fn build_request(
        &self,
        registration: &Registration,
        resume_after: Option<u64>,
    ) -> Option<BufferedRequest> {
        let time_left = self.time_left(Instant::now());
        let overrides = header::Overrides {
            endpoint: &registration.id,
            time_left,
            priority: self.identity.priority(&self.route),
            resume_after: resume_after.or(self.request.metadata.resume_after),
            sender: self.identity.sender(),
        };
        let mut request = Request::builder()
            .method(self.request.method.clone())
            .uri(self.request.uri.path_and_query()?.as_str())
            .body(Full::new(self.request.body.clone()))
            .ok()?;
        *request.headers_mut() = header::forward(&self.request.headers, &overrides);
        Some(request)
    }

    /// Waits for data from an endpoint. While the endpoint sends nothing, a test connection is opened to
    /// it, along the same path, each time that the stall interval has passed.
    ///
    /// An endpoint may be silent for a moment and go on, so a request that must not be repeated is not
    /// given up at the first test connection that fails.
    ///
    /// # Errors
    ///
    /// Returns a [`WaitError`] when the deadline passes, test connections fail, or the request is put in
    /// quarantine before the endpoint sent a part of the response's body, so that the endpoint drops it.
    pub async fn wait_for<T>(
        &self,
        source: Waiting<'_>,
        data: impl Future<Output = T>,
    ) -> Result<T, WaitError> {
        let deadline = tokio::time::Instant::from_std(self.reply_deadline());
        let stall = millis(self.context.settings.limits.stall_ms);
        let patience = match self.route.kind.idempotent() {
            true => Duration::ZERO,
            false => millis(self.context.settings.limits.silence_ms),
        };
        let since = Instant::now();
        let mut data = std::pin::pin!(data);
        let mut verdicts = self.context.quarantine.subscribe();
        loop {
            if !source.progressed && self.is_quarantined(Instant::now()) {
                return Err(WaitError::Quarantined);
            }
            let next_check = deadline.min(tokio::time::Instant::now() + stall);
            let waited = tokio::select! {
                biased;
                waited = timeout_at(next_check, data.as_mut()) => waited,
                Ok(()) = verdicts.changed() => continue,
            };
            match waited {
                Ok(data) => return Ok(data),
                Err(_) if next_check >= deadline => return Err(WaitError::DeadlinePassed),
                Err(_) => {}
            }
            let paths = &self.context.paths;
            // Data that comes while the path is tested ends the wait, too.
            let tested = tokio::select! {
                biased;
                data = data.as_mut() => return Ok(data),
                tested = paths.test(source.registration, source.relay) => tested,
            };
            let is_cut = source.relay.is_none() && paths.is_cut(source.registration);
            if tested.is_err() && (is_cut || since.elapsed() >= patience) {
                if let Some(relay) = source.relay {
                    paths.on_silent_relay(relay, Instant::now());
                }
                return Err(WaitError::Unresponsive);
            }
        }
    }

    /// Checks that an endpoint accepts connections by opening one.
    async fn probe(&self, registration: &Registration) -> Result<(), upstream::Error> {
        self.context.probe(registration).await
    }

    /// Returns whether a failed connection says nothing about the endpoint.
    ///
    /// If the request was sent there through another daemon, this one may be cut off without being sure
    /// of it yet; then only a refusal counts.
    fn is_inconclusive(&self, registration: &Registration, error: &upstream::Error) -> bool {
        error.is_inconclusive() || (self.relayed.contains(&registration.id) && !error.is_refusal())
    }

    /// Checks that a response is the endpoint's own, that it belongs to this request, and that the
    /// request was run.
    fn check_response(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        registration: Registration,
        mut exchange: Exchange,
    ) -> Result<EndpointResponse, Action> {
        let status = response.status().as_u16();
        let headers = response.headers();
        if !header::matches_request(headers, &self.request.metadata.id) {
            exchange.fail();
            self.log_failure(&registration, "the response belongs to another request");
            return Err(self.attempt.on_failure(&registration.id, Failure::Incomplete));
        }
        if !FINAL_STATUSES.contains(&status) {
            exchange.fail();
            self.log_failure(&registration, "the response has no status of a final response");
            return Err(self.attempt.on_failure(&registration.id, Failure::Incomplete));
        }
        let rate = header::rate_limit(headers);
        let id = &self.request.metadata.id;
        self.context.coordinators.record_limit(&registration, rate, id);
        if header::not_run(status, headers) {
            exchange.record_rejected();
            self.charged &= !exchange.is_charged();
            let now = Instant::now();
            let view = &self.context.view;
            self.log_failure(&registration, "the endpoint did not run the request");
            if status == header::MISDIRECTED {
                view.with_fleet(|fleet| fleet.record_failure(&registration.id, now));
                return Err(self.attempt.on_gone(&registration.id));
            }
            view.with_fleet(|fleet| fleet.record_full(&registration.id, now));
            return Err(self.attempt.on_refusal(&registration.id));
        }
        if !header::has_signature(headers) || header::has_content_encoding(headers) {
            exchange.fail();
            self.log_failure(&registration, "the response has no signature or was re-encoded");
            return Err(self.attempt.on_failure(&registration.id, Failure::Incomplete));
        }
        self.context.view.with_fleet(|fleet| fleet.record_success(&registration.id));
        exchange.record_activity();
        Ok(EndpointResponse { response, connection, registration, exchange })
    }

    /// Records that no connection to an endpoint could be used, so that the request was not sent.
    fn on_unreachable(&mut self, registration: &Registration, why: &str) -> Action {
        self.log_failure(registration, why);
        self.context.record_failure(registration);
        self.attempt.on_gone(&registration.id)
    }

    /// Records that an endpoint failed after the request may have been sent. For an idempotent
    /// request it also checks whether the endpoint still accepts connections.
    pub async fn on_interrupted(
        &mut self,
        registration: &Registration,
        cut: Cut,
        why: &str,
    ) -> Action {
        self.log_failure(registration, why);
        let accusation = self.accusation(registration, cut);
        if Instant::now() >= self.reply_deadline() || !self.route.kind.idempotent() {
            if let Some(accusation) = accusation {
                let (context, registration) = (self.context.clone(), registration.clone());
                tokio::spawn(async move {
                    if has_ended(&context.probe(&registration).await) {
                        context.quarantine.accuse(accusation);
                    }
                });
            }
            return self.attempt.on_failure(&registration.id, Failure::Incomplete);
        }
        let probed = self.probe(registration).await;
        if let Some(accusation) = accusation
            && has_ended(&probed)
        {
            self.crashes += 1;
            self.context.quarantine.accuse(accusation);
        }
        let failure = match &probed {
            Err(error) if !self.is_inconclusive(registration, error) => Failure::Gone,
            _ => Failure::Incomplete,
        };
        if let Err(error) = &probed {
            log::info!(
                target: "try",
                request = self.request.metadata.id.as_str(),
                endpoint = registration.id.as_str(),
                error = error.to_string();
                "a test connection to the endpoint failed"
            );
        }
        if failure == Failure::Gone {
            self.context.record_failure(registration);
        }
        self.attempt.on_failure(&registration.id, failure)
    }

    /// Returns the report that the request was at an endpoint whose process ended, for the case that
    /// it did; `None` if the connection did not break, or if the endpoint was about to leave.
    fn accusation(&self, registration: &Registration, cut: Cut) -> Option<Accusation> {
        let Cut::Broken(phase) = cut else {
            return None;
        };
        let is_on = self.context.settings.quarantine.crashes > 0;
        let Registration { id, service, incarnation, .. } = registration.clone();
        if !is_on || !self.accepts_now(registration) {
            return None;
        }
        let quarantine = &self.context.quarantine;
        let (fingerprint, scope) = quarantine.select(self.fingerprints(), Instant::now());
        let completed = quarantine.has_completed(self.fingerprints());
        let narrow = self.fingerprints().narrow;
        Some(Accusation {
            fingerprint,
            scope,
            narrow,
            request: self.request.metadata.id.clone(),
            service,
            process: Process { endpoint: id, incarnation },
            phase,
            completed,
        })
    }

    /// Logs that a response to a request to go on with a stream is no part of the stream.
    pub fn log_mismatch(&self, received: &EndpointResponse) {
        let content_type = received.response.headers().get(http::header::CONTENT_TYPE);
        log::warn!(
            target: "resume",
            request = self.request.metadata.id.as_str(),
            endpoint = received.registration.id.as_str(),
            status = received.response.status().as_u16(),
            content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
            "the response does not go on with the stream"
        );
    }

    /// Logs that an endpoint responds to a request to go on with a stream.
    fn log_resumed(&self, registration: &Registration, resume_after: Option<u64>) {
        let metadata = &self.request.metadata;
        log::info!(
            target: "resume",
            request = metadata.id.as_str(),
            resumes = metadata.resumes.as_deref().unwrap_or_default(),
            within_response = resume_after.is_some(),
            endpoint = registration.id.as_str(),
            version = registration.version.as_str(),
            origin = self.origin.as_deref().unwrap_or("unknown");
            "a stream goes on"
        );
    }

    fn log_failure(&self, registration: &Registration, why: &str) {
        metrics::counter!("tries_failed_total").increment(1);
        log::info!(
            target: "try",
            request = self.request.metadata.id.as_str(),
            endpoint = registration.id.as_str(),
            age_ms = self.request.received_at.elapsed().as_millis() as u64;
            "{why}"
        );
    }
}

/// Returns whether a test connection shows that the endpoint's process has ended; one that times out
/// does not, since the endpoint may be cut off.
fn has_ended(probed: &Result<(), upstream::Error>) -> bool {
    matches!(probed, Err(error) if error.is_refusal())
}
