//! Answers in JSON and as streams of server-sent events.

use caller::api;
use peer::wire::Reply;
use rocket::http::{ContentType, Status};
use rocket::response::stream::{Event, EventStream};
use rocket::response::{self, Responder};
use rocket::{Request, catch, catchers};
use sched::refusal::{Code, Refusal};
use serde::Serialize;
use std::pin::Pin;

/// Events of an answer.
pub type Events = EventStream<Pin<Box<dyn futures::Stream<Item = Event> + Send>>>;

/// An answer to a request.
pub enum Answer {
    /// A JSON body with its status.
    Json((Status, (ContentType, String))),
    /// A stream of events.
    Stream(Events),
}

impl<'r> Responder<'r, 'r> for Answer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Json(answer) => answer.respond_to(request),
            Self::Stream(events) => events.respond_to(request),
        }
    }
}

impl Answer {
    /// Answers with a JSON body.
    pub fn json(body: &impl Serialize) -> Self {
        Self::with_status(Status::Ok, body)
    }

    /// Answers with a refusal.
    pub fn refusal(refusal: &Refusal) -> Self {
        Self::with_status(Status::new(refusal.code.status()), refusal)
    }

    fn with_status(status: Status, body: &impl Serialize) -> Self {
        let text = serde_json::to_string(body).unwrap_or_default();
        Self::Json((status, (ContentType::JSON, text)))
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::refusal(&refusal)
    }
}

/// Turns a frame of an answer into an event; frames without one are left out.
pub fn event(reply: Reply) -> Option<api::Event> {
    match reply {
        Reply::Text { run, offset, text } => Some(api::Event::Text { run, offset, text }),
        Reply::Restart => Some(api::Event::Restart),
        Reply::Ended { outcome, receipt, queued } => {
            let queued_ms = queued.as_secs_f64() * 1e3;
            Some(api::Event::End(api::End { outcome, receipt, queued_ms }))
        }
        Reply::Refused(refusal) => Some(api::Event::Refused(refusal)),
        Reply::Created(_)
        | Reply::Program(_)
        | Reply::Done
        | Reply::NotOwner
        | Reply::Moved
        | Reply::Status(_)
        | Reply::Gateway(_) => None,
    }
}

/// Refuses a frame that does not fit the operation.
pub fn unexpected() -> Refusal {
    Refusal::unknown(Code::Internal, "the owner gave no answer")
}

#[catch(default)]
fn other(status: Status, _request: &Request<'_>) -> Answer {
    let code = match status.code {
        401 => Code::Unauthorized,
        404 => Code::NotFound,
        413 => Code::TooLarge,
        400..=499 => Code::Malformed,
        _ => Code::Internal,
    };
    let message = format!("the request cannot be served: {status}");
    let text = serde_json::to_string(&Refusal::not_run(code, message)).unwrap_or_default();
    Answer::Json((status, (ContentType::JSON, text)))
}

/// Answers for requests that no route takes.
pub fn catchers() -> Vec<rocket::Catcher> {
    catchers![other]
}
