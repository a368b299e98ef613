//! View of the endpoints, built from the configuration, the list of VMs, this daemon's own calls
//! and the reports of its peers.

use super::Control;
use super::active_call::{Stage, StopCause};
use crate::settings::millis;
use indexmap::IndexMap;
use peer::wire::{EndpointLoad, Report, Request};
use platform::vms::{State, Vm};
use sched::call::Work;
use sched::config::{Change, Config, Endpoint};
use sched::id::{EndpointId, ProgramId};
use sched::place::{Pool, View};
use sched::queue::Policy;
use std::time::{Duration, Instant};

/// Number of report intervals after which a report is outdated.
///
/// A peer's report then no longer counts, and the transmission of an own report is aborted.
const REPORT_TTL_INTERVALS: u32 = 10;
/// Maximum share of this daemon's active calls that one pass moves away from slow endpoints, in
/// percent.
const MOVE_BUDGET_PERCENT: usize = 10;

impl Control {
    /// Applies a configuration snapshot, unless it is not newer than the current configuration.
    pub(super) fn set_config(&mut self, config: Config) {
        if config.version <= self.config.version {
            return;
        }
        self.config = config;
        self.rebuild_pools();
    }

    /// Applies the next configuration change.
    pub(super) fn apply_config_change(&mut self, change: &Change) {
        match self.config.apply(change) {
            Ok(()) => {
                log::info!("applied configuration version {}", self.config.version);
                self.rebuild_pools();
            }
            Err(error) => {
                metrics::counter!("config_faults_total").increment(1);
                log::error!("cannot apply configuration change {}: {error}", change.version);
            }
        }
    }

    /// Records that all configuration changes that existed when the daemon started are applied.
    pub(super) fn mark_config_loaded(&mut self) {
        self.config_loaded = true;
        self.update_ready();
    }

    /// Rebuilds the pools after a change of the configuration or of the list of VMs; endpoints that
    /// stay in their pool keep their load and slowdown.
    fn rebuild_pools(&mut self) {
        let mut pools: IndexMap<_, Pool> = IndexMap::new();
        for (name, endpoint) in &self.config.endpoints {
            let previous = self.pools.get_mut(&endpoint.pool);
            let previous = previous.and_then(|pool| pool.views.swap_remove(name));
            let view = View {
                dc: endpoint.dc.clone(),
                slots: endpoint.slots,
                memory: endpoint.memory,
                open: self.accepts_calls(endpoint),
                ..previous.unwrap_or_default()
            };
            pools.entry(endpoint.pool.clone()).or_default().views.insert(name.clone(), view);
        }
        self.pools = pools;
    }

    /// Returns whether new calls may go to an endpoint: it is not draining, and its VM is live.
    fn accepts_calls(&self, endpoint: &Endpoint) -> bool {
        let listed = self.vms.as_ref().and_then(|vms| vms.get(&endpoint.vm));
        !endpoint.draining && listed == Some(&State::Live)
    }

    /// Applies a new list of VMs.
    pub(super) fn set_vms(&mut self, list: Vec<Vm>) {
        let vms: IndexMap<_, _> = list.into_iter().map(|vm| (vm.name, vm.state)).collect();
        if self.vms.as_ref() == Some(&vms) {
            return;
        }
        self.vms = Some(vms);
        self.rebuild_pools();
    }

    /// Replaces the last report of a peer by a new one.
    pub(super) fn apply_report(&mut self, report: Report, now: Instant) {
        if let Some((previous, _)) = self.reports.swap_remove(&report.vm) {
            self.apply_peer_load(&previous.loads, false);
        }
        self.apply_peer_load(&report.loads, true);
        self.reports.insert(report.vm.clone(), (report, now));
    }

    /// Adds a peer's load to the view of its endpoints, or subtracts it.
    fn apply_peer_load(&mut self, loads: &[EndpointLoad], add: bool) {
        for load in loads {
            let pool = self.config.endpoints.get(&load.endpoint).map(|found| &found.pool);
            let endpoints = pool.and_then(|pool| self.pools.get_mut(pool));
            let Some(view) =
                endpoints.and_then(|endpoints| endpoints.views.get_mut(&load.endpoint))
            else {
                continue;
            };
            if add {
                view.peer_calls += load.calls;
                view.peer_memory += load.memory;
            } else {
                view.peer_calls = view.peer_calls.saturating_sub(load.calls);
                view.peer_memory = view.peer_memory.saturating_sub(load.memory);
            }
        }
    }

