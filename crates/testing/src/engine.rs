//! Fake model engine.
//!
//! It uses continuous batching: each step generates one token of every running stream, and a step
//! takes longer the more streams run. Waiting requests start by priority as long as there are free
//! slots and memory. When a stream ends, its prefix stays in a cache of limited memory with LRU
//! eviction; a pinned prefix stays until it is released. When the running streams need more memory
//! than there is, the stream with the lowest priority is preempted and its prefix is computed again
//! later. Clients can attach to a stream again, extend it and cancel it.
//!
//! The prompt gives the length of the answer as `[[len=N]]`. The text of each token contains the id
//! of its request and its index, so a test can check that an answer is complete and belongs to its
//! request.

use crate::faults::Injector;
use crate::net::{self, Server};
use compact_str::{CompactString, format_compact};
use endpoint::engine::{CompletionRequest, Event};
use indexmap::IndexMap;
use rocket::http::Status;
use rocket::response::stream::{Event as Sse, EventStream};
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, routes};
use sched::call::prompt_tokens;
use sched::id::{Epoch, ProgramId};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time after which an unfinished stream without readers is removed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an ended stream without readers is removed.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Length of an answer whose prompt does not give one, in tokens.
const DEFAULT_ANSWER_TOKENS: u64 = 40;
/// Maximum share of the memory that pinned prefixes may use, in percent.
const MAX_PINNED_PERCENT: u64 = 60;

/// Capacity and speed of a healthy engine.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Maximum number of streams that run concurrently.
    pub slots: u32,
    /// Memory for the prefixes of running streams and the cache, in tokens.
    pub memory: u64,
    /// Duration of a step of an empty batch; each running stream adds to it.
    pub step_time: Duration,
    /// Number of running streams that doubles the duration of a step.
    pub doubling_batch: u32,
    /// Time to prefill one prompt token.
    pub prefill_per_token: Duration,
    /// Whether requests with an outdated fencing token are rejected.
    pub checks_epoch: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            slots: 16,
            memory: 16_384,
            step_time: Duration::from_millis(5),
            doubling_batch: 16,
            prefill_per_token: Duration::from_micros(20),
            checks_epoch: false,
        }
    }
}

/// Statistics of all engines of a test run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Number of generated tokens by program.
    pub generated: IndexMap<ProgramId, u64>,
    /// Number of prompt tokens that were computed more than once.
    pub recomputed: u64,
    /// Memory of cached prefixes that were removed without being used, in tokens times seconds.
    pub held_unused: f64,
    /// Number of preemptions.
    pub preempted: u64,
    /// Number of requests rejected because of an outdated fencing token.
    pub fenced: u64,
    /// Length of the longest prefix computed so far, by program.
    computed: IndexMap<ProgramId, u64>,
}

/// Statistics shared by all engines of a test run.
pub type SharedStats = Arc<Mutex<Stats>>;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Waiting,
    /// Computing the prompt; the duration is the time left.
    Prefill(Duration),
    Running,
    /// Ended for the given reason, `stop` or `length`.
    Ended(&'static str),
}

struct Stream {
    program: ProgramId,
    request_id: CompactString,
    run: u64,
    prompt_tokens: u64,
    /// Index of the first token that this run generates.
    first_index: u64,
    generated: u64,
    max_tokens: u64,
    /// Length of the answer if `max_tokens` does not cut it short.
    answer_tokens: u64,
    phase: Phase,
    priority: i64,
    arrival: u64,
    cached_tokens: u64,
    pin: bool,
    readers: u32,
    idle_since: Instant,
}

impl Stream {
    /// Returns the index of the next token.
    fn next_index(&self) -> u64 {
        self.first_index + self.generated
    }

    /// Returns the memory in use, in tokens.
    fn memory(&self) -> u64 {
        match self.phase {
            Phase::Prefill(_) | Phase::Running => self.prompt_tokens + self.generated,
            Phase::Waiting | Phase::Ended(_) => 0,
        }
    }

    fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Prefill(_) | Phase::Running)
    }
}

