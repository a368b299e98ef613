//! Budgets of programs across several owners and daemons.

use sched::id::VmId;
use sched::spend::{
    self, Counts, Draw, Ledger, Record, ReservationRequest, ReserveOutcome, Transfer,
};
use sched::term::{Allocator, InitialAllowance, TermView, UnusedShare};
use std::time::{Duration, Instant};

const BUDGET: u64 = 1_000;
const MAX_TOKENS: u64 = 100;
/// Time for which a program stays stopped.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum time between a program's first and last turn.
const PROGRAM_LIFETIME: Duration = Duration::from_secs(3_600);

fn reservation(request_id: &str, daemon: &str, handed_out: u64) -> ReservationRequest {
    ReservationRequest {
        program: "p".into(),
        budget: BUDGET,
        request_id: request_id.into(),
        max_tokens: MAX_TOKENS,
        daemon: daemon.into(),
        handed_out,
        retention: RETENTION,
    }
}

/// Process that is the allocator of all programs in the first term.
const ALLOCATOR: u64 = 1;
/// Process that is not an allocator.
const OTHER: u64 = 2;
/// Draw of an owner that counts the first term.
const DRAW: Draw = Draw {
    needed: 0,
    number: 0,
    unrecorded: 0,
    term: 1,
    unused_share: UnusedShare { allocator: OTHER, after: 1 },
};

/// Returns a single allocator.
fn allocators(incarnation: u64) -> [Allocator; 1] {
    [Allocator { vm: "vm".into(), incarnation }]
}

/// Opens the next term with one allocator.
fn next_term(view: &mut TermView, allocator: u64) {
    let terms = view.announce(&allocators(allocator), false, 0).expect("enough is left for a term");
    view.terms = terms.opened(&[]);
}

/// Returns the view of the first term, whose allocator is [`ALLOCATOR`].
fn first_term() -> TermView {
    let mut view = TermView::default();
    next_term(&mut view, ALLOCATOR);
    view
}

/// Returns the initial allowance of `process` for the program in the first term.
fn allowance(process: u64) -> InitialAllowance {
    first_term().initial_allowance("p", BUDGET + MAX_TOKENS, process, &[])
}

/// Returns the share that the allocator of the program may have spent.
fn unrecorded() -> u64 {
    allowance(OTHER).unrecorded
}

/// Reserves a turn as the allocator, drawing from `record` as needed. Returns whether it may run.
fn run_as_allocator(
    ledger: &mut Ledger,
    record: &mut Option<Record>,
    request: &ReservationRequest,
) -> bool {
    run_as(&"owner".into(), ledger, record, request, allowance(ALLOCATOR), &first_term(), false)
}

/// Like [`run_as_allocator`], as another owner that is not an allocator.
fn run_as_other(
    ledger: &mut Ledger,
    record: &mut Option<Record>,
    request: &ReservationRequest,
) -> bool {
    run_as(&"other".into(), ledger, record, request, allowance(OTHER), &first_term(), false)
}

/// Reserves a turn as the process `owner`. With `reply_lost`, a draw takes effect but its reply is
/// lost.
fn run_as(
    owner: &VmId,
    ledger: &mut Ledger,
    record: &mut Option<Record>,
    request: &ReservationRequest,
    allowance: InitialAllowance,
    view: &TermView,
    reply_lost: bool,
) -> bool {
    let now = Instant::now();
    loop {
        match ledger.reserve(request, allowance, now) {
            ReserveOutcome::Granted => return true,
            ReserveOutcome::NewlyExhausted => {
                *record = Some(spend::record_after_stop(request, record.as_ref(), view, 0))
            }
            ReserveOutcome::Exhausted => return false,
            ReserveOutcome::Draw(draw) => {
                match spend::record_after_draw(request, owner, record.clone(), draw, view, 0) {
                    Some((drawn, tokens)) => {
                        *record = Some(drawn);
                        if reply_lost {
                            return false;
                        }
                        ledger.apply_draw("p", tokens);
                    }
                    None => ledger.mark_exhausted("p"),
                }
            }
        }
    }
}

/// Runs turns one after the other until one is refused. Returns the tokens handed out.
fn spend_all_by(
    run: fn(&mut Ledger, &mut Option<Record>, &ReservationRequest) -> bool,
    ledger: &mut Ledger,
    record: &mut Option<Record>,
    daemon: &str,
    each: u64,
) -> u64 {
    let mut handed_out = 0;
    for turn in 0..1_000 {
        let turn = reservation(&format!("{daemon}-{turn}"), daemon, handed_out);
        if !run(ledger, record, &turn) {
            return handed_out;
        }
        handed_out += each;
        ledger.settle("p", &turn.request_id, daemon, handed_out);
    }
    panic!("the budget is never exhausted");
}

/// Like [`spend_all_by`], as the program's allocator.
fn spend_all(ledger: &mut Ledger, record: &mut Option<Record>, daemon: &str, each: u64) -> u64 {
    spend_all_by(run_as_allocator, ledger, record, daemon, each)
}

