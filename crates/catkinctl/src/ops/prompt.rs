//! Reads commands from an interactive prompt.

use crate::daemon::Client;
use anyhow::Result;
use std::io::Write;

/// Runs commands until `quit`, `exit` or the end of the input. A command that fails does not end
/// the prompt.
///
/// # Errors
///
/// Returns an error when reading from or writing to the terminal fails.
pub async fn run(client: &Client) -> Result<()> {
    println!("Enter one command per line; 'quit' exits.");
    let mut lines = std::io::stdin().lines();
    loop {
        print!("catkin> ");
        std::io::stdout().flush()?;
        let Some(line) = lines.next().transpose()? else {
            return Ok(());
        };
        match line.trim() {
            "" => {}
            "quit" | "exit" => return Ok(()),
            command => {
                if let Err(error) = client.run(command).await {
                    eprintln!("error: {error:#}");
                }
            }
        }
    }
}
