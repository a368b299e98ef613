//! Measures the costs of the request path and of the control state, for docs/MEASUREMENTS.md and
//! docs/CAPACITY.md.
//!
//! `cargo run --release --example path` prints the latency that daemons add to a direct call to the
//! same fake engine, key-value writes per request, the time of a takeover, memory per program, and
//! the CPU time of the control threads. Where a baseline exists, results are compared with one from
//! the same run.

use anyhow::Result;
use caller::api::Create;
use caller::client::Client;
use catkinshed::control::event::EventSender;
use catkinshed::daemon::Daemon;
use catkinshed::routes::Member;
use catkinshed::traffic::{segment, takeover};
use compact_str::{CompactString, format_compact};
use endpoint::engine::{self, CompletionRequest};
use futures::StreamExt;
use sched::call::{Call, Outcome, StopReason, Work};
use sched::log::State;
use sched::record::{Record, Spec};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use testing::cluster::{self, CREW_TOKEN, Cluster};
use testing::program::model;

const CALLS: usize = 300;
const HISTORY_TURNS: u32 = 6;
const HISTORY_TEXT: &str = "the east fields need two crews and a truck at half past four ";
/// Vocabulary of the generated texts.
const VOCABULARY: &str = "field crew truck dawn gate east west far near cane cutter ton hour \
    shift rain road plan loan book van stop route school week renew reserve fine return \
    reader town";
const PROMPT_WORDS: usize = 40;
const ANSWER_WORDS: usize = 90;
/// Time for which the control threads are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(6);

/// Daemons that run in this process, and the fakes that they use.
struct Deployment {
    cluster: Cluster,
    daemons: Vec<Daemon>,
    addrs: Vec<CompactString>,
}

