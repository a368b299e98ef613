//! `show`: lists the rows of a table.

use super::Error;
use crate::http::App;
use crate::traffic::{changes, keys};
use operator::api::Response;
use operator::language::{Condition, TableName};
use operator::table::Table;
use peer::wire::{Activity, ProgramRow, Query};
use sched::config::{Action, Config, Edit};
use sched::grant::Ledger;
use serde::Serialize;
use serde_json::{Value, json};

/// Number of most recent configuration changes that `show audit` reads.
const MAX_AUDIT_CHANGES: u64 = 200;

/// Lists the rows of a table that match the filter, at most `limit`.
pub(super) async fn run(
    app: &App,
    name: TableName,
    filter: &[Condition],
    limit: Option<usize>,
) -> Result<Response, Error> {
    let (table, silent) = match name {
        TableName::Programs => programs(app, false).await,
        TableName::Calls => programs(app, true).await,
        TableName::Endpoints => endpoints(app).await?,
        TableName::Daemons => daemons(app).await,
        TableName::Pools => (pools(&app.config().await?), Vec::new()),
        TableName::Teams => (teams(&app.config().await?), Vec::new()),
        TableName::Budgets => (budgets(app).await?, Vec::new()),
        TableName::Audit => (audit(app).await?, Vec::new()),
    };
    let table = Some(table.select(filter, limit)?);
    Ok(Response { table, silent, ..Response::default() })
}

/// Table, and the VMs of the daemons that did not answer, whose rows are missing from it.
type PartialTable = (Table, Vec<sched::id::VmId>);

async fn programs(app: &App, only_calls: bool) -> PartialTable {
    let cluster_status = app.gather(&Query { programs: true, endpoints: false }).await;
    let mut table = Table::new(&[
        "program", "team", "pool", "budget", "kind", "priority", "daemon", "seq", "limit", "spent",
        "state", "detail", "for_ms",
    ]);
    let rows = cluster_status.statuses.iter().flat_map(|status| &status.programs);
    let rows = rows.filter(|row| !only_calls || has_call(&row.activity));
    for row in rows {
        table.push(program_row(row));
    }
    (table, cluster_status.unresponsive)
}

fn has_call(activity: &Activity) -> bool {
    !matches!(activity, Activity::Caller | Activity::Ended { .. })
}

fn program_row(row: &ProgramRow) -> Vec<Value> {
    let (state, detail) = state(&row.activity);
    vec![
        json!(row.program),
        json!(row.team),
        json!(row.pool),
        json!(row.account),
        json!(row.kind),
        json!(row.priority),
        json!(row.vm),
        json!(row.seq),
        json!(row.budget),
        json!(row.spent),
        json!(state),
        json!(detail),
        json!(row.for_ms),
    ]
}

/// Returns the values of the columns `state` and `detail` for a program.
pub(super) fn state(activity: &Activity) -> (&'static str, String) {
    match activity {
        Activity::Running { endpoint, tokens, slow } => {
            let suffix = if *slow { ", slow" } else { "" };
            ("running", format!("{endpoint}, {tokens} tokens{suffix}"))
        }
        Activity::Queue { pool, ahead, open } => {
            ("queued", format!("{pool}, {ahead} ahead, {open} endpoints open"))
        }
        Activity::Durability { platform_up } => {
            let state = if *platform_up { "answers" } else { "is unreachable" };
            ("durability", format!("the key-value service {state}"))
        }
        Activity::Budget { account } => ("budget", account.to_string()),
        Activity::Caller => ("caller", "no call is in progress".to_owned()),
        Activity::Ended { ending } => ("ended", format!("{ending:?}").to_lowercase()),
    }
}

async fn endpoints(app: &App) -> Result<PartialTable, Error> {
    let config = app.config().await?;
    let cluster_status = app.gather(&Query { programs: false, endpoints: true }).await;
    let mut table = Table::new(&[
        "endpoint", "kind", "pool", "dc", "vm", "slots", "memory", "draining", "open", "slowdown",
        "calls",
    ]);
    let rows: Vec<_> =
        cluster_status.statuses.iter().flat_map(|status| &status.endpoints).collect();
    for (name, endpoint) in &config.endpoints {
        let reported: Vec<_> = rows.iter().filter(|row| row.endpoint == *name).collect();
        let open = reported.iter().filter(|row| row.open).count();
        let slowdown = reported.iter().map(|row| row.slowdown).fold(1.0, f64::max);
        let calls: u32 = reported.iter().map(|row| row.calls).sum();
        table.push(vec![
            json!(name),
            json!(endpoint.kind),
            json!(endpoint.pool),
            json!(endpoint.dc),
            json!(endpoint.vm),
            json!(endpoint.slots),
            json!(endpoint.memory),
            json!(endpoint.draining),
            json!(format!("{open} of {}", reported.len())),
            json!((slowdown * 10.0).round() / 10.0),
            json!(calls),
        ]);
    }
    Ok((table, cluster_status.unresponsive))
}

