//! Customers, their API keys and their quotas.
//!
//! Keys are known only by their digests, so that a table of customers can be passed between daemons
//! and logged without disclosing them.

use crate::id::CustomerId;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Digest of an API key.
pub type KeyDigest = [u8; 16];

/// Number of customers whose names are used in metrics.
const MAX_LABELS: usize = 32;
/// Name in metrics of all other customers.
const OTHER_LABEL: &str = "other";

/// Maximum number of requests of a customer through all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate in one window.
    pub burst: f64,
}

/// A customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Priority of its requests, instead of that of their routes; 0 is the highest.
    pub priority: Option<u8>,
    /// Its quota; `None` for no limit.
    pub quota: Option<Quota>,
}

/// The customers of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    customers: IndexMap<CustomerId, Customer>,
    /// Customer of each key, by its index in `customers`.
    keys: IndexMap<KeyDigest, u32>,
    /// Customers whose names are used in metrics.
    labels: IndexSet<CustomerId>,
    /// Whether the configuration names customers, even if none of them could be read.
    enforced: bool,
}

// Quotas are finite, so equality is total.
impl Eq for Directory {}

impl Directory {
    /// Creates the directory of customers with the digests of their keys.
    ///
    /// A key that several customers hold belongs to none of them; the returned list names the
    /// customers of each such key. `enforced` tells whether requests need a key.
    pub fn new(
        entries: Vec<(Customer, Vec<KeyDigest>)>,
        enforced: bool,
    ) -> (Self, Vec<[CustomerId; 2]>) {
        let mut directory = Self { enforced, ..Self::default() };
        let mut shared: IndexMap<KeyDigest, [CustomerId; 2]> = IndexMap::new();
        for (customer, keys) in entries {
            let name = customer.name.clone();
            let (index, _) = directory.customers.insert_full(name.clone(), customer);
            for key in keys {
                match directory.keys.insert(key, index as u32) {
                    Some(other) if other as usize != index => {
                        let names = directory.customers.get_index(other as usize);
                        let other = names.map(|(name, _)| name.clone()).unwrap_or_default();
                        shared.entry(key).or_insert([other, name.clone()]);
                    }
                    _ => {}
                }
            }
        }
        let mut ranked: Vec<&Customer> = directory.customers.values().collect();
        let rate = |customer: &Customer| customer.quota.map_or(f64::INFINITY, |quota| quota.rate);
        ranked.sort_by(|left, right| rate(right).total_cmp(&rate(left)));
        directory.labels =
            ranked.into_iter().take(MAX_LABELS).map(|customer| customer.name.clone()).collect();
        directory.keys.retain(|key, _| !shared.contains_key(key));
        (directory, shared.into_values().collect())
    }

    /// Returns whether requests need an API key.
    pub fn is_enforced(&self) -> bool {
        self.enforced
    }

    /// Returns the customer that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Customer> {
        let index = self.keys.get(key)?;
        self.customers.get_index(*index as usize).map(|(_, customer)| customer)
    }

    /// Returns the customer with this name.
    pub fn get(&self, name: &str) -> Option<&Customer> {
        self.customers.get(name)
    }

    /// Returns whether a customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.customers.values().any(|customer| customer.quota.is_some())
    }

    /// Returns the customers.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.customers.values()
    }

    /// Returns the digests of the keys of each customer, in the order of [`Self::iter`].
    pub fn keys(&self) -> Vec<Vec<&KeyDigest>> {
        let mut keys = vec![Vec::new(); self.customers.len()];
        for (key, holder) in &self.keys {
            keys[*holder as usize].push(key);
        }
        keys
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the name of a customer for metrics: its own if it is one of those with the highest
    /// rates, else one for all others, so that the number of series is bounded.
    pub fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or(OTHER_LABEL, |label| label)
    }
}
