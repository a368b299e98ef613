//! Checks that a stream goes on only at the software version that began it.

use serde_json::json;
use std::time::{Duration, Instant};
use testing::gateway_harness::{
    Harness, Partitionable, Response, WAIT_TIMEOUT, config, route, streaming,
};
use testing::script::{Behaviour, Endpoint};
use tokio::io::AsyncReadExt;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of events of a stream.
const EVENTS: u64 = 6;
/// Number of events after which the clients of these tests leave.
const EVENTS_READ: u64 = 2;
/// Time within which new versions are announced and used.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1_500);
/// Time within which the beginning of a stream is recorded while two versions serve.
const RECORD_TIME: Duration = Duration::from_millis(400);
/// Time within which a request that cannot be served has to be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Starts daemons with endpoints of the versions v1 and v2, two of each.
async fn start(name: &str, daemons: usize, behaviour: Behaviour) -> (Harness, Vec<Endpoint>) {
    let mut endpoints = Vec::new();
    for number in 0..4 {
        endpoints.push(Endpoint::start(&format!("e-{number}"), behaviour.clone()).await);
    }
    let listed: Vec<&Endpoint> = endpoints.iter().collect();
    let harness = Harness::start(BINARY, name, daemons, &listed).await;
    for endpoint in &endpoints[2..] {
        harness.register_version(endpoint, "v2", "ready").await;
    }
    // All daemons watch the key-value service or follow one that does.
    tokio::time::sleep(Duration::from_millis(500)).await;
    (harness, endpoints)
}

/// Returns the version of the endpoint that ran the request, or `None` if none did.
fn version_of(endpoints: &[Endpoint], request: &str) -> Option<&'static str> {
    let ran = |endpoint: &Endpoint| endpoint.runs().iter().any(|run| run.id == request);
    let number = endpoints.iter().position(ran)?;
    Some(if number < 2 { "v1" } else { "v2" })
}

/// Starts a stream and leaves after its first events.
async fn begin_stream(harness: &Harness, daemon: usize, id: &str) {
    let mut stream = harness.start_request(daemon, "/stream/x", id, &[]).await;
    let (mut text, mut buffer) = (String::new(), [0; 1024]);
    let started = Instant::now();
    while !text.contains(&format!("id: {EVENTS_READ}")) {
        let read = stream.read(&mut buffer).await.expect("the stream broke off");
        assert!(read > 0 && started.elapsed() < WAIT_TIMEOUT, "no event: {text}");
        text += &String::from_utf8_lossy(&buffer[..read]);
    }
}

/// Requests the rest of the stream that the client's attempt `begun` began.
async fn resume_stream(harness: &Harness, daemon: usize, id: &str, begun: &str) -> Response {
    let resumes = format!("Resumes: {begun}");
    let after = format!("Last-Event-Id: {EVENTS_READ}");
    harness.request(daemon, "/stream/x", id, &[&resumes, &after, "Deadline-Ms: 1500"]).await
}

/// Guards against a relay that resumes a stream at any endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_mixes_two_software_versions_in_one_response() {
    let crash = Behaviour::Crash { events: EVENTS_READ, gap: EVENT_INTERVAL };
    let (harness, endpoints) = start("version-relay", 1, crash).await;
    let response = harness.request(0, "/stream/x", "r-1", &["Deadline-Ms: 2000"]).await;
    let versions: Vec<bool> = endpoints.iter().map(|found| !found.runs().is_empty()).collect();
    let (old, new) = (versions[0] || versions[1], versions[2] || versions[3]);
    assert!(!(old && new), "v1 and v2 ran the stream: {versions:?}");
    assert!(versions.iter().filter(|ran| **ran).count() == 2, "it goes on at its version");
    assert!(!response.complete, "{response:?}");
}

