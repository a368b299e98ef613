//! Operators' routes: one command in the operators' language at a time.
//!
//! Questions gather from all daemons and name those that did not answer. A change is written under
//! the next version, only if that is free; the operator who comes second is told the version in
//! force, and nothing of the command takes effect.

use super::App;
use super::answer::Answer;
use super::auth::Operator;
use crate::control::event::Event;
use crate::gather::{ClusterStatus, gather};
use crate::ops::admin::{self, Fault};
use operator::api::{Failure, Request, Response};
use operator::language;
use rocket::http::{ContentType, Status};
use rocket::serde::json::Json;
use rocket::{State, post, routes};
use tokio::sync::oneshot;

/// The operators' routes.
pub fn routes() -> Vec<rocket::Route> {
    routes![command]
}

#[post("/admin/v1/commands", data = "<request>")]
async fn command(app: &State<App>, operator: Operator, request: Json<Request>) -> Answer {
    let command = match language::parse(&request.command) {
        Ok(command) => command,
        Err(error) => return failure(Status::BadRequest, "syntax", error.to_string(), None),
    };
    match admin::run(app, &operator.0, command).await {
        Ok(response) => Answer::json(&response),
        Err(fault) => fault_answer(&fault),
    }
}

fn fault_answer(fault: &Fault) -> Answer {
    let message = fault.to_string();
    match fault {
        Fault::Edit(_) | Fault::Config(_) | Fault::Column(_) => {
            failure(Status::BadRequest, "invalid", message, None)
        }
        Fault::Conflict(current) => {
            failure(Status::Conflict, "version_conflict", message, Some(*current))
        }
        Fault::NotYet(current) => {
            failure(Status::ServiceUnavailable, "not_yet", message, Some(*current))
        }
        Fault::Missing(_) => failure(Status::NotFound, "not_found", message, None),
        Fault::Refused(refusal) => {
            let status = Status::new(refusal.code.status());
            failure(status, "refused", message, None)
        }
        Fault::Unknown(_) => failure(Status::BadGateway, "unknown", message, None),
        Fault::Stopping => failure(Status::ServiceUnavailable, "stopping", message, None),
    }
}

fn failure(status: Status, code: &str, message: String, current: Option<u64>) -> Answer {
    let body = Failure { code: code.into(), message, current };
    let text = serde_json::to_string(&body).unwrap_or_default();
    Answer::Json((status, (ContentType::JSON, text)))
}

impl App {
    /// The configuration in force here.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Stopping`] when the control thread has ended.
    pub async fn config(&self) -> Result<sched::config::Config, Fault> {
        let (sender, config) = oneshot::channel();
        self.events.send(Event::GetConfig(sender));
        config.await.map_err(|_| Fault::Stopping)
    }

    /// Asks all daemons.
    pub async fn gather(&self, query: &peer::wire::Query) -> ClusterStatus {
        gather(&self.router, query).await
    }

    /// Fills in which version is in force where.
    pub async fn with_versions(&self, response: Response) -> Response {
        let gathered = self.gather(&peer::wire::Query::default()).await;
        let versions = gathered.statuses.iter().map(|a| (a.daemon.vm.clone(), a.daemon.version));
        Response { in_force: versions.collect(), silent: gathered.unresponsive, ..response }
    }
}
