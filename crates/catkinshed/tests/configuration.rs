//! Checks the configuration under concurrent operators and failing daemons, and that endpoints
//! whose VMs leave get no new work.

use operator::api::{Failure, Request, Response};
use platform::vms::State;
use sched::id::Version;
use serde_json::{Value, json};
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
/// Maximum time after the VM list shows a change for which the endpoint may still get new work.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// A change that is conditional on a version, with its result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConditionalChange {
    expected: Version,
    succeeded: bool,
}

/// Sequential specification of the configuration's version: a register that each successful
/// conditional change increments.
struct VersionRegister;

impl Specification for VersionRegister {
    type State = Version;
    type Operation = ConditionalChange;

    fn init() -> Version {
        1
    }

    fn apply(operation: &ConditionalChange, state: &Version) -> (bool, Version) {
        match operation.succeeded {
            true => (operation.expected == *state, *state + 1),
            false => (operation.expected != *state, *state),
        }
    }
}

type RecordedActions = Arc<Mutex<Vec<(usize, Action<ConditionalChange>)>>>;

/// Sends an operator's command, and returns `None` when no valid response arrives.
async fn send_command(addr: &str, command: &str) -> Option<Result<Response, Failure>> {
    let url = format!("http://{addr}/admin/v1/commands");
    let request = Request { command: command.to_owned() };
    let client = reqwest::Client::builder().timeout(Duration::from_secs(8)).build().ok()?;
    let response = client.post(url).bearer_auth(OPERATOR_TOKEN).json(&request).send().await.ok()?;
    match response.status().is_success() {
        true => response.json().await.ok().map(Ok),
        false => response.json().await.ok().map(Err),
    }
}

/// Changes the same object repeatedly, each time on the condition that the configuration still has
/// the last known version.
async fn operate(addrs: Vec<String>, number: usize, recorded_actions: RecordedActions) {
    let mut known_version: Version = 1;
    for round in 0..ROUNDS {
        let addr = &addrs[(number + round) % addrs.len()];
        let share = number * 100 + round + 1;
        let command = format!("set team crew share={share} if version {known_version}");
        let change = ConditionalChange { expected: known_version, succeeded: false };
        let position = {
            let mut recorded_actions =
                recorded_actions.lock().expect("the recorded actions are poisoned");
            recorded_actions.push((number, Action::Call(change.clone())));
            recorded_actions.len() - 1
        };
        let (result, next) = match send_command(addr, &command).await {
            Some(Ok(response)) => (Some(true), response.version.unwrap_or(known_version)),
            Some(Err(failure)) if failure.code == "version_conflict" => {
                (Some(false), failure.current.unwrap_or(known_version))
            }
            _ => (None, known_version),
        };
        let mut recorded_actions =
            recorded_actions.lock().expect("the recorded actions are poisoned");
        match result {
            Some(succeeded) => {
                let operation = ConditionalChange { succeeded, ..change };
                recorded_actions[position].1 = Action::Call(operation.clone());
                recorded_actions.push((number, Action::Response(operation)));
            }
            // Without a valid response the result is unknown; the audit trail tells whether the
            // change was made.
            None => recorded_actions[position].0 = usize::MAX,
        }
        known_version = next;
    }
}

