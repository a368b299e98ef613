//! Tasks that do the control thread's input and output: calls to the platform, requests to
//! endpoints, and watches of the key-value service.
//!
//! These tasks make no decisions about programs. Each does one operation or watch and reports the
//! result to the control thread with a [`crate::control::event::Event`].

pub mod backoff;
pub mod changes;
pub mod commit;
pub mod grants;
pub mod keys;
pub mod model;
pub mod segment;
pub mod service;
pub mod session;
pub mod snapshot;
pub mod sweep;
pub mod takeover;
pub mod vms;
pub mod watch;
