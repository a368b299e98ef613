//! Signals of the platform.
//!
//! A signal that comes before its handler is set ends the process, so the handlers are set before
//! anything else is started.

use anyhow::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handlers of a process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Sets the handlers; needs the context of the runtime that waits for them.
    ///
    /// # Errors
    ///
    /// Returns an error when a handler cannot be set.
    pub fn new() -> Result<Self> {
        let handler = |kind| signal(kind).context("a signal's handler cannot be set");
        Ok(Self {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            reload: handler(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    log::info!(target: "daemon", "told to reload; the settings of a running daemon are fixed");
                }
            }
        }
    }
}
