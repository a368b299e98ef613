//! Budgets of programs over several owners and daemons.

use sched::id::VmId;
use sched::spend::{self, Draw, Ledger, Record, ReservationRequest, ReserveOutcome, Transfer};
use sched::term::{Allocator, InitialAllowance, TermView, UnusedShare};
use std::time::{Duration, Instant};

const BUDGET: u64 = 1_000;
const MOST: u64 = 100;

fn ask(request: &str, daemon: &str, handed_out: u64) -> ReservationRequest {
    ReservationRequest {
        program: "p".into(),
        budget: BUDGET,
        request_id: request.into(),
        max_tokens: MOST,
        daemon: daemon.into(),
        handed_out,
        retention: Duration::from_secs(60),
    }
}

/// The process that is the founder of all programs in the first term.
const FOUNDER: u64 = 1;
/// A process that is no founder.
const OTHER: u64 = 2;
/// A draw of an owner that counts the first term.
const DRAW: Draw = Draw {
    needed: 0,
    number: 0,
    unrecorded: 0,
    term: 1,
    unused_share: UnusedShare { allocator: OTHER, after: 1 },
};

/// Processes that are founders alone.
fn allocators(incarnation: u64) -> [Allocator; 1] {
    [Allocator { vm: "vm".into(), incarnation }]
}

/// Opens the next term for one founder.
fn next_term(roll: &mut TermView, allocator: u64) {
    let terms = roll.announce(&allocators(allocator), false, 0).expect("enough is left for a term");
    roll.terms = terms.opened(&[]);
}

/// The first term, whose founder is [`FOUNDER`].
fn first_term() -> TermView {
    let mut roll = TermView::default();
    next_term(&mut roll, FOUNDER);
    roll
}

/// Where the program comes from for the process `me` in the first term.
fn origin(me: u64) -> InitialAllowance {
    first_term().initial_allowance("p", BUDGET + MOST, me, &[])
}

/// The share of a program whose founder may have spent it.
fn unrecorded() -> u64 {
    origin(OTHER).unrecorded
}

/// Reserves a turn as the founder, drawing from `record` as needed; tells whether it may run.
fn run(ledger: &mut Ledger, record: &mut Option<Record>, ask: &ReservationRequest) -> bool {
    run_as(&"owner".into(), ledger, record, ask, origin(FOUNDER), &first_term(), false)
}

/// The same as another owner, who is no founder.
fn run_other(ledger: &mut Ledger, record: &mut Option<Record>, ask: &ReservationRequest) -> bool {
    run_as(&"other".into(), ledger, record, ask, origin(OTHER), &first_term(), false)
}

