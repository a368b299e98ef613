//! Authentication of callers and operators by bearer token.

use super::App;
use compact_str::CompactString;
use peer::wire::Principal;
use rocket::Request;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use sched::id::TeamId;

/// Team of the caller, as identified by the request's token.
pub struct Team(pub TeamId);

/// Name of the operator, as identified by the request's token.
pub struct Operator(pub CompactString);

impl From<Team> for Principal {
    fn from(team: Team) -> Self {
        Self::Team(team.0)
    }
}

fn bearer_token<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    request.headers().get_one("Authorization")?.strip_prefix("Bearer ")
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Team {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let app = request.rocket().state::<App>();
        let teams = app.map(|app| &app.settings.keys.teams);
        let team = teams.zip(bearer_token(request)).and_then(|(teams, token)| teams.get(token));
        match team {
            Some(team) => Outcome::Success(Self(team.clone())),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let app = request.rocket().state::<App>();
        let operators = app.map(|app| &app.settings.keys.operators);
        let name = operators
            .zip(bearer_token(request))
            .and_then(|(operators, token)| operators.get(token));
        match name {
            Some(name) => Outcome::Success(Self(name.clone())),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
