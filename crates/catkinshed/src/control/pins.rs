//! Pinning of program prefixes in engine memory, and their release.
//!
//! A request can ask the engine to keep the program's prefix in memory for the next turn. This pin
//! is recorded in the log. It is released when the program ends, continues at another engine, or
//! pauses so long that the memory serves other programs better. A periodic sweep lists the pins of
//! all engines and releases those that are not recorded.

use super::Control;
use super::active_call::Stage;
use super::event::AttemptKey;
use crate::settings::InjectedFault;
use crate::traffic::sweep;
use endpoint::engine::Client;
use sched::config::Kind;
use sched::id::{EndpointId, LogId, ProgramId, log_of};
use sched::queue::Policy;
use sched::record::Record;
use std::time::{Duration, Instant};

/// Pause after which a pin is always released.
const MAX_PIN_IDLE: Duration = Duration::from_secs(30);
/// Pause during which a pin is not released as idle.
const MIN_PIN_IDLE: Duration = Duration::from_millis(500);
/// Multiple of the predicted pause after which a pin is released, within [`MIN_PIN_IDLE`] and
/// [`MAX_PIN_IDLE`].
const PAUSE_FACTOR: u32 = 2;

impl Control {
    /// Updates a program's pins for a new attempt: releases those at other endpoints, and pins the
    /// prefix at the attempt's endpoint unless calls wait in the queue of the pool.
    ///
    /// Returns the program to pin with the request, or `None` for a request without a pin.
    pub(super) fn pin(&mut self, key: &AttemptKey) -> Option<ProgramId> {
        if self.shared.settings.policy != Policy::Program {
            return None;
        }
        let active = self.active_calls.get(&key.program)?;
        let found = self.find_program(active.log, &key.program).ok()?;
        let endpoint = found.open.as_ref()?.endpoint.clone()?;
        let others: Vec<EndpointId> =
            found.pins.iter().filter(|pin| **pin != endpoint).cloned().collect();
        let pinned = found.pins.contains(&endpoint);
        let calls_waiting = self.queues.get(&active.pool).is_some_and(|queue| !queue.is_empty());
        for other in others {
            self.release_pin(key.log, &key.program, &other);
        }
        let program = key.program.clone();
        match (calls_waiting, pinned) {
            // Without a pin, the engine's own cache decides how long the prefix stays.
            (true, true) => self.record(key.log, Record::Unpin { program, endpoint }),
            (false, false) => self.record(key.log, Record::Pin { program, endpoint }),
            (true, false) | (false, true) => true,
        };
        (!calls_waiting).then(|| key.program.clone())
    }

    /// Releases all pins of a program.
    pub(super) fn release_pins(&mut self, log: LogId, program: &ProgramId) {
        let pins =
            self.find_program(log, program).map(|found| found.pins.clone()).unwrap_or_default();
        for endpoint in &pins {
            self.release_pin(log, program, endpoint);
        }
    }

    /// Starts the release of a pin at an engine; [`Control::pin_released`] records it afterwards.
    fn release_pin(&mut self, log: LogId, program: &ProgramId, endpoint: &EndpointId) {
        if self.injects(InjectedFault::KeepPins) {
            return;
        }
        let Some(config) = self.config.endpoints.get(endpoint) else {
            // The endpoint is no longer configured and cannot be reached: only remove the record.
            let (program, endpoint) = (program.clone(), endpoint.clone());
            self.record(log, Record::Unpin { program, endpoint });
            return;
        };
        let engine = Client::new(self.shared.http.clone(), &config.addr);
        let events = self.shared.events.clone();
        let release = sweep::release(engine, events, log, endpoint.clone(), program.clone());
        self.shared.runtime.spawn(release);
    }

    /// Records that an engine has released a program's memory, unless the program runs there again.
    pub(super) fn pin_released(&mut self, log: LogId, endpoint: &EndpointId, program: &ProgramId) {
        let found = self.find_program(log, program);
        let pinned = found.is_ok_and(|found| found.pins.contains(endpoint));
        let in_use = self.is_running_at(program, endpoint);
        if pinned && !in_use {
            let (program, endpoint) = (program.clone(), endpoint.clone());
            self.record(log, Record::Unpin { program, endpoint });
        }
    }

    /// Releases the pins of programs that have ended or have paused for too long.
    pub(super) fn release_idle_pins(&mut self, now: Instant) {
        let mut idle = Vec::new();
        for owned in self.logs.values() {
            for (id, program) in &owned.state.programs {
                if program.pins.is_empty() || self.active_calls.contains_key(id) {
                    continue;
                }
                let pause = self.pauses.predict(&program.spec.team, &program.spec.kind);
                let max_idle = Duration::from_millis(pause) * PAUSE_FACTOR;
                let max_idle = max_idle.clamp(MIN_PIN_IDLE, MAX_PIN_IDLE);
                let last_used_at =
                    self.program_times.get(id).map_or(now, |times| times.last_used_at);
                let ended = program.ending.is_some();
                if ended || now.saturating_duration_since(last_used_at) > max_idle {
                    idle.push((owned.state.log, id.clone()));
                }
            }
        }
        for (log, program) in idle {
            self.release_pins(log, &program);
        }
    }

    /// Asks all engines which programs they hold memory for.
    pub(super) fn list_engine_pins(&self) {
        for (name, endpoint) in &self.config.endpoints {
            if endpoint.kind == Kind::Engine {
                let engine = Client::new(self.shared.http.clone(), &endpoint.addr);
                let events = self.shared.events.clone();
                self.shared.runtime.spawn(sweep::list(engine, events, name.clone()));
            }
        }
    }

    /// Releases memory that an engine holds for programs of this daemon without a recorded pin.
    pub(super) fn release_stray_pins(&mut self, endpoint: &EndpointId, programs: &[ProgramId]) {
        for program in programs {
            let Some(log) = log_of(program).filter(|log| self.logs.contains_key(log)) else {
                continue;
            };
            let needed = self
                .find_program(log, program)
                .is_ok_and(|found| found.ending.is_none() && found.pins.contains(endpoint));
            if !needed && !self.is_running_at(program, endpoint) {
                metrics::counter!("stray_pins_total").increment(1);
                self.release_pin(log, program, endpoint);
            }
        }
    }

    /// Returns whether the program's active call runs at an endpoint.
    fn is_running_at(&self, program: &ProgramId, endpoint: &EndpointId) -> bool {
        self.active_calls.get(program).is_some_and(|active| match &active.stage {
            Stage::Running(attempt) => attempt.endpoint == *endpoint,
            _ => false,
        })
    }
}
