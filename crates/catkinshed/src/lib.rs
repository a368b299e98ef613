//! The daemon on an entry VM.
//!
//! A daemon takes callers' requests, finds the owner of the program's log, and forwards them there
//! when that is another daemon. One control thread per daemon holds all state of the logs that the
//! daemon owns and takes every decision; tasks on the runtime carry traffic and report back with
//! events. The parts are:
//!
//! * [`settings`] reads and checks the settings files;
//! * [`router`] routes operations to owners and retries while owners change;
//! * [`control`] is the control thread;
//! * [`io`] talks to the platform, the endpoints and the peers;
//! * [`http`] is the callers' and operators' interface;
//! * [`daemon`] puts the parts together and stops them in order;
//! * [`logs`] writes log lines;
//! * [`ops`] holds one module for each command of the command line.

pub mod cli;
pub mod control;
pub mod daemon;
pub mod gather;
pub mod http;
pub mod io;
pub mod logs;
pub mod ops;
pub mod output;
pub mod receipt;
pub mod router;
pub mod routes;
pub mod settings;
