//! Runs the fault soak over many seeds.
//!
//! `cargo build --release && cargo run --release --example soak -- --first 1 --count 50 --jobs 3`

use anyhow::{Context, Result, bail};
use futures::StreamExt;
use gumdrop::Options;
use std::path::PathBuf;
use std::time::Duration;
use testing::soak::{self, Report, Scenario, Spec};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    first: u64,
    #[options(help = "number of seeds", default = "50")]
    count: u64,
    #[options(help = "runs at the same time", default = "2")]
    jobs: usize,
    #[options(help = "time during which faults begin, in seconds", default = "10")]
    span: u64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let binary = binary()?;
    let specs = (arguments.first..arguments.first + arguments.count).map(|seed| {
        let mix = if seed % 4 == 0 { Scenario::Maintenance } else { Scenario::Faults };
        Spec {
            seed,
            scenario: mix,
            span: Duration::from_secs(arguments.span),
            check_deadlines: true,
            ..Spec::default()
        }
    });
    let runs = specs.map(|spec| {
        let binary = binary.clone();
        async move {
            let run = tokio::spawn({
                let spec = spec.clone();
                async move { soak::run(&binary.to_string_lossy(), &spec).await }
            });
            (spec, run.await)
        }
    });
    let mut runs = futures::stream::iter(runs).buffer_unordered(arguments.jobs.max(1));
    let mut broken = 0;
    while let Some((spec, run)) = runs.next().await {
        let name = format!("seed {} {:?}", spec.seed, spec.scenario);
        match run {
            Ok(report) if report.violations.is_empty() => {
                println!("{name}: {} of {} requests served", report.served, report.requests);
            }
            Ok(report) => {
                broken += 1;
                show(&name, &report);
            }
            Err(error) => {
                broken += 1;
                println!("{name}: ended early: {error}");
            }
        }
    }
    println!("{broken} of {} seeds broke a promise", arguments.count);
    if broken > 0 {
        bail!("promises are broken; add the seeds to tests/soak.rs");
    }
    Ok(())
}

fn show(name: &str, report: &Report) {
    println!("{name}: {} broken", report.violations.len());
    report.violations.iter().take(5).for_each(|found| println!("  {found:?}"));
    report.steps.iter().for_each(|step| println!("  {step}"));
}

/// The daemon that was built beside this example.
fn binary() -> Result<PathBuf> {
    let own = std::env::current_exe().context("the path of this program")?;
    let folder = own.parent().and_then(|examples| examples.parent()).context("its folder")?;
    let binary = folder.join("catkinshed");
    if !binary.exists() {
        bail!("{} is missing; run cargo build with the same profile first", binary.display());
    }
    Ok(binary)
}
