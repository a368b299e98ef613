//! Sending of waiting calls to endpoints.

use super::Control;
use super::active_call::{ActiveCall, Attempt, Stage};
use super::event::AttemptKey;
use crate::io::{completion, service};
use crate::settings::InjectedFault;
use compact_str::format_compact;
use endpoint::engine::{Client, CompletionRequest};
use endpoint::service::Request;
use sched::call::{Work, prompt_tokens};
use sched::config::Kind;
use sched::id::{EndpointId, PoolId, ProgramId, Tokens};
use sched::place::Criteria;
use sched::queue::{self, Item, Key, Policy, RankInput};
use sched::record::Record;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Waiting calls that are tried when those before them do not fit.
const LOOK_AHEAD: usize = 8;
/// Longest silence of an engine in the middle of a stream.
const MAX_SILENCE: Duration = Duration::from_secs(20);

impl Control {
    /// Puts a call into its pool's queue and tries to send it.
    pub(super) fn enqueue(&mut self, program: &ProgramId, now: Instant) {
        let policy = self.shared.settings.policy;
        let facts = self.facts(program);
        let prompt = self.active_calls.get(program).map(|live| self.prompt(live, program));
        let prompt = prompt.map_or(0, |text| prompt_tokens(&text));
        let Some(live) = self.active_calls.get_mut(program) else {
            return;
        };
        let rank = *live.rank.get_or_insert_with(|| queue::rank(policy, facts));
        let item = Item {
            program: program.clone(),
            rank,
            prompt,
            reserve: reservation(policy, live),
            expected: live.expected_tokens,
        };
        let pool = live.pool.clone();
        let key = self.queues.entry(pool.clone()).or_default().push(item);
        self.set_stage(program, Stage::Queued(key), now);
        self.dispatch(&pool, now);
    }

    fn facts(&self, program: &ProgramId) -> RankInput {
        let Some(live) = self.active_calls.get(program) else {
            return RankInput::default();
        };
        let found = self.find_program(live.log, program).ok();
        RankInput {
            arrival_ms: unix_ms(),
            attained: found.map_or(0, |found| found.spent),
            expected: live.expected_tokens,
            priority: found.map_or(0, |found| found.spec.priority),
            team_calls: self.team_calls.get(&live.team).copied().unwrap_or_default(),
            team_share: self.config.teams.get(&live.team).map_or(1, |team| team.share),
        }
    }

