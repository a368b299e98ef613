//! Terms of founders.

use sched::spend::Record;
use sched::term::{Allocator, Stability, StabilityTracker, Step, TermView, UnusedShare};
use std::time::{Duration, Instant};

const LIMIT: u64 = 1_000;
const CALM: Stability =
    Stability { unchanged_for: Duration::from_secs(9), due_for: Duration::ZERO };
const HOUR_MS: u64 = 3_600_000;

/// The processes with these numbers, each on a VM of its own.
fn processes(incarnations: &[u64]) -> Vec<Allocator> {
    let vms = incarnations.iter().enumerate();
    vms.map(|(at, incarnation)| Allocator {
        vm: format!("vm-{at}").into(),
        incarnation: *incarnation,
    })
    .collect()
}

/// Opens a term, due or not; tells whether enough was left for it.
fn open(roll: &mut TermView, live: &[u64], now_ms: u64) -> bool {
    let Some(terms) = roll.announce(&processes(live), false, now_ms) else {
        return false;
    };
    roll.terms = terms.opened(&[]);
    true
}

/// The first term of the processes 1 to 4.
fn first() -> TermView {
    let mut roll = TermView::default();
    assert!(open(&mut roll, &[1, 2, 3, 4], 0));
    roll
}

/// Tells whether a term is announced while these processes live.
fn announces(roll: &TermView, live: &[u64], calm: Stability) -> bool {
    matches!(roll.next_step(&processes(live), calm, 0), Step::Announce(_))
}

fn record(drawn: u64, term: u32) -> Record {
    Record { budget: 900, max_tokens: 100, drawn, term, ..Record::default() }
}

