//! Software versions that began streams.
//!
//! What two versions of an engine's software write does not fit together, so a stream goes on only
//! at the version that sent its first event. Its client names only the attempt that brought this
//! event. No daemon can compute the version from that: which versions serve changes during a
//! release, and daemons learn of it at different times. So the daemon that forwards the first event
//! records the version at a few members ([`holders`]), and a daemon that gets a later attempt asks
//! them. A record can be lost, but never be wrong.
//!
//! The records are lost if all daemons are. Then the stream goes on only if the register of versions
//! (see [`crate::versions`]) shows that no other version can have begun it, or if its beginning was
//! recorded in the key-value service, as it is while several versions serve. Otherwise it is refused.

use crate::id::{RequestId, SoftwareVersion, VmId};
use crate::members;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time for which a record is kept; longer than clients try to resume a stream.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of a route's timeouts within which the attempts of one request follow each other.
const MAX_ATTEMPT_TIMEOUTS: u32 = 3;
/// Margin for the clocks of VMs, which differ.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);
/// Maximum number of records; a stream beyond that cannot be resumed by its client.
const MAX_RECORDS: usize = 50_000;
/// Number of members that hold the record of a stream. A stream resumes while one of them is left: with
/// half of the members lost at once, seven of eight streams do.
pub const COPIES: usize = 3;

/// Returns the time within which clients resume the streams of a route, counted from their first
/// events.
pub fn resume_window(route_timeout: Duration) -> Duration {
    route_timeout.saturating_mul(MAX_ATTEMPT_TIMEOUTS).saturating_add(CLOCK_MARGIN).min(RETENTION)
}

#[derive(Clone, Debug)]
struct Record {
    version: SoftwareVersion,
    recorded_at: Instant,
}

/// Records held by one daemon.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    records: IndexMap<RequestId, Record>,
}

impl Origins {
    /// Records the version that sent the first event of the stream that the client's attempt
    /// `request` began; returns whether there was room.
    pub fn record(&mut self, request: RequestId, version: SoftwareVersion, now: Instant) -> bool {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&request) {
            return false;
        }
        self.records.entry(request).or_insert(Record { version, recorded_at: now });
        true
    }

    /// Returns the version that began a stream, or `None` if there is no record of it.
    pub fn find(&self, request: &str) -> Option<&SoftwareVersion> {
        self.records.get(request).map(|record| &record.version)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records that are older than the retention.
    pub fn sweep(&mut self, now: Instant) {
        self.records.retain(|_, record| now.duration_since(record.recorded_at) < RETENTION);
    }
}

/// Returns the first `count` members in the order in which they hold the record of a stream.
///
/// The order is by rendezvous hash, so a change of the members moves few records.
pub fn holders<'a>(
    request: &str,
    live: impl Iterator<Item = &'a VmId>,
    count: usize,
) -> Vec<&'a VmId> {
    let mut ranked: Vec<(u64, &VmId)> =
        live.map(|vm| (members::weight(&request, vm), vm)).collect();
    let count = count.min(ranked.len());
    if count < ranked.len() && count > 0 {
        ranked.select_nth_unstable_by(count - 1, |left, right| right.cmp(left));
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, vm)| vm).collect()
}
