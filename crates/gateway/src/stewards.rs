//! Bookings of engines with their stewards, as the asking daemon and as the steward.
//!
//! A daemon asks the steward of its own data centre first, and that of another one when the first has
//! only busy engines. A steward that does not answer in time is passed over for a moment, and the
//! daemon places by its own knowledge.

use crate::desk::Desk;
use crate::members::{self, Suspects};
use crate::settings::Settings;
use crate::view::View;
use peer::gateway::{Answer, Ask, Member};
use peer::wire::{Reply, Request};
use sched::fleet::Registration;
use sched::id::RequestId;
use sched::steward::{self, Board, Booking};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Bound of one question to a steward.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Load from which the steward of another data centre is asked too.
const BUSY_LOAD: f64 = 0.8;
/// Cost of the way to another data centre, in turns of a full engine.
const REMOTE_COST: f64 = 0.05;

/// The parts that bookings need.
pub struct Stewards {
    settings: Arc<Settings>,
    view: Arc<View>,
    desk: Arc<Desk>,
    suspects: Suspects,
    board: Mutex<Board>,
}

/// A booked engine; dropping it ends the booking.
pub struct Booked {
    stewards: Arc<Stewards>,
    steward: Member,
    request: RequestId,
    /// The engine.
    pub registration: Registration,
    load: f64,
    cost: f64,
    /// How the request ended.
    pub end: steward::End,
}

impl Booked {
    /// Ends the booking of an engine that is not asked after all.
    fn unsent(mut self) {
        self.end = steward::End::Unsent;
    }
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.stewards.release(self);
    }
}

impl Stewards {
    /// Prepares bookings.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, desk: Arc<Desk>) -> Self {
        Self { settings, view, desk, suspects: Suspects::default(), board: Mutex::default() }
    }

    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Books an engine; `None` when no steward answers with one.
    pub async fn book(self: &Arc<Self>, ask: steward::Ask) -> Option<Booked> {
        let own = self.settings.dc.clone();
        let near = self.book_in(&own, &ask).await;
        if near.as_ref().is_some_and(|booked| booked.load < BUSY_LOAD) {
            return near;
        }
        let others = self.view.fleet(|fleet| fleet.dcs(&ask.service));
        let others: Vec<_> = others.into_iter().filter(|dc| *dc != own).collect();
        let Some(other) = fastrand::choice(others) else {
            return near;
        };
        let far = self.book_in(&other, &ask).await;
        match (near, far) {
            (Some(near), Some(far)) if near.cost <= far.cost + REMOTE_COST => {
                far.unsent();
                Some(near)
            }
            (Some(near), Some(far)) => {
                near.unsent();
                Some(far)
            }
            (near, far) => far.or(near),
        }
    }

    async fn book_in(self: &Arc<Self>, dc: &str, ask: &steward::Ask) -> Option<Booked> {
        let now = Instant::now();
        let steward = self.view.with_members(|live| {
            members::steward(&ask.service, dc, live, &self.suspects, now).cloned()
        })?;
        let booking = match steward.vm == self.settings.vm {
            true => self.decide(dc, ask, now),
            false => self.ask_peer(&steward, dc, ask).await,
        };
        let Booking { endpoint, load, cost } = booking?;
        let registration = self.view.fleet(|fleet| fleet.registration(&endpoint))?;
        let request = ask.request.clone();
        let end = steward::End::Done;
        Some(Booked { stewards: self.clone(), steward, request, registration, load, cost, end })
    }

    async fn ask_peer(&self, steward: &Member, dc: &str, ask: &steward::Ask) -> Option<Booking> {
        let ask = Ask::Book { dc: dc.into(), ask: ask.clone() };
        let request = Request::Gateway(Box::new(ask));
        match self.desk.peers().ask(&steward.addr, &request, ASK_TIMEOUT).await {
            Some(Reply::Gateway(Answer::Booked(booking))) => booking,
            _ => {
                self.suspects.suspect(&steward.vm, Instant::now());
                log::info!(target: "steward", steward = steward.vm.as_str(); "no answer in time");
                None
            }
        }
    }

    /// Books as the steward.
    pub fn decide(&self, dc: &str, ask: &steward::Ask, now: Instant) -> Option<Booking> {
        let mut board = self.board();
        self.view.fleet(|fleet| board.book(fleet, dc, ask, now))
    }

    /// Releases as the steward.
    pub fn end(&self, request: &str, endpoint: &str, end: steward::End) {
        self.board().release(request, endpoint, end, Instant::now());
    }

    /// Ends bookings whose daemons are gone.
    pub fn sweep(&self, now: Instant) {
        self.board().sweep(now);
    }

    fn release(&self, booked: &Booked) {
        let (request, end) = (&booked.request, booked.end);
        let endpoint = &booked.registration.id;
        match booked.steward.vm == self.settings.vm {
            true => self.end(request, endpoint, end),
            false => {
                let (request, endpoint) = (request.clone(), endpoint.clone());
                let release = Ask::Release { request, endpoint, end };
                self.desk.tell(booked.steward.addr.clone(), release);
            }
        }
    }
}
