//! Commands of the operators' language.

mod change;
mod explain;
mod show;

use crate::http::App;
use operator::api::Response;
use operator::language::{Command, Verb};
use operator::{edit, table};
use peer::wire::{Operation, Principal, Reply};
use sched::config::{self, Action};
use sched::id::{ProgramId, Version};
use sched::record::Ending;
use sched::refusal::{Code, Refusal};

/// Why a command failed. Nothing was changed unless the variant says otherwise.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The change is invalid for its object.
    #[error(transparent)]
    Edit(#[from] edit::Error),
    /// The change is invalid in the current configuration.
    #[error(transparent)]
    Config(#[from] config::Error),
    /// A condition refers to an unknown column.
    #[error(transparent)]
    Column(#[from] table::Error),
    /// Another change came first: the configuration is at a later version than the command
    /// requires, or the command's own version is taken. Carries the later version.
    #[error("version {0} is in force already; read it, and give the command again")]
    Conflict(Version),
    /// The command requires a later version than the one in effect at this daemon.
    #[error("version {0} is in force at this daemon, but the command requires a later one")]
    NotYet(Version),
    /// No daemon has the program.
    #[error("no daemon knows program {0}")]
    NoSuchProgram(compact_str::CompactString),
    /// The program's owner refused the command, possibly after it was recorded in the audit trail.
    #[error("the owner of the program refused the command: {0}")]
    Refused(Refusal),
    /// It is unknown whether the command took effect.
    #[error("{0}; use 'show audit' to see whether the change was made")]
    OutcomeUnknown(String),
    /// This daemon is stopping.
    #[error("this daemon is stopping; send the command to another daemon")]
    Stopping,
}

/// Runs a command on behalf of an operator.
///
/// # Errors
///
/// Returns an [`Error`] when the command failed or its outcome is unknown.
pub async fn run(app: &App, operator_name: &str, command: Command) -> Result<Response, Error> {
    match &command.verb {
        Verb::Show { table, filter, limit } => show::run(app, *table, filter, *limit).await,
        Verb::Explain(program) => explain::run(app, program).await,
        Verb::Cancel(program) => {
            let operation = Operation::End { program: program.clone(), ending: Ending::Cancelled };
            run_on_program(app, operator_name, &command, program, operation, "cancel").await
        }
        Verb::Prioritise(program, priority) => {
            let operation = Operation::Prioritise { program: program.clone(), priority: *priority };
            run_on_program(
                app,
                operator_name,
                &command,
                program,
                operation,
                &format!("priority {priority}"),
            )
            .await
        }
        Verb::Create(..) | Verb::Set(..) | Verb::Drop(..) | Verb::Drain(..) => {
            change::run(app, operator_name, &command).await
        }
    }
}

/// Records an operation on a program in the audit trail, then sends it to the program's owner.
async fn run_on_program(
    app: &App,
    operator_name: &str,
    command: &Command,
    program: &ProgramId,
    operation: Operation,
    description: &str,
) -> Result<Response, Error> {
    ensure_program_exists(app, program).await?;
    if command.dry_run {
        return Ok(message_response(format!("would be done to program {program}: {description}")));
    }
    let action = Action::Program { name: program.clone(), act: description.into() };
    let version = change::audit(app, operator_name, command, action).await?;
    match app.router.submit(Principal::Operator(operator_name.into()), operation).recv().await {
        Some(Reply::Done) => {
            let text = format!("done to program {program}: {description}");
            Ok(Response { version: Some(version), ..message_response(text) })
        }
        Some(Reply::Refused(refusal)) => Err(Error::Refused(refusal)),
        _ => Err(Error::OutcomeUnknown("the owner of the program did not answer".to_owned())),
    }
}

/// Returns an error unless a daemon has the program.
async fn ensure_program_exists(app: &App, program: &ProgramId) -> Result<(), Error> {
    let operation = Operation::Read { program: program.clone() };
    match app.router.submit(Principal::Operator("-".into()), operation).recv().await {
        Some(Reply::Program(_)) => Ok(()),
        Some(Reply::Refused(refusal)) if refusal.code == Code::NotFound => {
            Err(Error::NoSuchProgram(program.clone()))
        }
        Some(Reply::Refused(refusal)) => Err(Error::Refused(refusal)),
        _ => Err(Error::OutcomeUnknown("the owner of the program did not answer".to_owned())),
    }
}

fn message_response(text: String) -> Response {
    Response { message: Some(text), ..Response::default() }
}
