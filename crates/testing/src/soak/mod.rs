//! Fault soak: daemons as processes under overlapping faults, with the promises checked on what
//! clients and endpoints saw.
//!
//! [`stage`] starts daemons, endpoints and the key-value stand-in with a proxy on every link,
//! [`faults`] draws a seeded schedule and plays it, [`callers`] asks all the while, and [`check`]
//! judges the evidence. The same seed draws the same schedule and the same requests; how they meet
//! depends on the machine.

pub mod callers;
pub mod check;
pub mod faults;
pub mod stage;

use check::Violation;
use stage::Stage;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for everybody to be served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(20);

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Daemons are stopped and told to reload, configurations change, endpoints come and go. No
    /// request may be cut off.
    Maintenance,
    /// Any fault.
    Faults,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Seed of the schedule and of the requests.
    pub seed: u64,
    /// What happens.
    pub scenario: Scenario,
    /// Daemons.
    pub daemons: usize,
    /// Clients that ask at the same time.
    pub clients: usize,
    /// Time during which faults begin.
    pub span: Duration,
    /// Whether times are judged.
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

/// What a run found.
#[derive(Debug)]
pub struct Report {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// What was done, in order.
    pub steps: Vec<String>,
}

/// Runs `binary` as daemons under one seed.
pub async fn run(binary: &str, spec: &Spec) -> Report {
    let stage = Arc::new(Stage::start(binary, spec).await);
    let stop = tokio::sync::watch::Sender::new(false);
    let callers = callers::start(&stage, spec, &stop.subscribe());
    let steps = faults::play(&stage, spec).await;
    stage.heal().await;
    let healed = Instant::now();
    stage.settle(RECOVERY).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let settled = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.send_replace(true);
    let calls = callers.gather().await;
    // Whatever was refused as not run has to stay so.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let evidence = check::Evidence {
        runs: stage.runs(),
        calls,
        newest: stage.newest(),
        starts: stage.starts(),
        planned: spec.scenario == Scenario::Maintenance,
        settled,
        unreported: stage.unreported().await,
        check_deadlines: spec.check_deadlines,
    };
    let served = evidence.calls.iter().filter(|call| call.told.served()).count();
    Report {
        violations: check::check(&evidence),
        requests: evidence.calls.len(),
        served,
        steps: [steps, vec![format!("healed after {:?}", settled - healed)]].concat(),
    }
}
