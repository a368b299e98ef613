//! Faults that tests inject into the fakes.

use compact_str::CompactString;
use indexmap::IndexMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults of the key-value service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kv {
    /// Whether every call fails with an error and has no effect.
    pub down: bool,
    /// Latency added to each call.
    pub delay: Duration,
    /// Interval, in writes, at which a write takes effect but returns an error; 0 disables the
    /// fault.
    pub lose_response_every: u32,
    /// Whether reads that accept stale data see the store before its first write, and watches from
    /// there fail because the changes are no longer kept.
    pub stale_reads: bool,
    /// Time by which reads that accept stale data are behind.
    pub stale_by: Duration,
    /// Whether watches hear of no change. Those that end without one name the current revision.
    pub deaf: bool,
    /// Number of times that the service has dropped its history, each of which cuts the waiting
    /// watches.
    pub compactions: u32,
}

/// Faults of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Factor by which processing is slowed down without any error.
    pub slowdown: f64,
    /// Whether requests are accepted but get no response.
    pub hang: bool,
    /// Whether every request is rejected with an error and has no effect.
    pub refuse: bool,
    /// Interval, in streams, at which a stream is closed before its end; 0 disables the fault.
    pub break_stream_every: u32,
    /// Interval, in requests, at which a request runs but returns an error; 0 disables the fault.
    pub lose_response_every: u32,
    /// Latency added to each request.
    pub delay: Duration,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            hang: false,
            refuse: false,
            break_stream_every: 0,
            lose_response_every: 0,
            delay: Duration::ZERO,
        }
    }
}

/// Faults of all fakes.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Faults of the key-value service.
    pub kv: Kv,
    /// Faults by endpoint name; endpoints that are not listed are healthy.
    pub endpoints: IndexMap<CompactString, Endpoint>,
}

/// Handle to the faults, shared by the fakes and the test.
#[derive(Clone, Debug, Default)]
pub struct Injector(Arc<Mutex<State>>);

impl Injector {
    /// Updates the faults of all fakes.
    pub fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
    }

    /// Updates the faults of an endpoint.
    pub fn update_endpoint(&self, name: &str, change: impl FnOnce(&mut Endpoint)) {
        change(self.lock().endpoints.entry(name.into()).or_default());
    }

    /// Returns the faults of the key-value service.
    pub fn kv(&self) -> Kv {
        self.lock().kv.clone()
    }

    /// Returns the faults of an endpoint.
    pub fn endpoint(&self, name: &str) -> Endpoint {
        self.lock().endpoints.get(name).cloned().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
