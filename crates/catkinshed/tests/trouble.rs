//! What a gateway does under more load than its endpoints can serve, and against bytes without end.

use std::time::{Duration, Instant};
use testing::gateway_harness::{Harness, streaming};
use testing::script::{Behaviour, Endpoint};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const BUDGET: &str = "Token-Budget: 300";
const USAGE: &str = "Token-Usage: 20,100";
/// Slots of an endpoint of [`Harness`].
const SLOTS: usize = 4;
/// Memory of the smallest machines that a gateway has to run on, in KB.
const MEMORY_KB: u64 = 88 << 10;

/// Resident memory of a process, at its most, in KB.
fn peak_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.split_whitespace().next().and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Sends the first turn of a program and leaves it at its endpoint.
async fn occupy(gate: &Harness, program: usize) -> TcpStream {
    let headers = [format!("Program-Id: busy-{program}"), BUDGET.into(), USAGE.into()];
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    gate.start_request(0, "/stream/x", &format!("busy-{program}"), &headers).await
}

async fn runs(endpoint: &Endpoint, count: usize) {
    let started = Instant::now();
    while endpoint.runs().len() < count {
        assert!(started.elapsed() < Duration::from_secs(10), "{} run", endpoint.runs().len());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the endpoint has noticed that the connections of `count` runs are closed.
async fn abandoned(endpoint: &Endpoint, count: usize) {
    let started = Instant::now();
    while endpoint.abandoned().len() < count {
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", endpoint.abandoned());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_program_is_refused_at_once_where_the_engines_are_full() {
    let endpoint = Endpoint::start("e-1", Behaviour::RespondAfter(Duration::from_secs(5))).await;
    let gate = Harness::start(BINARY, "full", 1, &[&endpoint]).await;
    // A program that is known goes on below.
    endpoint.extend_script([streaming(2, Duration::from_millis(1))]);
    let known = ["Program-Id: known", "Program-Deadline-Ms: 4000", BUDGET, USAGE];
    assert_eq!(gate.request(0, "/stream/x", "known-1", &known).await.status, 200);
    let mut busy = Vec::new();
    for program in 0..=SLOTS {
        busy.push(occupy(&gate, program).await);
        runs(&endpoint, program + 2).await;
    }
    let started = Instant::now();
    let new = ["Program-Id: new", "Program-Deadline-Ms: 4000", BUDGET, USAGE];
    let answer = gate.request(0, "/stream/x", "new-1", &new).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "overloaded"));
    assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
    let delay: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).expect("a time");
    assert!(delay > 0.0 && delay < 2.0, "{delay}");
    endpoint.extend_script([streaming(2, Duration::from_millis(1))]);
    assert_eq!(gate.request(0, "/stream/x", "known-2", &known).await.status, 200);
    assert!(endpoint.runs().iter().all(|run| run.id != "new-1"));
    drop(busy);
}

#[tokio::test(flavor = "multi_thread")]
async fn programs_whose_founders_are_lost_draw_together() {
    const PROGRAMS: usize = 120;
    let act = streaming(2, Duration::from_millis(1));
    let mut endpoints = Vec::new();
    for number in 0..10 {
        endpoints.push(Endpoint::start(&format!("e-{number}"), act.clone()).await);
    }
    let endpoints: Vec<&Endpoint> = endpoints.iter().collect();
    let mut gate = Harness::start(BINARY, "together", 3, &endpoints).await;
    for daemon in &mut gate.daemons {
        daemon.restart();
    }
    for daemon in &gate.daemons {
        daemon.ready().await;
    }
    let before = gate.kv.writes();
    let gate = &gate;
    let turns = (0..PROGRAMS).map(async |program| {
        // Five programs at a time, so that the engines have room.
        tokio::time::sleep(Duration::from_millis(40 * (program as u64 / 5))).await;
        let id = format!("Program-Id: p-{program}");
        gate.request(program % 3, "/stream/x", &format!("r-{program}"), &[&id, BUDGET, USAGE]).await
    });
    let answers = futures::future::join_all(turns).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, PROGRAMS, "{:?}", answers.iter().find(|answer| answer.status != 200));
    let records = gate.kv_client.list(gateway::members::RECORDS, "").await.expect("an answer");
    assert_eq!(records.entries.len(), PROGRAMS);
    let writes = gate.kv.writes() - before;
    assert!(writes * 3 < PROGRAMS as u64, "{writes} writes");
}

