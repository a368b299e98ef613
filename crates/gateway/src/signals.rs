//! Unix signals sent by the platform.
//!
//! By default these signals terminate the process, so the handlers are installed before anything
//! else is started.

use anyhow::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signal handlers of the process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within the Tokio runtime that will wait for them.
    ///
    /// # Errors
    ///
    /// Returns an error when a handler cannot be installed.
    pub fn new() -> Result<Self> {
        let handler = |kind| signal(kind).context("failed to install a signal handler");
        Ok(Self {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            reload: handler(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP is logged and otherwise ignored.
    pub async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    log::info!(target: "daemon", "ignored SIGHUP: settings cannot be reloaded");
                }
            }
        }
    }
}
