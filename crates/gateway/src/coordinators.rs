//! Books endpoints with their coordinators, and decides on bookings as a coordinator.
//!
//! A daemon asks the coordinator in its own data centre first, and one in another data centre if
//! the first finds only busy endpoints. A coordinator that does not answer in time is skipped for a
//! while. If no coordinator answers, the daemon selects an endpoint from its local view.
//!
//! Rate limits of endpoints are shared along the same way, see [`sched::limit`]: a daemon attaches
//! the limits that it observed to its next booking, and the members that may act as a coordinator
//! report their permits to each other.

use crate::budgets::Budgets;
use crate::customers::Quotas;
use crate::members::{self, Suspects};
use crate::settings::Settings;
use crate::view::View;
use indexmap::IndexMap;
use peer::gateway::{Command, Member, Response};
use peer::wire::{Reply, Request};
use sched::admission::{Fallback, Refusal};
use sched::coordinator::{self, Booking, Bookings, Group, Outcome};
use sched::fleet::Registration;
use sched::id::{EndpointId, RequestId, VmId};
use sched::limit::{self, Limits, Permit, Purpose, Report, Standing};
use sched::locality::{Answer, BUSY_LOAD, Neighbours};
use sched::quota::{Charge, Denial};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of bookings that are asked for in one data centre, because the coordinator books
/// endpoints that this daemon knows to accept no requests.
const MAX_BOOKINGS: usize = 3;
/// Timeout of one request to a coordinator.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of other data centres whose coordinators are asked while endpoints have limits.
const MAX_REMOTE_DCS: usize = 2;
/// Interval of the reports between the members that may grant permits for the same endpoints.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of report intervals after which a coordinator reports limits without new permits, so that
/// the members that stand in for it know them.
const IDLE_REPORT_TICKS: u32 = 5;
/// Time for which a confirmation of a report is valid: two idle reports, of which one may be lost.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_200);
/// Time after its last booking for which a daemon counts as one that asks this coordinator.
const ASKER_TTL: Duration = Duration::from_secs(2);

/// State for booking endpoints, as a client of coordinators and as a coordinator.
pub struct Coordinators {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    suspects: Suspects,
    bookings: Mutex<Bookings>,
    /// Daemons that asked this one for an endpoint, with the time of their last booking.
    askers: Mutex<IndexMap<VmId, Instant>>,
    /// Daemons that confirmed a report, with the time of the last confirmation.
    confirmations: Mutex<IndexMap<VmId, Instant>>,
    /// Data centres around this one.
    neighbours: Mutex<Neighbours>,
    /// Quotas of customers.
    pub quotas: Arc<Quotas>,
}

/// A booked endpoint; dropping the guard releases the booking.
pub struct BookingGuard {
    coordinators: Arc<Coordinators>,
    coordinator: Member,
    request: RequestId,
    /// Registration of the endpoint.
    pub registration: Registration,
    /// Load of the endpoint before the booking, see [`Booking::load`].
    pub load: f64,
    cost: f64,
    request_time: Option<Duration>,
    /// Whether the booking spent a part of a customer's quota.
    pub is_charged: bool,
    /// How the request ended; reported to the coordinator with the release.
    pub end: coordinator::End,
}

impl Drop for BookingGuard {
    fn drop(&mut self) {
        let Self { coordinators, coordinator, request, registration, end, .. } = self;
        coordinators.release(coordinator, request, &registration.id, *end);
    }
}

/// Result of booking an endpoint for a request.
pub enum Placement {
    /// An endpoint is booked, and one request may be sent to it.
    Booked(Box<BookingGuard>, Permit),
    /// The coordinator has no capacity for the request now.
    Refused(Refusal),
    /// The customer's quota leaves no request.
    Denied(Denial),
    /// No coordinator answered, or none knows a suitable endpoint.
    Unknown,
}

impl Placement {
    /// Returns the load of the booked endpoint, if there is one.
    fn load(&self) -> Option<f64> {
        match self {
            Self::Booked(booking, _) => Some(booking.load),
            Self::Refused(_) | Self::Denied(_) | Self::Unknown => None,
        }
    }

    /// Returns what the answer says of the coordinator's endpoints.
    fn answer(&self) -> Option<Answer> {
        match self {
            Self::Booked(booking, _) => {
                let (load, request_time) = (booking.load, booking.request_time);
                Some(Answer::Booked { load, request_time })
            }
            Self::Refused(_) => Some(Answer::Full),
            Self::Unknown => Some(Answer::Silent),
            Self::Denied(_) => None,
        }
    }

