//! Which logs are assigned to this daemon.
//!
//! The assignment is computed only when the list of members changes, since its cost grows with logs
//! times members.

use crate::routes::Table;
use sched::id::{LogId, VmId};
use sched::members;

/// Assignment for the last list of members.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    members: Vec<VmId>,
    mine: Vec<bool>,
}

impl Assignment {
    /// Takes the members of `table`; those that stop, or a table without `me`, get nothing.
    pub fn update(&mut self, table: &Table, me: &VmId, logs: LogId) {
        let serving = table.members.values().filter(|member| !member.stopping);
        let mut members: Vec<VmId> = serving.map(|member| member.vm.clone()).collect();
        members.sort();
        if members == self.members {
            return;
        }
        let logs: Vec<LogId> = (0..logs).collect();
        let assigned = members::assign(&logs, &members);
        self.mine = match members.contains(me) {
            true => assigned.into_iter().map(|member| members[member] == *me).collect(),
            false => Vec::new(),
        };
        self.members = members;
    }

    /// Logs that are assigned to this daemon.
    pub fn mine(&self) -> Vec<LogId> {
        let numbered = self.mine.iter().enumerate();
        numbered.filter(|(_, mine)| **mine).map(|(log, _)| log as LogId).collect()
    }

    /// Tells whether a log is known to be assigned to another daemon.
    pub fn is_anothers(&self, log: LogId) -> bool {
        self.mine.get(usize::from(log)).is_some_and(|mine| !mine)
    }
}
