//! Simulation of model engines under more load than they can serve.
//!
//! Time advances in steps. An engine runs up to `slots` turns as one batch, and a turn takes longer
//! the more turns run; further turns wait in a queue of limited length, and an engine whose queue
//! is full rejects them. A program is a chain of turns with pauses; it has to end within a multiple
//! of its duration on idle engines. A turn that is refused is retried after the delay in the
//! refusal; a turn that is rejected, or whose client does not honor the delay, is retried after a
//! short fixed delay. After several failed attempts its program fails. All engines are booked
//! through one [`Bookings`], as a coordinator does.

use fastrand::Rng;
use indexmap::IndexMap;
use sched::admission::{Limits, Stage};
use sched::coordinator::{Bookings, End, Group, Outcome, Request};
use sched::fleet::{Fleet, Registration, State};
use std::time::{Duration, Instant};

/// The engines of a simulation.
const GROUP: Group<'static> = Group { dc: "dc", share: 1.0 };
/// Duration of a simulation step.
const STEP: Duration = Duration::from_millis(5);
/// Fraction by which each other turn in the batch extends the duration of a turn.
const BATCH_SLOWDOWN: f64 = 0.05;
/// Number of failed attempts of one turn after which its program fails.
const MAX_ATTEMPTS: u32 = 6;
/// Retry delay of a client that was given none or does not honor it.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time in an engine's queue after which a client gives up the attempt.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(4);
/// Length of the windows in which outcomes are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of engines.
    pub engines: usize,
    /// Maximum number of turns that an engine runs concurrently.
    pub slots: u32,
    /// Maximum number of turns in the queue of an engine.
    pub max_queued: usize,
    /// Mean duration of a turn on an idle engine.
    pub turn: Duration,
    /// Pause between the turns of a program.
    pub pause: Duration,
    /// Maximum number of turns of a program.
    pub max_turns: u32,
    /// Rate at which programs begin, per second, given the seconds since the start and `factor`.
    pub rate: fn(f64, f64) -> f64,
    /// Peak load as a multiple of the usual load.
    pub factor: f64,
    /// Time during which programs begin.
    pub duration: Duration,
    /// Time at which half of the engines fail, if any.
    pub outage_at: Option<Duration>,
    /// Whether clients honor the retry delay of a refusal.
    pub honor_retry_delay: bool,
    /// Relative rates of the customers, given the seconds since the start; empty for none.
    pub customers: fn(f64) -> Vec<f64>,
    /// Loads below which requests are admitted.
    pub limits: Limits,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            engines: 9,
            slots: 16,
            max_queued: 24,
            turn: Duration::from_millis(150),
            pause: Duration::from_millis(100),
            max_turns: 9,
            rate: |_, factor| 30.0 * factor,
            factor: 1.0,
            duration: Duration::from_secs(20),
            outage_at: None,
            honor_retry_delay: true,
            customers: |_| Vec::new(),
            limits: Limits::default(),
            seed: 1,
        }
    }
}

/// Outcomes of the programs that began in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of programs that began.
    pub begun: u32,
    /// Number of programs that ended before their deadline.
    pub in_time: u32,
    /// Number of programs that ended after their deadline.
    pub late: u32,
    /// Number of programs that failed before their first turn was served.
    pub refused: u32,
    /// Number of programs that failed after their first turn was served.
    pub failed: u32,
    /// Number of programs that ended although an attempt of their first turn had failed.
    pub ended_after_retry: u32,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Outcomes by the window in which the programs began.
    pub windows: Vec<Count>,
    /// Outcomes by customer and window.
    pub customers: Vec<Vec<Count>>,
    /// Number of turns that engines rejected because their queue was full.
    pub rejected: u32,
    /// Maximum number of retries within a tenth of a second.
    pub peak_retries: u32,
}

