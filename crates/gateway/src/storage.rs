//! The storage daemon.
//!
//! Nothing that must last lies on the storage VMs' disks, so a storage daemon only waits for its
//! stop; a VM that is to be emptied is empty.

use crate::settings::Storage;
use crate::signals::Signals;
use anyhow::{Context, Result};
use tokio::runtime::Builder;

/// Runs a storage daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the runtime cannot start.
pub fn run(settings: Storage) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("the runtime cannot start")?.block_on(async {
        let mut signals = Signals::new()?;
        log::info!(target: "daemon", vm = settings.vm.as_str(); "started");
        signals.stop().await;
        Ok(())
    })
}
