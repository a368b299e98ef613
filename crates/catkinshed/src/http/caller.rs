//! Callers' routes.
//!
//! Bodies are read up to the configured limit and parsed here, not by Rocket, so that every invalid
//! request is answered with a typed refusal and has no effect.

use super::App;
use super::answer::{self, ApiResponse};
use super::auth::Team;
use caller::api;
use compact_str::CompactString;
use gateway::inflight::Guard;
use peer::wire::{Operation, Position, Principal, Reply};
use rocket::data::{Data, ToByteUnit};
use rocket::response::stream::{Event, EventStream};
use rocket::{State, get, post, routes};
use sched::call::Call;
use sched::id::{CallId, LogId};
use sched::record::{Ending, Spec};
use sched::refusal::{Code, Refusal};
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum length of a name that a caller chooses, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of receipts in one request.
const MAX_RECEIPTS: usize = 64;

/// Returns the callers' routes.
pub fn routes() -> Vec<rocket::Route> {
    routes![create, call, attach, receipts, read, finish, cancel]
}

#[post("/v1/programs", data = "<body>")]
async fn create(app: &State<App>, team: Team, body: Data<'_>) -> Result<ApiResponse, ApiResponse> {
    let guard = app.inflight.track();
    let create: api::Create = parse_body(app, body).await?;
    check_name("key", create.key.as_deref().unwrap_or("-"))?;
    check_name("kind", &create.kind)?;
    let spec = Spec {
        team: team.0.clone(),
        pool: create.pool,
        account: create.account,
        budget: create.budget,
        kind: create.kind,
        priority: create.priority.clamp(-3, 3),
        parent: create.parent,
        key: create.key,
    };
    let log = choose_log(app, &spec)?;
    let mut replies = app.router.submit(team.into(), Operation::Create { log, spec });
    let response = match replies.recv().await {
        Some(Reply::Created(program)) => Ok(ApiResponse::json(&api::Created { program })),
        other => Err(error_response(other)),
    };
    drop(guard);
    response
}

/// Chooses the log of a new program: its parent's, else one by the hash of its key, else a random
/// one of those that this daemon owns, else a random one of all.
fn choose_log(app: &App, spec: &Spec) -> Result<LogId, Refusal> {
    if let Some(parent) = &spec.parent {
        let log = sched::id::log_of(parent);
        return log
            .ok_or_else(|| Refusal::not_run(Code::NotFound, "the parent program does not exist"));
    }
    let logs = app.settings.logs;
    if let Some(key) = &spec.key {
        let hash = sched::members::weight(&spec.team, key);
        return Ok((hash % u64::from(logs)) as LogId);
    }
    let table = app.router.routes.table();
    let owned = table.owners.iter().filter(|(_, owner)| owner.vm == app.settings.vm);
    let owned: Vec<LogId> = owned.map(|(log, _)| *log).collect();
    Ok(fastrand::choice(owned).unwrap_or_else(|| fastrand::u16(..logs)))
}

#[post("/v1/programs/<program>/calls?<run>&<offset>", data = "<body>")]
async fn call(
    app: &State<App>,
    team: Team,
    program: &str,
    run: Option<u64>,
    offset: Option<u64>,
    body: Data<'_>,
) -> Result<ApiResponse, ApiResponse> {
    let guard = app.inflight.track();
    let body: api::Call = parse_body(app, body).await?;
    check_name("call", &body.call)?;
    check_receipts(&body.receipts)?;
    let operation = Operation::Call {
        program: program.into(),
        call: Call { id: body.call, seq: body.seq, work: body.work },
        timeout: body.within_ms.map(Duration::from_millis),
        position: position(run, offset),
        receipts: body.receipts,
    };
    stream_replies(app.router.submit(team.into(), operation), guard).await
}

#[get("/v1/programs/<program>/calls/<call>?<run>&<offset>")]
async fn attach(
    app: &State<App>,
    team: Team,
    program: &str,
    call: &str,
    run: Option<u64>,
    offset: Option<u64>,
) -> Result<ApiResponse, ApiResponse> {
    let guard = app.inflight.track();
    let call = CallId::from(call);
    let operation =
        Operation::Attach { program: program.into(), call, position: position(run, offset) };
    stream_replies(app.router.submit(team.into(), operation), guard).await
}

#[post("/v1/programs/<program>/receipts", data = "<body>")]
async fn receipts(
    app: &State<App>,
    team: Team,
    program: &str,
    body: Data<'_>,
) -> Result<ApiResponse, ApiResponse> {
    let _guard = app.inflight.track();
    let api::Receipts { receipts } = parse_body(app, body).await?;
    check_receipts(&receipts)?;
    let operation = Operation::Restore { program: program.into(), receipts };
    match app.router.submit(team.into(), operation).recv().await {
        Some(Reply::Done) => Ok(ApiResponse::json(&serde_json::json!({ "durable": true }))),
        other => Err(error_response(other)),
    }
}

