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

/// Why a command was not carried out; nothing was changed.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The change does not fit its object.
    #[error(transparent)]
    Edit(#[from] edit::Error),
    /// The change does not fit the configuration.
    #[error(transparent)]
    Config(#[from] config::Error),
    /// A condition names an unknown column.
    #[error(transparent)]
    Column(#[from] table::Error),
    /// Another change came first.
    #[error("version {0} is in force already; read it, and give the command again")]
    Conflict(Version),
    /// The version that the command was written for is not in force here yet.
    #[error("version {0} is in force here, and the command is for a later one")]
    NotYet(Version),
    /// There is no such program.
    #[error("no daemon knows program {0}")]
    Missing(compact_str::CompactString),
    /// The program's owner refused.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// The fate of the change is not known.
    #[error("{0}; 'show audit' tells whether the change was made")]
    Unknown(String),
    /// This daemon is stopping.
    #[error("this daemon is stopping; ask another")]
    Stopping,
}

/// Carries out a command for an operator.
///
/// # Errors
///
/// Returns a [`Fault`] when nothing was changed.
pub async fn run(app: &App, who: &str, command: Command) -> Result<Response, Fault> {
    match &command.verb {
        Verb::Show { table, filter, limit } => show::run(app, *table, filter, *limit).await,
        Verb::Explain(program) => explain::run(app, program).await,
        Verb::Cancel(program) => {
            let ask = Operation::End { program: program.clone(), ending: Ending::Cancelled };
            act(app, who, &command, program, ask, "cancel").await
        }
        Verb::Prioritise(program, priority) => {
            let ask = Operation::Prioritise { program: program.clone(), priority: *priority };
            act(app, who, &command, program, ask, &format!("priority {priority}")).await
        }
        Verb::Create(..) | Verb::Set(..) | Verb::Drop(..) | Verb::Drain(..) => {
            change::run(app, who, &command).await
        }
    }
}

/// Writes an act on a program to the audit trail, and has the program's owner carry it out.
async fn act(
    app: &App,
    who: &str,
    command: &Command,
    program: &ProgramId,
    ask: Operation,
    act: &str,
) -> Result<Response, Fault> {
    known(app, program).await?;
    if command.dry_run {
        return Ok(message(format!("would be done to program {program}: {act}")));
    }
    let action = Action::Program { name: program.clone(), act: act.into() };
    let version = change::audit(app, who, command, action).await?;
    match app.router.submit(Principal::Operator(who.into()), ask).recv().await {
        Some(Reply::Done) => {
            let text = format!("done to program {program}: {act}");
            Ok(Response { version: Some(version), ..message(text) })
        }
        Some(Reply::Refused(refusal)) => Err(Fault::Refused(refusal)),
        _ => Err(Fault::Unknown("the program's owner gave no answer".to_owned())),
    }
}

/// Checks that a program exists.
async fn known(app: &App, program: &ProgramId) -> Result<(), Fault> {
    let ask = Operation::Read { program: program.clone() };
    match app.router.submit(Principal::Operator("-".into()), ask).recv().await {
        Some(Reply::Program(_)) => Ok(()),
        Some(Reply::Refused(refusal)) if refusal.code == Code::NotFound => {
            Err(Fault::Missing(program.clone()))
        }
        Some(Reply::Refused(refusal)) => Err(Fault::Refused(refusal)),
        _ => Err(Fault::Unknown("the program's owner gave no answer".to_owned())),
    }
}

fn message(text: String) -> Response {
    Response { message: Some(text), ..Response::default() }
}
