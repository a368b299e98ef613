//! Seeded schedules of faults and planned work.
//!
//! Each step begins at its own time and lasts a while, so steps overlap. Steps on the same daemon
//! wait for each other; a link keeps the fault that was set last.

use super::stage::{Post, Site, Stage};
use super::{Scenario, Spec};
use crate::gateway_harness;
use crate::proxy::{Fault, Proxy};
use crate::scripted_endpoint::Behaviour;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Mean pause between two steps.
const STEP_GAP: Duration = Duration::from_millis(450);
/// Longest time of a fault.
const LONGEST: Duration = Duration::from_millis(2_500);
/// Time for which an endpoint serves on after it was reported to be leaving.
const DRAIN: Duration = Duration::from_secs(3);
/// Longest time that a stopped daemon takes to end.
const STOP: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process that has ended.
const RESTART: Duration = Duration::from_millis(200);
/// Time that a balancer needs to see that a daemon leaves or is back.
const BALANCER: Duration = Duration::from_secs(1);
/// Longest freeze beside planned work, after which no request may be cut off.
const SHORT_FREEZE: Duration = Duration::from_millis(400);

/// A way between processes.
#[derive(Clone, Copy, Debug)]
enum Link {
    Clients(usize),
    Kv(usize),
    Peers(usize),
    Endpoint(usize),
}

/// Something that is done.
#[derive(Clone, Debug)]
enum Step {
    /// Kills daemons at the same moment and starts them after a while.
    Kill(Vec<usize>, Duration),
    /// Freezes a daemon.
    Pause(usize, Duration),
    /// Stops daemons one after the other and starts each again.
    Replace(Vec<usize>),
    /// Tells a daemon that its settings changed.
    Reload(usize),
    /// Disturbs a link.
    Disturb(Link, Fault, Duration),
    /// Resets the connections of a link.
    Reset(Link),
    /// Silences the connections of a link for good.
    Silence(Link),
    /// Takes the key-value service down.
    KvDown(Duration),
    /// Makes the key-value service slow.
    KvSlow(Duration),
    /// Loses answers of the key-value service.
    KvLoses(Duration),
    /// Writes configurations in quick succession.
    Configure(u32),
    /// Lets an endpoint leave and another one come.
    Release(usize),
    /// Asks for a storage VM to be emptied.
    Retire(usize),
    /// Makes an endpoint answer the next requests wrongly.
    Misbehave(usize, Vec<Behaviour>),
}

/// Draws a schedule and plays it; returns what was done.
pub async fn play(stage: &Arc<Stage>, spec: &Spec) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(spec.seed);
    let mut steps = Vec::new();
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    while at < spec.span {
        let pause = STEP_GAP.mul_f64(2.0 * rng.f64());
        sleep(pause).await;
        at += pause;
        let step = draw(spec, &mut rng);
        steps.push(format!("{:.2} s {step:?}", at.as_secs_f64()));
        tasks.push(tokio::spawn(apply(stage.clone(), step, rng.u64(..))));
    }
    for task in tasks {
        task.await.expect("a step ends");
    }
    steps
}

fn draw(spec: &Spec, rng: &mut fastrand::Rng) -> Step {
    let daemon = rng.usize(..spec.daemons);
    let endpoint = rng.usize(..);
    let time = LONGEST.mul_f64(rng.f64());
    if spec.scenario == Scenario::Maintenance {
        return match rng.u32(..7) {
            0 => Step::Replace((0..spec.daemons).collect()),
            1 => Step::Reload(daemon),
            2 => Step::Release(endpoint),
            3 => Step::Pause(daemon, SHORT_FREEZE.mul_f64(rng.f64())),
            4 => Step::Retire(endpoint % 4),
            _ => Step::Configure(rng.u32(1..4)),
        };
    }
    match rng.u32(..21) {
        0 | 1 => Step::Kill(vec![daemon], time / 2),
        2 => Step::Kill((0..spec.daemons).filter(|_| rng.bool()).collect(), time / 2),
        3 => Step::Kill((0..spec.daemons).collect(), Duration::from_millis(300)),
        4 | 5 => Step::Pause(daemon, time),
        6 => Step::Replace(vec![daemon, (daemon + 1) % spec.daemons]),
        7 => Step::Reload(daemon),
        8..=11 => Step::Disturb(link(spec, rng), fault(rng), time),
        12 => Step::Reset(link(spec, rng)),
        // A client whose own connection is silent cannot be answered on it.
        13 => Step::Silence(own_link(spec, rng)),
        14 => Step::KvDown(time),
        15 => Step::KvSlow(time),
        16 => Step::KvLoses(time),
        17 => Step::Configure(rng.u32(1..4)),
        18 => Step::Release(endpoint),
        19 => Step::Retire(endpoint % 4),
        _ => Step::Misbehave(endpoint, acts(rng)),
    }
}

fn link(spec: &Spec, rng: &mut fastrand::Rng) -> Link {
    match rng.u32(..4) {
        0 => Link::Clients(rng.usize(..spec.daemons)),
        _ => own_link(spec, rng),
    }
}

/// A way on which a daemon asks.
fn own_link(spec: &Spec, rng: &mut fastrand::Rng) -> Link {
    match rng.u32(..3) {
        0 => Link::Kv(rng.usize(..spec.daemons)),
        1 => Link::Peers(rng.usize(..spec.daemons)),
        _ => Link::Endpoint(rng.usize(..)),
    }
}

