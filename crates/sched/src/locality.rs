//! When a request leaves its data centre.
//!
//! A request is booked at home first. Where that is busy, another data centre may be cheaper although
//! the way there takes longer: both coordinators name the cost of the request, and the way is added
//! to the one. [`Neighbours`] knows from earlier answers which data centres are worth asking, and what
//! the way costs. How much leaves follows from the bookings: each one changes both costs at once.

use crate::id::{DcId, ServiceId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Load of an endpoint at home from which other data centres are asked, as a fraction of its slots.
pub const BUSY_LOAD: f64 = 0.8;
/// Time for which a data centre that had no room is not asked again.
const FULL_TTL: Duration = Duration::from_millis(100);
/// Time for which the load of a data centre is taken for its present one.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Time for which a data centre that did not answer is not asked again.
const SILENT_TTL: Duration = Duration::from_secs(2);
/// Weight of one answer in the estimates of the time of a round trip and of a request.
const GAIN: f64 = 0.1;
/// Time of a request that is assumed before one was seen.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_millis(100);
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// Prices of the way between data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// What a megabyte between data centres is worth, in milliseconds of latency.
    pub ms_per_mb: f64,
}

/// Answer of a coordinator to a booking.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It booked an endpoint.
    Booked {
        /// Load of the endpoint before the booking, as a fraction of its slots.
        load: f64,
        /// Mean time of a request at the endpoints there, if it is known.
        request_time: Option<Duration>,
    },
    /// It has no room.
    Full,
    /// It did not answer.
    Silent,
}

/// What is known of a service's endpoints in one data centre.
#[derive(Clone, Debug, Default)]
struct Neighbour {
    /// Load at the last booking, and its time.
    load: Option<(f64, Instant)>,
    /// Mean time of a request, in seconds.
    request_s: Option<f64>,
    /// Time until which it is not asked.
    skipped_until: Option<Instant>,
}

/// What a daemon knows of the data centres around it.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    services: IndexMap<(ServiceId, DcId), Neighbour>,
    /// Mean time of a round trip to each data centre, in seconds.
    round_trips_s: IndexMap<DcId, f64>,
    prices: Prices,
}

fn average(mean: Option<f64>, sample: f64) -> f64 {
    mean.map_or(sample, |mean| mean + GAIN * (sample - mean))
}

impl Neighbours {
    /// Creates the state of a daemon that knows nothing.
    pub fn new(prices: Prices) -> Self {
        Self { prices, ..Self::default() }
    }

    /// Records the answer of a coordinator that took `elapsed`.
    pub fn record(
        &mut self,
        service: &str,
        dc: &str,
        answer: Answer,
        elapsed: Duration,
        now: Instant,
    ) {
        if answer != Answer::Silent {
            let mean = self.round_trips_s.get(dc).copied();
            self.round_trips_s.insert(dc.into(), average(mean, elapsed.as_secs_f64()));
        }
        let neighbour = self.services.entry((service.into(), dc.into())).or_default();
        neighbour.skipped_until = match answer {
            Answer::Booked { .. } => None,
            Answer::Full => Some(now + FULL_TTL),
            Answer::Silent => Some(now + SILENT_TTL),
        };
        if let Answer::Booked { load, request_time } = answer {
            neighbour.load = Some((load, now));
            if let Some(time) = request_time {
                neighbour.request_s = Some(average(neighbour.request_s, time.as_secs_f64()));
            }
        }
    }

    /// Returns the data centres to ask, the most promising first: near ones with a low load.
    pub fn candidates(
        &self,
        service: &str,
        home: &str,
        dcs: impl IntoIterator<Item = DcId>,
        now: Instant,
    ) -> Vec<DcId> {
        let known = |dc: &DcId| self.services.get(&(service.into(), dc.clone()));
        let mut candidates: Vec<DcId> = dcs
            .into_iter()
            .filter(|dc| dc != home)
            .filter(|dc| {
                let skipped = known(dc).and_then(|neighbour| neighbour.skipped_until);
                skipped.is_none_or(|until| until <= now)
            })
            .collect();
        let expected = |dc: &DcId| {
            let load = known(dc).and_then(|neighbour| neighbour.load);
            let load = load.filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_TTL);
            load.map_or(0.0, |(load, _)| load) + self.way(service, home, dc, 0)
        };
        candidates.sort_by(|left, right| expected(left).total_cmp(&expected(right)));
        candidates
    }

    /// Returns the cost of the way to a data centre for a request of this many bytes, in requests.
    pub fn way(&self, service: &str, home: &str, dc: &str, bytes: usize) -> f64 {
        let round_trip = |dc: &str| self.round_trips_s.get(dc).copied().unwrap_or_default();
        let detour_s = (round_trip(dc) - round_trip(home)).max(0.0);
        let price_s = bytes as f64 / MEGABYTE * self.prices.ms_per_mb / 1_000.0;
        let neighbour = self.services.get(&(service.into(), dc.into()));
        let request_s = neighbour.and_then(|neighbour| neighbour.request_s);
        let request_s = request_s.unwrap_or(DEFAULT_REQUEST_TIME.as_secs_f64());
        (detour_s + price_s) / request_s.max(f64::MIN_POSITIVE)
    }

    /// Returns whether a request is sent to another data centre, by its costs at both.
    pub fn leaves(home: f64, other: f64, way: f64) -> bool {
        other + way < home
    }
}
