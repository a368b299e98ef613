//! Assignment of logs to this daemon.
//!
//! The assignment is recomputed only when the list of members changes, since it takes time
//! proportional to the number of logs times the number of members.

use crate::routes::Table;
use sched::id::{LogId, VmId};
use sched::members;

/// Assignment of the logs to this daemon or to others, for the last list of members.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    members: Vec<VmId>,
    local: Vec<bool>,
}

impl Assignment {
    /// Recomputes the assignment if the members of `table` have changed.
    ///
    /// Members that are stopping get no logs. If `me` is not a member or is stopping, the
    /// assignment is unknown: no log counts as assigned to this daemon or to another one.
    pub fn update(&mut self, table: &Table, me: &VmId, logs: LogId) {
        let active = table.members.values().filter(|member| !member.stopping);
        let mut members: Vec<VmId> = active.map(|member| member.vm.clone()).collect();
        members.sort();
        if members == self.members {
            return;
        }
        let logs: Vec<LogId> = (0..logs).collect();
        let assigned = members::assign(&logs, &members);
        self.local = match members.contains(me) {
            true => assigned.into_iter().map(|member| members[member] == *me).collect(),
            false => Vec::new(),
        };
        self.members = members;
    }

    /// Returns the logs that are assigned to this daemon.
    pub fn local_logs(&self) -> Vec<LogId> {
        let numbered = self.local.iter().enumerate();
        numbered.filter(|(_, local)| **local).map(|(log, _)| log as LogId).collect()
    }

    /// Returns whether a log is known to be assigned to another daemon.
    pub fn is_remote(&self, log: LogId) -> bool {
        self.local.get(usize::from(log)).is_some_and(|local| !local)
    }
}
