//! Checks that an endpoint that says that it leaves gets no new requests, in touch or not.

use std::time::{Duration, Instant};
use testing::gateway_harness::{Harness, Partitionable, WAIT_TIMEOUT, streaming};
use testing::script::{Behaviour, Endpoint};
use tokio::io::AsyncReadExt;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time within which a request that cannot be served has to be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Starts daemons with two endpoints, the first of which leaves; with `cut_off`, the daemons are then
/// cut off from the key-value service and from each other.
async fn start(
    name: &str,
    daemons: usize,
    behaviour: Behaviour,
    cut_off: bool,
) -> (Partitionable, [Endpoint; 2]) {
    let endpoints =
        [Endpoint::start("e-0", behaviour.clone()).await, Endpoint::start("e-1", behaviour).await];
    let listed = [&endpoints[0], &endpoints[1]];
    let fleet = Partitionable::start(BINARY, name, daemons, &listed).await;
    // The versions of the endpoints are announced.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    if cut_off {
        let all: Vec<usize> = (0..daemons).collect();
        fleet.cut_from_all(&all);
        tokio::time::sleep(Duration::from_millis(2_000)).await;
    }
    (fleet, endpoints)
}

/// Sends requests through the first daemon until the endpoint has answered one.
async fn send_until_answered(harness: &Harness, path: &str, endpoint: &Endpoint) {
    let before = endpoint.runs().len();
    let started = Instant::now();
    for number in 0.. {
        harness.request(0, path, &format!("t-{number}"), &["Deadline-Ms: 1500"]).await;
        if endpoint.runs().len() > before {
            return;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the endpoint gets no request");
    }
}

/// Returns how many of the requests whose ids begin with `prefix` the endpoint ran.
fn runs(endpoint: &Endpoint, prefix: &str) -> usize {
    endpoint.runs().iter().filter(|run| run.id.starts_with(prefix)).count()
}

/// Checks that no request of this path reaches the endpoint once it said that it leaves.
async fn leaving_endpoint_gets_none(name: &str, path: &str, headers: &[&str], cut_off: bool) {
    let behaviour = match path.starts_with("/stream") {
        true => streaming(3, Duration::from_millis(5)),
        false => Behaviour::Respond,
    };
    let (fleet, endpoints) = start(name, 2, behaviour, cut_off).await;
    let harness = &fleet.harness;
    endpoints[0].set_leaving(true);
    send_until_answered(harness, path, &endpoints[0]).await;
    for number in 0..20 {
        let response = harness.request(0, path, &format!("r-{number}"), headers).await;
        assert_eq!((response.status, response.complete), (200, true), "request {number}");
    }
    assert_eq!(runs(&endpoints[0], "r-"), 0);
}

macro_rules! leaving {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $headers:expr, $cut_off:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            leaving_endpoint_gets_none(stringify!($name), $path, &$headers, $cut_off).await;
        })*
    };
}

leaving! {
    /// Guards against requests at a leaving endpoint from a daemon that is cut off from the service
    /// and from all others.
    a_daemon_that_is_cut_off_uses_a_leaving_endpoint: "/safe/x", ["Deadline-Ms: 1500"], true;
    /// Guards against the same for requests that run once, such as calls of tools.
    calls_of_tools_reach_a_leaving_endpoint: "/unsafe/x", ["Deadline-Ms: 1500"], true;
    /// Guards against bookings by a coordinator that does not know that the endpoint leaves.
    bookings_of_other_daemons_reach_a_leaving_endpoint: "/safe/x", ["Deadline-Ms: 1500"], false;
    /// Guards against turns that stay at their session's endpoint.
    turns_of_a_session_stay_at_a_leaving_endpoint:
        "/stream/x", ["Session-Id: line-1", "Deadline-Ms: 1500"], false;
}

/// Guards against a stream that is resumed at the endpoint that said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_at_a_leaving_endpoint() {
    let breaking =
        Behaviour::Stream { events: 4, gap: Duration::from_millis(5), breaks_after: Some(2) };
    let (fleet, endpoints) = start("leaving-resume", 1, breaking, false).await;
    let harness = &fleet.harness;
    endpoints[0].set_leaving(true);
    for number in 0..8 {
        let id = format!("r-{number}");
        let response = harness.request(0, "/stream/x", &id, &["Deadline-Ms: 1500"]).await;
        assert!(response.body.contains("id: 3"), "{response:?}");
        let tries = endpoints[0].runs().iter().filter(|run| run.id == id).count();
        assert!(tries <= 1, "stream {number} reached the leaving endpoint {tries} times");
    }
}

/// Guards against a stream that its client resumes at the endpoint that said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_resumes_a_stream_at_a_leaving_endpoint() {
    let behaviour = streaming(40, Duration::from_millis(20));
    let (fleet, endpoints) = start("leaving-client", 1, behaviour, false).await;
    let harness = &fleet.harness;
    endpoints[0].set_leaving(true);
    let mut begun = Vec::new();
    for number in 0..4 {
        let id = format!("a-{number}");
        let mut stream = harness.start_request(0, "/stream/x", &id, &[]).await;
        let mut buffer = [0; 1024];
        assert!(stream.read(&mut buffer).await.expect("a head") > 0);
        begun.push((id, stream));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    for (id, stream) in begun {
        drop(stream);
        let (resumes, resumed) = (format!("Resumes: {id}"), format!("r-{id}"));
        let headers = [resumes.as_str(), "Last-Event-Id: 1", "Deadline-Ms: 2000"];
        assert_eq!(harness.request(0, "/stream/x", &resumed, &headers).await.status, 200);
    }
    assert_eq!(runs(&endpoints[0], "r-"), 0);
}

/// Guards against an endpoint that is avoided for ever after its process said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_process_of_an_endpoint_that_left_gets_no_requests() {
    let (fleet, endpoints) = start("leaving-next", 1, Behaviour::Respond, false).await;
    let harness = &fleet.harness;
    endpoints[0].set_leaving(true);
    send_until_answered(harness, "/safe/x", &endpoints[0]).await;
    // Its registration expires, and comes back before the process ends.
    harness.deregister(&endpoints[0]).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    harness.register(&endpoints[0], "ready").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    for number in 0..10 {
        harness.request(0, "/safe/x", &format!("r-{number}"), &[]).await;
    }
    assert_eq!(runs(&endpoints[0], "r-"), 0, "the same process");
    endpoints[0].restart(2);
    harness.register(&endpoints[0], "ready").await;
    send_until_answered(harness, "/safe/x", &endpoints[0]).await;
}

/// Guards against requests that wait for their deadline because all endpoints leave.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_although_all_endpoints_leave() {
    let (fleet, endpoints) = start("leaving-all", 1, Behaviour::Respond, false).await;
    let harness = &fleet.harness;
    for endpoint in &endpoints {
        endpoint.set_leaving(true);
        send_until_answered(harness, "/safe/x", endpoint).await;
    }
    for path in ["/safe/x", "/unsafe/x", "/stream/x"] {
        let started = Instant::now();
        let response = harness.request(0, path, "r-1", &["Deadline-Ms: 2500"]).await;
        assert_eq!(response.status, 503, "{path}");
        assert!(started.elapsed() < REFUSAL_TIME, "{path}: refused after {:?}", started.elapsed());
    }
    assert_eq!(runs(&endpoints[0], "r-") + runs(&endpoints[1], "r-"), 0);
}
