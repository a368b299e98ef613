//! Fakes of the external systems, and a harness that runs daemons against them.
//!
//! Each fake implements the protocol of the system that it replaces, over HTTP on the loopback
//! interface. Tests inject faults through [`faults::Injector`].

pub mod check;
pub mod cluster;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod gateway_harness;
pub mod kv;
pub mod load;
pub mod net;
pub mod overload;
pub mod process;
pub mod program;
pub mod proxy;
pub mod script;
pub mod service;
pub mod soak;
pub mod vms;
