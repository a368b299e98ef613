//! Identifiers and counters.

use compact_str::{CompactString, format_compact};

/// Name of a budget account shared by many programs.
pub type AccountId = CompactString;
/// Id that a caller chooses for a call; unique within a program.
pub type CallId = CompactString;
/// Name of a customer.
pub type CustomerId = CompactString;
/// Name of a data centre.
pub type DcId = CompactString;
/// Name of a model engine or plain service.
pub type EndpointId = CompactString;
/// Number of a takeover of a log; it increases with each takeover.
pub type Epoch = u64;
/// Number of a log.
pub type LogId = u16;
/// Id of a part of a prompt.
pub type PartId = u64;
/// Name of a pool of endpoints.
pub type PoolId = CompactString;
/// Id of a program: the number of its log, a hyphen, and a number unique within the log.
pub type ProgramId = CompactString;
/// Id of one attempt of a client's request.
pub type RequestId = CompactString;
/// Revision of a key's last modification, or of the key-value service; 0 for a key that does not
/// exist.
pub type Revision = u64;
/// Number of the run that generates an answer; generating it again from the beginning is a new run.
pub type Run = u64;
/// Position of a call in its program, from 1.
pub type Seq = u32;
/// Name of a service, a group of equivalent endpoints that routes send requests to.
pub type ServiceId = CompactString;
/// Version of the software of an endpoint, which has nothing to do with the weights of its model.
pub type SoftwareVersion = CompactString;
/// Name of a team.
pub type TeamId = CompactString;
/// Number of tokens.
pub type Tokens = u64;
/// Number of a configuration change, from 1.
pub type Version = u64;
/// Name of a VM.
pub type VmId = CompactString;

/// Returns the id of the `number`th program of `log`.
pub fn program(log: LogId, number: u64) -> ProgramId {
    format_compact!("{log}-{number}")
}

/// Returns the log that a program id refers to, or `None` if the id is malformed.
pub fn log_of(program: &str) -> Option<LogId> {
    let (log, number) = program.split_once('-')?;
    number.parse::<u64>().ok()?;
    log.parse().ok()
}
