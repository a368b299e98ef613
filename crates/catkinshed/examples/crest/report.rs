//! Figures of runs.

use crate::arrivals::{Kind, Program};
use caller::client::Answer;
use sched::queue::Policy;
use serde::Serialize;
use std::time::Duration;
use testing::engine::Stats;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// A swing of demand alone.
    Calm,
    /// A swing of demand, with one daemon lost at the crest.
    Swing,
    /// A swing of demand, with one engine in ten slowed.
    Slowed,
}

/// What one program met.
#[derive(Clone, Debug)]
pub struct Sample {
    kind: Kind,
    team: usize,
    at_crest: bool,
    target: Duration,
    latency: Option<Duration>,
    first: Vec<Duration>,
    repeated: u32,
    queued: Duration,
    started: Duration,
    decoded: Duration,
}

impl Sample {
    /// Starts a sample.
    pub fn new(program: &Program) -> Self {
        Self {
            kind: program.kind,
            team: program.team,
            at_crest: program.at_crest(),
            target: program.target(),
            latency: None,
            first: Vec::new(),
            repeated: 0,
            queued: Duration::ZERO,
            started: Duration::ZERO,
            decoded: Duration::ZERO,
        }
    }

    /// Adds a turn.
    pub fn add_turn(&mut self, answer: &Answer) {
        self.first.push(answer.time_to_first_text);
        self.repeated += answer.retries;
        let queued =
            Duration::from_secs_f64(answer.end.queued_ms / 1e3).min(answer.time_to_first_text);
        self.queued += queued;
        self.started += answer.time_to_first_text - queued;
        self.decoded += answer.total_time - answer.time_to_first_text;
    }

    /// Ends the sample.
    pub fn finish(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }

    fn inside(&self) -> bool {
        self.latency.is_some_and(|latency| latency <= self.target)
    }

    fn slowdown(&self) -> f64 {
        let latency = self.latency.unwrap_or(self.target * 10);
        latency.as_secs_f64() / self.target.as_secs_f64()
    }
}

/// Figures of one run; times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Policy.
    pub policy: Policy,
    /// What happened.
    pub scenario: Scenario,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Programs that arrived.
    pub programs: usize,
    /// Programs that did not end with an answer.
    pub failed: usize,
    /// Requests that clients repeated.
    pub repeated: u32,
    /// Program latency: median, 95th and 99th percentile.
    pub latency: [f64; 3],
    /// Latency of the programs that arrived at the crest: median, 95th and 99th percentile.
    pub crest: [f64; 3],
    /// Share of the crest's programs inside their target.
    pub inside: f64,
    /// Wait of loan questions for their first token: median and 99th percentile.
    pub short_wait: [f64; 2],
    /// Cached tokens times seconds that were held and not used.
    pub held_unused: f64,
    /// Prompt tokens computed again.
    pub recomputed: u64,
    /// Jain's index of the teams' mean slowdown; 1 is even.
    pub fairness: f64,
    /// Where a plan's time went: mean wait in daemons' queues, from the order to the first token,
    /// and from there to the last.
    pub plan: [f64; 3],
    /// All latencies, sorted.
    pub latencies: Vec<f64>,
}

impl Run {
    /// Computes the figures of a run.
    pub fn new(
        policy: Policy,
        scenario: Scenario,
        seed: u64,
        samples: Vec<Sample>,
        tally: &Stats,
    ) -> Self {
        let latencies = sorted(samples.iter().filter_map(|sample| sample.latency));
        let crest: Vec<&Sample> = samples.iter().filter(|sample| sample.at_crest).collect();
        let crest_latencies = sorted(crest.iter().filter_map(|sample| sample.latency));
        let loans = samples.iter().filter(|sample| sample.kind == Kind::Loan);
        let waits = sorted(loans.flat_map(|sample| sample.first.iter().copied()));
        let inside = crest.iter().filter(|sample| sample.inside()).count();
        Self {
            policy,
            scenario,
            seed,
            programs: samples.len(),
            failed: samples.iter().filter(|sample| sample.latency.is_none()).count(),
            repeated: samples.iter().map(|sample| sample.repeated).sum(),
            latency: [0.5, 0.95, 0.99].map(|part| quantile(&latencies, part)),
            crest: [0.5, 0.95, 0.99].map(|part| quantile(&crest_latencies, part)),
            inside: inside as f64 / crest.len().max(1) as f64,
            short_wait: [0.5, 0.99].map(|part| quantile(&waits, part)),
            held_unused: tally.held_unused,
            recomputed: tally.recomputed,
            fairness: fairness(&samples),
            plan: [|s: &Sample| s.queued, |s: &Sample| s.started, |s: &Sample| s.decoded]
                .map(|part| mean_of_plans(&samples, part)),
            latencies,
        }
    }

