//! The allowance of a crashed owner counts as spent until it is settled, and is then returned.

use caller::api::Create;
use caller::client::Client;
use catkinshed::settings::Limits;
use std::time::{Duration, Instant};
use testing::cluster::{CREW_TOKEN, Spec};
use testing::process::Fleet;
use testing::program::model;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn the_allowance_of_a_crashed_owner_is_unsettled_and_then_returned() {
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
    let program = client.create(&create).await.expect("failed to create the program");
    client.call(&program, &model(1, "first", 10, 100)).await.expect("the call failed");
    let before_crash = client.read(&program).await.expect("failed to read the history");
    assert_eq!((before_crash.spent, before_crash.unsettled), (10, 0));
    fleet.daemons[0].kill();
    fleet.restart(0).await;
    let after_crash = client.read(&program).await.expect("failed to read the history");
    assert_eq!(after_crash.spent, 10);
    assert!(after_crash.unsettled > 0, "the crashed owner's allowance is not counted as unsettled");
    assert!(after_crash.spent + after_crash.unsettled <= after_crash.budget);
    let started = Instant::now();
    while client.read(&program).await.expect("failed to read the history").unsettled > 0 {
        assert!(started.elapsed() < SETTLE_TIMEOUT, "the allowance was not returned in time");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    client.call(&program, &model(2, "second", 10, 100)).await.expect("the call failed");
    let settled = client.read(&program).await.expect("failed to read the history");
    assert_eq!((settled.spent, settled.unsettled), (20, 0));
}
