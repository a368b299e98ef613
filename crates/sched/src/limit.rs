//! Rate limits that endpoints name.
//!
//! An endpoint under pressure states in its responses how many requests per second it accepts from
//! all daemons together. The statement holds until a response of the same process says otherwise.
//! Each daemon sees only its own responses and sends only its own requests, so both the statement
//! and its use have to be shared:
//!
//! * The coordinator of an endpoint (see [`crate::coordinator`]) grants the permits, with one token
//!   bucket per endpoint. Daemons attach what they observed to their next booking, and each
//!   [`Permit`] tells the daemon what the coordinator knows. The freshest observation wins.
//! * A coordinator reports the permits that it granted to the daemons that would stand in for it,
//!   and they to it, so their buckets agree if several of them book at the same time.
//! * A coordinator that cannot tell whether another one is active spends only the part of the limit
//!   that belongs to the daemons that ask it, see [`Standing`]. A daemon that reaches no coordinator
//!   is the only one that asks itself. The parts of these daemons add up to at most the limit,
//!   without a minimum for each. They come on top of what a confirmed coordinator spends, until
//!   their reports reach it.
//!
//! A bucket starts empty: what earlier coordinators granted is not known.

use crate::fleet::Registration;
use crate::id::EndpointId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Requests per second.
pub type Rate = f64;

/// Maximum unused part of a limit that is saved for a burst, in seconds of the limit.
const BURST_S: f64 = 0.5;
/// Maximum debt of a bucket from the permits of other coordinators, in seconds of the limit.
const MAX_DEBT_S: f64 = 4.0;
/// Rate of trial requests to an endpoint whose limit is lower, in requests per second. Only a
/// response can end a limit.
const TRIAL_RATE: Rate = 0.25;
/// Time that a request occupies a slot of a full engine.
pub const SLOT_TIME: Duration = Duration::from_millis(300);

/// What an endpoint said about its limit, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Limit for all daemons together; `None` if the endpoint has none.
    pub rate: Option<Rate>,
    /// Time since the response that said so.
    pub age: Duration,
}

/// What a daemon knows of an endpoint's limit, for another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Process of the endpoint that the report is about.
    pub incarnation: u64,
    /// The endpoint's last statement.
    pub notice: Notice,
    /// Permits that the sender granted since its previous report to this receiver.
    pub granted: u32,
}

/// Permission to send one request to an endpoint. Only [`Limits::take`] grants one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    notice: Option<Notice>,
    delay: Duration,
}

impl Permit {
    /// Returns the time to wait before the request may be sent.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns the endpoint's last statement as known to the daemon that granted the permit.
    pub fn notice(&self) -> Option<Notice> {
        self.notice
    }
}

/// What a daemon that grants permits knows about the other daemons that might.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether this daemon is the coordinator according to its view of the members.
    pub first: bool,
    /// Whether a daemon that would stand in for it has confirmed its reports recently, or there is
    /// none.
    pub confirmed: bool,
    /// Number of daemons that asked it for endpoints recently.
    pub askers: usize,
    /// Number of daemons that serve clients.
    pub members: usize,
}

impl Standing {
    /// Returns the part of a limit that the daemon may spend, from 0 to 1.
    pub fn share(&self) -> f64 {
        if self.first && self.confirmed {
            return 1.0;
        }
        (self.askers.max(1) as f64 / self.members.max(1) as f64).min(1.0)
    }
}

/// Why a request is sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// First try of the request.
    First,
    /// The request is sent again, because an endpoint refused it, failed or was late.
    Retry,
    /// The request continues a stream after its last event.
    Resume,
}

/// Requests sent to one endpoint since the last report, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// First tries.
    pub first: u32,
    /// Retries.
    pub retry: u32,
    /// Resumed streams.
    pub resume: u32,
}

/// Limit of one process of an endpoint, and its use.
#[derive(Clone, Debug)]
struct Entry {
    incarnation: u64,
    rate: Option<Rate>,
    observed_at: Instant,
    /// Part of the limit that this daemon spends.
    share: f64,
    /// Available requests as of `updated`; negative if permits with a delay were granted.
    tokens: f64,
    updated: Instant,
    /// Permits granted since the last report.
    granted: u32,
    /// Process of the coordinator that knows this statement.
    told: Option<u64>,
    sent: Sent,
}

impl Entry {
    fn new(incarnation: u64, rate: Option<Rate>, observed_at: Instant, now: Instant) -> Self {
        Self {
            incarnation,
            rate,
            observed_at,
            share: 0.0,
            tokens: 0.0,
            updated: now,
            granted: 0,
            told: None,
            sent: Sent::default(),
        }
    }

