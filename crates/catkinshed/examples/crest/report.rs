//! Figures of the runs, and their tables.

use crate::arrivals::{Kind, Program};
use caller::client::Answer;
use sched::queue::Policy;
use serde::Serialize;
use std::time::Duration;
use testing::engine::Stats;

/// What happens during a run. Every scenario has a load peak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing else happens.
    Calm,
    /// One daemon crashes during the peak.
    Swing,
    /// One engine in ten is slow.
    Slowed,
}

/// Measurements of one program.
#[derive(Clone, Debug)]
pub struct Sample {
    kind: Kind,
    team: usize,
    at_peak: bool,
    target: Duration,
    latency: Option<Duration>,
    first_token_times: Vec<Duration>,
    retries: u32,
    queue_time: Duration,
    engine_wait: Duration,
    decode_time: Duration,
}

impl Sample {
    /// Creates the sample of a program that has not made a call yet.
    pub fn new(program: &Program) -> Self {
        Self {
            kind: program.kind,
            team: program.team,
            at_peak: program.at_peak(),
            target: program.target(),
            latency: None,
            first_token_times: Vec::new(),
            retries: 0,
            queue_time: Duration::ZERO,
            engine_wait: Duration::ZERO,
            decode_time: Duration::ZERO,
        }
    }

    /// Adds the times of an answered turn.
    pub fn add_turn(&mut self, answer: &Answer) {
        self.first_token_times.push(answer.time_to_first_text);
        self.retries += answer.retries;
        let queue_time =
            Duration::from_secs_f64(answer.end.queued_ms / 1e3).min(answer.time_to_first_text);
        self.queue_time += queue_time;
        self.engine_wait += answer.time_to_first_text - queue_time;
        self.decode_time += answer.total_time - answer.time_to_first_text;
    }

    /// Sets the latency of the whole program.
    pub fn finish(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }

    fn met_target(&self) -> bool {
        self.latency.is_some_and(|latency| latency <= self.target)
    }

    /// Returns the latency divided by the target; 10 for a program that failed.
    fn slowdown(&self) -> f64 {
        let latency = self.latency.unwrap_or(self.target * 10);
        latency.as_secs_f64() / self.target.as_secs_f64()
    }
}

/// Figures of one run; times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Scheduling policy.
    pub policy: Policy,
    /// Scenario.
    pub scenario: Scenario,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of programs that arrived.
    pub programs: usize,
    /// Number of programs that could not be created or had a call that failed.
    pub failed: usize,
    /// Number of retries of the calls that were answered.
    #[serde(rename = "repeated")]
    pub retries: u32,
    /// Latency of all programs: median, 95th and 99th percentile.
    pub latency: [f64; 3],
    /// Latency of the programs that arrived during the peak: median, 95th and 99th percentile.
    #[serde(rename = "crest")]
    pub peak_latency: [f64; 3],
    /// Among the programs that arrived during the peak, the fraction that met the target latency.
    #[serde(rename = "inside")]
    pub met_target: f64,
    /// Time to the first token of loan questions: median and 99th percentile.
    #[serde(rename = "short_wait")]
    pub loan_first_token: [f64; 2],
    /// Memory of cached prefixes that were removed without being used, in tokens times seconds.
    pub held_unused: f64,
    /// Number of prompt tokens that were computed more than once.
    pub recomputed: u64,
    /// Jain's fairness index of the teams' mean slowdowns; 1 is perfectly fair.
    pub fairness: f64,
    /// Mean times of a plan: in the daemons' queues, from dispatch to the first token, and from the
    /// first token to the last.
    #[serde(rename = "plan")]
    pub plan_times: [f64; 3],
    /// Latencies of all programs that ended, in ascending order.
    pub latencies: Vec<f64>,
}

impl Run {
    /// Computes the figures of a run.
    pub fn new(
        policy: Policy,
        scenario: Scenario,
        seed: u64,
        samples: Vec<Sample>,
        stats: &Stats,
    ) -> Self {
        let latencies = sorted_millis(samples.iter().filter_map(|sample| sample.latency));
        let peak_samples: Vec<&Sample> = samples.iter().filter(|sample| sample.at_peak).collect();
        let peak_latencies = sorted_millis(peak_samples.iter().filter_map(|sample| sample.latency));
        let loans = samples.iter().filter(|sample| sample.kind == Kind::Loan);
        let first_token_times =
            sorted_millis(loans.flat_map(|sample| sample.first_token_times.iter().copied()));
        let met_target = peak_samples.iter().filter(|sample| sample.met_target()).count();
        Self {
            policy,
            scenario,
            seed,
            programs: samples.len(),
            failed: samples.iter().filter(|sample| sample.latency.is_none()).count(),
            retries: samples.iter().map(|sample| sample.retries).sum(),
            latency: [0.5, 0.95, 0.99].map(|q| quantile(&latencies, q)),
            peak_latency: [0.5, 0.95, 0.99].map(|q| quantile(&peak_latencies, q)),
            met_target: met_target as f64 / peak_samples.len().max(1) as f64,
            loan_first_token: [0.5, 0.99].map(|q| quantile(&first_token_times, q)),
            held_unused: stats.held_unused,
            recomputed: stats.recomputed,
            fairness: fairness(&samples),
            plan_times: [
                |s: &Sample| s.queue_time,
                |s: &Sample| s.engine_wait,
                |s: &Sample| s.decode_time,
            ]
            .map(|phase| mean_of_plans(&samples, phase)),
            latencies,
        }
    }