/// Guards against a daemon that goes on with another daemon's stream at any endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_resumes_a_stream_at_another_software_version() {
    let (harness, endpoints) = start("version-client", 3, streaming(EVENTS, EVENT_INTERVAL)).await;
    for number in 0..8 {
        let (begun, resumed) = (format!("a-{number}"), format!("b-{number}"));
        begin_stream(&harness, number % 3, &begun).await;
        let response = resume_stream(&harness, (number + 1) % 3, &resumed, &begun).await;
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        let (began, goes_on) = (version_of(&endpoints, &begun), version_of(&endpoints, &resumed));
        assert_eq!(goes_on, began, "stream {number}");
    }
}

/// Guards against a daemon that guesses where a stream began that it knows nothing about.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_unknown_origin_goes_on_somewhere() {
    let (harness, endpoints) = start("version-unknown", 2, streaming(EVENTS, EVENT_INTERVAL)).await;
    let started = Instant::now();
    let response = resume_stream(&harness, 0, "r-2", "r-1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(started.elapsed() < REFUSAL_TIME, "refused after {:?}", started.elapsed());
    assert_eq!(version_of(&endpoints, "r-2"), None);
}

/// Guards against streams that cannot go on because the daemon that relayed them is gone.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_daemon_are_refused() {
    let (mut harness, endpoints) =
        start("version-kill", 3, streaming(EVENTS, EVENT_INTERVAL)).await;
    for number in 0..6 {
        begin_stream(&harness, 0, &format!("a-{number}")).await;
    }
    harness.daemons[0].process.kill();
    for number in 0..6 {
        let (begun, resumed) = (format!("a-{number}"), format!("b-{number}"));
        let response = resume_stream(&harness, 1 + number % 2, &resumed, &begun).await;
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        let (began, goes_on) = (version_of(&endpoints, &begun), version_of(&endpoints, &resumed));
        assert_eq!(goes_on, began, "stream {number}");
    }
}

/// Kills all daemons at once, starts them again and waits until they serve.
async fn restart_all(harness: &mut Harness) {
    harness.daemons.iter_mut().for_each(|daemon| daemon.process.kill());
    harness.daemons.iter_mut().for_each(|daemon| daemon.restart());
    for daemon in &harness.daemons {
        daemon.ready().await;
    }
}

/// Guards against streams that are lost with all daemons although only one version serves.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_are_refused_after_the_loss_of_all_daemons() {
    let behaviour = streaming(EVENTS, EVENT_INTERVAL);
    let endpoints =
        [Endpoint::start("e-0", behaviour.clone()).await, Endpoint::start("e-1", behaviour).await];
    let listed: Vec<&Endpoint> = endpoints.iter().collect();
    let mut harness = Harness::start(BINARY, "version-only", 3, &listed).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    for number in 0..6 {
        begin_stream(&harness, number % 3, &format!("a-{number}")).await;
    }
    restart_all(&mut harness).await;
    for number in 0..6 {
        let (begun, resumed) = (format!("a-{number}"), format!("b-{number}"));
        let response = resume_stream(&harness, (number + 1) % 3, &resumed, &begun).await;
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    }
}

/// Guards against streams that go on at another version, or are lost, with all daemons while two
/// versions serve.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_two_versions_are_mixed_or_refused_after_the_loss_of_all_daemons() {
    let (mut harness, endpoints) =
        start("version-loss", 3, streaming(EVENTS, EVENT_INTERVAL)).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    for number in 0..12 {
        begin_stream(&harness, number % 3, &format!("a-{number}")).await;
    }
    tokio::time::sleep(RECORD_TIME).await;
    restart_all(&mut harness).await;
    let mut versions = Vec::new();
    for number in 0..12 {
        let (begun, resumed) = (format!("a-{number}"), format!("b-{number}"));
        let response = resume_stream(&harness, (number + 1) % 3, &resumed, &begun).await;
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        let (began, goes_on) = (version_of(&endpoints, &begun), version_of(&endpoints, &resumed));
        assert_eq!(goes_on, began, "stream {number}");
        versions.push(goes_on);
    }
    assert!(versions.contains(&Some("v1")) && versions.contains(&Some("v2")), "{versions:?}");
}

