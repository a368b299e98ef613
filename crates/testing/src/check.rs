//! Recorded histories of concurrent runs, and the checks of the promises on them.
//!
//! Clients record what they ask and what they are told. After the run, the programs' histories are
//! read back, and the stand-ins tell what they ran, generated and still hold. Each promise has one
//! check over these.

use crate::engine::expected_text;
use crate::service::Effect;
use caller::api::{Call, History};
use caller::client::{Answer, Error};
use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use sched::call::{Outcome, StopReason, Turn, Work};
use sched::id::{CallId, ProgramId, Tokens, Version, VmId};
use sched::refusal::Execution;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guarantee {
    /// Calls happen in the order that the program made them.
    Order,
    /// A history is never lost and never mixed with another's.
    History,
    /// A program never spends beyond its budget.
    Budget,
    /// No engine memory stays held for programs that are gone.
    Memory,
    /// Each caller gets the whole answer to its own request.
    Answer,
    /// What is said not to have run did not run.
    NotRun,
    /// A call that may not be repeated runs at most once.
    AtMostOnce,
    /// An accepted configuration never reverts.
    Configuration,
    /// A planned stop cuts no request off.
    Stop,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation<G = Guarantee> {
    /// The promise.
    pub guarantee: G,
    /// What was seen.
    pub detail: String,
}

/// What a client was told of a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The call ended; with the text as it was streamed.
    Ended(Outcome, String),
    /// The last word was a refusal.
    Refused(Execution, String),
    /// Nothing final came.
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

/// One call as its client saw it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The program.
    pub program: ProgramId,
    /// What was asked.
    pub call: Call,
    /// What was told in the end.
    pub reply: Reply,
}

/// Everything that is known after a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Calls in the order in which their clients saw them end.
    pub entries: Vec<Entry>,
    /// Histories read back after the run.
    pub histories: IndexMap<ProgramId, History>,
    /// Requests that the services ran, in order.
    pub effects: Vec<Effect>,
    /// Tokens that the engines generated.
    pub generated: IndexMap<ProgramId, Tokens>,
    /// Limit of each account's spending, and the programs charged to it.
    pub accounts: Vec<(Tokens, Vec<ProgramId>)>,
    /// Programs that engines hold memory for at the end.
    pub pinned: Vec<ProgramId>,
    /// Configuration versions that each daemon showed, in order; a restart does not begin anew.
    pub versions: IndexMap<VmId, Vec<Version>>,
    /// Requests that a planned stop cut off.
    pub interrupted: Vec<String>,
}

/// Checks all promises.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let checks =
        [order, history, budget, memory, answers, not_run, at_most_once, configuration, stop];
    checks.iter().flat_map(|check| check(evidence)).collect()
}

fn violation(guarantee: Guarantee, detail: String) -> Violation {
    Violation { guarantee, detail }
}

fn order(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (program, history) in &evidence.histories {
        let seqs: Vec<u32> = history.turns.iter().map(|turn| turn.call.seq).collect();
        let expected: Vec<u32> = (1..=seqs.len() as u32).collect();
        if seqs != expected {
            found.push(violation(Guarantee::Order, format!("{program} has calls {seqs:?}")));
        }
        let firsts = first_effects(evidence, program);
        let positions: Vec<u32> =
            firsts.iter().filter_map(|call| position(history, call)).collect();
        if !positions.is_sorted() {
            let seen = format!("effects of {program} came in the order {positions:?}");
            found.push(violation(Guarantee::Order, seen));
        }
    }
    found
}

/// Calls of a program in the order of their first effects.
fn first_effects(evidence: &Evidence, program: &ProgramId) -> IndexSet<CallId> {
    let lines = evidence.effects.iter().filter(|line| line.program == *program);
    lines.filter_map(|line| call_of(&line.key)).collect()
}

fn call_of(key: &str) -> Option<CallId> {
    key.split_once(':').map(|(_, call)| call.into())
}

fn position(history: &History, call: &CallId) -> Option<u32> {
    history.turns.iter().find(|turn| turn.call.id == *call).map(|turn| turn.call.seq)
}

fn history(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for entry in &evidence.entries {
        let Reply::Ended(outcome, _) = &entry.reply else { continue };
        let history = evidence.histories.get(&entry.program);
        let turns = history.map_or(&[][..], |history| &history.turns);
        let turn = turns.iter().find(|turn| turn.call.id == entry.call.call);
        let kept = turn.is_some_and(|turn| turn.outcome == *outcome && same(turn, &entry.call));
        if !kept {
            let seen = format!(
                "{} was told {outcome:?} of call {}, and its history has {turn:?}",
                entry.program, entry.call.call
            );
            found.push(violation(Guarantee::History, seen));
        }
    }
    for (program, history) in &evidence.histories {
        let foreign = history.turns.iter().find(|turn| names_other(program, turn));
        if let Some(turn) = foreign {
            let seen = format!("{program} holds another program's turn {turn:?}");
            found.push(violation(Guarantee::History, seen));
        }
    }
    found
}

