//! Quotas of customers over all daemons.
//!
//! In any span of time, a customer may send its rate times the span plus its burst, through whichever
//! daemons. The limit is dealt out as tokens, one for each request:
//!
//! * A coordinator holds a [`Stock`] of tokens for each customer and spends one with each booking. It
//!   reports its use and demand to a grantor at intervals, and at once when a request waits.
//! * The [`Grantor`] has a token bucket for each customer, and knows what all coordinators hold. Its
//!   answer is the stock that the coordinator holds from then on, valid for a short time.
//! * First turns of programs need a permit besides the token. While a customer asks for more than its
//!   quota, permits are dealt for as many programs as the quota carries to their end, so that begun
//!   programs find tokens for their later requests.
//!
//! Only a grantor that hears from the coordinators of most groups of endpoints deals, and each
//! coordinator counts at one grantor at a time. A grantor that begins does not know what was used
//! before, so its buckets are empty but for a part of the tolerance within which quotas are kept.

mod contact;
mod grantor;
mod programs;
mod stock;

pub use contact::Contact;
pub use grantor::Grantor;
pub use stock::Stock;

use crate::admission::Refusal;
use crate::id::{CustomerId, DcId, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Span of time for which the tolerance of quotas is stated.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Interval at which coordinators report to a grantor.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its last report for which a coordinator counts at a grantor. A coordinator that turns
/// to another grantor waits as long, so it never counts at two.
pub const ATTACHMENT_TTL: Duration = Duration::from_millis(700);
/// Time for which a stock is valid, from the report that it answers.
const STOCK_TTL: Duration = Duration::from_secs(2);

/// How far a quota may be exceeded in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tolerance {
    /// Part of the limit.
    pub share: f64,
    /// Number of requests.
    pub requests: f64,
}

impl Tolerance {
    /// Returns whether the tolerance is not negative.
    pub fn is_valid(&self) -> bool {
        self.share >= 0.0 && self.requests >= 0.0
    }

    /// Returns what begun programs may use beyond the limit: half of the tolerance.
    fn for_begun(&self, limit: f64) -> f64 {
        (self.share * limit + self.requests) / 2.0
    }

    /// Returns what a grantor that begins may deal at once: a quarter of the tolerance, so that two
    /// changes of the grantor in one window stay within it.
    fn at_start(&self, limit: f64) -> f64 {
        self.for_begun(limit) / 2.0
    }
}

/// What a request spends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A first turn of a program, which needs a permit and a token.
    Begin,
    /// Any other request, which needs a token.
    Continue,
}

/// A request that counts towards a customer's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The customer.
    pub customer: CustomerId,
    /// What the request spends.
    pub class: Class,
}

/// Endpoints of a service in a data centre.
pub type Group = (ServiceId, DcId);

/// Process that holds stocks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// VM of the process.
    pub vm: VmId,
    /// Random number that identifies the process.
    pub incarnation: u64,
}

/// Tokens and permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Number of tokens.
    pub tokens: u32,
    /// Number of permits for first turns.
    pub begins: u32,
}

impl Amount {
    fn saturating_sub(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            begins: self.begins.saturating_sub(other.begins),
        }
    }

    fn max(self, other: Self) -> Self {
        Self { tokens: self.tokens.max(other.tokens), begins: self.begins.max(other.begins) }
    }

    fn min(self, other: Self) -> Self {
        Self { tokens: self.tokens.min(other.tokens), begins: self.begins.min(other.begins) }
    }
}

/// Numbers of requests since a coordinator began to count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that spent a token.
    pub used: u64,
    /// First turns among them.
    pub begun: u64,
    /// Requests of begun programs that found no token.
    pub denied: u64,
    /// First turns that found no permit or no token.
    pub refused: u64,
}

/// What a coordinator used, holds and wants of one customer's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerId,
    /// What was used.
    pub counts: Counts,
    /// What the coordinator holds.
    pub held: Amount,
    /// What it wants to hold.
    pub wanted: Amount,
    /// What requests wait for.
    pub needed: Amount,
}

/// Report of a coordinator to a grantor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The process that reports.
    pub holder: Holder,
    /// Groups of endpoints that it books.
    pub groups: Vec<Group>,
    /// Customers whose requests it booked recently.
    pub demands: Vec<Demand>,
}

/// Answer of a grantor to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// What the coordinator holds from now on, in the order of the report's demands.
    pub supplies: Vec<Supply>,
    /// Whether the grantor hears from most groups of endpoints. If not, another one may.
    pub has_most: bool,
}

/// What a coordinator holds of one customer's quota from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Supply {
    /// The customer.
    pub customer: CustomerId,
    /// What the coordinator holds, without what it used since its report.
    pub held: Amount,
    /// Time until more tokens are expected.
    pub token_delay: Duration,
    /// Time until more permits are expected.
    pub begin_delay: Duration,
}

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The customer's quota is spent.
    OverQuota(Refusal),
    /// No grantor answers, and the stock is empty or has expired.
    Unconfirmed,
}

/// Why a stock has no token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The grantor has just answered that there is none.
    Confirmed(Refusal),
    /// The grantor has to be asked.
    Unasked,
}

/// A count with exponential decay.
#[derive(Clone, Copy, Debug)]
struct Decayed {
    count: f64,
    updated: Instant,
    half_life: Duration,
}

impl Decayed {
    fn new(half_life: Duration, now: Instant) -> Self {
        Self { count: 0.0, updated: now, half_life }
    }

    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.count * (-age.div_duration_f64(self.half_life)).exp2()
    }

    fn add(&mut self, count: f64, now: Instant) {
        self.count = self.at(now) + count;
        self.updated = now;
    }

    /// Returns the number of events per second.
    fn rate(&self, now: Instant) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}
