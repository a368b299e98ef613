//! `catkinctl`, the command-line client of the administration API.
//!
//! * [`cli`] defines the options and exit codes;
//! * [`daemon`] sends commands to the administration API of a daemon;
//! * [`ops`] contains one module for each mode of operation.

pub mod cli;
pub mod daemon;
pub mod ops;
