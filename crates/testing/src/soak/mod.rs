//! Fault soak: runs gateway daemons as processes under overlapping faults and checks the gateway's
//! guarantees against what clients and endpoints observed.
//!
//! [`testbed`] starts daemons, endpoints and the fake key-value service with a proxy on every link.
//! [`faults`] generates a schedule from a seed and executes it while [`callers`] sends requests.
//! [`check`] evaluates the recorded requests and runs. The same seed gives the same schedule and
//! requests, but their interleaving depends on the machine.

pub mod callers;
pub mod check;
pub mod faults;
pub mod testbed;

use check::Violation;
use std::sync::Arc;
use std::time::{Duration, Instant};
use testbed::Testbed;

/// Time limit for all daemons to converge again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Kinds of steps that a schedule may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Planned maintenance and short pauses only: daemons restart, reload and pause, the
    /// configuration changes, endpoints are replaced, storage VMs retire. No request may be
    /// interrupted.
    Maintenance,
    /// All faults and maintenance steps.
    Faults,
}

/// Parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Seed of the schedule and the requests.
    pub seed: u64,
    /// Kinds of steps that the schedule may contain.
    pub scenario: Scenario,
    /// Number of gateway daemons.
    pub daemons: usize,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Length of the period in which steps of the schedule start.
    pub span: Duration,
    /// Whether to check response times against the deadline.
    pub check_deadlines: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            seed: 1,
            scenario: Scenario::Faults,
            daemons: 4,
            clients: 10,
            span: Duration::from_secs(10),
            check_deadlines: false,
        }
    }
}

/// Result of a soak run.
#[derive(Debug)]
pub struct Report {
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Executed steps with their start times, in order.
    pub steps: Vec<String>,
}

/// Runs one soak with `binary` as the daemon.
pub async fn run(binary: &str, spec: &Spec) -> Report {
    let testbed = Arc::new(Testbed::start(binary, spec).await);
    let stop = tokio::sync::watch::Sender::new(false);
    let clients = callers::start(&testbed, spec, &stop.subscribe());
    let steps = faults::run(&testbed, spec).await;
    testbed.clear_faults().await;
    let faults_cleared = Instant::now();
    testbed.wait_until_converged(RECOVERY_TIMEOUT).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let recovered = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.send_replace(true);
    let exchanges = clients.join().await;
    // Waits so that the evidence includes requests that run after they were refused as not run.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let evidence = check::Evidence {
        runs: testbed.runs(),
        exchanges,
        latest_version: testbed.latest_version(),
        restarts: testbed.restarts(),
        maintenance_only: spec.scenario == Scenario::Maintenance,
        recovered,
        pending_retirements: testbed.pending_retirements().await,
        check_deadlines: spec.check_deadlines,
    };
    let served = evidence.exchanges.iter().filter(|exchange| exchange.response.served()).count();
    Report {
        violations: check::check(&evidence),
        requests: evidence.exchanges.len(),
        served,
        steps: [steps, vec![format!("recovered after {:?}", recovered - faults_cleared)]].concat(),
    }
}