    /// Returns the better of two placements, if the way to the remote one costs `way`; the other
    /// booking is released as unsent.
    fn or_better(self, remote: Self, way: f64) -> Self {
        match (self, remote) {
            (Self::Booked(local, local_permit), Self::Booked(remote, remote_permit)) => {
                match Neighbours::leaves(local.cost, remote.cost, way) {
                    true => Self::Booked(remote, remote_permit),
                    false => Self::Booked(local, local_permit),
                }
            }
            (booked @ Self::Booked(..), _) | (_, booked @ Self::Booked(..)) => booked,
            (Self::Refused(local), Self::Refused(remote)) => {
                let retry_after = local.retry_after.min(remote.retry_after);
                Self::Refused(Refusal { retry_after })
            }
            (denied @ Self::Denied(_), _) | (_, denied @ Self::Denied(_)) => denied,
            (refused @ Self::Refused(_), _) | (_, refused @ Self::Refused(_)) => refused,
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }
}

impl Coordinators {
    /// Creates the state, without bookings.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, budgets: Arc<Budgets>) -> Self {
        let bookings = Mutex::new(Bookings::new(settings.admission));
        let neighbours = Mutex::new(Neighbours::new(settings.locality));
        let quotas = Arc::new(Quotas::new(settings.clone(), view.clone(), budgets.clone()));
        Self {
            settings,
            view,
            budgets,
            suspects: Suspects::default(),
            bookings,
            askers: Mutex::default(),
            confirmations: Mutex::default(),
            neighbours,
            quotas,
        }
    }

    /// Calls `update` with the rate limits while they are locked.
    fn with_limits<R>(&self, update: impl FnOnce(&mut Limits) -> R) -> R {
        update(&mut self.bookings().rate_limits)
    }

