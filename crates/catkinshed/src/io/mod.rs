//! Tasks that carry traffic: platform calls, orders to endpoints, and watches.
//!
//! A task takes no decision about programs. It carries out one thing and reports the end with a
//! [`crate::control::event::Event`].

pub mod backoff;
pub mod changes;
pub mod commit;
pub mod completion;
pub mod grants;
pub mod keys;
pub mod pins;
pub mod segment;
pub mod service;
pub mod session;
pub mod snapshot;
pub mod takeover;
pub mod vms;
pub mod watch;
