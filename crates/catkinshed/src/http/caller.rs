//! Callers' routes.
//!
//! Bodies are read up to the limit and parsed here, so that every wrong request gets a typed
//! refusal and changes nothing.

use super::App;
use super::answer::{self, Answer};
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

/// Longest name that a caller may give.
const MAX_NAME_BYTES: usize = 128;
/// Most receipts that one call may carry.
const MAX_RECEIPTS: usize = 64;

/// The callers' routes.
pub fn routes() -> Vec<rocket::Route> {
    routes![create, call, attach, receipts, read, finish, cancel]
}

#[post("/v1/programs", data = "<body>")]
async fn create(app: &State<App>, team: Team, body: Data<'_>) -> Result<Answer, Answer> {
    let flight = app.in_flight.track();
    let create: api::Create = parse(app, body).await?;
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
    let mut frames = app.router.submit(team.into(), Operation::Create { log, spec });
    let answer = match frames.recv().await {
        Some(Reply::Created(program)) => Ok(Answer::json(&api::Created { program })),
        other => Err(unfit(other)),
    };
    drop(flight);
    answer
}

/// Chooses the log of a new program: its parent's, one by its key, or one that is owned here.
fn choose_log(app: &App, spec: &Spec) -> Result<LogId, Refusal> {
    if let Some(parent) = &spec.parent {
        let log = sched::id::log_of(parent);
        return log.ok_or_else(|| Refusal::not_run(Code::NotFound, "there is no such parent"));
    }
    let logs = app.settings.logs;
    if let Some(key) = &spec.key {
        let hash = sched::members::weight(&spec.team, key);
        return Ok((hash % u64::from(logs)) as LogId);
    }
    let table = app.router.routes.table();
    let own = table.owners.iter().filter(|(_, owner)| owner.vm == app.settings.vm);
    let own: Vec<LogId> = own.map(|(log, _)| *log).collect();
    Ok(fastrand::choice(own).unwrap_or_else(|| fastrand::u16(..logs)))
}

#[post("/v1/programs/<program>/calls?<run>&<offset>", data = "<body>")]
async fn call(
    app: &State<App>,
    team: Team,
    program: &str,
    run: Option<u64>,
    offset: Option<u64>,
    body: Data<'_>,
) -> Result<Answer, Answer> {
    let flight = app.in_flight.track();
    let body: api::Call = parse(app, body).await?;
    check_name("call", &body.call)?;
    check_receipts(&body.receipts)?;
    let ask = Operation::Call {
        program: program.into(),
        call: Call { id: body.call, seq: body.seq, work: body.work },
        timeout: body.within_ms.map(Duration::from_millis),
        position: position(run, offset),
        receipts: body.receipts,
    };
    stream(app.router.submit(team.into(), ask), flight).await
}

#[get("/v1/programs/<program>/calls/<call>?<run>&<offset>")]
async fn attach(
    app: &State<App>,
    team: Team,
    program: &str,
    call: &str,
    run: Option<u64>,
    offset: Option<u64>,
) -> Result<Answer, Answer> {
    let flight = app.in_flight.track();
    let call = CallId::from(call);
    let ask = Operation::Attach { program: program.into(), call, position: position(run, offset) };
    stream(app.router.submit(team.into(), ask), flight).await
}

#[post("/v1/programs/<program>/receipts", data = "<body>")]
async fn receipts(
    app: &State<App>,
    team: Team,
    program: &str,
    body: Data<'_>,
) -> Result<Answer, Answer> {
    let _flight = app.in_flight.track();
    let api::Receipts { receipts } = parse(app, body).await?;
    check_receipts(&receipts)?;
    let ask = Operation::Restore { program: program.into(), receipts };
    match app.router.submit(team.into(), ask).recv().await {
        Some(Reply::Done) => Ok(Answer::json(&serde_json::json!({ "durable": true }))),
        other => Err(unfit(other)),
    }
}

#[get("/v1/programs/<program>")]
async fn read(app: &State<App>, team: Team, program: &str) -> Result<Answer, Answer> {
    let _flight = app.in_flight.track();
    let ask = Operation::Read { program: program.into() };
    match app.router.submit(team.into(), ask).recv().await {
        Some(Reply::Program(found)) => Ok(Answer::json(&api::History::new(program.into(), *found))),
        other => Err(unfit(other)),
    }
}

#[post("/v1/programs/<program>/finish")]
async fn finish(app: &State<App>, team: Team, program: &str) -> Result<Answer, Answer> {
    end(app, team.into(), program, Ending::Finished).await
}

#[post("/v1/programs/<program>/cancel")]
async fn cancel(app: &State<App>, team: Team, program: &str) -> Result<Answer, Answer> {
    end(app, team.into(), program, Ending::Cancelled).await
}

async fn end(app: &App, asker: Principal, program: &str, ending: Ending) -> Result<Answer, Answer> {
    let _flight = app.in_flight.track();
    let ask = Operation::End { program: program.into(), ending };
    match app.router.submit(asker, ask).recv().await {
        Some(Reply::Done) => Ok(Answer::json(&serde_json::json!({ "ending": ending }))),
        other => Err(unfit(other)),
    }
}

fn unfit(reply: Option<Reply>) -> Answer {
    match reply {
        Some(Reply::Refused(refusal)) => refusal.into(),
        _ => answer::unexpected().into(),
    }
}

fn position(run: Option<u64>, offset: Option<u64>) -> Position {
    Position { run: run.unwrap_or_default(), offset: offset.unwrap_or_default() }
}

/// Streams an answer; a refusal before the first text is given with its status instead.
async fn stream(mut frames: mpsc::Receiver<Reply>, flight: Guard) -> Result<Answer, Answer> {
    let first = frames.recv().await;
    let first = match first {
        Some(Reply::Refused(refusal)) => return Err(refusal.into()),
        Some(first) => answer::event(first).ok_or_else(|| Answer::from(answer::unexpected()))?,
        None => return Err(answer::unexpected().into()),
    };
    let events = async_stream(first, frames, flight);
    Ok(Answer::Stream(EventStream::from(events)))
}

fn async_stream(
    first: api::Event,
    frames: mpsc::Receiver<Reply>,
    flight: Guard,
) -> std::pin::Pin<Box<dyn futures::Stream<Item = Event> + Send>> {
    let state = (Some(first), frames, flight);
    Box::pin(futures::stream::unfold(state, |(mut first, mut frames, flight)| async move {
        let event = match first.take() {
            Some(event) => event,
            None => answer::event(frames.recv().await?)?,
        };
        Some((Event::json(&event), (None, frames, flight)))
    }))
}

async fn parse<T: DeserializeOwned>(app: &App, body: Data<'_>) -> Result<T, Refusal> {
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
    Err(Refusal::not_run(Code::TooLarge, "more than 64 receipts"))
}

fn check_name(what: &str, name: &str) -> Result<(), Refusal> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.len() <= MAX_NAME_BYTES && name.bytes().all(plain) {
        return Ok(());
    }
    let shown: CompactString = name.chars().take(20).collect();
    let message =
        format!("{what} '{shown}' must be at most 128 of the characters A-Z a-z 0-9 - _ .");
    Err(Refusal::not_run(Code::Malformed, message))
}
