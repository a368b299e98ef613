//! What a coordinator holds of the customers' quotas.

use super::{
    Amount, Charge, Class, Counts, Decayed, Demand, REPORT_INTERVAL, STOCK_TTL, Shortage, Supply,
};
use crate::admission::Refusal;
use crate::id::CustomerId;
use crate::members;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time of its demand that a coordinator wants in stock, to bridge the loss of a grantor.
const STOCK_HORIZON: Duration = Duration::from_secs(1);
/// Half-life of a request in the estimate of demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time without a request after which a coordinator gives its stock back.
const IDLE_AFTER: Duration = Duration::from_secs(3);
/// Time without a request after which a coordinator forgets a customer.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What a coordinator holds of one customer's quota.
#[derive(Clone, Debug)]
struct Holding {
    held: Amount,
    valid_until: Instant,
    counts: Counts,
    reported: Counts,
    waiting: Amount,
    asked: Decayed,
    begins_asked: Decayed,
    last_asked: Instant,
    /// When the grantor last answered that it has no tokens, and no permits, with the time until it
    /// expects some.
    no_tokens: Option<(Instant, Duration)>,
    no_begins: Option<(Instant, Duration)>,
}

impl Holding {
    fn new(now: Instant) -> Self {
        Self {
            held: Amount::default(),
            valid_until: now,
            counts: Counts::default(),
            reported: Counts::default(),
            waiting: Amount::default(),
            asked: Decayed::new(DEMAND_HALF_LIFE, now),
            begins_asked: Decayed::new(DEMAND_HALF_LIFE, now),
            last_asked: now,
            no_tokens: None,
            no_begins: None,
        }
    }

    fn wanted(&self, now: Instant) -> Amount {
        if now.saturating_duration_since(self.last_asked) >= IDLE_AFTER {
            return Amount::default();
        }
        let horizon = STOCK_HORIZON.as_secs_f64();
        let tokens = (self.asked.rate(now) * horizon).ceil() as u32;
        Amount { tokens, begins: (self.begins_asked.rate(now) * horizon).ceil() as u32 }
    }

    fn expire(&mut self, now: Instant) {
        if now >= self.valid_until {
            self.held = Amount::default();
        }
    }

    /// Returns the answer that explains why a request of this class finds nothing.
    fn confirmed(&self, class: Class, now: Instant) -> Option<Duration> {
        let recent = |answer: Option<(Instant, Duration)>| {
            let (at, delay) = answer?;
            (now.saturating_duration_since(at) < REPORT_INTERVAL * 2).then_some(delay)
        };
        match class {
            Class::Begin if self.held.tokens > 0 => recent(self.no_begins),
            Class::Begin => recent(self.no_begins).or(recent(self.no_tokens)),
            Class::Continue => recent(self.no_tokens),
        }
    }
}

/// What a coordinator holds of the customers' quotas.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    holdings: IndexMap<CustomerId, Holding>,
}

impl Stock {
    fn holding(&mut self, customer: &CustomerId, now: Instant) -> &mut Holding {
        self.holdings.entry(customer.clone()).or_insert_with(|| Holding::new(now))
    }

    /// Spends what a request needs.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] when the stock does not hold it. `request` varies the retry delay.
    pub fn take(&mut self, charge: &Charge, request: &str, now: Instant) -> Result<(), Shortage> {
        let holding = self.holding(&charge.customer, now);
        holding.expire(now);
        holding.asked.add(1.0, now);
        holding.last_asked = now;
        let begins = u32::from(charge.class == Class::Begin);
        holding.begins_asked.add(f64::from(begins), now);
        if holding.held.tokens > 0 && holding.held.begins >= begins {
            holding.held.tokens -= 1;
            holding.held.begins -= begins;
            holding.counts.used += 1;
            holding.counts.begun += u64::from(begins);
            return Ok(());
        }
        let Some(delay) = holding.confirmed(charge.class, now) else {
            return Err(Shortage::Unasked);
        };
        match charge.class {
            Class::Begin => holding.counts.refused += 1,
            Class::Continue => holding.counts.denied += 1,
        }
        let spread = members::weight(&charge.customer, request) as f64 / u64::MAX as f64;
        Err(Shortage::Confirmed(Refusal::until(delay.mul_f64(0.5 + spread))))
    }

