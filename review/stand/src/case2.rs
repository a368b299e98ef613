//! Gateways follow the booking of a coordinator that has just woken, against their own knowledge.

use crate::common::{Deployment, Record, ZONES, config, request};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testing::script::{Behaviour, Endpoint};
use tokio::time::sleep;

const GATEWAYS: usize = 8;
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const FREEZE: Duration = Duration::from_millis(1_900);
/// From the start of a freeze to the removal of the entry of an engine that leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(100);
/// From the end of a freeze to the start of the next one.
const PAUSE: Duration = Duration::from_millis(4_000);
/// Time between two requests to one gateway.
const REQUEST_EVERY: Duration = Duration::from_millis(25);

async fn start_engine(number: usize) -> Endpoint {
    let work = Behaviour::RespondAfter(Duration::from_millis(80));
    Endpoint::start(&format!("i-{number}"), work).await
}

pub async fn run(record: Arc<Record>, trouble: bool) -> bool {
    let mut deployment = Deployment::new("2").await;
    // Engines in use, by zone; the last one of a zone leaves next.
    let mut zones: Vec<Vec<Endpoint>> = vec![Vec::new(); ZONES.len()];
    for number in 0..15 {
        let engine = start_engine(number).await;
        deployment.register(&engine, "rota-app", ZONES[number % 3], 6, "ready").await;
        zones[number % 3].push(engine);
    }
    let spare = start_engine(100).await;
    deployment.register(&spare, "agent-llm", ZONES[0], 16, "ready").await;
    deployment.put("op/config", &config()).await;
    deployment.start_gateways(GATEWAYS).await;
    record.line("8 gateways are ready");

    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = deployment.gateways.iter().enumerate().map(|(number, gateway)| {
        let (addr, ended, record) = (gateway.client_addr, ended.clone(), record.clone());
        let name = gateway.name.clone();
        tokio::spawn(async move {
            let mut sent = 0;
            let mut pending = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                sent += 1;
                let (id, record, name) = (format!("{number}-{sent}"), record.clone(), name.clone());
                pending.push(tokio::spawn(async move {
                    let headers = ["Deadline-Ms: 1500".to_owned()];
                    let answer = request(addr, "GET", "/look/1", &id, &headers).await;
                    record.line(&format!("request {id} through {name}: status {}", answer.status));
                }));
                sleep(REQUEST_EVERY).await;
            }
            for request in pending {
                let _ = request.await;
            }
        })
    }).collect();
    sleep(Duration::from_secs(1)).await;

    // When each gateway stood still.
    let mut frozen: Vec<(Instant, Instant)> = Vec::new();
    // Engines that left, and when the store had acknowledged it.
    let mut left: Vec<(Endpoint, Instant)> = Vec::new();
    for number in 0..GATEWAYS {
        let gateway = &deployment.gateways[number];
        let began = Instant::now();
        if trouble {
            gateway.process.pause();
            record.line(&format!("{} freezes", gateway.name));
        }
        sleep(LEAVES_AFTER).await;
        let zone = number % ZONES.len();
        let engine = zones[zone].remove(0);
        deployment.remove(&format!("servers/{}", engine.id)).await;
        record.line(&format!("{} leaves: its entry is removed, acknowledged by the store", engine.id));
        left.push((engine, Instant::now()));
        sleep((began + FREEZE).saturating_duration_since(Instant::now())).await;
        if trouble {
            gateway.process.resume();
            record.line(&format!("{} wakes", gateway.name));
        }
        frozen.push((began, Instant::now()));
        sleep(PAUSE).await;
        // An empty engine takes its place.
        let engine = start_engine(20 + number).await;
        deployment.register(&engine, "rota-app", ZONES[zone], 6, "ready").await;
        zones[zone].push(engine);
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }

    let mut late = 0;
    let mut served: HashMap<usize, usize> = HashMap::new();
    for (engine, acknowledged) in &left {
        for run in engine.runs() {
            let sender: usize = run.id.split('-').next().unwrap().parse().unwrap();
            *served.entry(sender).or_default() += 1;
            let (began, woke) = frozen[sender];
            let in_touch = !trouble || run.started < began || run.started > woke + CONTACT;
            let after = run.started.saturating_duration_since(*acknowledged);
            record.line(&format!(
                "engine {} ran {} from {}, {} ms after the acknowledgement",
                engine.id, run.id, deployment.gateways[sender].name, after.as_millis()
            ));
            if after > DRAIN && in_touch {
                late += 1;
                record.line(&format!(
                    "DRAIN broken: request {} from {}, which is in touch, reached {} {} ms after the \
                     store had acknowledged that it is gone",
                    run.id, deployment.gateways[sender].name, engine.id, after.as_millis()
                ));
            }
        }
    }
    record.line(&format!("{late} requests reached an engine later than {} ms", DRAIN.as_millis()));
    assert!(served.len() >= GATEWAYS / 2, "too few gateways sent requests");
    late > 0
}
