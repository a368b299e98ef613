//! When unanswered requests are sent once more.

use sched::retry::{Budget, retry_timeout};
use sched::route::{Kind, Route};
use std::time::Duration;

macro_rules! kinds {
    ($($name:ident: $kind:expr => $patience:expr;)*) => {
        $(#[test] fn $name() {
            let target_latency = Duration::from_millis(250);
            let route = Route { kind: $kind, target_latency, ..Route::default() };
            assert_eq!(retry_timeout(&route), $patience);
        })*
    };
}

kinds! {
    a_safe_request_is_repeated_when_its_full_credit_is_gone: Kind::Safe => Some(Duration::from_millis(250));
    an_unsafe_request_is_never_repeated: Kind::Unsafe => None;
    a_stream_may_wait_longer_for_its_first_event: Kind::Stream { resumable: true } => Some(Duration::from_secs(1));
    a_stream_that_cannot_be_resumed_is_never_repeated: Kind::Stream { resumable: false } => None;
}

#[test]
fn a_burst_that_makes_all_requests_late_repeats_one_in_twenty() {
    let mut budget = Budget::default();
    let repeats = (0..2_000).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    let repeats = repeats.count();
    assert!(repeats <= 2_000 / 20 + 2, "{repeats}");
    assert!(repeats >= 2_000 / 20, "{repeats}");
}

#[test]
fn a_calm_hour_saves_up_few_repeats() {
    let mut budget = Budget::default();
    (0..100_000).for_each(|_| budget.deposit());
    let repeats = (0..100).filter(|_| budget.try_withdraw()).count();
    assert!(repeats <= 10, "{repeats}");
}
