//! Forwards one request from a client to an endpoint, and the response back.

mod answers;
mod exchange;

pub use exchange::{Cut, Exchange, WaitError, Waiting};

use crate::answer::{self, Body, Reason};
use crate::budgets::{Budgets, Error as BudgetsError, Reservation};
use crate::coordinators::{BookingGuard, Coordinators, Placement};
use crate::customers::{self, Identity};
use crate::ingress::bodies::{Bodies, Holding};
use crate::origins::Origins;
use crate::paths::Paths;
use crate::quarantine::{self, Quarantine};
use crate::relay::Relay;
use crate::settings::{Settings, millis};
use crate::upstream::{Connection, Pool};
use crate::view::View;
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Response, Uri};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use platform::header;
use sched::admission::{Fallback, Stage};
use sched::attempt::{self, Action, Attempt, Progress};
use sched::coordinator;
use sched::fleet::{Criteria, Registration};
use sched::id::{EndpointId, SoftwareVersion, Version};
use sched::limit::Permit;
use sched::origin;
use sched::quarantine::{Fingerprints, Phase};
use sched::quota::{Charge, Class, Denial};
use sched::request::Metadata;
use sched::retry;
use sched::route::{Engine, Route, Table};
use sched::spend;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Retry-After when no endpoint accepted the request.
const RETRY_AFTER_NO_ENDPOINT: Duration = Duration::from_millis(250);
/// Retry-After when this daemon cannot serve the request at the moment.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(100);
/// Retry-After for a turn when the key-value service is unavailable. Outages last for seconds, and
/// a client that retries sooner quickly uses up its attempts.
const RETRY_AFTER_NO_RECORD: Duration = Duration::from_millis(1_200);
/// Time before the request's deadline at which the final response is sent.
const REPLY_MARGIN: Duration = Duration::from_millis(15);
/// Maximum number of prompt parts sent to a coordinator; a session has only a few, however long it
/// is.
const MAX_PROMPT_PARTS: usize = 32;
/// Number of times that a request may lose, in one attempt, the number of endpoints that puts it in
/// quarantine.
const MAX_CRASHES_FACTOR: u32 = 2;
/// Difference in load up to which affinity outweighs load, as a share of an endpoint's slots.
const AFFINITY_LOAD: f64 = 0.3;

/// State shared by all requests.
pub struct Context {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// Configuration, endpoints and peers known to this daemon.
    pub view: Arc<View>,
    /// Idle connections to endpoints.
    pub pool: Arc<Pool>,
    /// Ways to endpoints.
    pub paths: Arc<Paths>,
    /// Reservations of tokens from programs' budgets.
    pub budgets: Arc<Budgets>,
    /// Bookings of endpoints.
    pub coordinators: Arc<Coordinators>,
    /// Software versions that began streams.
    pub origins: Arc<Origins>,
    /// Requests that crash endpoints.
    pub quarantine: Arc<Quarantine>,
    /// Bodies of clients' requests.
    pub bodies: Bodies,
    buffers: answers::Limiter,
    retry_budget: Mutex<retry::Budget>,
    rng: Mutex<fastrand::Rng>,
}

impl Context {
    /// Creates the state, with an empty connection pool.
    pub fn new(
        settings: Arc<Settings>,
        view: Arc<View>,
        budgets: Arc<Budgets>,
        kv: platform::kv::Client,
    ) -> Self {
        let rng = Mutex::new(fastrand::Rng::new());
        let coordinators =
            Arc::new(Coordinators::new(settings.clone(), view.clone(), budgets.clone()));
        let origins = Arc::new(Origins::new(settings.clone(), view.clone(), budgets.clone(), kv));
        let paths = Arc::new(Paths::new(settings.clone(), view.clone()));
        let quarantine = Arc::new(Quarantine::new(settings.clone(), view.clone(), budgets.clone()));
        let bodies = Bodies::new(settings.held_body_bytes(), millis(settings.limits.body_stall_ms));
        let (pool, buffers, retry_budget) =
            (Arc::default(), answers::Limiter::default(), Mutex::default());
        Self {
            settings,
            view,
            pool,
            paths,
            budgets,
            coordinators,
            origins,
            quarantine,
            bodies,
            buffers,
            retry_budget,
            rng,
        }
    }

