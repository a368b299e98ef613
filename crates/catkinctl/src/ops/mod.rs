//! Modes of operation.

pub mod command;
pub mod config_check;
pub mod prompt;
pub mod script;
pub mod submit;
