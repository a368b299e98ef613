//! Command line of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinshed::cli::main()
}