impl Outcomes {
    /// Returns the rate of programs, per second, that began in the windows from `from` to before
    /// `until` and ended before their deadline.
    pub fn goodput(&self, from: usize, until: usize) -> f64 {
        let sum: u32 = self.windows[from..until].iter().map(|count| count.in_time).sum();
        f64::from(sum) / (until - from) as f64
    }

    /// Returns the sums over the windows from `from` to before `until`.
    pub fn sum(&self, from: usize, until: usize) -> Count {
        self.windows[from..until].iter().fold(Count::default(), |sum, count| Count {
            begun: sum.begun + count.begun,
            in_time: sum.in_time + count.in_time,
            late: sum.late + count.late,
            refused: sum.refused + count.refused,
            failed: sum.failed + count.failed,
            ended_after_retry: sum.ended_after_retry + count.ended_after_retry,
        })
    }
}

#[derive(Clone, Debug)]
struct Program {
    name: String,
    customer: Option<usize>,
    window: usize,
    remaining_turns: u32,
    deadline: Instant,
    /// Whether its first turn was served.
    started: bool,
    /// Whether an attempt of its first turn failed.
    retried_start: bool,
    /// Failed attempts of the current turn.
    failed_attempts: u32,
    /// Number of requests sent so far, which makes the id of each request unique.
    requests: u32,
}

#[derive(Clone, Debug)]
struct Turn {
    program: usize,
    request: String,
    /// Remaining duration on an idle engine, in seconds.
    remaining_s: f64,
    queued_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: Vec<Turn>,
    queued: Vec<Turn>,
    failed: bool,
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    fleet: Fleet,
    bookings: Bookings,
    engines: Vec<Engine>,
    programs: Vec<Program>,
    /// Programs with the time at which their next turn is sent.
    waiting: Vec<(Instant, usize)>,
    outcomes: Outcomes,
}

/// Runs a simulation until all programs have ended, or up to three times its duration.
pub fn simulate(scenario: Scenario) -> Outcomes {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    (0..scenario.engines).for_each(|number| fleet.register(registration(number, scenario.slots)));
    let windows = scenario.duration.div_duration_f64(WINDOW).ceil() as usize;
    let mut simulation = Simulation {
        rng: Rng::with_seed(scenario.seed),
        bookings: Bookings::new(scenario.limits),
        engines: vec![Engine::default(); scenario.engines],
        outcomes: Outcomes { windows: vec![Count::default(); windows], ..Outcomes::default() },
        programs: Vec::new(),
        waiting: Vec::new(),
        fleet,
        scenario,
    };
    let mut retries = IndexMap::new();
    let mut step = 0;
    while simulation.is_running(STEP * step) {
        let (elapsed, now) = (STEP * step, start + STEP * step);
        if simulation.scenario.outage_at == Some(elapsed) {
            simulation.fail_half(now);
        }
        simulation.start_programs(elapsed, now);
        let sent_retries = simulation.send_waiting(now);
        *retries.entry(step / 20).or_insert(0) += sent_retries;
        simulation.run_engines(now);
        simulation.bookings.sweep(now);
        step += 1;
    }
    simulation.outcomes.peak_retries = retries.into_values().max().unwrap_or_default();
    simulation.outcomes
}

fn registration(number: usize, slots: u32) -> Registration {
    Registration {
        id: format!("e{number}").into(),
        service: "models".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        dc: "dc".into(),
        slots,
        version: "v1".into(),
        state: State::Ready,
        incarnation: 1,
    }
}

impl Simulation {
    fn is_running(&self, elapsed: Duration) -> bool {
        let busy = !self.waiting.is_empty()
            || self.engines.iter().any(|engine| !engine.running.is_empty());
        elapsed < self.scenario.duration || (busy && elapsed < self.scenario.duration * 3)
    }

