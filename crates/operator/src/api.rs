//! Request and response bodies of the administration API, encoded as JSON.

use crate::table::Table;
use compact_str::CompactString;
use indexmap::IndexMap;
use sched::config::Action;
use sched::id::{Version, VmId};
use serde::{Deserialize, Serialize};

/// Request body of `POST /admin/v1/commands`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Command in the operators' language.
    pub command: String,
}

/// Response to a command that was carried out or, with `dry run`, checked.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Response {
    /// Result rows of a `show` command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Table>,
    /// Description of what the command did, would do or found out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Configuration version that the command created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Changes that the command makes to the configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub actions: Vec<Action>,
    /// Configuration version in force at each daemon that responded.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub in_force: IndexMap<VmId, Version>,
    /// Daemons that did not respond.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<VmId>,
}

/// Response to a command that failed.
///
/// The command had no effect, with two exceptions: for the code `unknown`, the outcome of a change
/// is not known, and an operation that the owner of a program refused is still recorded in the
/// audit trail.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Failure {
    /// Stable code: `syntax`, `invalid`, `version_conflict`, `not_yet`, `not_found`, `refused`,
    /// `unknown` or `stopping`.
    pub code: CompactString,
    /// Error message for the operator.
    pub message: String,
    /// Configuration version in force at the daemon, for `version_conflict` and `not_yet`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Version>,
}

impl Response {
    /// Formats the response as text, each line ending in a newline.
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
