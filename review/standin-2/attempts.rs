//! Model engines are replaced one after the other while some answers are lost.

use crate::base::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["tayninh-a", "tayninh-b", "tayninh-c"];
/// Events of a turn, and the pause between two of them.
const EVENTS: u64 = 7;
const PAUSE: Duration = Duration::from_millis(180);
/// Every how many requests an engine loses the answer: 5 of 100, at half of the engines.
const LOST_EVERY: u64 = 20;
/// How long answers are lost at a time, and how long the pause is until they are lost again.
const LOSING: Duration = Duration::from_secs(6);
const NOT_LOSING: Duration = Duration::from_secs(2);
/// How long an engine serves after it has said that it drains, `drain_ms` and some more.
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// Pause between two engines that are replaced.
const GAP: Duration = Duration::from_millis(860);
const LENGTH: Duration = Duration::from_secs(88);
/// Pause between two requests to one gateway: 45 a second, in a burst of twice the usual.
const EACH: Duration = Duration::from_millis(67);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-zji9n73","hostname":"ficu95.example","path_prefix":"/lohu930/","kind":"stream","timeout_ms":4000,"target_latency_ms":250,"priority":1,"backend":"huvo11a","max_attempts":1,"retain":false,"retention_s":60.0,"sticky_sessions":true,"resumable":true,"gap_aim_ms":200}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":123112,"kv_token_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"chunk_tokens":10,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Streams the events after `Last-Event-Id`; returns whether the connection is kept.
fn stream(request: &Message, writer: &mut TcpStream) -> bool {
    let after: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.header("Request-Id")
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in after + 1..=EVENTS {
        thread::sleep(PAUSE);
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if writer.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

pub fn run() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = std::path::PathBuf::from(std::env::var("WORK").expect("WORK names a folder"));
    let record = Record::create();
    let store = Store::start();
    let asked = Arc::new(AtomicU64::new(0));
    let losing = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let handler: Arc<Handler> = {
        let (asked, losing, lost, record) =
            (asked.clone(), losing.clone(), lost.clone(), record.clone());
        Arc::new(move |server, request, writer| {
            record.line(&format!("{} runs {}", server.id, request.header("Request-Id")));
            if !losing.load(Ordering::SeqCst) || server.id.ends_with(['0', '2', '4', '6', '8', 'a', 'c', 'e']) {
                return stream(request, writer);
            }
            if asked.fetch_add(1, Ordering::SeqCst) % LOST_EVERY > 0 {
                return stream(request, writer);
            }
            // It runs the request, and the answer is lost.
            thread::sleep(PAUSE * EVENTS as u32);
            lost.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "{} has run {}, its answer is lost",
                server.id,
                request.header("Request-Id")
            ));
            let _ = writer.shutdown(Shutdown::Both);
            false
        })
    };
    let start_engine = |number: usize| {
        let zone = ZONES[number % 3];
        let engine = Server::start(&format!("i-{number:04x}"), "huvo11a", zone, 16, handler.clone());
        store.put(&engine.key(), &engine.entry("ready"));
        engine
    };
    let mut engines: Vec<Arc<Server>> = (0..9).map(start_engine).collect();
    let mut all = engines.clone();
    store.put("op/config", CONFIG);
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
    thread::sleep(Duration::from_secs(4));

    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let begin = Instant::now();
    let mut next_release = begin + Duration::from_secs(3);
    let mut leaving: Vec<(Arc<Server>, Instant)> = Vec::new();
    let (mut count, mut started) = (0_u64, 9);
    // Engines that may have ended by themselves while a request was at them.
    let mut ended: HashMap<String, Instant> = HashMap::new();
    while begin.elapsed() < LENGTH {
        let phase = begin.elapsed().as_millis() % (LOSING + NOT_LOSING).as_millis();
        losing.store(trouble && phase < LOSING.as_millis(), Ordering::SeqCst);
        for gateway in &gateways {
            count += 1;
            let (addr, sent, served) = (gateway.client, sent.clone(), served.clone());
            let record = record.clone();
            thread::spawn(move || {
                let head = format!(
                    "POST /lohu930/4b HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {count:016x}\r\n\
                     Model: m\r\nProgram-Id: {count:x}\r\nSession-Id: {count:x}\r\n\
                     Program-Deadline-Ms: 5200\r\nToken-Budget: 2320\r\nToken-Usage: 1840,290\r\n\
                     Prompt-Prefix: 5c1e07a2:512,{count:x}:654\r\nDeadline-Ms: 4000\r\n\
                     Content-Length: 4\r\n\r\n"
                );
                sent.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("client sends {count:016x}"));
                let answer = request(addr, &head, b"turn", Duration::from_secs(5));
                let whole = if answer.complete { "whole" } else { "not whole" };
                record.line(&format!("client has for {count:016x}: {}, {whole}", answer.first));
                if answer.status() == 200 && answer.complete {
                    served.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        if trouble && Instant::now() >= next_release {
            next_release += GAP;
            engines.push(start_engine(started));
            all.push(engines[engines.len() - 1].clone());
            started += 1;
            let engine = engines.remove(0);
            store.put(&engine.key(), &engine.entry("draining"));
            record.line(&format!("{} drains, acknowledged", engine.id));
            leaving.push((engine, Instant::now()));
        }
        leaving.retain(|(engine, since)| {
            let stays = since.elapsed() < SERVES_ON;
            if !stays {
                store.remove(&engine.key());
                engine.exit();
                ended.insert(engine.id.clone(), Instant::now());
                record.line(&format!("{} exits", engine.id));
            }
            stays
        });
        thread::sleep(EACH);
    }
    thread::sleep(Duration::from_secs(5));
    let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
    for engine in &all {
        for run in engine.runs.lock().unwrap().iter() {
            runs.entry(run.id.clone()).or_default().push((engine.id.clone(), run.began));
        }
    }
    let mut broken = 0;
    for (id, mut runs) in runs {
        runs.sort_by_key(|(_, began)| *began);
        let mut at: Vec<&String> = runs.iter().map(|(engine, _)| engine).collect();
        at.dedup();
        let last = runs[runs.len() - 1].1;
        // Engines that had ended before the last run don't count.
        at.retain(|engine| ended.get(*engine).is_none_or(|ended| *ended > last));
        if at.len() > 1 {
            broken += 1;
            record.line(&format!("BROKEN: {id} ran at {at:?}, max_attempts is 1"));
        }
    }
    let total = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let summary = format!(
        "{} requests sent, {} served, {} answers lost; {broken} ran on more engines than max_attempts",
        total(&sent),
        total(&served),
        total(&lost)
    );
    record.line(&summary);
    println!("{summary}");
    if total(&served) * 10 < total(&sent) * 8 {
        eprintln!("could not run: too few requests were served");
        return 2;
    }
    i32::from(broken > 3)
}
