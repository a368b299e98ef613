//! The checks of the guarantees detect violations in constructed evidence.

use caller::api::History;
use sched::call::{Call, Outcome, StopReason, Turn, Work};
use testing::check::{self, Evidence, Guarantee};
use testing::service::Effect;

fn turn(seq: u32) -> Turn {
    let work = Work::Service {
        service: "booking".into(),
        op: "book".into(),
        body: String::new(),
        idempotent: false,
    };
    let call = Call { id: format!("c{seq}").into(), seq, work };
    let outcome = Outcome::Done { text: "x".to_owned(), tokens: 0, stop: StopReason::End, run: 0 };
    Turn { call, outcome }
}

fn history(seqs: &[u32]) -> History {
    History {
        program: "0-1".into(),
        budget: 10,
        spent: 0,
        unsettled: 0,
        ending: None,
        turns: seqs.iter().map(|seq| turn(*seq)).collect(),
        pins: Vec::new(),
    }
}

fn effect(call: &str) -> Effect {
    Effect {
        program: "0-1".into(),
        key: format!("0-1:{call}").into(),
        op: "book".into(),
        body: String::new(),
    }
}

fn violated(evidence: &Evidence) -> Vec<Guarantee> {
    check::check(evidence).into_iter().map(|violation| violation.guarantee).collect()
}

/// Defines one test per case: the evidence and the guarantees that it violates.
macro_rules! cases {
    ($($name:ident $evidence:block => [$($guarantee:ident),*];)*) => {
        $(
            #[test]
            fn $name() {
                let evidence: Evidence = $evidence;
                assert_eq!(violated(&evidence), vec![$(Guarantee::$guarantee),*]);
            }
        )*
    };
}

cases! {
    evidence_without_violations {
        let mut evidence = Evidence::default();
        evidence.histories.insert("0-1".into(), history(&[1, 2]));
        evidence.effects = vec![effect("c1"), effect("c2")];
        evidence
    } => [];

    turns_out_of_order {
        let mut evidence = Evidence::default();
        evidence.histories.insert("0-1".into(), history(&[2, 1]));
        evidence
    } => [Order];

    effects_out_of_order {
        let mut evidence = Evidence::default();
        evidence.histories.insert("0-1".into(), history(&[1, 2]));
        evidence.effects = vec![effect("c2"), effect("c1")];
        evidence
    } => [Order];

    a_reverted_configuration {
        let mut evidence = Evidence::default();
        evidence.versions.insert("entry-0".into(), vec![1, 3, 2]);
        evidence
    } => [Configuration];

    an_overdrawn_account {
        let mut evidence = Evidence::default();
        evidence.generated.insert("0-1".into(), 8);
        evidence.generated.insert("0-2".into(), 8);
        evidence.accounts = vec![(10, vec!["0-1".into(), "0-2".into()])];
        evidence
    } => [Budget];
}
