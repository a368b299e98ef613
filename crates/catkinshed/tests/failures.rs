//! Guarantees of the system under failures, tested with daemon processes and fake services on
//! loopback.
//!
//! Each case runs a seeded load while faults are injected, and checks the recorded history.

use catkinshed::settings::Limits;
use platform::vms::State;
use std::future::Future;
use std::time::Duration;
use testing::check::{self, Evidence};
use testing::cluster::{Spec, vm_of};
use testing::load;
use testing::process::Fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const DAEMONS: usize = 3;

/// Runs a load while injecting `faults`, and returns the evidence.
async fn run_with<F, R>(name: &str, spec: Spec, load: load::Spec, faults: F) -> Evidence
where
    F: FnOnce(Fleet) -> R,
    R: Future<Output = Fleet>,
{
    let fleet = Fleet::start(BINARY, name, spec, DAEMONS).await;
    let addrs = fleet.addrs();
    let clients = tokio::spawn({
        let addrs = addrs.clone();
        async move { load::run(&load, &addrs).await }
    });
    let fleet = faults(fleet).await;
    let record = clients.await.expect("the load panicked");
    assert!(
        record.create_errors.is_empty(),
        "programs that could not be created: {:?}",
        record.create_errors
    );
    let evidence = load::gather(&fleet.cluster, record, &addrs).await;
    let ended =
        evidence.entries.iter().filter(|entry| matches!(entry.reply, check::Reply::Ended(..)));
    println!("{name}: {} of {} calls ended", ended.count(), evidence.entries.len());
    for entry in &evidence.entries {
        if !matches!(entry.reply, check::Reply::Ended(..)) {
            println!("{name}: {} {} {:?}", entry.program, entry.call.call, entry.reply);
        }
    }
    evidence
}

fn assert_no_violations(evidence: &Evidence) {
    let violations = check::check(evidence);
    assert!(violations.is_empty(), "{violations:#?}");
}

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Defines one test per case: its name, seed, variable for the fleet, cluster if it is not the
/// default one, and the faults to inject during the load.
macro_rules! guarantees_hold_while {
    ($($name:ident($seed:expr, $fleet:ident $(, $spec:expr)?) $faults:block)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let load = load::Spec { seed: $seed, ..load::Spec::default() };
                #[allow(unused_mut)]
                let faults = |mut $fleet: Fleet| async move {
                    $faults
                    $fleet
                };
                #[allow(unused_mut, unused_assignments)]
                let mut spec = Spec::default();
                $(spec = $spec;)?
                let evidence = run_with(stringify!($name), spec, load, faults).await;
                assert_no_violations(&evidence);
            }
        )*
    };
}

guarantees_hold_while! {
    nothing_fails(11, fleet) {
        fleet.daemons[0].ready().await;
    }

    a_daemon_is_killed_and_another_replaced(12, fleet) {
        sleep(300).await;
        fleet.daemons[0].kill();
        sleep(1500).await;
        fleet.restart(0).await;
        sleep(300).await;
        fleet.restart(1).await;
    }

    an_owner_is_paused_past_its_lease(13, fleet) {
        sleep(300).await;
        fleet.daemons[1].pause();
        sleep(4000).await;
        fleet.daemons[1].resume();
    }

    the_key_value_service_is_down(14, fleet) {
        sleep(300).await;
        fleet.cluster.faults.update(|state| state.kv.down = true);
        sleep(3500).await;
        fleet.cluster.faults.update(|state| state.kv.down = false);
        sleep(10).await;
        fleet.daemons[0].ready().await;
    }

    the_key_value_service_is_slow(15, fleet) {
        fleet.cluster.faults.update(|state| state.kv.delay = Duration::from_millis(300));
        sleep(3000).await;
        fleet.cluster.faults.update(|state| state.kv.delay = Duration::ZERO);
        fleet.daemons[0].ready().await;
    }

    the_key_value_service_loses_responses(16, fleet) {
        fleet.cluster.faults.update(|state| state.kv.lose_response_every = 3);
        sleep(3000).await;
        fleet.cluster.faults.update(|state| state.kv.lose_response_every = 0);
        fleet.daemons[0].ready().await;
    }

    a_daemon_is_killed_while_responses_are_lost(17, fleet) {
        fleet.cluster.faults.update(|state| state.kv.lose_response_every = 4);
        sleep(500).await;
        fleet.daemons[2].kill();
        sleep(2500).await;
        fleet.cluster.faults.update(|state| state.kv.lose_response_every = 0);
        fleet.restart(2).await;
    }

    an_owner_is_killed_during_an_outage(18, fleet) {
        sleep(300).await;
        fleet.cluster.faults.update(|state| state.kv.down = true);
        sleep(1200).await;
        fleet.daemons[0].kill();
        sleep(1200).await;
        fleet.cluster.faults.update(|state| state.kv.down = false);
        fleet.restart(0).await;
    }

    endpoints_interrupt_streams_and_lose_responses(19, fleet) {
        for index in 0..2 {
            fleet.cluster.faults.update_endpoint(&format!("engine-{index}"), |e| e.break_stream_every = 3);
        }
        fleet.cluster.faults.update_endpoint("booking-0", |e| e.lose_response_every = 4);
        fleet.daemons[0].ready().await;
    }

    an_engine_refuses_requests_and_recovers(20, fleet) {
        sleep(200).await;
        fleet.cluster.faults.update_endpoint("engine-0", |e| e.refuse = true);
        sleep(2000).await;
        fleet.cluster.faults.update_endpoint("engine-0", |e| e.refuse = false);
        fleet.daemons[0].ready().await;
    }

    an_endpoint_leaves_and_a_daemon_is_killed(21, fleet) {
        sleep(300).await;
        fleet.cluster.vms.set(&vm_of("engine-1"), Some(State::Leaving));
        fleet.daemons[0].kill();
        sleep(2500).await;
        fleet.restart(0).await;
    }

    a_daemon_is_stopped_gracefully_and_replaced(22, fleet) {
        sleep(300).await;
        let code = fleet.daemons[1].stop().await;
        assert_eq!(code, Some(0), "the graceful stop of the daemon failed");
        fleet.restart(1).await;
    }

    snapshots_are_written_while_owners_are_killed(23, fleet, frequent_snapshots()) {
        for number in 0..DAEMONS {
            sleep(400).await;
            fleet.daemons[number].kill();
            sleep(600).await;
            fleet.restart(number).await;
        }
    }

    an_account_is_exhausted_while_a_daemon_is_killed(24, fleet, small_account()) {
        sleep(300).await;
        fleet.daemons[0].kill();
        sleep(1500).await;
        fleet.restart(0).await;
    }

    an_owner_is_paused_while_responses_are_lost(25, fleet) {
        fleet.cluster.faults.update(|state| state.kv.lose_response_every = 4);
        sleep(300).await;
        fleet.daemons[0].pause();
        sleep(3000).await;
        fleet.cluster.faults.update(|state| state.kv.lose_response_every = 0);
        fleet.daemons[0].resume();
    }
}

/// Returns a cluster that writes a snapshot of each log, and trims it, every few segments.
fn frequent_snapshots() -> Spec {
    let spec = Spec::default();
    Spec { limits: Limits { snapshot_segments: 3, ..spec.limits.clone() }, ..spec }
}

/// Returns a cluster whose accounts cover only a part of the load and are drawn in small chunks.
fn small_account() -> Spec {
    let spec = Spec { budget: 400, ..Spec::default() };
    Spec { limits: Limits { grant_chunk: 64, allowance: 48, ..spec.limits.clone() }, ..spec }
}
