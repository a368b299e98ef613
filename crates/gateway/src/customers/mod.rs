//! Customers: who sent a request, and what their quotas leave.
//!
//! A request is identified once, when it arrives, and checked again before each send to an endpoint,
//! because its key may have been taken away while it waited. See `docs/design/customers.md`.

pub mod quotas;

pub use quotas::Quotas;

use crate::answer::Reason;
use http::HeaderMap;
use platform::header::{self, Sender};
use platform::key;
use sched::customer::{Customer, KeyDigest};
use sched::route::{Route, Table};

/// Who sent a request, according to its API key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Identity {
    key: Option<KeyDigest>,
    /// The customer, if the key names one.
    pub customer: Option<Customer>,
    /// Whether the configuration has customers.
    is_checked: bool,
}

impl Identity {
    /// Identifies the sender of a request by its headers; returns `None` if its key is unknown.
    pub fn find(table: &Table, route: &Route, headers: &HeaderMap) -> Option<Self> {
        if !table.customers.is_enforced() {
            return Some(Self::default());
        }
        let key = header::api_key(headers).map(key::digest);
        let customer = key.as_ref().and_then(|key| table.customers.find(key)).cloned();
        let identity = Self { key, customer, is_checked: true };
        (identity.customer.is_some() || route.public).then_some(identity)
    }

    /// Returns whether the sender may still send the request under a newer configuration.
    pub fn holds_in(&self, table: &Table, is_public: bool) -> bool {
        if !table.customers.is_enforced() || is_public {
            return true;
        }
        let found = self.key.as_ref().and_then(|key| table.customers.find(key));
        match (&self.customer, found) {
            (Some(customer), Some(found)) => customer.name == found.name,
            _ => false,
        }
    }

    /// Returns what endpoints are told about the sender.
    pub fn sender(&self) -> Sender<'_> {
        match &self.customer {
            Some(customer) => Sender::Customer(&customer.name),
            None if self.is_checked => Sender::Anyone,
            None => Sender::Unchecked,
        }
    }

    /// Returns the name of the customer for log lines; empty if there is none.
    pub fn name(&self) -> &str {
        self.customer.as_ref().map_or("", |customer| &customer.name)
    }

    /// Returns the priority of the request at endpoints, or `None` if there are no customers.
    pub fn priority(&self, route: &Route) -> Option<u8> {
        self.customer.as_ref().map(|customer| customer.priority.unwrap_or(route.priority))
    }

    /// Counts a request of the customer by its outcome.
    pub fn count(&self, table: &Table, outcome: &'static str) {
        if let Some(customer) = &self.customer {
            let label = table.customers.label(&customer.name).to_owned();
            let labels = [("customer", label), ("outcome", outcome.to_owned())];
            metrics::counter!("customer_requests_total", &labels).increment(1);
        }
    }
}

/// Returns the reason for a local reply to a request whose key is unknown; a newer configuration may
/// know it if the view `is_current` no longer.
pub fn unknown_key(is_current: bool) -> Reason {
    match is_current {
        true => Reason::UnknownKey,
        false => Reason::KeyUnconfirmed,
    }
}
