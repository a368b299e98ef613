//! Dispatch of waiting calls to endpoints.

use super::Control;
use super::active_call::{ActiveCall, Attempt, Stage};
use super::event::AttemptKey;
use crate::settings::InjectedFault;
use crate::traffic::{model, service};
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

/// Maximum number of calls that one pass over a queue skips because no endpoint has room for them.
const MAX_LOOK_AHEAD: usize = 8;
/// Time without a token after which an engine's stream counts as broken.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

impl Control {
    /// Adds a call to its pool's queue and dispatches from that queue.
    pub(super) fn enqueue(&mut self, program: &ProgramId, now: Instant) {
        let policy = self.shared.settings.policy;
        let rank_input = self.rank_input(program);
        let prompt = self.active_calls.get(program).map(|active| self.full_prompt(active, program));
        let prompt = prompt.map_or(0, |text| prompt_tokens(&text));
        let Some(active) = self.active_calls.get_mut(program) else {
            return;
        };
        let rank = *active.rank.get_or_insert_with(|| queue::rank(policy, rank_input));
        let item = Item {
            program: program.clone(),
            rank,
            prompt,
            reserve: reservation(policy, active),
            expected: active.expected_tokens,
        };
        let pool = active.pool.clone();
        let key = self.queues.entry(pool.clone()).or_default().push(item);
        self.set_stage(program, Stage::Queued(key), now);
        self.dispatch(&pool, now);
    }

    fn rank_input(&self, program: &ProgramId) -> RankInput {
        let Some(active) = self.active_calls.get(program) else {
            return RankInput::default();
        };
        let found = self.find_program(active.log, program).ok();
        RankInput {
            arrival_ms: unix_ms(),
            attained: found.map_or(0, |found| found.spent),
            expected: active.expected_tokens,
            priority: found.map_or(0, |found| found.spec.priority),
            team_calls: self.team_calls.get(&active.team).copied().unwrap_or_default(),
            team_share: self.config.teams.get(&active.team).map_or(1, |team| team.share),
        }
    }

