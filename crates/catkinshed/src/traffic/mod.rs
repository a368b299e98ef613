//! Tasks that carry traffic: platform calls, orders to endpoints, and watches.
//!
//! A task takes no decision about programs. It carries out one thing and reports the end with a
//! [`crate::control::event::Event`].

pub mod adopt;
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
pub mod vms;
pub mod watch;
