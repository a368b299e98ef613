//! A stopped program that returns within its retention gets a share of its budget a second time.

use crate::common::{Deployment, Record, ZONES, config, request};
use std::time::{Duration, Instant};
use testing::gateway_harness::streaming;
use testing::script::Endpoint;
use tokio::time::{sleep, sleep_until};

const PROGRAMS: usize = 40;
const BUDGET: u64 = 2_320;
/// Most tokens of one turn: 29 events of 10 tokens.
const MOST: u64 = 290;
const FREEZE: Duration = Duration::from_millis(4_000);
const RETURN_AFTER: Duration = Duration::from_millis(59_500);

struct Program {
    id: String,
    tokens: u64,
    turns: u64,
    stopped: Option<Instant>,
}

/// Sends one turn and returns whether it was served.
async fn turn(record: &Record, deployment: &Deployment, through: usize, program: &mut Program) -> u16 {
    let gateway = &deployment.gateways[through];
    program.turns += 1;
    let id = format!("{}-{}", program.id, program.turns);
    let headers = [
        format!("Program-Id: {}", program.id),
        format!("Session-Id: s{}", program.id),
        "Program-Deadline-Ms: 20000".to_owned(),
        format!("Token-Budget: {BUDGET}"),
        format!("Token-Usage: 300,{MOST}"),
        "Model: m".to_owned(),
        format!("Prompt-Prefix: 5c1e07a2:200,{:x}:100", program.turns),
        "Deadline-Ms: 4000".to_owned(),
    ];
    let answer = request(gateway.client_addr, "POST", "/chat/turn", &id, &headers).await;
    let tokens = answer.events() * 10;
    program.tokens += tokens;
    record.line(&format!(
        "request {id} through {}: status {}, {tokens} tokens, {} in all",
        gateway.name, answer.status, program.tokens
    ));
    answer.status
}

/// Sends turns until one is refused with 402, at most until `until`.
async fn turns_until_stopped(
    record: &Record,
    deployment: &Deployment,
    through: usize,
    program: &mut Program,
    until: Instant,
) {
    while Instant::now() < until {
        match turn(record, deployment, through, program).await {
            402 => {
                program.stopped = Some(Instant::now());
                return;
            }
            200 => {}
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
}

pub async fn run(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::new("1").await;
    let mut engines = Vec::new();
    for number in 0..9 {
        let engine =
            Endpoint::start(&format!("i-{number}"), streaming(29, Duration::from_millis(10))).await;
        deployment.register(&engine, "agent-llm", ZONES[number % 3], 16, "ready").await;
        engines.push(engine);
    }
    deployment.put("op/config", &config()).await;
    deployment.start_gateways(8).await;
    record.line("8 gateways are ready");
    let deployment = &deployment;

    // Each program begins through gateway 1: three turns.
    let begin = (0..PROGRAMS).map(|number| async move {
        let mut program =
            Program { id: format!("3fa8{number:02}"), tokens: 0, turns: 0, stopped: None };
        for _ in 0..3 {
            turn(record, deployment, 1, &mut program).await;
        }
        program
    });
    let programs = join_all(begin).await;

    // Gateway 0 stands still, while the programs go on through gateway 1 until they are stopped.
    let frozen_at = Instant::now();
    if trouble {
        deployment.gateways[0].process.pause();
        record.line(&format!("{} freezes", deployment.gateways[0].name));
    }
    let thaw = async {
        sleep_until((frozen_at + FREEZE).into()).await;
        if trouble {
            deployment.gateways[0].process.resume();
            record.line(&format!("{} wakes", deployment.gateways[0].name));
        }
    };
    let go_on = join_all(programs.into_iter().map(|mut program| async move {
        let until = frozen_at + FREEZE - Duration::from_millis(500);
        turns_until_stopped(record, deployment, 1, &mut program, until).await;
        program
    }));
    let (programs, ()) = tokio::join!(go_on, thaw);

    // The programs return through gateway 2, within the retention of 60 s.
    let programs = join_all(programs.into_iter().map(|mut program| async move {
        let Some(stopped) = program.stopped else {
            return program;
        };
        sleep_until((stopped + RETURN_AFTER).into()).await;
        let until = Instant::now() + Duration::from_secs(8);
        turns_until_stopped(record, deployment, 2, &mut program, until).await;
        program
    }))
    .await;

    let stopped = programs.iter().filter(|program| program.stopped.is_some()).count();
    assert!(stopped >= PROGRAMS / 2, "only {stopped} programs were stopped");
    let over: Vec<_> =
        programs.iter().filter(|program| program.tokens > BUDGET + MOST).collect();
    for program in &over {
        record.line(&format!(
            "BUDGET broken: program {} was handed {} tokens; its budget is {BUDGET}, one turn {MOST}",
            program.id, program.tokens
        ));
    }
    record.line(&format!("{} of {} programs over their budget", over.len(), programs.len()));
    for engine in &engines {
        for run in engine.runs() {
            record.line(&format!("engine {} ran {}", engine.id, run.id));
        }
    }
    !over.is_empty()
}

async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    let mut done: Vec<Option<T>> = pending.iter().map(|_| None).collect();
    std::future::poll_fn(move |context| {
        let mut waiting = false;
        for (slot, future) in done.iter_mut().zip(&mut pending) {
            if slot.is_none() {
                match future.as_mut().poll(context) {
                    std::task::Poll::Ready(value) => *slot = Some(value),
                    std::task::Poll::Pending => waiting = true,
                }
            }
        }
        match waiting {
            true => std::task::Poll::Pending,
            false => std::task::Poll::Ready(done.iter_mut().map(|slot| slot.take().unwrap()).collect()),
        }
    })
    .await
}