    /// Dispatches the waiting calls of all pools.
    pub(super) fn dispatch_all(&mut self, now: Instant) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let pools: Vec<PoolId> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.dispatch(&pool, now);
        }
    }

    /// Dispatches the waiting calls of the pool that an endpoint belongs to.
    pub(super) fn dispatch_pool_of(&mut self, endpoint: &EndpointId, now: Instant) {
        let pool = self.config.endpoints.get(endpoint).map(|found| found.pool.clone());
        if let Some(pool) = pool {
            self.dispatch(&pool, now);
        }
    }

    /// Dispatches the waiting calls of a pool in the order of their ranks.
    ///
    /// The program policy lets later calls overtake calls that no endpoint has room for.
    fn dispatch(&mut self, pool: &PoolId, now: Instant) {
        let look_ahead = match self.shared.settings.policy {
            Policy::Program => MAX_LOOK_AHEAD,
            Policy::Fcfs | Policy::RoundRobin => 1,
        };
        let mut after = None;
        let mut skipped = 0;
        while skipped < look_ahead {
            let next = self.queues.get(pool).and_then(|queue| queue.next_after(after));
            let Some((key, item)) = next.map(|(key, item)| (key, item.clone())) else {
                return;
            };
            after = Some(key);
            if !self.try_dispatch(pool, key, &item, now) {
                skipped += 1;
            }
        }
    }

    /// Sends a waiting call to an endpoint; returns `false` if none has room for it.
    fn try_dispatch(&mut self, pool: &PoolId, key: Key, item: &Item, now: Instant) -> bool {
        let Some(active) = self.active_calls.get(&item.program) else {
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.remove(&key);
            }
            return true;
        };
        let cached = self.cached_endpoint(active, &item.program);
        let dc = self.shared.settings.dc.clone();
        let criteria = Criteria {
            policy: self.shared.settings.policy,
            prompt: item.prompt,
            memory: item.prompt + item.reserve,
            expected: item.expected,
            cached: cached.as_ref(),
            avoid: active.avoid.as_ref(),
            dc: &dc,
        };
        let Some(endpoints) = self.pools.get_mut(pool) else {
            return false;
        };
        let Some(endpoint) = endpoints.choose(&criteria, &mut self.rng) else {
            return false;
        };
        let memory = criteria.memory;
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.remove(&key);
        }
        self.start_attempt(&item.program, endpoint, memory, now);
        true
    }

    /// Returns the endpoint that holds the program's prefix in its cache, if one is known.
    fn cached_endpoint(&self, active: &ActiveCall, program: &ProgramId) -> Option<EndpointId> {
        let Work::Model { .. } = &active.call.work else {
            return None;
        };
        let found = self.find_program(active.log, program).ok()?;
        let placed = found.open.as_ref().and_then(|open| open.endpoint.clone());
        placed.or_else(|| found.pins.last().cloned())
    }

    /// Builds the prompt of a model call: the program's transcript, the call's own prompt and the
    /// answer received so far. The prompt does not change while the call waits in the queue.
    fn full_prompt(&self, active: &ActiveCall, program: &ProgramId) -> String {
        let (Work::Model { prompt, .. }, Ok(found)) =
            (&active.call.work, self.find_program(active.log, program))
        else {
            return String::new();
        };
        let mut text = found.transcript();
        text.push_str(prompt);
        text.push('\n');
        text.push_str(&active.output.text());
        text
    }

    /// Sends a call to an endpoint, and records the endpoint in the log.
    fn start_attempt(
        &mut self,
        program: &ProgramId,
        endpoint: EndpointId,
        memory: Tokens,
        now: Instant,
    ) {
        let Some(config) = self.config.endpoints.get(&endpoint).cloned() else {
            return;
        };
        self.attempt_count += 1;
        let number = self.attempt_count;
        let prompt = self.active_calls.get(program).map(|active| self.full_prompt(active, program));
        let (Some(active), Some(prompt)) = (self.active_calls.get_mut(program), prompt) else {
            return;
        };
        active.sent = true;
        let mut attempt = Attempt {
            endpoint: endpoint.clone(),
            number,
            memory,
            sent_at: now,
            stop: None,
            cause: None,
        };
        let key = AttemptKey {
            log: active.log,
            program: program.clone(),
            call: active.call.id.clone(),
            attempt: number,
        };
        let log = active.log;
        if let Some(view) = self
            .pools
            .get_mut(&active.pool)
            .and_then(|endpoints| endpoints.views.get_mut(&endpoint))
        {
            view.own_calls += 1;
            view.own_memory += memory;
        }
        self.record(log, Record::Placed { program: program.clone(), endpoint });
        match config.kind {
            Kind::Engine => attempt.stop = self.start_completion(key, &config, prompt),
            Kind::Service => self.start_service_request(key, &config.addr, now),
        }
        self.set_stage(program, Stage::Running(attempt), now);
    }

    /// Starts the task that sends a model call to an engine; the returned sender stops it.
    fn start_completion(
        &mut self,
        key: AttemptKey,
        config: &sched::config::Endpoint,
        prompt: String,
    ) -> Option<tokio::sync::oneshot::Sender<model::StopMode>> {
        let pin = self.pin(&key);
        let model = self.config.pools.get(&config.pool).map(|pool| pool.model.clone());
        let epoch = self.logs.get(&key.log).map_or(0, |owned| owned.epoch);
        let active = self.active_calls.get(&key.program)?;
        let received = active.output.tokens();
        let limit = match self.injects(InjectedFault::BudgetUnchecked) {
            true => active.max_tokens,
            false => {
                active.max_tokens.min(active.token_limit.saturating_sub(active.undelivered_tokens))
            }
        };
        let completion = CompletionRequest {
            request_id: format_compact!("{}:{}", key.program, key.call),
            model: model.unwrap_or_default(),
            prompt,
            max_tokens: limit,
            offset: received,
            continues: received,
            priority: active.rank.unwrap_or_default(),
            pin,
            epoch,
        };
        let (stop, stop_receiver) = tokio::sync::oneshot::channel();
        let task = model::Task {
            key,
            events: self.shared.events.clone(),
            engine: Client::new(self.shared.http.clone(), &config.addr),
            request: completion,
            output: active.output.clone(),
            stop: stop_receiver,
            idle_timeout: STREAM_IDLE_TIMEOUT,
        };
        self.shared.runtime.spawn(task.run());
        Some(stop)
    }

    /// Starts the task that sends a call to a plain service.
    fn start_service_request(&self, key: AttemptKey, addr: &str, now: Instant) {
        let Some(active) = self.active_calls.get(&key.program) else {
            return;
        };
        let Work::Service { op, body, .. } = &active.call.work else {
            return;
        };
        let request = Request {
            op: op.clone(),
            body: body.clone(),
            program: key.program.clone(),
            idempotency_key: format_compact!("{}:{}", key.program, key.call),
            epoch: self.logs.get(&key.log).map_or(0, |owned| owned.epoch),
            timeout: active.deadline.saturating_duration_since(now),
        };
        let (http, events) = (self.shared.http.clone(), self.shared.events.clone());
        self.shared.runtime.spawn(service::run(http, events, key, addr.to_owned(), request));
    }

    /// Subtracts an attempt from the load that this daemon puts on an endpoint.
    pub(super) fn release_endpoint_load(&mut self, pool: &PoolId, attempt: &Attempt) {
        let endpoints = self.pools.get_mut(pool);
        let Some(view) = endpoints.and_then(|endpoints| endpoints.views.get_mut(&attempt.endpoint))
        else {
            return;
        };
        view.own_calls = view.own_calls.saturating_sub(1);
        view.own_memory = view.own_memory.saturating_sub(attempt.memory);
    }
}

/// Returns the tokens of engine memory to reserve for the answer of a call.
fn reservation(policy: Policy, active: &ActiveCall) -> Tokens {
    match policy {
        Policy::Program => active.answer_reservation,
        Policy::Fcfs | Policy::RoundRobin => active.max_tokens,
    }
}

fn unix_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as i64
}