fn fault(rng: &mut fastrand::Rng) -> Fault {
    match rng.u32(..4) {
        0 => Fault::Delay(Duration::from_millis(rng.u64(5..120))),
        1 => Fault::StallToServer,
        2 => Fault::StallToClient,
        _ => Fault::StallBoth,
    }
}

fn acts(rng: &mut fastrand::Rng) -> Vec<Behaviour> {
    let act = |rng: &mut fastrand::Rng| match rng.u32(..7) {
        0 => Behaviour::Full,
        1 => Behaviour::Misdirected,
        2 => Behaviour::Close,
        3 => Behaviour::MismatchedResponse,
        4 => Behaviour::Truncated,
        5 => Behaviour::Garbage,
        _ => Behaviour::InternalError,
    };
    (0..rng.usize(1..6)).map(|_| act(rng)).collect()
}

async fn apply(stage: Arc<Stage>, step: Step, seed: u64) {
    let posts = &stage.posts;
    match step {
        Step::Kill(daemons, time) => kill(&stage, daemons, time).await,
        Step::Pause(daemon, time) => pause(&posts[daemon], time).await,
        Step::Replace(daemons) => replace(&stage, daemons).await,
        Step::Reload(daemon) => reload(&stage, daemon).await,
        Step::Disturb(link, fault, time) => {
            let proxy = proxy(&stage, link);
            proxy.set_fault(fault);
            sleep(time).await;
            proxy.set_fault(Fault::None);
        }
        Step::Reset(link) => proxy(&stage, link).reset(),
        Step::Silence(link) => proxy(&stage, link).blackhole(),
        Step::KvDown(time) => with_kv(&stage, time, |kv, on| kv.down = on).await,
        Step::KvSlow(time) => {
            let delay = Duration::from_millis(150);
            with_kv(&stage, time, |kv, on| kv.delay = delay * u32::from(on)).await;
        }
        Step::KvLoses(time) => {
            with_kv(&stage, time, |kv, on| kv.lose_answer_every = 3 * u32::from(on)).await;
        }
        Step::Configure(count) => {
            for _ in 0..count {
                stage.advance().await;
                sleep(Duration::from_millis(seed % 400)).await;
            }
        }
        Step::Release(endpoint) => release(&stage, endpoint, seed).await,
        Step::Retire(number) => stage.retire(number).await,
        Step::Misbehave(endpoint, acts) => site(&stage, endpoint).endpoint.extend_script(acts),
    }
}

async fn kill(stage: &Arc<Stage>, daemons: Vec<usize>, time: Duration) {
    let mut held = Vec::new();
    for number in daemons {
        held.push((number, stage.posts[number].daemon.lock().await));
    }
    held.iter_mut().for_each(|(_, daemon)| daemon.process.kill());
    sleep(time).await;
    held.iter_mut().for_each(|(number, daemon)| stage.restart(*number, daemon));
}

async fn pause(post: &Post, time: Duration) {
    let daemon = post.daemon.lock().await;
    daemon.process.pause();
    sleep(time).await;
    daemon.process.resume();
}

/// Tells a daemon that its settings changed; one that was about to start ends and is started again, as
/// by the platform.
async fn reload(stage: &Arc<Stage>, number: usize) {
    let mut daemon = stage.posts[number].daemon.lock().await;
    daemon.process.reload();
    sleep(RESTART).await;
    if daemon.process.has_exited() {
        stage.restart(number, &mut daemon);
    }
}

/// Stops each daemon, after its clients were told to go elsewhere, and waits until it is back.
async fn replace(stage: &Arc<Stage>, daemons: Vec<usize>) {
    for number in daemons {
        let mut daemon = stage.posts[number].daemon.lock().await;
        daemon.process.terminate();
        // A daemon whose platform is away may take longer; it is then ended as the platform would.
        let _ = tokio::time::timeout(STOP, daemon.process.wait_for_exit()).await;
        stage.restart(number, &mut daemon);
        let back = tokio::time::timeout(gateway_harness::WAIT_TIMEOUT, daemon.ready()).await;
        assert!(back.is_ok(), "{} does not come back", daemon.settings.vm);
        drop(daemon);
        sleep(BALANCER).await;
    }
}

fn proxy(stage: &Stage, link: Link) -> Proxy {
    match link {
        Link::Clients(daemon) => stage.posts[daemon].clients.clone(),
        Link::Kv(daemon) => stage.posts[daemon].kv.clone(),
        Link::Peers(daemon) => stage.posts[daemon].peers.clone(),
        Link::Endpoint(endpoint) => site(stage, endpoint).proxy,
    }
}

fn site(stage: &Stage, number: usize) -> Site {
    let sites = stage.sites();
    sites[number % sites.len()].clone()
}

async fn with_kv(stage: &Stage, time: Duration, change: impl Fn(&mut crate::faults::Kv, bool)) {
    stage.gate.faults.set(|state| change(&mut state.kv, true));
    sleep(time).await;
    stage.gate.faults.set(|state| change(&mut state.kv, false));
}

/// Brings a new endpoint in, lets an old one report that it leaves, and later removes it.
async fn release(stage: &Stage, number: usize, seed: u64) {
    let leaving = site(stage, number);
    let service = leaving.service;
    stage.join(1_000 + (seed % 1_000_000) as usize, service).await;
    // An endpoint that left earlier stays away.
    if stage.drain(&leaving).await {
        sleep(DRAIN).await;
        stage.remove(&leaving).await;
    }
}
