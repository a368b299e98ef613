//! The gateway: routes clients' requests to endpoints.
//!
//! A gateway daemon accepts HTTP requests from clients, selects a route by host and path, selects
//! one of the route's services, and forwards each request to one endpoint of that service. The
//! decisions are made by the logic in `sched`; this package carries them out:
//!
//! * [`ingress`] accepts clients' connections and handles their requests;
//! * [`forward`] sends one request to endpoints and retries it, [`relay`] forwards a stream and
//!   resumes it, [`answer`] builds the responses that come from no endpoint;
//! * [`upstream`] pools the connections to endpoints, and [`paths`] makes them, through another daemon
//!   where this one is cut off;
//! * [`view`] holds the configuration, the endpoints and the peers as known to this daemon, and
//!   [`members`] selects the peers to ask;
//! * [`view_sync`] keeps the view up to date from the key-value service, or from peers when the
//!   service rejects this daemon's calls; [`peers`] answers the peers' requests;
//! * [`budgets`] reserves tokens of programs' budgets, [`owner`] decides on reservations, [`records`]
//!   stores their durable part, [`draws`] batches changes to it into one call, and [`terms`] opens
//!   the terms that determine the allocators;
//! * [`coordinators`] books endpoints, so that the daemons together spread the load evenly;
//! * [`quarantine`] refuses requests that crash the endpoints that run them;
//! * [`customers`] identifies the customers of requests and deals their quotas;
//! * [`origins`] records which software versions began streams, and [`versions`] announces which
//!   versions serve;
//! * [`retire`] answers requests to retire a storage VM;
//! * [`daemon`] starts and stops a gateway, [`settings`] defines its settings, [`inflight`] counts
//!   connections that a shutdown waits for, and [`signals`] handles the platform's signals;
//! * [`probes`] serves readiness and metrics, which [`recorder`] collects;
//! * [`storage`] is the storage daemon.
//!
//! One thread runs the control tasks, another serves the traffic. They share the view and the
//! ledgers behind locks that are held only while a decision is made.

pub mod answer;
pub mod budgets;
pub mod coordinators;
pub mod customers;
pub mod daemon;
pub mod draws;
pub mod forward;
pub mod inflight;
pub mod ingress;
pub mod members;
pub mod origins;
pub mod owner;
pub mod paths;
pub mod peers;
pub mod probes;
pub mod quarantine;
pub mod recorder;
pub mod records;
pub mod relay;
pub mod retire;
pub mod settings;
pub mod signals;
pub mod storage;
pub mod terms;
pub mod upstream;
pub mod versions;
pub mod view;
pub mod view_sync;
