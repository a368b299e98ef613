//! The storage daemon.
//!
//! Storage VMs hold no durable data, so the daemon only waits for a stop signal, and a storage VM
//! can be retired without moving any data.

use crate::settings::Storage;
use crate::signals::Signals;
use anyhow::{Context, Result};
use tokio::runtime::Builder;

/// Runs a storage daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the runtime or the signal handlers cannot be set up.
pub fn run(settings: Storage) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("failed to start the Tokio runtime")?.block_on(async {
        let mut signals = Signals::new()?;
        log::info!(target: "daemon", vm = settings.vm.as_str(); "started");
        signals.wait_for_stop().await;
        Ok(())
    })
}
