//! Seeded arrivals of programs.

use std::time::Duration;

/// Time before the crest.
pub const BEFORE: Duration = Duration::from_secs(4);
/// Length of the crest.
pub const CREST: Duration = Duration::from_secs(5);
/// Time after the crest.
const AFTER: Duration = Duration::from_secs(7);
/// Programs a second outside the crest.
const USUAL_RATE: f64 = 4.0;
/// Programs a second at the crest.
const CREST_RATE: f64 = 40.0;
/// Time that a token takes on a half-full engine.
const FAIR_TOKEN: Duration = Duration::from_millis(12);
/// Part of the plans that have one very long turn.
const STRAGGLERS: f64 = 0.04;
/// Tokens of a straggler's long turn.
const STRAGGLER_TOKENS: u64 = 1_500;

/// Kind of program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A quick loan question.
    Loan,
    /// A talk with a foreman.
    Talk,
    /// A crew or route plan.
    Plan,
}

impl Kind {
    /// Name of the kind.
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
    /// Tokens of the answer.
    pub length: u64,
    /// Tokens that the caller asks for.
    pub asked: u64,
    /// Pause for a tool after the turn.
    pub pause: Duration,
}

/// One program.
#[derive(Clone, Debug)]
pub struct Program {
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// What it does.
    pub kind: Kind,
    /// Team, by its number.
    pub team: usize,
    /// Tokens of its first prompt.
    pub prompt: usize,
    /// Its turns.
    pub turns: Vec<Turn>,
}

impl Program {
    /// Tells whether it arrives at the crest.
    pub fn at_crest(&self) -> bool {
        (BEFORE..BEFORE + CREST).contains(&self.at)
    }

    /// Latency within which its users are served well: twice that on half-full engines.
    pub fn target(&self) -> Duration {
        let tokens: u64 = self.turns.iter().map(|turn| turn.length).sum();
        let pauses: Duration = self.turns.iter().map(|turn| turn.pause).sum();
        pauses + (FAIR_TOKEN * tokens as u32 + Duration::from_millis(200)) * 2
    }
}

/// Draws the arrivals of one run.
pub fn draw(seed: u64) -> Vec<Program> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut programs = Vec::new();
    let mut at = Duration::ZERO;
    while at < BEFORE + CREST + AFTER {
        let crest = (BEFORE..BEFORE + CREST).contains(&at);
        let rate = if crest { CREST_RATE } else { USUAL_RATE };
        programs.push(program(at, &mut rng));
        let gap = -(1.0 - rng.f64()).ln() / rate;
        at += Duration::from_secs_f64(gap.min(1.0));
    }
    programs
}

fn program(at: Duration, rng: &mut fastrand::Rng) -> Program {
    let kind = match rng.u32(..100) {
        0..60 => Kind::Loan,
        60..85 => Kind::Talk,
        _ => Kind::Plan,
    };
    let (turns, lengths, asked, pauses, prompt) = match kind {
        Kind::Loan => (2, 5..20, 512, 50..150, 20..60),
        Kind::Talk => (4, 20..60, 1_024, 100..400, 60..200),
        Kind::Plan => (6, 60..200, 2_048, 100..300, 200..600),
    };
    let mut turns: Vec<Turn> = (0..turns)
        .map(|_| Turn {
            length: rng.u64(lengths.clone()),
            asked,
            pause: Duration::from_millis(rng.u64(pauses.clone())),
        })
        .collect();
    if kind == Kind::Plan && rng.f64() < STRAGGLERS {
        turns[2].length = STRAGGLER_TOKENS;
    }
    Program { at, kind, team: rng.usize(..2), prompt: rng.usize(prompt), turns }
}
