//! Which requests are taken on at which load.

use sched::admission::{Controller, Fallback, Limits, Load, Refusal, Request, Stage};
use sched::id::ProgramId;
use std::time::{Duration, Instant};

const ROOM: Load = Load { group: 0.0, least: 0.0 };
const FULL: Load = Load { group: 1.5, least: 1.5 };

fn begins(program: &ProgramId, time_left: Duration) -> Request<'_> {
    Request { program: Some(program), stage: Stage::Begins, time_left: Some(time_left) }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn at(group: f64) -> Load {
    Load { group, least: group }
}

macro_rules! cases {
    ($($name:ident($now:ident) $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now(); $body })*
    };
}

cases! {
    a_program_begins_where_there_is_room(now) {
        let mut gate = Controller::default();
        assert_eq!(gate.admit(begins(&"p".into(), seconds(2.0)), ROOM, now), Ok(()));
    }

    a_program_is_turned_away_before_its_first_turn_where_there_is_none(now) {
        let mut gate = Controller::default();
        let refused = gate.admit(begins(&"p".into(), seconds(2.0)), FULL, now);
        let Err(Refusal { retry_after }) = refused else { panic!("it is let in") };
        assert!(retry_after > Duration::ZERO && retry_after <= seconds(1.5), "{retry_after:?}");
    }

    a_program_that_was_let_in_goes_on(now) {
        let program = ProgramId::from("p");
        let ask = Request { stage: Stage::Continues, ..begins(&program, seconds(2.0)) };
        assert_eq!(Controller::default().admit(ask, FULL, now), Ok(()));
    }

    nothing_waits_behind_a_queue_that_is_too_long(now) {
        let program = ProgramId::from("p");
        let ask = Request { stage: Stage::Continues, ..begins(&program, seconds(2.0)) };
        let load = at(Limits::default().go_on);
        assert!(Controller::default().admit(ask, load, now).is_err());
        assert!(Controller::default().admit(Request { program: None, ..ask }, load, now).is_err());
    }

    who_can_still_end_in_time_comes_back_before_who_cannot(now) {
        let Limits { come_back, late, .. } = Limits::default();
        let (soon, slow) = (ProgramId::from("soon"), ProgramId::from("slow"));
        let mut gate = Controller::default();
        for program in [&soon, &slow] {
            assert!(gate.admit(begins(program, seconds(2.0)), FULL, now).is_err());
        }
        let between = at((come_back + late) / 2.0);
        assert!(gate.admit(begins(&slow, seconds(0.5)), between, now).is_err());
        assert_eq!(gate.admit(begins(&soon, seconds(1.9)), between, now), Ok(()));
        assert_eq!(gate.admit(begins(&slow, seconds(0.5)), at(late / 2.0), now), Ok(()));
    }

    a_program_whose_time_is_up_does_not_pass_for_a_new_one(now) {
        let mut gate = Controller::default();
        let program = ProgramId::from("p");
        for tenth in 0..100 {
            let now = now + Duration::from_millis(100 * tenth);
            let left = seconds(2.0).saturating_sub(Duration::from_millis(100 * tenth));
            let load = if left < seconds(1.8) { at(0.8) } else { FULL };
            assert!(gate.admit(begins(&program, left), load, now).is_err(), "{tenth}");
        }
    }

    those_turned_away_together_come_back_one_by_one(now) {
        let mut gate = Controller::default();
        let delays: std::collections::BTreeSet<Duration> = (0..100)
            .filter_map(|number| {
                let program = format!("p{number}").into();
                gate.admit(begins(&program, seconds(2.0)), FULL, now).err()
            })
            .map(|refusal| refusal.retry_after)
            .collect();
        assert!(delays.len() > 90, "{}", delays.len());
        let (first, last) = (delays.first().expect("a delay"), delays.last().expect("a delay"));
        assert!(*last > *first * 2, "{first:?} {last:?}");
    }

    the_time_to_come_back_grows_with_those_turned_away(now) {
        let mut gate = Controller::default();
        for number in 0..50 {
            let program = format!("in{number}").into();
            assert_eq!(gate.admit(begins(&program, seconds(2.0)), ROOM, now), Ok(()));
        }
        let mut mean = |from: u32, count: u32| {
            let refused = (from..from + count).filter_map(|number| {
                let program = format!("out{number}").into();
                gate.admit(begins(&program, seconds(2.0)), FULL, now).err()
            });
            refused.map(|refusal| refusal.retry_after).sum::<Duration>() / count
        };
        let few = mean(0, 5);
        mean(5, 40);
        assert!(mean(45, 10) > few, "{few:?}");
    }

    without_a_steward_daemons_let_in_about_what_the_engines_hold(_now) {
        let limits = Limits::default();
        for (slots, daemons) in [(144_u32, 8), (270, 58), (462, 259), (27_000, 560)] {
            let room = |own| Fallback { in_flight: own, slots, daemons }.has_room(&limits);
            let most = (0..slots).find(|own| !room(*own)).expect("an end of the room");
            assert!(most >= 1, "service stops");
            let all = f64::from(most) * daemons as f64;
            assert!(all >= f64::from(slots) * limits.begin, "{daemons}: {all} of {slots}");
            assert!(all <= f64::from(slots) * limits.begin * 3.0, "{daemons}: {all} of {slots}");
        }
    }

    a_daemon_that_sees_no_slots_still_serves(_now) {
        assert!(Fallback { in_flight: 0, slots: 1, daemons: 560 }.has_room(&Limits::default()));
        let refusal = Fallback::refusal(0.5);
        assert!(refusal.retry_after > Duration::ZERO);
    }

    what_is_remembered_is_bounded(now) {
        let mut gate = Controller::default();
        for number in 0..20_000 {
            let program = format!("p{number}").into();
            assert!(gate.admit(begins(&program, seconds(2.0)), FULL, now).is_err());
        }
        assert!(gate.pending_retries() < 10_000);
        let later = now + Duration::from_secs(60);
        assert_eq!(gate.admit(begins(&"q".into(), seconds(2.0)), ROOM, later), Ok(()));
        assert_eq!(gate.pending_retries(), 0);
    }
}