struct CachedPrefix {
    tokens: u64,
    pinned: bool,
    cached_at: Instant,
}

struct Core {
    spec: Spec,
    streams: IndexMap<CompactString, Stream>,
    /// Cached prefixes, the least recently used first.
    cache: IndexMap<ProgramId, CachedPrefix>,
    /// Highest fencing token seen, by log.
    epochs: IndexMap<CompactString, Epoch>,
    arrivals: u64,
    stats: SharedStats,
}

impl Core {
    /// Returns the memory used by streams and the cache, in tokens.
    fn used_memory(&self) -> u64 {
        let cached: u64 = self.cache.values().map(|cached| cached.tokens).sum();
        self.streams.values().map(Stream::memory).sum::<u64>() + cached
    }

    /// Returns the number of streams in the batch.
    fn active_streams(&self) -> u32 {
        self.streams.values().filter(|stream| stream.is_active()).count() as u32
    }

    fn stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a prefix from the cache; counts its memory as unused unless `used` is set.
    fn remove_cached(&mut self, program: &str, used: bool) {
        if let Some(cached) = self.cache.shift_remove(program)
            && !used
        {
            let held = cached.cached_at.elapsed().as_secs_f64();
            self.stats().held_unused += cached.tokens as f64 * held;
        }
    }

    /// Evicts unpinned prefixes until `need` tokens are free, and returns whether they are.
    fn evict_until_free(&mut self, need: u64) -> bool {
        while self.used_memory() + need > self.spec.memory {
            let oldest = self.cache.iter().find(|(_, cached)| !cached.pinned);
            let Some(program) = oldest.map(|(program, _)| program.clone()) else {
                return false;
            };
            self.remove_cached(&program, false);
        }
        true
    }

