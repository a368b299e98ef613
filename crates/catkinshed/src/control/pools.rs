//! View of the endpoints, from configuration, VM list, own orders and peers' reports.

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

/// Report intervals after which a silent peer's calls no longer count.
const REPORT_LIVES: u32 = 10;
/// Running calls of this daemon that may be moved away from slow endpoints at once, in percent.
const MOVE_BUDGET_PERCENT: usize = 10;

impl Control {
    /// Takes the configuration as of a snapshot; an older one than that in force is ignored.
    pub(super) fn set_config(&mut self, config: Config) {
        if config.version <= self.config.version {
            return;
        }
        self.config = config;
        self.rebuild_pools();
    }

    /// Takes the next configuration change.
    pub(super) fn apply_config_change(&mut self, change: &Change) {
        match self.config.apply(change) {
            Ok(()) => {
                log::info!("configuration version {} is in force", self.config.version);
                self.rebuild_pools();
            }
            Err(fault) => {
                metrics::counter!("config_faults_total").increment(1);
                log::error!("configuration change {} is not applied: {fault}", change.version);
            }
        }
    }

    /// Notes that all changes that existed at the start are in force.
    pub(super) fn mark_config_loaded(&mut self) {
        self.config_loaded = true;
        self.update_ready();
    }

    fn rebuild_pools(&mut self) {
        let mut pools: IndexMap<_, Pool> = IndexMap::new();
        for (name, endpoint) in &self.config.endpoints {
            let former = self.pools.get_mut(&endpoint.pool);
            let former = former.and_then(|pool| pool.views.swap_remove(name));
            let view = View {
                dc: endpoint.dc.clone(),
                slots: endpoint.slots,
                memory: endpoint.memory,
                open: self.is_open(endpoint),
                ..former.unwrap_or_default()
            };
            pools.entry(endpoint.pool.clone()).or_default().views.insert(name.clone(), view);
        }
        self.pools = pools;
    }

    fn is_open(&self, endpoint: &Endpoint) -> bool {
        let listed = self.vms.as_ref().and_then(|vms| vms.get(&endpoint.vm));
        !endpoint.draining && listed == Some(&State::Live)
    }

    /// Takes the list of VMs.
    pub(super) fn set_vms(&mut self, list: Vec<Vm>) {
        let vms: IndexMap<_, _> = list.into_iter().map(|vm| (vm.name, vm.state)).collect();
        if self.vms.as_ref() == Some(&vms) {
            return;
        }
        self.vms = Some(vms);
        self.rebuild_pools();
    }

    /// Takes a peer's report.
    pub(super) fn apply_report(&mut self, report: Report, now: Instant) {
        if let Some((former, _)) = self.reports.swap_remove(&report.vm) {
            self.count_peer(&former.loads, false);
        }
        self.count_peer(&report.loads, true);
        self.reports.insert(report.vm.clone(), (report, now));
    }

    fn count_peer(&mut self, shares: &[EndpointLoad], add: bool) {
        for share in shares {
            let pool = self.config.endpoints.get(&share.endpoint).map(|found| &found.pool);
            let views = pool.and_then(|pool| self.pools.get_mut(pool));
            let Some(view) = views.and_then(|pool| pool.views.get_mut(&share.endpoint)) else {
                continue;
            };
            if add {
                view.peer_calls += share.calls;
                view.peer_memory += share.memory;
            } else {
                view.peer_calls = view.peer_calls.saturating_sub(share.calls);
                view.peer_memory = view.peer_memory.saturating_sub(share.memory);
            }
        }
    }

    /// Forgets the reports of silent peers.
    pub(super) fn expire_reports(&mut self, now: Instant) {
        let life = millis(self.limits().report_interval_ms) * REPORT_LIVES;
        let silent = self.reports.iter().filter(|(_, (_, taken))| now - *taken > life);
        let silent: Vec<_> = silent.map(|(vm, _)| vm.clone()).collect();
        for vm in silent {
            if let Some((report, _)) = self.reports.swap_remove(&vm) {
                self.count_peer(&report.loads, false);
            }
        }
    }

    /// Tells the peers of this daemon's calls.
    pub(super) fn send_report(&mut self, now: Instant) {
        let report = Report {
            vm: self.shared.local_member.vm.clone(),
            loads: self.shares(),
            slowdowns: self.own_slow(now),
        };
        let table = self.shared.routes.table();
        for member in
            table.members.values().filter(|member| member.vm != self.shared.local_member.vm)
        {
            let (peers, addr) = (self.shared.peers.clone(), member.peer_addr.clone());
            let request = Request::Report(report.clone());
            let bound = millis(self.limits().report_interval_ms) * REPORT_LIVES;
            metrics::counter!("reports_sent_total").increment(1);
            self.shared.runtime.spawn(async move {
                // The next report makes up for a lost one.
                let _ = tokio::time::timeout(bound, peers.call(&addr, &request)).await;
            });
        }
    }

    fn shares(&self) -> Vec<EndpointLoad> {
        let views = self.pools.values().flat_map(|pool| &pool.views);
        let used = views.filter(|(_, view)| view.own_calls > 0);
        let shares = used.map(|(endpoint, view)| EndpointLoad {
            endpoint: endpoint.clone(),
            calls: view.own_calls,
            memory: view.own_memory,
        });
        shares.collect()
    }

    fn own_slow(&self, now: Instant) -> Vec<(EndpointId, f64)> {
        self.slowdown_detectors.values().flat_map(|paces| paces.slow(now)).collect()
    }

    /// Sets each endpoint's slowdown from what this daemon and its peers observe.
    pub(super) fn update_slowdowns(&mut self, now: Instant) {
        let mut slow: IndexMap<EndpointId, f64> = self.own_slow(now).into_iter().collect();
        for (report, _) in self.reports.values() {
            for (endpoint, factor) in &report.slowdowns {
                let known = slow.entry(endpoint.clone()).or_insert(*factor);
                *known = known.max(*factor);
            }
        }
        for pool in self.pools.values_mut() {
            for (endpoint, view) in &mut pool.views {
                view.slowdown = slow.get(endpoint).copied().unwrap_or(1.0);
            }
        }
    }

    /// Moves running model calls away from slow endpoints, within a budget.
    pub(super) fn move_slow_calls(&mut self, now: Instant) {
        if self.shared.settings.policy != Policy::Program {
            return;
        }
        let budget = (self.active_calls.len() * MOVE_BUDGET_PERCENT).div_ceil(100);
        let candidates = self.active_calls.iter().filter(|(_, live)| {
            matches!(live.call.work, Work::Model { .. }) && live.deadline > now
        });
        let candidates = candidates.filter(|(_, live)| match &live.stage {
            Stage::Running(running) => self.worth_moving(&live.pool, running, now),
            _ => false,
        });
        let moved: Vec<ProgramId> = candidates.map(|(id, _)| id.clone()).take(budget).collect();
        for program in moved {
            metrics::counter!("calls_moved_total").increment(1);
            self.cancel_running(&program, StopCause::Move);
        }
    }

    fn worth_moving(
        &self,
        pool: &sched::id::PoolId,
        running: &super::active_call::Attempt,
        now: Instant,
    ) -> bool {
        let Some(pool) = self.pools.get(pool) else {
            return false;
        };
        let slowdown = pool.views.get(&running.endpoint).map_or(1.0, |view| view.slowdown);
        let settled = now.saturating_duration_since(running.sent_at) > Duration::from_millis(200);
        settled && slowdown > 1.0 && pool.has_healthy_free_slot()
    }
}
