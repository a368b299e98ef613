//! Checks that all daemons together keep to the rate limits that endpoints name.

use std::time::{Duration, Instant};
use testing::gateway_harness::{Harness, streaming};
use testing::script::{Behaviour, Endpoint};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Limit that the limited endpoint names, in requests per second.
const RATE_LIMIT: f64 = 6.0;
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between an endpoint's first statement of its limit and the first window.
const GRACE: Duration = Duration::from_secs(3);
/// Interval between two requests of the clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the maximum number of requests that the endpoint may get in one window.
fn allowed() -> usize {
    (1.5 * RATE_LIMIT * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the largest number of requests that an endpoint ran in any window after `from`.
fn busiest_window(endpoint: &Endpoint, from: Instant) -> usize {
    let started: Vec<Instant> = endpoint.runs().into_iter().map(|run| run.started).collect();
    let in_window =
        |begin: Instant| started.iter().filter(|at| (begin..begin + WINDOW).contains(*at)).count();
    started.iter().filter(|at| **at >= from).map(|begin| in_window(*begin)).max().unwrap_or(0)
}

/// Sends requests to all daemons in turn for `duration`; returns how many were answered with status
/// 200 and how many were not.
async fn send_requests(harness: &Harness, path: &str, duration: Duration) -> (usize, usize) {
    let count = duration.div_duration_f64(REQUEST_INTERVAL) as u32;
    let responses = (0..count).map(|number| async move {
        tokio::time::sleep(REQUEST_INTERVAL * number).await;
        let daemon = number as usize % harness.daemons.len();
        let id = format!("r-{number}");
        harness.request(daemon, path, &id, &["Deadline-Ms: 1500"]).await.status
    });
    let statuses = futures::future::join_all(responses).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    (served, statuses.len() - served)
}

/// Guards against daemons that each send an endpoint as much as its limit allows to all of them.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_together_exceed_the_limit_that_an_endpoint_names() {
    let limited = Endpoint::start("e-1", streaming(3, Duration::from_millis(20))).await;
    let open = Endpoint::start("e-2", streaming(3, Duration::from_millis(20))).await;
    limited.set_rate_limit(Some(RATE_LIMIT));
    let harness = Harness::start(BINARY, "fleet-limit", 3, &[&limited, &open]).await;
    let begin = Instant::now();
    let (served, failed) = send_requests(&harness, "/stream/x", GRACE + WINDOW * 2).await;
    let busiest = busiest_window(&limited, begin + GRACE);
    assert!(busiest <= allowed(), "{busiest} requests in {WINDOW:?}, allowed {}", allowed());
    assert_eq!(failed, 0, "{served} served; the other endpoint has room for all");
}

/// Guards against a daemon that spends the whole limit again after each restart.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemons_start_the_limit_anew() {
    let limited = Endpoint::start("e-1", streaming(3, Duration::from_millis(20))).await;
    limited.set_rate_limit(Some(RATE_LIMIT));
    let mut harness = Harness::start(BINARY, "limit-restarts", 3, &[&limited]).await;
    let begin = Instant::now();
    send_requests(&harness, "/stream/x", GRACE).await;
    for daemon in 0..harness.daemons.len() {
        harness.daemons[daemon].restart();
        harness.daemons[daemon].ready().await;
        send_requests(&harness, "/stream/x", Duration::from_millis(1_500)).await;
    }
    send_requests(&harness, "/stream/x", WINDOW).await;
    let busiest = busiest_window(&limited, begin + GRACE);
    assert!(busiest <= allowed(), "{busiest} requests in {WINDOW:?}, allowed {}", allowed());
}

/// Guards against streams that are resumed at a limited endpoint without a permit.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams_do_not_count_towards_the_limit() {
    let breaking =
        Behaviour::Stream { events: 3, gap: Duration::from_millis(5), breaks_after: Some(1) };
    let limited = Endpoint::start("e-1", breaking).await;
    limited.set_rate_limit(Some(RATE_LIMIT));
    let harness = Harness::start(BINARY, "limit-resumes", 2, &[&limited]).await;
    let begin = Instant::now();
    send_requests(&harness, "/stream/x", GRACE + WINDOW).await;
    let resumed =
        limited.runs().iter().filter(|run| run.headers.contains_key("last-event-id")).count();
    assert!(resumed > 0, "no stream was resumed");
    let busiest = busiest_window(&limited, begin + GRACE);
    assert!(busiest <= allowed(), "{busiest} requests in {WINDOW:?}, allowed {}", allowed());
}

/// Guards against a limit that outlives the endpoint's statement.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_the_endpoint_no_longer_names_stays_in_force() {
    let endpoint = Endpoint::start("e-1", streaming(2, Duration::from_millis(5))).await;
    endpoint.set_rate_limit(Some(RATE_LIMIT));
    let harness = Harness::start(BINARY, "limit-lifted", 2, &[&endpoint]).await;
    let (_, refused) = send_requests(&harness, "/stream/x", Duration::from_secs(2)).await;
    assert!(refused > 0, "the limit is not applied");
    endpoint.set_rate_limit(None);
    send_requests(&harness, "/stream/x", Duration::from_secs(1)).await;
    let (served, refused) = send_requests(&harness, "/stream/x", Duration::from_secs(2)).await;
    assert_eq!(refused, 0, "{served} served");
}