/// Guards against a stream that goes on at the only version left after the loss of all daemons,
/// though the version that began it has just left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_the_version_that_replaced_its_own_while_all_daemons_were_lost() {
    let behaviour = streaming(EVENTS, EVENT_INTERVAL);
    let endpoints =
        [Endpoint::start("e-0", behaviour.clone()).await, Endpoint::start("e-1", behaviour).await];
    let mut harness = Harness::start(BINARY, "version-gone", 3, &[&endpoints[0]]).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    begin_stream(&harness, 0, "a-1").await;
    harness.daemons.iter_mut().for_each(|daemon| daemon.process.kill());
    // No daemon sees that the version changes.
    harness.register_version(&endpoints[1], "v2", "ready").await;
    harness.deregister(&endpoints[0]).await;
    restart_all(&mut harness).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while harness.request(0, "/safe/x", "r-1", &[]).await.status != 200 {
        assert!(Instant::now() < deadline, "the new version is not used");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for daemon in 0..3 {
        let started = Instant::now();
        let response = resume_stream(&harness, daemon, &format!("b-{daemon}"), "a-1").await;
        assert_eq!(response.status, 503, "{response:?}");
        assert!(started.elapsed() < REFUSAL_TIME, "refused after {:?}", started.elapsed());
    }
    assert!(endpoints[1].runs().iter().all(|run| !run.id.starts_with("b-")));
}

/// Guards against a restarted daemon that reaches no other and loses a stream, or goes on with it at
/// another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_that_reaches_no_other_loses_streams() {
    let (mut harness, endpoints) =
        start("version-restart", 2, streaming(EVENTS, EVENT_INTERVAL)).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    begin_stream(&harness, 0, "a-1").await;
    tokio::time::sleep(RECORD_TIME).await;
    harness.daemons[1].process.kill();
    harness.daemons[0].restart();
    harness.daemons[0].ready().await;
    let response = resume_stream(&harness, 0, "b-1", "a-1").await;
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(version_of(&endpoints, "b-1"), version_of(&endpoints, "a-1"));
}

/// Guards against a restarted daemon that reaches neither another one nor the key-value service and
/// goes on with streams anyway.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_that_can_know_no_version_resumes_streams() {
    let (mut harness, endpoints) =
        start("version-alone", 2, streaming(EVENTS, EVENT_INTERVAL)).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    begin_stream(&harness, 0, "a-1").await;
    tokio::time::sleep(RECORD_TIME).await;
    harness.daemons[1].process.kill();
    harness.daemons[0].restart();
    harness.daemons[0].ready().await;
    harness.faults.update(|faults| faults.kv.down = true);
    let started = Instant::now();
    let response = resume_stream(&harness, 0, "b-1", "a-1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(started.elapsed() < REFUSAL_TIME, "refused after {:?}", started.elapsed());
    assert_eq!(version_of(&endpoints, "b-1"), None);
}

/// Guards against a stream that goes on at another version because its own has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_version_has_left_goes_on_at_another() {
    let (harness, endpoints) = start("version-left", 2, streaming(EVENTS, EVENT_INTERVAL)).await;
    begin_stream(&harness, 0, "a-1").await;
    let old = version_of(&endpoints, "a-1").expect("a run");
    for endpoint in if old == "v1" { &endpoints[..2] } else { &endpoints[2..] } {
        harness.register_version(endpoint, old, "draining").await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let response = resume_stream(&harness, 1, "b-1", "a-1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(version_of(&endpoints, "b-1"), None);
}

/// Starts two daemons whose links can be cut, and two endpoints of version v1.
async fn start_partitionable(name: &str) -> (Partitionable, [Endpoint; 2]) {
    let behaviour = streaming(EVENTS, EVENT_INTERVAL);
    let endpoints =
        [Endpoint::start("e-0", behaviour.clone()).await, Endpoint::start("e-1", behaviour).await];
    let listed = [&endpoints[0], &endpoints[1]];
    let fleet = Partitionable::start(BINARY, name, 2, &listed).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    (fleet, endpoints)
}

/// Restarts the second endpoint as version v2 under its id and address.
async fn replace_second(harness: &Harness, endpoints: &[Endpoint; 2]) {
    endpoints[1].restart(2);
    harness.register_version(&endpoints[1], "v2", "ready").await;
}

/// Guards against a daemon out of step that goes on with a stream at an engine that started again
/// with another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_out_of_step_goes_on_at_a_replaced_engine() {
    let (fleet, endpoints) = start_partitionable("version-step").await;
    let harness = &fleet.harness;
    // Both daemons hold the records of these streams; those of the second engine are left out.
    for number in 0..16 {
        begin_stream(harness, 1, &format!("a-{number}")).await;
    }
    let began = |number: &usize| engine_of(&endpoints, &format!("a-{number}"));
    let at_first: Vec<usize> = (0..16).filter(|number| began(number) == 0).collect();
    assert!(at_first.len() >= 4, "{at_first:?}");
    fleet.cut_from_all(&[0]);
    replace_second(harness, &endpoints).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let mut served = 0;
    for number in &at_first {
        let resumed = format!("b-{number}");
        let response = resume_stream(harness, 0, &resumed, &format!("a-{number}")).await;
        served += usize::from(response.status == 200 && response.complete);
    }
    let at_second = endpoints[1].runs().iter().filter(|run| run.id.starts_with("b-")).count();
    assert_eq!(at_second, 0, "streams of v1 went on at v2");
    assert_eq!(served, at_first.len(), "the engine of v1 could have gone on with all of them");
}

