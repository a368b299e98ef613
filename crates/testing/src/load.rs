//! Seeded load of many clients, with a record of what they saw.

use crate::check::{Entry, Evidence, Reply};
use crate::cluster::{CREW_TOKEN, Cluster, VANS_TOKEN};
use crate::program::{model, service};
use caller::api::{Call, Create};
use caller::client::Client;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use sched::id::{ProgramId, Tokens};
use std::time::{Duration, Instant};

/// Longest wait for engines to release what they hold after the last program.
const RELEASE_WAIT: Duration = Duration::from_secs(15);

/// Sizes of a load.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Seed.
    pub seed: u64,
    /// Clients at once.
    pub clients: usize,
    /// Programs of each client, one after another.
    pub programs: usize,
    /// Calls of each program.
    pub calls: u32,
    /// Longest answer, in tokens.
    pub max_answer_tokens: Tokens,
    /// Longest pause between calls.
    pub max_pause: Duration,
    /// Budget of each program.
    pub budget: Tokens,
    /// Whether a client repeats what broke or was refused for now.
    pub retry: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            seed: 1,
            clients: 10,
            programs: 2,
            calls: 6,
            max_answer_tokens: 40,
            max_pause: Duration::from_millis(150),
            budget: 40_000,
            retry: true,
        }
    }
}

/// What one load saw.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Calls with what their clients were told.
    pub entries: Vec<Entry>,
    /// Programs with the number of their team.
    pub programs: Vec<(ProgramId, usize)>,
    /// Programs that could not be created.
    pub create_errors: Vec<String>,
}

impl Record {
    /// Adds what another load saw.
    pub fn merge(&mut self, other: Self) {
        self.entries.extend(other.entries);
        self.programs.extend(other.programs);
        self.create_errors.extend(other.create_errors);
    }
}

/// Runs the load to its end.
pub async fn run(spec: &Spec, addrs: &[CompactString]) -> Record {
    let clients = (0..spec.clients).map(|number| {
        let (spec, addrs) = (spec.clone(), addrs.to_vec());
        tokio::spawn(async move { one_client(&spec, &addrs, number).await })
    });
    let clients: Vec<_> = clients.collect();
    let mut record = Record::default();
    for client in clients {
        let part = client.await.expect("a client ends");
        record.merge(part);
    }
    record
}

async fn one_client(spec: &Spec, addrs: &[CompactString], number: usize) -> Record {
    let mut rng = fastrand::Rng::with_seed(spec.seed * 1_000 + number as u64);
    let team = number % 2;
    let mut record = Record::default();
    for index in 0..spec.programs {
        let mut client = Client::new(addrs, token(team), rng.usize(..addrs.len()));
        let key = format_compact!("s{}-{number}-{index}", spec.seed);
        match client.create(&creation(spec, team, key)).await {
            Ok(program) => {
                record.programs.push((program.clone(), team));
                one_program(spec, addrs, &program, team, &mut rng, &mut record).await;
            }
            Err(error) => record.create_errors.push(error.to_string()),
        }
    }
    record
}

/// Callers' token of a team, by its number.
pub fn token(team: usize) -> &'static str {
    [CREW_TOKEN, VANS_TOKEN][team]
}

fn creation(spec: &Spec, team: usize, key: CompactString) -> Create {
    Create {
        pool: "models".into(),
        account: ["crew-tokens", "vans-tokens"][team].into(),
        budget: spec.budget,
        kind: "plan".into(),
        key: Some(key),
        ..Create::default()
    }
}

async fn one_program(
    spec: &Spec,
    addrs: &[CompactString],
    program: &ProgramId,
    team: usize,
    rng: &mut fastrand::Rng,
    record: &mut Record,
) {
    let mut receipts = Vec::new();
    for seq in 1..=spec.calls {
        let mut client = Client::new(addrs, token(team), rng.usize(..addrs.len()));
        let call = Call { receipts: receipts.clone(), ..next_call(spec, program, seq, rng) };
        let told = ask(spec, &mut client, program, &call, &mut receipts).await;
        let ended = matches!(told, Reply::Ended(..));
        record.entries.push(Entry { program: program.clone(), call, reply: told });
        if !ended {
            break;
        }
        tokio::time::sleep(spec.max_pause.mul_f64(rng.f64())).await;
    }
    if !receipts.is_empty() {
        let mut client = Client::new(addrs, token(team), rng.usize(..addrs.len()));
        let settled = client.submit_receipts(program, receipts).await;
        assert!(settled.is_ok(), "the receipts of {program} are refused: {settled:?}");
    }
}

fn next_call(spec: &Spec, program: &ProgramId, seq: u32, rng: &mut fastrand::Rng) -> Call {
    let body = format!("{program} step {seq}");
    match rng.u32(..5) {
        0 | 1 => service(seq, "booking", "book", &body, false),
        2 => service(seq, "booking", "look-up", &body, true),
        _ => model(seq, &body, rng.u64(1..=spec.max_answer_tokens), 4 * spec.max_answer_tokens),
    }
}

async fn ask(
    spec: &Spec,
    client: &mut Client,
    program: &ProgramId,
    call: &Call,
    receipts: &mut Vec<String>,
) -> Reply {
    let result = match spec.retry {
        true => client.call(program, call).await,
        false => client.try_call(program, call).await,
    };
    if let Ok(answer) = &result {
        match &answer.end.receipt {
            Some(receipt) => receipts.push(receipt.clone()),
            None => receipts.clear(),
        }
    }
    result.into()
}

/// Reads all histories back, cancels what is left, and gathers the stand-ins' evidence.
///
/// # Panics
///
/// Panics when a program cannot be read back.
pub async fn gather(cluster: &Cluster, record: Record, addrs: &[CompactString]) -> Evidence {
    let mut histories = IndexMap::new();
    for (program, team) in &record.programs {
        let mut client = Client::new(addrs, token(*team), 0);
        let ended = client.cancel(program).await;
        assert!(ended.is_ok(), "{program} cannot be ended: {ended:?}");
        let history = client.read(program).await;
        histories.insert(program.clone(), history.expect("a history"));
    }
    wait_for_release(cluster).await;
    let generated = cluster.engine_stats.lock().expect("the tally").generated.clone();
    let accounts = [0, 1].map(|team| {
        let charged = record.programs.iter().filter(|(_, of)| *of == team);
        (cluster.spec.budget, charged.map(|(program, _)| program.clone()).collect())
    });
    Evidence {
        entries: record.entries,
        histories,
        effects: cluster.effects(),
        generated,
        accounts: accounts.to_vec(),
        pinned: cluster.pinned(),
        ..Evidence::default()
    }
}

async fn wait_for_release(cluster: &Cluster) {
    let started = Instant::now();
    while !cluster.pinned().is_empty() && started.elapsed() < RELEASE_WAIT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
