//! Fair shares of the endpoints of one service between customers.
//!
//! While endpoints have no room for all, a customer that used more engine time than its fair share is
//! held to a lower limit, so that its excess doesn't push out the programs of others. The share is
//! max-min fair: customers that ask for less get it, the others share the rest alike.
//!
//! The load pattern that this answers is one customer at several times its usual beside a burst.

use crate::id::CustomerId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Half-life of use and demand.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Part of the limits up to which a customer over its share is admitted.
const OVER_SHARE: f64 = 0.85;
/// Weight below which a customer is forgotten, in seconds of engine time.
const MIN_WEIGHT_S: f64 = 1e-3;

/// Recent use and demand of one customer, in seconds of engine time.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    used: f64,
    /// What its refused requests would have used.
    refused: f64,
}

/// Shares of the customers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    customers: IndexMap<CustomerId, Entry>,
    updated: Option<Instant>,
    /// Mean engine time of a request, in seconds.
    request_s: f64,
}

impl Shares {
    fn decay(&mut self, now: Instant) {
        let age = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.div_duration_f64(HALF_LIFE)).exp2();
        for entry in self.customers.values_mut() {
            entry.used *= factor;
            entry.refused *= factor;
        }
        self.updated = Some(now);
    }

    /// Records a request of a customer that occupied an endpoint for `time`.
    pub fn record_use(&mut self, customer: &CustomerId, time: Duration, now: Instant) {
        self.decay(now);
        self.request_s += 0.05 * (time.as_secs_f64() - self.request_s);
        self.customers.entry(customer.clone()).or_default().used += time.as_secs_f64();
    }

    /// Records that a program of a customer was refused.
    pub fn record_refusal(&mut self, customer: &CustomerId, now: Instant) {
        self.decay(now);
        let request_s = self.request_s;
        self.customers.entry(customer.clone()).or_default().refused += request_s;
    }

    /// Returns the part of the limits up to which a customer is admitted.
    pub fn part(&self, customer: &CustomerId) -> f64 {
        let used = self.customers.get(customer).map_or(0.0, |entry| entry.used);
        match used > self.level() {
            true => OVER_SHARE,
            false => 1.0,
        }
    }

    /// Returns the use up to which all customers are filled up evenly.
    fn level(&self) -> f64 {
        let demand = |entry: &Entry| entry.used + entry.refused;
        let mut demands: Vec<f64> = self.customers.values().map(demand).collect();
        demands.sort_by(f64::total_cmp);
        let mut left: f64 = self.customers.values().map(|entry| entry.used).sum();
        let mut level = 0.0;
        for (index, demand) in demands.iter().enumerate() {
            let even = left / (demands.len() - index) as f64;
            if *demand >= even {
                return even;
            }
            left -= demand;
            level = *demand;
        }
        level
    }

    /// Forgets customers without recent use.
    pub fn sweep(&mut self, now: Instant) {
        self.decay(now);
        self.customers.retain(|_, entry| entry.used + entry.refused > MIN_WEIGHT_S);
    }
}