/// Like [`spend_all_by`], as an owner that took over without an account.
fn spend_all_as_other(record: &mut Option<Record>, daemon: &str, each: u64) -> u64 {
    spend_all_by(run_as_other, &mut Ledger::default(), record, daemon, each)
}

macro_rules! cases {
    ($($name:ident $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    a_program_spends_its_budget_and_no_more {
        let spent = spend_all(&mut Ledger::default(), &mut None, "a", 50);
        assert!(spent <= BUDGET, "{spent} tokens were handed out");
        assert!(spent + MAX_TOKENS > BUDGET, "only {spent} tokens were handed out");
    }

    parallel_turns_are_counted_at_their_maximum {
        let (mut ledger, mut record) = (Ledger::default(), None);
        let turns = (0..20).map(|turn| reservation(&format!("r{turn}"), "a", 0));
        let granted = turns.filter(|turn| run_as_allocator(&mut ledger, &mut record, turn)).count();
        assert_eq!(granted as u64 * MAX_TOKENS, BUDGET);
    }

    a_refused_program_stays_stopped {
        let (mut ledger, mut record) = (Ledger::default(), None);
        spend_all(&mut ledger, &mut record, "a", 100);
        assert!(!run_as_allocator(&mut ledger, &mut record, &reservation("late", "b", 0)));
    }

    // Guards against an allocator that grants its share again to a program that it has forgotten.
    an_allocator_grants_its_share_again_to_a_program_that_was_stopped_elsewhere {
        let (mut allocator, mut record) = (Ledger::default(), None);
        let turn = reservation("r-1", "a", 0);
        assert!(run_as_allocator(&mut allocator, &mut record, &turn));
        allocator.settle("p", "r-1", "a", MAX_TOKENS);
        // The allocator stands still while the program goes on elsewhere until it is stopped.
        let elsewhere = spend_all_as_other(&mut record, "a", 100);
        allocator.sweep(Instant::now() + RETENTION + Duration::from_millis(1));
        let again = spend_all(&mut allocator, &mut record, "b", 100);
        assert_eq!(again, 0, "after {elsewhere} tokens elsewhere");
    }

    // Guards against the same after the program was transferred away and stopped there.
    an_allocator_grants_its_share_again_to_a_program_that_it_transferred {
        let (mut allocator, mut record) = (Ledger::default(), None);
        assert!(run_as_allocator(&mut allocator, &mut record, &reservation("r-1", "a", 0)));
        assert!(matches!(
            allocator.transfer("p", true, Instant::now()),
            Transfer::Account(_)
        ));
        let turn = reservation("r-2", "a", MAX_TOKENS);
        record = Some(spend::record_after_stop(&turn, record.as_ref(), &first_term(), 0));
        allocator.sweep(Instant::now() + RETENTION * 10);
        assert_eq!(spend_all(&mut allocator, &mut record, "b", 100), 0);
    }

    // Guards against a share whose use is forgotten before its allocator closes its ledger.
    an_allocator_that_closes_late_forgets_a_share_that_it_transferred {
        let mut allocator = Ledger::default();
        assert!(run_as_allocator(&mut allocator, &mut None, &reservation("r-1", "a", 0)));
        allocator.transfer("p", true, Instant::now());
        allocator.sweep(Instant::now() + RETENTION * 10);
        assert_eq!(allocator.close().len(), 1);
    }

    // Guards against two records of one program in the call that closes a ledger.
    a_share_that_went_away_and_came_back_is_recorded_once {
        let (mut allocator, mut other) = (Ledger::default(), Ledger::default());
        let now = Instant::now();
        assert!(run_as_allocator(&mut allocator, &mut None, &reservation("r-1", "a", 0)));
        for (from, to) in [(true, false), (false, true)] {
            let (giver, taker) = match from {
                true => (&mut allocator, &mut other),
                false => (&mut other, &mut allocator),
            };
            let Transfer::Account(snapshot) = giver.transfer("p", from, now) else {
                panic!("no account to take over; to the allocator: {to}");
            };
            taker.take_over("p".into(), *snapshot, 1, now);
        }
        assert_eq!(allocator.close().len(), 1);
    }

    a_program_that_is_forgotten_long_enough_is_a_new_one {
        let (mut allocator, mut record) = (Ledger::default(), None);
        assert!(run_as_allocator(&mut allocator, &mut record, &reservation("r-1", "a", 0)));
        let now = Instant::now();
        allocator.sweep(now + RETENTION * 2);
        assert!(!allocator.may_use_share("p", allowance(ALLOCATOR)));
        allocator.sweep(now + PROGRAM_LIFETIME);
        assert!(!allocator.may_use_share("p", allowance(ALLOCATOR)));
        for lifetimes in 1..=3 {
            allocator.sweep(now + PROGRAM_LIFETIME * lifetimes + RETENTION * 3);
        }
        assert!(allocator.may_use_share("p", allowance(ALLOCATOR)));
    }

    // Guards against draws that are forgotten with their record while the program still runs.
    an_owner_keeps_the_record_of_a_program_in_use {
        let (mut ledger, mut record) = (Ledger::default(), None);
        let start = Instant::now();
        spend_all_by(run_as_other, &mut ledger, &mut record, "a", 100);
        assert_eq!(ledger.due_records(start + RETENTION / 2), []);
        let due = ledger.due_records(start + RETENTION * 2);
        assert_eq!(due, [("p".into(), RETENTION)]);
        assert_eq!(ledger.due_records(start + RETENTION * 2), [], "it is being written");
        ledger.retry_record("p");
        assert_eq!(ledger.due_records(start + RETENTION * 2).len(), 1, "the write failed");
        let kept = spend::record_kept(record.as_ref().expect("a record"), RETENTION, 500_000);
        assert_eq!(kept.keep_until_ms, 500_000 + 60_000);
        let later = spend::record_kept(&kept, RETENTION, 400_000);
        assert_eq!(later, kept, "a record is never kept for less time");
    }

    a_program_without_a_record_costs_no_write {
        let mut ledger = Ledger::default();
        assert!(run_as_allocator(&mut ledger, &mut None, &reservation("r-1", "a", 0)));
        assert_eq!(ledger.due_records(Instant::now() + RETENTION * 2), []);
    }

    an_owner_that_took_over_keeps_the_record {
        let (mut former, mut record) = (Ledger::default(), None);
        let now = Instant::now();
        assert!(run_as_other(&mut former, &mut record, &reservation("r-1", "a", 0)));
        let Transfer::Account(snapshot) = former.transfer("p", false, now) else {
            panic!("no account");
        };
        let mut next = Ledger::default();
        next.take_over("p".into(), *snapshot, 1, now);
        assert_eq!(next.due_records(now).len(), 1);
    }

    // Guards against tokens that an owner does not count because a daemon's total started anew.
    tokens_of_a_count_that_was_dropped_are_counted_once_more {
        let mut counts = Counts::new("a".into());
        let now = Instant::now();
        counts.add("p", 300, now);
        let (mut ledger, mut record) = (Ledger::default(), None);
        let (name, total) = counts.report("p", now);
        assert!(run_as_allocator(&mut ledger, &mut record, &reservation("r-1", &name, 0)));
        ledger.settle("p", "r-1", &name, total);
        counts.sweep(now + Duration::from_secs(200));
        // Through other daemons, the program stays in use at its owner.
        let later = now + Duration::from_secs(200);
        let (name, total) = counts.report("p", later);
        assert!(run_as_allocator(&mut ledger, &mut record, &reservation("r-2", &name, total)));
        counts.add("p", 200, later);
        let (name, total) = counts.report("p", later);
        ledger.settle("p", "r-2", &name, total);
        assert_eq!(ledger.summary("p").map(|summary| summary.spent), Some(500));
    }

    a_count_keeps_its_name_while_it_is_in_use {
        let mut counts = Counts::new("a".into());
        let now = Instant::now();
        counts.add("p", 10, now);
        counts.add("q", 10, now);
        let later = now + Duration::from_secs(100);
        counts.report("p", later);
        counts.sweep(now + Duration::from_secs(130));
        assert_eq!(counts.report("p", later), ("a".into(), 10));
        assert_eq!(counts.report("q", later), ("a.1".into(), 0));
    }

    a_recorded_stop_applies_to_a_later_owner {
        let turn = reservation("r", "b", 0);
        let mut record = Some(spend::record_after_stop(&turn, None, &first_term(), 0));
        assert!(!run_as_other(&mut Ledger::default(), &mut record, &turn));
    }

    an_owner_learns_usage_from_live_daemons {
        // The former owner is gone. The serving daemon has handed out more than nine tenths of the
        // budget.
        let outcome = Ledger::default().reserve(
            &reservation("r", "a", 950),
            allowance(ALLOCATOR),
            Instant::now(),
        );
        assert_eq!(outcome, ReserveOutcome::NewlyExhausted);
    }

    a_program_stays_within_its_budget_after_all_accounts_are_lost {
        let now = Instant::now();
        let mut first = Ledger::default();
        let mut before = 0;
        // Spends the share without a draw, so nothing is recorded.
        for turn in 0..100 {
            let turn = reservation(&format!("r{turn}"), "a", before);
            if first.reserve(&turn, allowance(ALLOCATOR), now) != ReserveOutcome::Granted {
                break;
            }
            before += MAX_TOKENS / 2;
            first.settle("p", &turn.request_id, "a", before);
        }
        let after = spend_all_as_other(&mut None, "b", 50);
        assert!(before > 0 && after > 0);
        assert!(
            before + after <= BUDGET + MAX_TOKENS,
            "{before} before and {after} after the loss"
        );
    }

    a_program_continues_after_its_owner_is_lost {
        // Programs that complete normally spend less than half of their budget.
        let spent = spend_all_as_other(&mut None, "b", 50);
        assert!(spent >= BUDGET / 2, "only {spent} tokens were handed out");
    }

    an_owner_that_took_over_grants_nothing_without_a_draw {
        // Otherwise, owners that are lost one after the other would each hand out a share.
        for owner in ["a", "b", "c"] {
            let turn = reservation("r", owner, 0);
            let outcome = Ledger::default().reserve(&turn, allowance(OTHER), Instant::now());
            assert!(
                matches!(outcome, ReserveOutcome::Draw(Draw { needed: MAX_TOKENS, .. })),
                "{outcome:?}"
            );
        }
    }

    tokens_from_before_a_takeover_are_not_charged_twice {
        let turn = reservation("r", "a", 400);
        let outcome = Ledger::default().reserve(&turn, allowance(OTHER), Instant::now());
        assert!(
            matches!(outcome, ReserveOutcome::Draw(Draw { needed: MAX_TOKENS, .. })),
            "{outcome:?}"
        );
    }

    draws_of_another_owner_stay_drawn {
        // The former owner lost its account. An interim owner has since granted 300 tokens to the
        // daemon.
        let mut record = None;
        let mut interim = Ledger::default();
        for turn in 0..3 {
            assert!(run_as_other(
                &mut interim,
                &mut record,
                &reservation(&format!("r{turn}"), "a", 0)
            ));
        }
        let drawn = record.as_ref().expect("a draw is recorded").drawn;
        let mut next = Ledger::default();
        let turn = reservation("next", "a", 300);
        let allowance = allowance(OTHER);
        let view = first_term();
        assert!(run_as(&"next".into(), &mut next, &mut record, &turn, allowance, &view, false));
        let after = record.expect("a draw is recorded").drawn;
        assert!(after >= drawn + MAX_TOKENS, "{after} after {drawn}");
    }

    an_owner_takes_over_the_account_of_the_former_owner {
        let now = Instant::now();
        let (mut former, mut record) = (Ledger::default(), None);
        // Seven turns run at once through a daemon that the next owner does not know.
        for turn in 0..7 {
            assert!(run_as_allocator(
                &mut former,
                &mut record,
                &reservation(&format!("r{turn}"), "a", 0)
            ));
        }
        let allowed = former.summary("p").expect("the account exists").allowed;
        let Transfer::Account(snapshot) = former.transfer("p", true, now) else {
            panic!("the former owner has an account");
        };
        let mut next = Ledger::default();
        next.take_over("p".into(), *snapshot, 1, now);
        let summary = next.summary("p").expect("the next owner has an account");
        assert_eq!((summary.reserved, summary.allowed), (700, allowed));
        next.settle("p", "r0", "a", 30);
        assert_eq!(next.summary("p").expect("the account exists").spent, 30);
    }

    a_transferred_program_does_not_count_as_new {
        // A daemon with an outdated view still asks the former owner.
        let now = Instant::now();
        let mut former = Ledger::default();
        let outcome = former.reserve(&reservation("r", "a", 0), allowance(ALLOCATOR), now);
        assert_eq!(outcome, ReserveOutcome::Granted);
        assert!(matches!(former.transfer("p", true, now), Transfer::Account(_)));
        let outcome = former.reserve(&reservation("late", "b", 0), allowance(ALLOCATOR), now);
        assert!(matches!(outcome, ReserveOutcome::Draw(_)), "{outcome:?}");
    }

    a_released_share_is_not_counted_by_the_next_owner {
        let now = Instant::now();
        let mut former = Ledger::default();
        assert_eq!(former.transfer("p", true, now), Transfer::ShareReleased);
        let outcome = former.reserve(&reservation("late", "b", 0), allowance(ALLOCATOR), now);
        assert!(matches!(outcome, ReserveOutcome::Draw(_)), "{outcome:?}");
        // Only the allocator knows that no process spends without a record.
        assert_eq!(former.transfer("q", false, now), Transfer::Nothing);
        // Other owners see in their views that the ledger is closed, so it releases no share.
        let mut closed = Ledger::default();
        closed.close();
        assert_eq!(closed.transfer("q", true, now), Transfer::Nothing);
        let mut record = None;
        let turn = reservation("r", "a", 0);
        let view = first_term();
        let unused_share = UnusedShare { allocator: ALLOCATOR, after: 0 };
        let allowance = view.initial_allowance("p", BUDGET + MAX_TOKENS, OTHER, &[unused_share]);
        let (mut next, owner) = (Ledger::default(), "next".into());
        assert!(run_as(&owner, &mut next, &mut record, &turn, allowance, &view, false));
        // The record contains only this draw.
        assert_eq!(record.expect("a draw is recorded").drawn, unrecorded());
    }

    an_allocator_that_transferred_its_share_does_not_release_it {
        let now = Instant::now();
        let mut former = Ledger::default();
        let outcome = former.reserve(&reservation("r", "a", 0), allowance(ALLOCATOR), now);
        assert_eq!(outcome, ReserveOutcome::Granted);
        assert!(matches!(former.transfer("p", true, now), Transfer::Account(_)));
        assert_eq!(former.transfer("p", true, now), Transfer::Nothing);
    }

    a_closed_ledger_reports_what_was_spent {
        let now = Instant::now();
        let mut former = Ledger::default();
        for turn in 0..3 {
            let turn = reservation(&format!("r{turn}"), "a", 0);
            assert_eq!(former.reserve(&turn, allowance(ALLOCATOR), now), ReserveOutcome::Granted);
        }
        former.settle("p", "r0", "a", 40);
        let usages = former.close();
        let (program, usage) = usages.first().expect("the ledger reports the program");
        let record = usage.record_after_close(program, None, &first_term(), ALLOCATOR, 1_000);
        let expected = Record {
            budget: BUDGET,
            max_tokens: MAX_TOKENS,
            drawn: 240,
            term: 1,
            keep_until_ms: 61_000,
            last_draw: None,
        };
        assert_eq!(record, Some(expected));
        let outcome = former.reserve(&reservation("late", "a", 40), allowance(ALLOCATOR), now);
        assert!(
            matches!(outcome, ReserveOutcome::Draw(Draw { needed: MAX_TOKENS, .. })),
            "{outcome:?}"
        );
        let outcome = former.reserve(
            &ReservationRequest { program: "q".into(), ..reservation("r", "a", 0) },
            allowance(ALLOCATOR),
            now,
        );
        assert!(matches!(outcome, ReserveOutcome::Draw(_)), "{outcome:?}");
    }

    a_closed_ledger_counts_the_shares_of_other_allocators {
        // The allocator of the first term is lost. That of the second term opens a new account of
        // the program and stops.
        let mut view = first_term();
        next_term(&mut view, OTHER);
        let allowance = view.initial_allowance("p", BUDGET + MAX_TOKENS, OTHER, &[]);
        let mut next = Ledger::default();
        let outcome = next.reserve(&reservation("r", "a", 0), allowance, Instant::now());
        assert_eq!(outcome, ReserveOutcome::Granted);
        let usages = next.close();
        let (program, usage) = usages.first().expect("the ledger reports the program");
        let record =
            usage.record_after_close(program, None, &view, OTHER, 0).expect("a record is written");
        assert_eq!((record.drawn, record.term), (unrecorded() + MAX_TOKENS, 2));
        // A record of the first term keeps its draws. One of this term already counts everything.
        let before = Record { drawn: 700, term: 1, ..record.clone() };
        let after = usage
            .record_after_close(program, Some(&before), &view, OTHER, 0)
            .expect("a record is written");
        assert_eq!(after.drawn, 700 + MAX_TOKENS);
        assert_eq!(usage.record_after_close(program, Some(&after), &view, OTHER, 0), None);
    }

    an_owner_with_an_account_does_not_count_its_own_later_share {
        let mut view = first_term();
        let mut owner = Ledger::default();
        let granted = owner.reserve(&reservation("r0", "a", 0), allowance(OTHER), Instant::now());
        assert!(matches!(granted, ReserveOutcome::Draw(_)), "{granted:?}");
        next_term(&mut view, OTHER);
        let (mut record, owner_id) = (None, VmId::from("owner"));
        let turn = reservation("r1", "a", 0);
        let later = view.initial_allowance("p", BUDGET + MAX_TOKENS, OTHER, &[]);
        assert!(run_as(&owner_id, &mut owner, &mut record, &turn, later, &view, false));
        let counted = record.expect("a draw is recorded").drawn;
        // Another owner cannot know that the allocator of the second term handed out nothing.
        let (mut record, mut unrelated) = (None, Ledger::default());
        let allowance = view.initial_allowance("p", BUDGET + MAX_TOKENS, 9, &[]);
        assert!(run_as(&"9".into(), &mut unrelated, &mut record, &turn, allowance, &view, false));
        assert!(counted < record.expect("a draw is recorded").drawn);
    }

    an_account_opened_meanwhile_is_not_replaced_by_a_transfer {
        let now = Instant::now();
        let (mut former, mut next) = (Ledger::default(), Ledger::default());
        assert_eq!(
            former.reserve(&reservation("r0", "a", 0), allowance(ALLOCATOR), now),
            ReserveOutcome::Granted
        );
        let Transfer::Account(snapshot) = former.transfer("p", true, now) else {
            panic!("the former owner has an account");
        };
        // While the former owner was asked, another turn opened an account with the share here.
        assert_eq!(
            next.reserve(&reservation("r1", "b", 0), allowance(ALLOCATOR), now),
            ReserveOutcome::Granted
        );
        let before = next.summary("p");
        next.take_over("p".into(), *snapshot, 1, now);
        assert_eq!(next.summary("p"), before);
    }

    a_stop_records_a_share_that_exceeds_the_limit {
        let mut view = first_term();
        view.terms =
            view.announce(&allocators(OTHER), false, 0).expect("enough is left for a term");
        let turn = reservation("r", "a", 0);
        let full = spend::record_after_stop(&turn, None, &first_term(), 0);
        let record = spend::record_after_stop(&turn, Some(&full), &view, 0);
        assert!(record.drawn > BUDGET + MAX_TOKENS, "{record:?}");
        view.terms = view.terms.opened(&[("p".into(), record)]);
        assert_eq!(view.allocator("p"), None);
    }

    a_closed_ledger_reports_transferred_shares {
        let now = Instant::now();
        let mut former = Ledger::default();
        let outcome = former.reserve(&reservation("r", "a", 0), allowance(ALLOCATOR), now);
        assert_eq!(outcome, ReserveOutcome::Granted);
        assert!(matches!(former.transfer("p", true, now), Transfer::Account(_)));
        let usages = former.close();
        let (program, usage) = usages.first().expect("the ledger reports the program");
        let record = usage.record_after_close(program, None, &first_term(), ALLOCATOR, 0);
        assert_eq!(record.map(|record| record.drawn), Some(unrecorded()));
    }

    a_lost_daemons_turn_is_charged_in_full {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        let outcome = ledger.reserve(&reservation("lost", "a", 0), allowance(ALLOCATOR), now);
        assert_eq!(outcome, ReserveOutcome::Granted);
        let later = now + Duration::from_secs(20);
        let outcome = ledger.reserve(&reservation("next", "b", 0), allowance(ALLOCATOR), later);
        assert_eq!(outcome, ReserveOutcome::Granted);
        let summary = ledger.summary("p").expect("the account exists");
        assert_eq!((summary.spent, summary.reserved), (MAX_TOKENS, MAX_TOKENS));
    }

    a_restarted_daemon_counts_from_zero {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        for (process, handed_out) in [("a/1", 0), ("a/2", 0)] {
            let turn = reservation(process, process, handed_out);
            assert_eq!(ledger.reserve(&turn, allowance(ALLOCATOR), now), ReserveOutcome::Granted);
            ledger.settle("p", process, process, 80);
        }
        assert_eq!(ledger.summary("p").expect("the account exists").spent, 160);
    }

    turns_within_the_share_need_no_record {
        // The platform is unreachable, and a program starts several turns at once. A turn beyond
        // the share has to wait, because its owner may be lost before the record covers it.
        let mut ledger = Ledger::default();
        let now = Instant::now();
        for turn in 0..unrecorded() / MAX_TOKENS {
            let outcome = ledger.reserve(
                &reservation(&format!("r{turn}"), "a", 0),
                allowance(ALLOCATOR),
                now,
            );
            assert_eq!(outcome, ReserveOutcome::Granted, "turn {turn}");
        }
        let outcome = ledger.reserve(&reservation("late", "a", 0), allowance(ALLOCATOR), now);
        assert!(matches!(outcome, ReserveOutcome::Draw(_)), "{outcome:?}");
    }

    owners_together_cannot_draw_more_than_the_budget_and_a_turn {
        let (turn, owner) = (reservation("r", "a", 0), VmId::from("owner"));
        let draw = |number| Draw { needed: 300, number, unrecorded: 550, ..DRAW };
        let (record, tokens) =
            spend::record_after_draw(&turn, &owner, None, draw(0), &first_term(), 0)
                .expect("half of the limit remains");
        assert_eq!((record.drawn, tokens), (850, 300));
        assert_eq!(
            spend::record_after_draw(
                &turn,
                &owner,
                Some(record.clone()),
                draw(1),
                &first_term(),
                0
            ),
            None
        );
        let rest = Draw { needed: 250, ..draw(1) };
        let (record, tokens) =
            spend::record_after_draw(&turn, &owner, Some(record), rest, &first_term(), 0)
                .expect("tokens remain");
        assert_eq!((record.drawn, tokens), (BUDGET + MAX_TOKENS, 250));
        let more = Draw { needed: 1, ..draw(2) };
        assert_eq!(
            spend::record_after_draw(&turn, &owner, Some(record), more, &first_term(), 0),
            None
        );
    }

    a_draw_leaves_something_to_the_next_owner {
        let (turn, owner) = (reservation("r", "a", 0), VmId::from("owner"));
        let draw = Draw { needed: 100, number: 0, unrecorded: unrecorded(), ..DRAW };
        let (record, tokens) =
            spend::record_after_draw(&turn, &owner, None, draw, &first_term(), 0)
                .expect("tokens remain");
        assert_eq!((record.drawn, tokens), (770, 330));
        // If nothing was spent before, a draw takes as much as an allocator's share.
        let draw = Draw { unrecorded: 0, ..draw };
        let (_, tokens) = spend::record_after_draw(&turn, &owner, None, draw, &first_term(), 0)
            .expect("the whole limit remains");
        assert_eq!(tokens, unrecorded());
    }

    a_draw_whose_reply_was_lost_takes_effect_once {
        let (turn, owner) = (reservation("r", "a", 0), VmId::from("owner"));
        let draw = Draw { needed: 100, number: 3, unrecorded: 550, ..DRAW };
        let (first, tokens) = spend::record_after_draw(&turn, &owner, None, draw, &first_term(), 0)
            .expect("half of the limit remains");
        let again =
            spend::record_after_draw(&turn, &owner, Some(first.clone()), draw, &first_term(), 9);
        assert_eq!(again, Some((first.clone(), tokens)));
        let other = spend::record_after_draw(
            &turn,
            &"other".into(),
            Some(first.clone()),
            draw,
            &first_term(),
            9,
        );
        assert!(other.expect("tokens remain").0.drawn > first.drawn);
    }
}

/// Fixed time in milliseconds for records and terms.
const NOW_MS: u64 = 0;
/// Number of daemons that take turns as owner of the program.
const OWNERS: usize = 3;

/// Process of a daemon that acts as owner.
struct Owner {
    incarnation: u64,
    ledger: Ledger,
    /// View of the terms that this process last received.
    local_view: TermView,
    closed: bool,
}

impl Owner {
    fn new(incarnation: u64, local_view: TermView) -> Self {
        Self { incarnation, ledger: Ledger::default(), local_view, closed: false }
    }

    fn is_allocator(&self) -> bool {
        self.local_view
            .allocator("p")
            .is_some_and(|allocator| allocator.incarnation == self.incarnation)
    }
}

/// Owners and daemons that are restarted at random, each with its own view of the terms and of the
/// program's owner.
struct Simulation {
    rng: fastrand::Rng,
    owners: Vec<Owner>,
    daemons: Vec<(String, u64)>,
    record: Option<Record>,
    /// Terms as stored in the key-value service.
    written_view: TermView,
    /// Running turns: request id, daemon, owner.
    running: Vec<(String, usize, usize)>,
    handed_out: u64,
    last_id: u64,
    /// Whether each turn hands out its maximum.
    full_turns: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let owners = (0..OWNERS as u64).map(|number| Owner::new(number + 1, TermView::default()));
        Self {
            rng: fastrand::Rng::with_seed(seed),
            owners: owners.collect(),
            daemons: (0..3).map(|number| (format!("d{number}"), 0)).collect(),
            record: None,
            written_view: TermView::default(),
            running: Vec::new(),
            handed_out: 0,
            last_id: OWNERS as u64,
            full_turns: seed.is_multiple_of(2),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn step(&mut self) {
        let owner = self.rng.usize(..self.owners.len());
        let daemon = self.rng.usize(..self.daemons.len());
        match self.rng.u32(..30) {
            0 => self.owners[owner] = Owner::new(self.next_id(), self.written_view.clone()),
            1 | 13..=15 => {
                let id = self.next_id();
                self.daemons[daemon] = (format!("d{daemon}/{id}"), 0);
                // Turns of a lost daemon are never settled.
                self.running.retain(|(_, serving, _)| *serving != daemon);
            }
            2 => self.close(owner),
            3 => {
                // The reply with the account is lost, so no owner has the account.
                let is_allocator = self.owners[owner].is_allocator();
                self.owners[owner].ledger.transfer("p", is_allocator, Instant::now());
            }
            4..=12 => self.begin_turn(owner, daemon),
            16..=18 => self.advance_terms(),
            19..=21 => self.owners[owner].local_view = self.written_view.clone(),
            _ => self.end_turn(owner),
        }
    }

    /// Performs a step after which a program may have spent everything that its owner grants.
    fn big_step(&mut self) {
        let owner = self.rng.usize(..self.owners.len());
        match self.rng.u32(..12) {
            0..=1 => self.owners[owner] = Owner::new(self.next_id(), self.written_view.clone()),
            2 => self.close(owner),
            3 => {
                let is_allocator = self.owners[owner].is_allocator();
                self.owners[owner].ledger.transfer("p", is_allocator, Instant::now());
            }
            4..=6 => self.advance_terms(),
            7 => self.owners[owner].local_view = self.written_view.clone(),
            _ => self.run_burst(owner),
        }
    }

    /// Runs a random number of turns through a new daemon process, or until one is refused.
    fn run_burst(&mut self, owner: usize) {
        let daemon = self.rng.usize(..self.daemons.len());
        let id = self.next_id();
        self.daemons[daemon] = (format!("d{daemon}/{id}"), 0);
        for _ in 0..self.rng.u32(1..16) {
            self.begin_turn(owner, daemon);
            let Some((request_id, ..)) = self.running.pop() else {
                return;
            };
            let (process, handed_out) = &mut self.daemons[daemon];
            *handed_out += MAX_TOKENS;
            self.handed_out += MAX_TOKENS;
            self.owners[owner].ledger.settle("p", &request_id, process, *handed_out);
        }
    }

    /// Announces a term for some of the processes, or opens the announced one.
    fn advance_terms(&mut self) {
        let live = self.owners.iter().enumerate().filter(|_| self.rng.u32(..4) > 0);
        let live: Vec<Allocator> = live
            .map(|(index, owner)| Allocator {
                vm: format!("vm-{index}").into(),
                incarnation: owner.incarnation,
            })
            .collect();
        let announced = self.written_view.terms.number() > 0 && !self.written_view.terms.is_open();
        let terms = match announced {
            true => {
                let records = self.record.iter().map(|record| ("p".into(), record.clone()));
                Some(self.written_view.terms.opened(&records.collect::<Vec<_>>()))
            }
            // Announces without waiting for a due term: the bound has to hold at any time.
            false => self.written_view.announce(&live, false, NOW_MS),
        };
        let Some(terms) = terms else {
            return;
        };
        self.written_view = TermView {
            terms,
            revision: self.written_view.revision + 1,
            ..self.written_view.clone()
        };
    }

    /// Closes the ledger of a process. The record is written before others learn of it.
    fn close(&mut self, owner: usize) {
        let Owner { incarnation, ledger, closed, .. } = &mut self.owners[owner];
        if *closed {
            return;
        }
        *closed = true;
        for (program, usage) in ledger.close() {
            let found = self.record.as_ref();
            let record =
                usage.record_after_close(&program, found, &self.written_view, *incarnation, NOW_MS);
            self.record = record.or(self.record.take());
        }
        self.written_view.closed.insert(*incarnation);
    }

    /// Lets an owner without an account ask another owner. Returns its initial allowance.
    fn take_over(&mut self, owner: usize) -> InitialAllowance {
        let process = self.owners[owner].incarnation;
        let view = self.owners[owner].local_view.clone();
        let initial = view.initial_allowance("p", BUDGET + MAX_TOKENS, process, &[]);
        let without_share = InitialAllowance { share_tokens: 0, ..initial };
        if self.owners[owner].ledger.contains("p") {
            return without_share;
        }
        if self.owners[owner].ledger.may_use_share("p", initial) {
            return initial;
        }
        let former = self.rng.usize(..self.owners.len());
        if former == owner || self.rng.bool() {
            return without_share;
        }
        let is_allocator = self.owners[former].is_allocator();
        let former_process = self.owners[former].incarnation;
        let is_allocator_in_view =
            view.allocator("p").is_some_and(|allocator| allocator.incarnation == former_process);
        match self.owners[former].ledger.transfer("p", is_allocator, Instant::now()) {
            Transfer::Account(snapshot) => {
                let ledger = &mut self.owners[owner].ledger;
                ledger.take_over("p".into(), *snapshot, initial.term, Instant::now());
                without_share
            }
            Transfer::ShareReleased if is_allocator_in_view => {
                let unused_share = UnusedShare { allocator: former_process, after: 0 };
                InitialAllowance {
                    share_tokens: 0,
                    ..view.initial_allowance("p", BUDGET + MAX_TOKENS, process, &[unused_share])
                }
            }
            Transfer::ShareReleased | Transfer::Nothing => without_share,
        }
    }

    fn begin_turn(&mut self, owner: usize, daemon: usize) {
        let allowance = self.take_over(owner);
        let request_id = format!("r{}", self.next_id());
        let (process, handed_out) = &self.daemons[daemon];
        let turn = reservation(&request_id, process, *handed_out);
        let Owner { incarnation, ledger, local_view, .. } = &mut self.owners[owner];
        let process: VmId = incarnation.to_string().into();
        let reply_lost = self.rng.u32(..5) == 0;
        let record_before = self.record.clone();
        // Writes with outdated terms do not take effect, but the set of closed allocators may be
        // outdated.
        let effective_view =
            TermView { closed: local_view.closed.clone(), ..self.written_view.clone() };
        if run_as(&process, ledger, &mut self.record, &turn, allowance, &effective_view, reply_lost)
        {
            self.running.push((request_id, daemon, owner));
        }
        if self.record != record_before {
            *local_view = effective_view;
        }
    }

    /// Ends a turn and settles it at its owner, at another owner, or not at all.
    fn end_turn(&mut self, other: usize) {
        if self.running.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.running.len());
        let (request_id, daemon, owner) = self.running.swap_remove(index);
        let tokens = if self.full_turns { MAX_TOKENS } else { self.rng.u64(..=MAX_TOKENS) };
        let (process, handed_out) = &mut self.daemons[daemon];
        *handed_out += tokens;
        self.handed_out += tokens;
        match self.rng.u32(..10) {
            0 => {}
            1 => self.owners[other].ledger.settle("p", &request_id, process, *handed_out),
            _ => self.owners[owner].ledger.settle("p", &request_id, process, *handed_out),
        }
    }
}

/// Runs random steps for each seed and checks the bound after each step.
fn run_random_steps(seeds: u64, steps: usize, step: fn(&mut Simulation)) {
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..steps {
            step(&mut simulation);
            assert!(
                simulation.handed_out <= BUDGET + MAX_TOKENS,
                "seed {seed}: {}",
                simulation.handed_out
            );
        }
    }
}

#[test]
fn no_sequence_of_losses_hands_out_more_than_the_budget_and_a_turn() {
    run_random_steps(10_000, 200, Simulation::step);
}

#[test]
fn no_sequence_of_terms_hands_out_more_than_the_budget_and_a_turn() {
    run_random_steps(30_000, 30, Simulation::big_step);
}
