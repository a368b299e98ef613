//! One request on its way from a client to an endpoint and back.

mod answers;
mod visit;

pub use visit::{Quiet, Visit};

use crate::desk::{Desk, Error as DeskError, Reservation};
use crate::local_reply::{self, Body, Reason};
use crate::relay::Relay;
use crate::settings::Settings;
use crate::stewards::{Booked, Placement, Stewards};
use crate::upstream::{Link, Pool};
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
use sched::id::{EndpointId, Version};
use sched::request::Metadata;
use sched::retry;
use sched::route::{Engine, Route, Table};
use sched::spend;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Time after which a request is worth sending again when no endpoint took it.
const RETRY_NO_ENDPOINT: Duration = Duration::from_millis(250);
/// Time after which a request is worth sending again when this daemon cannot serve it yet.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Time after which a turn is worth sending again when the key-value service is away; outages last for
/// seconds, and a client that comes back at once has soon used up its tries.
const RETRY_RECORD: Duration = Duration::from_millis(1_200);
/// Time before the end of the wait at which the last answer is given.
const LAST_ANSWER: Duration = Duration::from_millis(15);
/// Parts of a prompt that a steward follows; a line of turns has a few, however long it is.
const MAX_PROMPT_PARTS: usize = 32;
/// Weight of the affinity to an endpoint, as a share of its slots.
const AFFINITY_LOAD: f64 = 0.3;

/// What all requests share.
pub struct Context {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// What the daemon believes.
    pub view: Arc<View>,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    /// Reservations of budgets.
    pub desk: Arc<Desk>,
    /// Bookings of engines.
    pub stewards: Arc<Stewards>,
    answers: answers::Room,
    repeats: Mutex<retry::Budget>,
    rng: Mutex<fastrand::Rng>,
}