/// Floods a gateway from its endpoint while requests run as usual elsewhere.
macro_rules! floods {
    ($($name:ident: $path:expr, $act:expr => $status:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
            let gate = Harness::start(BINARY, stringify!($name), 1, &[&endpoint]).await;
            endpoint.extend_script(vec![$act; SLOTS]);
            let floods = (0..SLOTS).map(async |number| {
                gate.request(0, $path, &format!("r-{number}"), &["Deadline-Ms: 4000"]).await
            });
            for answer in futures::future::join_all(floods).await {
                let passed_on = answer.status == 200 && answer.complete;
                assert!(!passed_on, "{}", answer.head);
                assert_eq!(answer.status, $status, "{}", answer.head);
            }
            let peak = peak_kb(gate.daemons[0].process.pid());
            assert!(peak < MEMORY_KB / 2, "{peak} KB");
            let answer = gate.request(0, "/unsafe/x", "next", &["Deadline-Ms: 4000"]).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            abandoned(&endpoint, SLOTS).await;
        })*
    };
}

floods! {
    a_head_without_end_is_cut: "/unsafe/x", Behaviour::EndlessHead => 502;
    a_body_without_end_is_cut: "/unsafe/x", Behaviour::EndlessBody => 502;
    an_event_without_end_is_cut: "/plain/x", Behaviour::EndlessEvent => 502;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_sends_without_end_harms_nobody() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let gate = Harness::start(BINARY, "client", 1, &[&endpoint]).await;
    let addr = gate.daemons[0].settings.client_addr;
    let heads = [
        ("GET /safe/x HTTP/1.1\r\nHost: app.example\r\n", "X-More: and more of it\r\n"),
        (
            "POST /unsafe/x HTTP/1.1\r\nHost: app.example\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4\r\nmore\r\n",
        ),
    ];
    for (head, more) in heads {
        let flood = async {
            let mut stream = TcpStream::connect(addr).await.expect("a connection");
            stream.write_all(head.as_bytes()).await.expect("a head");
            while stream.write_all(more.repeat(100).as_bytes()).await.is_ok() {}
        };
        tokio::time::timeout(Duration::from_secs(10), flood).await.expect("the end of the flood");
    }
    let peak = peak_kb(gate.daemons[0].process.pid());
    assert!(peak < MEMORY_KB / 2, "{peak} KB");
    assert_eq!(gate.request(0, "/unsafe/x", "next", &[]).await.status, 200);
    assert_eq!(endpoint.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_that_sends_a_byte_now_and_then_ends_with_its_deadline() {
    let endpoint = Endpoint::start("e-1", Behaviour::Trickle(Duration::from_millis(100))).await;
    let gate = Harness::start(BINARY, "trickle", 1, &[&endpoint]).await;
    let started = Instant::now();
    let answer = gate.request(0, "/plain/x", "r-1", &["Deadline-Ms: 1500"]).await;
    assert!(!answer.complete, "{answer:?}");
    assert!(started.elapsed() < Duration::from_millis(2_500), "{:?}", started.elapsed());
    abandoned(&endpoint, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_but_sound_stream_is_not_cut() {
    let endpoint = Endpoint::start("e-1", streaming(4, Duration::from_millis(650))).await;
    let gate = Harness::start(BINARY, "sound", 1, &[&endpoint]).await;
    let answer = gate.request(0, "/plain/x", "r-1", &["Deadline-Ms: 9000"]).await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(endpoint.runs().len(), 1);
}