    /// Starts waiting streams by priority and arrival while slots and memory are free.
    fn start_waiting(&mut self) {
        while self.active_streams() < self.spec.slots {
            let waiting = self.streams.values().filter(|s| s.phase == Phase::Waiting);
            let next = waiting.min_by_key(|stream| (stream.priority, stream.arrival));
            let Some((id, program, prompt)) = next
                .map(|s| (s.request_id.clone(), s.program.clone(), s.prompt_tokens + s.generated))
            else {
                return;
            };
            let cached = self.cache.get(&program).map_or(0, |cached| cached.tokens.min(prompt));
            if !self.evict_until_free(prompt - cached) && self.active_streams() > 0 {
                return;
            }
            self.remove_cached(&program, cached > 0);
            self.count_prefill(&program, prompt, cached);
            let prefill = self.spec.prefill_per_token * (prompt - cached) as u32;
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.cached_tokens = cached;
                stream.phase = Phase::Prefill(prefill);
            }
        }
    }

    /// Counts the prompt tokens that have been computed before and are not cached.
    fn count_prefill(&self, program: &ProgramId, prompt: u64, cached: u64) {
        let mut stats = self.stats();
        let computed_before = stats.computed.get(program).copied().unwrap_or_default().min(prompt);
        stats.recomputed += computed_before.saturating_sub(cached);
        let computed = stats.computed.entry(program.clone()).or_default();
        *computed = (*computed).max(prompt);
    }

    /// Advances the running streams by one step; `time` is its duration without injected faults.
    fn step(&mut self, time: Duration) {
        let mut generated = Vec::new();
        for stream in self.streams.values_mut() {
            match stream.phase {
                Phase::Prefill(left) if left > time => stream.phase = Phase::Prefill(left - time),
                Phase::Prefill(_) => stream.phase = Phase::Running,
                Phase::Running => {
                    stream.generated += 1;
                    generated.push(stream.program.clone());
                }
                Phase::Waiting | Phase::Ended(_) => {}
            }
        }
        let mut stats = self.stats();
        for program in generated {
            *stats.generated.entry(program.clone()).or_default() += 1;
            let computed = stats.computed.entry(program).or_default();
            *computed += 1;
        }
        drop(stats);
        self.end_streams();
        self.preempt();
        self.remove_unread();
    }

    fn end_streams(&mut self) {
        let ended: Vec<CompactString> = self
            .streams
            .values()
            .filter(|s| {
                s.phase == Phase::Running && s.next_index() >= s.answer_tokens.min(s.max_tokens)
            })
            .map(|s| s.request_id.clone())
            .collect();
        for id in ended {
            self.end_stream(&id);
        }
    }

    fn end_stream(&mut self, id: &str) {
        let Some(stream) = self.streams.get_mut(id) else {
            return;
        };
        let finish = if stream.next_index() >= stream.answer_tokens { "stop" } else { "length" };
        let (program, pin) = (stream.program.clone(), stream.pin);
        let tokens = stream.memory();
        stream.phase = Phase::Ended(finish);
        stream.idle_since = Instant::now();
        self.cache_prefix(program, tokens, pin);
    }

    /// Adds a prefix to the cache, pinned if `pin` is set and the limit on pinned memory allows it.
    fn cache_prefix(&mut self, program: ProgramId, tokens: u64, pin: bool) {
        let pinned: u64 = self.cache.values().filter(|c| c.pinned).map(|c| c.tokens).sum();
        let fits = (pinned + tokens) * 100 <= self.spec.memory * MAX_PINNED_PERCENT;
        self.cache.shift_remove(&program);
        let cached = CachedPrefix { tokens, pinned: pin && fits, cached_at: Instant::now() };
        self.cache.insert(program, cached);
    }

    /// Preempts the streams with the lowest priority until the others fit into the memory.
    fn preempt(&mut self) {
        while !self.evict_until_free(0) {
            let active = self.streams.values().filter(|stream| stream.is_active());
            let last = active.max_by_key(|stream| (stream.priority, stream.arrival));
            let Some(id) = last.map(|stream| stream.request_id.clone()) else {
                return;
            };
            if self.active_streams() <= 1 {
                return;
            }
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.phase = Phase::Waiting;
            }
            self.stats().preempted += 1;
        }
    }

    /// Removes streams that have had no reader for too long.
    fn remove_unread(&mut self) {
        let unread: Vec<CompactString> = self
            .streams
            .values()
            .filter(|stream| stream.readers == 0)
            .filter(|stream| match stream.phase {
                Phase::Ended(_) => stream.idle_since.elapsed() > ENDED_RETENTION,
                _ => stream.idle_since.elapsed() > UNREAD_TIMEOUT,
            })
            .map(|stream| stream.request_id.clone())
            .collect();
        for id in unread {
            self.streams.swap_remove(&id);
        }
    }

    /// Attaches a request to its existing stream if that has the tokens from the requested offset
    /// on; otherwise starts a new stream.
    ///
    /// Rejects a request with an outdated fencing token if `checks_epoch` is set.
    fn accept(&mut self, request: &CompletionRequest) -> Result<(), Status> {
        let program = program_of(&request.request_id);
        let log: CompactString = program.split('-').next().unwrap_or_default().into();
        let epoch = self.epochs.entry(log).or_default();
        if self.spec.checks_epoch && request.epoch < *epoch {
            self.stats().fenced += 1;
            return Err(Status::PreconditionFailed);
        }
        *epoch = request.epoch.max(*epoch);
        if let Some(stream) = self.streams.get_mut(&request.request_id)
            && stream.first_index <= request.offset
        {
            stream.readers += 1;
            stream.max_tokens = stream.max_tokens.max(request.max_tokens);
            stream.priority = request.priority;
            if stream.phase == Phase::Ended("length") && stream.next_index() < stream.max_tokens {
                stream.phase = Phase::Waiting;
            }
            return Ok(());
        }
        self.arrivals += 1;
        let stream = Stream {
            program,
            request_id: request.request_id.clone(),
            run: fastrand::u64(1..),
            prompt_tokens: prompt_tokens(&request.prompt),
            first_index: request.continues,
            generated: 0,
            max_tokens: request.max_tokens,
            answer_tokens: requested_length(&request.prompt),
            phase: Phase::Waiting,
            priority: request.priority,
            arrival: self.arrivals,
            cached_tokens: 0,
            pin: request.pin.is_some(),
            readers: 1,
            idle_since: Instant::now(),
        };
        self.streams.insert(request.request_id.clone(), stream);
        Ok(())
    }

    /// Returns the events from token `next` on and whether the stream has ended, or `None` if there
    /// is no such stream.
    fn events(&self, id: &str, next: u64, first: bool) -> Option<(Vec<Event>, bool)> {
        let stream = self.streams.get(id)?;
        let mut events: Vec<Event> = (next..stream.next_index())
            .map(|index| Event {
                index,
                text: format!("{id}#{index} "),
                cached: (first && index == next).then_some(stream.cached_tokens),
                finish: None,
                run: stream.run,
            })
            .collect();
        let ended = match stream.phase {
            Phase::Ended(finish) => {
                let finish = Some(finish.into());
                events.push(Event { finish, run: stream.run, ..Event::default() });
                true
            }
            _ => false,
        };
        Some((events, ended))
    }
}