    fn bookings(&self) -> MutexGuard<'_, Bookings> {
        lock(&self.bookings)
    }

    /// Books an endpoint in this daemon's data centre, or in another one if it costs less there for a
    /// request of this many bytes.
    pub async fn book(self: &Arc<Self>, request: coordinator::Request, bytes: usize) -> Placement {
        let home = self.settings.dc.clone();
        let local = self.book_and_record(&home, &request).await;
        if matches!(local, Placement::Denied(_))
            || local.load().is_some_and(|load| load < BUSY_LOAD)
        {
            return local;
        }
        let (service, now) = (&request.service, Instant::now());
        let dcs = self.view.with_fleet(|fleet| fleet.dcs(service));
        let others = lock(&self.neighbours).candidates(service, &home, dcs, now);
        // A limit may exhaust the endpoints of one data centre while others have spare capacity.
        let limited = self.with_limits(|limits| !limits.is_empty());
        let borrowing = coordinator::Request { is_borrowed: true, ..request.clone() };
        let mut best = local;
        for dc in others.iter().take(if limited { MAX_REMOTE_DCS } else { 1 }) {
            let remote = self.book_and_record(dc, &borrowing).await;
            let way = lock(&self.neighbours).way(service, &home, dc, bytes);
            best = best.or_better(remote, way);
            if best.load().is_some_and(|load| load < 1.0) {
                break;
            }
        }
        if let Placement::Booked(booking, _) = &best
            && booking.registration.dc != home
        {
            metrics::counter!("requests_borrowing_total").increment(1);
            log::debug!(
                target: "locality", request = request.id.as_str(),
                dc = booking.registration.dc.as_str(), load = booking.load, cost = booking.cost;
                "a request leaves its data centre"
            );
        }
        best
    }

    /// Books an endpoint in a data centre and records what the answer says of it.
    async fn book_and_record(
        self: &Arc<Self>,
        dc: &str,
        request: &coordinator::Request,
    ) -> Placement {
        let started = Instant::now();
        let placement = self.book_in(dc, request).await;
        if let Some(answer) = placement.answer() {
            let (elapsed, now) = (started.elapsed(), Instant::now());
            lock(&self.neighbours).record(&request.service, dc, answer, elapsed, now);
        }
        placement
    }

    /// Books the endpoint that alone may run a request.
    pub async fn book_at(
        self: &Arc<Self>,
        registration: Registration,
        request: coordinator::Request,
    ) -> Placement {
        let only = Some(registration.id.clone());
        self.book_in(&registration.dc, &coordinator::Request { only, ..request }).await
    }

    /// Books an endpoint in a data centre that accepts requests according to this daemon's view.
    ///
    /// The coordinator's view may be older, for example when it has just woken. It is told which
    /// endpoints to avoid, and asked again if it books one of them all the same.
    async fn book_in(self: &Arc<Self>, dc: &str, request: &coordinator::Request) -> Placement {
        let now = Instant::now();
        let mut request = request.clone();
        let withdrawn = self.view.with_fleet(|fleet| fleet.withdrawn(&request.service, now));
        request.avoid.extend(withdrawn);
        for _ in 0..MAX_BOOKINGS {
            let now = Instant::now();
            let coordinator = self.view.with_members(|live| {
                members::coordinator(&request.service, dc, live, &self.suspects, now).cloned()
            });
            let Some(coordinator) = coordinator else {
                return Placement::Unknown;
            };
            let outcome = match coordinator.vm == self.settings.vm {
                true => Some(self.book_for(dc, &request, &self.settings.vm, &[]).await),
                false => self.ask_coordinator(&coordinator, dc, &request).await,
            };
            let booking = match outcome {
                Some(Outcome::Booked(booking)) => booking,
                Some(Outcome::Refused(refusal)) => return Placement::Refused(refusal),
                Some(Outcome::Denied(denial)) => return Placement::Denied(denial),
                // Without a coordinator nobody knows what the customer's quota leaves.
                None if request.charge.is_some() => continue,
                Some(Outcome::NoEndpoint) | None => return Placement::Unknown,
            };
            match self.accept_booking(coordinator, &request, booking, Instant::now()) {
                Ok(placement) => return placement,
                Err(endpoint) => request.avoid.push(endpoint),
            }
        }
        Placement::Unknown
    }

    /// Accepts a booking, or releases it and returns the booked endpoint if that accepts no requests
    /// according to this daemon's view.
    fn accept_booking(
        self: &Arc<Self>,
        coordinator: Member,
        request: &coordinator::Request,
        booking: Booking,
        now: Instant,
    ) -> Result<Placement, EndpointId> {
        let Booking { endpoint, incarnation, permit, load, cost, request_time } = booking;
        let known = self.view.with_fleet(|fleet| {
            let known = fleet.registration(&endpoint)?;
            (known.incarnation == incarnation && fleet.accepts(&known, now)).then_some(known)
        });
        let Some(registration) = known else {
            metrics::counter!("bookings_rejected_total").increment(1);
            log::info!(
                target: "steward", request = request.id.as_str(),
                steward = coordinator.vm.as_str(), endpoint = endpoint.as_str(),
                incarnation, revision = self.view.revision();
                "rejected a booking of an endpoint that accepts no requests in this view"
            );
            self.release(&coordinator, &request.id, &endpoint, coordinator::End::Unsent);
            return Err(endpoint);
        };
        self.with_limits(|limits| limits.learn(&registration, &permit, now));
        let guard = BookingGuard {
            coordinators: self.clone(),
            coordinator,
            request: request.id.clone(),
            registration,
            load,
            cost,
            request_time,
            is_charged: request.charge.is_some(),
            end: coordinator::End::Unsent,
        };
        Ok(Placement::Booked(Box::new(guard), permit))
    }

    async fn ask_coordinator(
        &self,
        coordinator: &Member,
        dc: &str,
        request: &coordinator::Request,
    ) -> Option<Outcome> {
        let reports = self.untold(&request.service, dc, coordinator);
        let command = Command::Book {
            dc: dc.into(),
            request: request.clone(),
            daemon: self.settings.vm.clone(),
            reports: reports.clone(),
        };
        let message = Request::Gateway(Box::new(command));
        match self.budgets.peers().first_reply(&coordinator.addr, &message, REQUEST_TIMEOUT).await {
            Some(Reply::Gateway(Response::Booked(outcome))) => {
                self.with_limits(|limits| limits.record_told(&reports, coordinator.incarnation));
                Some(outcome)
            }
            _ => {
                self.suspects.suspect(&coordinator.vm, Instant::now());
                log::info!(
                    target: "steward", steward = coordinator.vm.as_str();
                    "the coordinator did not answer in time; skipping it for a while"
                );
                None
            }
        }
    }

    /// Returns the limits that this daemon knows and that the coordinator has not been told.
    fn untold(&self, service: &str, dc: &str, coordinator: &Member) -> Vec<Report> {
        let bookings = self.bookings();
        if bookings.rate_limits.is_empty() {
            return Vec::new();
        }
        let now = Instant::now();
        self.view.with_fleet(|fleet| {
            let endpoints = fleet.usable(service, now).map(|found| found.registration);
            let endpoints = endpoints.filter(|registration| registration.dc == dc);
            bookings.rate_limits.untold(endpoints, coordinator.incarnation, now)
        })
    }

    /// Books an endpoint for `daemon` as its coordinator, if the customer's quota leaves the request.
    pub async fn book_for(
        &self,
        dc: &str,
        request: &coordinator::Request,
        daemon: &VmId,
        reports: &[Report],
    ) -> Outcome {
        if let Some(charge) = &request.charge {
            self.quotas.record_booking(&request.service, dc, Instant::now());
            if let Err(denial) = self.quotas.take(charge, &request.id).await {
                return Outcome::Denied(denial);
            }
        }
        let outcome = self.book_locally(dc, request, daemon, reports, Instant::now());
        if let (Some(charge), Outcome::Refused(_) | Outcome::NoEndpoint) =
            (&request.charge, &outcome)
        {
            self.quotas.put_back(charge);
        }
        outcome
    }

    /// Books an endpoint for `daemon` as its coordinator, after merging the limits in `reports`.
    fn book_locally(
        &self,
        dc: &str,
        request: &coordinator::Request,
        daemon: &VmId,
        reports: &[Report],
        now: Instant,
    ) -> Outcome {
        lock(&self.askers).insert(daemon.clone(), now);
        let mut bookings = self.bookings();
        bookings.rate_limits.merge(reports, now);
        let share = match bookings.rate_limits.is_empty() {
            true => 1.0,
            false => self.standing(&request.service, dc, now).share(),
        };
        self.view.with_fleet(|fleet| bookings.book(fleet, Group { dc, share }, request, now))
    }

    /// Returns what this daemon knows about the other daemons that may grant permits for a service's
    /// endpoints in a data centre.
    fn standing(&self, service: &str, dc: &str, now: Instant) -> Standing {
        let own = &self.settings.vm;
        let askers = {
            let askers = lock(&self.askers);
            askers.values().filter(|asked_at| now.duration_since(**asked_at) < ASKER_TTL).count()
        };
        let confirmations = lock(&self.confirmations);
        let is_confirmed = |member: &&Member| {
            let confirmed_at = confirmations.get(&member.vm);
            confirmed_at.is_some_and(|at| now.duration_since(*at) < CONFIRMATION_TTL)
        };
        self.view.with_members(|live| {
            let line = members::coordinator_line(service, dc, live);
            Standing {
                first: line.first().is_some_and(|member| member.vm == *own),
                confirmed: line.iter().all(|member| member.vm == *own)
                    || line.iter().any(is_confirmed),
                askers,
                members: live.len(),
            }
        })
    }

    /// Grants a permit from this daemon's own part of the limit, without its coordinator.
    pub fn take_alone(
        &self,
        registration: &Registration,
        max_delay: Duration,
        now: Instant,
    ) -> Option<Permit> {
        let share = self.share_alone();
        self.with_limits(|limits| {
            limits.set_share(std::iter::once(registration), share, now);
            limits.take(registration, max_delay, now)
        })
    }

    /// Returns the part of a limit that a daemon spends that reaches no coordinator.
    fn share_alone(&self) -> f64 {
        let members = self.view.with_members(IndexMap::len);
        Standing { first: false, confirmed: false, askers: 1, members }.share()
    }

    /// Returns the endpoints of a service for which [`Self::take_alone`] grants no permit now.
    pub fn exhausted_alone(&self, service: &str, now: Instant) -> Vec<EndpointId> {
        let share = self.share_alone();
        let mut bookings = self.bookings();
        if bookings.rate_limits.is_empty() {
            return Vec::new();
        }
        self.view.with_fleet(|fleet| {
            let endpoints = || fleet.usable(service, now).map(|found| found.registration);
            bookings.rate_limits.set_share(endpoints(), share, now);
            let exhausted =
                endpoints().filter(|found| !bookings.rate_limits.delay(found, now).is_zero());
            exhausted.map(|found| found.id.clone()).collect()
        })
    }

    /// Returns the endpoints of a service that have a rate limit.
    pub fn limited(&self, service: &str, now: Instant) -> Vec<EndpointId> {
        let bookings = self.bookings();
        self.view.with_fleet(|fleet| {
            let endpoints = fleet.usable(service, now).map(|found| found.registration);
            let limited = endpoints.filter(|found| bookings.rate_limits.is_limited(found));
            limited.map(|found| found.id.clone()).collect()
        })
    }

    /// Returns this daemon's load on a service, for admission without a coordinator.
    pub fn load_alone(&self, service: &str, now: Instant) -> Fallback {
        let bookings = self.bookings();
        let slots = |registration: &Registration| bookings.rate_limits.slots(registration);
        let (in_flight, slots) = self.view.with_fleet(|fleet| fleet.own_load(service, slots, now));
        Fallback { in_flight, slots, daemons: self.view.with_members(IndexMap::len) }
    }

    /// Returns whether an endpoint has a rate limit.
    pub fn is_limited(&self, registration: &Registration) -> bool {
        self.with_limits(|limits| limits.is_limited(registration))
    }

    /// Records the rate limit that a response of an endpoint names, or that it names none.
    pub fn record_limit(&self, registration: &Registration, rate: Option<limit::Rate>, id: &str) {
        let now = Instant::now();
        if self.with_limits(|limits| limits.observe(registration, rate, now)) {
            log::info!(
                target: "limit", request = id, endpoint = registration.id.as_str(), rate;
                "the endpoint changed its rate limit"
            );
        }
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count_sent(&self, endpoint: &str, purpose: Purpose) {
        self.with_limits(|limits| limits.count(endpoint, purpose));
    }

    /// Logs the requests that were sent to endpoints with a rate limit since the last call.
    pub fn log_limited(&self) {
        for (endpoint, rate, sent) in self.with_limits(Limits::take_sent) {
            let limit::Sent { first, retry, resume } = sent;
            log::info!(
                target: "limit", endpoint = endpoint.as_str(), rate, first, retry, resume;
                "requests sent to an endpoint with a rate limit"
            );
        }
    }

    /// Merges the reports of a daemon that may grant permits for the same endpoints.
    pub fn merge_reports(&self, reports: &[Report], now: Instant) {
        self.with_limits(|limits| limits.merge(reports, now));
    }

    /// Reports limits and permits to the members that may grant permits for the same endpoints.
    pub async fn run_reports(self: Arc<Self>) {
        for tick in (0..IDLE_REPORT_TICKS).cycle() {
            tokio::time::sleep(REPORT_INTERVAL).await;
            for (member, reports) in self.due_reports(tick == 0, Instant::now()) {
                tokio::spawn(self.clone().send_reports(member, reports));
            }
        }
    }

    /// Returns the reports that are due, by receiver; `idle` includes limits without new permits.
    fn due_reports(&self, idle: bool, now: Instant) -> Vec<(Member, Vec<Report>)> {
        let reports = self.with_limits(|limits| limits.take_reports(now));
        let mut due: IndexMap<VmId, (Member, Vec<Report>)> = IndexMap::new();
        for report in reports {
            let registration = self.view.with_fleet(|fleet| fleet.registration(&report.endpoint));
            let Some(Registration { service, dc, .. }) = registration else {
                continue;
            };
            self.view.with_members(|live| {
                let line = members::coordinator_line(&service, &dc, live);
                let first = line.first().is_some_and(|member| member.vm == self.settings.vm);
                if report.granted == 0 && !(first && idle) {
                    return;
                }
                for member in line.iter().filter(|member| member.vm != self.settings.vm) {
                    let entry = due.entry(member.vm.clone());
                    let (_, reports) = entry.or_insert_with(|| (Member::clone(member), Vec::new()));
                    reports.push(report.clone());
                }
            });
        }
        due.into_values().collect()
    }

    async fn send_reports(self: Arc<Self>, member: Member, reports: Vec<Report>) {
        let daemon = self.settings.vm.clone();
        let message = Request::Gateway(Box::new(Command::Limits { daemon, reports }));
        let reply = self.budgets.peers().first_reply(&member.addr, &message, REPORT_INTERVAL).await;
        if matches!(reply, Some(Reply::Gateway(Response::Noted))) {
            lock(&self.confirmations).insert(member.vm, Instant::now());
        }
    }

    /// Releases a booking as its coordinator.
    pub fn release_locally(&self, request: &str, endpoint: &str, end: coordinator::End) {
        let charge: Option<Charge> =
            self.bookings().release(request, endpoint, end, Instant::now());
        if let Some(charge) = charge {
            self.quotas.put_back(&charge);
        }
    }

    /// Drops expired bookings, which were never released because their daemons are gone, and what is
    /// known of endpoints and daemons that are gone.
    pub fn sweep(&self, now: Instant) {
        let mut bookings = self.bookings();
        bookings.sweep(now);
        self.view.with_fleet(|fleet| bookings.rate_limits.retain(|id| fleet.contains(id)));
        lock(&self.askers).retain(|_, asked_at| now.duration_since(*asked_at) < ASKER_TTL);
        lock(&self.confirmations).retain(|_, at| now.duration_since(*at) < CONFIRMATION_TTL);
    }

    fn release(&self, coordinator: &Member, request: &str, endpoint: &str, end: coordinator::End) {
        match coordinator.vm == self.settings.vm {
            true => self.release_locally(request, endpoint, end),
            false => {
                let (request, endpoint) = (request.into(), endpoint.into());
                let release = Command::Release { request, endpoint, end };
                self.budgets.send_one_way(coordinator.addr.clone(), release);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
