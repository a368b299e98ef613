//! Owners of logs and members of the cluster, as last read from the platform.
//!
//! The table may be stale, because it is only used for routing: a daemon that no longer owns a log
//! rejects operations on it.

use compact_str::CompactString;
use indexmap::IndexMap;
use sched::id::{DcId, LogId, VmId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::sync::watch;

/// Daemon, as described by its member key and the owner keys of its logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// IP address and port on which it serves peers.
    pub peer_addr: CompactString,
    /// Random number that distinguishes the process from other daemons that ran on the same VM.
    pub incarnation: u64,
    /// Whether it is stopping and hands its logs off.
    pub stopping: bool,
}

/// Members of the cluster and owners of logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Live daemons by VM.
    pub members: IndexMap<VmId, Member>,
    /// Owners by log.
    pub owners: IndexMap<LogId, Member>,
}

/// Handle to the table that the parts of a daemon share.
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
    /// Changes the table and notifies all subscribers.
    pub fn update(&self, change: impl FnOnce(&mut Table)) {
        self.sender.send_modify(change);
    }

    /// Returns the owner of a log, if it is known.
    pub fn owner(&self, log: LogId) -> Option<Member> {
        self.sender.borrow().owners.get(&log).cloned()
    }

    /// Returns a receiver that is notified of changes to the table.
    pub fn subscribe(&self) -> watch::Receiver<Table> {
        self.sender.subscribe()
    }

    /// Returns a copy of the table.
    pub fn table(&self) -> Table {
        self.sender.borrow().clone()
    }

    /// Waits until the log has an owner other than `owner`.
    pub async fn wait_for_new_owner(&self, log: LogId, owner: &Member) {
        let mut receiver = self.sender.subscribe();
        let has_new_owner = |table: &Table| {
            let found = table.owners.get(&log);
            found.is_some_and(|found| found.incarnation != owner.incarnation)
        };
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(has_new_owner).await;
    }
}
