//! Options and exit codes.

use crate::ops;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for a failure while running.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print the version and exit", short = "V")]
    version: bool,
    #[options(help = "check the settings, print them as they are in force, and exit", no_short)]
    check: bool,
    #[options(help = "settings file, in JSON with comments", meta = "FILE")]
    settings: Option<PathBuf>,
}

/// Runs the command line and returns the exit code.
///
/// 0 means done or stopped in order, 1 a failure while running, and 2 a wrong command line or
/// wrong settings.
pub fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let words: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&words) {
        Ok(args) => args,
        Err(error) => return usage(&error.to_string()),
    };
    if args.help {
        println!("Usage: catkinshed --settings FILE [--check]\n\n{}", Args::usage());
        return ExitCode::SUCCESS;
    }
    if args.version {
        println!("catkinshed {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        return usage("no settings file given");
    };
    let settings = match ops::check::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    let result = match args.check {
        true => ops::check::check(&settings),
        false => ops::run::run(settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, EXIT_FAILURE),
    }
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("error: {problem}\n\nUsage: catkinshed --settings FILE [--check]\n");
    eprintln!("For all options, try 'catkinshed --help'.");
    ExitCode::from(EXIT_USAGE)
}

fn fail(error: &anyhow::Error, code: u8) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::from(code)
}
