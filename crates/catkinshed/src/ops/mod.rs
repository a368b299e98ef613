//! Commands: one module for each that an operator can give.

pub mod admin;
pub mod check;
pub mod run;
