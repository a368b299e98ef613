//! Command-line options and exit codes.

use crate::{logs, ops};
use gumdrop::Options;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

/// Exit code for a failure at run time.
const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Role of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// Owns programs and serves the HTTP interface for callers.
    #[default]
    Programs,
    /// Routes client requests to endpoints.
    Gateway,
    /// Occupies a storage VM; stores nothing.
    Storage,
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "programs" => Ok(Self::Programs),
            "gateway" => Ok(Self::Gateway),
            "storage" => Ok(Self::Storage),
            _ => Err(format!("unknown role '{text}': expected programs, gateway or storage")),
        }
    }
}

#[derive(Debug, Options)]
struct Args {
    #[options(free, help = "programs (the default), gateway or storage")]
    role: Option<Role>,
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print the version and exit", short = "V")]
    version: bool,
    #[options(help = "check the settings, print the effective values, and exit", no_short)]
    check: bool,
    #[options(help = "settings file, in JSON with comments", meta = "FILE")]
    settings: Option<PathBuf>,
}

/// Parses the command line, runs the selected role and returns the exit code.
///
/// The exit code is 0 after success or a graceful stop, 1 after a failure at run time, and 2 for an
/// invalid command line or invalid settings.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&arguments) {
        Ok(args) => args,
        Err(error) => return usage_error(&error.to_string()),
    };
    if args.help {
        println!("Usage: catkinshed [ROLE] --settings FILE [--check]\n\n{}", Args::usage());
        return ExitCode::SUCCESS;
    }
    if args.version {
        println!("catkinshed {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let role = args.role.unwrap_or_default();
    logs::init(role != Role::Programs);
    let path_from_env = std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = args.settings.or(path_from_env) else {
        return usage_error("no settings file given");
    };
    match role {
        Role::Programs => start(&path, args.check, ops::run::run),
        Role::Gateway => start(&path, args.check, gateway::daemon::run),
        Role::Storage => start(&path, args.check, gateway::storage::run),
    }
}

/// Loads the settings and then checks them or runs the role.
fn start<T: ops::check::RoleSettings>(
    path: &Path,
    check: bool,
    run: impl FnOnce(T) -> anyhow::Result<()>,
) -> ExitCode {
    let settings = match ops::check::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    let result = match check {
        true => ops::check::print(&settings),
        false => run(settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, EXIT_FAILURE),
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("error: {message}\n\nUsage: catkinshed [ROLE] --settings FILE [--check]\n");
    eprintln!("For all options, try 'catkinshed --help'.");
    ExitCode::from(EXIT_USAGE)
}

fn fail(error: &anyhow::Error, code: u8) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::from(code)
}
