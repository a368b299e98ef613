//! `create`, `set`, `drop`, `drain` and `undrain`.

use super::{Fault, message};
use crate::http::App;
use crate::io::changes;
use operator::api::Response;
use operator::edit::{self, Operation};
use operator::language::{Command, Object, Verb};
use sched::config::{Action, Change, Config};
use sched::id::Version;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Tries of a write whose fate is not known.
const TRIES: usize = 5;
/// Longest wait until every daemon that answers has the change in force.
const FORCE_WAIT: Duration = Duration::from_secs(3);
/// Time between two looks at the versions in force.
const FORCE_POLL: Duration = Duration::from_millis(50);

/// Changes the configuration.
pub(super) async fn run(app: &App, who: &str, command: &Command) -> Result<Response, Fault> {
    let mut config = config_for(app, command).await?;
    let change = change(who, command, &config, action(&config, &command.verb)?);
    let actions = change.actions.clone();
    config.apply(&change)?;
    if command.dry_run {
        let text = format!("would become version {}", change.version);
        return Ok(Response { actions, ..message(text) });
    }
    write(app, &change).await?;
    if let Err(error) = changes::write_snapshot(&app.kv, &config).await {
        log::debug!("the configuration's snapshot is not written: {error}");
    }
    let response = Response {
        version: Some(change.version),
        actions,
        ..message(format!("version {} is accepted", change.version))
    };
    Ok(wait_until_in_force(app, change.version, response).await)
}

/// Writes an act that changes no configuration to the audit trail; returns its version.
pub(super) async fn audit(
    app: &App,
    who: &str,
    command: &Command,
    action: Action,
) -> Result<Version, Fault> {
    let started = tokio::time::Instant::now();
    loop {
        let config = config_for(app, command).await?;
        let change = change(who, command, &config, action.clone());
        match write(app, &change).await {
            Ok(()) => return Ok(change.version),
            Err(Fault::Conflict(_)) if started.elapsed() < FORCE_WAIT => {
                tokio::time::sleep(FORCE_POLL).await;
            }
            Err(fault) => return Err(fault),
        }
    }
}

/// Reads the configuration that a command is meant for, and waits where this daemon is behind it.
async fn config_for(app: &App, command: &Command) -> Result<Config, Fault> {
    let started = tokio::time::Instant::now();
    loop {
        let config = app.config().await?;
        match command.expected_version {
            Some(expected) if expected < config.version => {
                return Err(Fault::Conflict(config.version));
            }
            Some(expected) if expected > config.version => {}
            _ => return Ok(config),
        }
        if started.elapsed() > FORCE_WAIT {
            return Err(Fault::NotYet(config.version));
        }
        tokio::time::sleep(FORCE_POLL).await;
    }
}

fn change(who: &str, command: &Command, config: &Config, action: Action) -> Change {
    Change {
        version: config.version + 1,
        who: who.into(),
        at_ms: unix_ms(),
        why: command.reason.clone().unwrap_or_default(),
        actions: vec![action],
    }
}

fn action(config: &Config, verb: &Verb) -> Result<Action, Fault> {
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
            return Err(Fault::Unknown("the command changes no configuration".to_owned()));
        }
    };
    Ok(action?)
}

async fn write(app: &App, change: &Change) -> Result<(), Fault> {
    let mut last = String::new();
    for _ in 0..TRIES {
        match changes::write(&app.kv, change).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(Fault::Conflict(change.version)),
            Err(error) => last = error.to_string(),
        }
        tokio::time::sleep(FORCE_POLL).await;
    }
    Err(Fault::Unknown(last))
}

async fn wait_until_in_force(app: &App, version: u64, response: Response) -> Response {
    let started = tokio::time::Instant::now();
    loop {
        let response = app.with_versions(response.clone()).await;
        let everywhere = response.in_force.values().all(|found| *found >= version);
        if everywhere || started.elapsed() > FORCE_WAIT {
            return response;
        }
        tokio::time::sleep(FORCE_POLL).await;
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