fn same(turn: &Turn, call: &Call) -> bool {
    turn.call.id == call.call && turn.call.seq == call.seq && turn.call.work == call.work
}

/// Tells whether a model turn's text names another program.
fn names_other(program: &ProgramId, turn: &Turn) -> bool {
    let (Work::Model { .. }, Outcome::Done { text, .. }) = (&turn.call.work, &turn.outcome) else {
        return false;
    };
    text.split_whitespace().any(|token| !token.starts_with(&format!("{program}:")))
}

fn budget(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (program, history) in &evidence.histories {
        let mut spent = 0;
        for turn in &history.turns {
            spent += turn.outcome.tokens();
            if spent > history.budget {
                let seen = format!("{program} spent {spent} of {}", history.budget);
                found.push(violation(Guarantee::Budget, seen));
            }
        }
        let generated = evidence.generated.get(program).copied().unwrap_or_default();
        if generated > history.budget {
            let seen = format!("engines generated {generated} for {program}'s {}", history.budget);
            found.push(violation(Guarantee::Budget, seen));
        }
    }
    for (limit, programs) in &evidence.accounts {
        let total: Tokens = programs.iter().filter_map(|id| evidence.generated.get(id)).sum();
        if total > *limit {
            let seen = format!("an account of {limit} paid for {total}");
            found.push(violation(Guarantee::Budget, seen));
        }
    }
    found
}

fn memory(evidence: &Evidence) -> Vec<Violation> {
    let held = evidence.pinned.iter();
    held.map(|program| violation(Guarantee::Memory, format!("memory is held for {program}")))
        .collect()
}

fn answers(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for entry in &evidence.entries {
        let Reply::Ended(Outcome::Done { text, stop, .. }, streamed) = &entry.reply else {
            continue;
        };
        let expected = match &entry.call.work {
            Work::Model { prompt, max_tokens } => {
                let length = length_of(prompt).min(*max_tokens);
                expected_text(&entry.program, &entry.call.call, length)
            }
            Work::Service { op, body, .. } => format!("{op} done: {body}"),
        };
        let whole = match stop {
            StopReason::Budget => expected.starts_with(text.as_str()) && streamed == text,
            StopReason::End | StopReason::Length => *text == expected && *streamed == expected,
        };
        if !whole {
            let seen = format!(
                "{} got '{streamed}' and '{text}' for call {}, not '{expected}'",
                entry.program, entry.call.call
            );
            found.push(violation(Guarantee::Answer, seen));
        }
    }
    found
}

fn length_of(prompt: &str) -> u64 {
    let tag = prompt.rsplit("[[len=").next().and_then(|tag| tag.split(']').next());
    tag.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn not_run(evidence: &Evidence) -> Vec<Violation> {
    let refused = evidence.entries.iter().filter_map(|entry| match &entry.reply {
        Reply::Refused(Execution::NotRun, message) => Some((entry, message)),
        _ => None,
    });
    let contradicted = refused.filter(|(entry, _)| runs(evidence, entry) > 0);
    contradicted
        .map(|(entry, message)| {
            let seen = format!(
                "call {} of {} was refused as not run ({message}) and ran",
                entry.call.call, entry.program
            );
            violation(Guarantee::NotRun, seen)
        })
        .collect()
}

fn runs(evidence: &Evidence, entry: &Entry) -> usize {
    let key: CompactString = format!("{}:{}", entry.program, entry.call.call).into();
    evidence.effects.iter().filter(|line| line.key == key).count()
}

fn at_most_once(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    let effects = evidence.entries.iter().filter(|entry| !entry.call.work.idempotent());
    for entry in effects {
        let runs = runs(evidence, entry);
        let done = matches!(entry.reply, Reply::Ended(Outcome::Done { .. }, _));
        if runs > 1 || (done && runs == 0) {
            let seen = format!("call {} of {} ran {runs} times", entry.call.call, entry.program);
            found.push(violation(Guarantee::AtMostOnce, seen));
        }
    }
    found
}

fn configuration(evidence: &Evidence) -> Vec<Violation> {
    let reverted = evidence.versions.iter().filter(|(_, versions)| !versions.is_sorted());
    reverted
        .map(|(vm, versions)| {
            violation(Guarantee::Configuration, format!("{vm} showed versions {versions:?}"))
        })
        .collect()
}

fn stop(evidence: &Evidence) -> Vec<Violation> {
    let cut = evidence.interrupted.iter();
    cut.map(|request| violation(Guarantee::Stop, request.clone())).collect()
}