    /// Returns what a request spent that was not sent, or that its endpoint did not run.
    pub fn put_back(&mut self, charge: &Charge, now: Instant) {
        let holding = self.holding(&charge.customer, now);
        holding.expire(now);
        let begins = u32::from(charge.class == Class::Begin);
        holding.counts.used = holding.counts.used.saturating_sub(1);
        holding.counts.begun = holding.counts.begun.saturating_sub(u64::from(begins));
        if now < holding.valid_until {
            holding.held.tokens += 1;
            holding.held.begins += begins;
        }
    }

    /// Records that a request waits for an answer of the grantor, or no longer does.
    pub fn set_waiting(&mut self, charge: &Charge, waits: bool, now: Instant) {
        let waiting = &mut self.holding(&charge.customer, now).waiting;
        let begins = u32::from(charge.class == Class::Begin);
        match waits {
            true => {
                waiting.tokens += 1;
                waiting.begins += begins;
            }
            false => {
                waiting.tokens = waiting.tokens.saturating_sub(1);
                waiting.begins = waiting.begins.saturating_sub(begins);
            }
        }
    }

    /// Gives back what is not wanted any more, and returns what to report of the customers that
    /// `selects` accepts.
    pub fn report(&mut self, selects: impl Fn(&str) -> bool, now: Instant) -> Vec<Demand> {
        self.holdings
            .retain(|_, holding| now.saturating_duration_since(holding.last_asked) < FORGET_AFTER);
        let selected = self.holdings.iter_mut().filter(|(customer, _)| selects(customer));
        let demands = selected.filter_map(|(customer, holding)| {
            holding.expire(now);
            let wanted = holding.wanted(now).max(holding.waiting);
            let had = holding.held;
            holding.held = holding.held.min(wanted);
            let changed = holding.counts != holding.reported || had != Amount::default();
            holding.reported = holding.counts;
            (changed || wanted != Amount::default()).then(|| Demand {
                customer: customer.clone(),
                counts: holding.counts,
                held: holding.held,
                wanted,
                needed: holding.waiting,
            })
        });
        demands.collect()
    }

    /// Takes over the answer of a grantor to a report that was made at `reported_at`.
    pub fn restock(
        &mut self,
        demands: &[Demand],
        supplies: &[Supply],
        reported_at: Instant,
        now: Instant,
    ) {
        for (demand, supply) in demands.iter().zip(supplies) {
            let Some(holding) = self.holdings.get_mut(&demand.customer) else {
                continue;
            };
            if supply.customer != demand.customer {
                continue;
            }
            let spent = |now: u64, then: u64| now.saturating_sub(then).min(u64::from(u32::MAX));
            let spent = Amount {
                tokens: spent(holding.counts.used, demand.counts.used) as u32,
                begins: spent(holding.counts.begun, demand.counts.begun) as u32,
            };
            holding.held = supply.held.saturating_sub(spent);
            holding.valid_until = reported_at + STOCK_TTL;
            let short = |wanted: u32, held: u32, delay| (held < wanted).then_some((now, delay));
            holding.no_tokens = short(demand.wanted.tokens, supply.held.tokens, supply.token_delay);
            holding.no_begins = short(demand.wanted.begins, supply.held.begins, supply.begin_delay);
        }
    }

    /// Returns the number of tokens held for a customer.
    pub fn held(&self, customer: &str) -> u32 {
        self.holdings.get(customer).map_or(0, |holding| holding.held.tokens)
    }
}
