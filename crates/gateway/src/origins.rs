//! Records which software versions began streams, and finds the records of other daemons.
//!
//! The rules are those of [`sched::origin`].

use crate::budgets::Budgets;
use crate::settings::Settings;
use crate::view::View;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use peer::gateway::{Command, Member, Response};
use peer::wire::{Reply, Request};
use sched::id::{RequestId, SoftwareVersion};
use sched::origin::{self, COPIES};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of one request to a holder of records.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of members beyond [`COPIES`] that are asked, because members may have joined since the
/// record was made.
const EXTRA_HOLDERS: usize = 1;

/// Records of this daemon, and access to those of the others.
pub struct Origins {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    held: Mutex<origin::Origins>,
}

impl Origins {
    /// Creates the state, without records.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, budgets: Arc<Budgets>) -> Self {
        Self { settings, view, budgets, held: Mutex::default() }
    }

    fn held(&self) -> MutexGuard<'_, origin::Origins> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the first `count` holders of the record of a stream.
    fn holders(&self, request: &str, count: usize) -> Vec<Member> {
        self.view.with_members(|live| {
            let holders = origin::holders(request, live.keys(), count);
            holders.into_iter().filter_map(|vm| live.get(vm).cloned()).collect()
        })
    }

    /// Records at this daemon and the holders which version sent the first event of a stream.
    ///
    /// The client's attempt that brings this event is `request`. A record that does not arrive is not
    /// repeated: without one, the stream is not resumed.
    pub fn record(&self, request: &RequestId, version: &SoftwareVersion) {
        self.record_locally(request.clone(), version.clone(), Instant::now());
        for holder in self.holders(request, COPIES) {
            if holder.vm != self.settings.vm {
                let (request, version) = (request.clone(), version.clone());
                self.budgets.send_one_way(holder.addr, Command::Began { request, version });
            }
        }
    }

    /// Holds the record of a stream.
    pub fn record_locally(&self, request: RequestId, version: SoftwareVersion, now: Instant) {
        if !self.held().record(request, version, now) {
            metrics::counter!("stream_records_dropped_total").increment(1);
        }
    }

    /// Returns the version that began a stream, according to this daemon's records.
    pub fn find_locally(&self, request: &str) -> Option<SoftwareVersion> {
        self.held().find(request).cloned()
    }

    /// Returns the version that began a stream, or `None` if no holder that can be reached knows it.
    pub async fn find(&self, request: &RequestId) -> Option<SoftwareVersion> {
        if let Some(version) = self.find_locally(request) {
            return Some(version);
        }
        let holders = self.holders(request, COPIES + EXTRA_HOLDERS);
        let others = holders.into_iter().filter(|holder| holder.vm != self.settings.vm);
        let mut replies: FuturesUnordered<_> =
            others.map(|holder| self.ask(holder, request)).collect();
        while let Some(version) = replies.next().await {
            if version.is_some() {
                return version;
            }
        }
        None
    }

    async fn ask(&self, holder: Member, request: &RequestId) -> Option<SoftwareVersion> {
        let message = Request::Gateway(Box::new(Command::FindOrigin(request.clone())));
        match self.budgets.peers().first_reply(&holder.addr, &message, REQUEST_TIMEOUT).await {
            Some(Reply::Gateway(Response::Origin(version))) => version,
            _ => {
                log::info!(
                    target: "resume", request = request.as_str(), holder = holder.vm.as_str();
                    "a holder of stream records did not answer in time"
                );
                None
            }
        }
    }

    /// Drops old records.
    pub fn sweep(&self, now: Instant) {
        let mut held = self.held();
        held.sweep(now);
        metrics::gauge!("stream_records").set(held.len() as f64);
    }
}