macro_rules! cases {
    ($($name:ident $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    the_first_term_waits_until_all_daemons_have_started {
        let (mut watch, start) = (StabilityTracker::new(Instant::now()), Instant::now());
        let roll = TermView::default();
        let mut step = |live: &[u64], after_ms| {
            let now = start + Duration::from_millis(after_ms);
            let live = processes(live);
            roll.next_step(&live, watch.update(&live, roll.is_due(&live), now), 0)
        };
        assert_eq!(step(&[], 0), Step::Wait);
        assert_eq!(step(&[1], 200), Step::Wait);
        assert_eq!(step(&[1, 2], 1_100), Step::Wait);
        assert!(matches!(step(&[1, 2], 2_200), Step::Announce(_)));
    }

    a_term_opens_although_daemons_restart_in_turn {
        let (mut watch, start) = (StabilityTracker::new(Instant::now()), Instant::now());
        let mut roll = first();
        roll.closed.extend([1, 2, 3]);
        let mut waited = 0;
        // A daemon comes back each half second, so the live processes are never the same for long.
        for restarted in 0..10 {
            let live = processes(&[10 + restarted, 20, 30, 4]);
            let now = start + Duration::from_millis(500 * restarted);
            if roll.next_step(&live, watch.update(&live, roll.is_due(&live), now), 0) != Step::Wait {
                break;
            }
            waited += 1;
        }
        assert_eq!(waited, 6);
    }

    a_term_follows_when_most_founders_have_been_restarted {
        let mut roll = first();
        roll.closed.extend([1, 2]);
        assert!(!announces(&roll, &[9, 8, 3, 4], CALM));
        roll.closed.insert(3);
        assert!(announces(&roll, &[9, 8, 7, 4], CALM));
        // One of four may have been lost with open books.
        assert!(announces(&roll, &[9, 8, 7, 6], CALM));
    }

    no_term_follows_soon_after_many_founders_were_lost {
        let roll = first();
        assert!(!announces(&roll, &[9, 8, 7, 6], CALM));
        // Later than any program that they founded, nothing of theirs counts.
        let calm = Stability { due_for: Duration::from_secs(3_600), ..CALM };
        assert!(announces(&roll, &[9, 8, 7, 6], calm));
        let terms = roll.announce(&processes(&[9, 8, 7, 6]), true, 0).expect("a term");
        assert_eq!(terms.allocators().into_iter().collect::<Vec<_>>(), [9, 8, 7, 6]);
    }

    a_restarted_daemon_is_no_founder {
        let roll = first();
        let allocator = roll.allocator("p").expect("a founder").incarnation;
        assert!(roll.initial_allowance("p", LIMIT, allocator, &[]).share_tokens > 0);
        for other in [1, 2, 3, 4, 9].into_iter().filter(|other| *other != allocator) {
            assert_eq!(roll.initial_allowance("p", LIMIT, other, &[]).share_tokens, 0);
        }
    }

    shares_leave_something_to_draw {
        let (mut roll, mut unrecorded) = (TermView::default(), Vec::new());
        for term in 1..=9 {
            if !open(&mut roll, &[term * 10, term * 10 + 1], 0) {
                break;
            }
            unrecorded.push(roll.unrecorded("p", LIMIT, 0, &[]));
        }
        assert_eq!(unrecorded, [400, 700]);
    }

    an_announced_term_hands_out_nothing_yet_and_counts {
        let mut roll = first();
        let live = processes(&[7, 8, 9]);
        roll.terms = roll.announce(&live, false, 0).expect("a term");
        assert_eq!(roll.next_step(&live, CALM, 0), Step::Open);
        for newcomer in [7, 8, 9] {
            assert_eq!(roll.initial_allowance("p", LIMIT, newcomer, &[]).share_tokens, 0);
        }
        assert_eq!(roll.unrecorded("p", LIMIT, 0, &[]), 700);
        assert_eq!(roll.unrecorded("p", LIMIT, 1, &[]), 300);
    }

    programs_whose_record_leaves_no_room_get_no_share {
        let mut roll = first();
        let terms = roll.announce(&processes(&[7, 8, 9]), false, 0).expect("a term");
        let records = [("room".into(), record(700, 1)), ("full".into(), record(701, 1))];
        roll.terms = terms.opened(&records);
        assert!(roll.allocator("room").is_some());
        assert_eq!(roll.allocator("full"), None);
        assert_eq!(roll.unrecorded("full", LIMIT, 1, &[]), 0);
        // A record that was written after the announcement counts the share already.
        roll.terms = terms.opened(&[("new".into(), record(1_000, 2)), ("over".into(), record(1_001, 2))]);
        assert!(roll.allocator("new").is_some());
        assert_eq!(roll.allocator("over"), None);
    }

    founders_that_closed_their_books_or_were_silent_do_not_count {
        let mut roll = first();
        let allocator = roll.allocator("p").expect("a founder").incarnation;
        let silent = |after| [UnusedShare { allocator, after }];
        assert_eq!(roll.unrecorded("p", LIMIT, 0, &silent(0)), 0);
        assert_eq!(roll.unrecorded("p", LIMIT, 0, &silent(1)), 400);
        roll.closed.insert(allocator);
        assert_eq!(roll.unrecorded("p", LIMIT, 0, &[]), 0);
    }

    a_term_is_forgotten_when_all_books_are_closed {
        let mut roll = first();
        roll.closed.extend([1, 2, 3, 4]);
        assert!(open(&mut roll, &[7, 8, 9], 0));
        assert_eq!(roll.terms.number(), 2);
        assert_eq!(roll.terms.allocators().into_iter().collect::<Vec<_>>(), [7, 8, 9]);
        assert_eq!(roll.unrecorded("p", LIMIT, 0, &[]), 400);
    }

    a_term_is_forgotten_when_its_programs_are_over {
        let mut roll = first();
        assert!(open(&mut roll, &[5, 6, 7], 1_000));
        let next = |now_ms| roll.announce(&processes(&[8, 9]), false, now_ms);
        assert_eq!(next(HOUR_MS), None);
        let allocators = next(HOUR_MS + 1_000).expect("a term").allocators();
        assert!(!allocators.contains(&1) && allocators.contains(&5));
    }
}
