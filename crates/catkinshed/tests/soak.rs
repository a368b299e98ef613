//! The promises hold while faults overlap; each case is one seed.
//!
//! Seeds that failed once stay here, with a line on the cause.

use std::time::Duration;
use testing::soak::{self, Scenario, Spec};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");

async fn holds(seed: u64, mix: Scenario) {
    let spec = Spec { seed, scenario: mix, span: Duration::from_secs(6), ..Spec::default() };
    let report = soak::run(BINARY, &spec).await;
    println!("{} of {} requests served", report.served, report.requests);
    report.steps.iter().for_each(|step| println!("{step}"));
    assert_eq!(report.violations, Vec::new());
}

macro_rules! seeds {
    ($($name:ident: $seed:expr, $mix:ident;)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() {
            holds($seed, Scenario::$mix).await;
        })*
    };
}

seeds! {
    planned_work_cuts_nothing_off: 1, Maintenance;
    // Owners that followed each other each let a free share run without a record; 450 tokens of 300.
    owners_that_follow_each_other_share_one_budget: 1, Faults;
    // A reload met a process before its handlers were set and ended it; nobody started it again.
    a_reload_right_after_a_start_is_outlived: 313, Faults;
}
