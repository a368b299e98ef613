//! Clients of the back ends: model engines, and plain services and tools.

pub mod body;
pub mod engine;
pub mod service;
