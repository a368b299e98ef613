//! The scheduler daemon.
//!
//! A daemon accepts requests from callers and forwards each one to the daemon that owns the
//! program's log. Each daemon has one control thread, which holds all state of the logs that the
//! daemon owns and makes every decision. Tasks on the Tokio runtime do the I/O and report to the
//! control thread with events.
//!
//! * [`cli`] parses the command line, and [`ops`] has one module for each of its commands;
//! * [`settings`] reads and validates the settings files;
//! * [`daemon`] starts the parts of a daemon and stops them gracefully;
//! * [`http`] is the HTTP interface for callers and operators;
//! * [`router`] routes operations to owners and retries while owners change, with the owners and
//!   members from [`routes`];
//! * [`gather`] queries all daemons;
//! * [`control`] is the control thread;
//! * [`output`] buffers the text of a running call, and [`receipt`] signs turns that are not durable;
//! * [`traffic`] communicates with the platform, the endpoints and the peers;
//! * [`logs`] configures logging.

pub mod cli;
pub mod control;
pub mod daemon;
pub mod gather;
pub mod http;
pub mod logs;
pub mod ops;
pub mod output;
pub mod receipt;
pub mod router;
pub mod routes;
pub mod settings;
pub mod traffic;
