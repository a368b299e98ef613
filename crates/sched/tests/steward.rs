//! Bookings of endpoints by their steward.

use sched::fleet::{Fleet, Registration, State};
use sched::steward::{Ask, Board, End};
use std::time::{Duration, Instant};

const SLOTS: u32 = 4;

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.register(Registration {
            id: format!("e{number}").into(),
            service: "s".into(),
            addr: ([10, 0, 0, 1], 80).into(),
            dc: "here".into(),
            slots: SLOTS,
            state: State::Ready,
            incarnation: 1,
        });
    }
    fleet
}

fn ask(request: &str, program: Option<&str>) -> Ask {
    Ask {
        request: request.into(),
        program: program.map(Into::into),
        service: "s".into(),
        avoid: Vec::new(),
    }
}

/// Books requests and returns the loads that they found.
fn loads(board: &mut Board, fleet: &Fleet, count: usize, now: Instant) -> Vec<f64> {
    let booked = (0..count)
        .filter_map(|number| board.book(fleet, "here", &ask(&format!("r{number}"), None), now));
    booked.map(|booking| booking.load).collect()
}

macro_rules! cases {
    ($($name:ident($now:ident) $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now(); $body })*
    };
}

/// Plays six seconds with eight requests under way, of which faulty endpoints fail every second one;
/// returns how many each endpoint got.
fn play_faults(board: &mut Board, fleet: &Fleet, faulty: &[&str], start: Instant) -> Vec<usize> {
    let mut got = vec![0; fleet.len()];
    let mut under_way = std::collections::VecDeque::new();
    for number in 0..600 {
        let now = start + Duration::from_millis(10 * number);
        let request = format!("f{number}");
        let booking = board.book(fleet, "here", &ask(&request, None), now).expect("an endpoint");
        let at = fleet.usable("s", now).position(|found| found.registration.id == booking.endpoint);
        got[at.expect("an endpoint of the fleet")] += 1;
        under_way.push_back((request, booking.endpoint));
        if under_way.len() > 8 {
            let (request, endpoint) = under_way.pop_front().expect("a request");
            let failed = faulty.contains(&endpoint.as_str()) && number % 2 == 0;
            board.release(&request, if failed { End::Failed } else { End::Done }, now);
        }
    }
    got
}

cases! {
    an_endpoint_that_fails_a_part_of_its_requests_gets_few(now) {
        let fleet = fleet(6);
        let got = play_faults(&mut Board::default(), &fleet, &["e0"], now);
        assert!(got[0] * 4 < 600 / 6, "{got:?}");
        assert!(got[0] > 0, "it is never tried again: {got:?}");
    }

    endpoints_that_fail_alike_share_the_load(now) {
        let fleet = fleet(4);
        let got = play_faults(&mut Board::default(), &fleet, &["e0", "e1", "e2", "e3"], now);
        assert!(got.iter().all(|count| *count > 600 / 4 / 2), "{got:?}");
    }

    turns_are_not_crowded_on_the_engines_that_fail_less(now) {
        // Half of the engines lose answers while all of them are nearly full.
        let fleet = fleet(4);
        let mut board = Board::default();
        for number in 0..3 {
            for endpoint in ["e0", "e1"] {
                let request = format!("{endpoint}-{number}");
                let avoid = ["e0", "e1", "e2", "e3"].into_iter().filter(|id| *id != endpoint);
                let ask = Ask { avoid: avoid.map(Into::into).collect(), ..ask(&request, None) };
                board.book(&fleet, "here", &ask, now).expect("a booking");
                board.release(&request, End::Failed, now);
            }
        }
        let mut turns = std::collections::BTreeMap::new();
        for number in 0..14 {
            let (request, program) = (format!("t{number}"), format!("p{number}"));
            let booking = board.book(&fleet, "here", &ask(&request, Some(&program)), now);
            *turns.entry(booking.expect("a booking").endpoint).or_insert(0) += 1;
        }
        assert!(turns.values().all(|count| *count <= SLOTS), "{turns:?}");
    }

    a_burst_fills_all_endpoints_before_any_queues(now) {
        let fleet = fleet(9);
        let loads = loads(&mut Board::default(), &fleet, 9 * SLOTS as usize, now);
        assert_eq!(loads.len(), 36);
        assert!(loads.iter().all(|load| *load < 1.0), "{loads:?}");
    }

    daemons_without_a_steward_queue_in_the_same_burst(now) {
        // Each of 36 daemons has one request and sees no other's: placement is by lot.
        let fleet = fleet(9);
        let mut counts = std::collections::BTreeMap::new();
        for number in 0..36 {
            let need = sched::fleet::Need {
                dc: "here",
                affinity: &format!("p{number}"),
                affinity_load: 0.3,
                avoid: &[],
            };
            let choice = fleet.place("s", &need, &mut fastrand::Rng::with_seed(1), now);
            *counts.entry(choice.expect("an endpoint").id).or_insert(0_u32) += 1;
        }
        assert!(counts.values().any(|count| *count > SLOTS), "{counts:?}");
    }

    a_program_stays_with_the_engine_that_has_its_prompt(now) {
        let (fleet, mut board) = (fleet(9), Board::default());
        let first = board.book(&fleet, "here", &ask("r0", Some("p")), now).expect("an engine");
        board.release("r0", End::Done, now);
        loads(&mut board, &fleet, 18, now);
        let next = board.book(&fleet, "here", &ask("next", Some("p")), now).expect("an engine");
        assert_eq!(first.endpoint, next.endpoint);
    }

    a_program_leaves_an_engine_that_is_full(now) {
        let (fleet, mut board) = (fleet(2), Board::default());
        let first = board.book(&fleet, "here", &ask("r0", Some("p")), now).expect("an engine");
        for turn in 1..SLOTS {
            board.book(&fleet, "here", &ask(&format!("r{turn}"), Some("p")), now);
        }
        let next = board.book(&fleet, "here", &ask("next", Some("p")), now).expect("an engine");
        assert_ne!(first.endpoint, next.endpoint);
    }

    a_released_booking_leaves_room(now) {
        let (fleet, mut board) = (fleet(1), Board::default());
        board.book(&fleet, "here", &ask("r0", None), now);
        board.release("r0", End::Done, now);
        board.release("r0", End::Done, now);
        let booking = board.book(&fleet, "here", &ask("r1", None), now).expect("an engine");
        assert!(booking.load.abs() < f64::EPSILON);
    }

    a_booking_of_a_lost_daemon_lapses(now) {
        let (fleet, mut board) = (fleet(1), Board::default());
        board.book(&fleet, "here", &ask("r0", None), now);
        board.sweep(now + Duration::from_secs(1));
        assert_eq!(board.len(), 1);
        board.sweep(now + Duration::from_secs(30));
        assert!(board.is_empty());
    }

    a_failed_endpoint_is_booked_last(now) {
        let (mut fleet, mut board) = (fleet(2), Board::default());
        fleet.fail("e0", now);
        for number in 0..4 {
            let booking = board.book(&fleet, "here", &ask(&format!("r{number}"), None), now);
            assert_eq!(booking.expect("an engine").endpoint, "e1");
        }
    }

    another_data_centre_has_another_steward(now) {
        assert!(Board::default().book(&fleet(2), "there", &ask("r0", None), now).is_none());
    }
}
