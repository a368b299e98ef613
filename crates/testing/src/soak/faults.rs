//! Seeded schedules of faults and maintenance steps.
//!
//! Each step starts at its own time and lasts for a while, so steps overlap. Steps that stop, pause
//! or reload the same daemon wait for each other. A link has only one fault at a time: a later step
//! replaces the fault of an earlier one, and the first of them to end clears it.

use super::testbed::{ProxiedDaemon, ProxiedEndpoint, Testbed};
use super::{Scenario, Spec};
use crate::gateway_harness;
use crate::proxy::{Fault, Proxy};
use crate::script::Behaviour;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Mean interval between the starts of two steps.
const MEAN_STEP_INTERVAL: Duration = Duration::from_millis(450);
/// Maximum duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(2_500);
/// Time for which a draining endpoint stays registered.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time limit for a daemon to exit after a stop request, after which it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after which the platform restarts a process that has exited.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time that a load balancer takes to notice that a daemon is leaving or ready again.
const BALANCER_DELAY: Duration = Duration::from_secs(1);
/// Maximum pause of a daemon in [`Scenario::Maintenance`]; a pause this short must not interrupt
/// requests.
const MAX_MAINTENANCE_PAUSE: Duration = Duration::from_millis(400);

/// Proxied link; the number is that of the daemon or endpoint.
#[derive(Clone, Copy, Debug)]
enum Link {
    Clients(usize),
    Kv(usize),
    Peers(usize),
    Endpoint(usize),
}

/// Step of a schedule; daemons and endpoints are given by number.
#[derive(Clone, Debug)]
enum Step {
    /// Kills daemons at the same time and restarts them after this time.
    Kill(Vec<usize>, Duration),
    /// Pauses a daemon's process for this time.
    Pause(usize, Duration),
    /// Stops and restarts daemons one after the other.
    RollingRestart(Vec<usize>),
    /// Makes a daemon reload its settings.
    Reload(usize),
    /// Applies a fault to a link for this time.
    LinkFault(Link, Fault, Duration),
    /// Resets the current connections of a link.
    ResetLink(Link),
    /// Permanently stops forwarding on the current connections of a link.
    BlackholeLink(Link),
    /// Makes every call to the key-value service fail for this time.
    KvDown(Duration),
    /// Delays every call to the key-value service for this time.
    KvSlow(Duration),
    /// Makes some writes to the key-value service return an error although they take effect.
    KvLostResponses(Duration),
    /// Writes this many configuration versions in quick succession.
    UpdateConfig(u32),
    /// Adds a new endpoint and drains an old one.
    ReplaceEndpoint(usize),
    /// Requests the retirement of a storage VM.
    RetireVm(usize),
    /// Makes an endpoint mishandle its next requests.
    EndpointFaults(usize, Vec<Behaviour>),
}

/// Generates a schedule from the seed and executes it.
///
/// Returns the executed steps with their start times, in order.
///
/// # Panics
///
/// Panics if a daemon that was restarted does not become ready in time.
pub async fn run(testbed: &Arc<Testbed>, spec: &Spec) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(spec.seed);
    let mut steps = Vec::new();
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    while at < spec.span {
        let pause = MEAN_STEP_INTERVAL.mul_f64(2.0 * rng.f64());
        sleep(pause).await;
        at += pause;
        let step = random_step(spec, &mut rng);
        steps.push(format!("{:.2} s {step:?}", at.as_secs_f64()));
        tasks.push(tokio::spawn(execute(testbed.clone(), step, rng.u64(..))));
    }
    for task in tasks {
        task.await.expect("a step panicked");
    }
    steps
}

