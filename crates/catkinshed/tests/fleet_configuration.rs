//! Checks, at the size of a deployment, that daemons in touch route by the latest configuration.

use indexmap::IndexSet;
use std::time::Duration;
use testing::fleet::{DAEMONS, Fleet};
use testing::proxy::Fault;
use tokio::sync::Mutex;

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
/// Time after the acknowledgement of a configuration within which it takes effect.
const APPLY_TIME: Duration = Duration::from_millis(3_000);
/// Time for which daemons are asked.
const ASK_TIME: Duration = Duration::from_millis(3_000);
/// Time between the start of a disruption and the change of the configuration.
const LEAD_TIME: Duration = Duration::from_millis(300);
/// Time in which daemons get back in touch after a disruption.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Number of routes of a configuration near the maximum size of a value.
const LARGE_ROUTES: u64 = 3_000;
/// Bytes a second of the link of a small VM, 30 Mbit/s.
const SMALL_LINK: u32 = 3_750_000;

/// Held by the test that runs, as all fleets together have too many processes.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// What happens while the configuration changes.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// Some delegates and the key-value service exchange no bytes; the fault says in which direction.
    Cut(usize, Fault),
    /// Some delegates are paused.
    Pause(usize),
    /// All delegates and every third other daemon are killed, and start again.
    Kill,
    /// Daemons are stopped and started again, one after the other, delegates first.
    Roll,
    /// No daemon reaches another one.
    SilentPeers,
    /// No daemon reaches a delegate.
    SilentDelegates,
    /// The key-value service tells watches nothing, then discards its history. Stale reads are behind.
    Compaction,
    /// Each daemon runs for a part of each tenth of a second only.
    Quota,
}

impl Disruption {
    /// Returns the daemons that are out of touch meanwhile.
    fn affected(self, fleet: &Fleet) -> Vec<usize> {
        let delegates = &fleet.delegates;
        match self {
            Self::Cut(count, _) | Self::Pause(count) => delegates[..count].to_vec(),
            Self::Kill => {
                let others = fleet.all_but(delegates).into_iter().step_by(3);
                others.chain(delegates.iter().copied()).collect()
            }
            Self::Roll => {
                let others = fleet.all_but(delegates).into_iter().take(4);
                delegates.iter().copied().chain(others).collect()
            }
            Self::SilentPeers | Self::SilentDelegates | Self::Compaction | Self::Quota => {
                Vec::new()
            }
        }
    }
}

/// Begins a disruption of `affected` daemons.
async fn begin(fleet: &mut Fleet, disruption: Disruption, affected: &[usize]) {
    let (network, delegates) = (&mut fleet.network, &fleet.delegates);
    match disruption {
        Disruption::Cut(_, fault) => {
            affected.iter().for_each(|daemon| network.kv_links[*daemon].set_fault(fault));
        }
        Disruption::Pause(_) => {
            affected.iter().for_each(|daemon| network.harness.daemons[*daemon].process.pause());
        }
        Disruption::Kill => {
            affected.iter().for_each(|daemon| network.harness.daemons[*daemon].restart());
        }
        Disruption::SilentPeers => {
            network.peer_links.iter().for_each(|link| link.set_fault(Fault::StallBoth));
        }
        Disruption::SilentDelegates => {
            delegates
                .iter()
                .for_each(|daemon| network.peer_links[*daemon].set_fault(Fault::StallBoth));
        }
        Disruption::Compaction => network.harness.faults.update(|state| {
            state.kv.deaf = true;
            state.kv.stale_by = APPLY_TIME;
        }),
        Disruption::Roll | Disruption::Quota => {}
    }
}

/// Continues a disruption for as long as it lasts after the configuration changed.
async fn proceed(fleet: &mut Fleet, disruption: Disruption, affected: &[usize]) {
    let daemons = &mut fleet.network.harness.daemons;
    match disruption {
        Disruption::Roll => {
            for daemon in affected {
                daemons[*daemon].process.terminate();
                tokio::time::sleep(Duration::from_millis(300)).await;
                daemons[*daemon].restart();
            }
        }
        Disruption::Compaction => {
            tokio::time::sleep(Duration::from_secs(1)).await;
            fleet.network.harness.faults.update(|state| {
                state.kv.deaf = false;
                state.kv.compactions += 1;
            });
        }
        _ => {}
    }
}

