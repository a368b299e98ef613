//! Commands: one module for each command of the command line, and one for the operators' language.

pub mod admin;
pub mod check;
pub mod run;
