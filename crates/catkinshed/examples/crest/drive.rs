//! Runs one policy on the arrivals of one seed.

use crate::arrivals::{self, BEFORE_PEAK, Program};
use crate::report::{Run, Sample, Scenario};
use anyhow::{Context, Result};
use caller::api::{Call, Create};
use caller::client::Client;
use catkinshed::daemon::Daemon;
use catkinshed::settings::{Limits, Settings};
use compact_str::{CompactString, format_compact};
use sched::call::Work;
use sched::queue::Policy;
use std::time::{Duration, Instant};
use testing::cluster::{Cluster, Spec};
use testing::engine;
use testing::load::token;
use tokio::runtime::{Builder, Runtime};

const DAEMONS: usize = 5;
const ENGINES: usize = 10;
/// Factor by which the slow engine of [`Scenario::Slowed`] is slower than the others.
const SLOWDOWN: f64 = 5.0;
/// Time from the start of the peak to the crash of a daemon in [`Scenario::Swing`].
const CRASH_DELAY: Duration = Duration::from_secs(2);
/// Text of one prompt token.
const TOKEN_TEXT: &str = "abc ";

fn cluster_spec(policy: Policy) -> Spec {
    Spec {
        engines: ENGINES,
        services: 0,
        policy,
        logs: 10,
        engine: engine::Spec {
            slots: 8,
            memory: 4_096,
            step_time: Duration::from_millis(8),
            doubling_batch: 8,
            prefill_per_token: Duration::from_micros(150),
            checks_epoch: false,
        },
        limits: Limits { lease_ttl_ms: 2_000, ..Limits::default() },
        ..Spec::default()
    }
}

/// A daemon on its own runtime, so that a crash also ends all its tasks and closes its sockets.
struct Instance {
    runtime: Runtime,
    daemon: Daemon,
}

impl Instance {
    async fn start(settings: Settings) -> Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let daemon = runtime.spawn(Daemon::start(settings)).await??;
        daemon.ready().await;
        Ok(Self { runtime, daemon })
    }

    fn crash(self) {
        self.daemon.crash();
        self.runtime.shutdown_background();
    }

    async fn stop(self) -> Result<()> {
        let stopped = self.runtime.spawn(self.daemon.stop()).await?;
        self.runtime.shutdown_background();
        stopped
    }
}

/// Runs a policy on the arrivals of a seed, and returns the figures of the run.
pub async fn run(policy: Policy, scenario: Scenario, seed: u64) -> Result<Run> {
    let cluster = Cluster::start(cluster_spec(policy)).await;
    let mut daemons = Vec::new();
    let mut addrs = Vec::new();
    for number in 0..DAEMONS {
        let settings = cluster.settings(number);
        addrs.push(format_compact!("{}", settings.http_addr));
        daemons.push(Instance::start(settings).await?);
    }
    warm_up(&addrs).await?;
    if scenario == Scenario::Slowed {
        cluster.faults.update_endpoint("engine-3", |faults| faults.slowdown = SLOWDOWN);
    }
    let started = Instant::now();
    let programs = arrivals::generate(seed).into_iter().enumerate().map(|(number, program)| {
        let addrs = addrs.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until((started + program.arrival).into()).await;
            run_program(&addrs, number, &program).await
        })
    });
    let programs: Vec<_> = programs.collect();
    if scenario == Scenario::Swing {
        tokio::time::sleep_until((started + BEFORE_PEAK + CRASH_DELAY).into()).await;
        if let Some(daemon) = daemons.pop() {
            daemon.crash();
        }
    }
    let mut samples = Vec::new();
    for program in programs {
        samples.push(program.await.context("the task of a program panicked")?);
    }
    cluster.engines.iter().for_each(engine::Engine::count_unused_cache);
    let stats = cluster.engine_stats.lock().expect("the engine statistics are poisoned").clone();
    for daemon in daemons {
        daemon.stop().await?;
    }
    Ok(Run::new(policy, scenario, seed, samples, &stats))
}

/// Waits until a program can be created through every daemon.
async fn warm_up(addrs: &[CompactString]) -> Result<()> {
    for (number, _) in addrs.iter().enumerate() {
        let mut client = Client::new(addrs, token(0), number);
        let program =
            client.create(&create_request(0, "warm-up", format_compact!("w{number}"))).await?;
        client.cancel(&program).await?;
    }
    Ok(())
}

fn create_request(team: usize, kind: &str, key: CompactString) -> Create {
    Create {
        pool: "models".into(),
        account: ["crew-tokens", "vans-tokens"][team].into(),
        budget: 20_000,
        kind: kind.into(),
        key: Some(key),
        ..Create::default()
    }
}

/// Runs one program to its end, or to the first call that fails.
async fn run_program(addrs: &[CompactString], number: usize, program: &Program) -> Sample {
    let mut client = Client::new(addrs, token(program.team), number);
    let mut sample = Sample::new(program);
    let started = Instant::now();
    let key = format_compact!("p{number}");
    let Ok(id) = client.create(&create_request(program.team, program.kind.name(), key)).await
    else {
        return sample;
    };
    let mut receipts = Vec::new();
    for (index, turn) in program.turns.iter().enumerate() {
        let text = if index == 0 { TOKEN_TEXT.repeat(program.prompt) } else { String::new() };
        let call = Call {
            call: format_compact!("c{index}"),
            seq: index as u32 + 1,
            work: Work::Model {
                prompt: format!("{text}[[len={}]]", turn.length),
                max_tokens: turn.max_tokens,
            },
            within_ms: Some(120_000),
            receipts: std::mem::take(&mut receipts),
        };
        // Sends each turn through another daemon, as a load balancer would.
        let mut client = Client::new(addrs, token(program.team), number + index);
        match client.call(&id, &call).await {
            Ok(answer) => {
                receipts.extend(answer.end.receipt.clone());
                sample.add_turn(&answer);
            }
            Err(_) => return sample,
        }
        tokio::time::sleep(turn.pause).await;
    }
    sample.finish(started.elapsed());
    // If this request fails, the program ends after its idle timeout.
    let _ = client.finish(&id).await;
    sample
}