/// Ends a disruption.
fn end(fleet: &mut Fleet, disruption: Disruption, affected: &[usize]) {
    fleet.network.heal();
    if let Disruption::Pause(_) = disruption {
        let daemons = &fleet.network.harness.daemons;
        affected.iter().for_each(|daemon| daemons[*daemon].process.resume());
    }
    fleet.network.harness.faults.update(|state| state.kv.stale_by = Duration::ZERO);
}

/// Checks that the daemons in touch follow each change of the configuration during the disruptions.
async fn changes_take_effect(name: &str, disruptions: &[Disruption]) {
    let _running = RUNNING.lock().await;
    let mut fleet = Fleet::start(BINARY, name, DAEMONS).await;
    for disruption in disruptions {
        // The calls of the delegates begin before the disruption.
        fleet.change_routes().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let affected = disruption.affected(&fleet);
        begin(&mut fleet, *disruption, &affected).await;
        tokio::time::sleep(LEAD_TIME).await;
        let acknowledged = fleet.change_routes().await;
        let quota = matches!(disruption, Disruption::Quota).then(|| fleet.limit_cpu());
        proceed(&mut fleet, *disruption, &affected).await;
        let calm = fleet.all_but(&affected);
        let late = fleet.find_late(&calm, acknowledged, APPLY_TIME, ASK_TIME).await;
        drop(quota);
        end(&mut fleet, *disruption, &affected);
        let daemons: IndexSet<usize> = late.iter().map(|late| late.daemon).collect();
        assert!(
            late.is_empty(),
            "{disruption:?}: {} requests at {daemons:?}, delegates {:?}: {late:#?}",
            late.len(),
            fleet.delegates
        );
        tokio::time::sleep(SETTLE_TIME).await;
    }
}

macro_rules! disruptions {
    ($($(#[$doc:meta])* $name:ident: $($disruption:expr),+;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            changes_take_effect(stringify!($name), &[$($disruption),+]).await;
        })*
    };
}

disruptions! {
    /// Guards against followers that hear of a configuration only from delegates that hear nothing
    /// from the key-value service and don't say so.
    followers_of_cut_off_delegates_send_requests_to_the_former_service:
        Disruption::Cut(1, Fault::StallBoth), Disruption::Cut(2, Fault::StallBoth),
        Disruption::Cut(3, Fault::StallBoth), Disruption::Cut(4, Fault::StallBoth);
    /// The same where bytes get through in one direction.
    followers_of_half_cut_off_delegates_send_requests_to_the_former_service:
        Disruption::Cut(2, Fault::StallToServer), Disruption::Cut(2, Fault::StallToClient),
        Disruption::Cut(4, Fault::StallToClient);
    /// Guards against followers that wait for delegates that stand still.
    followers_of_paused_delegates_use_a_former_configuration:
        Disruption::Pause(1), Disruption::Pause(4);
    /// Guards against daemons that hear nothing while those that watch for them start again.
    survivors_use_a_former_configuration_after_the_delegates_were_killed: Disruption::Kill;
    /// The same while daemons are stopped one after the other.
    daemons_use_a_former_configuration_during_a_rolling_restart: Disruption::Roll;
    /// Guards against daemons that wait for peers which they do not reach.
    daemons_that_reach_no_peer_use_a_former_configuration:
        Disruption::SilentPeers, Disruption::SilentDelegates;
    /// Guards against watches that pass over a change, and stale listings that hide it.
    daemons_use_a_former_configuration_after_the_history_was_discarded:
        Disruption::Compaction, Disruption::Compaction;
    /// Guards against updates that wait for the processor.
    daemons_with_little_processor_time_use_a_former_configuration:
        Disruption::Quota, Disruption::Quota;
}

/// Guards against delegates on small VMs whose links are too slow to send a large configuration to all
/// their followers in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_reaches_the_last_follower_late() {
    let _running = RUNNING.lock().await;
    let mut fleet = Fleet::start(BINARY, "large", DAEMONS).await;
    fleet.unused_routes = LARGE_ROUTES;
    fleet.network.peer_links.iter().for_each(|link| link.set_fault(Fault::Rate(SMALL_LINK)));
    for _ in 0..2 {
        let acknowledged = fleet.change_routes().await;
        let all = fleet.all_but(&[]);
        let late = fleet.find_late(&all, acknowledged, APPLY_TIME, ASK_TIME).await;
        assert!(late.is_empty(), "{} requests: {late:#?}", late.len());
    }
}
