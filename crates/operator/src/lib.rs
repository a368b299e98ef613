//! The operators' command language and the JSON bodies of the administration API.
//!
//! * [`language`] parses a command and reports the column of a syntax error;
//! * [`edit`] converts a configuration command into an action on the configuration;
//! * [`table`] filters and formats the rows of a response;
//! * [`api`] defines the request and response bodies of the administration API.

pub mod api;
pub mod edit;
pub mod language;
pub mod table;
