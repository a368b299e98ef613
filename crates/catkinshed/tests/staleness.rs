//! Checks that a daemon whose view is out of date does not mislead the others.

use std::time::{Duration, Instant};
use testing::gateway_harness::{HOST, Harness, Partitionable, config, route};
use testing::script::{Behaviour, Endpoint};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time after the acknowledgement of an endpoint's end within which requests may still reach it.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after the acknowledgement of a configuration within which it takes effect.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Number of daemons in the tests with cut-off delegates.
const DAEMONS: usize = 8;
/// Number of delegates of a small fleet.
const DELEGATES: usize = 3;
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
/// coordinator that has just woken books it.
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

/// Returns the delegates of `count` daemons, which watch the key-value service for the others, and the
/// others.
fn split_delegates(count: usize) -> (Vec<usize>, Vec<usize>) {
    let rank = |number: &usize| sched::members::weight(&"delegate", &format!("gate-{number}"));
    let mut delegates: Vec<usize> = (0..count).collect();
    delegates.sort_by_key(|number| std::cmp::Reverse(rank(number)));
    let others = delegates.split_off(DELEGATES);
    (delegates, others)
}

/// Returns the configuration `version` with one more route.
fn config_with(version: u64, prefix: &str) -> serde_json::Value {
    let mut config = config(version);
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(route(prefix, "safe", "s", 2));
    config
}

