//! Changing commands as actions on the configuration.

use crate::language::{Assignment, Object};
use compact_str::CompactString;
use indexmap::IndexMap;
use sched::config::{Action, Config, Edit};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A change that cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object does not exist.
    #[error("there is no {0} '{1}'; 'show' lists what there is")]
    NotFound(&'static str, CompactString),
    /// The object exists already.
    #[error("{0} '{1}' exists already; 'set' changes it")]
    AlreadyExists(&'static str, CompactString),
    /// A key or its value does not fit.
    #[error("{0} '{1}': {2}")]
    Invalid(&'static str, CompactString, String),
}

/// What happens to the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// It is created.
    Create,
    /// It is changed.
    Set,
    /// It is dropped.
    Drop,
}

/// Builds the action of a changing command on `config`.
///
/// # Errors
///
/// Returns an [`Error`] that names the object and the key at fault.
pub fn build_action(
    config: &Config,
    operation: Operation,
    object: Object,
    name: &CompactString,
    assignments: &[Assignment],
) -> Result<Action, Error> {
    match object {
        Object::Team => edit(&config.teams, operation, "team", name, assignments).map(Action::Team),
        Object::Budget => {
            edit(&config.budgets, operation, "budget", name, assignments).map(Action::Budget)
        }
        Object::Pool => edit(&config.pools, operation, "pool", name, assignments).map(Action::Pool),
        Object::Endpoint => {
            edit(&config.endpoints, operation, "endpoint", name, assignments).map(Action::Endpoint)
        }
    }
}

fn edit<T: Clone + Serialize + DeserializeOwned>(
    map: &IndexMap<CompactString, T>,
    operation: Operation,
    what: &'static str,
    name: &CompactString,
    assignments: &[Assignment],
) -> Result<Edit<T>, Error> {
    let from = map.get(name).cloned();
    match (operation, &from) {
        (Operation::Create, Some(_)) => return Err(Error::AlreadyExists(what, name.clone())),
        (Operation::Set | Operation::Drop, None) => {
            return Err(Error::NotFound(what, name.clone()));
        }
        _ => {}
    }
    let to = match operation {
        Operation::Drop => None,
        Operation::Create | Operation::Set => Some(assign(&from, what, name, assignments)?),
    };
    Ok(Edit { name: name.clone(), from, to })
}

fn assign<T: Serialize + DeserializeOwned>(
    from: &Option<T>,
    what: &'static str,
    name: &CompactString,
    assignments: &[Assignment],
) -> Result<T, Error> {
    let mut fields = match from.as_ref().map(serde_json::to_value) {
        Some(Ok(Value::Object(fields))) => fields,
        _ => serde_json::Map::new(),
    };
    for (key, value) in assignments {
        fields.insert(key.to_string(), value.clone());
    }
    let unfit = |error: serde_json::Error| Error::Invalid(what, name.clone(), error.to_string());
    serde_json::from_value(Value::Object(fields)).map_err(unfit)
}
