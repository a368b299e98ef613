//! Checks that a daemon whose view is out of date does not mislead the others.

use std::time::{Duration, Instant};
use testing::gateway_harness::Harness;
use testing::script::{Behaviour, Endpoint};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time after the acknowledgement of an endpoint's end within which requests may still reach it.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Interval between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Sends safe requests to `daemons` in parallel for `duration`.
async fn send_requests(harness: &Harness, daemons: &[usize], duration: Duration) {
    let count = duration.div_duration_f64(REQUEST_INTERVAL) as u32;
    let requests = daemons.iter().flat_map(|daemon| (0..count).map(move |n| (*daemon, n)));
    let requests = requests.map(|(daemon, number)| async move {
        tokio::time::sleep(REQUEST_INTERVAL * number).await;
        let id = format!("r-{daemon}-{number}");
        harness.request(daemon, "/safe/x", &id, &["Deadline-Ms: 1500"]).await.status
    });
    let statuses = futures::future::join_all(requests).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 10 >= statuses.len() * 9, "{served} of {} served", statuses.len());
}

/// Guards against daemons that send requests to an endpoint that they know to have left, because a
/// coordinator that has just woken books it (DRAIN, review case 2).
#[tokio::test(flavor = "multi_thread")]
async fn daemons_follow_the_bookings_of_a_coordinator_that_has_just_woken() {
    let work = Behaviour::RespondAfter(Duration::from_millis(60));
    let mut endpoints = Vec::new();
    for number in 0..4 {
        endpoints.push(Endpoint::start(&format!("e-{number}"), work.clone()).await);
    }
    let listed: Vec<&Endpoint> = endpoints.iter().collect();
    // The coordinator stays a member while it is paused.
    let keep_lease = |settings: &mut gateway::settings::Settings| {
        settings.limits.lease_ttl_ms = 10_000;
    };
    let harness = Harness::start_with(BINARY, "woken", 3, &listed, keep_lease).await;
    let rank = |number: &usize| sched::members::weight(&"s", &format!("gate-{number}"));
    let coordinator = (0..3).max_by_key(rank).expect("daemons");
    let others: Vec<usize> = (0..3).filter(|number| *number != coordinator).collect();

    let disruption = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        harness.daemons[coordinator].process.pause();
        tokio::time::sleep(Duration::from_millis(100)).await;
        harness.deregister(&endpoints[0]).await;
        let acknowledged = Instant::now();
        // A daemon asks a coordinator that did not answer again after two seconds.
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        harness.daemons[coordinator].process.resume();
        acknowledged
    };
    let requests = send_requests(&harness, &others, Duration::from_millis(5_500));
    let (acknowledged, ()) = tokio::join!(disruption, requests);

    let runs = endpoints[0].runs();
    let after = |started: Instant| started.saturating_duration_since(acknowledged);
    let late: Vec<Duration> =
        runs.iter().map(|run| after(run.started)).filter(|after| *after > DRAIN_TIME).collect();
    assert!(late.is_empty(), "{} requests reached the endpoint late: {late:?}", late.len());
}