fn random_step(spec: &Spec, rng: &mut fastrand::Rng) -> Step {
    let daemon = rng.usize(..spec.daemons);
    let endpoint = rng.usize(..);
    let time = MAX_FAULT_DURATION.mul_f64(rng.f64());
    if spec.scenario == Scenario::Maintenance {
        return match rng.u32(..7) {
            0 => Step::RollingRestart((0..spec.daemons).collect()),
            1 => Step::Reload(daemon),
            2 => Step::ReplaceEndpoint(endpoint),
            3 => Step::Pause(daemon, MAX_MAINTENANCE_PAUSE.mul_f64(rng.f64())),
            4 => Step::RetireVm(endpoint % 4),
            _ => Step::UpdateConfig(rng.u32(1..4)),
        };
    }
    match rng.u32(..21) {
        0 | 1 => Step::Kill(vec![daemon], time / 2),
        2 => Step::Kill((0..spec.daemons).filter(|_| rng.bool()).collect(), time / 2),
        3 => Step::Kill((0..spec.daemons).collect(), Duration::from_millis(300)),
        4 | 5 => Step::Pause(daemon, time),
        6 => Step::RollingRestart(vec![daemon, (daemon + 1) % spec.daemons]),
        7 => Step::Reload(daemon),
        8..=11 => Step::LinkFault(random_link(spec, rng), random_fault(rng), time),
        12 => Step::ResetLink(random_link(spec, rng)),
        // Client links are excluded: a response can't reach a client over a blackholed connection.
        13 => Step::BlackholeLink(random_daemon_link(spec, rng)),
        14 => Step::KvDown(time),
        15 => Step::KvSlow(time),
        16 => Step::KvLostResponses(time),
        17 => Step::UpdateConfig(rng.u32(1..4)),
        18 => Step::ReplaceEndpoint(endpoint),
        19 => Step::RetireVm(endpoint % 4),
        _ => Step::EndpointFaults(endpoint, random_behaviours(rng)),
    }
}

/// Returns a random link.
fn random_link(spec: &Spec, rng: &mut fastrand::Rng) -> Link {
    match rng.u32(..4) {
        0 => Link::Clients(rng.usize(..spec.daemons)),
        _ => random_daemon_link(spec, rng),
    }
}

/// Returns a random link on which a daemon sends requests.
fn random_daemon_link(spec: &Spec, rng: &mut fastrand::Rng) -> Link {
    match rng.u32(..3) {
        0 => Link::Kv(rng.usize(..spec.daemons)),
        1 => Link::Peers(rng.usize(..spec.daemons)),
        _ => Link::Endpoint(rng.usize(..)),
    }
}

fn random_fault(rng: &mut fastrand::Rng) -> Fault {
    match rng.u32(..4) {
        0 => Fault::Delay(Duration::from_millis(rng.u64(5..120))),
        1 => Fault::StallToServer,
        2 => Fault::StallToClient,
        _ => Fault::StallBoth,
    }
}

fn random_behaviours(rng: &mut fastrand::Rng) -> Vec<Behaviour> {
    let behaviour = |rng: &mut fastrand::Rng| match rng.u32(..7) {
        0 => Behaviour::Full,
        1 => Behaviour::Misdirected,
        2 => Behaviour::Close,
        3 => Behaviour::MismatchedResponse,
        4 => Behaviour::Truncated,
        5 => Behaviour::Garbage,
        _ => Behaviour::InternalError,
    };
    (0..rng.usize(1..6)).map(|_| behaviour(rng)).collect()
}

async fn execute(testbed: Arc<Testbed>, step: Step, seed: u64) {
    let daemons = &testbed.daemons;
    match step {
        Step::Kill(numbers, time) => kill(&testbed, numbers, time).await,
        Step::Pause(daemon, time) => pause(&daemons[daemon], time).await,
        Step::RollingRestart(numbers) => rolling_restart(&testbed, numbers).await,
        Step::Reload(daemon) => reload(&testbed, daemon).await,
        Step::LinkFault(link, fault, time) => {
            let proxy = proxy(&testbed, link);
            proxy.set_fault(fault);
            sleep(time).await;
            proxy.set_fault(Fault::None);
        }
        Step::ResetLink(link) => proxy(&testbed, link).reset(),
        Step::BlackholeLink(link) => proxy(&testbed, link).blackhole(),
        Step::KvDown(time) => with_kv_fault(&testbed, time, |kv, active| kv.down = active).await,
        Step::KvSlow(time) => {
            let delay = Duration::from_millis(150);
            with_kv_fault(&testbed, time, |kv, active| kv.delay = delay * u32::from(active)).await;
        }
        Step::KvLostResponses(time) => {
            with_kv_fault(&testbed, time, |kv, active| {
                kv.lose_response_every = 3 * u32::from(active)
            })
            .await;
        }
        Step::UpdateConfig(count) => {
            for _ in 0..count {
                testbed.write_next_config().await;
                sleep(Duration::from_millis(seed % 400)).await;
            }
        }
        Step::ReplaceEndpoint(endpoint) => replace_endpoint(&testbed, endpoint, seed).await,
        Step::RetireVm(number) => testbed.retire(number).await,
        Step::EndpointFaults(endpoint, behaviours) => {
            endpoint_by_number(&testbed, endpoint).endpoint.extend_script(behaviours)
        }
    }
}

