//! Clients of the back ends: model engines and plain services.

pub mod engine;
pub mod service;
