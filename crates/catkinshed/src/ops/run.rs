//! `catkinshed`: runs the daemon until it receives a signal to stop.

use crate::daemon::Daemon;
use crate::settings::Settings;
use anyhow::{Context, Result};
use tokio::signal::unix::{SignalKind, signal};

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
///
/// Returns an error when the daemon cannot start, or when the graceful stop times out with logs or
/// requests left.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = tokio::runtime::Runtime::new().context("failed to start the runtime")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = Daemon::start(settings).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.stop().await
    })
}
