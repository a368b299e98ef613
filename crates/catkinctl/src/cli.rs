//! Options and exit codes.

use crate::daemon::Daemon;
use crate::ops;
use anyhow::{Context, Result, bail};
use gumdrop::Options;
use std::io::IsTerminal;
use std::process::ExitCode;

/// Exit code for a refused command.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a wrong command line.
const EXIT_USAGE: u8 = 2;
/// Variable that holds the token where no option does.
const TOKEN_VARIABLE: &str = "CATKINCTL_TOKEN";

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print the version and exit", short = "V")]
    version: bool,
    #[options(help = "IP address and port of any daemon", meta = "ADDR")]
    daemon: Option<String>,
    #[options(help = "token; by default from CATKINCTL_TOKEN", meta = "TOKEN", no_short)]
    token: Option<String>,
    #[options(help = "print answers as JSON")]
    json: bool,
    #[options(
        help = "submit a program of one model turn with a caller's token, and print its answer",
        meta = "PROMPT",
        no_short
    )]
    submit: Option<String>,
    #[options(help = "pool of the submitted program", meta = "POOL", default = "models")]
    pool: String,
    #[options(help = "budget of the submitted program", meta = "BUDGET")]
    account: Option<String>,
    #[options(free, help = "the command; without one, commands are read line by line")]
    command: Vec<String>,
}

/// Runs the command line and returns the exit code.
///
/// 0 means done, 1 a refused command, and 2 a wrong command line.
pub fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&words) {
        Ok(args) => args,
        Err(error) => return usage(&error.to_string()),
    };
    if args.help {
        println!("Usage: catkinctl --daemon ADDR [OPTIONS] [COMMAND]\n\n{}", Args::usage());
        println!("\nWithout a command, a prompt opens, or a script is read from standard input.");
        return ExitCode::SUCCESS;
    }
    if args.version {
        println!("catkinctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if args.daemon.is_none() {
        return usage("no daemon given");
    }
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(args: Args) -> Result<()> {
    let token = args.token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    let token = token.with_context(|| format!("no token; use --token or set {TOKEN_VARIABLE}"))?;
    let addr = args.daemon.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    if let Some(prompt) = args.submit {
        let Some(account) = args.account else {
            bail!("--submit needs --account; 'show budgets' lists what there is");
        };
        return runtime.block_on(ops::submit::run(&addr, &token, &args.pool, &account, &prompt));
    }
    let daemon = Daemon::new(&addr, &token, args.json);
    if !args.command.is_empty() {
        return runtime.block_on(ops::command::run(&daemon, &args.command.join(" ")));
    }
    match std::io::stdin().is_terminal() {
        true => runtime.block_on(ops::prompt::run(&daemon)),
        false => runtime.block_on(ops::script::run(&daemon)),
    }
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("error: {problem}\n\nUsage: catkinctl --daemon ADDR [OPTIONS] [COMMAND]\n");
    eprintln!("For all options, try 'catkinctl --help'.");
    ExitCode::from(EXIT_USAGE)
}