    /// Removes the expired reports of silent peers, and the load that they reported.
    pub(super) fn expire_reports(&mut self, now: Instant) {
        let ttl = millis(self.limits().report_interval_ms) * REPORT_TTL_INTERVALS;
        let expired = self.reports.iter().filter(|(_, (_, received_at))| now - *received_at > ttl);
        let expired: Vec<_> = expired.map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            if let Some((report, _)) = self.reports.swap_remove(&vm) {
                self.apply_peer_load(&report.loads, false);
            }
        }
    }

    /// Reports this daemon's load and the slow endpoints that it observes to all peers.
    pub(super) fn send_report(&mut self, now: Instant) {
        let report = Report {
            vm: self.shared.local_member.vm.clone(),
            loads: self.own_loads(),
            slowdowns: self.own_slowdowns(now),
        };
        let table = self.shared.routes.table();
        for member in
            table.members.values().filter(|member| member.vm != self.shared.local_member.vm)
        {
            let (peers, addr) = (self.shared.peers.clone(), member.peer_addr.clone());
            let request = Request::Report(report.clone());
            let timeout = millis(self.limits().report_interval_ms) * REPORT_TTL_INTERVALS;
            metrics::counter!("reports_sent_total").increment(1);
            self.shared.runtime.spawn(async move {
                // A lost report is not retried: the next one replaces it.
                let _ = tokio::time::timeout(timeout, peers.call(&addr, &request)).await;
            });
        }
    }

    /// Returns the load that this daemon's own calls put on each endpoint.
    fn own_loads(&self) -> Vec<EndpointLoad> {
        let views = self.pools.values().flat_map(|pool| &pool.views);
        let in_use = views.filter(|(_, view)| view.own_calls > 0);
        let loads = in_use.map(|(endpoint, view)| EndpointLoad {
            endpoint: endpoint.clone(),
            calls: view.own_calls,
            memory: view.own_memory,
        });
        loads.collect()
    }

    /// Returns the slow endpoints that this daemon observes, with their slowdowns.
    fn own_slowdowns(&self, now: Instant) -> Vec<(EndpointId, f64)> {
        self.slowdown_detectors.values().flat_map(|detector| detector.slow(now)).collect()
    }

    /// Sets each endpoint's slowdown to the largest one that this daemon or a peer observes.
    pub(super) fn update_slowdowns(&mut self, now: Instant) {
        let mut slowdowns: IndexMap<EndpointId, f64> =
            self.own_slowdowns(now).into_iter().collect();
        for (report, _) in self.reports.values() {
            for (endpoint, factor) in &report.slowdowns {
                let known = slowdowns.entry(endpoint.clone()).or_insert(*factor);
                *known = known.max(*factor);
            }
        }
        for pool in self.pools.values_mut() {
            for (endpoint, view) in &mut pool.views {
                view.slowdown = slowdowns.get(endpoint).copied().unwrap_or(1.0);
            }
        }
    }

    /// Cancels model attempts at slow endpoints so that their calls continue elsewhere.
    ///
    /// One pass moves at most [`MOVE_BUDGET_PERCENT`] of the active calls.
    pub(super) fn move_slow_calls(&mut self, now: Instant) {
        if self.shared.settings.policy != Policy::Program {
            return;
        }
        let budget = (self.active_calls.len() * MOVE_BUDGET_PERCENT).div_ceil(100);
        let candidates = self.active_calls.iter().filter(|(_, active)| {
            matches!(active.call.work, Work::Model { .. }) && active.deadline > now
        });
        let candidates = candidates.filter(|(_, active)| match &active.stage {
            Stage::Running(attempt) => self.should_move(&active.pool, attempt, now),
            _ => false,
        });
        let to_move: Vec<ProgramId> = candidates.map(|(id, _)| id.clone()).take(budget).collect();
        for program in to_move {
            metrics::counter!("calls_moved_total").increment(1);
            self.cancel_running(&program, StopCause::Move);
        }
    }

    /// Returns whether an attempt should move: its endpoint is slow, it has run for more than
    /// 200 ms, and another endpoint of the pool has a free slot and is not slow.
    fn should_move(
        &self,
        pool: &sched::id::PoolId,
        attempt: &super::active_call::Attempt,
        now: Instant,
    ) -> bool {
        let Some(endpoints) = self.pools.get(pool) else {
            return false;
        };
        let slowdown = endpoints.views.get(&attempt.endpoint).map_or(1.0, |view| view.slowdown);
        let old_enough =
            now.saturating_duration_since(attempt.sent_at) > Duration::from_millis(200);
        old_enough && slowdown > 1.0 && endpoints.has_healthy_free_slot()
    }
}
