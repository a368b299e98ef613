//! The load up to which the programs of a service end in time.
//!
//! The load that a batch of an engine may have depends on the engine: the more turns run, the longer
//! each takes, and fast turns with long pauses between them bear a full batch better than slow turns.
//! A coordinator sees what it needs to tell them apart: how long each turn took at which load, and
//! how much time each program had for its turns. From the turns it fits the duration of a turn as a
//! linear function of the load, and from the programs that ended the time that they had for a turn.
//! The load at which the two meet is the ceiling.
//!
//! The load pattern that this answers is a burst on slow engines, which a limit that fits fast
//! engines fills until every program ends late.

use crate::id::ProgramId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time without a turn after which a program counts as ended.
const END_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum number of programs that are followed at the same time.
const MAX_PROGRAMS: usize = 4_096;
/// Half-life of an observation.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Weight of the observations from which there is a ceiling.
const MIN_WEIGHT: f64 = 50.0;
/// Share of the time that a program has for its turns which they may take on average. The rest is
/// for the spread between turns.
const TIME_SHARE: f64 = 0.85;
/// Range of the ceiling. Below it the engines would idle, above it the load is a queue, where the
/// duration of a turn is no linear function of the load.
const CEILINGS: std::ops::RangeInclusive<f64> = 0.5..=1.5;

/// A program in progress.
#[derive(Clone, Debug)]
struct Course {
    began_at: Instant,
    /// Time that the program had when it began.
    time: Duration,
    /// Sum of the durations of its turns.
    busy: Duration,
    turns: u32,
    in_progress: u32,
    last_end: Instant,
}

impl Course {
    /// Returns the time that the program had for each of its turns.
    fn time_per_turn(&self) -> f64 {
        let pauses = self.last_end.duration_since(self.began_at).saturating_sub(self.busy);
        self.time.saturating_sub(pauses).as_secs_f64() / f64::from(self.turns.max(1))
    }
}

/// Weighted sums of the durations of turns by load.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    weight: f64,
    load: f64,
    duration: f64,
    load_squared: f64,
    product: f64,
}

impl Fit {
    fn decay(&mut self, factor: f64) {
        let Self { weight, load, duration, load_squared, product } = self;
        [weight, load, duration, load_squared, product].into_iter().for_each(|sum| *sum *= factor);
    }

    fn add(&mut self, load: f64, duration: f64) {
        self.weight += 1.0;
        self.load += load;
        self.duration += duration;
        self.load_squared += load * load;
        self.product += load * duration;
    }

    /// Returns the duration of a turn without load and its increase per load.
    fn line(&self) -> Option<(f64, f64)> {
        let determinant = self.weight * self.load_squared - self.load * self.load;
        if self.weight < MIN_WEIGHT || determinant <= f64::EPSILON * self.weight {
            return None;
        }
        let slope = (self.weight * self.product - self.load * self.duration) / determinant;
        Some(((self.duration - slope * self.load) / self.weight, slope))
    }
}

/// Pace of the endpoints of one service, as seen by their coordinator.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    programs: IndexMap<ProgramId, Course>,
    fit: Fit,
    /// Weighted number of programs that ended, and sum of the time they had for a turn.
    ended: (f64, f64),
    updated: Option<Instant>,
}

impl Pace {
    /// Records that a turn of a program begins, when the program has `time_left` until its deadline.
    pub fn begin_turn(&mut self, program: &ProgramId, time_left: Option<Duration>, now: Instant) {
        if let Some(course) = self.programs.get_mut(program) {
            course.in_progress += 1;
            return;
        }
        if let Some(time) = time_left.filter(|_| self.programs.len() < MAX_PROGRAMS) {
            let course = Course {
                began_at: now,
                time,
                busy: Duration::ZERO,
                turns: 0,
                in_progress: 1,
                last_end: now,
            };
            self.programs.insert(program.clone(), course);
        }
    }

    /// Records that a turn ended after `duration`, which found its endpoint at `load`; `None` for a
    /// turn that did not complete.
    pub fn end_turn(&mut self, program: &ProgramId, done: Option<(f64, Duration)>, now: Instant) {
        if let Some(course) = self.programs.get_mut(program) {
            course.in_progress = course.in_progress.saturating_sub(1);
            course.last_end = now;
            course.turns += 1;
            course.busy += done.map_or(Duration::ZERO, |(_, duration)| duration);
        }
        if let Some((load, duration)) = done.filter(|(load, _)| *load < 1.0) {
            self.decay(now);
            self.fit.add(load, duration.as_secs_f64());
        }
    }

    /// Takes in the programs that have ended.
    pub fn sweep(&mut self, now: Instant) {
        self.decay(now);
        let Self { programs, ended: (count, sum), .. } = self;
        programs.retain(|_, course| {
            let is_idle = course.in_progress == 0
                && now.saturating_duration_since(course.last_end) > END_DELAY;
            if is_idle && course.turns > 0 {
                *count += 1.0;
                *sum += course.time_per_turn();
            }
            !is_idle
        });
    }

    fn decay(&mut self, now: Instant) {
        let age = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.div_duration_f64(HALF_LIFE)).exp2();
        self.fit.decay(factor);
        self.ended = (self.ended.0 * factor, self.ended.1 * factor);
        self.updated = Some(now);
    }

    /// Returns the load up to which programs are expected to end in time, or `None` before enough of
    /// them have ended.
    pub fn ceiling(&self) -> Option<f64> {
        let (count, sum) = self.ended;
        let (idle, slope) = self.fit.line()?;
        if count < MIN_WEIGHT / 2.0 || slope <= 0.0 {
            return None;
        }
        let ceiling = (sum / count * TIME_SHARE - idle) / slope;
        Some(ceiling.clamp(*CEILINGS.start(), *CEILINGS.end()))
    }
}
