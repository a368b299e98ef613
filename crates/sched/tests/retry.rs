//! Retry timeouts and the retry budget.

use sched::retry::{Budget, retry_timeout};
use sched::route::{Kind, Route};
use std::time::Duration;

macro_rules! timeouts {
    ($($name:ident: $kind:expr => $timeout:expr;)*) => {
        $(#[test] fn $name() {
            let target_latency = Duration::from_millis(250);
            let route = Route { kind: $kind, target_latency, ..Route::default() };
            assert_eq!(retry_timeout(&route), $timeout);
        })*
    };
}

timeouts! {
    a_safe_request_is_retried_after_its_target_latency: Kind::Safe => Some(Duration::from_millis(250));
    an_unsafe_request_is_never_retried: Kind::Unsafe => None;
    a_resumable_stream_is_retried_after_four_target_latencies: Kind::Stream { resumable: true } => Some(Duration::from_secs(1));
    a_non_resumable_stream_is_never_retried: Kind::Stream { resumable: false } => None;
}

#[test]
fn a_burst_that_delays_all_requests_retries_one_in_twenty() {
    let mut budget = Budget::default();
    let retries = (0..2_000).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    let retries = retries.count();
    assert!(retries <= 2_000 / 20 + 2, "{retries}");
    assert!(retries >= 2_000 / 20, "{retries}");
}

#[test]
fn a_long_time_without_retries_saves_at_most_ten_retries() {
    let mut budget = Budget::default();
    (0..100_000).for_each(|_| budget.deposit());
    let retries = (0..100).filter(|_| budget.try_withdraw()).count();
    assert!(retries <= 10, "{retries}");
}
