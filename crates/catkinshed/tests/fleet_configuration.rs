//! Checks, at the size of a deployment, that daemons in touch route by the latest configuration.

use indexmap::IndexSet;
use std::time::Duration;
use testing::fleet::{DAEMONS, Fleet};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time after the acknowledgement of a configuration within which it takes effect.
const APPLY_TIME: Duration = Duration::from_millis(3_000);
/// Time after the acknowledgement until which daemons are asked.
const ASK_UNTIL: Duration = Duration::from_millis(6_000);
/// Time between a cut and the change of the configuration.
const CUT_BEFORE: Duration = Duration::from_millis(300);

/// Guards against followers that hear of a configuration only from delegates that hear nothing from
/// the key-value service and don't say so.
#[tokio::test(flavor = "multi_thread")]
async fn followers_of_a_cut_off_delegate_send_requests_to_the_former_service() {
    let mut fleet = Fleet::start(BINARY, "former", DAEMONS).await;
    for cut_off in 1..=fleet.delegates.len() {
        // The delegates' calls begin before the cut, and stay without an answer for long.
        fleet.change_routes().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let cut = fleet.delegates[..cut_off].to_vec();
        fleet.network.cut_from_kv(&cut);
        tokio::time::sleep(CUT_BEFORE).await;
        let acknowledged = fleet.change_routes().await;
        let others = fleet.all_but(&cut);
        let late = fleet.find_late(&others, acknowledged, APPLY_TIME, ASK_UNTIL).await;
        let daemons: IndexSet<usize> = late.iter().map(|late| late.daemon).collect();
        assert!(
            late.is_empty(),
            "{} requests at {daemons:?} with {cut_off} delegates cut off: {late:#?}",
            late.len()
        );
        fleet.network.heal();
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
