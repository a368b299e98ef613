//! Injector of all faults.

use compact_str::CompactString;
use indexmap::IndexMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults of the key-value service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kv {
    /// Every call is answered with an error, without effect.
    pub down: bool,
    /// Time added to each call.
    pub delay: Duration,
    /// Of each this many writes one takes effect and is answered with an error; 0 for none.
    pub lose_response_every: u32,
    /// Stale readings are from before all keys, and the changes since then are not kept any more.
    pub stale_reads: bool,
}

/// Faults of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Factor by which it runs slower than it should, without telling.
    pub slowdown: f64,
    /// It takes requests and never answers them.
    pub hang: bool,
    /// It refuses every request.
    pub refuse: bool,
    /// Of each this many streams one breaks off in the middle; 0 for none.
    pub break_stream_every: u32,
    /// Of each this many requests one runs and is answered with an error; 0 for none.
    pub lose_response_every: u32,
    /// Time added to each request.
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

/// All faults.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Faults of the key-value service.
    pub kv: Kv,
    /// Faults by endpoint.
    pub endpoints: IndexMap<CompactString, Endpoint>,
}

/// Faults as they are shared between the stand-ins and a test.
#[derive(Clone, Debug, Default)]
pub struct Injector(Arc<Mutex<State>>);

impl Injector {
    /// Changes the faults.
    pub fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
    }

    /// Changes one endpoint's faults.
    pub fn update_endpoint(&self, name: &str, change: impl FnOnce(&mut Endpoint)) {
        change(self.lock().endpoints.entry(name.into()).or_default());
    }

    /// Faults of the key-value service.
    pub fn kv(&self) -> Kv {
        self.lock().kv.clone()
    }

    /// Faults of an endpoint.
    pub fn endpoint(&self, name: &str) -> Endpoint {
        self.lock().endpoints.get(name).cloned().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
