//! Answers to the operators' queries.

use super::Control;
use super::active_call::{ActiveCall, Stage};
use super::commits::since;
use peer::wire::{Activity, DaemonRow, EndpointRow, ProgramRow, Query, Status};
use sched::id::ProgramId;
use sched::program::Program;
use std::time::Instant;

impl Control {
    /// Returns the status of this daemon, with the rows that the query asks for.
    pub(super) fn answer_query(&self, query: &Query, now: Instant) -> Status {
        let programs = if query.programs { self.program_rows(now) } else { Vec::new() };
        let endpoints = if query.endpoints { self.endpoint_rows() } else { Vec::new() };
        Status { daemon: self.daemon_row(), programs, endpoints }
    }

    fn daemon_row(&self) -> DaemonRow {
        let programs = self.logs.values().flat_map(|owned| owned.state.programs.values());
        let running = programs.filter(|program| program.ending.is_none()).count();
        let waiting: usize = self.queues.values().map(|queue| queue.len()).sum();
        DaemonRow {
            vm: self.shared.local_member.vm.clone(),
            dc: self.shared.local_member.dc.clone(),
            version: self.config.version,
            logs: self.logs.keys().copied().collect(),
            programs: running as u64,
            waiting: waiting as u64,
            stopping: self.stopping.is_some(),
            platform_up: self.platform_up,
        }
    }

    fn program_rows(&self, now: Instant) -> Vec<ProgramRow> {
        let programs = self.logs.values().flat_map(|owned| &owned.state.programs);
        programs.map(|(id, program)| self.program_row(id, program, now)).collect()
    }

    fn program_row(&self, id: &ProgramId, program: &Program, now: Instant) -> ProgramRow {
        let active = self.active_calls.get(id);
        let last_used_at = self.program_times.get(id).map_or(now, |times| times.last_used_at);
        let state_since = active.map_or(last_used_at, |active| active.stage_since);
        let spec = program.spec.clone();
        ProgramRow {
            program: id.clone(),
            team: spec.team,
            pool: spec.pool,
            account: spec.account,
            kind: spec.kind,
            priority: spec.priority,
            vm: self.shared.local_member.vm.clone(),
            seq: program.next_seq(),
            budget: spec.budget,
            spent: program.spent,
            for_ms: since(now, state_since).as_millis() as u64,
            activity: self.activity(program, active),
        }
    }

    /// Returns what a program is doing or waiting for.
    fn activity(&self, program: &Program, active: Option<&ActiveCall>) -> Activity {
        if let Some(ending) = program.ending {
            return Activity::Ended { ending };
        }
        let Some(active) = active else {
            return Activity::Caller;
        };
        match &active.stage {
            Stage::AwaitingTokens => Activity::Budget { account: program.spec.account.clone() },
            Stage::AwaitingCommit => Activity::Durability { platform_up: self.platform_up },
            Stage::Queued(key) => {
                let queue = self.queues.get(&active.pool);
                let views = self.pools.get(&active.pool).map(|pool| &pool.views);
                let open = views.into_iter().flatten().filter(|(_, view)| view.open).count();
                Activity::Queue {
                    pool: active.pool.clone(),
                    ahead: queue.map_or(0, |queue| queue.ahead(key)) as u64,
                    open: open as u64,
                }
            }
            Stage::Running(attempt) => {
                let views = self.pools.get(&active.pool).map(|pool| &pool.views);
                let view = views.and_then(|views| views.get(&attempt.endpoint));
                Activity::Running {
                    endpoint: attempt.endpoint.clone(),
                    tokens: active.output.tokens(),
                    slow: view.is_some_and(|view| view.slowdown > 1.0),
                }
            }
        }
    }

    fn endpoint_rows(&self) -> Vec<EndpointRow> {
        let pools = self.pools.iter();
        let rows = pools.flat_map(|(pool, endpoints)| {
            endpoints.views.iter().map(|(endpoint, view)| EndpointRow {
                endpoint: endpoint.clone(),
                pool: pool.clone(),
                dc: view.dc.clone(),
                vm: self.shared.local_member.vm.clone(),
                open: view.open,
                slowdown: view.slowdown.max(1.0),
                calls: view.own_calls,
            })
        });
        rows.collect()
    }
}
