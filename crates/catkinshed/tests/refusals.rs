//! Tests that invalid requests get a typed refusal and change no state, and that valid ones are
//! subject to the sequence, the deadline and the step limit.

use caller::api::{Call, Create, History};
use caller::client::Client;
use catkinshed::daemon::Daemon;
use compact_str::CompactString;
use sched::refusal::{Code, Execution, Refusal};
use serde_json::{Value, json};
use std::time::Duration;
use testing::cluster::{CREW_TOKEN, Cluster, Spec, VANS_TOKEN};
use testing::engine::expected_text;
use testing::program::{model, service};

struct Setup {
    cluster: Cluster,
    daemon: Daemon,
    addr: CompactString,
    program: CompactString,
}

impl Setup {
    async fn start() -> Self {
        let cluster = Cluster::start(Spec::default()).await;
        let settings = cluster.settings(0);
        let addr: CompactString = settings.http_addr.to_string().into();
        let daemon = Daemon::start(settings).await.expect("failed to start the daemon");
        daemon.ready().await;
        let mut client = Client::new(std::slice::from_ref(&addr), CREW_TOKEN, 0);
        let create = Create {
            pool: "models".into(),
            account: "crew-tokens".into(),
            budget: 500,
            key: Some("k".into()),
            ..Create::default()
        };
        let program = client.create(&create).await.expect("failed to create the program");
        client.call(&program, &model(1, "first", 5, 50)).await.expect("the first call failed");
        Self { cluster, daemon, addr, program }
    }

    async fn post(&self, path: &str, token: &str, body: &Value) -> (u16, Refusal) {
        self.post_text(path, token, body.to_string()).await
    }

    async fn post_text(&self, path: &str, token: &str, body: String) -> (u16, Refusal) {
        let url = format!("http://{}/{path}", self.addr);
        let client = reqwest::Client::new();
        let response = client.post(url).bearer_auth(token).body(body).send().await;
        let response = response.expect("the request failed");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the body is not a refusal"))
    }

    async fn call(&self, token: &str, call: &Call) -> (u16, Refusal) {
        let path = format!("v1/programs/{}/calls", self.program);
        self.post(&path, token, &serde_json::to_value(call).expect("failed to serialize the call"))
            .await
    }

    async fn history(&self) -> History {
        let mut client = Client::new(std::slice::from_ref(&self.addr), CREW_TOKEN, 0);
        client.read(&self.program).await.expect("failed to read the history")
    }
}

/// Defines one test per case: a request, and the HTTP status and code of its refusal.
macro_rules! refused {
    ($($name:ident($setup:ident) $request:block => $status:literal, $code:ident;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let $setup = Setup::start().await;
                let before = $setup.history().await;
                let (status, refusal): (u16, Refusal) = $request;
                assert_eq!((status, refusal.code), ($status, Code::$code), "{refusal:?}");
                assert_ne!(refusal.ran, Execution::Ran);
                let after = $setup.history().await;
                assert_eq!(before.turns, after.turns);
                assert_eq!(before.spent, after.spent);
                assert_eq!($setup.cluster.effects().len(), 0);
                $setup.daemon.stop().await.expect("the daemon failed to stop gracefully");
            }
        )*
    };
}

refused! {
    no_token(setup) {
        setup.call("nobody", &model(2, "x", 5, 50)).await
    } => 401, Unauthorized;

    another_teams_program(setup) {
        setup.call(VANS_TOKEN, &model(2, "x", 5, 50)).await
    } => 403, WrongTeam;

    another_teams_account(setup) {
        let body = json!({"pool": "models", "account": "vans-tokens", "budget": 5});
        setup.post("v1/programs", CREW_TOKEN, &body).await
    } => 403, WrongTeam;

    an_unknown_program(setup) {
        let call = serde_json::to_value(model(1, "x", 5, 50)).expect("failed to serialize the call");
        setup.post("v1/programs/0-999/calls", CREW_TOKEN, &call).await
    } => 404, NotFound;

    a_malformed_program_id(setup) {
        let call = serde_json::to_value(model(1, "x", 5, 50)).expect("failed to serialize the call");
        setup.post("v1/programs/nonsense/calls", CREW_TOKEN, &call).await
    } => 404, NotFound;

    an_unknown_pool(setup) {
        let body = json!({"pool": "nowhere", "account": "crew-tokens", "budget": 5});
        setup.post("v1/programs", CREW_TOKEN, &body).await
    } => 404, NotFound;

    a_body_that_is_not_json(setup) {
        setup.post_text("v1/programs", CREW_TOKEN, "{".to_owned()).await
    } => 400, Malformed;

    an_unknown_field(setup) {
        let body = json!({"pool": "models", "account": "crew-tokens", "budget": 5, "colour": 1});
        setup.post("v1/programs", CREW_TOKEN, &body).await
    } => 400, Malformed;

    a_call_id_with_invalid_characters(setup) {
        let call = Call { call: "a:b".into(), ..model(2, "x", 5, 50) };
        setup.call(CREW_TOKEN, &call).await
    } => 400, Malformed;

    a_body_that_is_too_large(setup) {
        setup.call(CREW_TOKEN, &model(2, &"x".repeat(300 << 10), 5, 50)).await
    } => 413, TooLarge;

    a_call_ahead_of_the_sequence(setup) {
        setup.call(CREW_TOKEN, &service(3, "booking", "book", "x", false)).await
    } => 409, OutOfOrder;

    a_call_behind_the_sequence(setup) {
        let call = Call { call: "other".into(), ..service(1, "booking", "book", "x", false) };
        setup.call(CREW_TOKEN, &call).await
    } => 409, OutOfOrder;

    a_call_id_with_other_content(setup) {
        setup.call(CREW_TOKEN, &model(1, "something else", 5, 50)).await
    } => 409, CallMismatch;

    a_forged_receipt(setup) {
        let call = Call { receipts: vec!["Zm9yZ2Vk".into()], ..model(2, "x", 5, 50) };
        setup.call(CREW_TOKEN, &call).await
    } => 400, Malformed;

    an_idempotency_key_with_other_parameters(setup) {
        let body = json!({"pool": "models", "account": "crew-tokens", "budget": 9, "key": "k"});
        setup.post("v1/programs", CREW_TOKEN, &body).await
    } => 409, CallMismatch;

    a_call_of_an_ended_program(setup) {
        let mut client = Client::new(std::slice::from_ref(&setup.addr), CREW_TOKEN, 0);
        client.finish(&setup.program).await.expect("failed to finish the program");
        setup.call(CREW_TOKEN, &service(2, "booking", "book", "x", false)).await
    } => 409, ProgramEnded;

    a_command_with_a_callers_token(setup) {
        let body = json!({"command": "show teams"});
        setup.post("admin/v1/commands", CREW_TOKEN, &body).await
    } => 401, Unauthorized;
}

