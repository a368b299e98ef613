//! Wrong requests get a typed refusal and change nothing.

use caller::api::{Call, Create, History};
use caller::client::Client;
use catkinshed::daemon::Daemon;
use compact_str::CompactString;
use sched::refusal::{Code, Execution, Refusal};
use serde_json::{Value, json};
use std::time::Duration;
use testing::cluster::{CREW_TOKEN, Cluster, Spec, VANS_TOKEN};
use testing::engine::expected_text as whole;
use testing::program::{model, service};

struct Served {
    cluster: Cluster,
    daemon: Daemon,
    addr: CompactString,
    program: CompactString,
}

impl Served {
    async fn start() -> Self {
        let cluster = Cluster::start(Spec::default()).await;
        let settings = cluster.settings(0);
        let addr: CompactString = settings.http_addr.to_string().into();
        let daemon = Daemon::start(settings).await.expect("the daemon starts");
        daemon.ready().await;
        let mut client = Client::new(std::slice::from_ref(&addr), CREW_TOKEN, 0);
        let create = Create {
            pool: "models".into(),
            account: "crew-tokens".into(),
            budget: 500,
            key: Some("k".into()),
            ..Create::default()
        };
        let program = client.create(&create).await.expect("a program");
        client.call(&program, &model(1, "first", 5, 50)).await.expect("a first call");
        Self { cluster, daemon, addr, program }
    }

    async fn post(&self, path: &str, token: &str, body: &Value) -> (u16, Refusal) {
        self.post_text(path, token, body.to_string()).await
    }

    async fn post_text(&self, path: &str, token: &str, body: String) -> (u16, Refusal) {
        let url = format!("http://{}/{path}", self.addr);
        let client = reqwest::Client::new();
        let answer = client.post(url).bearer_auth(token).body(body).send().await;
        let answer = answer.expect("an answer");
        let status = answer.status().as_u16();
        (status, answer.json().await.expect("a typed refusal"))
    }

    async fn call(&self, token: &str, call: &Call) -> (u16, Refusal) {
        let path = format!("v1/programs/{}/calls", self.program);
        self.post(&path, token, &serde_json::to_value(call).expect("JSON")).await
    }

    async fn history(&self) -> History {
        let mut client = Client::new(std::slice::from_ref(&self.addr), CREW_TOKEN, 0);
        client.read(&self.program).await.expect("a history")
    }
}

/// Names each case: the request, and the status and code of its refusal.
macro_rules! refused {
    ($($name:ident($served:ident) $request:block => $status:literal, $code:ident;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let $served = Served::start().await;
                let before = $served.history().await;
                let (status, refusal): (u16, Refusal) = $request;
                assert_eq!((status, refusal.code), ($status, Code::$code), "{refusal:?}");
                assert_ne!(refusal.ran, Execution::Ran);
                let after = $served.history().await;
                assert_eq!(before.turns, after.turns);
                assert_eq!(before.spent, after.spent);
                assert_eq!($served.cluster.effects().len(), 0);
                $served.daemon.stop().await.expect("an orderly stop");
            }
        )*
    };
}