/// Guards against a record of the wrong version, made by a daemon out of step.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_out_of_step_records_the_version_of_an_earlier_process() {
    let (fleet, endpoints) = start_partitionable("version-record").await;
    let harness = &fleet.harness;
    fleet.cut_from_all(&[0]);
    replace_second(harness, &endpoints).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for number in 0..12 {
        begin_stream(harness, 0, &format!("a-{number}")).await;
    }
    fleet.heal();
    tokio::time::sleep(ANNOUNCE_TIME).await;
    for number in 0..12 {
        let (begun, resumed) = (format!("a-{number}"), format!("b-{number}"));
        let response = resume_stream(harness, 1, &resumed, &begun).await;
        let began = engine_of(&endpoints, &begun);
        let ran = |endpoint: &Endpoint| endpoint.runs().iter().any(|run| run.id == resumed);
        match response.status {
            200 => assert!(ran(&endpoints[began]), "stream {number} began at engine {began}"),
            status => panic!("stream {number} of engine {began} was answered with {status}"),
        }
    }
}

/// Returns the index of the endpoint that ran the request.
fn engine_of(endpoints: &[Endpoint; 2], request: &str) -> usize {
    let ran = |endpoint: &Endpoint| endpoint.runs().iter().any(|run| run.id == request);
    endpoints.iter().position(ran).expect("a run")
}

/// Guards against requests that are refused because the version of the only endpoints is not announced
/// yet, though their service has no streams.
#[tokio::test(flavor = "multi_thread")]
async fn plain_requests_wait_until_a_version_is_announced() {
    let [former, next] = [
        Endpoint::start("t-1", Behaviour::Respond).await,
        Endpoint::start("t-2", Behaviour::Respond).await,
    ];
    let engine = Endpoint::start("e-1", streaming(EVENTS, EVENT_INTERVAL)).await;
    let harness = Harness::start(BINARY, "plain-version", 1, &[&engine]).await;
    harness.register_at(&former.id, "t", former.addr, "ready").await;
    let mut plain = config(2);
    plain["routes"][0] = route("safe", "safe", "t", 2);
    harness.configure(&plain).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    // Each write takes a while, also that of the announcement.
    harness.faults.update(|state| state.kv.delay = Duration::from_millis(700));
    former.stop();
    let registration = json!({
        "backend": "t", "address": next.addr.to_string(), "zone": "dc-1", "version": "v2",
        "slots": 4, "state": "ready", "call_seq": 1, "born": 1,
    });
    harness.put(&format!("servers/{}", former.id), &registration).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..10 {
        let id = format!("r-{number}");
        let response = harness.request(0, "/safe/x", &id, &["Deadline-Ms: 1000"]).await;
        assert_eq!(response.status, 200, "{id}: {response:?}");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}