    /// Fails half of the engines and all turns on them.
    fn fail_half(&mut self, now: Instant) {
        for number in 0..self.engines.len() / 2 {
            let engine = std::mem::take(&mut self.engines[number]);
            self.engines[number].failed = true;
            self.fleet.deregister(&format!("e{number}"), now - Duration::from_secs(60));
            for turn in engine.running.into_iter().chain(engine.queued) {
                self.bookings.release(&turn.request, &format!("e{number}"), End::Failed, now);
                self.retry_or_fail(turn.program, None, now);
            }
        }
    }

    /// Counts the outcome of a program.
    fn count(&mut self, window: usize, customer: Option<usize>, update: impl Fn(&mut Count)) {
        update(&mut self.outcomes.windows[window]);
        if let Some(customer) = customer {
            let (customers, windows) = (&mut self.outcomes.customers, self.outcomes.windows.len());
            customers
                .resize_with(customers.len().max(customer + 1), || vec![Count::default(); windows]);
            update(&mut customers[customer][window]);
        }
    }

    /// Draws the customer of a program.
    fn draw_customer(&mut self, elapsed: Duration) -> Option<usize> {
        let rates = (self.scenario.customers)(elapsed.as_secs_f64());
        let mut point = rates.iter().sum::<f64>();
        if rates.is_empty() {
            return None;
        }
        point *= self.rng.f64();
        rates.iter().position(|rate| {
            point -= rate;
            point < 0.0
        })
    }

    /// Starts the programs that begin in this step.
    fn start_programs(&mut self, elapsed: Duration, now: Instant) {
        if elapsed >= self.scenario.duration {
            return;
        }
        let rate = (self.scenario.rate)(elapsed.as_secs_f64(), self.scenario.factor);
        let expected = rate * STEP.as_secs_f64();
        let count = expected as u32 + u32::from(self.rng.f64() < expected.fract());
        for _ in 0..count {
            let turns = 1 + self.rng.u32(..self.scenario.max_turns);
            let idle_duration = (self.scenario.turn + self.scenario.pause) * turns;
            let window = elapsed.div_duration_f64(WINDOW) as usize;
            let customer = self.draw_customer(elapsed);
            self.count(window, customer, |count| count.begun += 1);
            self.programs.push(Program {
                customer,
                name: format!("p{}", self.programs.len()),
                deadline: now + idle_duration.mul_f64(1.5) + Duration::from_millis(250),
                started: false,
                retried_start: false,
                failed_attempts: 0,
                requests: 0,
                window,
                remaining_turns: turns,
            });
            self.send(self.programs.len() - 1, now);
        }
    }

    /// Sends the turns that are due and returns how many of them are retries.
    fn send_waiting(&mut self, now: Instant) -> u32 {
        let (due, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(at, _)| *at <= now);
        self.waiting = waiting;
        let due: Vec<(Instant, usize)> = due;
        let retries =
            due.iter().filter(|(_, number)| self.programs[*number].failed_attempts > 0).count();
        for (_, number) in due {
            self.send(number, now);
        }
        retries as u32
    }

    /// Books an engine for the next turn of a program and queues the turn there.
    fn send(&mut self, number: usize, now: Instant) {
        let program = &mut self.programs[number];
        program.requests += 1;
        let request = format!("{}-{}", program.name, program.requests);
        let booking_request = Request {
            id: request.as_str().into(),
            program: Some(program.name.as_str().into()),
            service: "models".into(),
            stage: if program.started { Stage::Continues } else { Stage::Begins },
            time_left: Some(program.deadline.saturating_duration_since(now)),
            prompt: Vec::new(),
            memory: 0,
            avoid: Vec::new(),
            only: None,
            version: None,
            object: None,
            customer: program.customer.map(|customer| format!("c{customer}").into()),
            charge: None,
            is_borrowed: false,
        };
        let booking = match self.bookings.book(&self.fleet, GROUP, &booking_request, now) {
            Outcome::Booked(booking) => booking,
            Outcome::Refused(refusal) => {
                let retry_after = self.scenario.honor_retry_delay.then_some(refusal.retry_after);
                return self.retry_or_fail(number, retry_after, now);
            }
            Outcome::NoEndpoint | Outcome::Denied(_) => {
                return self.retry_or_fail(number, None, now);
            }
        };
        let spread = 0.5 + self.rng.f64();
        let remaining_s = self.scenario.turn.as_secs_f64() * spread;
        let index: usize =
            booking.endpoint[1..].parse().expect("the engine id does not end in a number");
        let engine = &mut self.engines[index];
        if engine.queued.len() >= self.scenario.max_queued {
            self.outcomes.rejected += 1;
            self.bookings.release(&request, &booking.endpoint, End::Done, now);
            return self.retry_or_fail(number, None, now);
        }
        engine.queued.push(Turn { program: number, request, remaining_s, queued_at: now });
    }

