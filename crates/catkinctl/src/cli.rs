//! Command-line options and exit codes.

use crate::daemon::Client;
use crate::ops;
use anyhow::{Context, Result, bail};
use gumdrop::Options;
use sched::review::Severity;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code of a command that failed.
const EXIT_FAILURE: u8 = 1;
/// Exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Environment variable with the token, used if `--token` is not given.
const TOKEN_VARIABLE: &str = "CATKINCTL_TOKEN";

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print the version and exit", short = "V")]
    version: bool,
    #[options(help = "IP address and port of any daemon", meta = "ADDR")]
    daemon: Option<String>,
    #[options(
        help = "authentication token; by default from CATKINCTL_TOKEN",
        meta = "TOKEN",
        no_short
    )]
    token: Option<String>,
    #[options(help = "print responses as JSON")]
    json: bool,
    #[options(
        help = "run a program of one model turn, with a caller's token, and print the answer",
        meta = "PROMPT",
        no_short
    )]
    submit: Option<String>,
    #[options(help = "pool of the submitted program", meta = "POOL", default = "models")]
    pool: String,
    #[options(help = "budget account of the submitted program", meta = "BUDGET")]
    account: Option<String>,
    #[options(
        help = "with 'config check FILE': configuration in force to compare with",
        meta = "FILE",
        no_short
    )]
    against: Option<PathBuf>,
    #[options(help = "with 'config check FILE': warnings fail the check", no_short)]
    strict: bool,
    #[options(free, help = "command to run; by default, commands are read line by line")]
    command: Vec<String>,
}

/// Runs the command line and returns the exit code.
///
/// The exit code is 0 on success, 1 if a command failed, and 2 if the command line is invalid.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&arguments) {
        Ok(args) => args,
        Err(error) => return usage_error(&error.to_string()),
    };
    if args.help {
        println!("Usage: catkinctl --daemon ADDR [OPTIONS] [COMMAND]");
        println!("       catkinctl [--against FILE] [--strict] [--json] config check FILE\n");
        println!("{}", Args::usage());
        println!("\nWithout a command, commands are read from a prompt or from standard input.");
        return ExitCode::SUCCESS;
    }
    if args.version {
        println!("catkinctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let [first, second, file] = args.command.as_slice()
        && (first.as_str(), second.as_str()) == ("config", "check")
    {
        return check_config(Path::new(file), &args);
    }
    if args.daemon.is_none() {
        return usage_error("missing option --daemon");
    }
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Checks a configuration without a daemon; the exit code is 0 if it is sound, 1 if it has warnings
/// and `--strict` is given, and 2 if it has errors or cannot be read.
fn check_config(file: &Path, args: &Args) -> ExitCode {
    match ops::config_check::run(file, args.against.as_deref(), args.json) {
        Ok(Some(Severity::Error)) => ExitCode::from(EXIT_USAGE),
        Ok(Some(Severity::Warning)) if args.strict => ExitCode::from(EXIT_FAILURE),
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(args: Args) -> Result<()> {
    let token = args.token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    let token =
        token.with_context(|| format!("missing token; use --token or set {TOKEN_VARIABLE}"))?;
    let addr = args.daemon.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    if let Some(prompt) = args.submit {
        let Some(account) = args.account else {
            bail!("--submit requires --account; 'show budgets' lists the accounts");
        };
        return runtime.block_on(ops::submit::run(&addr, &token, &args.pool, &account, &prompt));
    }
    let client = Client::new(&addr, &token, args.json);
    if !args.command.is_empty() {
        return runtime.block_on(ops::command::run(&client, &args.command.join(" ")));
    }
    match std::io::stdin().is_terminal() {
        true => runtime.block_on(ops::prompt::run(&client)),
        false => runtime.block_on(ops::script::run(&client)),
    }
}

fn usage_error(problem: &str) -> ExitCode {
    eprintln!("error: {problem}\n\nUsage: catkinctl --daemon ADDR [OPTIONS] [COMMAND]\n");
    eprintln!("For more information, try 'catkinctl --help'.");
    ExitCode::from(EXIT_USAGE)
}
