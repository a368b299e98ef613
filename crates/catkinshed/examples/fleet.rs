//! Runs campaigns of changes and disruptions against a fleet of gateways, over many seeds.
//!
//! `cargo build --release && cargo run --release --example fleet -- --first 1 --count 10`

use anyhow::{Context, Result, bail};
use gumdrop::Options;
use std::time::Duration;
use testing::fleet::campaign::{self, Spec};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    first: u64,
    #[options(help = "number of seeds", default = "10")]
    count: u64,
    #[options(help = "number of daemons", default = "58")]
    daemons: usize,
    #[options(help = "time in which disruptions begin, in seconds", default = "30")]
    span: u64,
    #[options(help = "binary of the daemons, instead of the one of this build")]
    binary: Option<String>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let binary = match arguments.binary {
        Some(binary) => binary,
        None => built_binary()?,
    };
    let mut failed = 0;
    for seed in arguments.first..arguments.first + arguments.count {
        let duration = Duration::from_secs(arguments.span);
        let spec = Spec { seed, daemons: arguments.daemons, duration };
        let report = campaign::run(&binary, &spec).await;
        println!("seed {seed}: {} late of {} requests", report.late.len(), report.asked);
        if !report.late.is_empty() {
            failed += 1;
            report.log.iter().for_each(|step| println!("  {step}"));
            report.late.iter().take(20).for_each(|late| println!("  {late:?}"));
        }
    }
    match failed {
        0 => Ok(()),
        failed => bail!("{failed} of {} campaigns found late daemons", arguments.count),
    }
}

fn built_binary() -> Result<String> {
    let example = std::env::current_exe().context("failed to find this executable")?;
    let directory = example.parent().and_then(std::path::Path::parent);
    let binary = directory.context("the executable has no directory")?.join("catkinshed");
    if !binary.exists() {
        bail!("{} does not exist; run cargo build with the same profile first", binary.display());
    }
    Ok(binary.to_string_lossy().into_owned())
}