/// Returns the program of a request id, `<program>:<call>`.
fn program_of(request_id: &str) -> ProgramId {
    request_id.split(':').next().unwrap_or_default().into()
}

/// Parses the length of the answer from a prompt, in tokens.
fn requested_length(prompt: &str) -> u64 {
    let tag = prompt.rfind("[[len=").map(|at| &prompt[at + 6..]);
    let number = tag.and_then(|tag| tag.split(']').next()).and_then(|text| text.parse().ok());
    number.unwrap_or(DEFAULT_ANSWER_TOKENS).max(1)
}

struct Shared {
    name: CompactString,
    core: Mutex<Core>,
    changed: watch::Sender<u64>,
    faults: Injector,
    received: Mutex<u32>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fake engine.
pub struct Engine {
    /// Name of the endpoint.
    pub name: CompactString,
    /// HTTP server of the fake.
    pub server: Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts the fake.
    pub async fn start(name: &str, spec: Spec, faults: Injector, stats: SharedStats) -> Self {
        let core = Core {
            spec,
            streams: IndexMap::new(),
            cache: IndexMap::new(),
            epochs: IndexMap::new(),
            arrivals: 0,
            stats,
        };
        let shared = Arc::new(Shared {
            name: name.into(),
            core: Mutex::new(core),
            changed: watch::Sender::new(0),
            faults,
            received: Mutex::new(0),
        });
        tokio::spawn(run_steps(shared.clone()));
        let state = shared.clone();
        let routes = routes![complete, cancel, pins, release];
        let server = net::launch(|rocket| rocket.manage(state).mount("/", routes)).await;
        Self { name: name.into(), server, shared }
    }

    /// Returns the programs of pinned prefixes and of running streams whose prefix is to be pinned.
    pub fn pinned(&self) -> Vec<ProgramId> {
        pinned(&self.shared.lock())
    }

    /// Returns the number of accepted completion requests.
    pub fn received(&self) -> u32 {
        *self.shared.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of waiting and running streams.
    pub fn unfinished_streams(&self) -> usize {
        let core = self.shared.lock();
        core.streams.values().filter(|s| !matches!(s.phase, Phase::Ended(_))).count()
    }

    /// Empties the cache and counts its memory as unused.
    pub fn count_unused_cache(&self) {
        let mut core = self.shared.lock();
        let programs: Vec<ProgramId> = core.cache.keys().cloned().collect();
        for program in programs {
            core.remove_cached(&program, false);
        }
    }
}

/// Runs the engine's steps in a loop; faults slow them down or suspend them.
async fn run_steps(shared: Arc<Shared>) {
    loop {
        let faults = shared.faults.endpoint(&shared.name);
        let time = {
            let mut core = shared.lock();
            core.start_waiting();
            let batch_load = f64::from(core.active_streams()) / f64::from(core.spec.doubling_batch);
            core.spec.step_time.mul_f64((1.0 + batch_load) * faults.slowdown)
        };
        tokio::time::sleep(time).await;
        if !faults.hang {
            shared.lock().step(time.div_f64(faults.slowdown));
            shared.changed.send_modify(|count| *count += 1);
        }
    }
}

/// A reader of a stream; dropping it decrements the number of readers.
struct Reader(Arc<Shared>, CompactString);

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(stream) = self.0.lock().streams.get_mut(&self.1) {
            stream.readers = stream.readers.saturating_sub(1);
            stream.idle_since = Instant::now();
        }
    }
}

