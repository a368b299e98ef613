//! Checks of the gateway's guarantees on what clients and endpoints observed.

use super::callers::{BUDGET, DEADLINE, Exchange, Kind, MAX_TURN_TOKENS};
use super::testbed::{EVENT_TOKENS, EVENTS, Restart};
use crate::script::Run;
use indexmap::IndexMap;
use sched::id::Version;
use std::time::{Duration, Instant};

/// Tolerance for responses after the deadline, for scheduling delays of the test machine.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);

/// Guarantee of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guarantee {
    /// A request that is not safe to repeat runs at most once.
    AtMostOnce,
    /// A request that is refused as not run has not run and never will.
    NotRun,
    /// A response that looks complete is the endpoint's complete response to this request.
    CompleteResponse,
    /// The events of a stream arrive in order, each exactly once.
    EventOrder,
    /// A program receives no more tokens than its budget plus one turn.
    Budget,
    /// A daemon never reverts to an older configuration version.
    MonotonicConfig,
    /// Planned maintenance interrupts no request.
    NoInterruption,
    /// No client waits past the deadline.
    Deadline,
    /// At least 90 % of the requests are served again after the last fault.
    Recovery,
    /// A requested retirement of a storage VM is reported as done.
    Retirement,
}

/// Violation of a gateway guarantee.
pub type Violation = crate::check::Violation<Guarantee>;

/// Observations of the clients and endpoints of one run.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Requests of the clients, with their responses.
    pub exchanges: Vec<Exchange>,
    /// Requests that endpoints ran.
    pub runs: Vec<Run>,
    /// Latest configuration version that was written.
    pub latest_version: Version,
    /// Restarts of daemons.
    pub restarts: Vec<Restart>,
    /// Whether the schedule had only planned maintenance and short pauses.
    pub maintenance_only: bool,
    /// Time at which all daemons had recovered from the last fault.
    pub recovered: Instant,
    /// Storage VMs whose retirement was requested and is not reported as done.
    pub pending_retirements: Vec<String>,
    /// Whether to check response times against the deadline, which needs a machine with spare
    /// capacity.
    pub check_deadlines: bool,
}

/// Returns all violations of the guarantees.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut run_counts: IndexMap<&str, usize> = IndexMap::new();
    for run in &evidence.runs {
        *run_counts.entry(run.id.as_str()).or_default() += 1;
    }
    let mut violations = Vec::new();
    for exchange in &evidence.exchanges {
        let runs = run_counts.get(exchange.id.as_str()).copied().unwrap_or(0);
        violations.extend(
            check_exchange(exchange, runs).map(|guarantee| violation(guarantee, exchange, runs)),
        );
    }
    violations.extend(check_budgets(&evidence.exchanges));
    violations.extend(check_config_versions(evidence));
    violations.extend(check_interruptions(evidence, &run_counts));
    violations.extend(check_recovery(evidence));
    violations.extend(evidence.pending_retirements.iter().map(|vm| {
        let detail = format!("the retirement of {vm} is not reported as done");
        Violation { guarantee: Guarantee::Retirement, detail }
    }));
    violations
}

/// Returns the violation of `guarantee` by a request that ran `runs` times.
fn violation(guarantee: Guarantee, exchange: &Exchange, runs: usize) -> Violation {
    let response = &exchange.response;
    let detail = format!(
        "request {} ({:?}) to daemon {} ran {runs} times; status {}, complete {}, error {:?}, \
         took {:?}: {:?}",
        exchange.id,
        exchange.kind,
        exchange.daemon,
        response.status,
        response.complete,
        response.error,
        exchange.ended - exchange.sent,
        response.body,
    );
    Violation { guarantee, detail }
}

/// Returns the guarantees that a single request violates, given that it ran `runs` times.
fn check_exchange(exchange: &Exchange, runs: usize) -> impl Iterator<Item = Guarantee> + use<> {
    let response = &exchange.response;
    let run_once = matches!(exchange.kind, Kind::Unsafe | Kind::NonResumableTurn);
    let refused = matches!(response.status, 402 | 408 | 421 | 429 | 503);
    let complete = match exchange.kind.is_stream() {
        true => response.events() == (1..=EVENTS).collect::<Vec<u64>>(),
        false => response.body == "served",
    };
    let ordered = response.events().into_iter().eq(1..=response.events().len() as u64);
    let checks = [
        (!run_once || runs <= 1, Guarantee::AtMostOnce),
        // A request that may run more than once may have run before it was refused.
        (!refused || runs == 0 || !(run_once || response.status == 402), Guarantee::NotRun),
        (!response.served() || (complete && response.signed), Guarantee::CompleteResponse),
        (ordered, Guarantee::EventOrder),
    ];
    checks.into_iter().filter(|(holds, _)| !holds).map(|(_, guarantee)| guarantee)
}

