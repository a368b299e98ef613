//! Budgets of programs over several owners and daemons.

use sched::spend::{self, Ask, Draw, Ledger, Record, Verdict};
use std::time::{Duration, Instant};

const BUDGET: u64 = 1_000;
const MOST: u64 = 100;
const GRANTED: Verdict = Verdict::Granted { draw: None };

fn ask(request: &str, daemon: &str, handed_out: u64) -> Ask {
    Ask {
        program: "p".into(),
        budget: BUDGET,
        request: request.into(),
        most: MOST,
        daemon: daemon.into(),
        handed_out,
        complete: true,
        retention: Duration::from_secs(60),
    }
}

/// Runs turns one after the other until one is refused; returns what was handed out.
fn spend_all(ledger: &mut Ledger, daemon: &str, fresh: bool, each: u64, now: Instant) -> u64 {
    let mut handed_out = 0;
    for turn in 0..1_000 {
        let turn = ask(&format!("{daemon}-{turn}"), daemon, handed_out);
        loop {
            match ledger.reserve(&turn, fresh, now) {
                Verdict::Granted { draw } => {
                    draw.into_iter().for_each(|draw| ledger.draw("p", draw.wanted));
                    break;
                }
                Verdict::Draw(draw) => ledger.draw("p", draw.wanted),
                Verdict::Stop | Verdict::Exhausted => return handed_out,
            }
        }
        handed_out += each;
        ledger.settle("p", &turn.request, daemon, handed_out);
    }
    panic!("the budget never ends");
}

