//! Commands from standard input, one a line.

use crate::daemon::Daemon;
use anyhow::{Context, Result};

/// Gives the commands in order, and stops at the first that is refused.
///
/// # Errors
///
/// Returns an error that names the line of the refused command.
pub async fn run(daemon: &Daemon) -> Result<()> {
    for (index, line) in std::io::stdin().lines().enumerate() {
        let line = line?;
        let command = line.trim();
        if command.is_empty() || command.starts_with('#') {
            continue;
        }
        daemon.print(command).await.with_context(|| format!("line {}", index + 1))?;
    }
    Ok(())
}
