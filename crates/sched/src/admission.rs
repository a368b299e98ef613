//! Admission control for a group of endpoints that get more requests than they can serve.
//!
//! It is designed for bursts: within a second, five times the usual number of programs begin, each
//! a chain of dependent turns. If all of them were admitted, every turn would queue behind those of
//! all other programs, no program would end in time, and the late ones would occupy the endpoints
//! long after the burst. So a program is refused before its first turn when the group has no room,
//! and is told when to retry; the turns of an admitted program continue.
//!
//! * A new program is admitted while the load of the group is below [`Limits::begin`].
//! * A program that was refused before has lost some of its time. If it can still end in time, it
//!   is admitted below [`Limits::come_back`], which is lower than the limit of new programs. If
//!   refused programs went first, each program would wait for its turn and all would end late, as
//!   in any queue that is longer than its deadlines. A program that would end late is admitted only
//!   below [`Limits::late`], when there is spare capacity.
//! * A turn of an admitted program or a request of its tools is refused only when the shortest
//!   queue is longer than [`Limits::go_on`], since no endpoint would serve it in time.
//! * The retry delay is the time that the group needs to admit the recently refused programs at the
//!   rate of the last seconds. It is spread so that they do not all retry at once.
//!
//! Loads are fractions of the endpoints' slots, so the limits fit endpoints of any speed.

use crate::id::ProgramId;
use crate::members;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which a refused program is remembered, from its first refusal.
const RETRY_WINDOW: Duration = Duration::from_secs(15);
/// Maximum number of refused programs that are remembered; the others count as new when they retry.
const MAX_PENDING_RETRIES: usize = 8_192;
/// Fraction of its time left at the first refusal that a program needs on a retry to end in time.
///
/// Deadlines leave a program about 1.5 times the time it takes on idle endpoints. On loaded
/// endpoints, most of that slack is lost to the other requests in the batch.
const MIN_TIME_LEFT: f64 = 0.9;
/// Half-life of the weight of an admitted program in the estimate of the admission rate.
const RATE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Factor by which one daemon may exceed its even share of the slots when no coordinator answers.
const UNEVEN_SHARE_FACTOR: f64 = 2.0;
/// Minimum retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Maximum retry delay; callers do not wait much longer.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Whether a request is the first of its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The request is the program's first.
    Begins,
    /// Endpoints have already processed requests of the program.
    Continues,
}

/// Loads below which requests are admitted, as fractions of the endpoints' slots.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Load of the group below which a new program is admitted.
    pub begin: f64,
    /// Load of the group below which a program that was refused before is admitted if it can still
    /// end in time.
    pub come_back: f64,
    /// Load of the group below which a program that was refused before is admitted if it would end
    /// late.
    pub late: f64,
    /// Load of the least loaded endpoint below which an admitted program continues.
    pub go_on: f64,
    /// Load of the least loaded endpoint below which a request from another data centre is admitted.
    pub lend: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { begin: 1.1, come_back: 0.9, late: 0.4, go_on: 2.5, lend: 0.9 }
    }
}

/// Admission by one daemon on its own, used when no coordinator answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fallback {
    /// Requests of this daemon that are in flight at the service's endpoints.
    pub in_flight: u32,
    /// Slots of all endpoints of the service, as far as their rate limits leave them.
    pub slots: f64,
    /// Number of daemons that serve clients.
    pub daemons: usize,
}

impl Fallback {
    /// Returns whether a new program may begin.
    ///
    /// Clients are spread unevenly over the daemons, so a daemon may use more than its even share
    /// of the slots. It may always use one slot, so that the service stays available with any
    /// number of daemons.
    pub fn has_room(&self, limits: &Limits) -> bool {
        let share = self.slots / self.daemons.max(1) as f64;
        f64::from(self.in_flight) < (share * limits.begin * UNEVEN_SHARE_FACTOR).max(1.0)
    }

    /// Returns the refusal of a program; `spread`, from 0 to 1, varies the retry delay.
    pub fn refusal(spread: f64) -> Refusal {
        Refusal {
            retry_after: MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(spread),
        }
    }
}

/// Load of a group of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Bookings of all endpoints as a fraction of their slots.
    pub group: f64,
    /// Bookings of the least loaded endpoint as a fraction of its slots.
    pub least: f64,
    /// Load of the group up to which programs end in time, if it is known; see [`crate::pace`].
    pub ceiling: Option<f64>,
    /// Part of the limits up to which the customer's programs are admitted; see [`crate::fair`].
    pub share: f64,
}

