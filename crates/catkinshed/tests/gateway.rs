//! What a gateway promises to clients and endpoints, while endpoints break off.

use gateway::settings::Settings;
use gateway::view::View;
use sched::id::ProgramId;
use sched::spend::Record;
use std::sync::Arc;
use std::time::Duration;
use testing::gateway_harness::{Harness, Response, WAIT_TIMEOUT, config, streaming, wait_until};
use testing::script::{Behaviour, Endpoint};
use tokio::io::AsyncReadExt;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const GAP: Duration = Duration::from_millis(20);

/// Starts one daemon before one endpoint that plays `script` and then answers.
async fn single(name: &str, script: impl IntoIterator<Item = Behaviour>) -> (Harness, Endpoint) {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let gate = Harness::start(BINARY, name, 1, &[&endpoint]).await;
    endpoint.extend_script(script);
    (gate, endpoint)
}

/// The durable records of programs' budgets.
async fn recorded(gate: &Harness) -> Vec<(ProgramId, Record)> {
    let listing = gate.kv_client.list(gateway::members::RECORDS, "").await.expect("an answer");
    let records = listing.entries.iter().map(|entry| {
        let program = entry.key.strip_prefix(gateway::members::RECORDS).expect("a record's key");
        (program.into(), serde_json::from_slice(&entry.value).expect("a record"))
    });
    records.collect()
}

/// Number of founders that have closed their books.
async fn closed_books(gate: &Harness) -> usize {
    gate.kv_client.list(gateway::members::CLOSED, "").await.expect("an answer").entries.len()
}

fn ids(endpoint: &Endpoint) -> Vec<String> {
    endpoint.runs().into_iter().map(|run| run.id).collect()
}

fn events(answer: &Response) -> Vec<u64> {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Names each case of an endpoint's act: the path, the act, the status, how often the request ran,
/// and whether the client may take it as not run.
macro_rules! acts {
    ($($name:ident: $path:expr, $act:expr => $status:expr, runs $runs:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let (gate, endpoint) = single(stringify!($name), [$act]).await;
            let answer = gate.request(0, $path, "r-1", &["Deadline-Ms: 1500"]).await;
            assert_eq!(answer.status, $status, "{answer:?}");
            assert!(answer.complete, "{answer:?}");
            assert_eq!(ids(&endpoint), vec!["r-1"; $runs]);
        })*
    };
}

