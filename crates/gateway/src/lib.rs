//! The gateway: routes clients' requests to endpoints.
//!
//! A gateway daemon takes HTTP requests from clients, selects a route by host and path and a service
//! by the route, and forwards each request to one endpoint of the service. The decisions are those
//! of `sched`; this package carries them out:
//!
//! * [`ingress`] takes clients' connections and turns requests into answers;
//! * [`forward`] drives one request through its tries, [`relay`] passes a stream on and resumes it;
//! * [`upstream`] holds the connections to endpoints;
//! * [`view`] is what the daemon believes of the configuration, the endpoints and its peers;
//! * [`view_sync`] keeps the view up to date from the key-value service, and from peers when the
//!   service turns this daemon away;
//! * [`budgets`] reserves tokens of programs' budgets, [`owner`] decides on them, [`records`] keeps what
//!   of them must last, [`draws`] makes many changes of it in one call;
//! * [`coordinators`] books engines, so that daemons do not crowd some while others have room;
//! * [`retire`] answers requests to empty a storage VM;
//! * [`probes`] answers readiness and metrics, which [`recorder`] keeps, [`signals`] takes the
//!   platform's signals, [`daemon`] starts and stops the parts.
//!
//! One thread runs the control tasks, another the traffic; they share the view and the ledgers
//! behind locks that are held for a decision only.

pub mod answer;
pub mod budgets;
pub mod coordinators;
pub mod daemon;
pub mod draws;
pub mod forward;
pub mod inflight;
pub mod ingress;
pub mod members;
pub mod owner;
pub mod peers;
pub mod probes;
pub mod recorder;
pub mod records;
pub mod relay;
pub mod retire;
pub mod settings;
pub mod signals;
pub mod storage;
pub mod terms;
pub mod upstream;
pub mod view;
pub mod view_sync;
