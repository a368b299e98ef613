//! The callers' interface: JSON bodies, and a client that programs and tests use.

pub mod api;
pub mod client;
