//! Modes of operation.

pub mod command;
pub mod prompt;
pub mod script;
pub mod submit;
