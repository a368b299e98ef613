//! The operators' configuration, rebuilt by replaying its numbered changes.
//!
//! Each [`Change`] is stored under its version and written only if that version does not exist, so
//! only one of two concurrent changes succeeds, and the stored changes are the audit trail. A
//! daemon applies changes in order of their versions; [`Config::apply`] rejects every version but
//! the next one, so the current configuration never reverts to an older one.

use crate::id::{AccountId, DcId, EndpointId, PoolId, ProgramId, TeamId, Tokens, Version, VmId};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// Weight of the team while the calls of several teams compete for a pool.
    pub share: u32,
    /// Maximum number of running programs in one log.
    pub max_programs: u32,
}

impl Default for Team {
    fn default() -> Self {
        Self { share: 1, max_programs: 10_000 }
    }
}

/// A token budget shared by programs of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Team that the account belongs to.
    pub team: TeamId,
    /// Maximum number of tokens that all programs of the account may spend in total.
    pub limit: Tokens,
}

/// A group of equivalent endpoints and the limits of the programs and calls that use them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Model that the engines of the pool serve; empty for plain services.
    pub model: CompactString,
    /// Maximum number of calls per program.
    pub max_steps: u32,
    /// Maximum run time of a program, in seconds.
    pub max_wall_s: u64,
    /// Idle timeout of a program between two calls, in seconds.
    pub idle_s: u64,
    /// Maximum number of waiting calls per daemon.
    pub max_queue: u32,
    /// Timeout of a call for which the caller sets no deadline, in seconds.
    pub call_s: u64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            model: CompactString::default(),
            max_steps: 200,
            max_wall_s: 3600,
            idle_s: 300,
            max_queue: 2000,
            call_s: 120,
        }
    }
}

/// The kind of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service or tool.
    Service,
}

/// A back end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Kind of back end.
    #[serde(default)]
    pub kind: Kind,
    /// Pool that the back end belongs to.
    pub pool: PoolId,
    /// IP address and port.
    pub addr: CompactString,
    /// VM that the back end runs on, by its name in the VM list.
    pub vm: VmId,
    /// Data centre of the VM.
    pub dc: DcId,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Memory of the engine, in tokens; 0 for a plain service.
    #[serde(default)]
    pub memory: Tokens,
    /// Whether an operator is taking the back end out of service.
    #[serde(default)]
    pub draining: bool,
}

/// A change of one object; a value is `None` where the object does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit<T> {
    /// Name of the object.
    pub name: CompactString,
    /// Value before the change.
    pub from: Option<T>,
    /// Value after the change.
    pub to: Option<T>,
}

/// One action of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "object", rename_all = "snake_case")]
pub enum Action {
    /// Creates, updates or drops a team.
    Team(Edit<Team>),
    /// Creates, updates or drops a budget account.
    Budget(Edit<Account>),
    /// Creates, updates or drops a pool.
    Pool(Edit<Pool>),
    /// Creates, updates or drops an endpoint.
    Endpoint(Edit<Endpoint>),
    /// Acts on a program; the owner of the program's log executes the action.
    Program {
        /// The program.
        name: ProgramId,
        /// Description of the action for the audit trail.
        act: CompactString,
    },
}

/// A numbered configuration change, which is also its entry in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change creates.
    pub version: Version,
    /// Operator who made the change.
    pub who: CompactString,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Reason given by the operator.
    pub why: String,
    /// Actions of the change.
    pub actions: Vec<Action>,
}

/// The reason why a change cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The change is not the next one after the current version.
    #[error("change {found} does not follow version {current}")]
    VersionMismatch {
        /// Version of the change.
        found: Version,
        /// Current version.
        current: Version,
    },
    /// The value that the change would replace is not the current one.
    #[error("the current value of {0} differs from the one that the change replaces")]
    Conflict(CompactString),
    /// The object refers to another object that does not exist.
    #[error("{object} names {missing}, which does not exist")]
    MissingReference {
        /// The object to be changed.
        object: CompactString,
        /// The object that it refers to.
        missing: CompactString,
    },
    /// Another object still refers to the one to be dropped.
    #[error("{object} is still used by {user}")]
    InUse {
        /// The object to be dropped.
        object: CompactString,
        /// An object that refers to it.
        user: CompactString,
    },
}

/// The current configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Current version; 0 before the first change.
    pub version: Version,
    /// Teams by name.
    pub teams: IndexMap<TeamId, Team>,
    /// Budget accounts by name.
    pub budgets: IndexMap<AccountId, Account>,
    /// Pools by name.
    pub pools: IndexMap<PoolId, Pool>,
    /// Endpoints by name.
    pub endpoints: IndexMap<EndpointId, Endpoint>,
}

impl Config {
    /// Applies the next change.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] and leaves the configuration unchanged if the change is not the next
    /// one after the current version, replaces a value that is not the current one, or leaves a
    /// reference to an object that does not exist.
    pub fn apply(&mut self, change: &Change) -> Result<(), Error> {
        if change.version != self.version + 1 {
            return Err(Error::VersionMismatch { found: change.version, current: self.version });
        }
        let mut next = self.clone();
        for action in &change.actions {
            next.apply_action(action)?;
        }
        next.version = change.version;
        *self = next;
        Ok(())
    }

    fn apply_action(&mut self, action: &Action) -> Result<(), Error> {
        match action {
            Action::Team(edit) => {
                let user = self.budgets.iter().find(|(_, account)| account.team == edit.name);
                check_unused(edit, user.map(|(name, _)| name))?;
                replace(&mut self.teams, edit)
            }
            Action::Budget(edit) => {
                if let Some(account) = &edit.to {
                    check_exists(&self.teams, &edit.name, &account.team)?;
                }
                replace(&mut self.budgets, edit)
            }
            Action::Pool(edit) => {
                let user = self.endpoints.iter().find(|(_, endpoint)| endpoint.pool == edit.name);
                check_unused(edit, user.map(|(name, _)| name))?;
                replace(&mut self.pools, edit)
            }
            Action::Endpoint(edit) => {
                if let Some(endpoint) = &edit.to {
                    check_exists(&self.pools, &edit.name, &endpoint.pool)?;
                }
                replace(&mut self.endpoints, edit)
            }
            Action::Program { .. } => Ok(()),
        }
    }
}

fn check_unused<T>(edit: &Edit<T>, user: Option<&CompactString>) -> Result<(), Error> {
    match (&edit.to, user) {
        (None, Some(user)) => Err(Error::InUse { object: edit.name.clone(), user: user.clone() }),
        _ => Ok(()),
    }
}

fn check_exists<T>(
    map: &IndexMap<CompactString, T>,
    object: &CompactString,
    reference: &CompactString,
) -> Result<(), Error> {
    if map.contains_key(reference) {
        return Ok(());
    }
    Err(Error::MissingReference { object: object.clone(), missing: reference.clone() })
}

fn replace<T: Clone + PartialEq>(
    map: &mut IndexMap<CompactString, T>,
    edit: &Edit<T>,
) -> Result<(), Error> {
    if map.get(&edit.name) != edit.from.as_ref() {
        return Err(Error::Conflict(edit.name.clone()));
    }
    match &edit.to {
        Some(value) => {
            map.insert(edit.name.clone(), value.clone());
        }
        None => {
            map.shift_remove(&edit.name);
        }
    }
    Ok(())
}
