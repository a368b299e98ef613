//! The storage daemon.
//!
//! Nothing that must last lies on the storage VMs' disks, so a storage daemon only waits for its
//! stop; a VM that is to be emptied is empty.

use crate::settings::Storage;
use anyhow::{Context, Result};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a storage daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the runtime cannot start.
pub fn run(settings: Storage) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("the runtime cannot start")?.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        log::info!(target: "daemon", vm = settings.vm.as_str(); "started");
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                _ = reload.recv() => {}
            }
        }
    })
}
