//! Which requests a group of endpoints takes on while more come than it can serve.
//!
//! The pattern that this answers: within a second five times the usual number of programs begin, each a
//! chain of dependent turns. Were all of them let in, every turn of every program would wait behind
//! the others', no program would end in time, and the late ones would keep the endpoints busy long
//! after the burst. So a program is turned away before its first turn where the group has no room, and
//! is told when to come back; the turns of a program that was let in go on.
//!
//! * A program begins only while the group's bookings are below [`Limits::begin`].
//! * One that was turned away before has lost a part of its time. While it can still end in time it
//!   begins below [`Limits::come_back`], a little later than the others; were it first, each program
//!   would wait for its turn and all would end late, as in any queue that is longer than its
//!   deadlines. One that would end late begins below [`Limits::late`], where there is room to spare.
//! * A turn of a program under way, or a request of its tools, is refused only where the shortest queue
//!   is longer than [`Limits::go_on`], since it would not be served in time there.
//! * The time to come back is what the group needs to let in those that were turned away lately, at
//!   the rate of the last seconds, and is spread so that they do not return together.
//!
//! Loads are shares of the endpoints' slots, so the limits fit endpoints of any speed.

use crate::id::ProgramId;
use crate::members;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which a program that was turned away is expected back.
const EXPECTED_BACK: Duration = Duration::from_secs(15);
/// Most programs that are expected back; beyond them, none comes first.
const MAX_EXPECTED: usize = 8_192;
/// Part of a program's time without which it cannot end in time.
///
/// Objectives leave a program about half as much again as it takes on idle endpoints, and most of
/// that goes to the neighbours on loaded ones.
const NEEDED_SHARE: f64 = 0.9;
/// Time in which what was let in loses half of its weight.
const RATE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Times its part of the slots that one daemon may use where no steward answers.
const UNEVEN: f64 = 2.0;
/// Shortest time to come back.
const BACK_MIN: Duration = Duration::from_millis(150);
/// Longest time to come back; callers do not wait for much longer.
const BACK_MAX: Duration = Duration::from_millis(1_000);

/// How far a request's program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The request is the program's first.
    Begins,
    /// Endpoints have worked for the program.
    Continues,
}

/// Loads up to which requests are taken on, as shares of the endpoints' slots.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Load of the group up to which a program begins.
    pub begin: f64,
    /// The same for a program that was turned away before and can still end in time.
    pub come_back: f64,
    /// The same for a program that was turned away before and would end late.
    pub late: f64,
    /// Load of the least loaded endpoint up to which a program goes on.
    pub go_on: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { begin: 1.1, come_back: 0.9, late: 0.4, go_on: 2.5 }
    }
}

/// What one daemon knows of a service's load by itself, where no steward answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fallback {
    /// Its own requests under way.
    pub in_flight: u32,
    /// Slots of all endpoints.
    pub slots: u32,
    /// Daemons that serve clients.
    pub daemons: usize,
}

impl Fallback {
    /// Tells whether a program may begin.
    ///
    /// Clients are spread unevenly, so a daemon may use some times its part of the slots; it always has
    /// one, so that service goes on however many daemons there are.
    pub fn has_room(&self, limits: &Limits) -> bool {
        let part = f64::from(self.slots) / self.daemons.max(1) as f64;
        f64::from(self.in_flight) < (part * limits.begin * UNEVEN).max(1.0)
    }

    /// The refusal of a program that may not.
    pub fn refusal(spread: f64) -> Refusal {
        Refusal { retry_after: BACK_MIN + (BACK_MAX - BACK_MIN).mul_f64(spread) }
    }
}

/// Load of a group of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Bookings of all endpoints as a share of their slots.
    pub group: f64,
    /// Bookings of the least loaded endpoint as a share of its slots.
    pub least: f64,
}

/// A request that is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// When it is worth sending again.
    pub retry_after: Duration,
}

/// A program that was turned away.
#[derive(Clone, Copy, Debug)]
struct Expected {
    /// When it was turned away first.
    since: Instant,
    /// Time that it had left then.
    had: Option<Duration>,
}

impl Expected {
    /// Tells whether the program would end late if it began with `time_left`.
    fn late(&self, time_left: Option<Duration>) -> bool {
        match (self.had, time_left) {
            (_, Some(Duration::ZERO)) => true,
            (Some(had), Some(left)) => left < had.mul_f64(NEEDED_SHARE),
            _ => false,
        }
    }
}

/// A request that asks to be taken on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its program, for a turn of one.
    pub program: Option<&'a ProgramId>,
    /// How far its program has come.
    pub stage: Stage,
    /// Time within which its program should end.
    pub time_left: Option<Duration>,
}

/// Admission to one group of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    limits: Limits,
    /// Programs that were turned away; the one whose first refusal is oldest comes first.
    expected: IndexMap<ProgramId, Expected>,
    /// Programs that began lately, weighted by their age at `weighed`.
    begun: f64,
    weighed: Option<Instant>,
}

impl Controller {
    /// Starts with other limits than the usual ones.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides whether a request is taken on.
    ///
    /// # Errors
    ///
    /// Returns when it is worth sending again.
    pub fn admit(&mut self, ask: Request<'_>, load: Load, now: Instant) -> Result<(), Refusal> {
        let Some(program) = ask.program.filter(|_| ask.stage == Stage::Begins) else {
            return match load.least < self.limits.go_on {
                true => Ok(()),
                false => Err(Refusal { retry_after: BACK_MIN }),
            };
        };
        self.forget(now);
        let limit = match self.expected.get(program) {
            Some(expected) if expected.late(ask.time_left) => self.limits.late,
            Some(_) => self.limits.come_back,
            None => self.limits.begin,
        };
        if load.group < limit {
            self.expected.shift_remove(program);
            self.begun = self.begun(now) + 1.0;
            self.weighed = Some(now);
            return Ok(());
        }
        if self.expected.len() < MAX_EXPECTED {
            let expected = Expected { since: now, had: ask.time_left };
            self.expected.entry(program.clone()).or_insert(expected);
        }
        Err(Refusal { retry_after: self.retry_after(program, now) })
    }

    /// Programs that are expected back.
    pub fn pending_retries(&self) -> usize {
        self.expected.len()
    }

    fn forget(&mut self, now: Instant) {
        while let Some((_, expected)) = self.expected.first()
            && now.duration_since(expected.since) > EXPECTED_BACK
        {
            self.expected.shift_remove_index(0);
        }
    }

    fn begun(&self, now: Instant) -> f64 {
        let age = self.weighed.map_or(Duration::ZERO, |weighed| now.duration_since(weighed));
        self.begun * (-age.div_duration_f64(RATE_HALF_LIFE)).exp2()
    }

    /// Time after which there may be room, spread over half of it to either side.
    fn retry_after(&self, program: &str, now: Instant) -> Duration {
        let per_second = self.begun(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        let needed = self.expected.len() as f64 / per_second.max(f64::MIN_POSITIVE);
        let needed = needed.clamp(BACK_MIN.as_secs_f64(), BACK_MAX.as_secs_f64());
        let spread = members::weight(&self.expected.len(), program) as f64 / u64::MAX as f64;
        Duration::from_secs_f64(needed * (0.5 + spread))
    }
}
