//! A small model of model engines and of programs that come faster than the engines can serve.
//!
//! Time passes in steps. An engine works on `slots` turns at once and shares itself between them, so a
//! full one serves each turn more slowly; further turns queue, and beyond the queue it rejects. A
//! program is a chain of turns with pauses; it ends in time within a factor of what it takes on idle
//! engines. A turn that is turned away comes back when it was told to, or at once where clients do not
//! obey, and fails for good after some tries. Bookings go through one [`Bookings`], as with a
//! coordinator.

use fastrand::Rng;
use indexmap::IndexMap;
use sched::admission::{Limits, Stage};
use sched::coordinator::{Bookings, End, Outcome, Request};
use sched::fleet::{Fleet, Registration, State};
use std::time::{Duration, Instant};

/// Length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Delay of a turn by each neighbour in its engine's batch, as a share of its work.
const NEIGHBOUR: f64 = 0.05;
/// Tries of one turn before its program fails.
const MAX_TRIES: u32 = 6;
/// Pause before a client that does not obey, or was not told when, comes back.
const COME_BACK: Duration = Duration::from_millis(60);
/// Time after which a client leaves an engine that has not answered.
const PATIENCE: Duration = Duration::from_secs(4);
/// Length of a window in which outcomes are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Engines.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Turns that an engine queues.
    pub queue: usize,
    /// Work of a turn on an idle engine, on average.
    pub turn: Duration,
    /// Pause between turns.
    pub pause: Duration,
    /// Most turns of a program.
    pub turns: u32,
    /// Programs that begin in a second, by the seconds from the start and the factor.
    pub rate: fn(f64, f64) -> f64,
    /// Factor of the usual load at its worst.
    pub factor: f64,
    /// How long programs begin.
    pub lasts: Duration,
    /// When half of the engines are lost, if ever.
    pub lost_at: Option<Duration>,
    /// Whether clients wait for as long as they are told.
    pub obedient: bool,
    /// Loads up to which requests are taken on.
    pub limits: Limits,
    /// Seed of what is drawn.
    pub seed: u64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            engines: 9,
            slots: 16,
            queue: 24,
            turn: Duration::from_millis(150),
            pause: Duration::from_millis(100),
            turns: 9,
            rate: |_, factor| 30.0 * factor,
            factor: 1.0,
            lasts: Duration::from_secs(20),
            lost_at: None,
            obedient: true,
            limits: Limits::default(),
            seed: 1,
        }
    }
}

/// What became of the programs that began in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Programs that began.
    pub begun: u32,
    /// Of them, those that ended in time.
    pub in_time: u32,
    /// Those that ended late.
    pub late: u32,
    /// Those that were never let in.
    pub refused: u32,
    /// Those that failed after they were let in.
    pub failed: u32,
    /// Those that ended in time or late although they were turned away first.
    pub returned: u32,
}

/// How a day went.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Outcomes by the window in which programs began.
    pub windows: Vec<Count>,
    /// Rejections by engines.
    pub rejected: u32,
    /// Most turns that came back in one tenth of a second.
    pub returns_peak: u32,
}

impl Outcomes {
    /// Programs that began from `from` until `until` and ended in time, per second.
    pub fn goodput(&self, from: usize, until: usize) -> f64 {
        let sum: u32 = self.windows[from..until].iter().map(|count| count.in_time).sum();
        f64::from(sum) / (until - from) as f64
    }

    /// Sums over windows.
    pub fn sum(&self, from: usize, until: usize) -> Count {
        self.windows[from..until].iter().fold(Count::default(), |sum, count| Count {
            begun: sum.begun + count.begun,
            in_time: sum.in_time + count.in_time,
            late: sum.late + count.late,
            refused: sum.refused + count.refused,
            failed: sum.failed + count.failed,
            returned: sum.returned + count.returned,
        })
    }
}

#[derive(Clone, Debug)]
struct Program {
    name: String,
    window: usize,
    /// Turns that are left.
    turns: u32,
    due: Instant,
    let_in: bool,
    turned_away: bool,
    tries: u32,
    /// Number of requests, which names each of them.
    requests: u32,
}

