//! The operators' configuration, replayed from numbered changes.
//!
//! Each [`Change`] is kept under its version and written only if that version is free, so two
//! racing operators cannot both win, and the list of changes is the audit trail. A daemon applies
//! changes strictly in order; [`Config::apply`] refuses anything but the next version, so a
//! configuration in force never reverts.

use crate::id::{AccountId, DcId, EndpointId, PoolId, ProgramId, TeamId, Tokens, Version, VmId};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// Weight of the team when a pool is contended.
    pub share: u32,
    /// Most programs under way in one log.
    pub max_programs: u32,
}

impl Default for Team {
    fn default() -> Self {
        Self { share: 1, max_programs: 10_000 }
    }
}

/// Tokens that a team's programs may spend together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Team that the account belongs to.
    pub team: TeamId,
    /// Most tokens that may ever be spent.
    pub limit: Tokens,
}

/// Endpoints that serve the same work, and the limits of that work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Model that its engines serve; empty for plain services.
    pub model: CompactString,
    /// Most calls of one program.
    pub max_steps: u32,
    /// Longest life of a program, in seconds.
    pub max_wall_s: u64,
    /// Longest silence of a program between calls, in seconds.
    pub idle_s: u64,
    /// Most calls that wait at one daemon.
    pub max_queue: u32,
    /// Longest run of one call, in seconds, where the caller gives no deadline.
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

/// Kind of back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service or tool.
    Service,
}

/// One back end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Kind of back end.
    #[serde(default)]
    pub kind: Kind,
    /// Pool that it serves.
    pub pool: PoolId,
    /// IP address and port.
    pub addr: CompactString,
    /// VM that it runs on, as the VM list names it.
    pub vm: VmId,
    /// Data centre of the VM.
    pub dc: DcId,
    /// Most calls that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 for a plain service.
    #[serde(default)]
    pub memory: Tokens,
    /// Whether an operator takes it out of service.
    #[serde(default)]
    pub draining: bool,
}

/// One object's change: its value before and after; `None` where it does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit<T> {
    /// Name of the object.
    pub name: CompactString,
    /// Value that the change replaces.
    pub from: Option<T>,
    /// Value from the change on.
    pub to: Option<T>,
}

/// What one change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "object", rename_all = "snake_case")]
pub enum Action {
    /// Creates, changes or drops a team.
    Team(Edit<Team>),
    /// Creates, changes or drops a budget account.
    Budget(Edit<Account>),
    /// Creates, changes or drops a pool.
    Pool(Edit<Pool>),
    /// Creates, changes or drops an endpoint.
    Endpoint(Edit<Endpoint>),
    /// Acts on a program; the program's log carries it out.
    Program {
        /// The program.
        name: ProgramId,
        /// What is done, for the audit.
        act: CompactString,
    },
}

/// One numbered change, which is also its own audit entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change creates.
    pub version: Version,
    /// Operator who made it.
    pub who: CompactString,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Why, in the operator's words.
    pub why: String,
    /// What changes.
    pub actions: Vec<Action>,
}

/// A change that cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The change does not follow the version in force.
    #[error("change {found} does not follow version {current}")]
    VersionMismatch {
        /// Version of the change.
        found: Version,
        /// Version in force.
        current: Version,
    },
    /// The value that the change replaces is not the one in force.
    #[error("{0} is not as the change expects")]
    Conflict(CompactString),
    /// The object names another that does not exist.
    #[error("{object} names {missing}, which does not exist")]
    MissingReference {
        /// The object that was to be changed.
        object: CompactString,
        /// What it refers to.
        missing: CompactString,
    },
    /// Other objects still refer to the one to be dropped.
    #[error("{object} is still used by {user}")]
    InUse {
        /// The object to be dropped.
        object: CompactString,
        /// One of its users.
        user: CompactString,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Version in force; 0 before the first change.
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
    /// Returns an [`Error`] and leaves the configuration unchanged when the change does not follow
    /// the version in force or refers to what does not exist.
    pub fn apply(&mut self, change: &Change) -> Result<(), Error> {
        if change.version != self.version + 1 {
            return Err(Error::VersionMismatch { found: change.version, current: self.version });
        }
        let mut next = self.clone();
        for action in &change.actions {
            next.act(action)?;
        }
        next.version = change.version;
        *self = next;
        Ok(())
    }

    fn act(&mut self, action: &Action) -> Result<(), Error> {
        match action {
            Action::Team(edit) => {
                let user = self.budgets.iter().find(|(_, budget)| budget.team == edit.name);
                check_unused(edit, user.map(|(name, _)| name))?;
                replace(&mut self.teams, edit)
            }
            Action::Budget(edit) => {
                if let Some(budget) = &edit.to {
                    check_exists(&self.teams, &edit.name, &budget.team)?;
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
    missing: &CompactString,
) -> Result<(), Error> {
    if map.contains_key(missing) {
        return Ok(());
    }
    Err(Error::MissingReference { object: object.clone(), missing: missing.clone() })
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