impl Context {
    /// Puts the parts together.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, desk: Arc<Desk>) -> Self {
        let rng = Mutex::new(fastrand::Rng::new());
        let stewards = Arc::new(Stewards::new(settings.clone(), view.clone(), desk.clone()));
        let (pool, answers, repeats) = (Arc::default(), answers::Room::default(), Mutex::default());
        Self { settings, view, pool, desk, stewards, answers, repeats, rng }
    }

    fn with_rng<R>(&self, draw: impl FnOnce(&mut fastrand::Rng) -> R) -> R {
        draw(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Accounts for repeats of unanswered requests.
    fn with_repeats<R>(&self, account: impl FnOnce(&mut retry::Budget) -> R) -> R {
        account(&mut self.repeats.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn retry_after(&self, expected: Duration) -> Option<Duration> {
        Some(self.with_rng(|rng| attempt::retry_after(expected, rng)))
    }
}

/// A request as it arrived, with all of its body.
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it says of itself.
    pub metadata: Metadata,
    /// When its head arrived.
    pub received_at: Instant,
}

/// A request under way.
pub struct Trip {
    /// What all requests share.
    pub context: Arc<Context>,
    /// The request.
    pub arrival: ClientRequest,
    /// Its route.
    pub route: Route,
    service: CompactString,
    attempt: Attempt,
    /// Time without an answer after which the request is sent once more, unless it was.
    patience: Option<Duration>,
    /// How far its program has come.
    stage: Stage,
    /// When it is worth sending again, where a steward refused it.
    retry_after: Option<Duration>,
    /// Version of the configuration that routed it.
    version: Version,
    until: Instant,
}

/// An endpoint for a request.
struct Target {
    registration: Registration,
    booked: Option<Booked>,
}

/// An answer whose head has come.
pub struct Head {
    /// The head and the rest of the answer.
    pub response: Response<Incoming>,
    /// Its connection.
    pub link: Link,
    /// Its endpoint.
    pub registration: Registration,
    /// Counts the request at the endpoint.
    pub visit: Visit,
}

/// Serves one request; where the daemon stops, `ends` tells when its process ends.
pub async fn serve(
    context: Arc<Context>,
    table: &Table,
    arrival: ClientRequest,
    ends: Option<Instant>,
) -> Response<Body> {
    let id = arrival.metadata.id.clone();
    let host = arrival.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(arrival.uri.host()).unwrap_or_default();
    let Some(route) = table.find(host, arrival.uri.path()) else {
        return local_reply::unrouted(Reason::NoRoute, &id, None);
    };
    let Some(service) = route.select_service(arrival.metadata.affinity_key()) else {
        return local_reply::unrouted(
            Reason::NoEndpoint,
            &id,
            context.retry_after(RETRY_NO_ENDPOINT),
        );
    };
    let wait = arrival.metadata.deadline.map_or(route.timeout, |wait| wait.min(route.timeout));
    let trip = Trip {
        attempt: Attempt::new(route.kind, route.max_attempts),
        patience: retry::retry_timeout(route),
        stage: Stage::Continues,
        retry_after: None,
        version: table.version,
        until: arrival.received_at + wait,
        service: service.clone(),
        route: route.clone(),
        context,
        arrival,
    };
    if ends.is_some_and(|ends| trip.until > ends) {
        return trip.give_up(Reason::Stopping);
    }
    trip.run().await
}

impl Trip {
    /// Idle connections to one endpoint that this daemon may keep: half of its part of those that
    /// the endpoint takes from all daemons.
    pub fn idle_share(&self) -> usize {
        let daemons = self.context.view.with_members(indexmap::IndexMap::len).max(1);
        let table = self.context.view.table();
        let service = table.as_ref().and_then(|table| table.services.get(&self.service));
        let most = service.map_or(0, |service| service.max_connections as usize);
        (most / daemons / 2).max(1)
    }

    /// Time left.
    fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }

    /// Moment at which the last answer is due.
    pub fn due(&self) -> Instant {
        self.until - LAST_ANSWER
    }

    async fn run(mut self) -> Response<Body> {
        if self.patience.is_some() {
            self.context.with_repeats(retry::Budget::deposit);
        }
        let reservation = match self.reserve().await {
            Ok(reservation) => reservation,
            Err(response) => return *response,
        };
        if let Some(reservation) = &reservation {
            self.stage = reservation.stage;
        }
        loop {
            let head = match self.head(None, None).await {
                Ok(head) => head,
                Err(reason) => return self.give_up(reason),
            };
            let streams = self.route.kind.is_stream() && head.response.status().is_success();
            if streams {
                return self.stream(head, reservation).await;
            }
            match self.whole(head).await {
                Ok(response) => return response,
                Err(Action::RetryAny | Action::RetrySame(_)) => {}
                Err(Action::FailNotRun) => return self.give_up(Reason::NoEndpoint),
                Err(Action::FailUnknown) if Instant::now() >= self.due() => {
                    return self.give_up(Reason::Deadline);
                }
                Err(Action::FailUnknown) => return self.give_up(Reason::Unknown),
            }
        }
    }

    async fn reserve(&self) -> Result<Option<Reservation>, Box<Response<Body>>> {
        let metadata = &self.arrival.metadata;
        let (Some(program), Some(budget)) = (&metadata.program, metadata.budget) else {
            return Ok(None);
        };
        if !self.route.kind.is_stream() {
            return Ok(None);
        }
        let ask = spend::ReservationRequest {
            program: program.clone(),
            budget,
            request_id: metadata.id.clone(),
            max_tokens: metadata.max_output_tokens,
            daemon: self.context.desk.process().clone(),
            handed_out: 0,
            retention: self.route.retention,
        };
        match self.context.desk.reserve(ask).await {
            Ok(reservation) => Ok(Some(reservation)),
            Err(DeskError::Exhausted) => Err(Box::new(self.own(Reason::BudgetSpent, None))),
            Err(DeskError::NoOwner) => {
                let retry_after = self.context.retry_after(RETRY_ELSEWHERE);
                Err(Box::new(self.own(Reason::NoOwner, retry_after)))
            }
            Err(DeskError::NoRecord) => {
                let retry_after = self.context.retry_after(RETRY_RECORD);
                Err(Box::new(self.own(Reason::NoRecord, retry_after)))
            }
        }
    }

    /// Brings the request to an endpoint and waits for the head of its answer.
    ///
    /// `only` names the endpoint to go to, `resume_after` the last event that the client has.
    pub async fn head(
        &mut self,
        mut only: Option<EndpointId>,
        resume_after: Option<u64>,
    ) -> Result<Head, Reason> {
        loop {
            let now = Instant::now();
            if now >= self.due() {
                return Err(self.overdue());
            }
            let Target { registration, booked } = self.choose(only.take(), now).await?;
            let next = match self.visit(registration, booked, resume_after).await {
                Ok(head) => return Ok(head),
                Err(next) => next,
            };
            match next {
                Action::RetryAny => {}
                Action::RetrySame(endpoint) => {
                    tokio::time::sleep(self.attempt.backoff()).await;
                    only = Some(endpoint);
                }
                Action::FailNotRun => return Err(Reason::NoEndpoint),
                Action::FailUnknown if Instant::now() >= self.due() => {
                    return Err(Reason::Deadline);
                }
                Action::FailUnknown => return Err(Reason::Unknown),
            }
        }
    }

    fn overdue(&self) -> Reason {
        match self.attempt.give_up() {
            Action::FailNotRun => Reason::DeadlineNotRun,
            _ => Reason::Deadline,
        }
    }

    /// Chooses an endpoint: `only` if it takes work, else one that a steward books, else one by this
    /// daemon's own knowledge.
    async fn choose(&mut self, only: Option<EndpointId>, now: Instant) -> Result<Target, Reason> {
        let view = &self.context.view;
        let registration = |id: &EndpointId| {
            view.fleet(|fleet| fleet.registration(id).filter(|found| fleet.accepts(found, now)))
        };
        if let Some(registration) = only.as_ref().and_then(registration) {
            return Ok(Target { registration, booked: None });
        }
        match self.context.stewards.book(self.booking()).await {
            Placement::Booked(booked) => {
                let registration = booked.registration.clone();
                return Ok(Target { registration, booked: Some(*booked) });
            }
            // A request that may have run is not refused any more.
            Placement::Refused(refusal) if self.attempt.progress() == Progress::NotRun => {
                self.retry_after = Some(refusal.retry_after);
                return Err(Reason::Overloaded);
            }
            Placement::Unknown if self.stage == Stage::Begins && !self.has_own_room(now) => {
                let spread = self.context.with_rng(fastrand::Rng::f64);
                self.retry_after = Some(Fallback::refusal(spread).retry_after);
                return Err(Reason::Overloaded);
            }
            Placement::Refused(_) | Placement::Unknown => {}
        }
        let found = self.place(Instant::now());
        found.map(|registration| Target { registration, booked: None }).ok_or_else(|| {
            match self.attempt.give_up() {
                Action::FailNotRun => Reason::NoEndpoint,
                _ => Reason::Unknown,
            }
        })
    }

    /// Tells whether a program may begin as far as this daemon knows by itself.
    fn has_own_room(&self, now: Instant) -> bool {
        let view = &self.context.view;
        let (own, slots) = view.fleet(|fleet| fleet.own_load(&self.service, now));
        let daemons = view.with_members(indexmap::IndexMap::len);
        Fallback { in_flight: own, slots, daemons }.has_room(&self.context.settings.admission)
    }

    /// The engines of the request's service, where it is a service of engines.
    fn engine(&self) -> Option<Engine> {
        let table = self.context.view.table()?;
        table.services.get(&self.service)?.engine
    }

    fn booking(&self) -> coordinator::Request {
        let metadata = &self.arrival.metadata;
        coordinator::Request {
            id: metadata.id.clone(),
            program: self.route.kind.is_stream().then(|| metadata.program.clone()).flatten(),
            service: self.service.clone(),
            stage: self.stage,
            time_left: metadata.program_deadline,
            prompt: metadata.prompt_parts.iter().take(MAX_PROMPT_PARTS).copied().collect(),
            memory: self.engine().map_or(0, |engine| engine.memory),
            avoid: self.attempt.excluded().to_vec(),
        }
    }

    fn place(&self, now: Instant) -> Option<Registration> {
        let view = &self.context.view;
        let affinity = match self.route.kind.is_stream() {
            true => self.arrival.metadata.affinity_key(),
            false => "",
        };
        let need = Criteria {
            dc: &self.context.settings.dc,
            affinity,
            affinity_load: AFFINITY_LOAD,
            avoid: self.attempt.excluded(),
        };
        self.context.with_rng(|rng| view.fleet(|fleet| fleet.place(&self.service, &need, rng, now)))
    }

    /// Reads the whole answer before it is passed on, so that one that breaks off can be replaced.
    async fn whole(&mut self, head: Head) -> Result<Response<Body>, Action> {
        let Head { response, link, registration, visit } = head;
        let (parts, body) = response.into_parts();
        let due = tokio::time::Instant::from_std(self.due());
        let collected = timeout_at(due, self.context.answers.collect(body)).await;
        match &collected {
            Ok(Ok(_)) => drop(visit),
            Ok(Err(_)) | Err(_) => visit.fail(),
        }
        match collected {
            Ok(Ok(collected)) => {
                let keep_alive = header::keep_alive_timeout(&parts.headers);
                if !closes(&parts.headers) {
                    let share = self.idle_share();
                    self.context.pool.keep(link, keep_alive, share, Instant::now());
                }
                let mut answer = Response::new(local_reply::full_body(collected));
                *answer.status_mut() = parts.status;
                *answer.headers_mut() = header::end_to_end(&parts.headers);
                Ok(self.passed_on(answer))
            }
            Ok(Err(error)) => {
                drop(link);
                Err(self.lost(&registration, &error.to_string()).await)
            }
            Err(_) => {
                drop(link);
                Err(self.attempt.give_up())
            }
        }
    }

    /// Keeps statuses that promise "not run" for answers of which this is known.
    fn passed_on(&self, answer: Response<Body>) -> Response<Body> {
        match answer.status().as_u16() {
            408 | 421 | 429 | 503 => self.own(Reason::Unknown, None),
            _ => answer,
        }
    }

    async fn stream(self, head: Head, reservation: Option<Reservation>) -> Response<Body> {
        let event_tokens = self.engine().map_or(1, |engine| engine.event_tokens);
        let mut relay = Relay::new(self, head, reservation, event_tokens);
        // The head is passed on with the first event, so until then another try can replace it.
        let first = match relay.next().await {
            Some(Ok(bytes)) => Some(bytes),
            Some(Err(reason)) => return relay.into_trip().give_up(reason),
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

    fn own(&self, reason: Reason, retry_after: Option<Duration>) -> Response<Body> {
        // Lines below warnings may be left out under load; this one must not.
        let level = match reason {
            Reason::Unknown | Reason::Deadline => log::Level::Warn,
            _ => log::Level::Info,
        };
        log::log!(
            target: "answer",
            level,
            request = self.arrival.metadata.id.as_str(),
            program = self.arrival.metadata.program.as_deref().unwrap_or_default(),
            route = self.route.name.as_str(),
            kind = format!("{:?}", self.route.kind),
            reason = reason.name(),
            config = self.version,
            revision = self.context.view.revision(),
            age_ms = self.arrival.received_at.elapsed().as_millis() as u64,
            tries = self.attempt.excluded().len();
            "the daemon answers itself"
        );
        local_reply::build(reason, &self.arrival.metadata.id, retry_after)
    }

    fn give_up(&self, reason: Reason) -> Response<Body> {
        let retry_after = match reason {
            Reason::NoEndpoint => self.context.retry_after(RETRY_NO_ENDPOINT),
            Reason::Overloaded => self.retry_after,
            Reason::DeadlineNotRun | Reason::Stopping => self.context.retry_after(RETRY_ELSEWHERE),
            _ => None,
        };
        self.own(reason, retry_after)
    }
}

/// Tells whether an endpoint closes the connection after this answer.
pub fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
