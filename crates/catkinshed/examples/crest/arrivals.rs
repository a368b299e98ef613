//! Generation of program arrivals from a seed.

use std::time::Duration;

/// Time before the peak.
pub const BEFORE_PEAK: Duration = Duration::from_secs(4);
/// Duration of the peak.
pub const PEAK: Duration = Duration::from_secs(5);
/// Time after the peak.
const AFTER_PEAK: Duration = Duration::from_secs(7);
/// Programs a second outside the peak.
const BASE_RATE: f64 = 4.0;
/// Programs a second during the peak.
const PEAK_RATE: f64 = 40.0;
/// Time to generate a token on a half-full engine.
const TOKEN_TIME: Duration = Duration::from_millis(12);
/// Fraction of the plans that are stragglers, which have one very long turn.
const STRAGGLER_FRACTION: f64 = 0.04;
/// Length of a straggler's long turn, in tokens.
const STRAGGLER_TOKENS: u64 = 1_500;

/// Kind of an agent program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A quick loan question.
    Loan,
    /// A conversation with a foreman.
    Talk,
    /// The planning of crews or routes.
    Plan,
}

impl Kind {
    /// Returns the kind's name, as callers send it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Loan => "loan",
            Self::Talk => "talk",
            Self::Plan => "plan",
        }
    }
}

/// One model turn.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Length of the answer, in tokens.
    pub length: u64,
    /// Maximum length that the caller requests, in tokens.
    pub max_tokens: u64,
    /// Time that a tool takes after the turn.
    pub pause: Duration,
}

/// One arriving program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Time from the start of the run to the arrival.
    pub arrival: Duration,
    /// Kind of the program.
    pub kind: Kind,
    /// Index of the team, 0 or 1.
    pub team: usize,
    /// Length of the first prompt, in tokens.
    pub prompt: usize,
    /// Turns, in order.
    pub turns: Vec<Turn>,
}

impl Program {
    /// Returns whether the program arrives during the peak.
    pub fn at_peak(&self) -> bool {
        (BEFORE_PEAK..BEFORE_PEAK + PEAK).contains(&self.arrival)
    }

    /// Returns the target latency, up to which the program's users count as served well: the
    /// pauses, plus twice the time that the turns take on half-full engines.
    pub fn target(&self) -> Duration {
        let tokens: u64 = self.turns.iter().map(|turn| turn.length).sum();
        let pauses: Duration = self.turns.iter().map(|turn| turn.pause).sum();
        pauses + (TOKEN_TIME * tokens as u32 + Duration::from_millis(200)) * 2
    }
}

/// Generates the programs of one run, in order of arrival.
pub fn generate(seed: u64) -> Vec<Program> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut programs = Vec::new();
    let mut arrival = Duration::ZERO;
    while arrival < BEFORE_PEAK + PEAK + AFTER_PEAK {
        let at_peak = (BEFORE_PEAK..BEFORE_PEAK + PEAK).contains(&arrival);
        let rate = if at_peak { PEAK_RATE } else { BASE_RATE };
        programs.push(generate_program(arrival, &mut rng));
        let gap = -(1.0 - rng.f64()).ln() / rate;
        arrival += Duration::from_secs_f64(gap.min(1.0));
    }
    programs
}

/// Generates one program that arrives at a given time.
fn generate_program(arrival: Duration, rng: &mut fastrand::Rng) -> Program {
    let kind = match rng.u32(..100) {
        0..60 => Kind::Loan,
        60..85 => Kind::Talk,
        _ => Kind::Plan,
    };
    let (turns, lengths, max_tokens, pauses, prompt) = match kind {
        Kind::Loan => (2, 5..20, 512, 50..150, 20..60),
        Kind::Talk => (4, 20..60, 1_024, 100..400, 60..200),
        Kind::Plan => (6, 60..200, 2_048, 100..300, 200..600),
    };
    let mut turns: Vec<Turn> = (0..turns)
        .map(|_| Turn {
            length: rng.u64(lengths.clone()),
            max_tokens,
            pause: Duration::from_millis(rng.u64(pauses.clone())),
        })
        .collect();
    if kind == Kind::Plan && rng.f64() < STRAGGLER_FRACTION {
        turns[2].length = STRAGGLER_TOKENS;
    }
    Program { arrival, kind, team: rng.usize(..2), prompt: rng.usize(prompt), turns }
}