    /// Shows the run in one line.
    pub fn line(&self) -> String {
        format!(
            "{:?} {:?} seed {}: {} programs, {} failed, {} repeated; latency {:.0}/{:.0}/{:.0} ms, \
             crest {:.0}/{:.0}/{:.0} ms, inside {:.2}, short wait {:.0}/{:.0} ms, held {:.0}, \
             recomputed {}, fairness {:.3}",
            self.policy,
            self.scenario,
            self.seed,
            self.programs,
            self.failed,
            self.repeated,
            self.latency[0],
            self.latency[1],
            self.latency[2],
            self.crest[0],
            self.crest[1],
            self.crest[2],
            self.inside,
            self.short_wait[0],
            self.short_wait[1],
            self.held_unused,
            self.recomputed,
            self.fairness
        )
    }
}

/// Figures of all runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The runs.
    pub runs: Vec<Run>,
}

/// Names a figure and reads it from a run.
type Figure = (&'static str, fn(&Run) -> f64);

const FIGURES: [Figure; 15] = [
    ("latency p50 ms", |run| run.latency[0]),
    ("latency p95 ms", |run| run.latency[1]),
    ("latency p99 ms", |run| run.latency[2]),
    ("crest p50 ms", |run| run.crest[0]),
    ("crest p95 ms", |run| run.crest[1]),
    ("inside target", |run| run.inside),
    ("short wait p50 ms", |run| run.short_wait[0]),
    ("short wait p99 ms", |run| run.short_wait[1]),
    ("held unused token-s", |run| run.held_unused),
    ("recomputed tokens", |run| run.recomputed as f64),
    ("plan queued ms", |run| run.plan[0]),
    ("plan to first ms", |run| run.plan[1]),
    ("plan decoding ms", |run| run.plan[2]),
    ("failed", |run| run.failed as f64),
    ("fairness", |run| run.fairness),
];

impl Report {
    /// Shows the median of each figure over the seeds, with its spread.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for scenario in [Scenario::Swing, Scenario::Calm, Scenario::Slowed] {
            let policies: Vec<Policy> = [Policy::Program, Policy::Fcfs, Policy::RoundRobin]
                .into_iter()
                .filter(|policy| !self.of(scenario, *policy).is_empty())
                .collect();
            if policies.is_empty() {
                continue;
            }
            text.push_str(&format!("| {scenario:?} |"));
            policies.iter().for_each(|policy| text.push_str(&format!(" {policy:?} |")));
            text.push_str("\n|---|");
            policies.iter().for_each(|_| text.push_str("---|"));
            text.push('\n');
            for (name, read) in FIGURES {
                text.push_str(&format!("| {name} |"));
                for policy in &policies {
                    let values: Vec<f64> =
                        self.of(scenario, *policy).into_iter().map(read).collect();
                    text.push_str(&format!(" {} |", spread(values)));
                }
                text.push('\n');
            }
            text.push('\n');
        }
        text
    }

    fn of(&self, scenario: Scenario, policy: Policy) -> Vec<&Run> {
        let runs = self.runs.iter();
        runs.filter(|run| run.scenario == scenario && run.policy == policy).collect()
    }
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let middle = quantile(&values, 0.5);
    let digits = if middle < 10.0 { 2 } else { 0 };
    match values.as_slice() {
        [first, .., last] => {
            format!("{middle:.digits$} ({first:.digits$}–{last:.digits$})")
        }
        _ => format!("{middle:.digits$}"),
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<f64> {
    let mut millis: Vec<f64> = times.map(|time| time.as_secs_f64() * 1e3).collect();
    millis.sort_by(f64::total_cmp);
    millis
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let index = (sorted.len() as f64 * part) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

fn mean_of_plans(samples: &[Sample], part: fn(&Sample) -> Duration) -> f64 {
    let plans = samples.iter().filter(|sample| sample.kind == Kind::Plan);
    let times: Vec<f64> = plans.map(|sample| part(sample).as_secs_f64() * 1e3).collect();
    times.iter().sum::<f64>() / times.len().max(1) as f64
}

fn fairness(samples: &[Sample]) -> f64 {
    let means: Vec<f64> = (0..2)
        .map(|team| {
            let of: Vec<f64> =
                samples.iter().filter(|s| s.team == team).map(Sample::slowdown).collect();
            of.iter().sum::<f64>() / of.len().max(1) as f64
        })
        .collect();
    let sum: f64 = means.iter().sum();
    let squares: f64 = means.iter().map(|mean| mean * mean).sum();
    sum * sum / (means.len() as f64 * squares)
}
