//! Identifiers and counts.

use compact_str::{CompactString, format_compact};

/// Name of a budget account shared by many programs.
pub type AccountId = CompactString;
/// Name that a caller gives one of its calls; unique within a program.
pub type CallId = CompactString;
/// Name of a data centre.
pub type DcId = CompactString;
/// Name of a model engine or plain service.
pub type EndpointId = CompactString;
/// Number of a takeover of a log; rises with each new owner.
pub type Epoch = u64;
/// Number of a log.
pub type LogId = u16;
/// Number of a part of a prompt.
pub type PartId = u64;
/// Name of a pool of endpoints.
pub type PoolId = CompactString;
/// Name of a program: its log's number, a hyphen, and a number unique within the log.
pub type ProgramId = CompactString;
/// Name of one attempt of a client's request.
pub type RequestId = CompactString;
/// Number of an answer's run; a run that starts from the beginning gets another number.
pub type Run = u64;
/// Position of a call in its program, from 1.
pub type Seq = u32;
/// Name of a service: endpoints that do the same work behind routes.
pub type ServiceId = CompactString;
/// Name of a team.
pub type TeamId = CompactString;
/// Count of generated tokens.
pub type Tokens = u64;
/// Number of a configuration change, from 1.
pub type Version = u64;
/// Name of a VM.
pub type VmId = CompactString;

/// Builds the id of the `number`th program of `log`.
pub fn program(log: LogId, number: u64) -> ProgramId {
    format_compact!("{log}-{number}")
}

/// Returns the log that a program id names, or `None` when the id is malformed.
pub fn log_of(program: &str) -> Option<LogId> {
    let (log, number) = program.split_once('-')?;
    number.parse::<u64>().ok()?;
    log.parse().ok()
}
