//! Books endpoints with their coordinators, and decides on bookings as a coordinator.
//!
//! A daemon asks the coordinator in its own data centre first, and one in another data centre if
//! the first finds only busy endpoints. A coordinator that does not answer in time is skipped for a
//! while. If no coordinator answers, the daemon selects an endpoint from its local view.

use crate::budgets::Budgets;
use crate::members::{self, Suspects};
use crate::settings::Settings;
use crate::view::View;
use peer::gateway::{Command, Member, Response};
use peer::wire::{Reply, Request};
use sched::admission::Refusal;
use sched::coordinator::{self, Booking, Bookings, Outcome};
use sched::fleet::Registration;
use sched::id::RequestId;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of one request to a coordinator.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Load of the booked endpoint from which the coordinator of another data centre is asked too, as a
/// share of the endpoint's slots.
const BUSY_LOAD: f64 = 0.8;
/// Cost of sending a request to another data centre, in turns of a full engine.
const REMOTE_COST: f64 = 0.05;

/// State for booking endpoints, as a client of coordinators and as a coordinator.
pub struct Coordinators {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    suspects: Suspects,
    bookings: Mutex<Bookings>,
}

/// A booked endpoint; dropping the guard releases the booking.
pub struct BookingGuard {
    coordinators: Arc<Coordinators>,
    coordinator: Member,
    request: RequestId,
    /// Registration of the endpoint.
    pub registration: Registration,
    /// Load of the endpoint before the booking, as a share of its slots.
    pub load: f64,
    cost: f64,
    /// How the request ended; reported to the coordinator with the release.
    pub end: coordinator::End,
}

impl BookingGuard {
    /// Releases the booking of an endpoint to which the request was not sent.
    fn release_unsent(mut self) {
        self.end = coordinator::End::Unsent;
    }
}

impl Drop for BookingGuard {
    fn drop(&mut self) {
        self.coordinators.release(self);
    }
}

/// Result of booking an endpoint for a request.
pub enum Placement {
    /// An endpoint is booked.
    Booked(Box<BookingGuard>),
    /// The coordinator has no capacity for the request now.
    Refused(Refusal),
    /// No coordinator answered, or none knows a suitable endpoint.
    Unknown,
}

impl Placement {
    /// Returns the load of the booked endpoint, if there is one.
    fn load(&self) -> Option<f64> {
        match self {
            Self::Booked(booking) => Some(booking.load),
            Self::Refused(_) | Self::Unknown => None,
        }
    }

    /// Returns the better of two placements and releases the other booking.
    fn or_better(self, remote: Self) -> Self {
        match (self, remote) {
            (Self::Booked(local), Self::Booked(remote)) => {
                let (best, other) = match local.cost <= remote.cost + REMOTE_COST {
                    true => (local, remote),
                    false => (remote, local),
                };
                other.release_unsent();
                Self::Booked(best)
            }
            (booked @ Self::Booked(_), _) | (_, booked @ Self::Booked(_)) => booked,
            (Self::Refused(local), Self::Refused(remote)) => {
                let retry_after = local.retry_after.min(remote.retry_after);
                Self::Refused(Refusal { retry_after })
            }
            (refused @ Self::Refused(_), _) | (_, refused @ Self::Refused(_)) => refused,
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }
}

impl Coordinators {
    /// Creates the state, without bookings.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, budgets: Arc<Budgets>) -> Self {
        let bookings = Mutex::new(Bookings::new(settings.admission));
        Self { settings, view, budgets, suspects: Suspects::default(), bookings }
    }

    fn bookings(&self) -> MutexGuard<'_, Bookings> {
        self.bookings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Books an endpoint in this daemon's data centre, or in another one if it costs less there.
    pub async fn book(self: &Arc<Self>, request: coordinator::Request) -> Placement {
        let own_dc = self.settings.dc.clone();
        let local = self.book_in(&own_dc, &request).await;
        if local.load().is_some_and(|load| load < BUSY_LOAD) {
            return local;
        }
        let dcs = self.view.with_fleet(|fleet| fleet.dcs(&request.service));
        let other_dcs: Vec<_> = dcs.into_iter().filter(|dc| *dc != own_dc).collect();
        let Some(other_dc) = fastrand::choice(other_dcs) else {
            return local;
        };
        local.or_better(self.book_in(&other_dc, &request).await)
    }

    async fn book_in(self: &Arc<Self>, dc: &str, request: &coordinator::Request) -> Placement {
        let now = Instant::now();
        let coordinator = self.view.with_members(|live| {
            members::coordinator(&request.service, dc, live, &self.suspects, now).cloned()
        });
        let Some(coordinator) = coordinator else {
            return Placement::Unknown;
        };
        let outcome = match coordinator.vm == self.settings.vm {
            true => Some(self.book_locally(dc, request, now)),
            false => self.ask_coordinator(&coordinator, dc, request).await,
        };
        match outcome {
            Some(Outcome::Booked(booking)) => self.guard(coordinator, request, booking),
            Some(Outcome::Refused(refusal)) => Placement::Refused(refusal),
            Some(Outcome::NoEndpoint) | None => Placement::Unknown,
        }
    }

    fn guard(
        self: &Arc<Self>,
        coordinator: Member,
        request: &coordinator::Request,
        booking: Booking,
    ) -> Placement {
        let Booking { endpoint, load, cost } = booking;
        // A booking of an endpoint that is not in the local view is not released; it expires.
        let Some(registration) = self.view.with_fleet(|fleet| fleet.registration(&endpoint)) else {
            return Placement::Unknown;
        };
        let (coordinators, request) = (self.clone(), request.id.clone());
        let end = coordinator::End::Done;
        let guard =
            BookingGuard { coordinators, coordinator, request, registration, load, cost, end };
        Placement::Booked(Box::new(guard))
    }

    async fn ask_coordinator(
        &self,
        coordinator: &Member,
        dc: &str,
        request: &coordinator::Request,
    ) -> Option<Outcome> {
        let command = Command::Book { dc: dc.into(), request: request.clone() };
        let message = Request::Gateway(Box::new(command));
        match self.budgets.peers().first_reply(&coordinator.addr, &message, REQUEST_TIMEOUT).await {
            Some(Reply::Gateway(Response::Booked(outcome))) => Some(outcome),
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

    /// Books an endpoint as its coordinator.
    pub fn book_locally(&self, dc: &str, request: &coordinator::Request, now: Instant) -> Outcome {
        let mut bookings = self.bookings();
        self.view.with_fleet(|fleet| bookings.book(fleet, dc, request, now))
    }

    /// Releases a booking as its coordinator.
    pub fn release_locally(&self, request: &str, endpoint: &str, end: coordinator::End) {
        self.bookings().release(request, endpoint, end, Instant::now());
    }

    /// Drops expired bookings, which were never released because their daemons are gone.
    pub fn sweep(&self, now: Instant) {
        self.bookings().sweep(now);
    }

    fn release(&self, booking: &BookingGuard) {
        let (request, end) = (&booking.request, booking.end);
        let endpoint = &booking.registration.id;
        match booking.coordinator.vm == self.settings.vm {
            true => self.release_locally(request, endpoint, end),
            false => {
                let (request, endpoint) = (request.clone(), endpoint.clone());
                let release = Command::Release { request, endpoint, end };
                self.budgets.send_one_way(booking.coordinator.addr.clone(), release);
            }
        }
    }
}
