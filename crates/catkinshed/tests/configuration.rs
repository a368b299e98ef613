//! Configuration under racing operators and failing daemons, and endpoints that leave.

use operator::api::{Failure, Request, Response};
use platform::vms::State;
use sched::id::Version;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testing::check::{self, Evidence};
use testing::cluster::{OPERATOR_TOKEN, Spec, vm_of};
use testing::load;
use testing::process::Fleet;
use todc_utils::{Action, History, Specification, WGLChecker};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const OPERATORS: usize = 4;
const ROUNDS: usize = 6;
/// Longest time after the VM list shows a change at which new work may still go to the endpoint.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// A change guarded by a version, with what its operator was told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Guarded {
    expected: Version,
    won: bool,
}

/// The configuration's version as a register that only a guarded change raises.
struct Configuration;

impl Specification for Configuration {
    type State = Version;
    type Operation = Guarded;

    fn init() -> Version {
        1
    }

    fn apply(operation: &Guarded, state: &Version) -> (bool, Version) {
        match operation.won {
            true => (operation.expected == *state, *state + 1),
            false => (operation.expected != *state, *state),
        }
    }
}

type Recorded = Arc<Mutex<Vec<(usize, Action<Guarded>)>>>;

async fn give(addr: &str, command: &str) -> Option<Result<Response, Failure>> {
    let url = format!("http://{addr}/admin/v1/commands");
    let request = Request { command: command.to_owned() };
    let client = reqwest::Client::builder().timeout(Duration::from_secs(8)).build().ok()?;
    let sent = client.post(url).bearer_auth(OPERATOR_TOKEN).json(&request).send().await.ok()?;
    match sent.status().is_success() {
        true => sent.json().await.ok().map(Ok),
        false => sent.json().await.ok().map(Err),
    }
}

/// One operator changes the same object again and again, each time for the last version it knows.
async fn operate(addrs: Vec<String>, number: usize, recorded: Recorded) {
    let mut known: Version = 1;
    for round in 0..ROUNDS {
        let addr = &addrs[(number + round) % addrs.len()];
        let share = number * 100 + round + 1;
        let command = format!("set team crew share={share} if version {known}");
        let called = Guarded { expected: known, won: false };
        let position = {
            let mut recorded = recorded.lock().expect("the record");
            recorded.push((number, Action::Call(called.clone())));
            recorded.len() - 1
        };
        let (told, next) = match give(addr, &command).await {
            Some(Ok(response)) => (Some(true), response.version.unwrap_or(known)),
            Some(Err(failure)) if failure.code == "version_conflict" => {
                (Some(false), failure.current.unwrap_or(known))
            }
            _ => (None, known),
        };
        let mut recorded = recorded.lock().expect("the record");
        match told {
            Some(won) => {
                let operation = Guarded { won, ..called };
                recorded[position].1 = Action::Call(operation.clone());
                recorded.push((number, Action::Response(operation)));
            }
            // The daemon did not take the command up; the audit trail tells if a change was made.
            None => recorded[position].0 = usize::MAX,
        }
        known = next;
    }
}

