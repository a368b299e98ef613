//! Command line of the operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinctl::cli::main()
}
