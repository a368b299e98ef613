//! The `catkinctl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinctl::cli::main()
}
