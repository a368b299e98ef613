//! Operators' route, which takes one command in the operators' language per request.
//!
//! A command that reads the state of the daemons queries all of them, and its response lists those
//! that did not answer.
//!
//! A command that changes the configuration writes its change under the next version. If another
//! change already has that version, the command fails without any effect, and the response contains
//! the current version.

use super::App;
use super::answer::ApiResponse;
use super::auth::Operator;
use crate::control::event::Event;
use crate::gather::{ClusterStatus, gather};
use crate::ops::admin::{self, Error};
use operator::api::{Failure, Request, Response};
use operator::language;
use rocket::http::{ContentType, Status};
use rocket::serde::json::Json;
use rocket::{State, post, routes};
use tokio::sync::oneshot;

/// Returns the operators' routes.
pub fn routes() -> Vec<rocket::Route> {
    routes![command]
}

#[post("/admin/v1/commands", data = "<request>")]
async fn command(app: &State<App>, operator: Operator, request: Json<Request>) -> ApiResponse {
    let command = match language::parse(&request.command) {
        Ok(command) => command,
        Err(error) => {
            return failure_response(Status::BadRequest, "syntax", error.to_string(), None);
        }
    };
    match admin::run(app, &operator.0, command).await {
        Ok(response) => ApiResponse::json(&response),
        Err(error) => error_response(&error),
    }
}

fn error_response(error: &Error) -> ApiResponse {
    let message = error.to_string();
    match error {
        Error::Edit(_) | Error::Config(_) | Error::Column(_) => {
            failure_response(Status::BadRequest, "invalid", message, None)
        }
        Error::Conflict(current) => {
            failure_response(Status::Conflict, "version_conflict", message, Some(*current))
        }
        Error::NotYet(current) => {
            failure_response(Status::ServiceUnavailable, "not_yet", message, Some(*current))
        }
        Error::NoSuchProgram(_) => failure_response(Status::NotFound, "not_found", message, None),
        Error::Refused(refusal) => {
            let status = Status::new(refusal.code.status());
            failure_response(status, "refused", message, None)
        }
        Error::OutcomeUnknown(_) => failure_response(Status::BadGateway, "unknown", message, None),
        Error::Stopping => failure_response(Status::ServiceUnavailable, "stopping", message, None),
    }
}

fn failure_response(
    status: Status,
    code: &str,
    message: String,
    current: Option<u64>,
) -> ApiResponse {
    let body = Failure { code: code.into(), message, current };
    let text = serde_json::to_string(&body).unwrap_or_default();
    ApiResponse::Json((status, (ContentType::JSON, text)))
}

impl App {
    /// Returns the configuration in effect at this daemon.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stopping`] when the control thread has ended.
    pub async fn config(&self) -> Result<sched::config::Config, Error> {
        let (sender, config) = oneshot::channel();
        self.events.send(Event::GetConfig(sender));
        config.await.map_err(|_| Error::Stopping)
    }

    /// Sends a query to all daemons and collects their answers.
    pub async fn gather(&self, query: &peer::wire::Query) -> ClusterStatus {
        gather(&self.router, query).await
    }

    /// Adds to a response the configuration version in effect at each daemon, and the daemons that
    /// did not answer.
    pub async fn with_versions(&self, response: Response) -> Response {
        let cluster_status = self.gather(&peer::wire::Query::default()).await;
        let versions = cluster_status
            .statuses
            .iter()
            .map(|status| (status.daemon.vm.clone(), status.daemon.version));
        Response { in_force: versions.collect(), silent: cluster_status.unresponsive, ..response }
    }
}