/// Checks that daemons answer 404 for a new route only while they cannot know it, when `cut_off`
/// delegates are cut off from the key-value service.
async fn new_routes_are_not_denied(name: &str, cut_off: usize) {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let fleet = Partitionable::start(BINARY, name, DAEMONS, &[&endpoint]).await;
    let (delegates, others) = split_delegates(DAEMONS);
    // The delegates' calls begin shortly before the cut and stay without an answer for long.
    fleet.harness.configure(&config(2)).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.cut_from_kv(&delegates[..cut_off]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.harness.configure(&config_with(3, "added")).await;
    let acknowledged = Instant::now();
    tokio::time::sleep(APPLY_TIME).await;
    let mut denied = Vec::new();
    for round in 0..40 {
        let requests = others.iter().map(|daemon| {
            let (daemon, id) = (*daemon, format!("r-{round}-{daemon}"));
            let harness = &fleet.harness;
            async move { (daemon, harness.request(daemon, "/added/x", &id, &[]).await.status) }
        });
        let after = acknowledged.elapsed();
        let statuses = futures::future::join_all(requests).await;
        denied.extend(
            statuses
                .into_iter()
                .filter(|(_, status)| *status == 404)
                .map(|(daemon, _)| (daemon, after.as_millis())),
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(denied.is_empty(), "404 from these daemons after these milliseconds: {denied:?}");
    for daemon in &others {
        let response =
            fleet.harness.request(*daemon, "/added/x", &format!("r-{daemon}"), &[]).await;
        assert_eq!(response.status, 200, "daemon {daemon}");
    }
}

/// Checks that requests reach a leaving endpoint only for a while, when `cut_off` delegates are cut
/// off from the key-value service.
async fn leaving_endpoints_are_left_alone(name: &str, cut_off: usize) {
    let work = Behaviour::RespondAfter(Duration::from_millis(20));
    let endpoints =
        [Endpoint::start("e-1", work.clone()).await, Endpoint::start("e-2", work).await];
    let fleet = Partitionable::start(BINARY, name, DAEMONS, &[&endpoints[0], &endpoints[1]]).await;
    let (delegates, others) = split_delegates(DAEMONS);
    fleet.cut_from_kv(&delegates[..cut_off]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.harness.register(&endpoints[0], "draining").await;
    let acknowledged = Instant::now();
    send_requests(&fleet.harness, &others, Duration::from_millis(4_500)).await;
    let runs = endpoints[0].runs();
    let after = |started: Instant| started.saturating_duration_since(acknowledged);
    let late = runs.iter().filter(|run| after(run.started) > DRAIN_TIME);
    let late: Vec<(&str, Duration)> =
        late.map(|run| (run.id.as_str(), after(run.started))).collect();
    assert!(late.is_empty(), "{} requests reached the endpoint late: {late:?}", late.len());
}

macro_rules! cut_off_delegates {
    ($($(#[$doc:meta])* $name:ident: $check:ident($count:expr))*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            $check(stringify!($name), $count).await;
        })*
    };
}

cut_off_delegates! {
    /// Guards against daemons that get all news from delegates that hear nothing from the key-value
    /// service and say that they watch it.
    followers_of_two_cut_off_delegates_deny_new_routes: new_routes_are_not_denied(2)
    /// Guards against daemons that trust delegates none of which hears the key-value service.
    followers_of_only_cut_off_delegates_deny_new_routes: new_routes_are_not_denied(3)
    /// Guards against the same delay where an endpoint leaves.
    followers_of_two_cut_off_delegates_use_leaving_endpoints: leaving_endpoints_are_left_alone(2)
    /// Guards against the same where no delegate hears the key-value service.
    followers_of_only_cut_off_delegates_use_leaving_endpoints: leaving_endpoints_are_left_alone(3)
}

/// Guards against watches that never learn of changes which their answers passed over: the key-value
/// service told them of none, and named a revision after them.
#[tokio::test(flavor = "multi_thread")]
async fn changes_that_an_answer_of_a_watch_passed_over_are_lost() {
    let endpoints = [
        Endpoint::start("e-1", Behaviour::Respond).await,
        Endpoint::start("e-2", Behaviour::Respond).await,
    ];
    let listed = [&endpoints[0], &endpoints[1]];
    // Two daemons are no delegates, and learn what the delegates learn. They book the endpoints.
    let (_, others) = split_delegates(DELEGATES + 2);
    let strong: Vec<String> = others.iter().map(|number| format!("gate-{number}")).collect();
    let harness = Harness::start_with(BINARY, "passed-over", DELEGATES + 2, &listed, |settings| {
        settings.cpu_share = if strong.iter().any(|vm| *vm == settings.vm) { 1.0 } else { 0.1 };
    })
    .await;
    harness.faults.update(|state| state.kv.deaf = true);
    harness.configure(&config_with(2, "added")).await;
    harness.register(&endpoints[0], "draining").await;
    // Every watch call that was open has been answered, without the changes.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    harness.faults.update(|state| state.kv.deaf = false);
    tokio::time::sleep(APPLY_TIME).await;
    let before = endpoints[0].runs().len();
    for daemon in 0..harness.daemons.len() {
        for number in 0..20 {
            let id = format!("r-{daemon}-{number}");
            let response = harness.request(daemon, "/added/x", &id, &[]).await;
            assert_eq!(response.status, 200, "{id} for the new route");
        }
        assert_eq!(
            endpoints[0].runs().len(),
            before,
            "daemon {daemon} used the endpoint that left"
        );
    }
}

/// Guards against a daemon that takes its view for old although it hears of every change at once,
/// because each call of its watch returns a change late.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_hears_of_every_change_at_once_takes_its_view_for_old() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let harness = Harness::start(BINARY, "hears", 1, &[&endpoint]).await;
    let changes = async {
        for version in 2..10 {
            harness.configure(&config(version)).await;
            tokio::time::sleep(Duration::from_millis(940)).await;
        }
    };
    let requests = async {
        let mut unconfirmed = 0;
        for number in 0..140 {
            let response = harness.request(0, "/missing/x", &format!("r-{number}"), &[]).await;
            unconfirmed += usize::from(response.status != 404);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unconfirmed
    };
    let ((), unconfirmed) = tokio::join!(changes, requests);
    assert_eq!(unconfirmed, 0, "requests for which the daemon took its view for old");
}

/// Guards against a daemon that starts again and follows a former configuration from a stale listing
/// until its watch begins.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_again_uses_a_former_configuration() {
    let [former, next] = [
        Endpoint::start("e-1", Behaviour::Respond).await,
        Endpoint::start("e-2", Behaviour::Respond).await,
    ];
    let harness = Harness::without_daemons("again").await;
    harness.register(&former, "ready").await;
    harness.register_at(&next.id, "t", next.addr, "ready").await;
    harness.configure(&config(1)).await;
    let mut fleet = Partitionable::launch(BINARY, harness, DELEGATES + 1, |_, settings| {
        // Before a daemon knows the members, it takes the seeds for the delegates.
        let own = settings.public_addr();
        settings.seeds.retain(|seed| *seed != own);
    })
    .await;
    let (_, others) = split_delegates(DELEGATES + 1);
    fleet.harness.daemons[others[0]].process.kill();
    let mut moved = config(2);
    moved["routes"] = serde_json::json!([route("safe", "safe", "t", 2)]);
    moved["services"] = serde_json::json!([{ "name": "s" }, { "name": "t" }]);
    fleet.harness.configure(&moved).await;
    tokio::time::sleep(APPLY_TIME).await;
    // It learns from the key-value service alone.
    fleet.peer_links.iter().for_each(|link| link.set_fault(testing::proxy::Fault::StallBoth));
    fleet.harness.faults.update(|state| state.kv.stale_by = APPLY_TIME * 2);
    fleet.harness.daemons[others[0]].restart();
    fleet.harness.daemons[others[0]].ready().await;
    for number in 0..40 {
        let id = format!("r-{number}");
        let response = fleet.harness.request(others[0], "/safe/x", &id, &[]).await;
        assert_eq!(response.status, 200, "{id}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let late: Vec<String> = former.runs().into_iter().map(|run| run.id).collect();
    assert!(late.is_empty(), "requests at the former service: {late:?}");
}

/// Guards against a daemon that follows no configuration any more while it stops, and serves connections
/// that clients keep.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_stops_uses_a_former_configuration_on_kept_connections() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    // The last daemon is no delegate.
    let harness = Harness::start(BINARY, "stops", DELEGATES + 1, &[&endpoint]).await;
    let (_, others) = split_delegates(DELEGATES + 1);
    let stopping = &harness.daemons[others[0]];
    let mut kept = TcpStream::connect(stopping.settings.client_addr).await.expect("no connection");
    stopping.process.terminate();
    let stopped_at = Instant::now();
    harness.configure(&config_with(2, "added")).await;
    let closes = Duration::from_millis(stopping.settings.limits.stop_close_ms);
    tokio::time::sleep(APPLY_TIME).await;
    let mut answered = 0;
    while stopped_at.elapsed() + Duration::from_millis(300) < closes {
        let head =
            format!("GET /added/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-{answered}\r\n\r\n");
        kept.write_all(head.as_bytes()).await.expect("the connection is closed");
        let mut response = [0; 1_024];
        let length = kept.read(&mut response).await.expect("the connection is closed");
        let response = String::from_utf8_lossy(&response[..length]);
        assert!(response.starts_with("HTTP/1.1 200 "), "{:?}: {response}", stopped_at.elapsed());
        answered += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    assert!(answered > 0, "the daemon stopped too early");
}