async fn daemons(app: &App) -> PartialTable {
    let cluster_status = app.gather(&Query::default()).await;
    let mut table = Table::new(&[
        "daemon", "dc", "version", "logs", "programs", "waiting", "stopping", "platform",
    ]);
    for status in &cluster_status.statuses {
        let daemon = &status.daemon;
        table.push(vec![
            json!(daemon.vm),
            json!(daemon.dc),
            json!(daemon.version),
            json!(daemon.logs.len()),
            json!(daemon.programs),
            json!(daemon.waiting),
            json!(daemon.stopping),
            json!(if daemon.platform_up { "up" } else { "down" }),
        ]);
    }
    (table, cluster_status.unresponsive)
}

fn pools(config: &Config) -> Table {
    let mut table = Table::new(&[
        "pool",
        "model",
        "endpoints",
        "max_steps",
        "max_wall_s",
        "idle_s",
        "max_queue",
        "call_s",
    ]);
    for (name, pool) in &config.pools {
        let endpoints = config.endpoints.values().filter(|endpoint| endpoint.pool == *name);
        table.push(vec![
            json!(name),
            json!(pool.model),
            json!(endpoints.count()),
            json!(pool.max_steps),
            json!(pool.max_wall_s),
            json!(pool.idle_s),
            json!(pool.max_queue),
            json!(pool.call_s),
        ]);
    }
    table
}

fn teams(config: &Config) -> Table {
    let mut table = Table::new(&["team", "share", "max_programs"]);
    for (name, team) in &config.teams {
        table.push(vec![json!(name), json!(team.share), json!(team.max_programs)]);
    }
    table
}

async fn budgets(app: &App) -> Result<Table, Error> {
    let config = app.config().await?;
    let mut table = Table::new(&["budget", "team", "limit", "granted", "logs"]);
    for (name, budget) in &config.budgets {
        let entry = app.kv.get(&keys::ledger(name)).await;
        let entry = entry.map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
        let ledger: Ledger =
            entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()).unwrap_or_default();
        table.push(vec![
            json!(name),
            json!(budget.team),
            json!(budget.limit),
            json!(ledger.total_granted()),
            json!(ledger.logs.len()),
        ]);
    }
    Ok(table)
}

async fn audit(app: &App) -> Result<Table, Error> {
    let version = app.config().await?.version;
    let changes = changes::read_recent(&app.kv, version, MAX_AUDIT_CHANGES).await;
    let changes = changes.map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
    let mut table = Table::new(&["version", "at_ms", "who", "why", "object", "name", "from", "to"]);
    for change in changes.iter().rev() {
        for action in &change.actions {
            let (object, name, from, to) = audit_cells(action);
            table.push(vec![
                json!(change.version),
                json!(change.at_ms),
                json!(change.who),
                json!(change.why),
                json!(object),
                json!(name),
                from,
                to,
            ]);
        }
    }
    Ok(table)
}

/// Values of the columns `object`, `name`, `from` and `to` in the table `audit`.
type AuditCells<'a> = (&'static str, &'a str, Value, Value);

fn audit_cells(action: &Action) -> AuditCells<'_> {
    match action {
        Action::Team(edit) => edit_cells("team", edit),
        Action::Budget(edit) => edit_cells("budget", edit),
        Action::Pool(edit) => edit_cells("pool", edit),
        Action::Endpoint(edit) => edit_cells("endpoint", edit),
        Action::Program { name, act } => ("program", name, Value::Null, json!(act)),
    }
}

fn edit_cells<'a, T: Serialize>(object: &'static str, edit: &'a Edit<T>) -> AuditCells<'a> {
    let cell = |value: &Option<T>| serde_json::to_value(value).unwrap_or_default();
    (object, &edit.name, cell(&edit.from), cell(&edit.to))
}