    fn with_rng<R>(&self, sample: impl FnOnce(&mut fastrand::Rng) -> R) -> R {
        sample(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Accesses the budget for retries of requests whose response is late.
    fn with_retry_budget<R>(&self, update: impl FnOnce(&mut retry::Budget) -> R) -> R {
        update(&mut self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a randomized Retry-After of up to `expected`.
    fn retry_after(&self, expected: Duration) -> Option<Duration> {
        Some(self.with_rng(|rng| attempt::retry_after(expected, rng)))
    }
}

/// A request received from a client, with its whole body in memory.
pub struct ClientRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as sent by the client.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Memory that the body holds until the request has ended.
    pub holding: Holding,
    /// Scheduling metadata parsed from the headers.
    pub metadata: Metadata,
    /// When the head of the request was received.
    pub received_at: Instant,
}

/// Forwards one request and keeps the state of its attempts.
pub struct Forwarder {
    /// State shared by all requests.
    pub context: Arc<Context>,
    /// The client's request.
    pub request: ClientRequest,
    /// Route that matched the request.
    pub route: Route,
    service: CompactString,
    identity: Identity,
    /// Whether the request has spent a part of its customer's quota.
    charged: bool,
    attempt: Attempt,
    /// Time without a response after which the request is sent again; `None` if it must not be, or
    /// already was.
    retry_timeout: Option<Duration>,
    /// Whether the request is the first of its program.
    stage: Stage,
    /// Version of the software that began the stream, if it is known.
    origin: Option<SoftwareVersion>,
    /// Whether the version of the endpoint that got the last request is certain.
    origin_certain: bool,
    /// Retry-After to send if the request was rejected as overload.
    retry_after: Option<Duration>,
    /// What the request has in common with its repetitions, once it was needed.
    fingerprints: OnceLock<Fingerprints>,
    /// Endpoints whose processes ended while they had the request.
    crashes: u32,
    /// Endpoints that the request was sent to through another daemon.
    relayed: Vec<EndpointId>,
    /// Number of crashes for which a decision was waited for.
    judged: u32,
    /// Version of the configuration that the route comes from.
    version: Version,
    deadline: Instant,
}

/// Endpoint chosen for an attempt.
struct Target {
    registration: Registration,
    booked: Option<BookingGuard>,
    permit: Permit,
}

/// A response from an endpoint whose head has been received.
pub struct EndpointResponse {
    /// Head of the response, and its body, which is still to be read.
    pub response: Response<Incoming>,
    /// Connection that the body is read from.
    pub connection: Connection,
    /// Endpoint that sent the response.
    pub registration: Registration,
    /// Exchange that the response belongs to.
    pub exchange: Exchange,
}

/// Forwards a request and returns the response for the client.
///
/// While the daemon is shutting down, `exit_deadline` is the latest time at which the process
/// exits; a request with a later deadline is rejected.
pub async fn serve(
    context: Arc<Context>,
    table: &Table,
    request: ClientRequest,
    exit_deadline: Option<Instant>,
) -> Response<Body> {
    let id = request.metadata.id.clone();
    let host = request.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(request.uri.host()).unwrap_or_default();
    let Some(route) = table.find(host, request.uri.path()) else {
        // A 404 ends a program, so it must not come from an old configuration.
        return match context.view.is_current(Instant::now()) {
            true => answer::unrouted(Reason::NoRoute, &id, None),
            false => answer::unrouted(
                Reason::RouteUnconfirmed,
                &id,
                context.retry_after(RETRY_AFTER_NO_ENDPOINT),
            ),
        };
    };
    let Some(identity) = Identity::find(table, route, &request.headers) else {
        let reason = customers::unknown_key(context.view.is_current(Instant::now()));
        let retry_after = match reason {
            Reason::KeyUnconfirmed => context.retry_after(RETRY_AFTER_NO_ENDPOINT),
            _ => None,
        };
        return answer::unrouted(reason, &id, retry_after);
    };
    identity.count(table, "asked");
    let Some(service) = route.select_service(request.metadata.affinity_key()) else {
        return answer::unrouted(
            Reason::NoEndpoint,
            &id,
            context.retry_after(RETRY_AFTER_NO_ENDPOINT),
        );
    };
    let timeout = request.metadata.deadline.map_or(route.timeout, |wait| wait.min(route.timeout));
    let forwarder = Forwarder {
        identity,
        charged: false,
        attempt: Attempt::new(route.kind, route.max_attempts),
        retry_timeout: retry::retry_timeout(route),
        stage: Stage::Continues,
        origin: None,
        origin_certain: true,
        retry_after: None,
        fingerprints: OnceLock::new(),
        crashes: 0,
        relayed: Vec::new(),
        judged: 0,
        version: table.version,
        deadline: request.received_at + timeout,
        service: service.clone(),
        route: route.clone(),
        context,
        request,
    };
    if exit_deadline.is_some_and(|exit_deadline| forwarder.deadline > exit_deadline) {
        return forwarder.give_up(Reason::Stopping);
    }
    forwarder.run().await
}

impl Forwarder {
    /// Returns the maximum number of idle connections that this daemon keeps to one endpoint: half
    /// of its share of the connections that the endpoint accepts from all daemons.
    pub fn max_idle_connections(&self) -> usize {
        let daemons = self.context.view.with_members(indexmap::IndexMap::len).max(1);
        let table = self.context.view.table();
        let service = table.as_ref().and_then(|table| table.services.get(&self.service));
        let max_connections = service.map_or(0, |service| service.max_connections as usize);
        (max_connections / daemons / 2).max(1)
    }

    /// Returns the time left until the request's deadline.
    fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the time by which the final response must be sent, shortly before the deadline.
    pub fn reply_deadline(&self) -> Instant {
        self.deadline - REPLY_MARGIN
    }

    async fn run(mut self) -> Response<Body> {
        if self.retry_timeout.is_some() {
            self.context.with_retry_budget(retry::Budget::deposit);
        }
        if self.is_quarantined(Instant::now()) {
            return self.give_up(Reason::Quarantined);
        }
        if let Err(reason) = self.find_origin().await {
            return self.give_up(reason);
        }
        let reservation = match self.reserve().await {
            Ok(reservation) => reservation,
            Err(response) => return *response,
        };
        if let Some(reservation) = &reservation {
            self.stage = reservation.stage;
        }
        let mut preferred = None;
        loop {
            let received = match self.send_with_retries(preferred.take(), None).await {
                Ok(received) => received,
                Err(reason) => return self.give_up(reason),
            };
            let is_stream = self.route.kind.is_stream() && received.response.status().is_success();
            if is_stream {
                return self.relay_stream(received, reservation).await;
            }
            match self.buffer_response(received).await {
                Ok(response) => return response,
                Err(Action::RetryAny) => {}
                Err(Action::RetrySame(endpoint)) => {
                    tokio::time::sleep(self.attempt.backoff()).await;
                    preferred = Some(endpoint);
                }
                Err(Action::FailNotRun) => return self.give_up(Reason::NoEndpoint),
                Err(Action::FailUnknown) if Instant::now() >= self.reply_deadline() => {
                    return self.give_up(Reason::Deadline);
                }
                Err(Action::FailUnknown) => return self.give_up(Reason::Unknown),
            }
        }
    }

    /// Finds out which software version began the stream that the client resumes, if it does.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when the version is not known.
    async fn find_origin(&mut self) -> Result<(), Reason> {
        let metadata = &self.request.metadata;
        if !self.route.kind.is_stream() || metadata.resume_after.is_none() {
            return Ok(());
        }
        let begun = metadata.resumes.as_ref().ok_or(Reason::NoOrigin)?;
        let origins = &self.context.origins;
        let mut known = "yes";
        self.origin = origins.find(begun).await;
        if self.origin.is_none() {
            self.origin = origins.find_durably(begun, &self.service, self.resume_window()).await;
            known = if self.origin.is_some() { "durably" } else { "no" };
        }
        metrics::counter!("streams_resumed_by_clients_total", "known" => known).increment(1);
        self.origin.as_ref().map(drop).ok_or(Reason::NoOrigin)
    }

    /// Returns whether it is known at which version the stream may go on.
    pub fn has_origin(&self) -> bool {
        self.origin.is_some()
    }

    /// Records that an endpoint of `version` sent the first event of the stream, if that is certain:
    /// without a record a stream is not resumed, with a wrong one two versions are joined.
    pub fn record_origin(&mut self, version: &SoftwareVersion) {
        if self.origin.is_none() && self.origin_certain {
            self.origin = Some(version.clone());
            let (id, window) = (&self.request.metadata.id, self.resume_window());
            self.context.origins.record(id, version, &self.service, window);
        }
    }

    /// Returns the time within which the client resumes the stream, counted from its first event.
    fn resume_window(&self) -> Duration {
        origin::resume_window(self.route.timeout)
    }

    /// Returns whether an endpoint has the version that began the stream, if one did.
    fn allows(&self, registration: &Registration) -> bool {
        self.origin.as_ref().is_none_or(|origin| *origin == registration.version)
    }

    /// Reserves the tokens of a turn from its program's budget; returns `None` for a request that
    /// is not a turn of a program with a budget.
    ///
    /// # Errors
    ///
    /// Returns the local reply to send when the turn must not run.
    async fn reserve(&self) -> Result<Option<Reservation>, Box<Response<Body>>> {
        let metadata = &self.request.metadata;
        let (Some(program), Some(budget)) = (&metadata.program, metadata.budget) else {
            return Ok(None);
        };
        if !self.route.kind.is_stream() {
            return Ok(None);
        }
        let request = spend::ReservationRequest {
            program: program.clone(),
            budget,
            request_id: metadata.id.clone(),
            max_tokens: metadata.max_output_tokens,
            daemon: self.context.budgets.process().clone(),
            handed_out: 0,
            retention: self.route.retention,
        };
        match self.context.budgets.reserve(request).await {
            Ok(reservation) => Ok(Some(reservation)),
            Err(BudgetsError::Exhausted) => {
                Err(Box::new(self.reply_locally(Reason::BudgetSpent, None)))
            }
            Err(BudgetsError::NoOwner) => {
                let retry_after = self.context.retry_after(RETRY_AFTER_UNAVAILABLE);
                Err(Box::new(self.reply_locally(Reason::NoOwner, retry_after)))
            }
            Err(BudgetsError::NoRecord) => {
                let retry_after = self.context.retry_after(RETRY_AFTER_NO_RECORD);
                Err(Box::new(self.reply_locally(Reason::NoRecord, retry_after)))
            }
        }
    }

    /// Sends the request to endpoints until one returns the head of a response.
    ///
    /// `preferred` is the endpoint to try first, and `resume_after` the id of the last event that
    /// the client has received.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when the deadline passes or no further attempt is
    /// allowed.
    pub async fn send_with_retries(
        &mut self,
        mut preferred: Option<EndpointId>,
        resume_after: Option<u64>,
    ) -> Result<EndpointResponse, Reason> {
        loop {
            let now = Instant::now();
            if now >= self.reply_deadline() {
                return Err(self.deadline_reason());
            }
            self.check_identity()?;
            self.check_crashes().await?;
            let target = self.choose_target(preferred.take(), now).await?;
            let delay = target.permit.delay();
            if Instant::now() + delay >= self.reply_deadline() {
                return Err(self.deadline_reason());
            }
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
                self.check_identity()?;
            }
            let action = match self.send_once(target, resume_after).await {
                Ok(response) => return Ok(response),
                Err(action) => action,
            };
            match action {
                Action::RetryAny => {}
                Action::RetrySame(endpoint) => {
                    tokio::time::sleep(self.attempt.backoff()).await;
                    preferred = Some(endpoint);
                }
                Action::FailNotRun => return Err(Reason::NoEndpoint),
                Action::FailUnknown if Instant::now() >= self.reply_deadline() => {
                    return Err(Reason::Deadline);
                }
                Action::FailUnknown if self.is_quarantined(Instant::now()) => {
                    return Err(Reason::Quarantined);
                }
                Action::FailUnknown => return Err(Reason::Unknown),
            }
        }
    }

    /// Checks that the sender may still send the request, since its key may have been taken away.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when it may not.
    fn check_identity(&self) -> Result<(), Reason> {
        let holds = self.context.view.table().is_none_or(|table| {
            table.version == self.version || self.identity.holds_in(&table, self.route.public)
        });
        match (holds, self.attempt.progress()) {
            (true, _) => Ok(()),
            (false, Progress::NotRun) => Err(Reason::UnknownKey),
            (false, _) => Err(Reason::Unknown),
        }
    }

    /// Returns what the request has in common with its repetitions.
    fn fingerprints(&self) -> &Fingerprints {
        self.fingerprints.get_or_init(|| {
            quarantine::fingerprints(self.identity.name(), &self.route.host, &self.request)
        })
    }

    /// Returns whether the request is quarantined, and counts it if so.
    fn is_quarantined(&self, now: Instant) -> bool {
        let quarantine = &self.context.quarantine;
        !quarantine.is_empty() && quarantine.refuse(self.fingerprints(), now)
    }

    /// Checks that the request may be sent to another endpoint after those that it may have crashed.
    ///
    /// After as many as put it in quarantine, it waits for the decision. Twice as many end the attempt
    /// also where no arbiter can be reached.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when it may not.
    async fn check_crashes(&mut self) -> Result<(), Reason> {
        let allowed = self.context.settings.quarantine.crashes;
        if allowed > 0 && self.crashes >= allowed && self.judged < self.crashes {
            self.judged = self.crashes;
            tokio::time::sleep(quarantine::JUDGEMENT_TIME).await;
        }
        if self.is_quarantined(Instant::now()) {
            return Err(Reason::Quarantined);
        }
        match allowed > 0 && self.crashes >= allowed * MAX_CRASHES_FACTOR {
            true => Err(Reason::Unknown),
            false => Ok(()),
        }
    }

    /// Records that the request has completed.
    pub fn on_completed(&self) {
        if self.context.settings.quarantine.crashes == 0 {
            return;
        }
        let quarantine = &self.context.quarantine;
        quarantine.record_completed(self.fingerprints(), &self.service, Instant::now());
    }

    /// Returns what the request has yet to spend of its customer's quota.
    fn charge(&self) -> Option<Charge> {
        let customer = self.identity.customer.as_ref().filter(|_| !self.charged)?;
        customer.quota?;
        let is_turn = self.route.kind.is_stream() && self.request.metadata.program.is_some();
        let class = match is_turn && self.stage == Stage::Begins {
            true => Class::Begin,
            false => Class::Continue,
        };
        Some(Charge { customer: customer.name.clone(), class })
    }

    fn deadline_reason(&self) -> Reason {
        match self.attempt.give_up() {
            Action::FailNotRun => Reason::DeadlineNotRun,
            _ => Reason::Deadline,
        }
    }

    /// Chooses an endpoint: `preferred` if it accepts work, else one booked by a coordinator, else
    /// one selected from this daemon's own data.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when the service is overloaded or has no endpoint left.
    async fn choose_target(
        &mut self,
        preferred: Option<EndpointId>,
        now: Instant,
    ) -> Result<Target, Reason> {
        let view = &self.context.view;
        let registration = |id: &EndpointId| {
            view.with_fleet(|fleet| {
                fleet.registration(id).filter(|found| fleet.accepts(found, now))
            })
            .filter(|found| self.allows(found))
        };
        if let Some(registration) = preferred.as_ref().and_then(registration) {
            return self.target_at(registration).await;
        }
        match self.context.coordinators.book(self.booking_request(), self.request.body.len()).await
        {
            Placement::Booked(booked, permit) if self.allows(&booked.registration) => {
                let registration = booked.registration.clone();
                return Ok(Target { registration, booked: Some(*booked), permit });
            }
            Placement::Denied(Denial::OverQuota(refusal)) => {
                self.retry_after = Some(refusal.retry_after);
                return Err(Reason::OverQuota);
            }
            Placement::Denied(Denial::Unconfirmed) => return Err(Reason::QuotaUnconfirmed),
            Placement::Unknown if self.charge().is_some() => return Err(Reason::QuotaUnconfirmed),
            // The overload reply guarantees that the request has not run.
            Placement::Refused(refusal) if self.attempt.progress() == Progress::NotRun => {
                self.retry_after = Some(refusal.retry_after);
                return Err(Reason::Overloaded);
            }
            Placement::Unknown if self.stage == Stage::Begins && !self.has_local_capacity(now) => {
                let spread = self.context.with_rng(fastrand::Rng::f64);
                self.retry_after = Some(Fallback::refusal(spread).retry_after);
                return Err(Reason::Overloaded);
            }
            // The coordinator has spent the rate limits of its endpoints.
            Placement::Refused(_) => {
                let limited = self.context.coordinators.limited(&self.service, now);
                return self.select_locally(limited).ok_or_else(|| self.no_endpoint_reason());
            }
            // The coordinator may know another version of an endpoint that started again.
            Placement::Booked(..) | Placement::Unknown => {}
        }
        let exhausted = self.context.coordinators.exhausted_alone(&self.service, now);
        self.select_locally(exhausted).ok_or_else(|| self.no_endpoint_reason())
    }

    /// Returns the endpoint that alone may run the request as the target.
    ///
    /// # Errors
    ///
    /// Returns the reason for a local reply when the endpoint's rate limit leaves no request.
    async fn target_at(&self, registration: Registration) -> Result<Target, Reason> {
        let coordinators = &self.context.coordinators;
        if coordinators.is_limited(&registration) {
            let request = self.booking_request();
            match coordinators.book_at(registration.clone(), request).await {
                Placement::Booked(booked, permit) => {
                    return Ok(Target { registration, booked: Some(*booked), permit });
                }
                Placement::Refused(_) | Placement::Denied(_) => {
                    return Err(self.no_endpoint_reason());
                }
                Placement::Unknown => {}
            }
        }
        let now = Instant::now();
        let permit = coordinators.take_alone(&registration, self.time_left(now), now);
        let permit = permit.ok_or_else(|| self.no_endpoint_reason())?;
        Ok(Target { registration, booked: None, permit })
    }

    /// Returns the reason for a local reply when no endpoint can take the request.
    fn no_endpoint_reason(&self) -> Reason {
        match self.attempt.give_up() {
            Action::FailNotRun => Reason::NoEndpoint,
            _ => Reason::Unknown,
        }
    }

    /// Returns whether a new program may start, judged only by the requests of this daemon.
    fn has_local_capacity(&self, now: Instant) -> bool {
        let load = self.context.coordinators.load_alone(&self.service, now);
        load.has_room(&self.context.settings.admission)
    }

    /// Returns the engine parameters of the request's service, or `None` if it has no engines.
    fn engine(&self) -> Option<Engine> {
        let table = self.context.view.table()?;
        table.services.get(&self.service)?.engine
    }

    fn booking_request(&self) -> coordinator::Request {
        let metadata = &self.request.metadata;
        coordinator::Request {
            id: metadata.id.clone(),
            program: self.route.kind.is_stream().then(|| metadata.program.clone()).flatten(),
            service: self.service.clone(),
            stage: self.stage,
            time_left: metadata.program_deadline,
            prompt: metadata.prompt_parts.iter().take(MAX_PROMPT_PARTS).copied().collect(),
            memory: self.engine().map_or(0, |engine| engine.memory),
            avoid: self.attempt.excluded().to_vec(),
            only: None,
            version: self.origin.clone(),
            object: metadata.object.clone().filter(|_| self.route.sticky),
            customer: self.identity.customer.as_ref().map(|customer| customer.name.clone()),
            charge: self.charge(),
            is_borrowed: false,
        }
    }

    /// Selects an endpoint that is not in `avoid` from this daemon's own data, without a booking.
    fn select_locally(&self, mut avoid: Vec<EndpointId>) -> Option<Target> {
        let now = Instant::now();
        avoid.extend_from_slice(self.attempt.excluded());
        let view = &self.context.view;
        let affinity = match self.route.kind.is_stream() {
            true => self.request.metadata.affinity_key(),
            false => "",
        };
        let criteria = Criteria {
            dc: &self.context.settings.dc,
            affinity,
            affinity_load: AFFINITY_LOAD,
            avoid: &avoid,
            version: self.origin.as_ref(),
        };
        let registration = self.context.with_rng(|rng| {
            view.with_fleet(|fleet| fleet.place(&self.service, &criteria, rng, now))
        })?;
        let permit = self.context.coordinators.take_alone(&registration, Duration::ZERO, now)?;
        Some(Target { registration, booked: None, permit })
    }

    /// Reads the whole response before it is forwarded, so that the request can be retried if the
    /// endpoint fails midway.
    async fn buffer_response(
        &mut self,
        received: EndpointResponse,
    ) -> Result<Response<Body>, Action> {
        let EndpointResponse { response, connection, registration, exchange } = received;
        let (parts, body) = response.into_parts();
        let deadline = tokio::time::Instant::from_std(self.reply_deadline());
        let collected = timeout_at(deadline, self.context.buffers.collect(body)).await;
        match &collected {
            Ok(Ok(_)) => drop(exchange),
            Ok(Err(_)) | Err(_) => exchange.fail(),
        }
        match collected {
            Ok(Ok(collected)) => {
                let keep_alive = header::keep_alive_timeout(&parts.headers);
                if !closes_connection(&parts.headers) {
                    let max_idle = self.max_idle_connections();
                    self.context.pool.put(connection, keep_alive, max_idle, Instant::now());
                }
                self.on_completed();
                let mut response = Response::new(collected.into_body());
                *response.status_mut() = parts.status;
                *response.headers_mut() = header::end_to_end(&parts.headers);
                Ok(self.mask_not_run_status(response))
            }
            Ok(Err(error)) => {
                drop(connection);
                let cut = match &error {
                    answers::Error::Interrupted(_) => Cut::Broken(Phase::Begun),
                    answers::Error::TooLong | answers::Error::LimitExceeded => Cut::Given,
                };
                Err(self.on_interrupted(&registration, cut, &error.to_string()).await)
            }
            Err(_) => {
                drop(connection);
                Err(self.attempt.give_up())
            }
        }
    }

    /// Replaces a response whose status promises that the request has not run, since an endpoint
    /// that returned it without marking the request as not run may have run it.
    fn mask_not_run_status(&self, response: Response<Body>) -> Response<Body> {
        match response.status().as_u16() {
            408 | 421 | 429 | 503 => self.reply_locally(Reason::Unknown, None),
            _ => response,
        }
    }

    async fn relay_stream(
        self,
        received: EndpointResponse,
        reservation: Option<Reservation>,
    ) -> Response<Body> {
        let event_tokens = self.engine().map_or(1, |engine| engine.event_tokens);
        let mut relay = Relay::new(self, received, reservation, event_tokens);
        // The head is sent with the first event; until then it can still be replaced by that of
        // another attempt or by a local reply.
        let first = match relay.next().await {
            Some(Ok(bytes)) => Some(bytes),
            Some(Err(reason)) => return relay.into_forwarder().give_up(reason),
            None => None,
        };
        let (status, headers) = relay.head();
        let rest = futures::stream::unfold(relay, |mut relay| async move {
            let item = relay.next().await?;
            let frame = item.map(Frame::data);
            Some((frame.map_err(|reason| std::io::Error::other(reason.name())), relay))
        });
        let first = futures::stream::iter(first.map(|bytes| Ok(Frame::data(bytes))));
        let body = StreamBody::new(futures::StreamExt::chain(first, rest));
        let mut response = Response::new(BodyExt::boxed_unsync(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Builds and logs a local reply to this request.
    fn reply_locally(&self, reason: Reason, retry_after: Option<Duration>) -> Response<Body> {
        // Log lines below the warning level may be dropped under load. Lines about requests that
        // may have run must not be.
        let level = match reason {
            Reason::Unknown | Reason::Deadline | Reason::Quarantined => log::Level::Warn,
            _ => log::Level::Info,
        };
        log::log!(
            target: "answer",
            level,
            request = self.request.metadata.id.as_str(),
            program = self.request.metadata.program.as_deref().unwrap_or_default(),
            route = self.route.name.as_str(),
            kind = format!("{:?}", self.route.kind),
            customer = self.identity.name(),
            reason = reason.name(),
            config = self.version,
            revision = self.context.view.revision(),
            age_ms = self.request.received_at.elapsed().as_millis() as u64,
            tries = self.attempt.excluded().len();
            "sent a local reply"
        );
        if let Some(table) = self.context.view.table() {
            self.identity.count(&table, reason.name());
        }
        answer::build(reason, &self.request.metadata.id, retry_after)
    }

    /// Ends the request with a local reply, with a Retry-After if the reason calls for one.
    fn give_up(&self, reason: Reason) -> Response<Body> {
        let retry_after = match reason {
            Reason::NoEndpoint | Reason::NoOrigin => {
                self.context.retry_after(RETRY_AFTER_NO_ENDPOINT)
            }
            Reason::Overloaded | Reason::OverQuota => self.retry_after,
            Reason::QuotaUnconfirmed => self.context.retry_after(RETRY_AFTER_UNAVAILABLE),
            Reason::DeadlineNotRun | Reason::Stopping => {
                self.context.retry_after(RETRY_AFTER_UNAVAILABLE)
            }
            _ => None,
        };
        self.reply_locally(reason, retry_after)
    }
}

/// Returns whether the endpoint closes the connection after a response with these headers.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let value = headers.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
