//! A prompt for commands.

use crate::daemon::Daemon;
use anyhow::Result;
use std::io::Write;

/// Gives one command after another; a refused one does not end the prompt.
///
/// # Errors
///
/// Returns an error when the terminal is closed.
pub async fn run(daemon: &Daemon) -> Result<()> {
    println!("One command a line; 'quit' ends.");
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
                if let Err(error) = daemon.print(command).await {
                    eprintln!("error: {error:#}");
                }
            }
        }
    }
}