    /// Sends waiting calls of all pools.
    pub(super) fn dispatch_all(&mut self, now: Instant) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let pools: Vec<PoolId> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.dispatch(&pool, now);
        }
    }

    /// Sends waiting calls of the pool that an endpoint serves.
    pub(super) fn dispatch_pool_of(&mut self, endpoint: &EndpointId, now: Instant) {
        let pool = self.config.endpoints.get(endpoint).map(|found| found.pool.clone());
        if let Some(pool) = pool {
            self.dispatch(&pool, now);
        }
    }

    fn dispatch(&mut self, pool: &PoolId, now: Instant) {
        let look_ahead = match self.shared.settings.policy {
            Policy::Program => LOOK_AHEAD,
            Policy::Fcfs | Policy::RoundRobin => 1,
        };
        let mut after = None;
        let mut passed = 0;
        while passed < look_ahead {
            let next = self.queues.get(pool).and_then(|queue| queue.next_after(after));
            let Some((key, item)) = next.map(|(key, item)| (key, item.clone())) else {
                return;
            };
            after = Some(key);
            if !self.try_send(pool, key, &item, now) {
                passed += 1;
            }
        }
    }

    fn try_send(&mut self, pool: &PoolId, key: Key, item: &Item, now: Instant) -> bool {
        let Some(live) = self.active_calls.get(&item.program) else {
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.remove(&key);
            }
            return true;
        };
        let cached = self.cached_at(live, &item.program);
        let dc = self.shared.settings.dc.clone();
        let need = Criteria {
            policy: self.shared.settings.policy,
            prompt: item.prompt,
            memory: item.prompt + item.reserve,
            expected: item.expected,
            cached: cached.as_ref(),
            avoid: live.avoid.as_ref(),
            dc: &dc,
        };
        let Some(views) = self.pools.get_mut(pool) else {
            return false;
        };
        let Some(endpoint) = views.choose(&need, &mut self.rng) else {
            return false;
        };
        let memory = need.memory;
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.remove(&key);
        }
        self.send(&item.program, endpoint, memory, now);
        true
    }

    /// Names the endpoint that holds the program's cache.
    fn cached_at(&self, live: &ActiveCall, program: &ProgramId) -> Option<EndpointId> {
        let Work::Model { .. } = &live.call.work else {
            return None;
        };
        let found = self.find_program(live.log, program).ok()?;
        let placed = found.open.as_ref().and_then(|open| open.endpoint.clone());
        placed.or_else(|| found.pins.last().cloned())
    }

    /// Builds the whole prompt; it stays the same while the call waits.
    fn prompt(&self, live: &ActiveCall, program: &ProgramId) -> String {
        let (Work::Model { prompt, .. }, Ok(found)) =
            (&live.call.work, self.find_program(live.log, program))
        else {
            return String::new();
        };
        let mut text = found.transcript();
        text.push_str(prompt);
        text.push('\n');
        text.push_str(&live.tape.text());
        text
    }

    fn send(&mut self, program: &ProgramId, endpoint: EndpointId, memory: Tokens, now: Instant) {
        let Some(config) = self.config.endpoints.get(&endpoint).cloned() else {
            return;
        };
        self.attempt_count += 1;
        let attempt = self.attempt_count;
        let prompt = self.active_calls.get(program).map(|live| self.prompt(live, program));
        let (Some(live), Some(prompt)) = (self.active_calls.get_mut(program), prompt) else {
            return;
        };
        live.sent = true;
        let mut running = Attempt {
            endpoint: endpoint.clone(),
            number: attempt,
            memory,
            sent_at: now,
            stop: None,
            cause: None,
        };
        let key = AttemptKey {
            log: live.log,
            program: program.clone(),
            call: live.call.id.clone(),
            attempt,
        };
        let log = live.log;
        if let Some(view) = self.pools.get_mut(&live.pool).and_then(|p| p.views.get_mut(&endpoint))
        {
            view.own_calls += 1;
            view.own_memory += memory;
        }
        self.record(log, Record::Placed { program: program.clone(), endpoint });
        match config.kind {
            Kind::Engine => running.stop = self.order(key, &config, prompt),
            Kind::Service => self.request(key, &config.addr, now),
        }
        self.set_stage(program, Stage::Running(running), now);
    }

    fn order(
        &mut self,
        key: AttemptKey,
        config: &sched::config::Endpoint,
        prompt: String,
    ) -> Option<tokio::sync::oneshot::Sender<completion::StopMode>> {
        let pin = self.pin(&key);
        let model = self.config.pools.get(&config.pool).map(|pool| pool.model.clone());
        let epoch = self.logs.get(&key.log).map_or(0, |owned| owned.epoch);
        let live = self.active_calls.get(&key.program)?;
        let have = live.tape.tokens();
        let limit = match self.injects(InjectedFault::BudgetUnchecked) {
            true => live.max_tokens,
            false => live.max_tokens.min(live.token_limit.saturating_sub(live.undelivered_tokens)),
        };
        let order = CompletionRequest {
            request_id: format_compact!("{}:{}", key.program, key.call),
            model: model.unwrap_or_default(),
            prompt,
            max_tokens: limit,
            offset: have,
            continues: have,
            priority: live.rank.unwrap_or_default(),
            pin,
            epoch,
        };
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let task = completion::Task {
            key,
            events: self.shared.events.clone(),
            engine: Client::new(self.shared.http.clone(), &config.addr),
            request: order,
            output: live.tape.clone(),
            stop: stopped,
            idle_timeout: MAX_SILENCE,
        };
        self.shared.runtime.spawn(task.run());
        Some(stop)
    }

    fn request(&self, key: AttemptKey, addr: &str, now: Instant) {
        let Some(live) = self.active_calls.get(&key.program) else {
            return;
        };
        let Work::Service { op, body, .. } = &live.call.work else {
            return;
        };
        let request = Request {
            op: op.clone(),
            body: body.clone(),
            program: key.program.clone(),
            idempotency_key: format_compact!("{}:{}", key.program, key.call),
            epoch: self.logs.get(&key.log).map_or(0, |owned| owned.epoch),
            timeout: live.deadline.saturating_duration_since(now),
        };
        let (http, events) = (self.shared.http.clone(), self.shared.events.clone());
        self.shared.runtime.spawn(service::run(http, events, key, addr.to_owned(), request));
    }

    /// Gives back an order's share of an endpoint.
    pub(super) fn release_endpoint_load(&mut self, pool: &PoolId, running: &Attempt) {
        let views = self.pools.get_mut(pool);
        let Some(view) = views.and_then(|pool| pool.views.get_mut(&running.endpoint)) else {
            return;
        };
        view.own_calls = view.own_calls.saturating_sub(1);
        view.own_memory = view.own_memory.saturating_sub(running.memory);
    }
}

fn reservation(policy: Policy, live: &ActiveCall) -> Tokens {
    match policy {
        Policy::Program => live.answer_reservation,
        Policy::Fcfs | Policy::RoundRobin => live.max_tokens,
    }
}

fn unix_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as i64
}
