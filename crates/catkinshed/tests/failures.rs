//! The promises under failure, over daemon processes and stand-ins on loopback.
//!
//! Each case runs a seeded load while faults happen, and checks the recorded history.

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

/// Runs a load while `faults` happen, and returns the evidence.
async fn run_with<F, R>(name: &str, spec: Spec, load: load::Spec, faults: F) -> Evidence
where
    F: FnOnce(Fleet) -> R,
    R: Future<Output = Fleet>,
{
    let run = Fleet::start(BINARY, name, spec, DAEMONS).await;
    let addrs = run.addrs();
    let clients = tokio::spawn({
        let addrs = addrs.clone();
        async move { load::run(&load, &addrs).await }
    });
    let run = faults(run).await;
    let record = clients.await.expect("the load ends");
    assert!(record.create_errors.is_empty(), "not created: {:?}", record.create_errors);
    let evidence = load::gather(&run.cluster, record, &addrs).await;
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

fn keep_promises(evidence: &Evidence) {
    let violations = check::check(evidence);
    assert!(violations.is_empty(), "{violations:#?}");
}

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Names each case: its seed, the cluster where it is not the usual one, and the faults that happen
/// during its load.
macro_rules! promises_hold_while {
    ($($name:ident($seed:expr, $run:ident $(, $spec:expr)?) $faults:block)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let load = load::Spec { seed: $seed, ..load::Spec::default() };
                #[allow(unused_mut)]
                let faults = |mut $run: Fleet| async move {
                    $faults
                    $run
                };
                #[allow(unused_mut, unused_assignments)]
                let mut spec = Spec::default();
                $(spec = $spec;)?
                let evidence = run_with(stringify!($name), spec, load, faults).await;
                keep_promises(&evidence);
            }
        )*
    };
}

promises_hold_while! {
    nothing_fails(11, run) {
        run.daemons[0].ready().await;
    }

    a_daemon_is_killed_and_another_replaced(12, run) {
        sleep(300).await;
        run.daemons[0].kill();
        sleep(1500).await;
        run.restart(0).await;
        sleep(300).await;
        run.restart(1).await;
    }

    an_owner_is_paused_past_its_lease(13, run) {
        sleep(300).await;
        run.daemons[1].pause();
        sleep(4000).await;
        run.daemons[1].resume();
    }

    the_key_value_service_is_down(14, run) {
        sleep(300).await;
        run.cluster.faults.update(|state| state.kv.down = true);
        sleep(3500).await;
        run.cluster.faults.update(|state| state.kv.down = false);
        sleep(10).await;
        run.daemons[0].ready().await;
    }

    the_key_value_service_is_slow(15, run) {
        run.cluster.faults.update(|state| state.kv.delay = Duration::from_millis(300));
        sleep(3000).await;
        run.cluster.faults.update(|state| state.kv.delay = Duration::ZERO);
        run.daemons[0].ready().await;
    }

    the_key_value_service_loses_answers(16, run) {
        run.cluster.faults.update(|state| state.kv.lose_response_every = 3);
        sleep(3000).await;
        run.cluster.faults.update(|state| state.kv.lose_response_every = 0);
        run.daemons[0].ready().await;
    }

    a_daemon_is_killed_while_answers_are_lost(17, run) {
        run.cluster.faults.update(|state| state.kv.lose_response_every = 4);
        sleep(500).await;
        run.daemons[2].kill();
        sleep(2500).await;
        run.cluster.faults.update(|state| state.kv.lose_response_every = 0);
        run.restart(2).await;
    }

    an_owner_is_killed_during_an_outage(18, run) {
        sleep(300).await;
        run.cluster.faults.update(|state| state.kv.down = true);
        sleep(1200).await;
        run.daemons[0].kill();
        sleep(1200).await;
        run.cluster.faults.update(|state| state.kv.down = false);
        run.restart(0).await;
    }

    endpoints_break_streams_and_lose_answers(19, run) {
        for index in 0..2 {
            run.cluster.faults.update_endpoint(&format!("engine-{index}"), |e| e.break_stream_every = 3);
        }
        run.cluster.faults.update_endpoint("booking-0", |e| e.lose_response_every = 4);
        run.daemons[0].ready().await;
    }

    an_engine_refuses_and_returns(20, run) {
        sleep(200).await;
        run.cluster.faults.update_endpoint("engine-0", |e| e.refuse = true);
        sleep(2000).await;
        run.cluster.faults.update_endpoint("engine-0", |e| e.refuse = false);
        run.daemons[0].ready().await;
    }

    an_endpoint_leaves_and_a_daemon_dies(21, run) {
        sleep(300).await;
        run.cluster.vms.set(&vm_of("engine-1"), Some(State::Leaving));
        run.daemons[0].kill();
        sleep(2500).await;
        run.restart(0).await;
    }

    a_daemon_is_replaced_in_order(22, run) {
        sleep(300).await;
        let code = run.daemons[1].stop().await;
        assert_eq!(code, Some(0), "the daemon did not stop in order");
        run.restart(1).await;
    }

    snapshots_are_written_while_owners_die(23, run, frequent_snapshots()) {
        for number in 0..DAEMONS {
            sleep(400).await;
            run.daemons[number].kill();
            sleep(600).await;
            run.restart(number).await;
        }
    }

    an_account_runs_out_while_a_daemon_dies(24, run, small_account()) {
        sleep(300).await;
        run.daemons[0].kill();
        sleep(1500).await;
        run.restart(0).await;
    }

    an_owner_is_paused_while_answers_are_lost(25, run) {
        run.cluster.faults.update(|state| state.kv.lose_response_every = 4);
        sleep(300).await;
        run.daemons[0].pause();
        sleep(3000).await;
        run.cluster.faults.update(|state| state.kv.lose_response_every = 0);
        run.daemons[0].resume();
    }
}

/// A cluster whose logs are snapshotted and trimmed every few segments.
fn frequent_snapshots() -> Spec {
    let spec = Spec::default();
    Spec { limits: Limits { snapshot_segments: 3, ..spec.limits.clone() }, ..spec }
}

/// A cluster whose accounts cover a part of the load, drawn in small chunks.
fn small_account() -> Spec {
    let spec = Spec { budget: 400, ..Spec::default() };
    Spec { limits: Limits { grant_chunk: 64, allowance: 48, ..spec.limits.clone() }, ..spec }
}
