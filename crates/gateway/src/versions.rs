//! Announces the software versions that serve in the key-value service.
//!
//! The rules are those of [`sched::versions`].

use crate::members;
use crate::owner::unix_ms;
use crate::settings::Settings;
use crate::view::View;
use platform::kv::{Client, WriteOutcome};
use sched::versions::Announcer;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Minimum time between two checks; registrations change in bursts.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time between two checks.
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// Writes the register of versions when this daemon is a delegate and the register is due.
pub async fn run(settings: Arc<Settings>, view: Arc<View>, kv: Client) {
    let mut announcer = Announcer::default();
    let mut changes = view.subscribe();
    let own = settings.public_addr();
    loop {
        sleep(MIN_INTERVAL).await;
        // A failure means that the view is gone, and this daemon with it.
        let _ = timeout(MAX_INTERVAL, changes.changed()).await;
        let now = Instant::now();
        let delegates = view.with_members(members::delegates);
        let Some(rank) = delegates.iter().position(|addr| *addr == own) else {
            announcer = Announcer::default();
            continue;
        };
        if !view.is_current_by_watch(now) {
            continue;
        }
        let (register, revision) = view.versions();
        let serving = view.with_fleet(|fleet| fleet.serving());
        let due = announcer.next_write(&register, &serving, rank, now, unix_ms());
        let Some(next) = due else {
            continue;
        };
        let Ok(value) = serde_json::to_vec(&next) else {
            continue;
        };
        let written = kv.compare_and_swap(members::VERSIONS_KEY, &value, revision, None).await;
        match written {
            Ok(WriteOutcome::Done(revision)) => {
                view.update_versions(next, revision, Instant::now());
            }
            // Another delegate was faster; the watch brings what it wrote.
            Ok(WriteOutcome::Conflict) => {}
            Err(error) => {
                log::info!(target: "resume", "failed to announce software versions: {error}");
            }
        }
    }
}