refused! {
    no_token(served) {
        served.call("nobody", &model(2, "x", 5, 50)).await
    } => 401, Unauthorized;

    another_teams_program(served) {
        served.call(VANS_TOKEN, &model(2, "x", 5, 50)).await
    } => 403, WrongTeam;

    another_teams_budget(served) {
        let body = json!({"pool": "models", "account": "vans-tokens", "budget": 5});
        served.post("v1/programs", CREW_TOKEN, &body).await
    } => 403, WrongTeam;

    an_unknown_program(served) {
        let call = serde_json::to_value(model(1, "x", 5, 50)).expect("JSON");
        served.post("v1/programs/0-999/calls", CREW_TOKEN, &call).await
    } => 404, NotFound;

    a_malformed_program_id(served) {
        let call = serde_json::to_value(model(1, "x", 5, 50)).expect("JSON");
        served.post("v1/programs/nonsense/calls", CREW_TOKEN, &call).await
    } => 404, NotFound;

    an_unknown_pool(served) {
        let body = json!({"pool": "nowhere", "account": "crew-tokens", "budget": 5});
        served.post("v1/programs", CREW_TOKEN, &body).await
    } => 404, NotFound;

    a_body_that_is_not_json(served) {
        served.post_text("v1/programs", CREW_TOKEN, "{".to_owned()).await
    } => 400, Malformed;

    an_unknown_key(served) {
        let body = json!({"pool": "models", "account": "crew-tokens", "budget": 5, "colour": 1});
        served.post("v1/programs", CREW_TOKEN, &body).await
    } => 400, Malformed;

    a_name_with_odd_characters(served) {
        let call = Call { call: "a:b".into(), ..model(2, "x", 5, 50) };
        served.call(CREW_TOKEN, &call).await
    } => 400, Malformed;

    a_body_that_is_too_large(served) {
        served.call(CREW_TOKEN, &model(2, &"x".repeat(300 << 10), 5, 50)).await
    } => 413, TooLarge;

    a_call_ahead_of_its_turn(served) {
        served.call(CREW_TOKEN, &service(3, "booking", "book", "x", false)).await
    } => 409, OutOfOrder;

    a_call_behind_its_turn(served) {
        let call = Call { call: "other".into(), ..service(1, "booking", "book", "x", false) };
        served.call(CREW_TOKEN, &call).await
    } => 409, OutOfOrder;

    a_call_id_with_other_content(served) {
        served.call(CREW_TOKEN, &model(1, "something else", 5, 50)).await
    } => 409, CallMismatch;

    a_forged_receipt(served) {
        let call = Call { receipts: vec!["Zm9yZ2Vk".into()], ..model(2, "x", 5, 50) };
        served.call(CREW_TOKEN, &call).await
    } => 400, Malformed;

    a_key_with_another_program(served) {
        let body = json!({"pool": "models", "account": "crew-tokens", "budget": 9, "key": "k"});
        served.post("v1/programs", CREW_TOKEN, &body).await
    } => 409, CallMismatch;

    a_call_of_an_ended_program(served) {
        let mut client = Client::new(std::slice::from_ref(&served.addr), CREW_TOKEN, 0);
        client.finish(&served.program).await.expect("an end");
        served.call(CREW_TOKEN, &service(2, "booking", "book", "x", false)).await
    } => 409, ProgramEnded;

    a_command_with_a_callers_token(served) {
        let body = json!({"command": "show teams"});
        served.post("admin/v1/commands", CREW_TOKEN, &body).await
    } => 401, Unauthorized;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_calls_run_in_their_programs_order() {
    let served = Served::start().await;
    let asked = (2..=6).rev().map(|seq| {
        let (addr, program) = (served.addr.clone(), served.program.clone());
        let call = service(seq, "booking", "book", &format!("step {seq}"), false);
        tokio::spawn(async move {
            let mut client = Client::new(&[addr], CREW_TOKEN, 0);
            while client.try_call(&program, &call).await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    });
    for call in asked.collect::<Vec<_>>() {
        call.await.expect("a call ends");
    }
    let bodies: Vec<String> = served.cluster.effects().into_iter().map(|line| line.body).collect();
    let expected: Vec<String> = (2..=6).map(|seq| format!("step {seq}")).collect();
    assert_eq!(bodies, expected);
    served.daemon.stop().await.expect("an orderly stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_is_taken_up_from_its_offset() {
    let served = Served::start().await;
    let call = model(2, "long", 60, 100);
    let mut client = Client::new(std::slice::from_ref(&served.addr), CREW_TOKEN, 0);
    let answer = client.call(&served.program, &call).await.expect("an answer");
    let run = match &answer.end.outcome {
        sched::call::Outcome::Done { run, .. } => *run,
        other => panic!("{other:?}"),
    };
    let half = answer.text.len() / 2;
    let path = format!("v1/programs/{}/calls/c2?run={run}&offset={half}", served.program);
    let url = format!("http://{}/{path}", served.addr);
    let rest = reqwest::Client::new().get(url).bearer_auth(CREW_TOKEN).send().await;
    let rest = rest.expect("an answer").text().await.expect("its events");
    assert!(rest.contains(&answer.text[half..]), "{rest}");
    assert!(!rest.contains("restart"), "{rest}");
    assert_eq!(answer.text, whole(&served.program, "c2", 60));
    served.daemon.stop().await.expect("an orderly stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hung_tool_meets_the_calls_deadline() {
    let served = Served::start().await;
    served.cluster.faults.update_endpoint("booking-0", |e| e.hang = true);
    let call = Call { within_ms: Some(400), ..service(2, "booking", "book", "x", false) };
    let mut client = Client::new(std::slice::from_ref(&served.addr), CREW_TOKEN, 0);
    let answer = client.call(&served.program, &call).await.expect("an end");
    assert_eq!(answer.end.outcome, sched::call::Outcome::Unknown);
    served.daemon.stop().await.expect("an orderly stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endless_program_meets_its_step_limit() {
    let spec = Spec::default();
    let pool = sched::config::Pool { max_steps: 3, ..spec.pool.clone() };
    let cluster = Cluster::start(Spec { pool, ..spec }).await;
    let settings = cluster.settings(0);
    let addr: CompactString = settings.http_addr.to_string().into();
    let daemon = Daemon::start(settings).await.expect("the daemon starts");
    daemon.ready().await;
    let mut client = Client::new(&[addr], CREW_TOKEN, 0);
    let create = Create {
        pool: "models".into(),
        account: "crew-tokens".into(),
        budget: 500,
        key: Some("endless".into()),
        ..Create::default()
    };
    let program = client.create(&create).await.expect("a program");
    for seq in 1..=3 {
        client.call(&program, &model(seq, "again", 5, 50)).await.expect("an answer");
    }
    let refused = client.try_call(&program, &model(4, "again", 5, 50)).await;
    assert!(
        matches!(refused, Err(caller::client::Error::Refused(r)) if r.code == Code::ProgramEnded)
    );
    let history = client.read(&program).await.expect("a history");
    assert_eq!(history.ending, Some(sched::record::Ending::StepLimit));
    daemon.stop().await.expect("an orderly stop");
}
