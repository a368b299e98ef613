//! Bookings of engines with their stewards, as the asking daemon and as the steward.
//!
//! A daemon asks the steward of its own data centre first, and that of another one when the first has
//! only busy engines. A steward that does not answer in time is passed over for a moment, and the
//! daemon places by its own knowledge.

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

/// Bound of one question to a steward.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Load from which the steward of another data centre is asked too.
const BUSY_LOAD: f64 = 0.8;
/// Cost of the way to another data centre, in turns of a full engine.
const REMOTE_COST: f64 = 0.05;

/// The parts that bookings need.
pub struct Coordinators {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    suspects: Suspects,
    board: Mutex<Bookings>,
}

/// A booked engine; dropping it ends the booking.
pub struct BookingGuard {
    coordinators: Arc<Coordinators>,
    steward: Member,
    request: RequestId,
    /// The engine.
    pub registration: Registration,
    /// Load of the engine before the booking, as a share of its slots.
    pub load: f64,
    cost: f64,
    /// How the request ended.
    pub end: coordinator::End,
}

impl BookingGuard {
    /// Ends the booking of an engine that is not asked after all.
    fn unsent(mut self) {
        self.end = coordinator::End::Unsent;
    }
}

impl Drop for BookingGuard {
    fn drop(&mut self) {
        self.coordinators.release(self);
    }
}

/// Where a request goes.
pub enum Placement {
    /// To a booked endpoint.
    Booked(Box<BookingGuard>),
    /// Nowhere; there is no room for it now.
    Refused(Refusal),
    /// No steward knows.
    Unknown,
}

impl Placement {
    /// Load of the booked endpoint.
    fn load(&self) -> Option<f64> {
        match self {
            Self::Booked(booked) => Some(booked.load),
            Self::Refused(_) | Self::Unknown => None,
        }
    }

    /// Chooses between what two stewards offer, and ends the booking that is not used.
    fn or_better(self, far: Self) -> Self {
        match (self, far) {
            (Self::Booked(near), Self::Booked(far)) => {
                let (best, other) = match near.cost <= far.cost + REMOTE_COST {
                    true => (near, far),
                    false => (far, near),
                };
                other.unsent();
                Self::Booked(best)
            }
            (booked @ Self::Booked(_), _) | (_, booked @ Self::Booked(_)) => booked,
            (Self::Refused(near), Self::Refused(far)) => {
                let retry_after = near.retry_after.min(far.retry_after);
                Self::Refused(Refusal { retry_after })
            }
            (refused @ Self::Refused(_), _) | (_, refused @ Self::Refused(_)) => refused,
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }
}

impl Coordinators {
    /// Prepares bookings.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, budgets: Arc<Budgets>) -> Self {
        let board = Mutex::new(Bookings::new(settings.admission));
        Self { settings, view, budgets, suspects: Suspects::default(), board }
    }

    fn board(&self) -> MutexGuard<'_, Bookings> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Books an endpoint, in the own data centre or in another one where that costs less.
    pub async fn book(self: &Arc<Self>, ask: coordinator::Request) -> Placement {
        let own = self.settings.dc.clone();
        let near = self.book_in(&own, &ask).await;
        if near.load().is_some_and(|load| load < BUSY_LOAD) {
            return near;
        }
        let others = self.view.with_fleet(|fleet| fleet.dcs(&ask.service));
        let others: Vec<_> = others.into_iter().filter(|dc| *dc != own).collect();
        let Some(other) = fastrand::choice(others) else {
            return near;
        };
        near.or_better(self.book_in(&other, &ask).await)
    }

    async fn book_in(self: &Arc<Self>, dc: &str, ask: &coordinator::Request) -> Placement {
        let now = Instant::now();
        let steward = self.view.with_members(|live| {
            members::coordinator(&ask.service, dc, live, &self.suspects, now).cloned()
        });
        let Some(steward) = steward else {
            return Placement::Unknown;
        };
        let outcome = match steward.vm == self.settings.vm {
            true => Some(self.decide(dc, ask, now)),
            false => self.ask_peer(&steward, dc, ask).await,
        };
        match outcome {
            Some(Outcome::Booked(booking)) => self.booked(steward, ask, booking),
            Some(Outcome::Refused(refusal)) => Placement::Refused(refusal),
            Some(Outcome::NoEndpoint) | None => Placement::Unknown,
        }
    }

    fn booked(
        self: &Arc<Self>,
        steward: Member,
        ask: &coordinator::Request,
        booking: Booking,
    ) -> Placement {
        let Booking { endpoint, load, cost } = booking;
        // A booking of an endpoint that is not known here lapses.
        let Some(registration) = self.view.with_fleet(|fleet| fleet.registration(&endpoint)) else {
            return Placement::Unknown;
        };
        let (coordinators, request) = (self.clone(), ask.id.clone());
        let end = coordinator::End::Done;
        let booked = BookingGuard { coordinators, steward, request, registration, load, cost, end };
        Placement::Booked(Box::new(booked))
    }

    async fn ask_peer(
        &self,
        steward: &Member,
        dc: &str,
        ask: &coordinator::Request,
    ) -> Option<Outcome> {
        let ask = Command::Book { dc: dc.into(), request: ask.clone() };
        let request = Request::Gateway(Box::new(ask));
        match self.budgets.peers().first_reply(&steward.addr, &request, ASK_TIMEOUT).await {
            Some(Reply::Gateway(Response::Booked(outcome))) => Some(outcome),
            _ => {
                self.suspects.suspect(&steward.vm, Instant::now());
                log::info!(target: "steward", steward = steward.vm.as_str(); "no answer in time");
                None
            }
        }
    }

    /// Books as the steward.
    pub fn decide(&self, dc: &str, ask: &coordinator::Request, now: Instant) -> Outcome {
        let mut board = self.board();
        self.view.with_fleet(|fleet| board.book(fleet, dc, ask, now))
    }

    /// Releases as the steward.
    pub fn end(&self, request: &str, endpoint: &str, end: coordinator::End) {
        self.board().release(request, endpoint, end, Instant::now());
    }

    /// Ends bookings whose daemons are gone.
    pub fn sweep(&self, now: Instant) {
        self.board().sweep(now);
    }

    fn release(&self, booked: &BookingGuard) {
        let (request, end) = (&booked.request, booked.end);
        let endpoint = &booked.registration.id;
        match booked.steward.vm == self.settings.vm {
            true => self.end(request, endpoint, end),
            false => {
                let (request, endpoint) = (request.clone(), endpoint.clone());
                let release = Command::Release { request, endpoint, end };
                self.budgets.tell(booked.steward.addr.clone(), release);
            }
        }
    }
}
