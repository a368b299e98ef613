//! One command from the command line.

use crate::daemon::Daemon;
use anyhow::Result;

/// Gives the command and prints its answer.
///
/// # Errors
///
/// Returns an error with the daemon's reason when the command is refused.
pub async fn run(daemon: &Daemon, command: &str) -> Result<()> {
    daemon.print(command).await
}
