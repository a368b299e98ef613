//! The register of software versions, and what follows from it for streams.

use sched::fleet::{Criteria, Fleet, Registration, State};
use sched::origin::resume_window;
use sched::versions::{Announcer, Register, Serving};
use std::time::{Duration, Instant};

/// Unix time of the cases, in milliseconds.
const NOW_MS: u64 = 1_000_000;
const SECOND: Duration = Duration::from_secs(1);

fn serving(versions: &[&str]) -> Serving {
    versions.iter().map(|version| ("s".into(), (*version).into())).collect()
}

/// Returns the register after the first delegate saw each set of versions for a long time, one
/// second after the other by the wall clock.
fn register(history: &[&[&str]], now: Instant) -> Register {
    let (mut announcer, mut register) = (Announcer::default(), Register::default());
    for (step, versions) in (0..).zip(history) {
        for wait in [0, 10] {
            let at = now + SECOND * (20 * step + wait);
            let now_ms = NOW_MS + u64::from(step) * 1_000;
            let next = announcer.next_write(&register, &serving(versions), 0, at, now_ms);
            register = next.unwrap_or(register);
        }
    }
    register
}

fn registration(version: &str) -> Registration {
    Registration {
        id: format!("e-{version}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        dc: "dc".into(),
        slots: 4,
        version: version.into(),
        state: State::Ready,
        incarnation: 1,
    }
}

fn all(_service: &str) -> bool {
    true
}

macro_rules! cases {
    ($($name:ident($now:ident) $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now(); $body })*
    };
}

cases! {
    a_version_that_serves_alone_is_the_only_one(now) {
        let register = register(&[&["v1"]], now);
        assert!(register.lists("s", "v1"));
        assert_eq!(register.only_version("s", 0).map(|found| found.as_str()), Some("v1"));
        assert_eq!(register.only_version("other", 0), None);
    }

    no_version_is_the_only_one_while_two_serve(now) {
        let register = register(&[&["v1"], &["v1", "v2"]], now);
        assert_eq!(register.only_version("s", NOW_MS + 60_000), None);
        assert!(register.is_mixed("s", NOW_MS + 60_000));
    }

    // Guards against streams of a version that has just left, which go on at the next one.
    a_version_that_left_counts_until_its_streams_are_gone(now) {
        let register = register(&[&["v1"], &["v1", "v2"], &["v2"]], now);
        assert!(!register.lists("s", "v1"));
        let closed_ms = NOW_MS + 2_000;
        assert_eq!(register.only_version("s", closed_ms), None);
        let since = register.only_version("s", closed_ms + 1);
        assert_eq!(since.map(|found| found.as_str()), Some("v2"));
    }

    a_version_that_comes_back_is_announced_again(now) {
        let register = register(&[&["v1"], &["v2"], &["v1"]], now);
        assert!(register.lists("s", "v1"));
        assert!(register.is_mixed("s", NOW_MS));
    }

    nothing_is_written_while_nothing_changes(now) {
        let register = register(&[&["v1", "v2"]], now);
        let mut announcer = Announcer::default();
        for second in 0..20 {
            let at = now + SECOND * second;
            let next = announcer.next_write(&register, &serving(&["v2", "v1"]), 0, at, NOW_MS);
            assert_eq!(next, None);
        }
    }

    registrations_that_expire_for_a_moment_cost_no_write(now) {
        let register = register(&[&["v1"]], now);
        let mut announcer = Announcer::default();
        for second in 0..5 {
            let at = now + SECOND * second;
            assert_eq!(announcer.next_write(&register, &serving(&[]), 0, at, NOW_MS), None);
        }
        let at = now + SECOND * 5;
        assert_eq!(announcer.next_write(&register, &serving(&["v1"]), 0, at, NOW_MS), None);
        let at = now + SECOND * 9;
        assert_eq!(announcer.next_write(&register, &serving(&[]), 0, at, NOW_MS), None);
    }

    the_next_delegate_writes_only_if_the_first_one_does_not(now) {
        let mut announcer = Announcer::default();
        let versions = serving(&["v1"]);
        let none = Register::default();
        assert_eq!(announcer.next_write(&none, &versions, 1, now, NOW_MS), None);
        assert!(announcer.next_write(&none, &versions, 1, now + SECOND, NOW_MS).is_some());
        assert!(Announcer::default().next_write(&none, &versions, 0, now, NOW_MS).is_some());
    }

    old_versions_are_dropped(now) {
        let register = register(&[&["v1"], &["v2"]], now);
        let much_later = NOW_MS + 3_600_000;
        let next = Announcer::default().next_write(
            &register, &serving(&["v2", "v3"]), 0, now, much_later,
        ).expect("v3 is new");
        assert_eq!(next.since("s", 0).collect::<Vec<_>>(), ["v2", "v3"]);
    }

    // Guards against requests at a version that the register does not list yet.
    an_endpoint_waits_until_its_version_is_announced(now) {
        let mut fleet = Fleet::default();
        fleet.register(registration("v1"));
        fleet.register(registration("v2"));
        let usable = |fleet: &Fleet, at| {
            let usable = fleet.usable("s", at).map(|found| found.registration.version.to_string());
            usable.collect::<Vec<_>>()
        };
        assert_eq!(usable(&fleet, now), ["v1", "v2"], "without a register");
        fleet.hold_unannounced(&register(&[&["v1"]], now), all, now);
        assert_eq!(usable(&fleet, now), ["v1"]);
        assert_eq!(fleet.withdrawn("s", now), ["e-v2"]);
        let criteria = Criteria { version: Some(&"v2".into()), ..Criteria::default() };
        let mut rng = fastrand::Rng::with_seed(1);
        assert_eq!(fleet.place("s", &criteria, &mut rng, now), None);
        fleet.hold_unannounced(&register(&[&["v1", "v2"]], now), all, now);
        assert_eq!(usable(&fleet, now), ["v1", "v2"], "once it is announced");
    }

    // Guards against requests that are refused because of streams that their service has not.
    an_endpoint_of_a_service_without_streams_does_not_wait(now) {
        let mut fleet = Fleet::default();
        fleet.register(registration("v2"));
        let register = register(&[&["v1"]], now);
        fleet.hold_unannounced(&register, |service| service != "s", now);
        assert_eq!(fleet.usable("s", now).count(), 1);
        // Once a route sends it streams, it waits.
        fleet.hold_unannounced(&register, all, now);
        assert_eq!(fleet.usable("s", now).count(), 0);
    }

    // Guards against a service without endpoints because nobody can write the register.
    an_endpoint_does_not_wait_for_ever(now) {
        let mut fleet = Fleet::default();
        fleet.register(registration("v2"));
        let register = register(&[&["v1"]], now);
        fleet.hold_unannounced(&register, all, now);
        fleet.hold_unannounced(&register, all, now + SECOND * 2);
        assert_eq!(fleet.usable("s", now + SECOND * 2).count(), 0);
        assert_eq!(fleet.usable("s", now + SECOND * 3).count(), 1);
    }

    streams_are_resumed_within_a_few_timeouts_of_their_route(_now) {
        assert_eq!(resume_window(SECOND * 4), SECOND * 17);
        assert_eq!(resume_window(Duration::MAX), SECOND * 60);
    }
}
