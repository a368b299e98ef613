//! Checks of the system's guarantees on what was observed during a run of concurrent clients.
//!
//! Clients record each call and its reply. After the run, the histories of the programs are read
//! back, and the fakes report what they ran and generated and for which programs they still hold
//! pinned memory. There is one check per guarantee.

use crate::engine::expected_text;
use crate::service::Effect;
use caller::api::{Call, History};
use caller::client::{Answer, Error};
use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use sched::call::{Outcome, StopReason, Turn, Work};
use sched::id::{CallId, ProgramId, Tokens, Version, VmId};
use sched::refusal::Execution;

/// A guarantee of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guarantee {
    /// The calls of a program take effect in the order in which the program made them.
    Order,
    /// The history of a program is never lost or mixed with that of another program.
    History,
    /// A program or account never exceeds its budget.
    Budget,
    /// Engines hold no pinned memory for programs that have ended.
    Memory,
    /// Each caller gets the complete answer to its own call.
    Answer,
    /// A call that is reported as not run did not run.
    NotRun,
    /// A call that is not idempotent runs at most once.
    AtMostOnce,
    /// An accepted configuration never reverts.
    Configuration,
    /// A graceful shutdown interrupts no request.
    Stop,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation<G = Guarantee> {
    /// Guarantee that was violated.
    pub guarantee: G,
    /// Description of the violation.
    pub detail: String,
}

/// Last reply that a client received to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The call ended; holds its outcome and the streamed text.
    Ended(Outcome, String),
    /// The call was refused; holds whether it ran and the error message.
    Refused(Execution, String),
    /// No complete reply was received; holds the error message.
    Missing(String),
}

impl From<Result<Answer, Error>> for Reply {
    fn from(result: Result<Answer, Error>) -> Self {
        match result {
            Ok(answer) => Self::Ended(answer.end.outcome, answer.text),
            Err(Error::Refused(refusal)) => Self::Refused(refusal.ran, refusal.to_string()),
            Err(Error::Transport(reason)) => Self::Missing(reason),
        }
    }
}

/// A call and the reply that its client received.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Program that made the call.
    pub program: ProgramId,
    /// The call.
    pub call: Call,
    /// Last reply to the call.
    pub reply: Reply,
}

/// Observations of a run that the guarantees are checked against.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Calls and their replies, in the order in which each client received them.
    pub entries: Vec<Entry>,
    /// Histories that were read back after the run, by program.
    pub histories: IndexMap<ProgramId, History>,
    /// Requests that the plain services ran, in order for each service.
    pub effects: Vec<Effect>,
    /// Number of tokens that the engines generated, by program.
    pub generated: IndexMap<ProgramId, Tokens>,
    /// Token limit of each account and the programs charged to it.
    pub accounts: Vec<(Tokens, Vec<ProgramId>)>,
    /// Programs that engines hold pinned memory for after the run.
    pub pinned: Vec<ProgramId>,
    /// Configuration versions that each daemon reported, in order, including those after a restart.
    pub versions: IndexMap<VmId, Vec<Version>>,
    /// Descriptions of the requests that a graceful shutdown interrupted.
    pub interrupted: Vec<String>,
}

/// Checks all guarantees and returns the violations.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let checks = [
        check_order,
        check_history,
        check_budget,
        check_memory,
        check_answers,
        check_not_run,
        check_at_most_once,
        check_configuration,
        check_stop,
    ];
    checks.iter().flat_map(|check| check(evidence)).collect()
}

fn violation(guarantee: Guarantee, detail: String) -> Violation {
    Violation { guarantee, detail }
}

fn check_order(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (program, history) in &evidence.histories {
        let seqs: Vec<u32> = history.turns.iter().map(|turn| turn.call.seq).collect();
        let expected: Vec<u32> = (1..=seqs.len() as u32).collect();
        if seqs != expected {
            violations.push(violation(
                Guarantee::Order,
                format!("{program} has the sequence numbers {seqs:?}"),
            ));
        }
        let effects = first_effects(evidence, program);
        let effect_seqs: Vec<u32> =
            effects.iter().filter_map(|call| seq_of(history, call)).collect();
        if !effect_seqs.is_sorted() {
            let detail = format!("the calls of {program} took effect in the order {effect_seqs:?}");
            violations.push(violation(Guarantee::Order, detail));
        }
    }
    violations
}

/// Returns the calls of a program in the order of their first effects.
fn first_effects(evidence: &Evidence, program: &ProgramId) -> IndexSet<CallId> {
    let effects = evidence.effects.iter().filter(|effect| effect.program == *program);
    effects.filter_map(|effect| call_of(&effect.key)).collect()
}

/// Returns the call id of an idempotency key, `<program>:<call>`.
fn call_of(key: &str) -> Option<CallId> {
    key.split_once(':').map(|(_, call)| call.into())
}

fn seq_of(history: &History, call: &CallId) -> Option<u32> {
    history.turns.iter().find(|turn| turn.call.id == *call).map(|turn| turn.call.seq)
}

