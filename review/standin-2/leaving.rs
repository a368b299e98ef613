//! Servers leave without a word while some machines are cut off from the store.

use crate::base::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["tayninh-a", "tayninh-b", "tayninh-c"];
const GATEWAYS: [(&str, usize); 8] = [
    ("front-tayninh-a-1", 0),
    ("front-tayninh-a-2", 0),
    ("front-tayninh-a-3", 0),
    ("front-tayninh-b-1", 1),
    ("front-tayninh-b-2", 1),
    ("front-tayninh-b-3", 1),
    ("front-tayninh-c-1", 2),
    ("front-tayninh-c-2", 2),
];
/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How much longer than `drain_ms` a server serves that has left.
const LONGER: Duration = Duration::from_millis(600);
/// Time that a request works at a server.
const WORK: Duration = Duration::from_millis(139);
/// Length of a cut.
const CUT: Duration = Duration::from_secs(4);
const ROUNDS: usize = 4;
const EACH: Duration = Duration::from_millis(40);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","hostname":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":600,"priority":2,"backend":"wuno96b","max_attempts":1}],"services":[{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = std::path::PathBuf::from(std::env::var("WORK").expect("WORK names a folder"));
    let record = Record::create();
    let store = Store::start();
    let running = record.clone();
    let handler: Arc<Handler> = Arc::new(move |server, request, writer| {
        running.line(&format!("{} runs {}", server.id, request.header("Request-Id")));
        thread::sleep(WORK);
        answer_plain(server, request, writer)
    });
    let start_server = |number: usize| {
        let zone = ZONES[number % 3];
        let server = Server::start(&format!("i-{number:04x}"), "wuno96b", zone, 6, handler.clone());
        store.put(&server.key(), &server.entry("ready"));
        server
    };
    let mut servers: Vec<Arc<Server>> = (0..15).map(start_server).collect();
    store.put("op/config", CONFIG);
    let controls: Vec<SocketAddr> = GATEWAYS.iter().map(|_| free_addr()).collect();
    let seeds = [controls[0], controls[3], controls[6]];
    let mut ways = Vec::new();
    let mut gateways = Vec::new();
    for ((name, zone), control) in GATEWAYS.iter().zip(&controls) {
        let (addr, way) = store.open_way();
        let place =
            GatewayPlace { name, zone: ZONES[*zone], store: addr, control: *control, seeds: &seeds };
        gateways.push(Gateway::start(&dir, &place));
        ways.push(way);
    }
    wait_until("all gateways are ready and know each other", Duration::from_secs(20), || {
        gateways.iter().all(|gateway| gateway.is_ready() && gateway.metric("view_members ") == Some(8))
    });
    thread::sleep(Duration::from_secs(3));

    // The machines that watch the store.
    let before: Vec<u64> = ways.iter().map(|way| way.watches.load(Ordering::SeqCst)).collect();
    thread::sleep(Duration::from_secs(3));
    let watching: Vec<usize> = (0..ways.len())
        .filter(|number| ways[*number].watches.load(Ordering::SeqCst) > before[*number])
        .collect();
    let names: Vec<&str> = watching.iter().map(|number| GATEWAYS[*number].0).collect();
    record.line(&format!("machines that watch the store: {names:?}"));
    if watching.is_empty() || watching.len() > 3 {
        eprintln!("could not run: {} machines watch the store", watching.len());
        return 2;
    }

    // Clients send only to machines that are never cut off.
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served, lost) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for number in (0..gateways.len()).filter(|number| !watching.contains(number)) {
        let addr = gateways[number].client;
        let (stop, record) = (stop.clone(), record.clone());
        let (sent, served, lost) = (sent.clone(), served.clone(), lost.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("{number:02x}{count:014x}");
                let (record, sent) = (record.clone(), sent.clone());
                let (served, lost) = (served.clone(), lost.clone());
                thread::spawn(move || {
                    let head = format!(
                        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\n\
                         Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\n"
                    );
                    sent.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("client sends {id} to {}", GATEWAYS[number].0));
                    let answer = request(addr, &head, b"book", Duration::from_secs(4));
                    let whole = if answer.complete { "whole" } else { "not whole" };
                    record.line(&format!("client has for {id}: {}, {whole}", answer.first));
                    match answer.status() == 200 && answer.complete {
                        true => served.fetch_add(1, Ordering::SeqCst),
                        false => lost.fetch_add(1, Ordering::SeqCst),
                    };
                });
                thread::sleep(EACH);
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));

    let mut late = 0;
    for round in 0..ROUNDS {
        if trouble {
            watching.iter().for_each(|number| ways[*number].cut.store(true, Ordering::SeqCst));
            record.line(&format!("round {round}: {names:?} are cut off from the store"));
        }
        let cut_at = Instant::now();
        thread::sleep(Duration::from_millis(100));
        // One server of each zone leaves; its entry is removed.
        let leaving: Vec<(Arc<Server>, Instant)> = (0..3)
            .map(|zone| {
                let index =
                    servers.iter().position(|server| server.zone == ZONES[zone]).expect("a server");
                let server = servers.remove(index);
                let acknowledged = store.remove(&server.key());
                record.line(&format!("the entry of {} is removed, acknowledged", server.id));
                (server, acknowledged)
            })
            .collect();
        thread::sleep(DRAIN + LONGER);
        for (server, acknowledged) in &leaving {
            server.exit();
            record.line(&format!("{} exits", server.id));
            for run in server.runs.lock().unwrap().iter() {
                let after = run.began.saturating_duration_since(*acknowledged);
                if after > DRAIN {
                    late += 1;
                    record.line(&format!(
                        "LATE: {} reached {} {} ms after the acknowledgement",
                        run.id,
                        server.id,
                        after.as_millis()
                    ));
                }
            }
        }
        thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        watching.iter().for_each(|number| ways[*number].cut.store(false, Ordering::SeqCst));
        for zone in 0..3 {
            servers.push(start_server(100 + 3 * round + zone));
        }
        // `contact_ms`, and some more.
        thread::sleep(Duration::from_secs(6));
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_secs(4));
    let all = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let summary = format!(
        "{} requests sent, {} served, {} not; {late} reached a server later than {} ms",
        all(&sent),
        all(&served),
        all(&lost),
        DRAIN.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    if all(&served) * 10 < all(&sent) * 8 {
        eprintln!("could not run: too few requests were served");
        return 2;
    }
    i32::from(late > 0)
}
