//! Runs the whole system on loopback: three daemons, and fakes of everything they depend on.
//!
//! An agent program makes its calls through a daemon that does not own it: a model turn, a pause
//! for a tool, a sub-agent, and a booking that must run at most once. The example prints the answer
//! to the repeated booking, the number of bookings made, and how long each step took. With
//! `--serve` the system keeps running.

use anyhow::{Context, Result, ensure};
use caller::api::{Call, Create};
use caller::client::{Answer, Client};
use catkinshed::daemon::Daemon;
use compact_str::{CompactString, format_compact};
use std::time::{Duration, Instant};
use testing::cluster::{CREW_TOKEN, Cluster, OPERATOR_TOKEN, Spec};
use testing::program::{model, service};

const DAEMONS: usize = 3;
const TOOL_PAUSE: Duration = Duration::from_millis(60);
/// Maximum time to retry the creation of the program while the daemons take over their logs.
const CREATE_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let serve = std::env::args().any(|arg| arg == "--serve");
    let cluster = Cluster::start(Spec::default()).await;
    let mut daemons = Vec::new();
    let mut addrs = Vec::new();
    for number in 0..DAEMONS {
        let settings = cluster.settings(number);
        addrs.push(format_compact!("{}", settings.http_addr));
        daemons.push(Daemon::start(settings).await?);
    }
    for daemon in &daemons {
        daemon.ready().await;
    }
    let started = Instant::now();
    run_program(&cluster, &addrs).await?;
    println!("finished in {:.1} s", started.elapsed().as_secs_f64());
    if serve {
        print_usage(&addrs);
        tokio::signal::ctrl_c().await?;
    }
    for daemon in daemons {
        daemon.stop().await?;
    }
    Ok(())
}

async fn run_program(cluster: &Cluster, addrs: &[CompactString]) -> Result<()> {
    let mut create_client = Client::new(&addrs[..1], CREW_TOKEN, 0);
    let mut call_client = Client::new(addrs, CREW_TOKEN, 1);
    let create = Create {
        pool: "models".into(),
        account: "crew-tokens".into(),
        budget: 5_000,
        kind: "crew-plan".into(),
        key: Some("plan-1".into()),
        ..Create::default()
    };
    let create_started = Instant::now();
    let program = loop {
        match create_client.create(&create).await {
            Ok(program) => break program,
            Err(error) if create_started.elapsed() > CREATE_TIMEOUT => return Err(error.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    let program_started = Instant::now();
    let mut steps = Vec::new();
    let plan = model(1, "Draft the cutting crews for the east fields.", 60, 2_000);
    steps.push(timed_call("model turn", &mut call_client, &program, &plan).await?);
    let pause_started = Instant::now();
    tokio::time::sleep(TOOL_PAUSE).await;
    steps.push(Step { name: "tool pause", duration: pause_started.elapsed(), answer: None });
    let parent = Some(program.clone());
    let child = Create { parent, budget: 1_000, key: Some("plan-1-a".into()), ..create };
    let child = call_client.create(&child).await?;
    let check = model(1, "Check the trucks of the east fields.", 30, 500);
    steps.push(timed_call("sub-agent", &mut call_client, &child, &check).await?);
    call_client.finish(&child).await?;
    let booking = service(2, "booking", "book-truck", "truck 7 at 04:30", false);
    steps.push(timed_call("booking", &mut call_client, &program, &booking).await?);
    let repeated = call_client.call(&program, &booking).await?;
    call_client.finish(&program).await?;
    let total = program_started.elapsed();
    print_timings(&steps, total);
    let bookings = cluster.effects().len();
    println!("answer to the repeated booking: {}", repeated.text);
    println!("bookings made by the service: {bookings}");
    ensure!(bookings == 1, "the booking ran {bookings} times instead of once");
    Ok(())
}

struct Step {
    name: &'static str,
    duration: Duration,
    answer: Option<Answer>,
}

/// Makes a call and measures how long it takes.
async fn timed_call(
    name: &'static str,
    client: &mut Client,
    program: &str,
    call: &Call,
) -> Result<Step> {
    let answer = client.call(program, call).await.with_context(|| format!("{name} failed"))?;
    Ok(Step { name, duration: answer.total_time, answer: Some(answer) })
}

fn print_timings(steps: &[Step], total: Duration) {
    println!("{:<12} {:>9} {:>9} {:>9}  answer", "step", "total ms", "first ms", "queue ms");
    for step in steps {
        let (first, queued, text) = match &step.answer {
            Some(answer) => {
                (millis(answer.time_to_first_text), answer.end.queued_ms, shorten(&answer.text))
            }
            None => (0.0, 0.0, String::new()),
        };
        let duration = millis(step.duration);
        println!("{:<12} {duration:>9.1} {first:>9.1} {queued:>9.1}  {text}", step.name);
    }
    let in_steps: Duration = steps.iter().map(|step| step.duration).sum();
    println!("{:<12} {:>9.1}", "between", millis(total.saturating_sub(in_steps)));
    println!("{:<12} {:>9.1}", "program", millis(total));
}

fn shorten(text: &str) -> String {
    text.chars().take(40).collect()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn print_usage(addrs: &[CompactString]) {
    println!("\nEntry VMs: {}", addrs.join(", "));
    println!(
        "Operators:\n  cargo run --release -p catkinctl -- --daemon {} --token {OPERATOR_TOKEN} \\\n    'show programs'",
        addrs[0]
    );
    println!("Callers:");
    let body = r#"{"pool":"models","account":"crew-tokens","budget":500,"kind":"try"}"#;
    let auth = format!("Authorization: Bearer {CREW_TOKEN}");
    println!("  curl -s -H '{auth}' http://{}/v1/programs -d \\\n    '{body}'", addrs[0]);
    println!("Press Ctrl-C to stop.");
}