    fn notice(&self, now: Instant) -> Notice {
        Notice { rate: self.rate, age: now.saturating_duration_since(self.observed_at) }
    }

    fn report(&self, endpoint: &EndpointId, granted: u32, now: Instant) -> Report {
        let (endpoint, incarnation) = (endpoint.clone(), self.incarnation);
        Report { endpoint, incarnation, notice: self.notice(now), granted }
    }

    /// Returns the rate that this daemon spends, or `None` without a limit.
    fn spendable(&self) -> Option<Rate> {
        self.rate.map(|rate| rate.max(TRIAL_RATE) * self.share)
    }

    /// Returns the tokens available at `now` if the bucket fills at `rate`.
    fn tokens(&self, rate: Rate, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        (self.tokens + elapsed.as_secs_f64() * rate).min(burst(rate))
    }

    /// Returns the time until the next permit is valid if the bucket fills at `rate`.
    fn delay(&self, rate: Rate, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens(rate, now)).max(0.0);
        match missing > 0.0 {
            true => Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX),
            false => Duration::ZERO,
        }
    }

    /// Adds `tokens`, which may be negative, to the bucket.
    fn add(&mut self, tokens: f64, now: Instant) {
        if let Some(rate) = self.spendable() {
            let floor = -rate * MAX_DEBT_S;
            self.tokens = (self.tokens(rate, now) + tokens).clamp(floor, burst(rate));
            self.updated = now;
        }
    }
}

/// Returns the maximum number of tokens of a bucket.
fn burst(rate: Rate) -> f64 {
    (rate * BURST_S).max(1.0)
}

/// Limits of endpoints, and the permits granted for them by this daemon.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    entries: IndexMap<EndpointId, Entry>,
}

impl Limits {
    /// Records the limit in a response of an endpoint; returns whether it changed.
    pub fn observe(&mut self, endpoint: &Registration, rate: Option<Rate>, now: Instant) -> bool {
        self.record(&endpoint.id, endpoint.incarnation, Notice { rate, age: Duration::ZERO }, now)
    }

    /// Records what a permit says about the limit of its endpoint.
    pub fn learn(&mut self, endpoint: &Registration, permit: &Permit, now: Instant) {
        if let Some(notice) = permit.notice {
            self.record(&endpoint.id, endpoint.incarnation, notice, now);
        }
    }

    /// Records the reports of another daemon, including the permits that it granted.
    pub fn merge(&mut self, reports: &[Report], now: Instant) {
        for report in reports {
            self.record(&report.endpoint, report.incarnation, report.notice, now);
            let entry = self.entries.get_mut(&report.endpoint);
            if let Some(entry) = entry.filter(|entry| entry.incarnation == report.incarnation) {
                entry.add(-f64::from(report.granted), now);
            }
        }
    }

    /// Records a statement unless a fresher one is known; returns whether the limit changed.
    fn record(&mut self, id: &EndpointId, incarnation: u64, notice: Notice, now: Instant) -> bool {
        let observed_at = now.checked_sub(notice.age).unwrap_or(now);
        let Some(entry) = self.entries.get_mut(id).filter(|e| e.incarnation >= incarnation) else {
            // Most endpoints never name a limit.
            if notice.rate.is_some() || self.entries.contains_key(id) {
                let entry = Entry::new(incarnation, notice.rate, observed_at, now);
                self.entries.insert(id.clone(), entry);
            }
            return notice.rate.is_some();
        };
        if entry.incarnation > incarnation || entry.observed_at > observed_at {
            return false;
        }
        entry.observed_at = observed_at;
        if entry.rate == notice.rate {
            return false;
        }
        if entry.rate.is_none() {
            (entry.tokens, entry.updated) = (0.0, now);
        }
        (entry.rate, entry.told) = (notice.rate, None);
        true
    }

    fn entry(&self, endpoint: &Registration) -> Option<&Entry> {
        self.entries
            .get(&endpoint.id)
            .filter(|entry| entry.incarnation == endpoint.incarnation && entry.rate.is_some())
    }

    /// Returns whether no endpoint has named a limit.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether an endpoint has a limit.
    pub fn is_limited(&self, endpoint: &Registration) -> bool {
        self.entry(endpoint).is_some()
    }

