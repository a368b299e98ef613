//! Invariants of the scheduling decisions, checked with generated inputs.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sched::call::{Call, Outcome, StopReason, Turn, Work};
use sched::grant::{Ledger, Request};
use sched::id::{self, LogId, Tokens, VmId};
use sched::log::State;
use sched::members;
use sched::queue::{self, Policy, RankInput};
use sched::record::{Ending, Record, Spec};

const CASES: u32 = 1_000;
const SEED: u64 = 4574;
const PROGRAMS: u64 = 4;
const BUDGET: Tokens = 100;

fn program(number: u64) -> id::ProgramId {
    id::program(7, number)
}

fn call(seq: u32, idempotent: bool) -> Call {
    let work = Work::Service {
        service: "booking".into(),
        op: "book".into(),
        body: String::new(),
        idempotent,
    };
    Call { id: format!("c{seq}").into(), seq, work }
}

fn done(tokens: Tokens) -> Outcome {
    Outcome::Done { text: "x".to_owned(), tokens, stop: StopReason::End, run: 1 }
}

fn record() -> impl Strategy<Value = Record> {
    let number = 1..=PROGRAMS;
    let seq = 1..6_u32;
    let tokens = 0..70_u64;
    prop_oneof![
        (1..40_u64).prop_map(|epoch| Record::Takeover { epoch, vm: "vm".into() }),
        Just(Record::Handoff),
        Just(Record::Settle),
        number.clone().prop_map(|n| Record::Create {
            program: program(n),
            spec: Spec { account: "a".into(), budget: BUDGET, ..Spec::default() },
        }),
        (number.clone(), seq.clone(), any::<bool>()).prop_map(|(n, seq, idempotent)| {
            Record::Intent { program: program(n), call: call(seq, idempotent) }
        }),
        (number.clone(), seq.clone(), tokens.clone()).prop_map(|(n, seq, tokens)| {
            let call = format!("c{seq}").into();
            Record::Outcome { program: program(n), call, outcome: done(tokens) }
        }),
        (number.clone(), seq, tokens.clone()).prop_map(|(n, seq, tokens)| {
            let turn = Turn { call: call(seq, true), outcome: done(tokens) };
            Record::Restore { program: program(n), turn }
        }),
        (number.clone(), tokens)
            .prop_map(|(n, allowance)| Record::Allow { program: program(n), allowance }),
        number
            .clone()
            .prop_map(|n| Record::Finish { program: program(n), ending: Ending::Finished }),
        number.prop_map(|n| Record::Forget { program: program(n) }),
    ]
}

fn check_state(state: &State) -> Result<(), TestCaseError> {
    let mut used = 0;
    for program in state.programs.values() {
        prop_assert!(program.committed() <= program.spec.budget);
        let seqs: Vec<u32> = program.turns.iter().map(|turn| turn.call.seq).collect();
        prop_assert!(seqs.iter().copied().eq(1..=seqs.len() as u32));
        used += program.committed();
    }
    prop_assert!(state.usage("a").total() >= used);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn budgets_and_call_order_hold_after_any_entries(records in prop::collection::vec(record(), 0..60)) {
        let mut state = State::new(7);
        for record in &records {
            let before = state.clone();
            if state.apply(record).is_err() {
                prop_assert_eq!(&before, &state, "a rejected entry changed the state");
            }
            check_state(&state)?;
        }
    }

    #[test]
    fn replaying_the_accepted_entries_gives_the_same_state(
        records in prop::collection::vec(record(), 0..60),
    ) {
        let mut state = State::new(7);
        let accepted: Vec<&Record> =
            records.iter().filter(|record| state.apply(record).is_ok()).collect();
        let mut replayed = State::new(7);
        for record in accepted {
            prop_assert_eq!(replayed.apply(record), Ok(()));
        }
        prop_assert_eq!(state, replayed);
    }

    #[test]
    fn a_takeover_never_leaves_a_non_idempotent_call_open(
        records in prop::collection::vec(record(), 0..60),
    ) {
        let mut state = State::new(7);
        for record in &records {
            let applied = state.apply(record).is_ok();
            if applied && matches!(record, Record::Takeover { .. }) {
                let open = state.programs.values().filter_map(|program| program.open.as_ref());
                prop_assert!(open.into_iter().all(|open| open.call.work.idempotent()));
            }
        }
    }

    #[test]
    fn grants_never_exceed_the_limit_or_fall_below_usage(
        requests in prop::collection::vec((0..4_u16, 1..4_u64, 0..80_u64, 0..60_u64), 1..60),
    ) {
        let mut ledger = Ledger::default();
        let mut used = [0_u64; 4];
        for (log, epoch, extra, spend) in requests {
            let index = usize::from(log);
            let request = Request {
                log,
                epoch,
                used: used[index],
                wanted: used[index] + extra,
                version: 1,
                limit: BUDGET,
            };
            if let Ok(granted) = ledger.update_grant(request) {
                prop_assert!(granted >= used[index]);
                used[index] = (used[index] + spend).min(granted);
            }
            prop_assert!(ledger.total_granted() <= BUDGET);
            prop_assert!(used.iter().sum::<Tokens>() <= BUDGET);
        }
    }

    #[test]
    fn logs_are_spread_evenly_and_move_only_when_necessary(
        count in 2..12_usize,
        logs in 1..64_u16,
        removed in 0..12_usize,
    ) {
        let items: Vec<LogId> = (0..logs).collect();
        let all: Vec<VmId> = (0..count).map(|n| format!("vm-{n}").into()).collect();
        let before = members::assign(&items, &all);
        let share = items.len().div_ceil(count);
        for member in 0..count {
            prop_assert!(before.iter().filter(|owner| **owner == member).count() <= share);
        }
        let mut reversed = all.clone();
        reversed.reverse();
        let same = members::assign(&items, &reversed);
        for (first, second) in before.iter().zip(&same) {
            prop_assert_eq!(&all[*first], &reversed[*second]);
        }
        let remaining: Vec<VmId> =
            all.iter().enumerate().filter(|(n, _)| *n != removed % count).map(|(_, vm)| vm.clone()).collect();
        let after = members::assign(&items, &remaining);
        prop_assert_eq!(after.len(), items.len());
    }

    #[test]
    fn no_call_ranks_behind_one_that_arrives_75_s_later(
        attained in 0..100_000_u64,
        expected in 0..100_000_u64,
        team_calls in 0..1_000_u32,
    ) {
        let earlier = RankInput { arrival_ms: 0, attained, expected, team_calls, team_share: 1, priority: 0 };
        let later = RankInput { arrival_ms: 75_000, team_share: 1, ..RankInput::default() };
        prop_assert!(queue::rank(Policy::Program, earlier) <= queue::rank(Policy::Program, later));
    }
}
