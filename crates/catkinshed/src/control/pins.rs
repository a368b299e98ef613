//! Release of the engine memory that is pinned for programs.
//!
//! An order asks the engine to keep the program's prefix for the next turn. The pin is recorded in
//! the log, and released when the program ends, goes on at another engine, or pauses for longer
//! than is worth keeping. A sweep of the engines finds pins that no record tells of.

use super::Control;
use super::active_call::Stage;
use super::event::AttemptKey;
use crate::io::pins;
use crate::settings::InjectedFault;
use endpoint::engine::Client;
use sched::config::Kind;
use sched::id::{EndpointId, LogId, ProgramId, log_of};
use sched::queue::Policy;
use sched::record::Record;
use std::time::{Duration, Instant};

/// Longest pause over which a pin is kept.
const MAX_KEEP: Duration = Duration::from_secs(30);
/// Pause over which a pin is always kept.
const MIN_KEEP: Duration = Duration::from_millis(500);
/// Factor on the expected pause over which a pin is kept.
const KEEP_FACTOR: u32 = 2;

impl Control {
    /// Pins the program's prefix where its order goes, and releases it elsewhere.
    pub(super) fn pin(&mut self, key: &AttemptKey) -> Option<ProgramId> {
        if self.shared.settings.policy != Policy::Program {
            return None;
        }
        let live = self.active_calls.get(&key.program)?;
        let found = self.find_program(live.log, &key.program).ok()?;
        let endpoint = found.open.as_ref()?.endpoint.clone()?;
        let others: Vec<EndpointId> =
            found.pins.iter().filter(|pin| **pin != endpoint).cloned().collect();
        let pinned = found.pins.contains(&endpoint);
        let pressed = self.queues.get(&live.pool).is_some_and(|queue| !queue.is_empty());
        for other in others {
            self.release(key.log, &key.program, &other);
        }
        let program = key.program.clone();
        match (pressed, pinned) {
            // An order without a pin leaves the prefix to the engine's own cache.
            (true, true) => self.record(key.log, Record::Unpin { program, endpoint }),
            (false, false) => self.record(key.log, Record::Pin { program, endpoint }),
            (true, false) | (false, true) => true,
        };
        (!pressed).then(|| key.program.clone())
    }

    /// Releases all pins of a program.
    pub(super) fn release_pins(&mut self, log: LogId, program: &ProgramId) {
        let pins =
            self.find_program(log, program).map(|found| found.pins.clone()).unwrap_or_default();
        for endpoint in &pins {
            self.release(log, program, endpoint);
        }
    }

    fn release(&mut self, log: LogId, program: &ProgramId, endpoint: &EndpointId) {
        if self.injects(InjectedFault::KeepPins) {
            return;
        }
        let Some(config) = self.config.endpoints.get(endpoint) else {
            // An endpoint that is no longer configured holds nothing that can be reached.
            let (program, endpoint) = (program.clone(), endpoint.clone());
            self.record(log, Record::Unpin { program, endpoint });
            return;
        };
        let engine = Client::new(self.shared.http.clone(), &config.addr);
        let events = self.shared.events.clone();
        let release = pins::release(engine, events, log, endpoint.clone(), program.clone());
        self.shared.runtime.spawn(release);
    }

    /// Notes that an engine has released a program's memory.
    pub(super) fn pin_released(&mut self, log: LogId, endpoint: &EndpointId, program: &ProgramId) {
        let found = self.find_program(log, program);
        let pinned = found.is_ok_and(|found| found.pins.contains(endpoint));
        let in_use = self.runs_at(program, endpoint);
        if pinned && !in_use {
            let (program, endpoint) = (program.clone(), endpoint.clone());
            self.record(log, Record::Unpin { program, endpoint });
        }
    }

    /// Releases the pins of programs that pause for too long.
    pub(super) fn release_idle_pins(&mut self, now: Instant) {
        let mut idle = Vec::new();
        for owned in self.logs.values() {
            for (id, program) in &owned.state.programs {
                if program.pins.is_empty() || self.active_calls.contains_key(id) {
                    continue;
                }
                let pause = self.pauses.predict(&program.spec.team, &program.spec.kind);
                let keep = Duration::from_millis(pause) * KEEP_FACTOR;
                let keep = keep.clamp(MIN_KEEP, MAX_KEEP);
                let touched = self.program_times.get(id).map_or(now, |clock| clock.last_used_at);
                let gone = program.ending.is_some();
                if gone || now.saturating_duration_since(touched) > keep {
                    idle.push((owned.state.log, id.clone()));
                }
            }
        }
        for (log, program) in idle {
            self.release_pins(log, &program);
        }
    }

    /// Asks the engines which programs they hold memory for.
    pub(super) fn list_engine_pins(&self) {
        for (name, endpoint) in &self.config.endpoints {
            if endpoint.kind == Kind::Engine {
                let engine = Client::new(self.shared.http.clone(), &endpoint.addr);
                let events = self.shared.events.clone();
                self.shared.runtime.spawn(pins::list(engine, events, name.clone()));
            }
        }
    }

    /// Releases what an engine holds for this daemon's programs without need.
    pub(super) fn release_stray_pins(&mut self, endpoint: &EndpointId, programs: &[ProgramId]) {
        for program in programs {
            let Some(log) = log_of(program).filter(|log| self.logs.contains_key(log)) else {
                continue;
            };
            let wanted = self
                .find_program(log, program)
                .is_ok_and(|found| found.ending.is_none() && found.pins.contains(endpoint));
            if !wanted && !self.runs_at(program, endpoint) {
                metrics::counter!("stray_pins_total").increment(1);
                self.release(log, program, endpoint);
            }
        }
    }

    fn runs_at(&self, program: &ProgramId, endpoint: &EndpointId) -> bool {
        self.active_calls.get(program).is_some_and(|live| match &live.stage {
            Stage::Running(running) => running.endpoint == *endpoint,
            _ => false,
        })
    }
}
