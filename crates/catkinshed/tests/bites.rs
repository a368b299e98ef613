//! The checks of the guarantees detect violations.
//!
//! Each case injects a fault into the daemons' own code, runs a load that triggers it, and expects
//! the check of the affected guarantee to report it. Counterparts without the fault expect no
//! violation.

use caller::api::{Call, History};
use caller::client::Client;
use catkinshed::settings::InjectedFault;
use indexmap::IndexSet;
use std::time::Duration;
use testing::check::{self, Entry, Evidence, Guarantee, Reply};
use testing::cluster::{Spec, VANS_TOKEN};
use testing::load::{self, Record};
use testing::process::Fleet;
use testing::program::service;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");

/// Returns a cluster with one injected fault.
fn with_fault(fault: InjectedFault) -> Spec {
    Spec { injected: IndexSet::from([fault]), ..Spec::default() }
}

fn assert_detected(evidence: &Evidence, guarantee: Guarantee) {
    let violations = check::check(evidence);
    let detected = violations.iter().any(|violation| violation.guarantee == guarantee);
    assert!(detected, "no violation of {guarantee:?} was detected, only {violations:#?}");
}

async fn run_load(name: &str, spec: Spec, load: load::Spec) -> Evidence {
    let fleet = Fleet::start(BINARY, name, spec, 2).await;
    let addrs = fleet.addrs();
    let record = load::run(&load, &addrs).await;
    load::gather(&fleet.cluster, record, &addrs).await
}

