//! Bookings of endpoints by their steward.

use sched::admission::Stage;
use sched::coordinator::{Bookings, End, Request};
use sched::fleet::{Fleet, Registration, State};
use sched::request::Part;
use std::time::{Duration, Instant};

const SLOTS: u32 = 4;

fn registration(number: usize, incarnation: u64) -> Registration {
    Registration {
        id: format!("e{number}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        dc: "here".into(),
        slots: SLOTS,
        state: State::Ready,
        incarnation,
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    (0..count).for_each(|number| fleet.register(registration(number, 1)));
    fleet
}

fn ask(request: &str, program: Option<&str>) -> Request {
    Request {
        id: request.into(),
        program: program.map(Into::into),
        service: "s".into(),
        stage: Stage::Continues,
        time_left: None,
        prompt: Vec::new(),
        memory: 0,
        avoid: Vec::new(),
    }
}

/// Asks for a turn of a line of program `p` whose prompt has grown to `tokens`.
fn turn(request: &str, line: u64, tokens: u64) -> Request {
    let prompt = vec![Part { id: 1, tokens: 512 }, Part { id: line, tokens }];
    Request { prompt, ..ask(request, Some("p")) }
}

/// Books a turn, ends it and returns its engine.
fn play(board: &mut Bookings, fleet: &Fleet, ask: &Request, now: Instant) -> sched::id::EndpointId {
    let booking = board.book(fleet, "here", ask, now).booking().expect("an engine");
    board.release(&ask.id, &booking.endpoint, End::Done, now);
    booking.endpoint
}

fn all_but(fleet: &Fleet, endpoint: &str) -> Vec<sched::id::EndpointId> {
    let ids = (0..fleet.len()).map(|number| format!("e{number}").into());
    ids.filter(|id| id != endpoint).collect()
}

/// Books `count` plain requests at one engine.
fn crowd(board: &mut Bookings, fleet: &Fleet, endpoint: &str, count: u32, now: Instant) {
    let avoid = all_but(fleet, endpoint);
    for number in 0..count {
        let ask = Request { avoid: avoid.clone(), ..ask(&format!("crowd-{number}"), None) };
        board.book(fleet, "here", &ask, now).booking().expect("an engine");
    }
}

/// Plays programs of nine turns on nine engines with a third more turns than slots, each turn a tick
/// after its line's former one; returns the tokens that engines read and those that they kept.
fn play_burst(start: Instant) -> (u64, u64) {
    const LINES: u64 = 48;
    let (fleet, mut board) = (fleet(9), Bookings::default());
    let (mut read, mut kept) = (0, 0);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut caches: std::collections::BTreeMap<_, sched::prefix::Cache> = Default::default();
    for tick in 0..90 {
        let now = start + Duration::from_millis(300 * tick);
        let mut turns: Vec<Request> = (0..LINES)
            .map(|line| {
                let (program, number) = ((tick + line) / 9, (tick + line) % 9);
                let id = 100 + program * LINES + line;
                let prompt = vec![
                    Part { id: 1 + line % 3, tokens: 512 },
                    Part { id, tokens: 400 + 450 * number },
                ];
                let program = format!("p{id}");
                Request { prompt, memory: 40_000, ..ask(&format!("r{line}"), Some(&program)) }
            })
            .collect();
        rng.shuffle(&mut turns);
        let mut engines = Vec::new();
        for turn in &turns {
            let booking = board.book(&fleet, "here", turn, now).booking().expect("an engine");
            engines.push(booking.endpoint.clone());
            let cache = caches.entry(booking.endpoint).or_default();
            let hit = cache.cached(&turn.prompt);
            kept += hit;
            read += turn.prompt.iter().map(|part| part.tokens).sum::<u64>() - hit;
            cache.insert(&turn.prompt, turn.memory);
        }
        for (turn, endpoint) in turns.iter().zip(&engines) {
            board.release(&turn.id, endpoint, End::Done, now);
        }
    }
    (read, kept)
}

/// Books requests and returns the loads that they found.
fn loads(board: &mut Bookings, fleet: &Fleet, count: usize, now: Instant) -> Vec<f64> {
    let booked = (0..count).filter_map(|number| {
        board.book(fleet, "here", &ask(&format!("r{number}"), None), now).booking()
    });
    booked.map(|booking| booking.load).collect()
}

macro_rules! cases {
    ($($name:ident($now:ident) $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now(); $body })*
    };
}

/// Plays six seconds with eight requests under way, of which faulty endpoints fail every second one;
/// returns how many each endpoint got.
fn play_faults(board: &mut Bookings, fleet: &Fleet, faulty: &[&str], start: Instant) -> Vec<usize> {
    let mut got = vec![0; fleet.len()];
    let mut under_way = std::collections::VecDeque::new();
    for number in 0..600 {
        let now = start + Duration::from_millis(10 * number);
        let request = format!("f{number}");
        let booking =
            board.book(fleet, "here", &ask(&request, None), now).booking().expect("an endpoint");
        let at = fleet.usable("s", now).position(|found| found.registration.id == booking.endpoint);
        got[at.expect("an endpoint of the fleet")] += 1;
        under_way.push_back((request, booking.endpoint));
        if under_way.len() > 8 {
            let (request, endpoint) = under_way.pop_front().expect("a request");
            let failed = faulty.contains(&endpoint.as_str()) && number % 2 == 0;
            let end = if failed { End::Failed } else { End::Done };
            board.release(&request, &endpoint, end, now);
        }
    }
    got
}

cases! {
    an_endpoint_that_fails_a_part_of_its_requests_gets_few(now) {
        let fleet = fleet(6);
        let got = play_faults(&mut Bookings::default(), &fleet, &["e0"], now);
        assert!(got[0] * 4 < 600 / 6, "{got:?}");
        assert!(got[0] > 0, "it is never tried again: {got:?}");
    }

    endpoints_that_fail_alike_share_the_load(now) {
        let fleet = fleet(4);
        let got = play_faults(&mut Bookings::default(), &fleet, &["e0", "e1", "e2", "e3"], now);
        assert!(got.iter().all(|count| *count > 600 / 4 / 2), "{got:?}");
    }

    turns_are_not_crowded_on_the_engines_that_fail_less(now) {
        // Half of the engines lose answers while all of them are nearly full.
        let fleet = fleet(4);
        let mut board = Bookings::default();
        for number in 0..3 {
            for endpoint in ["e0", "e1"] {
                let request = format!("{endpoint}-{number}");
                let ask = Request { avoid: all_but(&fleet, endpoint), ..ask(&request, None) };
                board.book(&fleet, "here", &ask, now).booking().expect("a booking");
                board.release(&request, endpoint, End::Failed, now);
            }
        }
        let mut turns = std::collections::BTreeMap::new();
        for number in 0..14 {
            let (request, program) = (format!("t{number}"), format!("p{number}"));
            let booking = board.book(&fleet, "here", &ask(&request, Some(&program)), now).booking();
            *turns.entry(booking.expect("a booking").endpoint).or_insert(0) += 1;
        }
        assert!(turns.values().all(|count| *count <= SLOTS), "{turns:?}");
    }

    a_burst_fills_all_endpoints_before_any_queues(now) {
        let fleet = fleet(9);
        let loads = loads(&mut Bookings::default(), &fleet, 9 * SLOTS as usize, now);
        assert_eq!(loads.len(), 36);
        assert!(loads.iter().all(|load| *load < 1.0), "{loads:?}");
    }

    daemons_without_a_steward_queue_in_the_same_burst(now) {
        // Each of 36 daemons has one request and sees no other's: placement is by lot.
        let fleet = fleet(9);
        let mut counts = std::collections::BTreeMap::new();
        for number in 0..36 {
            let need = sched::fleet::Criteria {
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
        let (fleet, mut board) = (fleet(9), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 1_000), now);
        loads(&mut board, &fleet, 18, now);
        assert_eq!(first, play(&mut board, &fleet, &turn("next", 7, 1_500), now));
    }

    a_long_prompt_waits_a_little_for_the_engine_that_keeps_it(now) {
        let (fleet, mut board) = (fleet(3), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 6_000), now);
        loads(&mut board, &fleet, 6, now);
        crowd(&mut board, &fleet, &first, 2, now);
        assert_eq!(first, play(&mut board, &fleet, &turn("next", 7, 6_500), now));
    }

    a_program_leaves_an_engine_with_a_queue(now) {
        let (fleet, mut board) = (fleet(2), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 1_000), now);
        crowd(&mut board, &fleet, &first, 2 * SLOTS, now);
        assert_ne!(first, play(&mut board, &fleet, &turn("next", 7, 1_500), now));
    }

    a_short_prompt_does_not_wait_where_another_engine_has_a_slot(now) {
        let (fleet, mut board) = (fleet(2), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 100), now);
        crowd(&mut board, &fleet, &first, SLOTS, now);
        assert_ne!(first, play(&mut board, &fleet, &turn("next", 7, 200), now));
    }

    sub_agents_go_where_their_parents_prompt_is(now) {
        let (fleet, mut board) = (fleet(9), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 2_000), now);
        for agent in 0..u64::from(SLOTS) {
            let mut ask = turn(&format!("a{agent}"), 7, 2_000);
            ask.prompt.push(Part { id: 100 + agent, tokens: 300 });
            let booking = board.book(&fleet, "here", &ask, now).booking().expect("an engine");
            assert_eq!(booking.endpoint, first);
        }
    }

    lines_of_one_program_stay_where_each_of_them_was(now) {
        let (fleet, mut board) = (fleet(9), Bookings::default());
        let main = play(&mut board, &fleet, &turn("r0", 7, 3_000), now);
        let avoid = vec![main.clone()];
        let side = play(&mut board, &fleet, &Request { avoid, ..turn("r1", 8, 3_000) }, now);
        assert_eq!(main, play(&mut board, &fleet, &turn("r2", 7, 3_500), now));
        assert_eq!(side, play(&mut board, &fleet, &turn("r3", 8, 3_500), now));
    }

    an_engine_that_started_again_keeps_nothing(now) {
        let (mut fleet, mut board) = (fleet(2), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 3_000), now);
        let number = usize::from(first == "e1");
        fleet.register(registration(number, 2));
        crowd(&mut board, &fleet, &first, 1, now);
        assert_ne!(first, play(&mut board, &fleet, &turn("next", 7, 3_500), now));
    }

    a_booking_that_was_not_used_tells_nothing_of_the_engine(now) {
        let (fleet, mut board) = (fleet(9), Bookings::default());
        let unused = board.book(&fleet, "here", &turn("r0", 7, 3_000), now).booking().expect("an engine");
        board.release("r0", &unused.endpoint, End::Unsent, now);
        crowd(&mut board, &fleet, &unused.endpoint, 1, now);
        assert_ne!(unused.endpoint, play(&mut board, &fleet, &turn("next", 7, 3_500), now));
    }

    an_endpoint_that_fails_all_requests_is_shunned(now) {
        let (fleet, mut board) = (fleet(3), Bookings::default());
for number in 0..5 {
            let failed = format!("f{number}");
            let ask = Request { avoid: all_but(&fleet, "e0"), ..ask(&failed, None) };
            let booking = board.book(&fleet, "here", &ask, now).booking().expect("an endpoint");
            board.release(&failed, &booking.endpoint, End::Failed, now);
        }
        // The two others fill up and queue as long as their slots before it is asked.
        for number in 0..3 * SLOTS {
            let turn = turn(&format!("t{number}"), 100 + u64::from(number), 500);
            assert_ne!(board.book(&fleet, "here", &turn, now).booking().expect("an engine").endpoint, "e0");
        }
        // One more request tells whether it is well again, and it gets its part then.
        let later = now + Duration::from_secs(8);
        let told = (0..8).any(|number| {
            let turn = turn(&format!("l{number}"), 200 + number, 500);
            let endpoint = play(&mut board, &fleet, &turn, later);
            endpoint == "e0"
        });
        assert!(told, "it is never tried again");
    }

    a_release_that_comes_late_ends_the_former_booking(now) {
        let (fleet, mut board) = (fleet(2), Bookings::default());
        let first = board.book(&fleet, "here", &ask("r0", None), now).booking().expect("an endpoint");
        let avoid = vec![first.endpoint.clone()];
        let second = Request { avoid, ..ask("r0", None) };
        let second = board.book(&fleet, "here", &second, now).booking().expect("an endpoint");
        board.release("r0", &first.endpoint, End::Failed, now);
        assert_eq!(board.len(), 1, "the second booking stands");
        let next = board.book(&fleet, "here", &ask("r1", None), now).booking().expect("an endpoint");
        assert_eq!(next.endpoint, second.endpoint, "the failure is the first endpoint's");
    }

    a_success_ends_a_row_of_failures(now) {
        let (fleet, mut board) = (fleet(1), Bookings::default());
        let free = board.book(&fleet, "here", &ask("r", None), now).booking().expect("an endpoint").cost;
        for number in 0..6 {
            let request = format!("f{number}");
            board.book(&fleet, "here", &ask(&request, None), now).booking();
            let end = if number % 3 == 2 { End::Done } else { End::Failed };
            board.release(&request, "e0", end, now);
        }
        board.release("r", "e0", End::Done, now);
        let cost = board.book(&fleet, "here", &ask("last", None), now).booking().expect("an endpoint").cost;
        assert!(cost < free + 2.0, "{free} {cost}");
    }

    engines_that_fail_are_left_even_where_they_keep_the_prompt(now) {
        let (fleet, mut board) = (fleet(2), Bookings::default());
        let first = play(&mut board, &fleet, &turn("r0", 7, 3_000), now);
        let other = if first == "e0" { "e1" } else { "e0" };
        for number in 0..3 {
            let failed = format!("f{number}");
            let ask = Request { avoid: vec![other.into()], ..ask(&failed, None) };
            let booking = board.book(&fleet, "here", &ask, now).booking().expect("an engine");
            board.release(&failed, &booking.endpoint, End::Failed, now);
        }
        assert_eq!(play(&mut board, &fleet, &turn("next", 7, 3_500), now), other);
    }

    a_burst_reads_little_again(now) {
        // What a line adds with each turn, and the first turn's whole prompt, has to be read.
        let (read, kept) = play_burst(now);
        assert!(read * 2 < kept, "read {read}, kept {kept}");
    }

    a_released_booking_leaves_room(now) {
        let (fleet, mut board) = (fleet(1), Bookings::default());
        board.book(&fleet, "here", &ask("r0", None), now).booking();
        board.release("r0", "e0", End::Done, now);
        board.release("r0", "e0", End::Done, now);
        let booking = board.book(&fleet, "here", &ask("r1", None), now).booking().expect("an engine");
        assert!(booking.load.abs() < f64::EPSILON);
    }

    a_booking_of_a_lost_daemon_lapses(now) {
        let (fleet, mut board) = (fleet(1), Bookings::default());
        board.book(&fleet, "here", &ask("r0", None), now).booking();
        board.sweep(now + Duration::from_secs(1));
        assert_eq!(board.len(), 1);
        board.sweep(now + Duration::from_secs(30));
        assert!(board.is_empty());
    }

    a_failed_endpoint_is_booked_last(now) {
        let (mut fleet, mut board) = (fleet(2), Bookings::default());
        fleet.record_failure("e0", now);
        for number in 0..4 {
            let booking = board.book(&fleet, "here", &ask(&format!("r{number}"), None), now).booking();
            assert_eq!(booking.expect("an engine").endpoint, "e1");
        }
    }

    another_data_centre_has_another_steward(now) {
        assert!(Bookings::default().book(&fleet(2), "there", &ask("r0", None), now).booking().is_none());
    }
}