acts! {
    a_whole_answer_is_passed_on: "/unsafe/x", Behaviour::Respond => 200, runs 1;
    a_failure_of_the_endpoint_is_passed_on: "/unsafe/x", Behaviour::InternalError => 500, runs 1;
    a_lost_unsafe_request_runs_once: "/unsafe/x", Behaviour::Close => 502, runs 1;
    a_lost_safe_request_runs_again: "/safe/x", Behaviour::Close => 200, runs 2;
    a_foreign_answer_to_an_unsafe_request_is_dropped:
        "/unsafe/x", Behaviour::MismatchedResponse => 502, runs 1;
    a_foreign_answer_to_a_safe_request_is_replaced:
        "/safe/x", Behaviour::MismatchedResponse => 200, runs 2;
    a_truncated_unsafe_answer_is_not_passed_on: "/unsafe/x", Behaviour::Truncated => 502, runs 1;
    a_truncated_safe_answer_is_replaced: "/safe/x", Behaviour::Truncated => 200, runs 2;
    garbage_is_not_passed_on: "/unsafe/x", Behaviour::Garbage => 502, runs 1;
    a_silent_endpoint_costs_the_deadline_only: "/unsafe/x", Behaviour::NoResponse => 504, runs 1;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_endpoint_ran_is_refused_with_a_time_to_come_back() {
    let (gate, endpoint) = single("full", vec![Behaviour::Full; 3]).await;
    let answer = gate.request(0, "/unsafe/x", "r-1", &["Deadline-Ms: 1500"]).await;
    assert_eq!(answer.status, 503);
    let delay: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).expect("a time");
    assert!(delay > 0.0 && delay < 1.0, "{delay}");
    assert_eq!(ids(&endpoint), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_goes_to_another_endpoint() {
    let full = Endpoint::start("e-1", Behaviour::Full).await;
    let moved = Endpoint::start("e-2", Behaviour::Misdirected).await;
    let open = Endpoint::start("e-3", Behaviour::Respond).await;
    let gate = Harness::start(BINARY, "elsewhere", 1, &[&full, &moved, &open]).await;
    for number in 0..10 {
        let answer = gate.request(0, "/unsafe/x", &format!("r-{number}"), &[]).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(open.runs().len(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_resets_its_connections_is_left() {
    let down = Endpoint::start("e-1", Behaviour::Reset).await;
    let open = Endpoint::start("e-2", streaming(3, GAP)).await;
    let gate = Harness::start(BINARY, "resets", 1, &[&down, &open]).await;
    for number in 0..12 {
        let answer = gate.request(0, "/stream/x", &format!("r-{number}"), &[]).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    assert_eq!(open.runs().len(), 12);
    // Each request gives the endpoint a few chances, and not all requests go there first.
    assert!(down.connection_count() <= 12, "{} connections", down.connection_count());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_whose_answer_is_lost_is_sent_once_more() {
    let (gate, endpoint) = single("lost", [Behaviour::NoResponse]).await;
    let answer = gate.request(0, "/safe/x", "r-1", &["Deadline-Ms: 4000"]).await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(ids(&endpoint), ["r-1", "r-1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_does_not_begin_is_sent_once_more() {
    let (gate, endpoint) = single("mute", [Behaviour::NoResponse, streaming(4, GAP)]).await;
    let answer = gate.request(0, "/stream/x", "r-1", &["Deadline-Ms: 2500"]).await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(events(&answer), [1, 2, 3, 4]);
    assert_eq!(ids(&endpoint), ["r-1", "r-1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_is_not_sent_again() {
    let (gate, endpoint) = single("mute-plain", [Behaviour::NoResponse, streaming(4, GAP)]).await;
    let answer = gate.request(0, "/plain/x", "r-1", &["Deadline-Ms: 2500"]).await;
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(ids(&endpoint), ["r-1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_work_is_not_taken_for_silence() {
    let long = Endpoint::start("e-1", Behaviour::RespondAfter(Duration::from_millis(1_600))).await;
    let other = Endpoint::start("e-2", Behaviour::RespondAfter(Duration::from_millis(1_000))).await;
    let gate = Harness::start(BINARY, "long-work", 1, &[&long, &other]).await;
    for batch in 0..2 {
        let asks = (0..12).map(|number| {
            let gate = &gate;
            async move { gate.request(0, "/unsafe/x", &format!("r-{batch}-{number}"), &[]).await }
        });
        let answers = futures::future::join_all(asks).await;
        assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    }
    // Requests that come at once are shared; an endpoint whose requests count as failed gets few.
    assert!(long.runs().len() >= 8, "{} of 24", long.runs().len());
}

#[tokio::test(flavor = "multi_thread")]
async fn few_late_requests_are_repeated() {
    let (gate, endpoint) = single("late", vec![Behaviour::NoResponse; 40]).await;
    let asks =
        (0..20).map(|number| {
            let gate = &gate;
            async move {
                gate.request(0, "/safe/x", &format!("r-{number}"), &["Deadline-Ms: 2500"]).await
            }
        });
    futures::future::join_all(asks).await;
    // Twenty requests allow one repeat beside those of the start.
    assert!(endpoint.runs().len() <= 20 + 3, "{} runs", endpoint.runs().len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_reaches_nobody() {
    let (gate, endpoint) = single("twice", [Behaviour::RespondTwice]).await;
    for number in 0..5 {
        let id = format!("r-{number}");
        let answer = gate.request(0, "/unsafe/x", &id, &[]).await;
        assert_eq!((answer.status, answer.header("request-id")), (200, Some(id.as_str())));
    }
    assert_eq!(endpoint.runs().len(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_passed_on_whole() {
    let (gate, _endpoint) = single("stream", [streaming(8, GAP)]).await;
    let answer = gate.request(0, "/stream/x", "r-1", &[]).await;
    assert!(answer.complete);
    assert_eq!(events(&answer), (1..=8).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_within_the_same_answer() {
    let breaks = |after| Behaviour::Stream { events: 8, gap: GAP, breaks_after: Some(after) };
    let (gate, endpoint) = single("resume", [breaks(3), breaks(2), streaming(8, GAP)]).await;
    let answer = gate.request(0, "/stream/x", "r-1", &[]).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(events(&answer), (1..=8).collect::<Vec<u64>>());
    let resumed: Vec<_> =
        endpoint.runs().iter().map(|run| run.headers.get("last-event-id").cloned()).collect();
    assert_eq!(resumed, [None, Some("3".to_owned()), Some("5".to_owned())]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_that_cannot_resume_does_not_look_complete() {
    let breaks = Behaviour::Stream { events: 8, gap: GAP, breaks_after: Some(3) };
    let (gate, endpoint) = single("plain", [breaks]).await;
    let answer = gate.request(0, "/plain/x", "r-1", &[]).await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(events(&answer), [1, 2, 3]);
    assert_eq!(endpoint.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_leaves_cancels_its_request() {
    let (gate, endpoint) = single("leave", [Behaviour::NoResponse, streaming(200, GAP)]).await;
    let waiting = gate.start_request(0, "/unsafe/x", "r-1", &[]).await;
    wait_until("the first run", || endpoint.runs().len() == 1).await;
    drop(waiting);
    wait_until("the end of the first run", || endpoint.abandoned().len() == 1).await;
    let mut stream = gate.start_request(0, "/stream/x", "r-2", &[]).await;
    let mut some = [0; 64];
    stream.read_exact(&mut some).await.expect("the stream begins");
    drop(stream);
    wait_until("the end of the second run", || endpoint.abandoned().len() == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_system_sets_what_concerns_the_endpoint() {
    let (gate, endpoint) = single("headers", []).await;
    let sent = [
        "Hold: 7",
        "Pin-Ms: 4000",
        "Kv-Backup: 10.255.0.1:1",
        "Kv-From: 10.255.0.1:1/9",
        "Expect-Instance: e-9",
        "Deadline-Ms: 900",
        "X-Own: kept",
    ];
    gate.request(0, "/unsafe/x?q=1", "r-1", &sent).await;
    let run = &endpoint.runs()[0];
    let get = |name: &str| run.headers.get(name).map(String::as_str);
    assert_eq!(run.request_line, "POST /unsafe/x?q=1 HTTP/1.1");
    assert_eq!(run.body, b"body");
    assert_eq!(get("expect-instance"), Some("e-1"));
    assert_eq!(get("x-own"), Some("kept"));
    let bait = ["hold", "pin-ms", "kv-backup", "kv-from"];
    assert!(bait.iter().all(|name| get(name).is_none()), "{:?}", run.headers);
    let left: u64 = get("deadline-ms").and_then(|left| left.parse().ok()).expect("a deadline");
    assert!(left <= 900, "{left} ms are more than the client waits");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_framed_twice_smuggles_nothing() {
    let (gate, endpoint) = single("smuggle", []).await;
    let inner = "POST /unsafe/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: forged\r\n\
                 Content-Length: 0\r\n\r\n";
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked", 5 + inner.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}", 5 + inner.len()),
    ] {
        let bytes = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\n{framing}\r\n\r\n\
             0\r\n\r\n{inner}"
        );
        let mut stream = gate.send_raw(0, bytes.as_bytes()).await;
        let mut answers = Vec::new();
        // The daemon closes the connection, with or without a reset.
        let _ = stream.read_to_end(&mut answers).await;
        let answers = String::from_utf8_lossy(&answers).into_owned();
        assert!(answers.matches("HTTP/1.1").count() <= 1, "{answers}");
    }
    assert!(!ids(&endpoint).contains(&"forged".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_and_runs_nowhere() {
    let (gate, endpoint) = single("large", []).await;
    let head = "POST /unsafe/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\n\
                Content-Length: 70000\r\n\r\n";
    let mut stream = gate.send_raw(0, &[head.as_bytes(), &[b'x'; 70_000]].concat()).await;
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 413");
    assert!(endpoint.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_over_the_limit_is_refused_and_runs_nowhere() {
    let (gate, endpoint) = single("head", []).await;
    let long = "x".repeat(40_000);
    let head = format!("GET /safe/x HTTP/1.1\r\nHost: app.example\r\nLong: {long}\r\n\r\n");
    let mut stream = gate.send_raw(0, head.as_bytes()).await;
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 431");
    assert!(endpoint.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_and_never_reverts() {
    let (gate, _endpoint) = single("config", []).await;
    let mut added = config(5);
    added["routes"][0]["path_prefix"] = "/added/".into();
    gate.configure(&added).await;
    let mut tries = 0;
    while gate.request(0, "/added/x", "r-1", &[]).await.status != 200 {
        tries += 1;
        assert!(tries < 100, "the route is not added");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(gate.request(0, "/safe/x", "r-2", &[]).await.status, 404);
    gate.configure(&config(3)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(gate.request(0, "/added/x", "r-3", &[]).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_gets_no_new_work() {
    let leaving = Endpoint::start("e-1", Behaviour::Respond).await;
    let other = Endpoint::start("e-2", Behaviour::Respond).await;
    let gate = Harness::start(BINARY, "drain", 1, &[&leaving, &other]).await;
    gate.register(&leaving, "draining").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = leaving.runs().len();
    for number in 0..10 {
        assert_eq!(gate.request(0, "/unsafe/x", &format!("r-{number}"), &[]).await.status, 200);
    }
    assert_eq!(leaving.runs().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_off_no_request() {
    let (mut gate, _endpoint) = single("stop", [streaming(60, GAP)]).await;
    let mut stream = gate.start_request(0, "/stream/x", "r-1", &[]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    gate.daemons[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!gate.daemons[0].is_ready().await);
    assert_eq!(gate.request(0, "/unsafe/x", "r-2", &[]).await.status, 200);
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("the stream ends in order");
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("id: 60") && text.ends_with("0\r\n\r\n"), "{text}");
    assert_eq!(gate.daemons[0].process.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_takes_no_request_that_it_could_cut_off() {
    let (mut gate, endpoint) = single("late", [streaming(100, GAP)]).await;
    let daemon = &mut gate.daemons[0];
    let limits = &mut daemon.settings.limits;
    (limits.stop_close_ms, limits.stop_wait_ms) = (100, 3_500);
    daemon.restart();
    daemon.ready().await;
    let mut stream = gate.start_request(0, "/stream/x", "r-1", &[]).await;
    wait_until("the stream begins", || !endpoint.runs().is_empty()).await;
    gate.daemons[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(800)).await;
    let late = gate.request(0, "/unsafe/x", "r-2", &[]).await;
    assert_eq!((late.status, late.body.as_str(), late.complete), (503, "stopping", true));
    assert!(late.header("retry-after").is_some());
    let short = gate.request(0, "/unsafe/x", "r-3", &["Deadline-Ms: 800"]).await;
    assert_eq!((short.status, short.complete), (200, true));
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("the stream ends in order");
    assert!(String::from_utf8_lossy(&bytes).contains("id: 100"));
    assert_eq!(ids(&endpoint), ["r-1", "r-3"]);
    assert_eq!(gate.daemons[0].process.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_the_platform_turns_away_learns_from_its_peers() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let mut gate = Harness::start(BINARY, "peers", 2, &[&endpoint]).await;
    gate.faults.update(|state| state.kv.down = true);
    gate.daemons[1].restart();
    gate.daemons[1].ready().await;
    assert_eq!(gate.request(1, "/unsafe/x", "r-1", &[]).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listing_that_is_too_old_to_go_on_from_is_read_again() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let mut gate = Harness::start(BINARY, "stale", 1, &[&endpoint]).await;
    gate.faults.update(|state| state.kv.stale_reads = true);
    // Without seeds it is no delegate and hears of none.
    let settings =
        Settings { first_start: false, ..gate.settings(1, testing::net::free_addr(), &[]) };
    let late = gate.launch(BINARY, settings);
    gate.daemons.push(late);
    gate.daemons[1].wait_for_members(2, WAIT_TIMEOUT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_storage_vm_is_reported_empty_once_asked() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let gate = Harness::start(BINARY, "retire", 2, &[&endpoint]).await;
    gate.kv_client
        .create("op/retire/disk-1", br#"{"duration_s":10}"#, None)
        .await
        .expect("a write");
    let mut tries = 0;
    let report = loop {
        if let Some(found) = gate.kv_client.get("status/retire/disk-1").await.expect("an answer") {
            break found;
        }
        tries += 1;
        assert!(tries < 200, "nobody reports");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(report.value, br#"{"state":"done"}"#);
}

const BUDGET: &str = "Token-Budget: 300";
const USAGE: &str = "Token-Usage: 20,100";

#[tokio::test(flavor = "multi_thread")]
async fn a_program_spends_its_budget_over_all_daemons_and_stays_stopped() {
    let endpoint = Endpoint::start("e-1", streaming(5, Duration::from_millis(1))).await;
    let mut gate = Harness::start(BINARY, "budget", 3, &[&endpoint]).await;
    let headers = ["Program-Id: p-1", BUDGET, USAGE];
    let mut served = 0;
    for turn in 0..20 {
        let answer = gate.request(turn % 3, "/stream/x", &format!("r-{turn}"), &headers).await;
        match answer.status {
            200 => served += 1,
            status => assert_eq!(status, 402, "{answer:?}"),
        }
    }
    // Each turn hands out 50 tokens and may hand out 100.
    assert_eq!(served, 5);
    assert_eq!(endpoint.runs().len(), 5);
    for daemon in &mut gate.daemons {
        daemon.restart();
    }
    for daemon in &gate.daemons {
        daemon.ready().await;
    }
    let answer = gate.request(0, "/stream/x", "late", &headers).await;
    assert_eq!(answer.status, 402);
    assert_eq!(endpoint.runs().len(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn records_are_deleted_when_their_time_is_over() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let gate = Harness::start(BINARY, "trim", 1, &[&endpoint]).await;
    let records = gateway::records::Records::new(gate.kv_client.clone(), Arc::new(View::default()));
    records.fetch_terms().await.expect("the terms");
    let record = |keep_until_ms| Record { budget: 9, drawn: 9, keep_until_ms, ..Record::default() };
    for number in 0..40 {
        let name = format!("old-{number}");
        records.update(&name, |_, _| Some(record(1_000))).await.expect("a write");
    }
    records.update("young", |_, _| Some(record(500_000))).await.expect("a write");
    assert_eq!(records.delete_expired(400_000).await.expect("a deletion"), 40);
    let left = recorded(&gate).await;
    assert_eq!(left, [("young".into(), record(500_000))]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_founder_that_stops_records_what_its_programs_have_spent() {
    let endpoint = Endpoint::start("e-1", streaming(5, Duration::from_millis(1))).await;
    let mut gate = Harness::start(BINARY, "books", 1, &[&endpoint]).await;
    for program in 0..40 {
        let id = format!("Program-Id: p-{program}");
        let answer =
            gate.request(0, "/stream/x", &format!("r-{program}"), &[&id, BUDGET, USAGE]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(recorded(&gate).await, []);
    gate.daemons[0].process.terminate();
    gate.daemons[0].process.wait_for_exit().await;
    let left = recorded(&gate).await;
    let drawn: Vec<u64> = left.iter().map(|(_, record)| record.drawn).collect();
    assert_eq!(drawn, [50; 40]);
    assert_eq!(closed_books(&gate).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_books_of_a_killed_founder_stay_open() {
    let endpoint = Endpoint::start("e-1", streaming(5, Duration::from_millis(1))).await;
    let mut gate = Harness::start(BINARY, "killed", 1, &[&endpoint]).await;
    let answer = gate.request(0, "/stream/x", "r-1", &["Program-Id: p-1", BUDGET, USAGE]).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    // The process that comes back does not know what was spent, and stops in order later.
    gate.daemons[0].restart();
    gate.daemons[0].ready().await;
    gate.daemons[0].process.terminate();
    gate.daemons[0].process.wait_for_exit().await;
    assert_eq!(closed_books(&gate).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn programs_that_begin_after_a_restart_of_all_daemons_need_no_record() {
    let endpoint = Endpoint::start("e-1", streaming(5, Duration::from_millis(1))).await;
    let mut gate = Harness::start(BINARY, "terms", 3, &[&endpoint]).await;
    for daemon in &mut gate.daemons {
        daemon.process.terminate();
        daemon.process.wait_for_exit().await;
        daemon.restart();
        daemon.ready().await;
    }
    for daemon in &gate.daemons {
        daemon.wait_for_term(2).await;
    }
    for program in 0..20 {
        let id = format!("Program-Id: p-{program}");
        let at = program % gate.daemons.len();
        let answer =
            gate.request(at, "/stream/x", &format!("r-{program}"), &[&id, BUDGET, USAGE]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(recorded(&gate).await, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_program_goes_on_while_its_owner_is_gone() {
    let endpoint = Endpoint::start("e-1", streaming(2, Duration::from_millis(1))).await;
    let mut gate = Harness::start(BINARY, "owner", 2, &[&endpoint]).await;
    gate.daemons[1].process.kill();
    for program in 0..8 {
        let id = format!("Program-Id: p-{program}");
        let answer =
            gate.request(0, "/stream/x", &format!("r-{program}"), &[&id, BUDGET, USAGE]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
