//! Checks that a gateway keeps its guarantees while faults overlap; each test is one seed.
//!
//! Seeds that once failed are kept here, each with a comment on the cause.

use std::time::Duration;
use testing::soak::{self, Scenario, Spec};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");

async fn assert_no_violations(seed: u64, scenario: Scenario) {
    let spec = Spec { seed, scenario, span: Duration::from_secs(6), ..Spec::default() };
    let report = soak::run(BINARY, &spec).await;
    println!("{} of {} requests served", report.served, report.requests);
    report.steps.iter().for_each(|step| println!("{step}"));
    assert_eq!(report.violations, Vec::new());
}

macro_rules! seeds {
    ($($name:ident: $seed:expr, $scenario:ident;)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() {
            assert_no_violations($seed, Scenario::$scenario).await;
        })*
    };
}

seeds! {
    planned_maintenance_interrupts_no_request: 1, Maintenance;
    // Successive owners each handed out a share without a durable record: 450 tokens were spent of
    // a budget of 300.
    successive_owners_stay_within_one_budget: 1, Faults;
    // A reload signal arrived before the process had installed its handlers and ended it; nothing
    // restarted it.
    a_process_survives_a_reload_right_after_its_start: 313, Faults;
}
