//! Seeded load of concurrent clients, which records the replies that they receive.

use crate::check::{Entry, Evidence, Reply};
use crate::cluster::{CREW_TOKEN, Cluster, VANS_TOKEN};
use crate::program::{model, service};
use caller::api::{Call, Create};
use caller::client::Client;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use sched::id::{ProgramId, Tokens};
use std::time::{Duration, Instant};

/// Maximum time to wait for the engines to release their memory after the last program ended.
const MAX_RELEASE_WAIT: Duration = Duration::from_secs(15);

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Number of programs that each client runs, one after another.
    pub programs: usize,
    /// Number of calls of each program.
    pub calls: u32,
    /// Maximum length of an answer, in tokens.
    pub max_answer_tokens: Tokens,
    /// Maximum pause between the calls of a program.
    pub max_pause: Duration,
    /// Budget of each program, in tokens.
    pub budget: Tokens,
    /// Whether a client retries calls that were interrupted or refused with a retryable error.
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

/// Record of what the clients of a load observed.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Calls and their replies.
    pub entries: Vec<Entry>,
    /// Programs that were created, each with the index of its team.
    pub programs: Vec<(ProgramId, usize)>,
    /// Errors of the programs that could not be created.
    pub create_errors: Vec<String>,
}

impl Record {
    /// Adds the record of another load.
    pub fn merge(&mut self, other: Self) {
        self.entries.extend(other.entries);
        self.programs.extend(other.programs);
        self.create_errors.extend(other.create_errors);
    }
}

/// Runs a load against the daemons at `addrs` until all clients have finished.
///
/// # Panics
///
/// Panics when a client panics.
pub async fn run(spec: &Spec, addrs: &[CompactString]) -> Record {
    let clients = (0..spec.clients).map(|number| {
        let (spec, addrs) = (spec.clone(), addrs.to_vec());
        tokio::spawn(async move { run_client(&spec, &addrs, number).await })
    });
    let clients: Vec<_> = clients.collect();
    let mut record = Record::default();
    for client in clients {
        let client_record = client.await.expect("a client task panicked");
        record.merge(client_record);
    }
    record
}

async fn run_client(spec: &Spec, addrs: &[CompactString], number: usize) -> Record {
    let mut rng = fastrand::Rng::with_seed(spec.seed * 1_000 + number as u64);
    let team = number % 2;
    let mut record = Record::default();
    for index in 0..spec.programs {
        let mut client = Client::new(addrs, token(team), rng.usize(..addrs.len()));
        let key = format_compact!("s{}-{number}-{index}", spec.seed);
        match client.create(&create_request(spec, team, key)).await {
            Ok(program) => {
                record.programs.push((program.clone(), team));
                run_program(spec, addrs, &program, team, &mut rng, &mut record).await;
            }
            Err(error) => record.create_errors.push(error.to_string()),
        }
    }
    record
}

/// Returns the callers' token of the team with the given index, 0 or 1.
pub fn token(team: usize) -> &'static str {
    [CREW_TOKEN, VANS_TOKEN][team]
}

fn create_request(spec: &Spec, team: usize, key: CompactString) -> Create {
    Create {
        pool: "models".into(),
        account: ["crew-tokens", "vans-tokens"][team].into(),
        budget: spec.budget,
        kind: "plan".into(),
        key: Some(key),
        ..Create::default()
    }
}

async fn run_program(
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
        let reply = make_call(spec, &mut client, program, &call, &mut receipts).await;
        let ended = matches!(reply, Reply::Ended(..));
        record.entries.push(Entry { program: program.clone(), call, reply });
        if !ended {
            break;
        }
        tokio::time::sleep(spec.max_pause.mul_f64(rng.f64())).await;
    }
    if !receipts.is_empty() {
        let mut client = Client::new(addrs, token(team), rng.usize(..addrs.len()));
        let submitted = client.submit_receipts(program, receipts).await;
        assert!(submitted.is_ok(), "failed to submit the receipts of {program}: {submitted:?}");
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

/// Makes a call, and updates the receipts that are to be sent with the next one.
async fn make_call(
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

/// Cancels all programs, reads their histories back and collects the observations of the fakes.
///
/// # Panics
///
/// Panics when a program cannot be cancelled or read back.
pub async fn gather(cluster: &Cluster, record: Record, addrs: &[CompactString]) -> Evidence {
    let mut histories = IndexMap::new();
    for (program, team) in &record.programs {
        let mut client = Client::new(addrs, token(*team), 0);
        let cancelled = client.cancel(program).await;
        assert!(cancelled.is_ok(), "failed to cancel {program}: {cancelled:?}");
        let history = client.read(program).await;
        histories
            .insert(program.clone(), history.expect("failed to read the history of a program"));
    }
    wait_for_release(cluster).await;
    let generated =
        cluster.engine_stats.lock().expect("the engine statistics are poisoned").generated.clone();
    let accounts = [0, 1].map(|team| {
        let charged = record.programs.iter().filter(|(_, program_team)| *program_team == team);
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
    while !cluster.pinned().is_empty() && started.elapsed() < MAX_RELEASE_WAIT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
