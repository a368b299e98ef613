//! Terms and their allocators.

use sched::spend::Record;
use sched::term::{Allocator, Stability, StabilityTracker, Step, TermView, UnusedShare};
use std::time::{Duration, Instant};

const LIMIT: u64 = 1_000;
const STABLE: Stability =
    Stability { unchanged_for: Duration::from_secs(9), due_for: Duration::ZERO };
const HOUR_MS: u64 = 3_600_000;

/// Returns processes with these incarnations, each on its own VM.
fn processes(incarnations: &[u64]) -> Vec<Allocator> {
    let vms = incarnations.iter().enumerate();
    vms.map(|(index, incarnation)| Allocator {
        vm: format!("vm-{index}").into(),
        incarnation: *incarnation,
    })
    .collect()
}

/// Opens a term whether or not it is due. Returns whether enough was left for its share.
fn open_term(view: &mut TermView, live: &[u64], now_ms: u64) -> bool {
    let Some(terms) = view.announce(&processes(live), false, now_ms) else {
        return false;
    };
    view.terms = terms.opened(&[]);
    true
}

/// Returns the view of a first term with the processes 1 to 4.
fn first_term() -> TermView {
    let mut view = TermView::default();
    assert!(open_term(&mut view, &[1, 2, 3, 4], 0));
    view
}

/// Returns whether a term is announced while these processes are live.
fn announces(view: &TermView, live: &[u64], stability: Stability) -> bool {
    matches!(view.next_step(&processes(live), stability, 0), Step::Announce(_))
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
        let (mut tracker, start) = (StabilityTracker::new(Instant::now()), Instant::now());
        let view = TermView::default();
        let mut step = |live: &[u64], after_ms| {
            let now = start + Duration::from_millis(after_ms);
            let live = processes(live);
            view.next_step(&live, tracker.update(&live, view.is_due(&live), now), 0)
        };
        assert_eq!(step(&[], 0), Step::Wait);
        assert_eq!(step(&[1], 200), Step::Wait);
        assert_eq!(step(&[1, 2], 1_100), Step::Wait);
        assert!(matches!(step(&[1, 2], 2_200), Step::Announce(_)));
    }

    a_term_opens_during_a_rolling_restart {
        let (mut tracker, start) = (StabilityTracker::new(Instant::now()), Instant::now());
        let mut view = first_term();
        view.closed.extend([1, 2, 3]);
        let mut waited = 0;
        // A daemon restarts every half second, so the set of live processes is never stable.
        for restarted in 0..10 {
            let live = processes(&[10 + restarted, 20, 30, 4]);
            let now = start + Duration::from_millis(500 * restarted);
            if view.next_step(&live, tracker.update(&live, view.is_due(&live), now), 0)
                != Step::Wait
            {
                break;
            }
            waited += 1;
        }
        assert_eq!(waited, 6);
    }

    a_term_follows_when_most_allocators_have_been_restarted {
        let mut view = first_term();
        view.closed.extend([1, 2]);
        assert!(!announces(&view, &[9, 8, 3, 4], STABLE));
        view.closed.insert(3);
        assert!(announces(&view, &[9, 8, 7, 4], STABLE));
        // One of four may have been lost with an open ledger.
        assert!(announces(&view, &[9, 8, 7, 6], STABLE));
    }

    no_term_follows_soon_after_many_allocators_were_lost {
        let view = first_term();
        assert!(!announces(&view, &[9, 8, 7, 6], STABLE));
        // The shares no longer count once all programs that could use them have ended.
        let stability = Stability { due_for: Duration::from_secs(3_600), ..STABLE };
        assert!(announces(&view, &[9, 8, 7, 6], stability));
        let terms = view.announce(&processes(&[9, 8, 7, 6]), true, 0).expect("a term is announced");
        assert_eq!(terms.allocators().into_iter().collect::<Vec<_>>(), [9, 8, 7, 6]);
    }

    a_restarted_daemon_is_not_an_allocator {
        let view = first_term();
        let allocator = view.allocator("p").expect("an allocator").incarnation;
        assert!(view.initial_allowance("p", LIMIT, allocator, &[]).share_tokens > 0);
        for other in [1, 2, 3, 4, 9].into_iter().filter(|other| *other != allocator) {
            assert_eq!(view.initial_allowance("p", LIMIT, other, &[]).share_tokens, 0);
        }
    }

    shares_leave_something_to_draw {
        let (mut view, mut unrecorded) = (TermView::default(), Vec::new());
        for term in 1..=9 {
            if !open_term(&mut view, &[term * 10, term * 10 + 1], 0) {
                break;
            }
            unrecorded.push(view.unrecorded("p", LIMIT, 0, &[]));
        }
        assert_eq!(unrecorded, [400, 700]);
    }

    an_announced_term_counts_but_hands_out_nothing_yet {
        let mut view = first_term();
        let live = processes(&[7, 8, 9]);
        view.terms = view.announce(&live, false, 0).expect("a term is announced");
        assert_eq!(view.next_step(&live, STABLE, 0), Step::Open);
        for process in [7, 8, 9] {
            assert_eq!(view.initial_allowance("p", LIMIT, process, &[]).share_tokens, 0);
        }
        assert_eq!(view.unrecorded("p", LIMIT, 0, &[]), 700);
        assert_eq!(view.unrecorded("p", LIMIT, 1, &[]), 300);
    }

    programs_whose_record_leaves_no_room_get_no_share {
        let mut view = first_term();
        let terms = view.announce(&processes(&[7, 8, 9]), false, 0).expect("a term is announced");
        let records = [("room".into(), record(700, 1)), ("full".into(), record(701, 1))];
        view.terms = terms.opened(&records);
        assert!(view.allocator("room").is_some());
        assert_eq!(view.allocator("full"), None);
        assert_eq!(view.unrecorded("full", LIMIT, 1, &[]), 0);
        // A record that was written after the announcement counts the share already.
        view.terms =
            terms.opened(&[("new".into(), record(1_000, 2)), ("over".into(), record(1_001, 2))]);
        assert!(view.allocator("new").is_some());
        assert_eq!(view.allocator("over"), None);
    }

    allocators_that_closed_their_ledger_or_used_no_share_do_not_count {
        let mut view = first_term();
        let allocator = view.allocator("p").expect("an allocator").incarnation;
        let unused = |after| [UnusedShare { allocator, after }];
        assert_eq!(view.unrecorded("p", LIMIT, 0, &unused(0)), 0);
        assert_eq!(view.unrecorded("p", LIMIT, 0, &unused(1)), 400);
        view.closed.insert(allocator);
        assert_eq!(view.unrecorded("p", LIMIT, 0, &[]), 0);
    }

    a_term_is_dropped_when_all_ledgers_are_closed {
        let mut view = first_term();
        view.closed.extend([1, 2, 3, 4]);
        assert!(open_term(&mut view, &[7, 8, 9], 0));
        assert_eq!(view.terms.number(), 2);
        assert_eq!(view.terms.allocators().into_iter().collect::<Vec<_>>(), [7, 8, 9]);
        assert_eq!(view.unrecorded("p", LIMIT, 0, &[]), 400);
    }

    a_term_is_dropped_when_its_programs_have_ended {
        let mut view = first_term();
        assert!(open_term(&mut view, &[5, 6, 7], 1_000));
        let next = |now_ms| view.announce(&processes(&[8, 9]), false, now_ms);
        assert_eq!(next(HOUR_MS), None);
        let allocators = next(HOUR_MS + 1_000).expect("a term is announced").allocators();
        assert!(!allocators.contains(&1) && allocators.contains(&5));
    }
}
