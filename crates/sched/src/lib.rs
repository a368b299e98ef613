//! Decisions of the scheduler, free of input and output.
//!
//! Every function that depends on the present takes it as an argument, so a test can drive any
//! schedule. The daemon feeds these types with events and carries out what they decide:
//!
//! * [`log`] is the replicated-by-replay state of the programs that live in one log;
//! * [`config`] is the operators' configuration, replayed from its numbered changes;
//! * [`grant`] is the account ledger that several logs draw from;
//! * [`queue`], [`place`], [`predict`] and [`health`] choose which call runs next, and where;
//! * [`route`], [`request`], [`fleet`], [`prefix`], [`coordinator`], [`admission`],
//!   [`retry`], [`spend`] and [`term`] serve requests that are routed by host and path;
//! * [`members`] assigns logs and endpoints to live daemons.

pub mod admission;
pub mod attempt;
pub mod call;
pub mod config;
pub mod coordinator;
pub mod fleet;
pub mod grant;
pub mod health;
pub mod id;
pub mod log;
pub mod members;
pub mod place;
pub mod predict;
pub mod prefix;
pub mod program;
pub mod queue;
pub mod record;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod route;
pub mod spend;
pub mod term;
