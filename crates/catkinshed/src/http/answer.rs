//! HTTP responses in JSON and as streams of server-sent events.

use caller::api;
use peer::wire::Reply;
use rocket::http::{ContentType, Status};
use rocket::response::stream::{Event, EventStream};
use rocket::response::{self, Responder};
use rocket::{Request, catch, catchers};
use sched::refusal::{Code, Refusal};
use serde::Serialize;
use std::pin::Pin;

/// Body that streams server-sent events.
pub type SseStream = EventStream<Pin<Box<dyn futures::Stream<Item = Event> + Send>>>;

/// Response to a caller's or an operator's request.
pub enum ApiResponse {
    /// Status and JSON body.
    Json((Status, (ContentType, String))),
    /// Stream of server-sent events.
    Stream(SseStream),
}

impl<'r> Responder<'r, 'r> for ApiResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Json(body) => body.respond_to(request),
            Self::Stream(events) => events.respond_to(request),
        }
    }
}

impl ApiResponse {
    /// Creates a response with status 200 and a JSON body.
    pub fn json(body: &impl Serialize) -> Self {
        Self::with_status(Status::Ok, body)
    }

    /// Creates a response with a refusal as JSON body and the status of its code.
    pub fn refusal(refusal: &Refusal) -> Self {
        Self::with_status(Status::new(refusal.code.status()), refusal)
    }

    fn with_status(status: Status, body: &impl Serialize) -> Self {
        let text = serde_json::to_string(body).unwrap_or_default();
        Self::Json((status, (ContentType::JSON, text)))
    }
}

impl From<Refusal> for ApiResponse {
    fn from(refusal: Refusal) -> Self {
        Self::refusal(&refusal)
    }
}

/// Converts a reply to an event of a call's stream, or returns `None` if the reply is not part of
/// one.
pub fn to_event(reply: Reply) -> Option<api::Event> {
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

/// Returns the refusal for a reply that does not match the operation or that is missing.
pub fn unexpected() -> Refusal {
    Refusal::unknown(Code::Internal, "the owner of the program did not answer")
}

#[catch(default)]
fn default_catcher(status: Status, _request: &Request<'_>) -> ApiResponse {
    let code = match status.code {
        401 => Code::Unauthorized,
        404 => Code::NotFound,
        413 => Code::TooLarge,
        400..=499 => Code::Malformed,
        _ => Code::Internal,
    };
    let message = format!("the request failed: {status}");
    let text = serde_json::to_string(&Refusal::not_run(code, message)).unwrap_or_default();
    ApiResponse::Json((status, (ContentType::JSON, text)))
}

/// Returns the catchers, which answer failed requests, such as those without a route, with a
/// refusal.
pub fn catchers() -> Vec<rocket::Catcher> {
    catchers![default_catcher]
}
