//! A machine stands still for a moment, another one is stopped later, and programs go on.

use crate::base::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["tayninh-a", "tayninh-b", "tayninh-c"];
const PROGRAMS: usize = 90;
const BUDGET: u64 = 2_320;
/// Most tokens of one turn; all turns make as many.
const MOST: u64 = 290;
/// Tokens of one event, `chunk_tokens`.
const CHUNK: u64 = 10;
/// How long one machine stands still.
const FREEZE: Duration = Duration::from_millis(300);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-zji9n73","hostname":"ficu95.example","path_prefix":"/lohu930/","kind":"stream","timeout_ms":4000,"target_latency_ms":250,"priority":1,"backend":"huvo11a","max_attempts":1,"retain":false,"retention_s":60.0,"sticky_sessions":true,"resumable":true,"gap_aim_ms":200}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":123112,"kv_token_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"chunk_tokens":10,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn stream(request: &Message, writer: &mut TcpStream) -> bool {
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
        thread::sleep(Duration::from_millis(2));
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Runs one turn, again after a refusal, and returns the last status and the tokens handed out.
fn turn(addr: SocketAddr, program: usize, number: usize, record: &Record) -> (u16, u64) {
    let mut tokens = 0;
    for attempt in 0..3 {
        let id = format!("{program:04x}{number:04x}{attempt:08x}");
        let head = format!(
            "POST /lohu930/4b HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Program-Id: {:x}\r\nSession-Id: {:x}\r\nProgram-Deadline-Ms: 60000\r\n\
             Token-Budget: {BUDGET}\r\nToken-Usage: 1840,{MOST}\r\n\
             Prompt-Prefix: 5c1e07a2:512,{id}:654\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\n",
            0x3fa81c + program,
            0x77d20b + program
        );
        record.line(&format!("program {program} sends {id}"));
        let answer = request(addr, &head, b"turn", Duration::from_secs(5));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let events = text.lines().filter(|line| line.starts_with("id:")).count() as u64;
        tokens += events * CHUNK;
        record.line(&format!("program {program} has for {id}: {}, {events} events", answer.first));
        if answer.status() == 200 && answer.complete || answer.status() == 402 {
            return (answer.status(), tokens);
        }
        thread::sleep(Duration::from_millis(300));
    }
    (0, tokens)
}

/// All programs run a turn side by side.
fn turns(addr: SocketAddr, number: usize, handed: &mut [u64], record: &Record) {
    let running: Vec<_> = (0..PROGRAMS)
        .map(|program| {
            let record = record.clone();
            thread::spawn(move || turn(addr, program, number, &record))
        })
        .collect();
    for (program, running) in running.into_iter().enumerate() {
        handed[program] += running.join().unwrap_or_default().1;
    }
}

pub fn run() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // For comparison: each of the two by itself.
    let freezes = trouble && std::env::var("FREEZE").map_or(true, |value| value != "0");
    let stops = trouble && std::env::var("STOP").map_or(true, |value| value != "0");
    let dir = std::path::PathBuf::from(std::env::var("WORK").expect("WORK names a folder"));
    let record = Record::create();
    let store = Store::start();
    let running = record.clone();
    let handler: Arc<Handler> = Arc::new(move |server, request, writer| {
        running.line(&format!("{} runs {}", server.id, request.header("Request-Id")));
        stream(request, writer)
    });
    let mut engines = Vec::new();
    for number in 0..12 {
        let id = format!("i-{number:04x}");
        let engine = Server::start(&id, "huvo11a", ZONES[number % 3], 16, handler.clone());
        store.put(&engine.key(), &engine.entry("ready"));
        engines.push(engine);
    }
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
    thread::sleep(Duration::from_secs(6));
    // All turns go through the third machine, which nothing happens to.
    let addr = gateways[2].client;
    let mut handed = vec![0; PROGRAMS];
    turns(addr, 1, &mut handed, &record);
    thread::sleep(Duration::from_secs(1));
    if freezes {
        record.line("machine 0 stands still");
        gateways[0].signal(SIGSTOP);
    }
    let begin = Instant::now();
    let second = {
        let record = record.clone();
        thread::spawn(move || {
            let mut handed = vec![0; PROGRAMS];
            turns(addr, 2, &mut handed, &record);
            handed
        })
    };
    thread::sleep(FREEZE.saturating_sub(begin.elapsed()));
    if freezes {
        gateways[0].signal(SIGCONT);
        record.line("machine 0 goes on");
    }
    for (handed, tokens) in handed.iter_mut().zip(second.join().unwrap_or_default()) {
        *handed += tokens;
    }
    thread::sleep(Duration::from_secs(3));
    turns(addr, 3, &mut handed, &record);
    thread::sleep(Duration::from_secs(1));
    if stops {
        record.line("SIGTERM to machine 1");
        gateways[1].signal(SIGTERM);
        wait_until("machine 1 has ended", Duration::from_secs(9), || gateways[1].has_ended());
        gateways[1].restart();
        wait_until("machine 1 is ready again", Duration::from_secs(9), || gateways[1].is_ready());
    }
    // `contact_ms`, and more.
    thread::sleep(Duration::from_secs(4));
    let going: Vec<_> = (0..PROGRAMS)
        .map(|program| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(20 * program as u64));
                let mut tokens = 0;
                for number in 4..20 {
                    let (status, more) = turn(addr, program, number, &record);
                    tokens += more;
                    if status == 402 {
                        return (true, tokens);
                    }
                    thread::sleep(Duration::from_millis(100));
                }
                (false, tokens)
            })
        })
        .collect();
    let mut denied = 0;
    for (program, going) in going.into_iter().enumerate() {
        let (is_stopped, tokens) = going.join().unwrap_or_default();
        handed[program] += tokens;
        let left = BUDGET.saturating_sub(handed[program]);
        if is_stopped && left >= MOST {
            denied += 1;
            record.line(&format!("program {program} got 402 with {left} tokens of its budget left"));
        }
    }
    let sent: usize = engines.iter().map(|engine| engine.runs.lock().unwrap().len()).sum();
    let allowed = 5 + sent / 500;
    let summary = format!(
        "{denied} of {PROGRAMS} programs got 402 although the budget held one more turn; {allowed} are allowed; \
         tokens handed out: {handed:?}"
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(denied > allowed)
}
