//! Conversion of configuration commands into actions on the configuration.

use crate::language::{Assignment, Object};
use compact_str::CompactString;
use indexmap::IndexMap;
use sched::config::{Action, Config, Edit};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// An invalid configuration change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object does not exist.
    #[error("there is no {0} '{1}'; 'show' lists the existing objects")]
    NotFound(&'static str, CompactString),
    /// The object already exists.
    #[error("{0} '{1}' already exists; 'set' changes it")]
    AlreadyExists(&'static str, CompactString),
    /// A key is unknown or missing, or a value is invalid.
    #[error("{0} '{1}': {2}")]
    Invalid(&'static str, CompactString, String),
}

/// Operation on a configured object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Creates the object.
    Create,
    /// Changes the given keys of the object.
    Set,
    /// Removes the object.
    Drop,
}

/// Builds the action that applies `operation` to the object called `name` in `config`.
///
/// # Errors
///
/// Returns an [`Error`] when the object to create exists, the object to change or drop does not,
/// or the assignments do not give a valid object.
pub fn build_action(
    config: &Config,
    operation: Operation,
    object: Object,
    name: &CompactString,
    assignments: &[Assignment],
) -> Result<Action, Error> {
    match object {
        Object::Team => {
            build_edit(&config.teams, operation, "team", name, assignments).map(Action::Team)
        }
        Object::Budget => {
            build_edit(&config.budgets, operation, "budget", name, assignments).map(Action::Budget)
        }
        Object::Pool => {
            build_edit(&config.pools, operation, "pool", name, assignments).map(Action::Pool)
        }
        Object::Endpoint => build_edit(&config.endpoints, operation, "endpoint", name, assignments)
            .map(Action::Endpoint),
    }
}

fn build_edit<T: Clone + Serialize + DeserializeOwned>(
    objects: &IndexMap<CompactString, T>,
    operation: Operation,
    object_kind: &'static str,
    name: &CompactString,
    assignments: &[Assignment],
) -> Result<Edit<T>, Error> {
    let from = objects.get(name).cloned();
    match (operation, &from) {
        (Operation::Create, Some(_)) => {
            return Err(Error::AlreadyExists(object_kind, name.clone()));
        }
        (Operation::Set | Operation::Drop, None) => {
            return Err(Error::NotFound(object_kind, name.clone()));
        }
        _ => {}
    }
    let to = match operation {
        Operation::Drop => None,
        Operation::Create | Operation::Set => {
            Some(apply_assignments(&from, object_kind, name, assignments)?)
        }
    };
    Ok(Edit { name: name.clone(), from, to })
}

/// Returns `from`, or an empty object, with the assigned keys replaced.
fn apply_assignments<T: Serialize + DeserializeOwned>(
    from: &Option<T>,
    object_kind: &'static str,
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
    let invalid =
        |error: serde_json::Error| Error::Invalid(object_kind, name.clone(), error.to_string());
    serde_json::from_value(Value::Object(fields)).map_err(invalid)
}
