//! A route moves to another service while turns of programs that loop without end are under way.

use crate::base::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["tayninh-a", "tayninh-b", "tayninh-c"];
const PROGRAMS: usize = 8;
const BUDGET: u64 = 2_320;
/// Most tokens of one turn; all turns make as many.
const MOST: u64 = 290;
/// Tokens of one event, `chunk_tokens`.
const CHUNK: u64 = 10;
/// Turns that sub-agents run side by side.
const PARALLEL: usize = 7;
/// Time until the first event of a turn on engines with much to do.
const FIRST: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(20);

fn config(version: u64, service: &str, services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/healthz","max_connections":180,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_capacity":123112,"kv_token_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"chunk_tokens":{CHUNK},"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-zji9n73","hostname":"ficu95.example","path_prefix":"/lohu930/","kind":"stream","timeout_ms":4000,"target_latency_ms":250,"priority":1,"backend":"{service}","max_attempts":1,"retain":false,"retention_s":60.0,"sticky_sessions":true,"resumable":true,"gap_aim_ms":200}}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        services.join(",")
    )
}

/// Streams all events of a turn.
fn stream(request: &Message, writer: &mut TcpStream, first: Duration) -> bool {
    thread::sleep(first);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.header("Request-Id")
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in 1..=MOST / CHUNK {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if writer.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(PAUSE);
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Runs one turn and returns the status and the tokens that the client was handed.
fn turn(addr: SocketAddr, program: usize, number: usize, record: &Record) -> (u16, u64) {
    let id = format!("{program:08x}{number:08x}");
    let head = format!(
        "POST /lohu930/4b HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Program-Id: {:x}\r\nSession-Id: {id}\r\nProgram-Deadline-Ms: 30000\r\nToken-Budget: {BUDGET}\r\n\
         Token-Usage: 1840,{MOST}\r\nPrompt-Prefix: 5c1e07a2:512,{id}:654\r\nDeadline-Ms: 4000\r\n\
         Content-Length: 4\r\n\r\n",
        0x3fa81c + program
    );
    record.line(&format!("program {program} sends {id}"));
    let answer = request(addr, &head, b"turn", Duration::from_secs(5));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let events = text.lines().filter(|line| line.starts_with("id:")).count() as u64;
    record.line(&format!(
        "program {program} has for {id}: {}, {events} events, {} tokens",
        answer.first,
        events * CHUNK
    ));
    (answer.status(), events * CHUNK)
}

pub fn run() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // For comparison: the new version may list the former service too.
    let keeps = std::env::var("KEEPS").is_ok();
    let dir = std::path::PathBuf::from(std::env::var("WORK").expect("WORK names a folder"));
    let record = Record::create();
    let store = Store::start();
    let slow = Arc::new(AtomicBool::new(false));
    let handler: Arc<Handler> = {
        let (slow, record) = (slow.clone(), record.clone());
        Arc::new(move |server, request, writer| {
            record.line(&format!("{} runs {}", server.id, request.header("Request-Id")));
            let first = if slow.load(Ordering::SeqCst) { FIRST } else { PAUSE };
            stream(request, writer, first)
        })
    };
    let mut engines = Vec::new();
    for number in 0..12 {
        let service = if number < 6 { "huvo11a" } else { "wuno96b" };
        let zone = ZONES[number % 3];
        let engine = Server::start(&format!("i-{number:04x}"), service, zone, 16, handler.clone());
        store.put(&engine.key(), &engine.entry("ready"));
        engines.push(engine);
    }
    store.put("op/config", &config(7, "huvo11a", &["huvo11a", "wuno96b"]));
    let controls: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let mut gateways = Vec::new();
    for zone in 0..3 {
        let (addr, _) = store.open_way();
        let name = format!("front-{}-1", ZONES[zone]);
        let place = GatewayPlace {
            name: &name,
            zone: ZONES[zone],
            store: addr,
            control: controls[zone],
            seeds: &controls,
        };
        gateways.push(Gateway::start(&dir, &place));
    }
    wait_until("all gateways are ready and know each other", Duration::from_secs(20), || {
        gateways.iter().all(|gateway| gateway.is_ready() && gateway.metric("view_members ") == Some(3))
    });
    thread::sleep(Duration::from_secs(6));
    let clients: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.client).collect();

    let mut handed = vec![0; PROGRAMS];
    for (program, handed) in handed.iter_mut().enumerate() {
        let (status, tokens) = turn(clients[program % 3], program, 0, &record);
        *handed += tokens;
        if status != 200 {
            eprintln!("could not run: a first turn got {status}");
            return 2;
        }
    }
    // Each program's sub-agents run turns side by side; the engines have much to do.
    slow.store(true, Ordering::SeqCst);
    let mut turns = Vec::new();
    for program in 0..PROGRAMS {
        for number in 1..=PARALLEL {
            let (addr, record) = (clients[(program + number) % 3], record.clone());
            turns.push((program, thread::spawn(move || turn(addr, program, number, &record))));
        }
    }
    thread::sleep(FIRST / 2);
    if trouble {
        let listed: &[&str] = if keeps { &["huvo11a", "wuno96b"] } else { &["wuno96b"] };
        store.put("op/config", &config(11, "wuno96b", listed));
        record.line("version 11 moves the route to wuno96b, acknowledged");
    }
    for (program, running) in turns {
        let (_, tokens) = running.join().unwrap_or_default();
        handed[program] += tokens;
    }
    slow.store(false, Ordering::SeqCst);
    // Settlements are on their way.
    thread::sleep(Duration::from_secs(1));
    for (program, handed) in handed.iter_mut().enumerate() {
        for number in PARALLEL + 1..PARALLEL + 20 {
            let (status, tokens) = turn(clients[(program + number) % 3], program, number, &record);
            *handed += tokens;
            if status == 402 {
                break;
            }
        }
    }
    let most = BUDGET + MOST;
    let over = handed.iter().filter(|tokens| **tokens > most).count();
    let summary = format!(
        "{over} of {PROGRAMS} programs were handed more than {most} tokens; by program: {handed:?}"
    );
    record.line(&summary);
    println!("{summary}");
    if handed.iter().any(|tokens| *tokens < BUDGET / 2) {
        eprintln!("could not run: the programs were not served");
        return 2;
    }
    i32::from(over > 0)
}