#[post("/v1/completions", data = "<request>")]
async fn complete(
    app: &State<Arc<Shared>>,
    request: Json<CompletionRequest>,
) -> Result<EventStream![Sse], Status> {
    let faults = app.faults.endpoint(&app.name);
    tokio::time::sleep(faults.delay).await;
    if faults.refuse {
        return Err(Status::ServiceUnavailable);
    }
    let request = request.into_inner();
    app.lock().accept(&request)?;
    let shared = Arc::clone(app);
    let breaks_at = break_point(&shared, faults.break_stream_every);
    let reader = Reader(shared.clone(), request.request_id.clone());
    let mut changed = shared.changed.subscribe();
    let start = request.offset;
    let stream = EventStream! {
        let _reader = reader;
        let mut next = start;
        let mut first = true;
        loop {
            changed.mark_unchanged();
            let Some((events, ended)) = shared.lock().events(&request.request_id, next, first)
            else {
                return;
            };
            for event in events {
                next = next.max(event.index + 1);
                first = false;
                if breaks_at.is_some_and(|at| next > start + at) {
                    return;
                }
                yield Sse::json(&event);
            }
            if ended || changed.changed().await.is_err() {
                return;
            }
        }
    };
    Ok(stream.heartbeat(None))
}

/// Counts a request and returns the number of tokens after which its stream breaks, if it does.
fn break_point(shared: &Shared, every: u32) -> Option<u64> {
    let mut received = shared.received.lock().unwrap_or_else(PoisonError::into_inner);
    *received += 1;
    (every > 0 && received.is_multiple_of(every)).then_some(5)
}

#[delete("/v1/completions/<id>")]
fn cancel(app: &State<Arc<Shared>>, id: &str) -> Result<Json<u64>, Status> {
    if app.faults.endpoint(&app.name).refuse {
        return Err(Status::ServiceUnavailable);
    }
    let mut core = app.lock();
    let Some(stream) = core.streams.swap_remove(id) else {
        return Ok(Json(0));
    };
    if stream.is_active() {
        core.cache_prefix(stream.program.clone(), stream.memory(), stream.pin);
    }
    drop(core);
    app.changed.send_modify(|count| *count += 1);
    Ok(Json(stream.next_index()))
}

/// Returns the programs of pinned prefixes and of running streams whose prefix is to be pinned.
fn pinned(core: &Core) -> Vec<ProgramId> {
    let cached = core.cache.iter().filter(|(_, cached)| cached.pinned).map(|(id, _)| id.clone());
    let active =
        core.streams.values().filter(|s| s.pin && s.is_active()).map(|s| s.program.clone());
    cached.chain(active).collect()
}

#[get("/v1/cache")]
fn pins(app: &State<Arc<Shared>>) -> Json<Vec<ProgramId>> {
    Json(pinned(&app.lock()))
}

#[delete("/v1/cache/<program>")]
fn release(app: &State<Arc<Shared>>, program: &str) -> Status {
    if app.faults.endpoint(&app.name).refuse {
        return Status::ServiceUnavailable;
    }
    let mut core = app.lock();
    core.remove_cached(program, false);
    for stream in core.streams.values_mut().filter(|stream| stream.program == program) {
        stream.pin = false;
    }
    Status::Ok
}

/// Returns the text of a complete answer of `length` tokens to a call.
pub fn expected_text(program: &str, call: &str, length: u64) -> String {
    let id = format_compact!("{program}:{call}");
    (0..length).map(|index| format!("{id}#{index} ")).collect()
}