#[derive(Clone, Debug)]
struct Turn {
    program: usize,
    request: String,
    /// Work that is left, in seconds on an idle engine.
    work: f64,
    since: Instant,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: Vec<Turn>,
    queued: Vec<Turn>,
    lost: bool,
}

struct Play {
    scene: Scene,
    rng: Rng,
    fleet: Fleet,
    board: Bookings,
    engines: Vec<Engine>,
    programs: Vec<Program>,
    /// Programs whose next turn is sent at a time.
    waiting: Vec<(Instant, usize)>,
    outcomes: Outcomes,
}

/// Plays a scene.
pub fn play(scene: Scene) -> Outcomes {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    (0..scene.engines).for_each(|number| fleet.register(registration(number, scene.slots)));
    let windows = scene.lasts.div_duration_f64(WINDOW).ceil() as usize;
    let mut play = Play {
        rng: Rng::with_seed(scene.seed),
        board: Bookings::new(scene.limits),
        engines: vec![Engine::default(); scene.engines],
        outcomes: Outcomes { windows: vec![Count::default(); windows], ..Outcomes::default() },
        programs: Vec::new(),
        waiting: Vec::new(),
        fleet,
        scene,
    };
    let mut returns = IndexMap::new();
    let mut step = 0;
    while play.is_under_way(STEP * step) {
        let (passed, now) = (STEP * step, start + STEP * step);
        if play.scene.lost_at == Some(passed) {
            play.lose_half(now);
        }
        play.arrive(passed, now);
        let returned = play.send_waiting(now);
        *returns.entry(step / 20).or_insert(0) += returned;
        play.work(now);
        play.board.sweep(now);
        step += 1;
    }
    play.outcomes.returns_peak = returns.into_values().max().unwrap_or_default();
    play.outcomes
}

fn registration(number: usize, slots: u32) -> Registration {
    Registration {
        id: format!("e{number}").into(),
        service: "models".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        dc: "dc".into(),
        slots,
        state: State::Ready,
        incarnation: 1,
    }
}

impl Play {
    fn is_under_way(&self, passed: Duration) -> bool {
        let busy = !self.waiting.is_empty()
            || self.engines.iter().any(|engine| !engine.running.is_empty());
        passed < self.scene.lasts || (busy && passed < self.scene.lasts * 3)
    }

    fn lose_half(&mut self, now: Instant) {
        for number in 0..self.engines.len() / 2 {
            let engine = std::mem::take(&mut self.engines[number]);
            self.engines[number].lost = true;
            self.fleet.deregister(&format!("e{number}"), now - Duration::from_secs(60));
            for turn in engine.running.into_iter().chain(engine.queued) {
                self.board.release(&turn.request, &format!("e{number}"), End::Failed, now);
                self.come_back(turn.program, None, now);
            }
        }
    }

    /// Begins programs.
    fn arrive(&mut self, passed: Duration, now: Instant) {
        if passed >= self.scene.lasts {
            return;
        }
        let rate = (self.scene.rate)(passed.as_secs_f64(), self.scene.factor);
        let expected = rate * STEP.as_secs_f64();
        let count = expected as u32 + u32::from(self.rng.f64() < expected.fract());
        for _ in 0..count {
            let turns = 1 + self.rng.u32(..self.scene.turns);
            let idle = (self.scene.turn + self.scene.pause) * turns;
            let window = passed.div_duration_f64(WINDOW) as usize;
            self.outcomes.windows[window].begun += 1;
            self.programs.push(Program {
                name: format!("p{}", self.programs.len()),
                due: now + idle.mul_f64(1.5) + Duration::from_millis(250),
                let_in: false,
                turned_away: false,
                tries: 0,
                requests: 0,
                window,
                turns,
            });
            self.send(self.programs.len() - 1, now);
        }
    }

    /// Sends turns whose time has come; returns how many come back after they were turned away.
    fn send_waiting(&mut self, now: Instant) -> u32 {
        let (due, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(at, _)| *at <= now);
        self.waiting = waiting;
        let due: Vec<(Instant, usize)> = due;
        let returned = due.iter().filter(|(_, number)| self.programs[*number].tries > 0).count();
        for (_, number) in due {
            self.send(number, now);
        }
        returned as u32
    }

