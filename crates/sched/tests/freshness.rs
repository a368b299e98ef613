//! Ages of views, and the choice of the peers that news comes from.

use sched::freshness::{
    Freshness, MAX_AGE, Position, Role, Transit, choose_delegate, is_current, watch_wait,
};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn confirmed(at: Instant) -> Freshness {
    let mut freshness = Freshness::default();
    freshness.confirm(at);
    freshness
}

/// Returns the delegates that a daemon's two subscriptions use.
fn choose_two(delegates: usize, role: Role, failures: usize) -> [Option<usize>; 2] {
    let first = choose_delegate(delegates, role, 0, failures, None);
    [first, choose_delegate(delegates, role, 1, failures, first)]
}

macro_rules! cases {
    ($($name:ident($now:ident) $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now(); $body })*
    };
}

cases! {
    a_view_that_was_never_confirmed_is_not_current(now) {
        assert_eq!(Freshness::default().age(now), None);
        assert!(!Freshness::default().is_current(now));
        assert!(!is_current(None));
    }

    a_view_is_current_up_to_the_maximum_age(now) {
        assert!(confirmed(now).is_current(now + MAX_AGE));
        assert!(!confirmed(now).is_current(now + MAX_AGE + Duration::from_millis(1)));
    }

    an_answer_that_arrives_late_does_not_make_a_view_older(now) {
        let mut freshness = confirmed(now);
        freshness.confirm(now - SECOND);
        assert_eq!(freshness.age(now), Some(Duration::ZERO));
    }

    a_view_is_as_old_as_its_oldest_part(now) {
        let both = confirmed(now).and(confirmed(now - SECOND));
        assert_eq!(both.age(now), Some(SECOND));
        assert_eq!(confirmed(now).and(Freshness::default()).age(now), None);
    }

    a_view_is_as_fresh_as_its_freshest_source(now) {
        let either = confirmed(now).or(confirmed(now - SECOND));
        assert_eq!(either.age(now), Some(Duration::ZERO));
        assert_eq!(confirmed(now).or(Freshness::default()).age(now), Some(Duration::ZERO));
    }

    // Guards against a daemon that wakes, reads the updates that waited for it, and trusts its view.
    an_update_that_waited_is_as_old_as_its_wait(now) {
        let mut transit = Transit::default();
        let millis = Duration::from_millis;
        assert_eq!(transit.delay(millis(0), now), Duration::ZERO);
        assert_eq!(transit.delay(millis(300), now + millis(301)), millis(1));
        // It stands still until 3,300 ms, and then reads what was sent meanwhile.
        let woken = now + millis(3_300);
        assert_eq!(transit.delay(millis(600), woken), millis(2_700));
        assert_eq!(transit.delay(millis(3_000), woken), millis(300));
        assert_eq!(transit.delay(millis(3_300), woken + millis(1)), millis(1));
    }

    a_slow_first_update_is_no_measure_for_the_others(now) {
        let mut transit = Transit::default();
        let millis = Duration::from_millis;
        assert_eq!(transit.delay(millis(0), now + millis(500)), Duration::ZERO);
        assert_eq!(transit.delay(millis(300), now + millis(310)), Duration::ZERO);
        assert_eq!(transit.delay(millis(600), now + millis(1_100)), millis(490));
    }

    // Guards against a watch that goes on after changes that its answer passed over.
    a_watch_stays_before_what_its_answers_may_have_passed_over(now) {
        let mut position = Position::new(10);
        for step in 0..3 {
            position.advance(14, false, now + SECOND * step);
            assert_eq!(position.after(), 10, "{step} s after the first answer");
        }
        // The call of this time returned nothing that was made before the first answer.
        position.advance(15, false, now + SECOND * 3);
        assert_eq!(position.after(), 14);
        position.advance(15, false, now + SECOND * 6);
        assert_eq!(position.after(), 15);
    }

    a_watch_goes_on_after_the_changes_that_it_got(now) {
        let mut position = Position::new(10);
        position.advance(12, false, now);
        position.advance(14, true, now + SECOND);
        assert_eq!(position.after(), 14);
        // What the answers before the changes named does not count any more.
        position.advance(16, false, now + SECOND * 4);
        assert_eq!(position.after(), 14);
    }

    a_watch_never_goes_back(now) {
        let mut position = Position::new(10);
        position.advance(8, true, now);
        position.advance(7, false, now + SECOND);
        position.advance(7, false, now + SECOND * 5);
        assert_eq!(position.after(), 10);
    }

    // Guards against a view that is taken for old because two calls in a row returned changes late.
    a_view_stays_current_while_the_next_call_waits(_now) {
        for millis in 0..1_000 {
            let age = Duration::from_millis(millis);
            let wait = watch_wait(Some(age));
            assert!(age + wait < MAX_AGE, "{age:?} and {wait:?}");
        }
        assert_eq!(watch_wait(None), SECOND);
        assert!(watch_wait(Some(SECOND * 60)) > Duration::ZERO);
    }

    two_subscriptions_never_use_one_delegate(_now) {
        for number in 0..40 {
            for failures in 0..7 {
                let [first, second] = choose_two(3, Role::Follower(number), failures);
                assert!(first.is_some() && second.is_some() && first != second);
            }
        }
    }

    a_subscription_is_left_out_where_there_is_only_one_delegate(_now) {
        assert_eq!(choose_two(1, Role::Follower(7), 0), [Some(0), None]);
        assert_eq!(choose_two(1, Role::Delegate(0), 0), [None, None]);
        assert_eq!(choose_two(0, Role::Follower(7), 0), [None, None]);
    }

    followers_are_spread_over_the_delegates(_now) {
        let first = |number| choose_delegate(3, Role::Follower(number), 0, 0, None);
        for delegate in 0..3 {
            let count = (0..300).filter(|number| first(*number) == Some(delegate)).count();
            assert_eq!(count, 100, "followers of delegate {delegate}");
        }
    }

    a_delegate_that_is_cut_off_gets_its_news_through_the_ring(_now) {
        for delegates in 2..7_usize {
            for cut_off in 0..(1_usize << delegates) - 1 {
                let is_cut_off = |index: usize| cut_off & (1 << index) != 0;
                for start in 0..delegates {
                    let mut source = start;
                    for _ in 0..delegates {
                        if is_cut_off(source) {
                            let next = choose_delegate(delegates, Role::Delegate(source), 0, 0, None);
                            source = next.expect("another delegate");
                        }
                    }
                    assert!(!is_cut_off(source), "{start} of {delegates}, cut off: {cut_off:b}");
                }
            }
        }
    }
}
