//! `catkinctl`: gives commands to the administration interface of any daemon.
//!
//! * [`cli`] holds the options and exit codes;
//! * [`daemon`] talks to the administration interface;
//! * [`ops`] holds one module for each way of giving commands.

pub mod cli;
pub mod daemon;
pub mod ops;
