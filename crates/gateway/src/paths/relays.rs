//! The daemons that connect to endpoints for this one.

use indexmap::IndexMap;
use peer::gateway::Member;
use sched::id::{DcId, VmId};
use std::time::{Duration, Instant};

/// Time for which a daemon that did not connect is asked last.
const FAILED_TTL: Duration = Duration::from_secs(1);
/// Time for which a daemon that connected is asked first.
const CONNECTED_TTL: Duration = Duration::from_secs(10);

/// What is known of other daemons as relays.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    connected: IndexMap<VmId, Instant>,
    failed: IndexMap<VmId, Instant>,
}

impl Relays {
    /// Returns up to `count` daemons in the order in which they are asked: those that connected lately,
    /// then those in this daemon's data centre, then the others, and last those that failed lately.
    ///
    /// Daemons of equal rank come in random order, so that none of them carries everything.
    pub fn choose<'a>(
        &self,
        (own_vm, own_dc): (&VmId, &DcId),
        members: impl Iterator<Item = &'a Member>,
        count: usize,
        now: Instant,
    ) -> Vec<Member> {
        let is_recent =
            |at: Option<&Instant>, ttl| at.is_some_and(|at| now.duration_since(*at) < ttl);
        let others = members.filter(|member| member.vm != *own_vm);
        let mut ranked: Vec<_> = others
            .map(|member| {
                let has_failed = is_recent(self.failed.get(&member.vm), FAILED_TTL);
                let connected = is_recent(self.connected.get(&member.vm), CONNECTED_TTL);
                ((has_failed, !connected, member.dc != *own_dc, fastrand::u32(..)), member)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().take(count).map(|(_, member)| member.clone()).collect()
    }

    /// Records that a daemon connected to an endpoint.
    pub fn on_connected(&mut self, vm: &str, now: Instant) {
        self.failed.swap_remove(vm);
        self.connected.insert(vm.into(), now);
    }

    /// Records that a daemon did not connect, or that a connection through it went silent.
    pub fn on_failed(&mut self, vm: &str, now: Instant) {
        self.connected.swap_remove(vm);
        self.failed.insert(vm.into(), now);
    }

    /// Drops what is out of date.
    pub fn sweep(&mut self, now: Instant) {
        self.connected.retain(|_, at| now.duration_since(*at) < CONNECTED_TTL);
        self.failed.retain(|_, at| now.duration_since(*at) < FAILED_TTL);
    }
}
