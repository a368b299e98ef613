//! Scheduling decisions without I/O.
//!
//! Functions that depend on the current time or on random numbers take them as arguments, so tests
//! can reproduce any schedule. The daemons pass events to these types and carry out the decisions:
//!
//! * [`log`] is the state of the programs of one log, rebuilt by replaying the log;
//! * [`config`] is the operators' configuration, rebuilt by replaying its numbered changes;
//! * [`grant`] is the ledger of an account that several logs draw tokens from;
//! * [`queue`], [`place`], [`predict`] and [`health`] select which call runs next, and at which
//!   endpoint;
//! * [`route`], [`request`], [`attempt`], [`fleet`], [`prefix`], [`coordinator`], [`admission`],
//!   [`fair`], [`limit`], [`pace`], [`origin`], [`versions`], [`retry`], [`spend`] and [`term`] handle requests that are
//!   routed by host and path;
//! * [`customer`] knows customers by their keys, and [`quota`] deals their quotas over all daemons;
//! * [`quarantine`] finds the requests that crash the endpoints that run them;
//! * [`reach`] tells a broken path from an endpoint that is gone;
//! * [`locality`] decides when a request leaves its data centre;
//! * [`members`] assigns logs and endpoints to live daemons;
//! * [`review`] finds what a configuration cannot mean, and what it changes;
//! * [`holding`] bounds the memory that requests' bodies hold;
//! * [`freshness`] tells how current a daemon's view is.

pub mod admission;
pub mod attempt;
pub mod call;
pub mod config;
pub mod coordinator;
pub mod customer;
pub mod fair;
pub mod fleet;
pub mod freshness;
pub mod grant;
pub mod health;
pub mod holding;
pub mod id;
pub mod limit;
pub mod locality;
pub mod log;
pub mod members;
pub mod origin;
pub mod pace;
pub mod place;
pub mod predict;
pub mod prefix;
pub mod program;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod record;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod review;
pub mod route;
pub mod spend;
pub mod term;
pub mod versions;
