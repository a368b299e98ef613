//! Callers' HTTP API: request and response bodies, and a client.

pub mod api;
pub mod client;