    /// Schedules a retry of a turn, or fails its program after too many attempts.
    fn retry_or_fail(&mut self, number: usize, retry_after: Option<Duration>, now: Instant) {
        let program = &mut self.programs[number];
        program.failed_attempts += 1;
        program.retried_start |= !program.started;
        let (window, customer) = (program.window, program.customer);
        match (program.failed_attempts < MAX_ATTEMPTS, program.started) {
            (true, _) => {
                self.waiting.push((now + retry_after.unwrap_or(DEFAULT_RETRY_DELAY), number))
            }
            (false, true) => self.count(window, customer, |count| count.failed += 1),
            (false, false) => self.count(window, customer, |count| count.refused += 1),
        }
    }

    /// Runs the engines for one step.
    fn run_engines(&mut self, now: Instant) {
        let slots = self.scenario.slots as usize;
        let mut timed_out = Vec::new();
        let mut done_turns = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let has_timed_out = |turn: &Turn| now.duration_since(turn.queued_at) > QUEUE_TIMEOUT;
            let (expired, queued) =
                std::mem::take(&mut engine.queued).into_iter().partition(has_timed_out);
            engine.queued = queued;
            timed_out.extend(Vec::into_iter(expired).map(|turn: Turn| (number, turn)));
            while engine.running.len() < slots && !engine.queued.is_empty() && !engine.failed {
                engine.running.push(engine.queued.remove(0));
            }
            let other_turns = engine.running.len().saturating_sub(1) as f64;
            let progress = STEP.as_secs_f64() / (1.0 + BATCH_SLOWDOWN * other_turns);
            engine.running.iter_mut().for_each(|turn| turn.remaining_s -= progress);
            let is_done = |turn: &Turn| turn.remaining_s <= 0.0;
            let (done, running) =
                std::mem::take(&mut engine.running).into_iter().partition(is_done);
            engine.running = running;
            done_turns.extend(Vec::into_iter(done).map(|turn: Turn| (number, turn)));
        }
        for (number, turn) in timed_out {
            self.bookings.release(&turn.request, &format!("e{number}"), End::Failed, now);
            self.retry_or_fail(turn.program, None, now);
        }
        for (number, turn) in done_turns {
            self.bookings.release(&turn.request, &format!("e{number}"), End::Done, now);
            self.end_turn(turn.program, now);
        }
    }

    /// Ends a turn; schedules the next one or counts the outcome of the program.
    fn end_turn(&mut self, number: usize, now: Instant) {
        let pause = self.scenario.pause;
        let program = &mut self.programs[number];
        program.started = true;
        program.failed_attempts = 0;
        program.remaining_turns -= 1;
        if program.remaining_turns > 0 {
            self.waiting.push((now + pause, number));
            return;
        }
        let (in_time, retried) = (now <= program.deadline, program.retried_start);
        let (window, customer) = (program.window, program.customer);
        self.count(window, customer, |count| {
            count.in_time += u32::from(in_time);
            count.late += u32::from(!in_time);
            count.ended_after_retry += u32::from(retried);
        });
    }
}
