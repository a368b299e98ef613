//! Admission under loads that the engines cannot serve, on a model of engines.

use sched::admission::Limits;
use std::time::Duration;
use testing::overload::{Outcomes, Scene, play};

/// Everything is let in, as without admission.
const OPEN: Limits = Limits {
    begin: f64::INFINITY,
    come_back: f64::INFINITY,
    late: f64::INFINITY,
    go_on: f64::INFINITY,
};

/// Programs per second of the step's usual load; the engines serve about four times as many.
const USUAL: f64 = 30.0;

/// Seconds in which a burst lasts.
const BURST: std::ops::Range<usize> = 6..18;

/// The usual load with a step up to `factor` times as much.
fn step(seconds: f64, factor: f64) -> f64 {
    let burst = BURST.start as f64..BURST.end as f64;
    if burst.contains(&seconds) { USUAL * factor } else { USUAL }
}

/// The usual load with a slow rise to `factor` times as much and a slow fall.
fn ramp(seconds: f64, factor: f64) -> f64 {
    let middle = (BURST.start + BURST.end) as f64 / 2.0;
    let near = 1.0 - (seconds - middle).abs() / 6.0;
    USUAL * (1.0 + (factor - 1.0) * near.max(0.0))
}

/// Loads that swing between the usual one and `factor` times as much each two seconds.
fn wave(seconds: f64, factor: f64) -> f64 {
    if seconds.rem_euclid(4.0) < 2.0 { USUAL } else { USUAL * factor }
}

/// Plays a step up to `factor` times the usual load.
fn burst_of(factor: f64, scene: Scene) -> Outcomes {
    play(Scene { rate: step, factor, lasts: Duration::from_secs(24), ..scene })
}

/// The best sustained goodput of bursts up to `most` times the usual load.
fn top(scene: &Scene, most: f64) -> f64 {
    let shares = [0.125, 0.25, 0.4, 0.5, 0.625, 0.75, 1.0].into_iter();
    let goodputs = shares.map(|share| burst_of(most * share, scene.clone()).goodput(8, 18));
    goodputs.fold(0.0, f64::max)
}

macro_rules! cases {
    ($($name:ident $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    goodput_stays_near_its_top_however_many_come {
        let scene = Scene::default();
        let top = top(&scene, 8.0);
        for factor in [5.0, 8.0] {
            let goodput = burst_of(factor, scene.clone()).goodput(8, 18);
            assert!(goodput >= 0.85 * top, "x{factor}: {goodput} of {top}");
        }
    }

    without_admission_the_same_bursts_leave_next_to_nothing {
        let open = Scene { limits: OPEN, ..Scene::default() };
        for factor in [5.0, 8.0] {
            let goodput = burst_of(factor, open.clone()).goodput(8, 18);
            assert!(goodput < 0.3 * top(&Scene::default(), 8.0), "x{factor}: {goodput}");
        }
    }

    after_a_burst_the_load_is_served_again_within_two_seconds {
        for factor in [3.0, 5.0, 8.0] {
            let outcomes = burst_of(factor, Scene::default());
            let after = outcomes.sum(20, 24);
            let share = f64::from(after.in_time) / f64::from(after.begun);
            assert!(share >= 0.95, "x{factor}: {after:?}");
        }
    }

    what_cannot_be_served_is_refused_before_its_first_turn {
        for factor in [5.0, 8.0] {
            let sum = burst_of(factor, Scene::default()).sum(6, 18);
            let not_served = sum.refused + sum.failed;
            assert!(sum.refused * 100 >= not_served * 95, "x{factor}: {sum:?}");
        }
    }

    engines_reject_nothing_in_a_burst {
        for factor in [3.0, 5.0, 8.0] {
            let rejected = burst_of(factor, Scene::default()).rejected;
            assert_eq!(rejected, 0, "x{factor}");
        }
    }

    clients_that_obey_do_not_come_back_together {
        let outcomes = burst_of(8.0, Scene::default());
        let mean = f64::from(outcomes.sum(6, 18).begun) / 120.0 * 5.0;
        assert!(f64::from(outcomes.returns_peak) < 2.0 * mean, "{} {mean}", outcomes.returns_peak);
    }

    clients_that_do_not_obey_harm_few {
        let scene = Scene { obedient: false, ..Scene::default() };
        for factor in [5.0, 8.0] {
            let obedient = burst_of(factor, Scene::default()).goodput(8, 18);
            let goodput = burst_of(factor, scene.clone()).goodput(8, 18);
            assert!(goodput >= 0.85 * obedient, "x{factor}: {goodput} of {obedient}");
        }
    }

    the_limits_fit_engines_of_three_speeds {
        for (millis, most) in [(40, 40.0), (150, 12.0), (600, 4.0)] {
            let scene = Scene { turn: Duration::from_millis(millis), turns: 4, ..Scene::default() };
            let goodput = burst_of(most, scene.clone()).goodput(8, 18);
            let top = top(&scene, most);
            assert!(goodput >= 0.85 * top, "{millis} ms: {goodput} of {top}");
        }
    }

    a_ramp_and_a_wave_are_served_like_a_step {
        for (name, rate) in [("ramp", ramp as fn(f64, f64) -> f64), ("wave", wave)] {
            let scene = Scene { rate, factor: 8.0, ..Scene::default() };
            let goodput = play(scene.clone()).goodput(4, 16);
            let without = play(Scene { limits: OPEN, ..scene }).goodput(4, 16);
            assert!(goodput > without * 1.5, "{name}: {goodput} {without}");
        }
    }

    half_of_the_engines_lost_at_the_crest_leave_half_of_the_goodput {
        let lost_at = Some(Duration::from_secs(12));
        let lost = burst_of(5.0, Scene { lost_at, ..Scene::default() }).goodput(14, 18);
        let whole = burst_of(5.0, Scene::default()).goodput(14, 18);
        assert!(lost >= 0.85 * 0.5 * whole, "{lost} of {whole}");
    }

    the_usual_load_is_not_refused {
        let sum = burst_of(1.0, Scene::default()).sum(0, 24);
        assert_eq!((sum.refused, sum.failed, sum.begun), (0, 0, sum.in_time), "{sum:?}");
    }
}