#[tokio::test(flavor = "multi_thread")]
async fn unchecked_requests_exceed_the_budget() {
    let load = load::Spec { budget: 60, retry: false, ..load::Spec::default() };
    let evidence = run_load("budget", with_fault(InjectedFault::BudgetUnchecked), load).await;
    assert_detected(&evidence, Guarantee::Budget);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_budget_is_not_exceeded() {
    let load = load::Spec { budget: 60, retry: false, ..load::Spec::default() };
    let evidence = run_load("budget-holds", Spec::default(), load).await;
    assert_eq!(check::check(&evidence), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn unreleased_pins_violate_the_memory_guarantee() {
    let load = load::Spec { clients: 2, programs: 1, ..load::Spec::default() };
    let evidence = run_load("pins", with_fault(InjectedFault::KeepPins), load).await;
    assert_detected(&evidence, Guarantee::Memory);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_other_programs_violate_the_answer_guarantee() {
    let spec = Spec { logs: 1, ..with_fault(InjectedFault::ForeignAnswer) };
    let evidence = run_load("foreign", spec, load::Spec::default()).await;
    assert_detected(&evidence, Guarantee::Answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcomes_reported_as_not_run_are_detected() {
    let fleet =
        Fleet::start(BINARY, "not-run", with_fault(InjectedFault::UnknownAsNotRun), 1).await;
    fleet.cluster.faults.update_endpoint("booking-0", |e| e.lose_response_every = 1);
    let (program, call) = book(&fleet).await;
    let mut client = Client::new(&fleet.addrs(), VANS_TOKEN, 0);
    let reply = Reply::from(client.try_call(&program, &call).await);
    assert_detected(&evidence_of(&fleet, &program, &call, reply), Guarantee::NotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_before_its_intent_runs_twice() {
    let evidence =
        kill_owner_during_booking("early-request", with_fault(InjectedFault::IntentAfterOrder))
            .await;
    assert_detected(&evidence, Guarantee::AtMostOnce);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_after_its_intent_runs_once() {
    let evidence = kill_owner_during_booking("late-request", Spec::default()).await;
    assert_eq!(check::check(&evidence), Vec::new());
    assert_eq!(evidence.effects.len(), 1, "the booking did not run exactly once");
}

/// Kills the owner of a booking while the booking runs, and repeats the call after a restart.
async fn kill_owner_during_booking(name: &str, spec: Spec) -> Evidence {
    let mut fleet = Fleet::start(BINARY, name, spec, 1).await;
    let (program, call) = book(&fleet).await;
    fleet.cluster.faults.update_endpoint("booking-0", |e| e.delay = Duration::from_millis(800));
    let sends_before_intent =
        fleet.cluster.spec.injected.contains(&InjectedFault::IntentAfterOrder);
    if sends_before_intent {
        fleet.cluster.faults.update(|state| state.kv.down = true);
    }
    let addrs = fleet.addrs();
    let first_attempt = tokio::spawn({
        let (addrs, program, call) = (addrs.clone(), program.clone(), call.clone());
        async move { Client::new(&addrs, VANS_TOKEN, 0).try_call(&program, &call).await }
    });
    wait_for_request(&fleet).await;
    fleet.daemons[0].kill();
    fleet.cluster.faults.update(|state| state.kv.down = false);
    let _interrupted = first_attempt.await;
    fleet.restart(0).await;
    let reply = Reply::from(Client::new(&addrs, VANS_TOKEN, 0).call(&program, &call).await);
    tokio::time::sleep(Duration::from_millis(1000)).await;
    evidence_of(&fleet, &program, &call, reply)
}

/// Waits until the booking service has received the request.
async fn wait_for_request(fleet: &Fleet) {
    let started = std::time::Instant::now();
    while fleet.cluster.services[0].received() == 0 {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "the booking service received no request"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Creates a program and returns it with a booking call that is not idempotent.
async fn book(fleet: &Fleet) -> (compact_str::CompactString, Call) {
    let mut client = Client::new(&fleet.addrs(), VANS_TOKEN, 0);
    let create = caller::api::Create {
        pool: "models".into(),
        account: "vans-tokens".into(),
        budget: 1_000,
        key: Some("booking".into()),
        ..caller::api::Create::default()
    };
    let program = client.create(&create).await.expect("failed to create the program");
    (program, service(1, "booking", "book", "one seat", false))
}

/// Returns the evidence of one call. The history is built from the reply that the client received,
/// so the checks depend only on the effects at the service.
fn evidence_of(fleet: &Fleet, program: &str, call: &Call, reply: Reply) -> Evidence {
    let effects = fleet.cluster.effects();
    let mut evidence = Evidence { effects, ..Evidence::default() };
    if let Reply::Ended(outcome, _) = &reply {
        let (id, seq, work) = (call.call.clone(), call.seq, call.work.clone());
        let call = sched::call::Call { id, seq, work };
        let turn = sched::call::Turn { call, outcome: outcome.clone() };
        let recorded = sched::program::Program {
            spec: sched::record::Spec { budget: 1_000, ..Default::default() },
            turns: vec![turn],
            ..Default::default()
        };
        evidence.histories.insert(program.into(), History::new(program.into(), recorded));
    }
    evidence.entries.push(Entry { program: program.into(), call: call.clone(), reply });
    evidence
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfenced_owner_loses_history() {
    let spec = Spec { logs: 2, ..with_fault(InjectedFault::NoFence) };
    let mut fleet = Fleet::start(BINARY, "fence", spec, 2).await;
    let addrs = fleet.addrs();
    // With this many calls, clients still send requests to the paused owner after it resumes.
    let load = load::Spec { clients: 6, programs: 1, calls: 40, seed: 31, ..load::Spec::default() };
    let clients = tokio::spawn({
        let addrs = addrs.clone();
        async move { load::run(&load, &addrs).await }
    });
    // The pause must begin while programs run, however slowly the processes are scheduled.
    let busy = || fleet.cluster.engines.iter().map(|engine| engine.received()).sum::<u32>() >= 6;
    testing::gateway_harness::wait_until("a few calls", busy).await;
    fleet.daemons[0].pause();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    fleet.daemons[0].resume();
    let record = clients.await.expect("the load panicked");
    // The unfenced owner serves its own version of the log; the other daemon has the durable one.
    fleet.daemons[0].kill();
    fleet.restart(0).await;
    let evidence = load::gather(&fleet.cluster, record, &addrs[1..]).await;
    assert_detected(&evidence, Guarantee::History);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_that_does_not_wait_interrupts_requests() {
    let evidence = replace_each("stop-at-once", with_fault(InjectedFault::StopAtOnce)).await;
    assert_detected(&evidence, Guarantee::Stop);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_interrupts_no_requests() {
    let evidence = replace_each("stop", Spec::default()).await;
    assert_eq!(check::check(&evidence), Vec::new());
}

/// Replaces each daemon in turn under load, and records the requests that were interrupted.
///
/// Once a daemon is about to stop, callers send new requests only to the other daemons, as the
/// platform's load balancer does based on the readiness probe.
async fn replace_each(name: &str, spec: Spec) -> Evidence {
    let mut fleet = Fleet::start(BINARY, name, spec, 3).await;
    let mut record = Record::default();
    let addrs = fleet.addrs();
    for number in 0..3 {
        let others: Vec<_> = addrs.iter().enumerate().filter(|(at, _)| *at != number).collect();
        let others: Vec<_> = others.into_iter().map(|(_, addr)| addr.clone()).collect();
        let seed = 40 + number as u64;
        let load = load::Spec {
            seed,
            clients: 8,
            programs: 1,
            calls: 4,
            retry: false,
            ..load::Spec::default()
        };
        let before_stop = tokio::spawn({
            let (load, addrs) = (load::Spec { seed: seed + 50, ..load.clone() }, addrs.clone());
            async move {
                load::run(&load::Spec { calls: 1, max_answer_tokens: 200, ..load }, &addrs).await
            }
        });
        tokio::time::sleep(Duration::from_millis(250)).await;
        let during_stop = tokio::spawn(async move { load::run(&load, &others).await });
        fleet.daemons[number].stop().await;
        record.merge(before_stop.await.expect("the load panicked"));
        record.merge(during_stop.await.expect("the load panicked"));
        fleet.restart(number).await;
    }
    let interrupted = record.entries.iter().filter_map(|entry| match &entry.reply {
        Reply::Ended(..) => None,
        reply => Some(format!("{} {} {reply:?}", entry.program, entry.call.call)),
    });
    let interrupted: Vec<String> = interrupted.chain(record.create_errors.clone()).collect();
    Evidence { interrupted, ..load::gather(&fleet.cluster, record, &addrs).await }
}
