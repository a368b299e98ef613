//! `create`, `set`, `drop`, `drain` and `undrain`.

use super::{Error, message_response};
use crate::http::App;
use crate::traffic::changes;
use operator::api::Response;
use operator::edit::{self, Operation};
use operator::language::{Command, Object, Verb};
use sched::config::{Action, Change, Config};
use sched::id::Version;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of attempts of a write whose outcome is unknown.
const MAX_WRITE_ATTEMPTS: usize = 5;
/// Timeout for a version to be in effect at this daemon or at every daemon that answers, and for
/// recording an action in the audit trail while other changes take its version.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two checks of the versions in effect, or between two attempts of a write.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Changes the configuration and waits until the change is in effect at the daemons that answer.
pub(super) async fn run(
    app: &App,
    operator_name: &str,
    command: &Command,
) -> Result<Response, Error> {
    let mut config = config_for(app, command).await?;
    let change = build_change(operator_name, command, &config, action_for(&config, &command.verb)?);
    let actions = change.actions.clone();
    config.apply(&change)?;
    if command.dry_run {
        let text = format!("would become version {}", change.version);
        return Ok(Response { actions, ..message_response(text) });
    }
    write_change(app, &change).await?;
    if let Err(error) = changes::write_snapshot(&app.kv, &config).await {
        log::debug!("failed to write the snapshot of the configuration: {error}");
    }
    let response = Response {
        version: Some(change.version),
        actions,
        ..message_response(format!("version {} is accepted", change.version))
    };
    Ok(wait_until_in_force(app, change.version, response).await)
}

/// Records an action on a program in the audit trail and returns its version.
///
/// The audit trail consists of the configuration changes, so the action takes a version of its own.
/// When another change takes that version first, the next version is tried.
pub(super) async fn audit(
    app: &App,
    operator_name: &str,
    command: &Command,
    action: Action,
) -> Result<Version, Error> {
    let started = tokio::time::Instant::now();
    loop {
        let config = config_for(app, command).await?;
        let change = build_change(operator_name, command, &config, action.clone());
        match write_change(app, &change).await {
            Ok(()) => return Ok(change.version),
            Err(Error::Conflict(_)) if started.elapsed() < IN_FORCE_TIMEOUT => {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Returns the configuration that a command applies to, and waits while the version at this daemon
/// is older than the one that the command requires.
async fn config_for(app: &App, command: &Command) -> Result<Config, Error> {
    let started = tokio::time::Instant::now();
    loop {
        let config = app.config().await?;
        match command.expected_version {
            Some(expected) if expected < config.version => {
                return Err(Error::Conflict(config.version));
            }
            Some(expected) if expected > config.version => {}
            _ => return Ok(config),
        }
        if started.elapsed() > IN_FORCE_TIMEOUT {
            return Err(Error::NotYet(config.version));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn build_change(operator_name: &str, command: &Command, config: &Config, action: Action) -> Change {
    Change {
        version: config.version + 1,
        who: operator_name.into(),
        at_ms: unix_ms(),
        why: command.reason.clone().unwrap_or_default(),
        actions: vec![action],
    }
}

fn action_for(config: &Config, verb: &Verb) -> Result<Action, Error> {
    let action = match verb {
        Verb::Create(object, name, assignments) => {
            edit::build_action(config, Operation::Create, *object, name, assignments)
        }
        Verb::Set(object, name, assignments) => {
            edit::build_action(config, Operation::Set, *object, name, assignments)
        }
        Verb::Drop(object, name) => edit::build_action(config, Operation::Drop, *object, name, &[]),
        Verb::Drain(name, draining) => {
            let assignments = [("draining".into(), (*draining).into())];
            edit::build_action(config, Operation::Set, Object::Endpoint, name, &assignments)
        }
        Verb::Show { .. } | Verb::Explain(_) | Verb::Cancel(_) | Verb::Prioritise(..) => {
            return Err(Error::OutcomeUnknown(
                "the command does not change the configuration".to_owned(),
            ));
        }
    };
    Ok(action?)
}

/// Writes a change, retrying while it is unknown whether it was written.
async fn write_change(app: &App, change: &Change) -> Result<(), Error> {
    let mut last_error = String::new();
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match changes::write(&app.kv, change).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(Error::Conflict(change.version)),
            Err(error) => last_error = error.to_string(),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::OutcomeUnknown(last_error))
}

/// Waits until `version` is in effect at every daemon that answers, or until the wait times out;
/// returns the response with the versions in effect.
async fn wait_until_in_force(app: &App, version: u64, response: Response) -> Response {
    let started = tokio::time::Instant::now();
    loop {
        let response = app.with_versions(response.clone()).await;
        let everywhere = response.in_force.values().all(|found| *found >= version);
        if everywhere || started.elapsed() > IN_FORCE_TIMEOUT {
            return response;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