#[tokio::test(flavor = "multi_thread")]
async fn out_of_order_calls_run_in_sequence_order() {
    let setup = Setup::start().await;
    let tasks = (2..=6).rev().map(|seq| {
        let (addr, program) = (setup.addr.clone(), setup.program.clone());
        let call = service(seq, "booking", "book", &format!("step {seq}"), false);
        tokio::spawn(async move {
            let mut client = Client::new(&[addr], CREW_TOKEN, 0);
            while client.try_call(&program, &call).await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.expect("a task panicked");
    }
    let bodies: Vec<String> =
        setup.cluster.effects().into_iter().map(|effect| effect.body).collect();
    let expected: Vec<String> = (2..=6).map(|seq| format!("step {seq}")).collect();
    assert_eq!(bodies, expected);
    setup.daemon.stop().await.expect("the daemon failed to stop gracefully");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_resumes_at_an_offset_without_a_restart() {
    let setup = Setup::start().await;
    let call = model(2, "long", 60, 100);
    let mut client = Client::new(std::slice::from_ref(&setup.addr), CREW_TOKEN, 0);
    let answer = client.call(&setup.program, &call).await.expect("the call failed");
    let run = match &answer.end.outcome {
        sched::call::Outcome::Done { run, .. } => *run,
        other => panic!("{other:?}"),
    };
    let half = answer.text.len() / 2;
    let path = format!("v1/programs/{}/calls/c2?run={run}&offset={half}", setup.program);
    let url = format!("http://{}/{path}", setup.addr);
    let resumed = reqwest::Client::new().get(url).bearer_auth(CREW_TOKEN).send().await;
    let resumed =
        resumed.expect("the request failed").text().await.expect("failed to read the body");
    assert!(resumed.contains(&answer.text[half..]), "{resumed}");
    assert!(!resumed.contains("restart"), "{resumed}");
    assert_eq!(answer.text, expected_text(&setup.program, "c2", 60));
    setup.daemon.stop().await.expect("the daemon failed to stop gracefully");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_hung_service_ends_at_its_deadline() {
    let setup = Setup::start().await;
    setup.cluster.faults.update_endpoint("booking-0", |e| e.hang = true);
    let call = Call { within_ms: Some(400), ..service(2, "booking", "book", "x", false) };
    let mut client = Client::new(std::slice::from_ref(&setup.addr), CREW_TOKEN, 0);
    let answer = client.call(&setup.program, &call).await.expect("the call failed");
    assert_eq!(answer.end.outcome, sched::call::Outcome::Unknown);
    setup.daemon.stop().await.expect("the daemon failed to stop gracefully");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_program_ends_at_its_step_limit() {
    let spec = Spec::default();
    let pool = sched::config::Pool { max_steps: 3, ..spec.pool.clone() };
    let cluster = Cluster::start(Spec { pool, ..spec }).await;
    let settings = cluster.settings(0);
    let addr: CompactString = settings.http_addr.to_string().into();
    let daemon = Daemon::start(settings).await.expect("failed to start the daemon");
    daemon.ready().await;
    let mut client = Client::new(&[addr], CREW_TOKEN, 0);
    let create = Create {
        pool: "models".into(),
        account: "crew-tokens".into(),
        budget: 500,
        key: Some("endless".into()),
        ..Create::default()
    };
    let program = client.create(&create).await.expect("failed to create the program");
    for seq in 1..=3 {
        client.call(&program, &model(seq, "again", 5, 50)).await.expect("the call failed");
    }
    let result = client.try_call(&program, &model(4, "again", 5, 50)).await;
    assert!(
        matches!(result, Err(caller::client::Error::Refused(r)) if r.code == Code::ProgramEnded)
    );
    let history = client.read(&program).await.expect("failed to read the history");
    assert_eq!(history.ending, Some(sched::record::Ending::StepLimit));
    daemon.stop().await.expect("the daemon failed to stop gracefully");
}
