//! Allowances of a lost owner count as spent, and return.

use caller::api::Create;
use caller::client::Client;
use catkinshed::settings::Limits;
use std::time::{Duration, Instant};
use testing::cluster::{CREW_TOKEN, Spec};
use testing::process::Fleet;
use testing::program::model;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const PATIENCE: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn an_allowance_of_a_lost_owner_is_unsettled_and_returns() {
    let spec = Spec::default();
    let limits = Limits {
        allowance: 300,
        outage_limit_ms: 500,
        settle_after_ms: 3_000,
        ..spec.limits.clone()
    };
    let mut fleet = Fleet::start(BINARY, "settlement", Spec { limits, ..spec }, 1).await;
    let mut client = Client::new(&fleet.addrs(), CREW_TOKEN, 0);
    let create = Create {
        pool: "models".into(),
        account: "crew-tokens".into(),
        budget: 1_000,
        key: Some("k".into()),
        ..Create::default()
    };
    let program = client.create(&create).await.expect("a program");
    client.call(&program, &model(1, "first", 10, 100)).await.expect("an answer");
    let settled = client.read(&program).await.expect("a history");
    assert_eq!((settled.spent, settled.unsettled), (10, 0));
    fleet.daemons[0].kill();
    fleet.restart(0).await;
    let lost = client.read(&program).await.expect("a history");
    assert_eq!(lost.spent, 10);
    assert!(lost.unsettled > 0, "the lost owner's allowance does not count");
    assert!(lost.spent + lost.unsettled <= lost.budget);
    let started = Instant::now();
    while client.read(&program).await.expect("a history").unsettled > 0 {
        assert!(started.elapsed() < PATIENCE, "the allowance does not return");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    client.call(&program, &model(2, "second", 10, 100)).await.expect("an answer");
    let after = client.read(&program).await.expect("a history");
    assert_eq!((after.spent, after.unsettled), (20, 0));
}