fn check_history(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in &evidence.entries {
        let Reply::Ended(outcome, _) = &entry.reply else { continue };
        let history = evidence.histories.get(&entry.program);
        let turns = history.map_or(&[][..], |history| &history.turns);
        let turn = turns.iter().find(|turn| turn.call.id == entry.call.call);
        let recorded =
            turn.is_some_and(|turn| turn.outcome == *outcome && is_same_call(turn, &entry.call));
        if !recorded {
            let detail = format!(
                "{} received {outcome:?} for call {}, but its history has {turn:?}",
                entry.program, entry.call.call
            );
            violations.push(violation(Guarantee::History, detail));
        }
    }
    for (program, history) in &evidence.histories {
        let foreign = history.turns.iter().find(|turn| has_foreign_text(program, turn));
        if let Some(turn) = foreign {
            let detail = format!(
                "the history of {program} has the text of another program in turn {turn:?}"
            );
            violations.push(violation(Guarantee::History, detail));
        }
    }
    violations
}

fn is_same_call(turn: &Turn, call: &Call) -> bool {
    turn.call.id == call.call && turn.call.seq == call.seq && turn.call.work == call.work
}

/// Returns whether the answer of a model call has tokens that were generated for another program.
fn has_foreign_text(program: &ProgramId, turn: &Turn) -> bool {
    let (Work::Model { .. }, Outcome::Done { text, .. }) = (&turn.call.work, &turn.outcome) else {
        return false;
    };
    text.split_whitespace().any(|token| !token.starts_with(&format!("{program}:")))
}

fn check_budget(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (program, history) in &evidence.histories {
        let mut spent = 0;
        for turn in &history.turns {
            spent += turn.outcome.tokens();
            if spent > history.budget {
                let detail =
                    format!("{program} spent {spent} tokens of a budget of {}", history.budget);
                violations.push(violation(Guarantee::Budget, detail));
            }
        }
        let generated = evidence.generated.get(program).copied().unwrap_or_default();
        if generated > history.budget {
            let detail = format!(
                "engines generated {generated} tokens for {program}, whose budget is {}",
                history.budget
            );
            violations.push(violation(Guarantee::Budget, detail));
        }
    }
    for (limit, programs) in &evidence.accounts {
        let total: Tokens = programs.iter().filter_map(|id| evidence.generated.get(id)).sum();
        if total > *limit {
            let detail =
                format!("engines generated more tokens than the account limit of {limit}: {total}");
            violations.push(violation(Guarantee::Budget, detail));
        }
    }
    violations
}

fn check_memory(evidence: &Evidence) -> Vec<Violation> {
    let pinned = evidence.pinned.iter();
    pinned
        .map(|program| {
            violation(Guarantee::Memory, format!("engines still hold pinned memory for {program}"))
        })
        .collect()
}

fn check_answers(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in &evidence.entries {
        let Reply::Ended(Outcome::Done { text, stop, .. }, streamed) = &entry.reply else {
            continue;
        };
        let expected = match &entry.call.work {
            Work::Model { prompt, max_tokens } => {
                let length = requested_length(prompt).min(*max_tokens);
                expected_text(&entry.program, &entry.call.call, length)
            }
            Work::Service { op, body, .. } => format!("{op} done: {body}"),
        };
        let complete = match stop {
            StopReason::Budget => expected.starts_with(text.as_str()) && streamed == text,
            StopReason::End | StopReason::Length => *text == expected && *streamed == expected,
        };
        if !complete {
            let detail = format!(
                "{} received the stream '{streamed}' and the answer '{text}' for call {} instead \
                 of '{expected}'",
                entry.program, entry.call.call
            );
            violations.push(violation(Guarantee::Answer, detail));
        }
    }
    violations
}

/// Parses the requested length of an answer from a prompt, in tokens; 0 if there is none.
fn requested_length(prompt: &str) -> u64 {
    let tag = prompt.rsplit("[[len=").next().and_then(|tag| tag.split(']').next());
    tag.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn check_not_run(evidence: &Evidence) -> Vec<Violation> {
    let refused = evidence.entries.iter().filter_map(|entry| match &entry.reply {
        Reply::Refused(Execution::NotRun, message) => Some((entry, message)),
        _ => None,
    });
    let contradicted = refused.filter(|(entry, _)| run_count(evidence, entry) > 0);
    contradicted
        .map(|(entry, message)| {
            let detail = format!(
                "call {} of {} ran but was refused as not run: {message}",
                entry.call.call, entry.program
            );
            violation(Guarantee::NotRun, detail)
        })
        .collect()
}

/// Returns how often the plain services ran a call.
fn run_count(evidence: &Evidence, entry: &Entry) -> usize {
    let key: CompactString = format!("{}:{}", entry.program, entry.call.call).into();
    evidence.effects.iter().filter(|effect| effect.key == key).count()
}

fn check_at_most_once(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    let non_idempotent = evidence.entries.iter().filter(|entry| !entry.call.work.idempotent());
    for entry in non_idempotent {
        let runs = run_count(evidence, entry);
        let done = matches!(entry.reply, Reply::Ended(Outcome::Done { .. }, _));
        if runs > 1 || (done && runs == 0) {
            let detail = format!("call {} of {} ran {runs} times", entry.call.call, entry.program);
            violations.push(violation(Guarantee::AtMostOnce, detail));
        }
    }
    violations
}

fn check_configuration(evidence: &Evidence) -> Vec<Violation> {
    let reverted = evidence.versions.iter().filter(|(_, versions)| !versions.is_sorted());
    reverted
        .map(|(vm, versions)| {
            violation(Guarantee::Configuration, format!("{vm} reported the versions {versions:?}"))
        })
        .collect()
}

fn check_stop(evidence: &Evidence) -> Vec<Violation> {
    let interrupted = evidence.interrupted.iter();
    interrupted.map(|request| violation(Guarantee::Stop, request.clone())).collect()
}
