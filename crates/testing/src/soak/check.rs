//! The promises, checked on what clients and endpoints saw.

use super::callers::{BUDGET, Call, DEADLINE, Kind, MOST};
use super::stage::{EVENT_TOKENS, EVENTS, Start};
use crate::scripted_endpoint::Run;
use indexmap::IndexMap;
use sched::id::Version;
use std::time::{Duration, Instant};

/// Time that an answer may come after the deadline; the rest is the machine's.
const SLACK: Duration = Duration::from_millis(500);

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// What is refused as not run has not run and never does.
    NotRun,
    /// An answer that looks complete is the endpoint's whole answer to this request.
    Whole,
    /// The events of a stream come in order, each once.
    Order,
    /// A program is handed no more than its budget and one turn.
    Budget,
    /// A daemon's configuration never goes back.
    Configuration,
    /// Planned work cuts no request off.
    Planned,
    /// Nobody is held beyond the deadline.
    Deadline,
    /// Requests are served again after the last fault.
    Recovery,
    /// A storage VM that is to be emptied is reported empty.
    Retired,
}

/// A broken promise of the gateway.
pub type Violation = crate::check::Violation<Promise>;

/// What clients and endpoints saw.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Requests of clients.
    pub calls: Vec<Call>,
    /// What endpoints ran.
    pub runs: Vec<Run>,
    /// Newest version of the configuration.
    pub newest: Version,
    /// Starts of daemons.
    pub starts: Vec<Start>,
    /// Whether only planned work was done.
    pub planned: bool,
    /// When the last fault was over for everybody.
    pub settled: Instant,
    /// Storage VMs that were to be emptied and are not reported empty.
    pub unreported: Vec<String>,
    /// Whether times are judged, which takes a machine that has room.
    pub check_deadlines: bool,
}

/// Finds broken promises.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut runs: IndexMap<&str, usize> = IndexMap::new();
    for run in &evidence.runs {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    let mut found = Vec::new();
    for call in &evidence.calls {
        let runs = runs.get(call.id.as_str()).copied().unwrap_or(0);
        found.extend(check_call(call, runs).map(|promise| violation(promise, call, runs)));
    }
    found.extend(budgets(&evidence.calls));
    found.extend(configurations(evidence));
    found.extend(planned(evidence, &runs));
    found.extend(recovery(evidence));
    found.extend(evidence.unreported.iter().map(|vm| {
        let seen = format!("{vm} is not reported empty");
        Violation { guarantee: Promise::Retired, detail: seen }
    }));
    found
}

fn violation(promise: Promise, call: &Call, runs: usize) -> Violation {
    let told = &call.told;
    let seen = format!(
        "{} ({:?}) at daemon {} ran {runs} times; status {}, complete {}, fault {:?}, took {:?}: {:?}",
        call.id,
        call.kind,
        call.daemon,
        told.status,
        told.complete,
        told.fault,
        call.ended - call.sent,
        told.body,
    );
    Violation { guarantee: promise, detail: seen }
}

fn check_call(call: &Call, runs: usize) -> impl Iterator<Item = Promise> + use<> {
    let told = &call.told;
    let once = matches!(call.kind, Kind::Unsafe | Kind::PlainTurn);
    let refused = matches!(told.status, 402 | 408 | 421 | 429 | 503);
    let whole = match call.kind.streams() {
        true => told.events() == (1..=EVENTS).collect::<Vec<u64>>(),
        false => told.body == "served",
    };
    let ordered = told.events().into_iter().eq(1..=told.events().len() as u64);
    let checks = [
        (!once || runs <= 1, Promise::AtMostOnce),
        // An idempotent request may have run before it was refused.
        (!refused || runs == 0 || !(once || told.status == 402), Promise::NotRun),
        (!told.served() || (whole && told.signed), Promise::Whole),
        (ordered, Promise::Order),
    ];
    checks.into_iter().filter(|(holds, _)| !holds).map(|(_, promise)| promise)
}

fn budgets(calls: &[Call]) -> Vec<Violation> {
    let mut spent: IndexMap<&str, u64> = IndexMap::new();
    for call in calls.iter().filter(|call| call.kind.streams()) {
        let events = call.told.events().len() as u64;
        *spent.entry(call.program.as_str()).or_default() += events * EVENT_TOKENS;
    }
    let over = spent.into_iter().filter(|(_, tokens)| *tokens > BUDGET + MOST);
    let violations = over.map(|(program, tokens)| {
        let seen = format!("{program} was handed {tokens} tokens of {BUDGET} and a turn of {MOST}");
        Violation { guarantee: Promise::Budget, detail: seen }
    });
    violations.collect()
}

/// A daemon that served a route of one version must know that version from then on, as long as its
/// process lives.
fn configurations(evidence: &Evidence) -> Vec<Violation> {
    let mut known: IndexMap<usize, (u64, Instant)> = IndexMap::new();
    let mut marks: Vec<(&Call, u64)> = Vec::new();
    for call in &evidence.calls {
        if let Kind::Version(version) = call.kind {
            marks.push((call, version));
        }
    }
    marks.sort_by_key(|(call, _)| call.sent);
    let mut found = Vec::new();
    for (call, version) in marks {
        let restarted = |since: Instant| {
            let mut own = evidence.starts.iter().filter(|start| start.daemon == call.daemon);
            own.any(|start| start.at >= since)
        };
        let before = known.get(&call.daemon).copied().filter(|(_, since)| !restarted(*since));
        // A route is there for its own version and the next one.
        let told_older = call.told.status == 404 && version + 1 >= evidence.newest;
        if let Some((had, _)) = before
            && told_older
            && version <= had
        {
            found.push(violation(Promise::Configuration, call, 0));
        }
        if call.told.served() && before.is_none_or(|(had, _)| had < version) {
            known.insert(call.daemon, (version, call.sent));
        }
    }
    found
}

/// Planned work may refuse a request and may cross it with the end of its connection, but not lose it
/// after it was passed on.
fn planned(evidence: &Evidence, runs: &IndexMap<&str, usize>) -> Vec<Violation> {
    let runs = |call: &Call| runs.get(call.id.as_str()).copied().unwrap_or(0);
    let calls = evidence.calls.iter().filter(|_| evidence.planned);
    let cut = calls.filter(|call| {
        let broken = !call.told.complete || matches!(call.told.status, 500..=502 | 504);
        broken && (call.told.status != 0 || runs(call) > 0)
    });
    cut.map(|call| violation(Promise::Planned, call, runs(call))).collect()
}

fn recovery(evidence: &Evidence) -> Vec<Violation> {
    let late: Vec<&Call> =
        evidence.calls.iter().filter(|call| call.sent > evidence.settled).collect();
    let asked = late.iter().filter(|call| !matches!(call.kind, Kind::Version(_)));
    let asked: Vec<&&Call> = asked.filter(|call| call.told.status != 402).collect();
    let served = asked.iter().filter(|call| call.told.served()).count();
    let mut found = Vec::new();
    if served * 10 < asked.len() * 9 || asked.is_empty() {
        let seen = format!("{served} of {} requests were served after the faults", asked.len());
        found.push(Violation { guarantee: Promise::Recovery, detail: seen });
    }
    let late = late.iter().filter(|_| evidence.check_deadlines);
    let held = late.filter(|call| call.ended - call.sent > DEADLINE + SLACK);
    found.extend(held.map(|call| violation(Promise::Deadline, call, 0)));
    found
}
