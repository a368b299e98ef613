//! Cost of the scheduling decisions by the size of the state.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sched::call::{Call, Outcome, StopReason, Work};
use sched::id::{self, VmId};
use sched::log::State;
use sched::members;
use sched::place::{Criteria, Pool, View};
use sched::queue::{Item, Policy, Queue};
use sched::record::{Record, Spec};
use std::hint::black_box;

const SIZES: [u64; 3] = [100, 1_000, 10_000];

fn item(rank: i64) -> Item {
    Item { program: id::program(1, rank as u64), rank, prompt: 500, reserve: 64, expected: 64 }
}

fn waiting_calls(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue_add_and_take");
    for size in SIZES {
        let mut queue = Queue::default();
        for rank in 0..size {
            queue.push(item(rank as i64));
        }
        let mut rank = size as i64;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                rank += 1;
                queue.push(item(rank));
                let first = queue.next_after(None).map(|(key, _)| key);
                first.and_then(|key| queue.remove(&key))
            });
        });
    }
    group.finish();
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place_choose");
    for size in [10, 100, 1_000] {
        let mut pool = Pool::default();
        for number in 0..size {
            let view = View { slots: 16, memory: 16_384, open: true, ..View::default() };
            pool.views.insert(format!("engine-{number}").into(), view);
        }
        let criteria = Criteria {
            policy: Policy::Program,
            prompt: 500,
            memory: 600,
            expected: 64,
            cached: None,
            avoid: None,
            dc: &"dc-a".into(),
        };
        let mut rng = fastrand::Rng::with_seed(1);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| pool.choose(black_box(&criteria), &mut rng));
        });
    }
    group.finish();
}

fn program_turns(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("log_one_turn");
    for size in SIZES {
        let mut state = State::new(1);
        for number in 1..=size {
            let spec = Spec { account: "a".into(), budget: u64::MAX / 2, ..Spec::default() };
            let program = id::program(1, number);
            state.apply(&Record::Create { program, spec }).expect("a new program");
        }
        let program = id::program(1, size / 2);
        let mut seq = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                seq += 1;
                one_turn(&mut state, &program, seq);
            });
        });
    }
    group.finish();
}

fn one_turn(state: &mut State, program: &id::ProgramId, seq: u32) {
    let work = Work::Model { prompt: "next".to_owned(), max_tokens: 10 };
    let call = Call { id: "c".into(), seq, work };
    let outcome = Outcome::Done { text: "x".to_owned(), tokens: 1, stop: StopReason::End, run: 1 };
    let records = [
        Record::Allow { program: program.clone(), allowance: 10 },
        Record::Intent { program: program.clone(), call },
        Record::Outcome { program: program.clone(), call: "c".into(), outcome },
    ];
    for record in records {
        state.apply(&record).expect("a valid entry");
    }
}

fn assignment(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("assign_logs");
    group.sample_size(10);
    for count in [8, 80, 560_u16] {
        let members: Vec<VmId> = (0..count).map(|n| format!("vm-{n}").into()).collect();
        let logs: Vec<u16> = (0..count * 2).collect();
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| members::assign(black_box(&logs), black_box(&members)));
        });
    }
    group.finish();
}

criterion_group!(benches, waiting_calls, placement, program_turns, assignment);
criterion_main!(benches);