async fn sample_versions(addr: String, evidence: Arc<Mutex<Evidence>>) {
    loop {
        if let Some(Ok(response)) = send_command(&addr, "show daemons").await {
            let rows = response.table.map(|table| table.rows).unwrap_or_default();
            let mut evidence = evidence.lock().expect("the evidence is poisoned");
            for row in rows {
                let vm = row["daemon"].as_str().unwrap_or_default();
                let version = row["version"].as_u64().unwrap_or_default();
                // Responses of different daemons have no known order, so versions are kept
                // separately for each daemon that reports them.
                let observed = format!("{vm} as seen by {addr}").into();
                evidence.versions.entry(observed).or_default().push(version);
            }
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_get_one_version_each_and_none_reverts() {
    let mut fleet = Fleet::start(BINARY, "operators", Spec::default(), 3).await;
    let addrs: Vec<String> = fleet.addrs().iter().map(ToString::to_string).collect();
    let recorded_actions = RecordedActions::default();
    let evidence = Arc::new(Mutex::new(Evidence::default()));
    let samplers: Vec<_> = addrs
        .iter()
        .map(|addr| tokio::spawn(sample_versions(addr.clone(), evidence.clone())))
        .collect();
    fleet.cluster.faults.update(|state| state.kv.lose_response_every = 5);
    let operators = (0..OPERATORS)
        .map(|number| tokio::spawn(operate(addrs.clone(), number, recorded_actions.clone())));
    let operators: Vec<_> = operators.collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    fleet.daemons[2].kill();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.restart(2).await;
    fleet.daemons[1].pause();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.daemons[1].resume();
    for operator in operators {
        operator.await.expect("the task of an operator panicked");
    }
    fleet.cluster.faults.update(|state| state.kv.lose_response_every = 0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    samplers.iter().for_each(tokio::task::JoinHandle::abort);
    check_history(&addrs[0], &recorded_actions, &evidence).await;
}

/// Checks that the recorded changes are linearizable and that no daemon's version decreased.
async fn check_history(
    addr: &str,
    recorded_actions: &RecordedActions,
    evidence: &Arc<Mutex<Evidence>>,
) {
    let mut actions = recorded_actions.lock().expect("the recorded actions are poisoned").clone();
    let unanswered = actions.iter().filter(|(process, _)| *process == usize::MAX).count();
    actions.retain(|(process, _)| *process != usize::MAX);
    let succeeded = actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(operation) if operation.succeeded));
    let succeeded = succeeded.count();
    assert!(succeeded > 0, "no change succeeded");
    let audit =
        send_command(addr, "show audit where object = team and name = crew and version > 1").await;
    let audit = audit.and_then(Result::ok).and_then(|response| response.table);
    let changes = audit.expect("failed to show the audit trail").rows.len();
    assert!(
        changes >= succeeded && changes <= succeeded + unanswered,
        "{changes} changes in the audit trail, {succeeded} reported as successful"
    );
    if changes == succeeded {
        let history = History::from_actions(actions.clone());
        let linearizable = WGLChecker::<VersionRegister>::is_linearizable(history);
        assert!(linearizable, "not linearizable: {actions:?}");
    }
    let violations = check::check(&evidence.lock().expect("the evidence is poisoned"));
    assert_eq!(violations, Vec::new());
}

#[test]
fn two_changes_that_got_the_same_version_are_detected() {
    let change = ConditionalChange { expected: 1, succeeded: true };
    let actions = vec![
        (0, Action::Call(change.clone())),
        (1, Action::Call(change.clone())),
        (0, Action::Response(change.clone())),
        (1, Action::Response(change)),
    ];
    let history = History::from_actions(actions);
    assert!(!WGLChecker::<VersionRegister>::is_linearizable(history));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_during_an_outage_does_not_serve_an_older_configuration() {
    let mut fleet = Fleet::start(BINARY, "outage-start", Spec::default(), 2).await;
    let addrs: Vec<String> = fleet.addrs().iter().map(ToString::to_string).collect();
    let changed = send_command(&addrs[0], "set team crew share=7").await;
    assert!(matches!(changed, Some(Ok(_))), "{changed:?}");
    fleet.cluster.faults.update(|state| state.kv.down = true);
    fleet.daemons[1].restart(BINARY);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let ready = reqwest::get(format!("http://{}/readyz", addrs[1])).await;
    let status = ready.map(|response| response.status().as_u16());
    assert!(!matches!(status, Ok(200)), "the daemon is ready without a current configuration");
    fleet.cluster.faults.update(|state| state.kv.down = false);
    fleet.daemons[1].ready().await;
    let shown = send_command(&addrs[1], "show teams where share = 7").await;
    let rows = shown.and_then(Result::ok).and_then(|response| response.table);
    assert_eq!(rows.map(|table| table.rows.len()), Some(1));
}

/// Guards against a daemon that misses one change of the configuration, and with it all later ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_an_answer_of_a_watch_passed_over_hides_all_later_ones() {
    let fleet = Fleet::start(BINARY, "passed-over", Spec::default(), 2).await;
    let addrs: Vec<String> = fleet.addrs().iter().map(ToString::to_string).collect();
    fleet.cluster.faults.update(|state| state.kv.deaf = true);
    // The daemon writes the change and waits in vain to hear of it.
    let unconfirmed = send_command(&addrs[0], "set team crew share=7").await;
    // Every watch call that was open has been answered, without the change.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    fleet.cluster.faults.update(|state| state.kv.deaf = false);
    tokio::time::sleep(Duration::from_millis(6_000)).await;
    for addr in &addrs {
        let shown = send_command(addr, "show teams where share = 7").await;
        let rows = shown.and_then(Result::ok).and_then(|response| response.table);
        assert_eq!(rows.map(|table| table.rows.len()), Some(1), "{addr}, {unconfirmed:?}");
    }
    let changed = send_command(&addrs[1], "set team crew max_programs=70").await;
    assert!(matches!(changed, Some(Ok(_))), "{changed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_whose_vm_leaves_or_vanishes_gets_no_new_work_after_the_grace_period() {
    leaving_vms_get_no_new_work("leaving", &[]).await;
}

/// Guards against a VM list that is ignored because of one entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_hides_the_vms_that_leave() {
    let odd = [json!({ "name": "vm-odd", "dc": "dc-a", "state": "moving" }), json!(7), json!({})];
    leaving_vms_get_no_new_work("odd-vms", &odd).await;
}

async fn leaving_vms_get_no_new_work(name: &str, odd_entries: &[Value]) {
    let spec = Spec { engines: 3, ..Spec::default() };
    let fleet = Fleet::start(BINARY, name, spec, 2).await;
    fleet.cluster.vms.add_odd(odd_entries.iter().cloned());
    let addrs = fleet.addrs();
    let load = load::Spec { seed: 61, clients: 8, programs: 6, ..load::Spec::default() };
    let clients = tokio::spawn(async move { load::run(&load, &addrs).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.cluster.vms.set(&vm_of("engine-1"), Some(State::Leaving));
    fleet.cluster.vms.set(&vm_of("engine-2"), None);
    tokio::time::sleep(fleet.cluster.spec.vm_lag + LEAVE_GRACE_PERIOD).await;
    let received_counts = || [1, 2].map(|index| fleet.cluster.engines[index].received());
    let after_grace_period = received_counts();
    let still_busy = !clients.is_finished();
    clients.await.expect("the load panicked");
    assert!(still_busy, "the load ended during the grace period, so the test shows nothing");
    assert!(
        after_grace_period.iter().all(|count| *count > 0),
        "an endpoint got no work before the grace period ended"
    );
    assert_eq!(received_counts(), after_grace_period);
}
