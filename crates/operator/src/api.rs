//! JSON of the administration interface.

use crate::table::Table;
use compact_str::CompactString;
use indexmap::IndexMap;
use sched::config::Action;
use sched::id::{Version, VmId};
use serde::{Deserialize, Serialize};

/// Body of `POST /admin/v1/commands`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The command, in the operators' language.
    pub command: String,
}

/// Answer to a command.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Response {
    /// Rows, for a command that asks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Table>,
    /// What was done, or would be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Version that the command created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// What the command changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub actions: Vec<Action>,
    /// Version in force at each daemon that answered.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub in_force: IndexMap<VmId, Version>,
    /// Daemons that did not answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<VmId>,
}

/// A refused command; nothing was changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Failure {
    /// Stable code.
    pub code: CompactString,
    /// Explanation for people.
    pub message: String,
    /// Version in force, where another change came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Version>,
}

impl Response {
    /// Shows the answer as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Some(table) = &self.table {
            text.push_str(&table.render());
        }
        if let Some(message) = &self.message {
            text.push_str(message);
            text.push('\n');
        }
        if !self.in_force.is_empty() {
            let versions = self.in_force.iter().map(|(vm, version)| format!("{vm}: {version}"));
            let versions: Vec<String> = versions.collect();
            text.push_str(&format!("in force: {}\n", versions.join(", ")));
        }
        if !self.silent.is_empty() {
            text.push_str(&format!("no answer from: {}\n", self.silent.join(", ")));
        }
        text
    }
}
