//! Policies under a swing of demand, over real daemons and stand-ins on loopback.
//!
//! `cargo run --release --example crest -- --seed N` runs each policy on the same arrivals: a
//! swing of tenfold in seconds, heavy-tailed lengths with stragglers, and one daemon lost at the
//! crest; then the same without a loss, and with one engine in ten slowed fivefold. It prints a table and, where asked,
//! writes JSON and a plot.

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
    #[options(help = "seeds of the arrivals, with commas between", default = "101", meta = "N,N")]
    seed: String,
    #[options(
        help = "policies, with commas between",
        default = "program,fcfs,round_robin",
        no_short
    )]
    policy: String,
    #[options(help = "scenarios, with commas between", default = "swing,calm,slowed", no_short)]
    scenario: String,
    #[options(help = "write the figures as JSON", meta = "FILE", no_short)]
    json: Option<PathBuf>,
    #[options(help = "write a plot of the program latencies as SVG", meta = "FILE", no_short)]
    svg: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let words: Vec<String> = std::env::args().skip(1).collect();
    let args = Args::parse_args_default(&words)?;
    if args.help {
        println!("{}", Args::usage());
        return Ok(());
    }
    let seeds: Vec<u64> = split(&args.seed).map(str::parse).collect::<Result<_, _>>()?;
    let policies: Vec<Policy> = split(&args.policy).map(policy).collect::<Result<_>>()?;
    let scenarios: Vec<Scenario> = split(&args.scenario).map(scenario).collect::<Result<_>>()?;
    let mut report = Report::default();
    for scenario in scenarios {
        for &seed in &seeds {
            for &policy in &policies {
                let run = drive::run(policy, scenario, seed).await?;
                println!("{}", run.line());
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
    text.split(',').map(str::trim).filter(|word| !word.is_empty())
}

fn policy(word: &str) -> Result<Policy> {
    match word {
        "program" => Ok(Policy::Program),
        "fcfs" => Ok(Policy::Fcfs),
        "round_robin" => Ok(Policy::RoundRobin),
        _ => bail!("no policy '{word}'; there are program, fcfs and round_robin"),
    }
}

fn scenario(word: &str) -> Result<Scenario> {
    match word {
        "calm" => Ok(Scenario::Calm),
        "swing" => Ok(Scenario::Swing),
        "slowed" => Ok(Scenario::Slowed),
        _ => bail!("no scenario '{word}'; there are calm, swing and slowed"),
    }
}
