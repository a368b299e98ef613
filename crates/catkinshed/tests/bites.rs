//! The checks of the promises fail when the promise is broken.
//!
//! Each case injects a fault into the daemons' own code, runs what brings it out, and expects the
//! check of that promise to see it.

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

fn injecting(fault: InjectedFault) -> Spec {
    Spec { injected: IndexSet::from([fault]), ..Spec::default() }
}

fn assert_seen(evidence: &Evidence, promise: Guarantee) {
    let violations = check::check(evidence);
    let seen = violations.iter().any(|violation| violation.guarantee == promise);
    assert!(seen, "the check of {promise:?} saw nothing; others saw {violations:#?}");
}

async fn run_load(name: &str, spec: Spec, load: load::Spec) -> Evidence {
    let fleet = Fleet::start(BINARY, name, spec, 2).await;
    let addrs = fleet.addrs();
    let record = load::run(&load, &addrs).await;
    load::gather(&fleet.cluster, record, &addrs).await
}

#[tokio::test(flavor = "multi_thread")]
async fn unlimited_orders_break_the_budget() {
    let load = load::Spec { budget: 60, retry: false, ..load::Spec::default() };
    let evidence = run_load("budget", injecting(InjectedFault::BudgetUnchecked), load).await;
    assert_seen(&evidence, Guarantee::Budget);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_budget_holds() {
    let load = load::Spec { budget: 60, retry: false, ..load::Spec::default() };
    let evidence = run_load("budget-holds", Spec::default(), load).await;
    assert_eq!(check::check(&evidence), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_pins_break_the_promise_on_memory() {
    let load = load::Spec { clients: 2, programs: 1, ..load::Spec::default() };
    let evidence = run_load("pins", injecting(InjectedFault::KeepPins), load).await;
    assert_seen(&evidence, Guarantee::Memory);
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_answers_break_the_promise_on_answers() {
    let spec = Spec { logs: 1, ..injecting(InjectedFault::ForeignAnswer) };
    let evidence = run_load("foreign", spec, load::Spec::default()).await;
    assert_seen(&evidence, Guarantee::Answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcomes_told_as_not_run_are_seen() {
    let fleet = Fleet::start(BINARY, "not-run", injecting(InjectedFault::UnknownAsNotRun), 1).await;
    fleet.cluster.faults.update_endpoint("booking-0", |e| e.lose_response_every = 1);
    let (program, call) = book(&fleet).await;
    let mut client = Client::new(&fleet.addrs(), VANS_TOKEN, 0);
    let told = Reply::from(client.try_call(&program, &call).await);
    assert_seen(&evidence_of(&fleet, &program, &call, told), Guarantee::NotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_before_its_intent_runs_twice() {
    let ran =
        runs_when_owner_is_killed("early-order", injecting(InjectedFault::IntentAfterOrder)).await;
    assert_seen(&ran, Guarantee::AtMostOnce);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_after_its_intent_runs_once() {
    let ran = runs_when_owner_is_killed("late-order", Spec::default()).await;
    assert_eq!(check::check(&ran), Vec::new());
    assert_eq!(ran.effects.len(), 1, "the booking ran before its owner was killed");
}

/// Kills the owner of a booking while the booking runs, and repeats the call at the next owner.
async fn runs_when_owner_is_killed(name: &str, spec: Spec) -> Evidence {
    let mut fleet = Fleet::start(BINARY, name, spec, 1).await;
    let (program, call) = book(&fleet).await;
    fleet.cluster.faults.update_endpoint("booking-0", |e| e.delay = Duration::from_millis(800));
    let early = fleet.cluster.spec.injected.contains(&InjectedFault::IntentAfterOrder);
    if early {
        fleet.cluster.faults.update(|state| state.kv.down = true);
    }
    let addrs = fleet.addrs();
    let asked = tokio::spawn({
        let (addrs, program, call) = (addrs.clone(), program.clone(), call.clone());
        async move { Client::new(&addrs, VANS_TOKEN, 0).try_call(&program, &call).await }
    });
    wait_for_order(&fleet).await;
    fleet.daemons[0].kill();
    fleet.cluster.faults.update(|state| state.kv.down = false);
    let _broken = asked.await;
    fleet.restart(0).await;
    let told = Reply::from(Client::new(&addrs, VANS_TOKEN, 0).call(&program, &call).await);
    tokio::time::sleep(Duration::from_millis(1000)).await;
    evidence_of(&fleet, &program, &call, told)
}

/// Waits until the booking's order has left.
async fn wait_for_order(fleet: &Fleet) {
    let started = std::time::Instant::now();
    while fleet.cluster.services[0].received() == 0 {
        assert!(started.elapsed() < Duration::from_secs(10), "the order does not leave");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn book(fleet: &Fleet) -> (compact_str::CompactString, Call) {
    let mut client = Client::new(&fleet.addrs(), VANS_TOKEN, 0);
    let create = caller::api::Create {
        pool: "models".into(),
        account: "vans-tokens".into(),
        budget: 1_000,
        key: Some("booking".into()),
        ..caller::api::Create::default()
    };
    let program = client.create(&create).await.expect("a program");
    (program, service(1, "booking", "book", "one seat", false))
}

/// Evidence of one call; its history is what the client was told, so only the effects are judged.
fn evidence_of(fleet: &Fleet, program: &str, call: &Call, told: Reply) -> Evidence {
    let effects = fleet.cluster.effects();
    let mut evidence = Evidence { effects, ..Evidence::default() };
    if let Reply::Ended(outcome, _) = &told {
        let (id, seq, work) = (call.call.clone(), call.seq, call.work.clone());
        let call = sched::call::Call { id, seq, work };
        let turn = sched::call::Turn { call, outcome: outcome.clone() };
        let kept = sched::program::Program {
            spec: sched::record::Spec { budget: 1_000, ..Default::default() },
            turns: vec![turn],
            ..Default::default()
        };
        evidence.histories.insert(program.into(), History::new(program.into(), kept));
    }
    evidence.entries.push(Entry { program: program.into(), call: call.clone(), reply: told });
    evidence
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfenced_owner_loses_history() {
    let spec = Spec { logs: 2, ..injecting(InjectedFault::NoFence) };
    let mut fleet = Fleet::start(BINARY, "fence", spec, 2).await;
    let addrs = fleet.addrs();
    // Enough calls that clients still ask the paused owner once it is back.
    let load = load::Spec { clients: 6, programs: 1, calls: 40, seed: 31, ..load::Spec::default() };
    let clients = tokio::spawn({
        let addrs = addrs.clone();
        async move { load::run(&load, &addrs).await }
    });
    // The pause has to find programs under way, however late the processes get their turn.
    let busy = || fleet.cluster.engines.iter().map(|engine| engine.received()).sum::<u32>() >= 6;
    testing::gateway_harness::wait_until("a few calls", busy).await;
    fleet.daemons[0].pause();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    fleet.daemons[0].resume();
    let record = clients.await.expect("the load ends");
    // The unfenced owner answers from its own version of the log; another daemon has the real one.
    fleet.daemons[0].kill();
    fleet.restart(0).await;
    let evidence = load::gather(&fleet.cluster, record, &addrs[1..]).await;
    assert_seen(&evidence, Guarantee::History);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_that_does_not_wait_cuts_requests_off() {
    let evidence = stop_each("stop-at-once", injecting(InjectedFault::StopAtOnce)).await;
    assert_seen(&evidence, Guarantee::Stop);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let evidence = stop_each("stop", Spec::default()).await;
    assert_eq!(check::check(&evidence), Vec::new());
}

/// Replaces each daemon in turn under load, and notes the requests that broke off.
///
/// The callers send new requests only to daemons that are not about to stop, as the platform's
/// balancer does by the readiness probe.
async fn stop_each(name: &str, spec: Spec) -> Evidence {
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
        let begun = tokio::spawn({
            let (load, addrs) = (load::Spec { seed: seed + 50, ..load.clone() }, addrs.clone());
            async move {
                load::run(&load::Spec { calls: 1, max_answer_tokens: 200, ..load }, &addrs).await
            }
        });
        tokio::time::sleep(Duration::from_millis(250)).await;
        let going_on = tokio::spawn(async move { load::run(&load, &others).await });
        fleet.daemons[number].stop().await;
        record.merge(begun.await.expect("the load ends"));
        record.merge(going_on.await.expect("the load ends"));
        fleet.restart(number).await;
    }
    let cut_off = record.entries.iter().filter_map(|entry| match &entry.reply {
        Reply::Ended(..) => None,
        told => Some(format!("{} {} {told:?}", entry.program, entry.call.call)),
    });
    let cut_off: Vec<String> = cut_off.chain(record.create_errors.clone()).collect();
    Evidence { interrupted: cut_off, ..load::gather(&fleet.cluster, record, &addrs).await }
}