    fn send(&mut self, number: usize, now: Instant) {
        let program = &mut self.programs[number];
        program.requests += 1;
        let request = format!("{}-{}", program.name, program.requests);
        let ask = Request {
            id: request.as_str().into(),
            program: Some(program.name.as_str().into()),
            service: "models".into(),
            stage: if program.let_in { Stage::Continues } else { Stage::Begins },
            time_left: Some(program.due.saturating_duration_since(now)),
            prompt: Vec::new(),
            memory: 0,
            avoid: Vec::new(),
        };
        let booking = match self.board.book(&self.fleet, "dc", &ask, now) {
            Outcome::Booked(booking) => booking,
            Outcome::Refused(refusal) => {
                let told = self.scene.obedient.then_some(refusal.retry_after);
                return self.come_back(number, told, now);
            }
            Outcome::NoEndpoint => return self.come_back(number, None, now),
        };
        let spread = 0.5 + self.rng.f64();
        let work = self.scene.turn.as_secs_f64() * spread;
        let at: usize = booking.endpoint[1..].parse().expect("an engine of the scene");
        let engine = &mut self.engines[at];
        if engine.queued.len() >= self.scene.queue {
            self.outcomes.rejected += 1;
            self.board.release(&request, &booking.endpoint, End::Done, now);
            return self.come_back(number, None, now);
        }
        engine.queued.push(Turn { program: number, request, work, since: now });
    }

    /// Lets a turn come back later, or fails its program.
    fn come_back(&mut self, number: usize, told: Option<Duration>, now: Instant) {
        let program = &mut self.programs[number];
        program.tries += 1;
        program.turned_away |= !program.let_in;
        let count = &mut self.outcomes.windows[program.window];
        match (program.tries < MAX_TRIES, program.let_in) {
            (true, _) => self.waiting.push((now + told.unwrap_or(COME_BACK), number)),
            (false, true) => count.failed += 1,
            (false, false) => count.refused += 1,
        }
    }

    /// Lets the engines work for one step.
    fn work(&mut self, now: Instant) {
        let slots = self.scene.slots as usize;
        let mut left = Vec::new();
        let mut ended = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let gone = |turn: &Turn| now.duration_since(turn.since) > PATIENCE;
            let (late, queued) = std::mem::take(&mut engine.queued).into_iter().partition(gone);
            engine.queued = queued;
            left.extend(Vec::into_iter(late).map(|turn: Turn| (number, turn)));
            while engine.running.len() < slots && !engine.queued.is_empty() && !engine.lost {
                engine.running.push(engine.queued.remove(0));
            }
            let neighbours = engine.running.len().saturating_sub(1) as f64;
            let pace = STEP.as_secs_f64() / (1.0 + NEIGHBOUR * neighbours);
            engine.running.iter_mut().for_each(|turn| turn.work -= pace);
            let done = |turn: &Turn| turn.work <= 0.0;
            let (done, running) = std::mem::take(&mut engine.running).into_iter().partition(done);
            engine.running = running;
            ended.extend(Vec::into_iter(done).map(|turn: Turn| (number, turn)));
        }
        for (number, turn) in left {
            self.board.release(&turn.request, &format!("e{number}"), End::Failed, now);
            self.come_back(turn.program, None, now);
        }
        for (number, turn) in ended {
            self.board.release(&turn.request, &format!("e{number}"), End::Done, now);
            self.end_turn(turn.program, now);
        }
    }

    fn end_turn(&mut self, number: usize, now: Instant) {
        let pause = self.scene.pause;
        let program = &mut self.programs[number];
        program.let_in = true;
        program.tries = 0;
        program.turns -= 1;
        if program.turns > 0 {
            self.waiting.push((now + pause, number));
            return;
        }
        let count = &mut self.outcomes.windows[program.window];
        match now <= program.due {
            true => count.in_time += 1,
            false => count.late += 1,
        }
        count.returned += u32::from(program.turned_away);
    }
}
