//! Records which software versions began streams, and finds the records of other daemons.
//!
//! The rules are those of [`sched::origin`] and [`sched::versions`]. While several versions of a
//! service serve, its records also go to a writer, the one that batches draws, which appends them to
//! keys in the key-value service, one call for all of them in an interval.

use crate::budgets::Budgets;
use crate::members;
use crate::owner::unix_ms;
use crate::settings::Settings;
use crate::view::View;
use compact_str::format_compact;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indexmap::IndexMap;
use peer::gateway::{Command, Member, Response};
use peer::wire::{Reply, Request};
use platform::kv::{Client, Entry, Error, LeaseId};
use sched::id::{RequestId, SoftwareVersion};
use sched::origin::{self, COPIES};
use sched::versions::Register;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Timeout of one request to a holder of records.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of reading the durable records.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of members beyond [`COPIES`] that are asked, because members may have joined since the
/// record was made.
const EXTRA_HOLDERS: usize = 1;
/// Interval at which new records are written to the key-value service.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time to live of the leases that the durable records are bound to.
const LEASE_TTL: Duration = Duration::from_secs(120);
/// Time after which new records are bound to another lease. Records thus live longer than any window
/// within which streams are resumed.
const LEASE_USE: Duration = Duration::from_secs(50);
/// Maximum number of records that wait to be written; without a durable record, a stream is not
/// resumed after the loss of all daemons.
const MAX_UNWRITTEN: usize = 20_000;

/// Versions that began streams, by the client's attempt that brought the first event.
type Records = IndexMap<RequestId, SoftwareVersion>;

/// What the key-value service holds about streams, as last read.
#[derive(Default)]
struct Durable {
    register: Register,
    /// Time at which the read of the register began.
    register_read_at: Option<Instant>,
    records: Records,
    /// Time at which the read of the records began.
    records_read_at: Option<Instant>,
}

/// Records of this daemon, and access to those of the others.
pub struct Origins {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    kv: Client,
    held: Mutex<origin::Origins>,
    /// Records to be written to the key-value service.
    unwritten: Mutex<Records>,
    /// Held during a read, so that requests that arrive meanwhile share the next one.
    durable: tokio::sync::Mutex<Durable>,
}

impl Origins {
    /// Creates the state, without records.
    pub fn new(
        settings: Arc<Settings>,
        view: Arc<View>,
        budgets: Arc<Budgets>,
        kv: Client,
    ) -> Self {
        let (held, unwritten, durable) = Default::default();
        Self { settings, view, budgets, kv, held, unwritten, durable }
    }