fn check_budgets(exchanges: &[Exchange]) -> Vec<Violation> {
    let mut spent: IndexMap<&str, u64> = IndexMap::new();
    for exchange in exchanges.iter().filter(|exchange| exchange.kind.is_stream()) {
        let events = exchange.response.events().len() as u64;
        *spent.entry(exchange.program.as_str()).or_default() += events * EVENT_TOKENS;
    }
    let over_budget = spent.into_iter().filter(|(_, tokens)| *tokens > BUDGET + MAX_TURN_TOKENS);
    let violations = over_budget.map(|(program, tokens)| {
        let detail = format!(
            "program {program} received {tokens} tokens with a budget of {BUDGET} and turns of \
             {MAX_TURN_TOKENS}"
        );
        Violation { guarantee: Guarantee::Budget, detail }
    });
    violations.collect()
}

/// Checks that a daemon which served the route of a configuration version keeps that version or a
/// newer one until its process is restarted.
fn check_config_versions(evidence: &Evidence) -> Vec<Violation> {
    let mut served_versions: IndexMap<usize, (u64, Instant)> = IndexMap::new();
    let mut probes: Vec<(&Exchange, u64)> = Vec::new();
    for exchange in &evidence.exchanges {
        if let Kind::VersionProbe(version) = exchange.kind {
            probes.push((exchange, version));
        }
    }
    probes.sort_by_key(|(exchange, _)| exchange.sent);
    let mut violations = Vec::new();
    for (exchange, version) in probes {
        let restarted = |since: Instant| {
            let mut restarts =
                evidence.restarts.iter().filter(|restart| restart.daemon == exchange.daemon);
            restarts.any(|restart| restart.at >= since)
        };
        let previous =
            served_versions.get(&exchange.daemon).copied().filter(|(_, since)| !restarted(*since));
        // A route exists in its own version and the next one. If no version after these was
        // written, a missing route means that the daemon's configuration is older.
        let is_older = exchange.response.status == 404 && version + 1 >= evidence.latest_version;
        if let Some((served, _)) = previous
            && is_older
            && version <= served
        {
            violations.push(violation(Guarantee::MonotonicConfig, exchange, 0));
        }
        if exchange.response.served() && previous.is_none_or(|(served, _)| served < version) {
            served_versions.insert(exchange.daemon, (version, exchange.sent));
        }
    }
    violations
}

/// Checks that planned maintenance interrupts no request.
///
/// A request may be refused, and it may be lost if it is sent while its connection is being closed,
/// but not after it was forwarded to an endpoint.
fn check_interruptions(evidence: &Evidence, run_counts: &IndexMap<&str, usize>) -> Vec<Violation> {
    let runs = |exchange: &Exchange| run_counts.get(exchange.id.as_str()).copied().unwrap_or(0);
    let exchanges = evidence.exchanges.iter().filter(|_| evidence.maintenance_only);
    let interrupted = exchanges.filter(|exchange| {
        let failed =
            !exchange.response.complete || matches!(exchange.response.status, 500..=502 | 504);
        failed && (exchange.response.status != 0 || runs(exchange) > 0)
    });
    interrupted
        .map(|exchange| violation(Guarantee::NoInterruption, exchange, runs(exchange)))
        .collect()
}

/// Checks that requests sent after the recovery are served and, if enabled, end by their deadline.
fn check_recovery(evidence: &Evidence) -> Vec<Violation> {
    let after_recovery: Vec<&Exchange> =
        evidence.exchanges.iter().filter(|exchange| exchange.sent > evidence.recovered).collect();
    let requests =
        after_recovery.iter().filter(|exchange| !matches!(exchange.kind, Kind::VersionProbe(_)));
    let requests: Vec<&&Exchange> =
        requests.filter(|exchange| exchange.response.status != 402).collect();
    let served = requests.iter().filter(|exchange| exchange.response.served()).count();
    let mut violations = Vec::new();
    if served * 10 < requests.len() * 9 || requests.is_empty() {
        let detail = format!(
            "only {served} of {} requests were served after the last fault",
            requests.len()
        );
        violations.push(Violation { guarantee: Guarantee::Recovery, detail });
    }
    let timed = after_recovery.iter().filter(|_| evidence.check_deadlines);
    let overdue =
        timed.filter(|exchange| exchange.ended - exchange.sent > DEADLINE + DEADLINE_TOLERANCE);
    violations.extend(overdue.map(|exchange| violation(Guarantee::Deadline, exchange, 0)));
    violations
}