impl Deployment {
    async fn start(daemons: usize, engines: usize) -> Result<Self> {
        let engine = fast_engine_spec();
        let spec = cluster::Spec { engines, engine, ..cluster::Spec::default() };
        let cluster = Cluster::start(spec).await;
        let mut deployment = Self { cluster, daemons: Vec::new(), addrs: Vec::new() };
        for number in 0..daemons {
            let settings = deployment.cluster.settings(number);
            deployment.addrs.push(format_compact!("{}", settings.http_addr));
            deployment.daemons.push(Daemon::start(settings).await?);
        }
        for daemon in &deployment.daemons {
            daemon.ready().await;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        Ok(deployment)
    }

    async fn create(&self, daemon_index: usize, key: &str) -> Result<CompactString> {
        let mut client = Client::new(&self.addrs[daemon_index..=daemon_index], CREW_TOKEN, 0);
        let create = Create {
            pool: "models".into(),
            account: "crew-tokens".into(),
            budget: 100_000,
            kind: "measure".into(),
            key: (!key.is_empty()).then(|| key.into()),
            ..Create::default()
        };
        Ok(client.create(&create).await?)
    }

    async fn stop(self) -> Result<()> {
        for daemon in self.daemons {
            daemon.stop().await?;
        }
        Ok(())
    }
}

fn fast_engine_spec() -> testing::engine::Spec {
    testing::engine::Spec {
        step_time: Duration::from_millis(1),
        slots: 64,
        doubling_batch: 1_000,
        memory: 1 << 20,
        ..testing::engine::Spec::default()
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    added_latency().await?;
    writes_by_request_rate().await?;
    takeover_time().await?;
    memory_per_program()?;
    control_cpu_time().await
}

/// Compares the latency of calls that generate one token: sent to the engine directly, to the
/// program's owner, and to a daemon that forwards them to the owner.
async fn added_latency() -> Result<()> {
    let deployment = Deployment::start(2, 1).await?;
    let direct = direct_calls(&deployment.cluster).await?;
    let local_program = deployment.create(0, "").await?;
    let local = calls_through(&deployment, &local_program, 0).await?;
    let forwarded_program = deployment.create(0, "").await?;
    let forwarded = calls_through(&deployment, &forwarded_program, 1).await?;
    println!("## added latency, {CALLS} calls of one token, ms");
    println!("| path | p50 | p99 | added p50 | added p99 |\n|---|---|---|---|---|");
    for (name, times) in [("direct", &direct), ("owner", &local), ("forwarded", &forwarded)] {
        let (p50, p99) = (quantile(times, 0.5), quantile(times, 0.99));
        let added = (p50 - quantile(&direct, 0.5), p99 - quantile(&direct, 0.99));
        println!("| {name} | {p50:.2} | {p99:.2} | {:.2} | {:.2} |", added.0, added.1);
    }
    deployment.stop().await
}

async fn direct_calls(cluster: &Cluster) -> Result<Vec<f64>> {
    let addr = cluster.engines[0].server.addr.to_string();
    let client = engine::Client::new(reqwest::Client::new(), &addr);
    let mut times = Vec::new();
    for number in 0..CALLS {
        let request = CompletionRequest {
            request_id: format_compact!("0-0:direct{number}"),
            prompt: "x [[len=1]]".to_owned(),
            max_tokens: 1,
            ..CompletionRequest::default()
        };
        let started = Instant::now();
        let events: Vec<_> = client.complete(&request).await?.collect().await;
        times.push(millis(started.elapsed()));
        anyhow::ensure!(!events.is_empty(), "the engine sent no event");
    }
    Ok(sort(times))
}

async fn calls_through(
    deployment: &Deployment,
    program: &str,
    daemon_index: usize,
) -> Result<Vec<f64>> {
    let mut client = Client::new(&deployment.addrs[daemon_index..=daemon_index], CREW_TOKEN, 0);
    let mut times = Vec::new();
    for seq in 1..=(CALLS.min(190) as u32) {
        let started = Instant::now();
        client.call(program, &model(seq, "x", 1, 1)).await?;
        times.push(millis(started.elapsed()));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    Ok(sort(times))
}

/// Counts key-value writes at several request rates.
async fn writes_by_request_rate() -> Result<()> {
    println!("\n## key-value writes against requests, 3 daemons");
    println!("| requests/s | writes/s | writes/request | KB/s written |\n|---|---|---|---|");
    let deployment = Deployment::start(3, 2).await?;
    for rate in [20, 80, 320] {
        let counters = &deployment.cluster.kv.counters;
        let before =
            (counters.writes.load(Ordering::Relaxed), counters.value_bytes.load(Ordering::Relaxed));
        let started = Instant::now();
        let calls = generate_load(&deployment, rate, Duration::from_secs(4)).await?;
        let seconds = started.elapsed().as_secs_f64();
        let writes = (counters.writes.load(Ordering::Relaxed) - before.0) as f64;
        let bytes = (counters.value_bytes.load(Ordering::Relaxed) - before.1) as f64;
        println!(
            "| {:.0} | {:.0} | {:.2} | {:.1} |",
            calls as f64 / seconds,
            writes / seconds,
            writes / calls as f64,
            bytes / seconds / 1e3
        );
    }
    deployment.stop().await
}

/// Runs programs that together make about `rate` calls a second, and returns the number of calls
/// made.
async fn generate_load(deployment: &Deployment, rate: u32, time: Duration) -> Result<usize> {
    let total = (f64::from(rate) * time.as_secs_f64()) as usize;
    let calls_per_program = 8;
    let programs = total / calls_per_program;
    let started = Instant::now();
    let tasks: Vec<_> = (0..programs)
        .map(|number| {
            let (addrs, start_time) =
                (deployment.addrs.clone(), started + time.mul_f64(number as f64 / programs as f64));
            let key = format_compact!("r{rate}-{number}");
            tokio::spawn(async move {
                tokio::time::sleep_until(start_time.into()).await;
                run_program(&addrs, number, key, calls_per_program as u32).await
            })
        })
        .collect();
    let mut calls = 0;
    for task in tasks {
        calls += task.await??;
    }
    Ok(calls)
}

async fn run_program(
    addrs: &[CompactString],
    number: usize,
    key: CompactString,
    calls: u32,
) -> Result<usize> {
    let mut client = Client::new(addrs, CREW_TOKEN, number);
    let create = Create {
        pool: "models".into(),
        account: "crew-tokens".into(),
        budget: 10_000,
        key: Some(key),
        ..Create::default()
    };
    let program = client.create(&create).await?;
    for seq in 1..=calls {
        client.call(&program, &model(seq, HISTORY_TEXT, 4, 50)).await?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    client.finish(&program).await?;
    Ok(calls as usize)
}

/// Measures how long the takeover of one log takes, by the number of programs in it.
async fn takeover_time() -> Result<()> {
    println!("\n## takeover of one log, {HISTORY_TURNS} turns a program");
    println!("| programs | segments' KB | takeover ms | us a program |\n|---|---|---|---|");
    for programs in [100, 400, 1_600] {
        let cluster =
            Cluster::start(cluster::Spec { engines: 0, services: 0, ..cluster::Spec::default() })
                .await;
        let kv = cluster.kv_client();
        let records = history_records(programs);
        let mut bytes = 0;
        for (number, part) in records.chunks(2_000).enumerate() {
            let nonce = number as u64 + 1;
            let value =
                segment::pack(&segment::Segment { epoch: 1, nonce, records: part.to_vec() })?;
            bytes += value.len();
            let key = catkinshed::traffic::keys::segment(0, number as u64 + 1);
            kv.create(&key, &value, None).await?;
        }
        let member = Member { vm: "measure".into(), incarnation: 1, ..Member::default() };
        let lease = kv.grant(Duration::from_secs(30)).await?;
        let (events, _receiver) = EventSender::channel();
        let started = Instant::now();
        let ownership = takeover::take_over(&kv, &events, 0, &member, lease).await?;
        let elapsed = started.elapsed();
        anyhow::ensure!(
            ownership.state.programs.len() == programs as usize,
            "the state after the takeover lacks programs"
        );
        println!(
            "| {programs} | {:.0} | {:.1} | {:.1} |",
            bytes as f64 / 1e3,
            millis(elapsed),
            elapsed.as_secs_f64() * 1e6 / programs as f64
        );
    }
    Ok(())
}

fn random_text(rng: &mut fastrand::Rng, count: usize) -> String {
    let vocabulary: Vec<&str> = VOCABULARY.split_whitespace().collect();
    let chosen = (0..count).map(|_| vocabulary[rng.usize(..vocabulary.len())]);
    chosen.collect::<Vec<_>>().join(" ")
}

/// Returns the records of this many programs, each with [`HISTORY_TURNS`] completed turns.
fn history_records(programs: u64) -> Vec<Record> {
    let mut rng = fastrand::Rng::with_seed(programs);
    let mut records = vec![Record::Takeover { epoch: 1, vm: "first".into() }];
    for number in 1..=programs {
        let program = sched::id::program(0, number);
        let spec = Spec {
            team: "crew".into(),
            account: "crew-tokens".into(),
            budget: 10_000,
            ..Spec::default()
        };
        records.push(Record::Create { program: program.clone(), spec });
        records.push(Record::Allow { program: program.clone(), allowance: 4_096 });
        for seq in 1..=HISTORY_TURNS {
            let id: CompactString = format_compact!("c{seq}");
            let prompt = random_text(&mut rng, PROMPT_WORDS);
            let text = random_text(&mut rng, ANSWER_WORDS);
            let work = Work::Model { prompt, max_tokens: 500 };
            let call = Call { id: id.clone(), seq, work };
            records.push(Record::Intent { program: program.clone(), call });
            let outcome = Outcome::Done { text, tokens: 100, stop: StopReason::End, run: 1 };
            records.push(Record::Outcome { program: program.clone(), call: id, outcome });
        }
    }
    records
}

/// Measures by how much idle programs increase the resident memory of this process, and their
/// compressed size.
fn memory_per_program() -> Result<()> {
    println!("\n## memory of idle programs, {HISTORY_TURNS} turns of about 700 bytes");
    println!("| programs | resident KB a program | packed bytes a program |\n|---|---|---|");
    // Keeps the states alive, so that no measurement reuses the memory of an earlier one.
    let mut states = Vec::new();
    for programs in [4_000, 8_000, 16_000] {
        let records = history_records(programs);
        let before = resident_bytes()?;
        let mut state = State::new(0);
        for record in &records {
            state.apply(record)?;
        }
        let growth = resident_bytes()?.saturating_sub(before);
        let packed = segment::pack(&state)?.len();
        states.push(state);
        println!(
            "| {programs} | {:.2} | {:.0} |",
            growth as f64 / 1e3 / programs as f64,
            packed as f64 / programs as f64
        );
    }
    anyhow::ensure!(states.len() == 3, "a state was dropped before the end of the measurement");
    Ok(())
}

fn resident_bytes() -> Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split(' ').nth(1).unwrap_or("0").parse()?;
    Ok(pages * 4_096)
}

/// Measures the CPU time of the control threads by the number of daemons, endpoints and idle
/// programs.
async fn control_cpu_time() -> Result<()> {
    println!("\n## control thread without calls");
    println!(
        "| daemons | engines | programs a daemon | percent of a core each |\n|---|---|---|---|"
    );
    for (daemons, engines, programs) in
        [(1, 4, 0), (3, 4, 0), (6, 4, 0), (3, 16, 0), (3, 48, 0), (3, 4, 300), (3, 4, 900)]
    {
        let deployment = Deployment::start(daemons, engines).await?;
        for number in 0..programs * daemons {
            deployment.create(number % daemons, "").await?;
        }
        let before = control_cpu_nanos()?;
        tokio::time::sleep(IDLE_PERIOD).await;
        let spent = control_cpu_nanos()? - before;
        let percent = spent as f64 / IDLE_PERIOD.as_nanos() as f64 * 100.0 / daemons as f64;
        println!("| {daemons} | {engines} | {programs} | {percent:.3} |");
        deployment.stop().await?;
    }
    Ok(())
}

/// Returns the CPU time of all threads named `control`, in nanoseconds.
fn control_cpu_nanos() -> Result<u64> {
    let mut total = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim() == "control" {
            let stat = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
            total += stat.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        }
    }
    Ok(total)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Sorts times in ascending order.
fn sort(mut times: Vec<f64>) -> Vec<f64> {
    times.sort_by(f64::total_cmp);
    times
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let index = (sorted.len() as f64 * q) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}