#[get("/v1/programs/<program>")]
async fn read(app: &State<App>, team: Team, program: &str) -> Result<ApiResponse, ApiResponse> {
    let _guard = app.inflight.track();
    let operation = Operation::Read { program: program.into() };
    match app.router.submit(team.into(), operation).recv().await {
        Some(Reply::Program(state)) => {
            Ok(ApiResponse::json(&api::History::new(program.into(), *state)))
        }
        other => Err(error_response(other)),
    }
}

#[post("/v1/programs/<program>/finish")]
async fn finish(app: &State<App>, team: Team, program: &str) -> Result<ApiResponse, ApiResponse> {
    end_program(app, team.into(), program, Ending::Finished).await
}

#[post("/v1/programs/<program>/cancel")]
async fn cancel(app: &State<App>, team: Team, program: &str) -> Result<ApiResponse, ApiResponse> {
    end_program(app, team.into(), program, Ending::Cancelled).await
}

async fn end_program(
    app: &App,
    principal: Principal,
    program: &str,
    ending: Ending,
) -> Result<ApiResponse, ApiResponse> {
    let _guard = app.inflight.track();
    let operation = Operation::End { program: program.into(), ending };
    match app.router.submit(principal, operation).recv().await {
        Some(Reply::Done) => Ok(ApiResponse::json(&serde_json::json!({ "ending": ending }))),
        other => Err(error_response(other)),
    }
}

/// Returns the response for a reply that is a refusal, unexpected or missing.
fn error_response(reply: Option<Reply>) -> ApiResponse {
    match reply {
        Some(Reply::Refused(refusal)) => refusal.into(),
        _ => answer::unexpected().into(),
    }
}

fn position(run: Option<u64>, offset: Option<u64>) -> Position {
    Position { run: run.unwrap_or_default(), offset: offset.unwrap_or_default() }
}

/// Streams the replies of a call; a refusal that comes first is sent as a JSON response instead.
///
/// Holds `guard` until the stream ends.
async fn stream_replies(
    mut replies: mpsc::Receiver<Reply>,
    guard: Guard,
) -> Result<ApiResponse, ApiResponse> {
    let first = replies.recv().await;
    let first = match first {
        Some(Reply::Refused(refusal)) => return Err(refusal.into()),
        Some(first) => {
            answer::to_event(first).ok_or_else(|| ApiResponse::from(answer::unexpected()))?
        }
        None => return Err(answer::unexpected().into()),
    };
    let events = event_stream(first, replies, guard);
    Ok(ApiResponse::Stream(EventStream::from(events)))
}

fn event_stream(
    first: api::Event,
    replies: mpsc::Receiver<Reply>,
    guard: Guard,
) -> std::pin::Pin<Box<dyn futures::Stream<Item = Event> + Send>> {
    let state = (Some(first), replies, guard);
    Box::pin(futures::stream::unfold(state, |(mut first, mut replies, guard)| async move {
        let event = match first.take() {
            Some(event) => event,
            None => answer::to_event(replies.recv().await?)?,
        };
        Some((Event::json(&event), (None, replies, guard)))
    }))
}

/// Reads a JSON body up to the configured limit and decodes it.
async fn parse_body<T: DeserializeOwned>(app: &App, body: Data<'_>) -> Result<T, Refusal> {
    let limit = app.settings.limits.max_body_bytes;
    let read = body.open(limit.bytes()).into_bytes().await;
    let bytes = read.map_err(|error| Refusal::not_run(Code::Malformed, error.to_string()))?;
    if !bytes.is_complete() {
        let message = format!("the body exceeds {limit} bytes");
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    let mut reader = serde_json::Deserializer::from_slice(&bytes);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let message = format!("key '{}': {}", error.path(), error.inner());
        Refusal::not_run(Code::Malformed, message)
    })
}

fn check_receipts(receipts: &[String]) -> Result<(), Refusal> {
    if receipts.len() <= MAX_RECEIPTS {
        return Ok(());
    }
    Err(Refusal::not_run(Code::TooLarge, "a request may carry at most 64 receipts"))
}

/// Rejects a name that is too long or contains a character that is not allowed.
fn check_name(field: &str, name: &str) -> Result<(), Refusal> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let prefix: CompactString = name.chars().take(20).collect();
    let message =
        format!("{field} '{prefix}' must have at most 128 characters of A-Z a-z 0-9 - _ .");
    Err(Refusal::not_run(Code::Malformed, message))
}
