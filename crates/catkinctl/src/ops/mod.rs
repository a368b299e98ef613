//! Ways of giving commands.

pub mod command;
pub mod prompt;
pub mod script;
pub mod submit;
