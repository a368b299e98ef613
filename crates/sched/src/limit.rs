//! Rate limits that endpoints name.
//!
//! An endpoint under pressure states in its responses how many requests per second it accepts from
//! all daemons together. The statement holds until a response of the same process says otherwise.

use crate::fleet::Registration;
use crate::id::EndpointId;
use indexmap::IndexMap;
use std::time::Instant;

/// Requests per second.
pub type Rate = f64;

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

/// Limit of one endpoint as last observed, and this daemon's requests to it.
#[derive(Clone, Debug)]
struct Entry {
    incarnation: u64,
    rate: Option<Rate>,
    sent: Sent,
    observed_at: Instant,
}

/// Limits that this daemon observed, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    entries: IndexMap<EndpointId, Entry>,
}

impl Limits {
    /// Records the limit in a response of an endpoint; returns whether it changed.
    pub fn observe(&mut self, endpoint: &Registration, rate: Option<Rate>, now: Instant) -> bool {
        let incarnation = endpoint.incarnation;
        let known = self.entries.get_mut(&endpoint.id);
        if let Some(entry) = known
            && entry.incarnation == incarnation
        {
            let changed = entry.rate != rate;
            (entry.rate, entry.observed_at) = (rate, now);
            return changed;
        }
        let entry = Entry { incarnation, rate, sent: Sent::default(), observed_at: now };
        self.entries.insert(endpoint.id.clone(), entry);
        rate.is_some()
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
