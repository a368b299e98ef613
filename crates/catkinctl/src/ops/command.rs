//! Runs one command given on the command line.

use crate::daemon::Client;
use anyhow::Result;

/// Sends the command and prints the response.
///
/// # Errors
///
/// Returns the same errors as [`Client::send`].
pub async fn run(client: &Client, command: &str) -> Result<()> {
    client.run(command).await
}