    /// Returns the main figures of the run in one line.
    pub fn summary(&self) -> String {
        format!(
            "{:?} {:?} seed {}: {} programs, {} failed, {} repeated; latency {:.0}/{:.0}/{:.0} ms, \
             crest {:.0}/{:.0}/{:.0} ms, inside {:.2}, short wait {:.0}/{:.0} ms, held {:.0}, \
             recomputed {}, fairness {:.3}",
            self.policy,
            self.scenario,
            self.seed,
            self.programs,
            self.failed,
            self.retries,
            self.latency[0],
            self.latency[1],
            self.latency[2],
            self.peak_latency[0],
            self.peak_latency[1],
            self.peak_latency[2],
            self.met_target,
            self.loan_first_token[0],
            self.loan_first_token[1],
            self.held_unused,
            self.recomputed,
            self.fairness
        )
    }
}

/// Figures of all runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Runs, in the order in which they were made.
    pub runs: Vec<Run>,
}

/// Row title of a figure, and the function that reads the figure from a run.
type Figure = (&'static str, fn(&Run) -> f64);

const FIGURES: [Figure; 15] = [
    ("latency p50 ms", |run| run.latency[0]),
    ("latency p95 ms", |run| run.latency[1]),
    ("latency p99 ms", |run| run.latency[2]),
    ("crest p50 ms", |run| run.peak_latency[0]),
    ("crest p95 ms", |run| run.peak_latency[1]),
    ("inside target", |run| run.met_target),
    ("short wait p50 ms", |run| run.loan_first_token[0]),
    ("short wait p99 ms", |run| run.loan_first_token[1]),
    ("held unused token-s", |run| run.held_unused),
    ("recomputed tokens", |run| run.recomputed as f64),
    ("plan queued ms", |run| run.plan_times[0]),
    ("plan to first ms", |run| run.plan_times[1]),
    ("plan decoding ms", |run| run.plan_times[2]),
    ("failed", |run| run.failed as f64),
    ("fairness", |run| run.fairness),
];

impl Report {
    /// Returns a Markdown table for each scenario: the median of each figure over the seeds, and
    /// its range if there are several seeds.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for scenario in [Scenario::Swing, Scenario::Calm, Scenario::Slowed] {
            let policies: Vec<Policy> = [Policy::Program, Policy::Fcfs, Policy::RoundRobin]
                .into_iter()
                .filter(|policy| !self.runs_of(scenario, *policy).is_empty())
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
                        self.runs_of(scenario, *policy).into_iter().map(read).collect();
                    text.push_str(&format!(" {} |", median_and_range(values)));
                }
                text.push('\n');
            }
            text.push('\n');
        }
        text
    }

    fn runs_of(&self, scenario: Scenario, policy: Policy) -> Vec<&Run> {
        let runs = self.runs.iter();
        runs.filter(|run| run.scenario == scenario && run.policy == policy).collect()
    }
}

/// Formats the median, with the minimum and maximum of several values.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let median = quantile(&values, 0.5);
    let digits = if median < 10.0 { 2 } else { 0 };
    match values.as_slice() {
        [min, .., max] => {
            format!("{median:.digits$} ({min:.digits$}–{max:.digits$})")
        }
        _ => format!("{median:.digits$}"),
    }
}

/// Converts times to milliseconds, in ascending order.
fn sorted_millis(times: impl Iterator<Item = Duration>) -> Vec<f64> {
    let mut millis: Vec<f64> = times.map(|time| time.as_secs_f64() * 1e3).collect();
    millis.sort_by(f64::total_cmp);
    millis
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let index = (sorted.len() as f64 * q) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

/// Returns the mean time that plans spent in a phase, in milliseconds.
fn mean_of_plans(samples: &[Sample], phase: fn(&Sample) -> Duration) -> f64 {
    let plans = samples.iter().filter(|sample| sample.kind == Kind::Plan);
    let times: Vec<f64> = plans.map(|sample| phase(sample).as_secs_f64() * 1e3).collect();
    times.iter().sum::<f64>() / times.len().max(1) as f64
}

/// Returns Jain's fairness index of the two teams' mean slowdowns.
fn fairness(samples: &[Sample]) -> f64 {
    let means: Vec<f64> = (0..2)
        .map(|team| {
            let slowdowns: Vec<f64> =
                samples.iter().filter(|s| s.team == team).map(Sample::slowdown).collect();
            slowdowns.iter().sum::<f64>() / slowdowns.len().max(1) as f64
        })
        .collect();
    let sum: f64 = means.iter().sum();
    let squares: f64 = means.iter().map(|mean| mean * mean).sum();
    sum * sum / (means.len() as f64 * squares)
}