    /// Sets the part of the limits of `endpoints` that this daemon spends from now on.
    pub fn set_share<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Registration>,
        share: f64,
        now: Instant,
    ) {
        for endpoint in endpoints {
            if let Some(entry) = self.entries.get_mut(&endpoint.id)
                && entry.share != share
            {
                entry.add(0.0, now);
                (entry.share, entry.updated) = (share, now);
            }
        }
    }

    /// Returns the time until a permit for the endpoint would be valid.
    pub fn delay(&self, endpoint: &Registration, now: Instant) -> Duration {
        let entry = self.entry(endpoint);
        let delay = entry.and_then(|entry| Some(entry.delay(entry.spendable()?, now)));
        delay.unwrap_or(Duration::ZERO)
    }

    /// Grants a permit for one request, unless it would be valid only after `max_delay`.
    pub fn take(
        &mut self,
        endpoint: &Registration,
        max_delay: Duration,
        now: Instant,
    ) -> Option<Permit> {
        let entry = self.entries.get_mut(&endpoint.id);
        let Some(entry) = entry.filter(|entry| entry.incarnation == endpoint.incarnation) else {
            return Some(Permit { notice: None, delay: Duration::ZERO });
        };
        let notice = Some(entry.notice(now));
        let Some(rate) = entry.spendable() else {
            return Some(Permit { notice, delay: Duration::ZERO });
        };
        let delay = entry.delay(rate, now);
        if delay > max_delay {
            return None;
        }
        entry.add(-1.0, now);
        entry.granted += 1;
        Some(Permit { notice, delay })
    }

    /// Takes back a permit that was not used.
    pub fn refund(&mut self, endpoint: &str, now: Instant) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.add(1.0, now);
            entry.granted = entry.granted.saturating_sub(1);
        }
    }

    /// Returns the load that the limit puts on an endpoint: the used fraction of the burst, or 1 and
    /// the delay of the next request in the time that a request occupies a slot.
    pub fn load(&self, endpoint: &Registration, now: Instant) -> f64 {
        let entry = self.entry(endpoint);
        let load = entry.and_then(|entry| {
            let rate = entry.spendable()?;
            Some(match entry.delay(rate, now) {
                Duration::ZERO => 1.0 - entry.tokens(rate, now) / burst(rate),
                delay => 1.0 + delay.div_duration_f64(SLOT_TIME),
            })
        });
        load.unwrap_or(0.0)
    }

    /// Returns the number of requests that an endpoint can run at the same time within its limit.
    pub fn slots(&self, endpoint: &Registration) -> f64 {
        let slots = f64::from(endpoint.slots.max(1));
        let rate = self.entry(endpoint).and_then(Entry::spendable);
        rate.map_or(slots, |rate| slots.min(rate * SLOT_TIME.as_secs_f64()))
    }

    /// Returns what the coordinator process `coordinator` of these endpoints has not been told yet.
    pub fn untold<'a>(
        &self,
        registered: impl Iterator<Item = &'a Registration>,
        coordinator: u64,
        now: Instant,
    ) -> Vec<Report> {
        let reports = registered.filter_map(|found| {
            let entry = self.entries.get(&found.id)?;
            let untold = entry.incarnation == found.incarnation && entry.told != Some(coordinator);
            untold.then(|| entry.report(&found.id, 0, now))
        });
        reports.collect()
    }

    /// Records that the coordinator process `coordinator` has received these reports.
    pub fn record_told(&mut self, reports: &[Report], coordinator: u64) {
        for report in reports {
            let entry = self.entries.get_mut(&report.endpoint);
            if let Some(entry) = entry.filter(|entry| entry.rate == report.notice.rate) {
                entry.told = Some(coordinator);
            }
        }
    }

    /// Returns the permits granted since the last call and the limits in force, for the daemons that
    /// may grant permits for the same endpoints.
    pub fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| entry.rate.is_some());
        let reports = entries.map(|(id, entry)| {
            let granted = std::mem::take(&mut entry.granted);
            entry.report(id, granted, now)
        });
        reports.collect()
    }

    /// Forgets the endpoints that are not in `registered`.
    pub fn retain(&mut self, registered: impl Fn(&str) -> bool) {
        self.entries.retain(|id, _| registered(id));
    }

    /// Counts a request that is sent to an endpoint, if the endpoint has a limit.
    pub fn count(&mut self, endpoint: &str, purpose: Purpose) {
        let limited = self.entries.get_mut(endpoint).filter(|entry| entry.rate.is_some());
        if let Some(entry) = limited {
            match purpose {
                Purpose::First => entry.sent.first += 1,
                Purpose::Retry => entry.sent.retry += 1,
                Purpose::Resume => entry.sent.resume += 1,
            }
        }
    }

    /// Returns the requests sent to each limited endpoint since the last call, with its limit.
    pub fn take_sent(&mut self) -> Vec<(EndpointId, Rate, Sent)> {
        let entries = self.entries.iter_mut();
        let sent = entries.filter_map(|(id, entry)| {
            let sent = std::mem::take(&mut entry.sent);
            let rate = entry.rate.filter(|_| sent != Sent::default())?;
            Some((id.clone(), rate, sent))
        });
        sent.collect()
    }
}