async fn kill(testbed: &Arc<Testbed>, numbers: Vec<usize>, time: Duration) {
    let mut guards = Vec::new();
    for number in numbers {
        guards.push((number, testbed.daemons[number].daemon.lock().await));
    }
    guards.iter_mut().for_each(|(_, daemon)| daemon.process.kill());
    sleep(time).await;
    guards.iter_mut().for_each(|(number, daemon)| testbed.restart(*number, daemon));
}

async fn pause(proxied: &ProxiedDaemon, time: Duration) {
    let daemon = proxied.daemon.lock().await;
    daemon.process.pause();
    sleep(time).await;
    daemon.process.resume();
}

/// Makes a daemon reload its settings.
///
/// The reload signal ends a process that has not installed its signal handlers yet. Such a process
/// is restarted, as the platform would do.
async fn reload(testbed: &Arc<Testbed>, number: usize) {
    let mut daemon = testbed.daemons[number].daemon.lock().await;
    daemon.process.reload();
    sleep(RESTART_DELAY).await;
    if daemon.process.has_exited() {
        testbed.restart(number, &mut daemon);
    }
}

/// Gracefully stops each daemon in turn, restarts it and waits until it is ready again.
async fn rolling_restart(testbed: &Arc<Testbed>, numbers: Vec<usize>) {
    for number in numbers {
        let mut daemon = testbed.daemons[number].daemon.lock().await;
        daemon.process.terminate();
        // A daemon may take longer while the platform is unreachable; it is then killed, as the
        // platform would do.
        let _ = tokio::time::timeout(STOP_TIMEOUT, daemon.process.wait_for_exit()).await;
        testbed.restart(number, &mut daemon);
        let ready = tokio::time::timeout(gateway_harness::WAIT_TIMEOUT, daemon.ready()).await;
        assert!(ready.is_ok(), "{} did not become ready after its restart", daemon.settings.vm);
        drop(daemon);
        sleep(BALANCER_DELAY).await;
    }
}

fn proxy(testbed: &Testbed, link: Link) -> Proxy {
    match link {
        Link::Clients(daemon) => testbed.daemons[daemon].client_proxy.clone(),
        Link::Kv(daemon) => testbed.daemons[daemon].kv_proxy.clone(),
        Link::Peers(daemon) => testbed.daemons[daemon].peer_proxy.clone(),
        Link::Endpoint(endpoint) => endpoint_by_number(testbed, endpoint).proxy,
    }
}

/// Returns an endpoint; numbers beyond the last endpoint wrap around.
fn endpoint_by_number(testbed: &Testbed, number: usize) -> ProxiedEndpoint {
    let endpoints = testbed.endpoints();
    endpoints[number % endpoints.len()].clone()
}

/// Applies a fault to the key-value service for `time`.
///
/// Calls `change` with true to inject the fault and with false to remove it.
async fn with_kv_fault(
    testbed: &Testbed,
    time: Duration,
    change: impl Fn(&mut crate::faults::Kv, bool),
) {
    testbed.harness.faults.update(|state| change(&mut state.kv, true));
    sleep(time).await;
    testbed.harness.faults.update(|state| change(&mut state.kv, false));
}

/// Adds a new endpoint, drains an old one and deregisters the old one after [`DRAIN_TIME`].
async fn replace_endpoint(testbed: &Testbed, number: usize, seed: u64) {
    let old = endpoint_by_number(testbed, number);
    let service = old.service;
    testbed.add_endpoint(1_000 + (seed % 1_000_000) as usize, service).await;
    // An endpoint that an earlier step drained must not be registered again.
    if testbed.drain(&old).await {
        sleep(DRAIN_TIME).await;
        testbed.deregister(&old).await;
    }
}
