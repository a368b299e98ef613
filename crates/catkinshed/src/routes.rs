//! Owners of logs and members of the cluster, as last learned from the platform.
//!
//! The map only routes: an owner that is not one any more answers so, and nothing depends on the
//! map being up to date.

use compact_str::CompactString;
use indexmap::IndexMap;
use sched::id::{DcId, LogId, VmId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::sync::watch;

/// A daemon, as its member and owner keys describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// IP address and port for peers.
    pub peer_addr: CompactString,
    /// Number that no other process has, so that a restarted daemon is told from its predecessor.
    pub incarnation: u64,
    /// Whether it hands its logs off.
    pub stopping: bool,
}

/// Members and owners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Live daemons by VM.
    pub members: IndexMap<VmId, Member>,
    /// Owners by log.
    pub owners: IndexMap<LogId, Member>,
}

/// The table as it is shared between the parts of a daemon.
#[derive(Clone, Debug)]
pub struct Routes {
    sender: Arc<watch::Sender<Table>>,
}

impl Default for Routes {
    fn default() -> Self {
        Self { sender: Arc::new(watch::Sender::new(Table::default())) }
    }
}

impl Routes {
    /// Changes the table and wakes those that wait for a change.
    pub fn update(&self, change: impl FnOnce(&mut Table)) {
        self.sender.send_modify(change);
    }

    /// Returns the owner of a log.
    pub fn owner(&self, log: LogId) -> Option<Member> {
        self.sender.borrow().owners.get(&log).cloned()
    }

    /// Returns a receiver that tells of changes.
    pub fn subscribe(&self) -> watch::Receiver<Table> {
        self.sender.subscribe()
    }

    /// Returns a copy of the table.
    pub fn table(&self) -> Table {
        self.sender.borrow().clone()
    }

    /// Waits until another daemon than `owner` owns the log.
    pub async fn wait_for_new_owner(&self, log: LogId, owner: &Member) {
        let mut receiver = self.sender.subscribe();
        let other = |table: &Table| {
            let found = table.owners.get(&log);
            found.is_some_and(|found| found.incarnation != owner.incarnation)
        };
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(other).await;
    }
}