/// Reserves a turn as the process `owner`; where answers are `lost`, draws take effect untold.
fn run_as(
    owner: &VmId,
    ledger: &mut Ledger,
    record: &mut Option<Record>,
    ask: &ReservationRequest,
    origin: InitialAllowance,
    roll: &TermView,
    lost: bool,
) -> bool {
    let now = Instant::now();
    loop {
        match ledger.reserve(ask, origin, now) {
            ReserveOutcome::Granted => return true,
            ReserveOutcome::NewlyExhausted => {
                *record = Some(spend::record_after_stop(ask, record.as_ref(), roll, 0))
            }
            ReserveOutcome::Exhausted => return false,
            ReserveOutcome::Draw(draw) => {
                match spend::record_after_draw(ask, owner, record.clone(), draw, roll, 0) {
                    Some((drawn, tokens)) => {
                        *record = Some(drawn);
                        if lost {
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

/// Runs turns one after the other until one is refused; returns what was handed out.
fn spend_all_by(
    run: fn(&mut Ledger, &mut Option<Record>, &ReservationRequest) -> bool,
    ledger: &mut Ledger,
    record: &mut Option<Record>,
    daemon: &str,
    each: u64,
) -> u64 {
    let mut handed_out = 0;
    for turn in 0..1_000 {
        let turn = ask(&format!("{daemon}-{turn}"), daemon, handed_out);
        if !run(ledger, record, &turn) {
            return handed_out;
        }
        handed_out += each;
        ledger.settle("p", &turn.request_id, daemon, handed_out);
    }
    panic!("the budget never ends");
}

/// The same as the program's founder.
fn spend_all(ledger: &mut Ledger, record: &mut Option<Record>, daemon: &str, each: u64) -> u64 {
    spend_all_by(run, ledger, record, daemon, each)
}

/// The same as an owner that took over and knows nothing.
fn spend_all_as_other(record: &mut Option<Record>, daemon: &str, each: u64) -> u64 {
    spend_all_by(run_other, &mut Ledger::default(), record, daemon, each)
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
        assert!(spent + MOST > BUDGET, "only {spent} tokens were handed out");
    }

    parallel_turns_are_counted_at_their_most {
        let (mut ledger, mut record) = (Ledger::default(), None);
        let turns = (0..20).map(|turn| ask(&format!("r{turn}"), "a", 0));
        let granted = turns.filter(|turn| run(&mut ledger, &mut record, turn)).count();
        assert_eq!(granted as u64 * MOST, BUDGET);
    }

    a_refused_program_stays_stopped {
        let (mut ledger, mut record) = (Ledger::default(), None);
        spend_all(&mut ledger, &mut record, "a", 100);
        assert!(!run(&mut ledger, &mut record, &ask("late", "b", 0)));
    }

    a_recorded_stop_holds_at_a_later_owner {
        let turn = ask("r", "b", 0);
        let mut record = Some(spend::record_after_stop(&turn, None, &first_term(), 0));
        assert!(!run_other(&mut Ledger::default(), &mut record, &turn));
    }

    an_owner_learns_from_the_daemons_that_live {
        // The former owner is gone; the serving daemon has handed out nine tenths.
        let verdict = Ledger::default().reserve(&ask("r", "a", 950), origin(FOUNDER), Instant::now());
        assert_eq!(verdict, ReserveOutcome::NewlyExhausted);
    }

    what_a_total_loss_forgets_stays_within_the_budget {
        let now = Instant::now();
        let mut first = Ledger::default();
        let mut before = 0;
        // Spends without any draw, so that nothing is recorded.
        for turn in 0..100 {
            let turn = ask(&format!("r{turn}"), "a", before);
            if first.reserve(&turn, origin(FOUNDER), now) != ReserveOutcome::Granted {
                break;
            }
            before += MOST / 2;
            first.settle("p", &turn.request_id, "a", before);
        }
        let after = spend_all_as_other(&mut None, "b", 50);
        assert!(before > 0 && after > 0);
        assert!(before + after <= BUDGET + MOST, "{before} before and {after} after the loss");
    }

    a_program_goes_on_after_a_loss {
        // Programs that end by themselves spend less than half of their budget.
        let spent = spend_all_as_other(&mut None, "b", 50);
        assert!(spent >= BUDGET / 2, "only {spent} tokens were handed out");
    }

    an_owner_that_took_over_lets_nothing_run_without_a_draw {
        // Owners that are lost one after the other would each hand out a free share.
        for owner in ["a", "b", "c"] {
            let turn = ask("r", owner, 0);
            let verdict = Ledger::default().reserve(&turn, origin(OTHER), Instant::now());
            assert!(matches!(verdict, ReserveOutcome::Draw(Draw { needed: MOST, .. })), "{verdict:?}");
        }
    }

    counts_from_before_a_takeover_are_not_charged_twice {
        let turn = ask("r", "a", 400);
        let verdict = Ledger::default().reserve(&turn, origin(OTHER), Instant::now());
        assert!(matches!(verdict, ReserveOutcome::Draw(Draw { needed: MOST, .. })), "{verdict:?}");
    }

    what_another_owner_drew_stays_drawn {
        // Everything was lost; another owner stood in and let the daemon hand out 300 tokens since.
        let mut record = None;
        let mut stand_in = Ledger::default();
        for turn in 0..3 {
            assert!(run_other(&mut stand_in, &mut record, &ask(&format!("r{turn}"), "a", 0)));
        }
        let drawn = record.as_ref().expect("a draw").drawn;
        let mut next = Ledger::default();
        let turn = ask("next", "a", 300);
        let origin = origin(OTHER);
        let roll = first_term();
        assert!(run_as(&"next".into(), &mut next, &mut record, &turn, origin, &roll, false));
        let after = record.expect("a draw").drawn;
        assert!(after >= drawn + MOST, "{after} after {drawn}");
    }

    an_owner_inherits_what_the_former_one_knew {
        let now = Instant::now();
        let (mut former, mut record) = (Ledger::default(), None);
        // Seven turns run at once through daemons that the next owner has not heard of.
        for turn in 0..7 {
            assert!(run(&mut former, &mut record, &ask(&format!("r{turn}"), "a", 0)));
        }
        let allowed = former.summary("p").expect("the program is known").allowed;
        let Transfer::Account(inheritance) = former.transfer("p", true, now) else {
            panic!("the former owner knows the program");
        };
        let mut next = Ledger::default();
        next.take_over("p".into(), *inheritance, 1, now);
        let standing = next.summary("p").expect("the next owner knows the program");
        assert_eq!((standing.reserved, standing.allowed), (700, allowed));
        next.settle("p", "r0", "a", 30);
        assert_eq!(next.summary("p").expect("it is known").spent, 30);
    }

    a_program_that_was_given_away_does_not_come_back_as_new {
        // A daemon with an older view still asks the former owner.
        let now = Instant::now();
        let mut former = Ledger::default();
        let verdict = former.reserve(&ask("r", "a", 0), origin(FOUNDER), now);
        assert_eq!(verdict, ReserveOutcome::Granted);
        assert!(matches!(former.transfer("p", true, now), Transfer::Account(_)));
        let verdict = former.reserve(&ask("late", "b", 0), origin(FOUNDER), now);
        assert!(matches!(verdict, ReserveOutcome::Draw(_)), "{verdict:?}");
    }

    a_program_that_its_founder_renounces_costs_its_next_owner_no_free_share {
        let now = Instant::now();
        let mut former = Ledger::default();
        assert_eq!(former.transfer("p", true, now), Transfer::Renounced);
        let verdict = former.reserve(&ask("late", "b", 0), origin(FOUNDER), now);
        assert!(matches!(verdict, ReserveOutcome::Draw(_)), "{verdict:?}");
        // Only a founder can tell that nobody spends without a record.
        assert_eq!(former.transfer("q", false, now), Transfer::Nothing);
        // One that has closed its books lets others take its word from there.
        let mut closed = Ledger::default();
        closed.close();
        assert_eq!(closed.transfer("q", true, now), Transfer::Nothing);
        let mut record = None;
        let turn = ask("r", "a", 0);
        let roll = first_term();
        let silent = UnusedShare { allocator: FOUNDER, after: 0 };
        let origin = roll.initial_allowance("p", BUDGET + MOST, OTHER, &[silent]);
        let (mut next, owner) = (Ledger::default(), "next".into());
        assert!(run_as(&owner, &mut next, &mut record, &turn, origin, &roll, false));
        // Nothing but this draw is in the record.
        assert_eq!(record.expect("a draw").drawn, unrecorded());
    }

    a_founder_that_gave_a_free_share_away_does_not_renounce {
        let now = Instant::now();
        let mut former = Ledger::default();
        let verdict = former.reserve(&ask("r", "a", 0), origin(FOUNDER), now);
        assert_eq!(verdict, ReserveOutcome::Granted);
        assert!(matches!(former.transfer("p", true, now), Transfer::Account(_)));
        assert_eq!(former.transfer("p", true, now), Transfer::Nothing);
    }

    closed_books_say_what_was_spent {
        let now = Instant::now();
        let mut former = Ledger::default();
        for turn in 0..3 {
            let turn = ask(&format!("r{turn}"), "a", 0);
            assert_eq!(former.reserve(&turn, origin(FOUNDER), now), ReserveOutcome::Granted);
        }
        former.settle("p", "r0", "a", 40);
        let books = former.close();
        let (program, spent) = books.first().expect("the program is in the books");
        let record = spent.record_after_close(program, None, &first_term(), FOUNDER, 1_000);
        let expected = Record {
            budget: BUDGET,
            max_tokens: MOST,
            drawn: 240,
            term: 1,
            keep_until_ms: 61_000,
            last_draw: None,
        };
        assert_eq!(record, Some(expected));
        let verdict = former.reserve(&ask("late", "a", 40), origin(FOUNDER), now);
        assert!(matches!(verdict, ReserveOutcome::Draw(Draw { needed: MOST, .. })), "{verdict:?}");
        let verdict = former.reserve(&ReservationRequest { program: "q".into(), ..ask("r", "a", 0) }, origin(FOUNDER), now);
        assert!(matches!(verdict, ReserveOutcome::Draw(_)), "{verdict:?}");
    }

    closed_books_count_the_shares_of_other_founders {
        // A founder of the first term is lost; the second term's founds the program anew and stops.
        let mut roll = first_term();
        next_term(&mut roll, OTHER);
        let origin = roll.initial_allowance("p", BUDGET + MOST, OTHER, &[]);
        let mut next = Ledger::default();
        let verdict = next.reserve(&ask("r", "a", 0), origin, Instant::now());
        assert_eq!(verdict, ReserveOutcome::Granted);
        let books = next.close();
        let (program, spent) = books.first().expect("the program is in the books");
        let record = spent.record_after_close(program, None, &roll, OTHER, 0).expect("a record");
        assert_eq!((record.drawn, record.term), (unrecorded() + MOST, 2));
        // A record of the first term goes on from what it holds; one of this term has counted all.
        let before = Record { drawn: 700, term: 1, ..record.clone() };
        let after = spent.record_after_close(program, Some(&before), &roll, OTHER, 0).expect("a record");
        assert_eq!(after.drawn, 700 + MOST);
        assert_eq!(spent.record_after_close(program, Some(&after), &roll, OTHER, 0), None);
    }

    an_owner_that_knows_a_program_does_not_count_its_own_later_share {
        let mut roll = first_term();
        let mut owner = Ledger::default();
        let granted = owner.reserve(&ask("r0", "a", 0), origin(OTHER), Instant::now());
        assert!(matches!(granted, ReserveOutcome::Draw(_)), "{granted:?}");
        next_term(&mut roll, OTHER);
        let (mut record, owner_name) = (None, VmId::from("owner"));
        let turn = ask("r1", "a", 0);
        let later = roll.initial_allowance("p", BUDGET + MOST, OTHER, &[]);
        assert!(run_as(&owner_name, &mut owner, &mut record, &turn, later, &roll, false));
        let counted = record.expect("a draw").drawn;
        // Another owner cannot know that the founder of the second term handed out nothing.
        let (mut record, mut stranger) = (None, Ledger::default());
        let origin = roll.initial_allowance("p", BUDGET + MOST, 9, &[]);
        assert!(run_as(&"9".into(), &mut stranger, &mut record, &turn, origin, &roll, false));
        assert!(counted < record.expect("a draw").drawn);
    }

    a_program_that_is_known_meanwhile_is_not_inherited {
        let now = Instant::now();
        let (mut former, mut next) = (Ledger::default(), Ledger::default());
        assert_eq!(former.reserve(&ask("r0", "a", 0), origin(FOUNDER), now), ReserveOutcome::Granted);
        let Transfer::Account(inheritance) = former.transfer("p", true, now) else {
            panic!("the former owner knows the program");
        };
        // While it was asked, another turn made this owner the program's founder.
        assert_eq!(next.reserve(&ask("r1", "b", 0), origin(FOUNDER), now), ReserveOutcome::Granted);
        let before = next.summary("p");
        next.take_over("p".into(), *inheritance, 1, now);
        assert_eq!(next.summary("p"), before);
    }

    a_stop_shows_a_share_that_does_not_fit {
        let mut roll = first_term();
        roll.terms = roll.announce(&allocators(OTHER), false, 0).expect("enough is left for a term");
        let turn = ask("r", "a", 0);
        let full = spend::record_after_stop(&turn, None, &first_term(), 0);
        let record = spend::record_after_stop(&turn, Some(&full), &roll, 0);
        assert!(record.drawn > BUDGET + MOST, "{record:?}");
        roll.terms = roll.terms.opened(&[("p".into(), record)]);
        assert_eq!(roll.allocator("p"), None);
    }

    closed_books_cover_what_was_given_away {
        let now = Instant::now();
        let mut former = Ledger::default();
        let verdict = former.reserve(&ask("r", "a", 0), origin(FOUNDER), now);
        assert_eq!(verdict, ReserveOutcome::Granted);
        assert!(matches!(former.transfer("p", true, now), Transfer::Account(_)));
        let books = former.close();
        let (program, spent) = books.first().expect("the program is in the books");
        let record = spent.record_after_close(program, None, &first_term(), FOUNDER, 0);
        assert_eq!(record.map(|record| record.drawn), Some(unrecorded()));
    }

    a_lost_daemons_turn_is_charged_at_its_most {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        let verdict = ledger.reserve(&ask("lost", "a", 0), origin(FOUNDER), now);
        assert_eq!(verdict, ReserveOutcome::Granted);
        let later = now + Duration::from_secs(20);
        let verdict = ledger.reserve(&ask("next", "b", 0), origin(FOUNDER), later);
        assert_eq!(verdict, ReserveOutcome::Granted);
        let standing = ledger.summary("p").expect("the program is known");
        assert_eq!((standing.spent, standing.reserved), (MOST, MOST));
    }

    a_restarted_daemon_counts_anew {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        for (process, handed_out) in [("a/1", 0), ("a/2", 0)] {
            let turn = ask(process, process, handed_out);
            assert_eq!(ledger.reserve(&turn, origin(FOUNDER), now), ReserveOutcome::Granted);
            ledger.settle("p", process, process, 80);
        }
        assert_eq!(ledger.summary("p").expect("the program is known").spent, 160);
    }

    turns_within_the_free_share_wait_for_no_record {
        // The platform is away, and a program starts turns at once. A turn beyond the free share has
        // to wait, for its owner may be lost before a record says so.
        let mut ledger = Ledger::default();
        let now = Instant::now();
        for turn in 0..unrecorded() / MOST {
            let verdict = ledger.reserve(&ask(&format!("r{turn}"), "a", 0), origin(FOUNDER), now);
            assert_eq!(verdict, ReserveOutcome::Granted, "turn {turn}");
        }
        let verdict = ledger.reserve(&ask("late", "a", 0), origin(FOUNDER), now);
        assert!(matches!(verdict, ReserveOutcome::Draw(_)), "{verdict:?}");
    }

    owners_cannot_draw_more_than_the_budget_and_a_turn_together {
        let (turn, owner) = (ask("r", "a", 0), VmId::from("owner"));
        let draw = |number| Draw { needed: 300, number, unrecorded: 550, ..DRAW };
        let (record, tokens) = spend::record_after_draw(&turn, &owner, None, draw(0), &first_term(), 0).expect("half is left");
        assert_eq!((record.drawn, tokens), (850, 300));
        assert_eq!(spend::record_after_draw(&turn, &owner, Some(record.clone()), draw(1), &first_term(), 0), None);
        let rest = Draw { needed: 250, ..draw(1) };
        let (record, tokens) = spend::record_after_draw(&turn, &owner, Some(record), rest, &first_term(), 0).expect("a rest");
        assert_eq!((record.drawn, tokens), (BUDGET + MOST, 250));
        let more = Draw { needed: 1, ..draw(2) };
        assert_eq!(spend::record_after_draw(&turn, &owner, Some(record), more, &first_term(), 0), None);
    }

    a_draw_leaves_something_to_the_next_owner {
        let (turn, owner) = (ask("r", "a", 0), VmId::from("owner"));
        let draw = Draw { needed: 100, number: 0, unrecorded: unrecorded(), ..DRAW };
        let (record, tokens) = spend::record_after_draw(&turn, &owner, None, draw, &first_term(), 0).expect("a rest");
        assert_eq!((record.drawn, tokens), (770, 330));
        // Where nothing was spent before, a draw takes as much as a founder has without one.
        let draw = Draw { unrecorded: 0, ..draw };
        let (_, tokens) = spend::record_after_draw(&turn, &owner, None, draw, &first_term(), 0).expect("all is left");
        assert_eq!(tokens, unrecorded());
    }

    a_draw_whose_answer_was_lost_takes_effect_once {
        let (turn, owner) = (ask("r", "a", 0), VmId::from("owner"));
        let draw = Draw { needed: 100, number: 3, unrecorded: 550, ..DRAW };
        let (first, tokens) = spend::record_after_draw(&turn, &owner, None, draw, &first_term(), 0).expect("half is left");
        let again = spend::record_after_draw(&turn, &owner, Some(first.clone()), draw, &first_term(), 9);
        assert_eq!(again, Some((first.clone(), tokens)));
        let other = spend::record_after_draw(&turn, &"other".into(), Some(first.clone()), draw, &first_term(), 9);
        assert!(other.expect("a rest").0.drawn > first.drawn);
    }
}

/// Time that passes for nobody.
const NOW_MS: u64 = 0;
/// Daemons that own the program by turns.
const OWNERS: usize = 3;

/// One daemon's process as an owner.
struct Owner {
    incarnation: u64,
    ledger: Ledger,
    /// The terms as far as it has heard of them.
    heard: TermView,
    closed: bool,
}

impl Owner {
    fn new(incarnation: u64, heard: TermView) -> Self {
        Self { incarnation, ledger: Ledger::default(), heard, closed: false }
    }

    fn founds(&self) -> bool {
        self.heard.allocator("p").is_some_and(|allocator| allocator.incarnation == self.incarnation)
    }
}

/// Owners and daemons that come and go, each with its own view of who owns the program and of the
/// terms.
struct World {
    rng: fastrand::Rng,
    owners: Vec<Owner>,
    daemons: Vec<(String, u64)>,
    record: Option<Record>,
    /// The terms as they are written.
    roll: TermView,
    /// Turns under way: request, daemon, owner.
    open: Vec<(String, usize, usize)>,
    handed_out: u64,
    names: u64,
    /// Whether each turn hands out its most.
    greedy: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let owners = (0..OWNERS as u64).map(|number| Owner::new(number + 1, TermView::default()));
        Self {
            rng: fastrand::Rng::with_seed(seed),
            owners: owners.collect(),
            daemons: (0..3).map(|number| (format!("d{number}"), 0)).collect(),
            record: None,
            roll: TermView::default(),
            open: Vec::new(),
            handed_out: 0,
            names: OWNERS as u64,
            greedy: seed.is_multiple_of(2),
        }
    }

    fn name(&mut self) -> u64 {
        self.names += 1;
        self.names
    }

    fn step(&mut self) {
        let owner = self.rng.usize(..self.owners.len());
        let daemon = self.rng.usize(..self.daemons.len());
        match self.rng.u32(..30) {
            0 => self.owners[owner] = Owner::new(self.name(), self.roll.clone()),
            1 | 13..=15 => {
                let name = self.name();
                self.daemons[daemon] = (format!("d{daemon}/{name}"), 0);
                // What a daemon that is gone had under way is never settled.
                self.open.retain(|(_, of, _)| *of != daemon);
            }
            2 => self.close(owner),
            3 => {
                // An inheritance that is lost on its way is known to nobody.
                let founds = self.owners[owner].founds();
                self.owners[owner].ledger.transfer("p", founds, Instant::now());
            }
            4..=12 => self.begin(owner, daemon),
            16..=18 => self.advance_terms(),
            19..=21 => self.owners[owner].heard = self.roll.clone(),
            _ => self.end(owner),
        }
    }

    /// A step after which a program may have spent all that its owner lets run.
    fn leap(&mut self) {
        let owner = self.rng.usize(..self.owners.len());
        match self.rng.u32(..12) {
            0..=1 => self.owners[owner] = Owner::new(self.name(), self.roll.clone()),
            2 => self.close(owner),
            3 => {
                let founds = self.owners[owner].founds();
                self.owners[owner].ledger.transfer("p", founds, Instant::now());
            }
            4..=6 => self.advance_terms(),
            7 => self.owners[owner].heard = self.roll.clone(),
            _ => self.spree(owner),
        }
    }

    /// Runs turns through one daemon until one is refused, or some.
    fn spree(&mut self, owner: usize) {
        let daemon = self.rng.usize(..self.daemons.len());
        let name = self.name();
        self.daemons[daemon] = (format!("d{daemon}/{name}"), 0);
        for _ in 0..self.rng.u32(1..16) {
            self.begin(owner, daemon);
            let Some((request, ..)) = self.open.pop() else {
                return;
            };
            let (process, handed_out) = &mut self.daemons[daemon];
            *handed_out += MOST;
            self.handed_out += MOST;
            self.owners[owner].ledger.settle("p", &request, process, *handed_out);
        }
    }

    /// Announces or opens a term for some of the processes.
    fn advance_terms(&mut self) {
        let live = self.owners.iter().enumerate().filter(|_| self.rng.u32(..4) > 0);
        let live: Vec<Allocator> = live
            .map(|(at, owner)| Allocator {
                vm: format!("vm-{at}").into(),
                incarnation: owner.incarnation,
            })
            .collect();
        let announced = self.roll.terms.number() > 0 && !self.roll.terms.is_open();
        let terms = match announced {
            true => {
                let records = self.record.iter().map(|record| ("p".into(), record.clone()));
                Some(self.roll.terms.opened(&records.collect::<Vec<_>>()))
            }
            // The budget has to hold whenever terms come.
            false => self.roll.announce(&live, false, NOW_MS),
        };
        let Some(terms) = terms else {
            return;
        };
        self.roll = TermView { terms, revision: self.roll.revision + 1, ..self.roll.clone() };
    }

    /// A process closes its books; the record is written before that is known.
    fn close(&mut self, owner: usize) {
        let Owner { incarnation, ledger, closed, .. } = &mut self.owners[owner];
        if *closed {
            return;
        }
        *closed = true;
        for (program, books) in ledger.close() {
            let found = self.record.as_ref();
            let record =
                books.record_after_close(&program, found, &self.roll, *incarnation, NOW_MS);
            self.record = record.or(self.record.take());
        }
        self.roll.closed.insert(*incarnation);
    }

    /// Lets an owner that does not know the program ask another one; returns where it comes from.
    fn take_over(&mut self, owner: usize) -> InitialAllowance {
        let me = self.owners[owner].incarnation;
        let heard = self.owners[owner].heard.clone();
        let found = heard.initial_allowance("p", BUDGET + MOST, me, &[]);
        let known = InitialAllowance { share_tokens: 0, ..found };
        if self.owners[owner].ledger.contains("p") {
            return known;
        }
        if self.owners[owner].ledger.may_use_share("p", found) {
            return found;
        }
        let former = self.rng.usize(..self.owners.len());
        if former == owner || self.rng.bool() {
            return known;
        }
        let founds = self.owners[former].founds();
        let former_process = self.owners[former].incarnation;
        let named =
            heard.allocator("p").is_some_and(|allocator| allocator.incarnation == former_process);
        match self.owners[former].ledger.transfer("p", founds, Instant::now()) {
            Transfer::Account(inheritance) => {
                let ledger = &mut self.owners[owner].ledger;
                ledger.take_over("p".into(), *inheritance, found.term, Instant::now());
                known
            }
            Transfer::Renounced if named => {
                let silent = UnusedShare { allocator: former_process, after: 0 };
                InitialAllowance {
                    share_tokens: 0,
                    ..heard.initial_allowance("p", BUDGET + MOST, me, &[silent])
                }
            }
            Transfer::Renounced | Transfer::Nothing => known,
        }
    }

    fn begin(&mut self, owner: usize, daemon: usize) {
        let origin = self.take_over(owner);
        let request = format!("r{}", self.name());
        let (process, handed_out) = &self.daemons[daemon];
        let turn = ask(&request, process, *handed_out);
        let Owner { incarnation, ledger, heard, .. } = &mut self.owners[owner];
        let process: VmId = incarnation.to_string().into();
        let lost = self.rng.u32(..5) == 0;
        let drawn = self.record.clone();
        // Writes with old terms do not take effect; what was heard of closed books may be old.
        let guarded = TermView { closed: heard.closed.clone(), ..self.roll.clone() };
        if run_as(&process, ledger, &mut self.record, &turn, origin, &guarded, lost) {
            self.open.push((request, daemon, owner));
        }
        if self.record != drawn {
            *heard = guarded;
        }
    }

    /// Ends a turn and settles it with its owner, with another one, or not at all.
    fn end(&mut self, other: usize) {
        if self.open.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.open.len());
        let (request, daemon, owner) = self.open.swap_remove(at);
        let tokens = if self.greedy { MOST } else { self.rng.u64(..=MOST) };
        let (process, handed_out) = &mut self.daemons[daemon];
        *handed_out += tokens;
        self.handed_out += tokens;
        match self.rng.u32(..10) {
            0 => {}
            1 => self.owners[other].ledger.settle("p", &request, process, *handed_out),
            _ => self.owners[owner].ledger.settle("p", &request, process, *handed_out),
        }
    }
}

/// Plays a course of steps for each seed.
fn play(seeds: u64, steps: usize, step: fn(&mut World)) {
    for seed in 0..seeds {
        let mut world = World::new(seed);
        for _ in 0..steps {
            step(&mut world);
            assert!(world.handed_out <= BUDGET + MOST, "seed {seed}: {}", world.handed_out);
        }
    }
}

#[test]
fn no_course_of_losses_hands_out_more_than_the_budget_and_a_turn() {
    play(10_000, 200, World::step);
}

#[test]
fn no_course_of_terms_hands_out_more_than_the_budget_and_a_turn() {
    play(30_000, 30, World::leap);
}
