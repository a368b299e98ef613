//! Compares scheduling policies under a load peak, with real daemons and fake services on loopback.
//!
//! `cargo run --release --example crest -- --seed N` runs each policy on the same arrivals, whose
//! rate rises tenfold within seconds and whose turns have heavy-tailed lengths with stragglers.
//! There are three scenarios: one daemon crashes during the peak, no daemon crashes, and one engine
//! in ten is slowed down fivefold. The example prints a table, and writes JSON and a plot on
//! request.

mod arrivals;
mod drive;
mod plot;
mod report;

use anyhow::{Result, bail};
use gumdrop::Options;
use report::{Report, Scenario};
use sched::queue::Policy;
use std::path::PathBuf;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "seeds of the arrivals, separated by commas", default = "101", meta = "N,N")]
    seed: String,
    #[options(
        help = "policies, separated by commas",
        default = "program,fcfs,round_robin",
        no_short
    )]
    policy: String,
    #[options(help = "scenarios, separated by commas", default = "swing,calm,slowed", no_short)]
    scenario: String,
    #[options(help = "write the figures as JSON", meta = "FILE", no_short)]
    json: Option<PathBuf>,
    #[options(help = "write a plot of the program latencies as SVG", meta = "FILE", no_short)]
    svg: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let raw_args: Vec<String> = std::env::args().skip(1).collect();
    let args = Args::parse_args_default(&raw_args)?;
    if args.help {
        println!("{}", Args::usage());
        return Ok(());
    }
    let seeds: Vec<u64> = split(&args.seed).map(str::parse).collect::<Result<_, _>>()?;
    let policies: Vec<Policy> = split(&args.policy).map(parse_policy).collect::<Result<_>>()?;
    let scenarios: Vec<Scenario> =
        split(&args.scenario).map(parse_scenario).collect::<Result<_>>()?;
    let mut report = Report::default();
    for scenario in scenarios {
        for &seed in &seeds {
            for &policy in &policies {
                let run = drive::run(policy, scenario, seed).await?;
                println!("{}", run.summary());
                report.runs.push(run);
            }
        }
    }
    println!("\n{}", report.table());
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &args.svg {
        plot::write(&report, path)?;
    }
    Ok(())
}

fn split(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|name| !name.is_empty())
}

fn parse_policy(name: &str) -> Result<Policy> {
    match name {
        "program" => Ok(Policy::Program),
        "fcfs" => Ok(Policy::Fcfs),
        "round_robin" => Ok(Policy::RoundRobin),
        _ => bail!("unknown policy '{name}'; expected program, fcfs or round_robin"),
    }
}

fn parse_scenario(name: &str) -> Result<Scenario> {
    match name {
        "calm" => Ok(Scenario::Calm),
        "swing" => Ok(Scenario::Swing),
        "slowed" => Ok(Scenario::Slowed),
        _ => bail!("unknown scenario '{name}'; expected calm, swing or slowed"),
    }
}
