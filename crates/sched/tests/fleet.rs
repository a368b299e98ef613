//! Placement on endpoints by their registrations and this daemon's requests.

use sched::fleet::{Criteria, Fleet, Registration, State};
use std::time::{Duration, Instant};

fn registration(id: &str, dc: &str, incarnation: u64) -> Registration {
    Registration {
        id: id.into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        dc: dc.into(),
        slots: 4,
        version: "v1".into(),
        state: State::Ready,
        incarnation,
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    ids.iter().for_each(|id| fleet.register(registration(id, "here", 1)));
    fleet
}

fn place(fleet: &Fleet, criteria: &Criteria<'_>, now: Instant) -> Option<String> {
    let mut rng = fastrand::Rng::with_seed(7);
    fleet.place("s", criteria, &mut rng, now).map(|registration| registration.id.into_string())
}

fn here<'a>() -> Criteria<'a> {
    Criteria { dc: "here", ..Criteria::default() }
}

macro_rules! cases {
    ($($name:ident($now:ident) $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now(); $body })*
    };
}

cases! {
    the_least_loaded_endpoint_is_chosen(now) {
        let mut fleet = fleet(&["a", "b"]);
        fleet.begin_request("a");
        assert_eq!(place(&fleet, &here(), now).as_deref(), Some("b"));
        fleet.begin_request("b");
        fleet.begin_request("b");
        assert_eq!(place(&fleet, &here(), now).as_deref(), Some("a"));
    }

    an_endpoint_of_this_data_centre_is_preferred(now) {
        let mut fleet = fleet(&["a"]);
        fleet.register(registration("b", "there", 1));
        assert_eq!(place(&fleet, &here(), now).as_deref(), Some("a"));
        let there = Criteria { dc: "there", ..Criteria::default() };
        assert_eq!(place(&fleet, &there, now).as_deref(), Some("b"));
    }

    a_burst_overflows_to_another_data_centre(now) {
        let mut fleet = fleet(&["a"]);
        fleet.register(registration("b", "there", 1));
        for _ in 0..4 {
            fleet.begin_request("a");
        }
        assert_eq!(place(&fleet, &here(), now).as_deref(), Some("b"));
    }

    a_draining_endpoint_gets_no_requests(now) {
        let mut fleet = fleet(&["a"]);
        fleet.register(Registration { state: State::Draining, ..registration("a", "here", 1) });
        assert_eq!(place(&fleet, &here(), now), None);
    }

    a_failed_endpoint_is_ejected_and_used_again_later(now) {
        let mut fleet = fleet(&["a", "b"]);
        fleet.record_failure("a", now);
        fleet.begin_request("b");
        assert_eq!(place(&fleet, &here(), now).as_deref(), Some("b"));
        let later = now + Duration::from_secs(5);
        assert_eq!(place(&fleet, &here(), later).as_deref(), Some("a"));
    }

    ejection_never_empties_a_service(now) {
        let mut fleet = fleet(&["a", "b"]);
        fleet.record_failure("a", now);
        fleet.record_failure("b", now);
        assert!(place(&fleet, &here(), now).is_some());
    }

    a_deregistered_endpoint_is_used_only_during_the_grace_period(now) {
        let mut fleet = fleet(&["a"]);
        fleet.deregister("a", now);
        assert!(place(&fleet, &here(), now + Duration::from_secs(1)).is_some());
        assert_eq!(place(&fleet, &here(), now + Duration::from_secs(2)), None);
        fleet.register(registration("a", "here", 1));
        assert!(place(&fleet, &here(), now + Duration::from_secs(2)).is_some());
    }

    endpoints_that_drain_or_left_are_named_to_coordinators(now) {
        let mut fleet = fleet(&["a", "b", "c"]);
        fleet.register(Registration { state: State::Draining, ..registration("a", "here", 1) });
        fleet.deregister("b", now);
        assert_eq!(fleet.withdrawn("s", now + Duration::from_secs(1)), ["a"]);
        let later = now + Duration::from_secs(2);
        assert_eq!(fleet.withdrawn("s", later), ["a", "b"]);
        fleet.sweep(later);
        assert_eq!(fleet.withdrawn("s", later), ["a", "b"], "an endpoint that was removed");
        fleet.register(registration("b", "here", 2));
        assert_eq!(fleet.withdrawn("s", later), ["a"], "it is back");
        assert!(fleet.withdrawn("other", later).is_empty());
    }

    endpoints_that_left_are_forgotten_after_a_while(now) {
        let mut fleet = fleet(&["a"]);
        fleet.deregister("a", now);
        fleet.sweep(now + Duration::from_secs(2));
        fleet.sweep(now + Duration::from_secs(13));
        assert!(fleet.withdrawn("s", now + Duration::from_secs(13)).is_empty());
    }

    a_process_that_leaves_gets_nothing_whatever_its_registration_says(now) {
        let mut fleet = fleet(&["a", "b"]);
        let leaving = registration("a", "here", 1);
        assert!(fleet.record_leaving(&leaving, now));
        assert!(!fleet.record_leaving(&leaving, now), "no news");
        assert!(!fleet.accepts(&leaving, now));
        assert_eq!(fleet.withdrawn("s", now), ["a"]);
        fleet.register(leaving.clone());
        assert!(!fleet.accepts(&leaving, now), "it is still registered as ready");
        fleet.deregister("a", now);
        fleet.sweep(now + Duration::from_secs(20));
        fleet.register(leaving.clone());
        assert!(!fleet.accepts(&leaving, now), "its registration came back");
        let next = registration("a", "here", 2);
        fleet.register(next.clone());
        assert!(fleet.accepts(&next, now), "the next process");
    }

    what_an_earlier_process_said_does_not_concern_the_present_one(now) {
        let mut fleet = fleet(&["a"]);
        let next = registration("a", "here", 2);
        fleet.register(next.clone());
        fleet.record_leaving(&registration("a", "here", 1), now);
        assert!(fleet.accepts(&next, now));
    }

    a_new_incarnation_starts_without_history(now) {
        let mut fleet = fleet(&["a", "b"]);
        let previous = registration("a", "here", 1);
        fleet.record_failure("a", now);
        fleet.begin_request("b");
        fleet.register(registration("a", "here", 2));
        assert_eq!(place(&fleet, &here(), now).as_deref(), Some("a"));
        assert!(!fleet.accepts(&previous, now));
    }

    an_endpoint_that_refused_the_request_is_not_chosen_again(now) {
        let avoid = ["a".into()];
        let criteria = Criteria { avoid: &avoid, ..here() };
        assert_eq!(place(&fleet(&["a"]), &criteria, now), None);
    }

    a_session_stays_on_its_endpoint(now) {
        let ids: Vec<String> = (0..9).map(|number| format!("e{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let fleet = fleet(&ids);
        let criteria = Criteria { affinity: "line-1", affinity_load: 0.3, ..here() };
        let first = place(&fleet, &criteria, now);
        assert!(first.is_some());
        (0..20).for_each(|_| assert_eq!(place(&fleet, &criteria, now), first));
    }
}
