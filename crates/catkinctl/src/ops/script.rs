//! Runs commands from standard input, one per line.

use crate::daemon::Client;
use anyhow::{Context, Result};

/// Runs the commands in order and stops at the first one that fails. Empty lines and lines that
/// start with `#` are skipped.
///
/// # Errors
///
/// Returns an error with the line number of the command that failed, or the error of reading the
/// input.
pub async fn run(client: &Client) -> Result<()> {
    for (index, line) in std::io::stdin().lines().enumerate() {
        let line = line?;
        let command = line.trim();
        if command.is_empty() || command.starts_with('#') {
            continue;
        }
        client.run(command).await.with_context(|| format!("line {}", index + 1))?;
    }
    Ok(())
}