    fn held(&self) -> MutexGuard<'_, origin::Origins> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unwritten(&self) -> MutexGuard<'_, Records> {
        self.unwritten.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the first `count` holders of the record of a stream.
    fn holders(&self, request: &str, count: usize) -> Vec<Member> {
        self.view.with_members(|live| {
            let holders = origin::holders(request, live.keys(), count);
            holders.into_iter().filter_map(|vm| live.get(vm).cloned()).collect()
        })
    }

    /// Records at this daemon and the holders which version sent the first event of a stream, and in
    /// the key-value service if several versions of `service` may be resumed within `window`.
    ///
    /// The client's attempt that brings this event is `request`. A record that does not arrive is not
    /// repeated.
    pub fn record(
        &self,
        request: &RequestId,
        version: &SoftwareVersion,
        service: &str,
        window: Duration,
    ) {
        self.record_locally(request.clone(), version.clone(), Instant::now());
        let mut receivers: IndexMap<_, (Member, bool)> = IndexMap::new();
        for holder in self.holders(request, COPIES) {
            receivers.insert(holder.vm.clone(), (holder, false));
        }
        if self.view.is_mixed(service, since_ms(window))
            && let Some(writer) = self.writer(request)
        {
            receivers.insert(writer.vm.clone(), (writer, true));
        }
        for (vm, (member, durable)) in receivers {
            match vm == self.settings.vm {
                true if durable => self.record_durably(request.clone(), version.clone()),
                true => {}
                false => {
                    let (request, version) = (request.clone(), version.clone());
                    let command = Command::Began { request, version, durable };
                    self.budgets.send_one_way(member.addr, command);
                }
            }
        }
    }

    fn writer(&self, request: &str) -> Option<Member> {
        let now = Instant::now();
        self.view.with_members(|live| {
            members::writer(request, live, &self.budgets.suspects, now).cloned()
        })
    }

    /// Holds the record of a stream.
    pub fn record_locally(&self, request: RequestId, version: SoftwareVersion, now: Instant) {
        if !self.held().record(request, version, now) {
            metrics::counter!("stream_records_dropped_total").increment(1);
        }
    }

    /// Adds a record to those that are written to the key-value service next.
    pub fn record_durably(&self, request: RequestId, version: SoftwareVersion) {
        let mut unwritten = self.unwritten();
        match unwritten.len() < MAX_UNWRITTEN {
            true => drop(unwritten.insert(request, version)),
            false => metrics::counter!("stream_records_dropped_total").increment(1),
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

    /// Returns the version that began a stream of `service` within `window`, according to the
    /// key-value service, or `None` if several may have.
    ///
    /// The service is read after the call began, so the register lists every version that a daemon
    /// may have used before.
    pub async fn find_durably(
        &self,
        request: &RequestId,
        service: &str,
        window: Duration,
    ) -> Option<SoftwareVersion> {
        let asked_at = Instant::now();
        let found = timeout(READ_TIMEOUT, self.read_origin(request, service, window, asked_at));
        let found = found.await.unwrap_or_else(|_| Err(Error::Unknown("timed out".to_owned())));
        found.unwrap_or_else(|error| {
            log::info!(
                target: "resume", request = request.as_str();
                "failed to read which versions began streams: {error}"
            );
            None
        })
    }

    async fn read_origin(
        &self,
        request: &RequestId,
        service: &str,
        window: Duration,
        asked_at: Instant,
    ) -> Result<Option<SoftwareVersion>, Error> {
        let mut durable = self.durable.lock().await;
        // A record never changes, so one that was read earlier is as good as a new one.
        if let Some(version) = durable.records.get(request) {
            return Ok(Some(version.clone()));
        }
        if durable.register_read_at.is_none_or(|read_at| read_at < asked_at) {
            let read_at = Instant::now();
            let found = self.kv.get(members::VERSIONS_KEY).await?;
            let register = found.as_ref().and_then(members::decode_versions);
            durable.register = register.unwrap_or_default().0;
            durable.register_read_at = Some(read_at);
        }
        let since_ms = since_ms(window);
        if let Some(version) = durable.register.only_version(service, since_ms) {
            return Ok(Some(version.clone()));
        }
        if !durable.register.is_mixed(service, since_ms) {
            return Ok(None);
        }
        if durable.records_read_at.is_none_or(|read_at| read_at < asked_at) {
            let read_at = Instant::now();
            let listing = self.kv.list(members::ORIGINS, "").await?;
            durable.records = listing.entries.iter().filter_map(decode_records).flatten().collect();
            durable.records_read_at = Some(read_at);
        }
        Ok(durable.records.get(request).cloned())
    }

    /// Writes the records that this daemon got as their writer.
    pub async fn run_writer(self: Arc<Self>) {
        let mut lease: Option<(LeaseId, Instant)> = None;
        for number in 0_u64.. {
            sleep(WRITE_INTERVAL).await;
            let records = std::mem::take(&mut *self.unwritten());
            if records.is_empty() {
                continue;
            }
            if let Err(error) = self.write(&records, number, &mut lease).await {
                log::info!(
                    target: "resume", count = records.len();
                    "failed to record which versions began streams, will retry: {error}"
                );
                lease = None;
                for (request, version) in records {
                    self.record_durably(request, version);
                }
            }
        }
    }

    async fn write(
        &self,
        records: &Records,
        number: u64,
        lease: &mut Option<(LeaseId, Instant)>,
    ) -> Result<(), Error> {
        let granted = lease.filter(|(_, granted_at)| granted_at.elapsed() < LEASE_USE);
        let id = match granted {
            Some((id, _)) => id,
            None => {
                let granted_at = Instant::now();
                let id = self.kv.grant(LEASE_TTL).await?;
                *lease = Some((id, granted_at));
                id
            }
        };
        let (vm, process) = (&self.settings.vm, self.budgets.incarnation);
        let key = format_compact!("{}{vm}/{process:x}/{number}", members::ORIGINS);
        let value =
            serde_json::to_vec(records).map_err(|error| Error::Malformed(error.to_string()))?;
        self.kv.put(&key, &value, Some(id)).await
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
        // A read in progress replaces what it holds.
        if let Ok(mut durable) = self.durable.try_lock()
            && durable.records_read_at.is_some_and(|at| now.duration_since(at) > LEASE_TTL)
        {
            *durable = Durable::default();
        }
    }
}

fn decode_records(entry: &Entry) -> Option<Records> {
    let records = serde_json::from_slice(&entry.value);
    records
        .inspect_err(|error| {
            log::warn!(
                target: "resume", key = entry.key.as_str();
                "ignoring records of streams that cannot be decoded: {error}"
            );
        })
        .ok()
}

/// Returns the beginning of a window that ends now, in milliseconds since the Unix epoch.
fn since_ms(window: Duration) -> u64 {
    unix_ms().saturating_sub(window.as_millis() as u64)
}