async fn sample_versions(addr: String, evidence: Arc<Mutex<Evidence>>) {
    loop {
        if let Some(Ok(response)) = give(&addr, "show daemons").await {
            let rows = response.table.map(|table| table.rows).unwrap_or_default();
            let mut evidence = evidence.lock().expect("the evidence");
            for row in rows {
                let vm = row["daemon"].as_str().unwrap_or_default();
                let version = row["version"].as_u64().unwrap_or_default();
                // Answers of two observers come in no known order, so each has its own list.
                let observed = format!("{vm} as seen by {addr}").into();
                evidence.versions.entry(observed).or_default().push(version);
            }
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_win_one_version_each_and_none_reverts() {
    let mut fleet = Fleet::start(BINARY, "operators", Spec::default(), 3).await;
    let addrs: Vec<String> = fleet.addrs().iter().map(ToString::to_string).collect();
    let recorded = Recorded::default();
    let evidence = Arc::new(Mutex::new(Evidence::default()));
    let samplers: Vec<_> = addrs
        .iter()
        .map(|addr| tokio::spawn(sample_versions(addr.clone(), evidence.clone())))
        .collect();
    fleet.cluster.faults.update(|state| state.kv.lose_response_every = 5);
    let operators =
        (0..OPERATORS).map(|number| tokio::spawn(operate(addrs.clone(), number, recorded.clone())));
    let operators: Vec<_> = operators.collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    fleet.daemons[2].kill();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.restart(2).await;
    fleet.daemons[1].pause();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.daemons[1].resume();
    for operator in operators {
        operator.await.expect("an operator ends");
    }
    fleet.cluster.faults.update(|state| state.kv.lose_response_every = 0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    samplers.iter().for_each(tokio::task::JoinHandle::abort);
    judge(&addrs[0], &recorded, &evidence).await;
}

async fn judge(addr: &str, recorded: &Recorded, evidence: &Arc<Mutex<Evidence>>) {
    let mut actions = recorded.lock().expect("the record").clone();
    let unheard = actions.iter().filter(|(process, _)| *process == usize::MAX).count();
    actions.retain(|(process, _)| *process != usize::MAX);
    let won = actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(operation) if operation.won));
    let won = won.count();
    assert!(won > 0, "no operator won");
    let audit = give(addr, "show audit where object = team and name = crew and version > 1").await;
    let audit = audit.and_then(Result::ok).and_then(|response| response.table);
    let changes = audit.expect("the audit trail").rows.len();
    assert!(changes >= won && changes <= won + unheard, "{changes} changes, {won} won");
    if changes == won {
        let history = History::from_actions(actions.clone());
        let linearizable = WGLChecker::<Configuration>::is_linearizable(history);
        assert!(linearizable, "no order explains {actions:?}");
    }
    let violations = check::check(&evidence.lock().expect("the evidence"));
    assert_eq!(violations, Vec::new());
}

#[test]
fn two_winners_of_one_version_are_seen() {
    let won = Guarded { expected: 1, won: true };
    let actions = vec![
        (0, Action::Call(won.clone())),
        (1, Action::Call(won.clone())),
        (0, Action::Response(won.clone())),
        (1, Action::Response(won)),
    ];
    let history = History::from_actions(actions);
    assert!(!WGLChecker::<Configuration>::is_linearizable(history));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_in_an_outage_does_not_serve_an_older_configuration() {
    let mut fleet = Fleet::start(BINARY, "outage-start", Spec::default(), 2).await;
    let addrs: Vec<String> = fleet.addrs().iter().map(ToString::to_string).collect();
    let changed = give(&addrs[0], "set team crew share=7").await;
    assert!(matches!(changed, Some(Ok(_))), "{changed:?}");
    fleet.cluster.faults.update(|state| state.kv.down = true);
    fleet.daemons[1].restart(BINARY);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let ready = reqwest::get(format!("http://{}/readyz", addrs[1])).await;
    let status = ready.map(|answer| answer.status().as_u16());
    assert!(!matches!(status, Ok(200)), "it serves without a configuration");
    fleet.cluster.faults.update(|state| state.kv.down = false);
    fleet.daemons[1].ready().await;
    let shown = give(&addrs[1], "show teams where share = 7").await;
    let rows = shown.and_then(Result::ok).and_then(|response| response.table);
    assert_eq!(rows.map(|table| table.rows.len()), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_gets_no_new_work_after_the_limit() {
    let spec = Spec { engines: 3, ..Spec::default() };
    let fleet = Fleet::start(BINARY, "leaving", spec, 2).await;
    let addrs = fleet.addrs();
    let load = load::Spec { seed: 61, clients: 8, programs: 6, ..load::Spec::default() };
    let clients = tokio::spawn(async move { load::run(&load, &addrs).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.cluster.vms.set(&vm_of("engine-1"), Some(State::Leaving));
    fleet.cluster.vms.set(&vm_of("engine-2"), None);
    tokio::time::sleep(fleet.cluster.spec.vm_lag + LEAVING_LIMIT).await;
    let orders = || [1, 2].map(|index| fleet.cluster.engines[index].received());
    let at_limit = orders();
    let still_busy = !clients.is_finished();
    clients.await.expect("the load ends");
    assert!(still_busy, "the load ended before the limit, so nothing was shown");
    assert!(at_limit.iter().all(|count| *count > 0), "the endpoints had no work before");
    assert_eq!(orders(), at_limit);
}
