//! Tests the rate limit for log lines.

use catkinshed::logs::Limiter;
use log::{Level, Record};
use std::time::{Duration, Instant};

fn record(level: Level) -> Record<'static> {
    Record::builder().level(level).target("answer").build()
}

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let mut limiter = Limiter::default();
    let now = Instant::now();
    let written = (0..1_000).filter(|_| limiter.admit(&record(Level::Info), now).is_some()).count();
    assert_eq!(written, 100);
    let next = limiter.admit(&record(Level::Info), now + Duration::from_secs(1));
    assert_eq!(next, Some(900));
}

#[test]
fn warnings_are_never_dropped() {
    let mut limiter = Limiter::default();
    let now = Instant::now();
    (0..1_000).for_each(|_| assert!(limiter.admit(&record(Level::Warn), now).is_some()));
}