impl Load {
    /// Returns a limit, lowered in proportion if the ceiling is below the limit of new programs, and
    /// by the customer's share.
    fn bounded(&self, limit: f64, limits: &Limits) -> f64 {
        let bounded = match self.ceiling {
            Some(ceiling) if ceiling < limits.begin => limit * ceiling / limits.begin,
            _ => limit,
        };
        bounded * self.share
    }
}

/// Refusal of a request because of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Delay after which the request should be retried.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the refusal of a request that can be served after `delay`.
    pub fn until(delay: Duration) -> Self {
        Self { retry_after: delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
    }
}

/// A refused program that is expected to retry.
#[derive(Clone, Copy, Debug)]
struct PendingRetry {
    /// Time of its first refusal.
    refused_at: Instant,
    /// Time left until its deadline at its first refusal.
    initial_time_left: Option<Duration>,
}

impl PendingRetry {
    /// Returns whether the program would end late if it began with `time_left`.
    fn late(&self, time_left: Option<Duration>) -> bool {
        match (self.initial_time_left, time_left) {
            (_, Some(Duration::ZERO)) => true,
            (Some(initial), Some(left)) => left < initial.mul_f64(MIN_TIME_LEFT),
            _ => false,
        }
    }
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Program whose turn this is; `None` for other requests.
    pub program: Option<&'a ProgramId>,
    /// Whether the request is the first of its program.
    pub stage: Stage,
    /// Time left until the program should end.
    pub time_left: Option<Duration>,
    /// Whether the request comes from another data centre.
    pub is_borrowed: bool,
}

/// Admission control for one group of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    limits: Limits,
    /// Refused programs, in the order of their first refusal.
    pending_retries: IndexMap<ProgramId, PendingRetry>,
    /// Number of admitted programs with exponential decay, as of `updated`.
    admitted: f64,
    updated: Option<Instant>,
}

impl Controller {
    /// Creates a controller with the given limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides whether a request is admitted.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the request should be retried.
    pub fn admit(&mut self, request: Request<'_>, load: Load, now: Instant) -> Result<(), Refusal> {
        if request.is_borrowed && load.least >= self.limits.lend {
            return Err(Refusal { retry_after: MIN_RETRY_AFTER });
        }
        let Some(program) = request.program.filter(|_| request.stage == Stage::Begins) else {
            return match load.least < self.limits.go_on {
                true => Ok(()),
                false => Err(Refusal { retry_after: MIN_RETRY_AFTER }),
            };
        };
        self.expire(now);
        let limit = match self.pending_retries.get(program) {
            Some(pending) if pending.late(request.time_left) => self.limits.late,
            Some(_) => self.limits.come_back,
            None => self.limits.begin,
        };
        if load.group < load.bounded(limit, &self.limits) {
            self.pending_retries.shift_remove(program);
            self.admitted = self.admitted(now) + 1.0;
            self.updated = Some(now);
            return Ok(());
        }
        if self.pending_retries.len() < MAX_PENDING_RETRIES {
            let pending = PendingRetry { refused_at: now, initial_time_left: request.time_left };
            self.pending_retries.entry(program.clone()).or_insert(pending);
        }
        Err(Refusal { retry_after: self.retry_after(program, now) })
    }

    /// Returns the number of refused programs that are expected to retry.
    pub fn pending_retries(&self) -> usize {
        self.pending_retries.len()
    }

    /// Drops programs whose retry window has passed.
    fn expire(&mut self, now: Instant) {
        while let Some((_, pending)) = self.pending_retries.first()
            && now.duration_since(pending.refused_at) > RETRY_WINDOW
        {
            self.pending_retries.shift_remove_index(0);
        }
    }

    /// Returns the number of admitted programs, decayed to `now`.
    fn admitted(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |updated| now.duration_since(updated));
        self.admitted * (-age.div_duration_f64(RATE_HALF_LIFE)).exp2()
    }

    /// Returns the time after which there may be room, varied per program by up to 50 % in either
    /// direction.
    fn retry_after(&self, program: &str, now: Instant) -> Duration {
        let per_second = self.admitted(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        let needed = self.pending_retries.len() as f64 / per_second.max(f64::MIN_POSITIVE);
        let needed = needed.clamp(MIN_RETRY_AFTER.as_secs_f64(), MAX_RETRY_AFTER.as_secs_f64());
        let spread = members::weight(&self.pending_retries.len(), program) as f64 / u64::MAX as f64;
        Duration::from_secs_f64(needed * (0.5 + spread))
    }
}