macro_rules! cases {
    ($($name:ident $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    a_program_spends_its_budget_and_no_more {
        let spent = spend_all(&mut Ledger::default(), "a", true, 50, Instant::now());
        assert!(spent <= BUDGET, "{spent} tokens were handed out");
        assert!(spent + MOST > BUDGET, "only {spent} tokens were handed out");
    }

    parallel_turns_are_counted_at_their_most {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        let mut granted = 0;
        for turn in 0..20 {
            let turn = ask(&format!("r{turn}"), "a", 0);
            loop {
                match ledger.reserve(&turn, true, now) {
                    Verdict::Granted { .. } => { granted += MOST; break }
                    Verdict::Draw(draw) => ledger.draw("p", draw.wanted),
                    Verdict::Stop | Verdict::Exhausted => break,
                }
            }
        }
        assert_eq!(granted, BUDGET);
    }

    a_refused_program_stays_stopped {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        spend_all(&mut ledger, "a", true, 100, now);
        assert_eq!(ledger.reserve(&ask("late", "b", 0), true, now), Verdict::Exhausted);
    }

    a_recorded_stop_holds_at_a_later_owner {
        let mut ledger = Ledger::default();
        let record = Record { budget: BUDGET, drawn: BUDGET, keep_until_ms: 0 };
        ledger.learn([("p".into(), record)]);
        assert_eq!(ledger.reserve(&ask("r", "b", 0), false, Instant::now()), Verdict::Exhausted);
    }

    an_owner_learns_from_the_daemons_that_live {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        // The former owner is gone; the serving daemon has handed out nine tenths.
        let verdict = ledger.reserve(&ask("r", "a", 950), true, now);
        assert_eq!(verdict, Verdict::Stop);
    }

    what_a_total_loss_forgets_stays_within_the_budget {
        let now = Instant::now();
        let mut first = Ledger::default();
        let mut before = 0;
        // Spends without any draw, so that nothing is recorded.
        for turn in 0..100 {
            let turn = ask(&format!("r{turn}"), "a", before);
            match first.reserve(&turn, true, now) {
                Verdict::Granted { draw: None } => before += MOST / 2,
                _ => break,
            }
            first.settle("p", &turn.request, "a", before);
        }
        let after = spend_all(&mut Ledger::default(), "b", false, 50, now);
        assert!(before > 0 && after > 0);
        assert!(before + after <= BUDGET + MOST, "{before} before and {after} after the loss");
    }

    a_program_goes_on_after_a_loss {
        // Programs that end by themselves spend less than half of their budget.
        let mut ledger = Ledger::default();
        let verdict = ledger.reserve(&ask("r", "b", 0), false, Instant::now());
        assert_eq!(verdict, GRANTED);
    }

    counts_from_before_a_takeover_are_not_charged_twice {
        let mut ledger = Ledger::default();
        let verdict = ledger.reserve(&ask("r", "a", 400), false, Instant::now());
        assert_eq!(verdict, GRANTED);
        let standing = ledger.explain("p").expect("the program is known");
        assert_eq!((standing.known, standing.assumed), (400, 100));
    }

    counts_from_after_a_loss_do_not_lower_its_charge {
        // Everything was lost; another owner stood in and let the daemon hand out 300 tokens since.
        let mut ledger = Ledger::default();
        let turn = Ask { complete: false, ..ask("r", "a", 300) };
        assert_eq!(ledger.reserve(&turn, false, Instant::now()), GRANTED);
        let standing = ledger.explain("p").expect("the program is known");
        assert_eq!((standing.known, standing.assumed), (300, 500));
    }

    an_owner_inherits_what_the_former_one_knew {
        let now = Instant::now();
        let mut former = Ledger::default();
        // Seven turns run at once through daemons that the next owner has not heard of.
        for turn in 0..7 {
            let granted = former.reserve(&ask(&format!("r{turn}"), "a", 0), true, now);
            assert!(matches!(granted, Verdict::Granted { .. }), "{granted:?}");
        }
        let inheritance = former.give("p", now).expect("the former owner knows the program");
        let mut next = Ledger::default();
        next.inherit("p".into(), inheritance, now);
        let standing = next.explain("p").expect("the next owner knows the program");
        assert_eq!((standing.reserved, standing.assumed), (700, 0));
        // A daemon that still asks the former owner does not meet it as a new program.
        assert!(!former.knows("p") && former.gave("p"));
        next.settle("p", "r0", "a", 30);
        assert_eq!(next.explain("p").expect("it is known").known, 30);
    }

    a_lost_daemons_turn_is_charged_at_its_most {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        assert_eq!(ledger.reserve(&ask("lost", "a", 0), true, now), GRANTED);
        let later = now + Duration::from_secs(20);
        assert_eq!(ledger.reserve(&ask("next", "b", 0), true, later), GRANTED);
        assert_eq!(ledger.explain("p").expect("the program is known").assumed, MOST);
    }

    turns_do_not_wait_for_a_record_before_the_free_share_is_handed_out {
        // The platform is away, and a program starts eight turns at once.
        let mut ledger = Ledger::default();
        let now = Instant::now();
        for turn in 0..8 {
            let verdict = ledger.reserve(&ask(&format!("r{turn}"), "a", 0), true, now);
            assert!(matches!(verdict, Verdict::Granted { .. }), "turn {turn}: {verdict:?}");
        }
        // Once more than the free share is handed out, the record has to be there first.
        let verdict = ledger.reserve(&ask("late", "a", 550), true, now);
        assert!(matches!(verdict, Verdict::Stop | Verdict::Draw(_)), "{verdict:?}");
    }

    owners_cannot_draw_more_than_the_budget_together {
        let turn = ask("r", "a", 0);
        let draw = Draw { needed: 100, wanted: 300 };
        let (record, tokens) = spend::drawn(&turn, None, draw, 0).expect("half is left");
        assert_eq!((record.drawn, tokens), (800, 300));
        let (record, tokens) = spend::drawn(&turn, Some(record), draw, 0).expect("a fifth is left");
        assert_eq!((record.drawn, tokens), (BUDGET, 200));
        assert_eq!(spend::drawn(&turn, Some(record), draw, 0), None);
    }
}
