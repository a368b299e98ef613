//! Runs the fault soak test over many seeds.
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
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    first: u64,
    #[options(help = "number of seeds", default = "50")]
    count: u64,
    #[options(help = "number of concurrent runs", default = "2")]
    jobs: usize,
    #[options(help = "length of the period in which faults start, in seconds", default = "10")]
    span: u64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let binary = daemon_binary()?;
    let specs = (arguments.first..arguments.first + arguments.count).map(|seed| {
        let scenario = if seed % 4 == 0 { Scenario::Maintenance } else { Scenario::Faults };
        Spec {
            seed,
            scenario,
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
    let mut failed = 0;
    while let Some((spec, run)) = runs.next().await {
        let name = format!("seed {} {:?}", spec.seed, spec.scenario);
        match run {
            Ok(report) if report.violations.is_empty() => {
                println!("{name}: {} of {} requests served", report.served, report.requests);
            }
            Ok(report) => {
                failed += 1;
                print_violations(&name, &report);
            }
            Err(error) => {
                failed += 1;
                println!("{name}: run aborted: {error}");
            }
        }
    }
    println!("{failed} of {} seeds failed", arguments.count);
    if failed > 0 {
        bail!("some seeds failed; add them to tests/soak.rs");
    }
    Ok(())
}

/// Prints the first violations and all steps of a failed run.
fn print_violations(name: &str, report: &Report) {
    println!("{name}: {} violations", report.violations.len());
    report.violations.iter().take(5).for_each(|violation| println!("  {violation:?}"));
    report.steps.iter().for_each(|step| println!("  {step}"));
}

/// Returns the path of the daemon that was built with the same profile as this example.
fn daemon_binary() -> Result<PathBuf> {
    let executable =
        std::env::current_exe().context("failed to determine the path of this executable")?;
    let directory = executable
        .parent()
        .and_then(|examples| examples.parent())
        .context("the executable is not in a target directory")?;
    let binary = directory.join("catkinshed");
    if !binary.exists() {
        bail!("{} does not exist; run cargo build with the same profile first", binary.display());
    }
    Ok(binary)
}
