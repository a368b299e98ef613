//! Checks that a daemon whose view is out of date does not mislead the others.

use std::time::{Duration, Instant};
use testing::gateway_harness::{Harness, config, route};
use testing::net;
use testing::proxy::{Fault, Proxy};
use testing::script::{Behaviour, Endpoint};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time after the acknowledgement of an endpoint's end within which requests may still reach it.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after the acknowledgement of a configuration within which it takes effect.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
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

/// Daemons that reach the key-value service through proxies.
struct Partitionable {
    harness: Harness,
    proxies: Vec<Proxy>,
    /// Daemons that watch the service for the others.
    delegates: Vec<usize>,
    others: Vec<usize>,
}

impl Partitionable {
    async fn start(name: &str, count: usize, endpoints: &[&Endpoint]) -> Self {
        let mut harness = Harness::without_daemons(name).await;
        for endpoint in endpoints {
            harness.register(endpoint, "ready").await;
        }
        harness.configure(&config(1)).await;
        let peer_addrs: Vec<_> = (0..count).map(|_| net::free_addr()).collect();
        let seeds: Vec<_> = peer_addrs.iter().map(|addr| addr.to_string().into()).collect();
        let kv_addr = harness.kv.url().trim_start_matches("http://").parse().expect("an address");
        let mut proxies = Vec::new();
        for (number, peer_addr) in peer_addrs.into_iter().enumerate() {
            let proxy = Proxy::start(kv_addr).await;
            let mut settings = harness.settings(number, peer_addr, &seeds);
            settings.kv = format!("http://{}", proxy.addr).into();
            settings.limits.lease_ttl_ms = 10_000;
            let daemon = harness.launch(BINARY, settings);
            harness.daemons.push(daemon);
            proxies.push(proxy);
        }
        harness.wait_until_converged().await;
        let rank = |number: &usize| sched::members::weight(&"delegate", &format!("gate-{number}"));
        let mut ranked: Vec<usize> = (0..count).collect();
        ranked.sort_by_key(|number| std::cmp::Reverse(rank(number)));
        let others = ranked.split_off(DELEGATES);
        Self { harness, proxies, delegates: ranked, others }
    }

    /// Holds back all bytes between these daemons and the key-value service, without a reset.
    fn cut_off(&self, daemons: &[usize]) {
        daemons.iter().for_each(|daemon| self.proxies[*daemon].set_fault(Fault::StallBoth));
    }
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
    let scene = Partitionable::start(name, 8, &[&endpoint]).await;
    // The delegates' calls begin shortly before the cut and stay without an answer for long.
    scene.harness.configure(&config(2)).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    scene.cut_off(&scene.delegates[..cut_off]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.harness.configure(&config_with(3, "added")).await;
    let acknowledged = Instant::now();
    tokio::time::sleep(APPLY_TIME).await;
    let mut denied = Vec::new();
    for round in 0..40 {
        let requests = scene.others.iter().map(|daemon| {
            let (daemon, id) = (*daemon, format!("r-{round}-{daemon}"));
            let harness = &scene.harness;
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
    for daemon in &scene.others {
        let response =
            scene.harness.request(*daemon, "/added/x", &format!("r-{daemon}"), &[]).await;
        assert_eq!(response.status, 200, "daemon {daemon}");
    }
}

/// Checks that requests reach a leaving endpoint only for a while, when `cut_off` delegates are cut
/// off from the key-value service.
async fn leaving_endpoints_are_left_alone(name: &str, cut_off: usize) {
    let work = Behaviour::RespondAfter(Duration::from_millis(20));
    let endpoints =
        [Endpoint::start("e-1", work.clone()).await, Endpoint::start("e-2", work).await];
    let scene = Partitionable::start(name, 8, &[&endpoints[0], &endpoints[1]]).await;
    scene.cut_off(&scene.delegates[..cut_off]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.harness.register(&endpoints[0], "draining").await;
    let acknowledged = Instant::now();
    send_requests(&scene.harness, &scene.others, Duration::from_millis(4_500)).await;
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
    /// service and say that they watch it (CONFIG, review case 3).
    followers_of_two_cut_off_delegates_deny_new_routes: new_routes_are_not_denied(2)
    /// Guards against daemons that trust delegates none of which hears the key-value service.
    followers_of_only_cut_off_delegates_deny_new_routes: new_routes_are_not_denied(3)
    /// Guards against the same delay where an endpoint leaves (DRAIN, review case 2).
    followers_of_two_cut_off_delegates_use_leaving_endpoints: leaving_endpoints_are_left_alone(2)
    /// Guards against the same where no delegate hears the key-value service.
    followers_of_only_cut_off_delegates_use_leaving_endpoints: leaving_endpoints_are_left_alone(3)
}
