//! The operators' language: its grammar, what it means, and how answers look.
//!
//! * [`language`] parses one command, and points at the column of an error;
//! * [`edit`] turns a changing command into an action on the configuration;
//! * [`table`] filters and shows answers;
//! * [`api`] is the JSON of the administration interface.

pub mod api;
pub mod edit;
pub mod language;
pub mod table;
