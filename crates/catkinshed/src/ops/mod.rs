//! Commands of the command line.

pub mod check;
pub mod run;
