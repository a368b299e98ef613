//! Log lines under load.

use catkinshed::logs::Limiter;
use log::{Level, Record};
use std::time::{Duration, Instant};

fn record(level: Level) -> Record<'static> {
    Record::builder().level(level).target("answer").build()
}

#[test]
fn lines_are_left_out_beyond_a_bound_and_counted() {
    let mut limit = Limiter::default();
    let now = Instant::now();
    let written = (0..1_000).filter(|_| limit.admit(&record(Level::Info), now).is_some()).count();
    assert_eq!(written, 100);
    let next = limit.admit(&record(Level::Info), now + Duration::from_secs(1));
    assert_eq!(next, Some(900));
}

#[test]
fn warnings_are_never_left_out() {
    let mut limit = Limiter::default();
    let now = Instant::now();
    (0..1_000).for_each(|_| assert!(limit.admit(&record(Level::Warn), now).is_some()));
}
