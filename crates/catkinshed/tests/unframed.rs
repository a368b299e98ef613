//! Checks responses without a length or chunks, which end with their connection.

use testing::gateway_harness::{Harness, Response};
use testing::script::{Behaviour, Endpoint, Unframed};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Number of events of a stream.
const EVENTS: u64 = 4;
/// Length of the last event of a stream, in bytes.
const LAST_EVENT_BYTES: usize = "id: 4\ndata: part 4\n\n".len();

const PLAIN: Unframed = Unframed { http: "HTTP/1.1", events: None, missing: 0, reset: false };
const STREAM: Unframed = Unframed { events: Some(EVENTS), ..PLAIN };

/// Starts a daemon with an endpoint that handles the first request in this way, and later ones
/// completely.
async fn start(name: &str, first: Unframed) -> (Harness, Endpoint) {
    let complete = Unframed { missing: 0, reset: false, ..first };
    let endpoint = Endpoint::start("e-1", Behaviour::Unframed(complete)).await;
    endpoint.extend_script([Behaviour::Unframed(first)]);
    (Harness::start(BINARY, name, 1, &[&endpoint]).await, endpoint)
}

fn event_ids(response: &Response) -> Vec<u64> {
    let ids = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

/// Checks that a response reaches the client whole and framed, and that its connection is not used
/// again.
async fn arrives_whole(name: &str, path: &str, response: Unframed) {
    let (harness, endpoint) = start(name, response).await;
    for number in 0..5 {
        let found = harness.request(0, path, &format!("r-{number}"), &["Deadline-Ms: 1500"]).await;
        assert_eq!((found.status, found.complete), (200, true), "{found:?}");
        match response.events {
            Some(_) => assert_eq!(event_ids(&found), [1, 2, 3, 4]),
            None => assert_eq!(found.body, "served"),
        }
    }
    assert_eq!(endpoint.connection_count(), 5);
}

macro_rules! whole {
    ($($name:ident: $path:expr, $response:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() {
            arrives_whole(stringify!($name), $path, $response).await;
        })*
    };
}

whole! {
    a_plain_response_ends_with_its_connection: "/unsafe/x", PLAIN;
    a_plain_response_of_http_1_0_ends_with_its_connection:
        "/unsafe/x", Unframed { http: "HTTP/1.0", ..PLAIN };
    a_stream_ends_with_its_connection: "/stream/x", STREAM;
    a_stream_of_http_1_0_ends_with_its_connection:
        "/stream/x", Unframed { http: "HTTP/1.0", ..STREAM };
    a_stream_that_cannot_be_resumed_ends_with_its_connection: "/plain/x", STREAM;
}

/// Guards against a stream that ends inside its last event and looks complete, wherever it ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_its_last_event_looks_complete() {
    let complete = Behaviour::Unframed(STREAM);
    let endpoint = Endpoint::start("e-1", complete).await;
    let harness = Harness::start(BINARY, "unframed-inside", 1, &[&endpoint]).await;
    for missing in 1..LAST_EVENT_BYTES {
        endpoint.extend_script([Behaviour::Unframed(Unframed { missing, ..STREAM })]);
        let id = format!("r-{missing}");
        let found = harness.request(0, "/stream/x", &id, &["Deadline-Ms: 2000"]).await;
        assert_eq!((found.status, found.complete), (200, true), "{missing} bytes are missing");
        assert_eq!(event_ids(&found), [1, 2, 3, 4], "{missing} bytes are missing");
        let runs = endpoint.runs().into_iter().filter(|run| run.id == id);
        let resumed: Vec<_> = runs.map(|run| run.headers.get("last-event-id").cloned()).collect();
        assert_eq!(resumed, [None, Some("3".to_owned())], "{missing} bytes are missing");
    }
}

/// Guards against the same where the stream cannot be resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_and_cannot_be_resumed_looks_complete() {
    for missing in [1, 2, 7, LAST_EVENT_BYTES - 1] {
        let name = format!("unframed-plain-{missing}");
        let (harness, endpoint) = start(&name, Unframed { missing, ..STREAM }).await;
        let found = harness.request(0, "/plain/x", "r-1", &["Deadline-Ms: 1500"]).await;
        assert!(!found.complete, "{missing} bytes are missing: {found:?}");
        assert_eq!(event_ids(&found), [1, 2, 3]);
        assert_eq!(endpoint.runs().len(), 1);
    }
}

macro_rules! reset {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $response:expr => $status:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            let (harness, _endpoint) = start(stringify!($name), $response).await;
            let found = harness.request(0, $path, "r-1", &["Deadline-Ms: 1500"]).await;
            assert_eq!((found.status, found.complete), $status, "{found:?}");
        })*
    };
}

reset! {
    /// Guards against a response that a reset cut and that reaches the client as complete.
    a_plain_response_that_a_reset_cut_looks_complete:
        "/unsafe/x", Unframed { reset: true, missing: 2, ..PLAIN } => (502, true);
    /// Guards against a safe request that fails although it may run again.
    a_safe_request_whose_response_a_reset_cut_fails:
        "/safe/x", Unframed { reset: true, missing: 2, ..PLAIN } => (200, true);
    /// Guards against a stream that a reset cut between two events and that looks complete.
    a_stream_that_a_reset_cut_between_events_looks_complete:
        "/plain/x", Unframed { reset: true, missing: LAST_EVENT_BYTES, ..STREAM } => (200, false);
}
