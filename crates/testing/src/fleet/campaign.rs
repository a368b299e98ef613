//! Seeded sequences of changes and overlapping disruptions of a fleet.
//!
//! A daemon is in touch while no disruption has affected it, or the key-value service, for
//! [`CONTACT_TIME`]. A daemon in touch must not handle a request as only a version allows that was
//! replaced over [`APPLY_TIME`] ago, and no process may handle a request as only a version allows
//! that is older than one that it has used.

use super::{Fleet, Late};
use crate::proxy::Fault;
use std::time::{Duration, Instant};

/// Time without a disruption after which a daemon is in touch.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time after its acknowledgement within which a version takes effect.
pub const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after which no process goes back to a version before one that it has used.
const ROLLBACK_TIME: Duration = Duration::from_millis(250);
/// Mean interval between two steps.
const STEP: Duration = Duration::from_millis(700);
/// Interval between two rounds of requests.
const ROUND: Duration = Duration::from_millis(400);

/// Parameters of a campaign.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Seed of the steps.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Time for which steps are made.
    pub duration: Duration,
}

/// What affects some daemons or the key-value service, until a time.
#[derive(Clone, Debug)]
enum Disruption {
    Cut(Vec<usize>, Fault),
    CutPeers(Vec<usize>),
    Pause(Vec<usize>),
    Stop(Vec<usize>),
    Slow,
    Down,
    Deaf,
}

/// What is known of one daemon.
#[derive(Clone, Copy, Debug)]
struct State {
    /// Time up to which a disruption affects the daemon.
    affected_until: Instant,
    /// Latest version that the process was seen to use, and when.
    used: Option<(u64, Instant)>,
}

/// A campaign in progress.
struct Campaign {
    fleet: Fleet,
    rng: fastrand::Rng,
    states: Vec<State>,
    /// Versions with the times of their acknowledgements.
    acknowledged: Vec<(u64, Instant)>,
    active: Vec<(Disruption, Instant)>,
    service_affected_until: Instant,
    late: Vec<Late>,
    asked: usize,
    log: Vec<String>,
}

/// Result of a campaign.
#[derive(Debug)]
pub struct Report {
    /// Requests that were handled by a former version.
    pub late: Vec<Late>,
    /// Number of requests to daemons in touch.
    pub asked: usize,
    /// Steps that were made, with their times.
    pub log: Vec<String>,
}

/// Runs a campaign.
///
/// # Panics
///
/// Panics if the fleet cannot be started.
pub async fn run(binary: &str, spec: &Spec) -> Report {
    let name = format!("campaign-{}", spec.seed);
    let fleet = Fleet::start(binary, &name, spec.daemons).await;
    let began = Instant::now();
    let state = State { affected_until: began, used: None };
    let mut campaign = Campaign {
        rng: fastrand::Rng::with_seed(spec.seed),
        states: vec![state; spec.daemons],
        acknowledged: vec![(1, began)],
        active: Vec::new(),
        service_affected_until: began,
        late: Vec::new(),
        asked: 0,
        log: Vec::new(),
        fleet,
    };
    let mut next_step = began;
    let mut next_round = began;
    // What the last disruptions leave behind shows once all daemons are in touch again.
    let end = began + spec.duration;
    while Instant::now() < end + CONTACT_TIME + APPLY_TIME {
        let now = Instant::now();
        campaign.end_disruptions(now, now >= end);
        if now >= next_step && now < end {
            campaign.step(began).await;
            next_step = now + STEP.mul_f64(0.3 + 1.4 * campaign.rng.f64());
        }
        if Instant::now() >= next_round {
            campaign.ask_all().await;
            next_round = now + ROUND;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Report { late: campaign.late, asked: campaign.asked, log: campaign.log }
}

impl Campaign {
    /// Makes a random step.
    async fn step(&mut self, began: Instant) {
        if self.rng.bool() {
            let down = self.active.iter().any(|(found, _)| matches!(found, Disruption::Down));
            if !down {
                let at = self.fleet.change_routes().await;
                self.acknowledged.push((self.fleet.version, at));
                self.log.push(format!("{:?} version {}", at - began, self.fleet.version));
            }
            return;
        }
        let disruption = self.choose();
        let lasts = Duration::from_secs_f64(0.3 + 6.2 * self.rng.f64());
        let until = Instant::now() + lasts;
        self.log.push(format!("{:?} {disruption:?} for {lasts:?}", began.elapsed()));
        self.begin(&disruption, until);
        self.active.push((disruption, until));
    }

    /// Chooses a disruption; more of them affect delegates than their number suggests.
    fn choose(&mut self) -> Disruption {
        let daemons = self.states.len();
        let mut affected: Vec<usize> =
            (0..self.rng.usize(..=daemons / 16)).map(|_| self.rng.usize(..daemons)).collect();
        let delegates = self.fleet.delegates.clone();
        affected.extend(delegates.into_iter().filter(|_| self.rng.f64() < 0.5));
        affected.sort_unstable();
        affected.dedup();
        let faults = [Fault::StallBoth, Fault::StallToServer, Fault::StallToClient];
        // What affects the service leaves no daemon in touch for a while, so it is rare.
        match self.rng.u32(..24) {
            0..=10 => Disruption::Cut(affected, faults[self.rng.usize(..faults.len())]),
            11..=14 => Disruption::CutPeers(affected),
            15..=18 => Disruption::Pause(affected),
            19..=22 => Disruption::Stop(affected),
            _ if self.rng.bool() => Disruption::Deaf,
            _ if self.rng.bool() => Disruption::Slow,
            _ => Disruption::Down,
        }
    }

    fn begin(&mut self, disruption: &Disruption, until: Instant) {
        let network = &mut self.fleet.network;
        match disruption {
            Disruption::Cut(daemons, fault) => {
                daemons.iter().for_each(|daemon| network.kv_links[*daemon].set_fault(*fault));
            }
            Disruption::CutPeers(daemons) => {
                let links = daemons.iter().map(|daemon| &network.peer_links[*daemon]);
                links.for_each(|link| link.set_fault(Fault::StallBoth));
            }
            Disruption::Pause(daemons) => {
                let running = daemons.iter().map(|daemon| &network.harness.daemons[*daemon]);
                running.for_each(|daemon| daemon.process.pause());
            }
            Disruption::Stop(daemons) => {
                for daemon in daemons {
                    match self.rng.bool() {
                        true => network.harness.daemons[*daemon].process.kill(),
                        false => network.harness.daemons[*daemon].process.terminate(),
                    }
                }
            }
            Disruption::Slow => network.harness.faults.update(|state| {
                state.kv.delay = Duration::from_millis(200);
            }),
            Disruption::Down => network.harness.faults.update(|state| state.kv.down = true),
            Disruption::Deaf => network.harness.faults.update(|state| {
                state.kv.deaf = true;
                state.kv.stale_by = APPLY_TIME;
            }),
        }
        match disruption {
            Disruption::Cut(daemons, _)
            | Disruption::CutPeers(daemons)
            | Disruption::Pause(daemons)
            | Disruption::Stop(daemons) => {
                for daemon in daemons {
                    let affected = &mut self.states[*daemon].affected_until;
                    *affected = (*affected).max(until);
                }
            }
            Disruption::Slow | Disruption::Down | Disruption::Deaf => {
                self.service_affected_until = self.service_affected_until.max(until);
            }
        }
    }

    /// Ends the disruptions whose time has come, or all.
    fn end_disruptions(&mut self, now: Instant, all: bool) {
        let due = |until: &Instant| all || *until <= now;
        let (ended, active) = self.active.drain(..).partition(|(_, until)| due(until));
        self.active = active;
        let ended: Vec<(Disruption, Instant)> = ended;
        for (disruption, _) in &ended {
            let network = &mut self.fleet.network;
            match disruption {
                Disruption::Cut(daemons, _) => {
                    daemons
                        .iter()
                        .for_each(|daemon| network.kv_links[*daemon].set_fault(Fault::None));
                }
                Disruption::CutPeers(daemons) => {
                    let links = daemons.iter().map(|daemon| &network.peer_links[*daemon]);
                    links.for_each(|link| link.set_fault(Fault::None));
                }
                Disruption::Pause(daemons) => {
                    let paused = daemons.iter().map(|daemon| &network.harness.daemons[*daemon]);
                    paused.for_each(|daemon| daemon.process.resume());
                }
                Disruption::Stop(daemons) => {
                    for daemon in daemons {
                        network.harness.daemons[*daemon].restart();
                        self.states[*daemon].used = None;
                    }
                }
                Disruption::Slow => {
                    network.harness.faults.update(|state| state.kv.delay = Duration::ZERO)
                }
                Disruption::Down => network.harness.faults.update(|state| state.kv.down = false),
                Disruption::Deaf => network.harness.faults.update(|state| {
                    state.kv.deaf = false;
                    state.kv.stale_by = Duration::ZERO;
                    state.kv.compactions += 1;
                }),
            }
        }
        if ended.is_empty() {
            return;
        }
        // One of two disruptions of a daemon may end the other, so what still lasts begins again.
        for (disruption, until) in self.active.clone() {
            match disruption {
                Disruption::Stop(_) => {}
                disruption => self.begin(&disruption, until),
            }
        }
        for (disruption, _) in ended {
            match disruption {
                Disruption::Cut(daemons, _)
                | Disruption::CutPeers(daemons)
                | Disruption::Pause(daemons)
                | Disruption::Stop(daemons) => {
                    for daemon in daemons {
                        let affected = &mut self.states[daemon].affected_until;
                        *affected = (*affected).max(now);
                    }
                }
                Disruption::Slow | Disruption::Down | Disruption::Deaf => {
                    self.service_affected_until = self.service_affected_until.max(now);
                }
            }
        }
    }

    /// Asks all daemons that are not affected for routes of the latest versions.
    async fn ask_all(&mut self) {
        let now = Instant::now();
        let in_force = self.acknowledged.iter().rev().find(|(_, at)| now - *at > APPLY_TIME);
        let in_force = in_force.map_or(1, |(version, _)| *version);
        let newest = self.fleet.version;
        let service_in_touch = now.saturating_duration_since(self.service_affected_until)
            > CONTACT_TIME
            && now >= self.service_affected_until;
        let calm =
            (0..self.states.len()).filter(|daemon| self.states[*daemon].affected_until < now);
        let calm: Vec<usize> = calm.collect();
        self.fleet.round += 1;
        let asked = calm.iter().map(|daemon| self.fleet.find_used(*daemon, newest));
        let answers = futures::future::join_all(asked).await;
        for (daemon, used) in calm.into_iter().zip(answers) {
            let state = &mut self.states[daemon];
            let in_touch = service_in_touch && now > state.affected_until + CONTACT_TIME;
            self.asked += usize::from(in_touch);
            let Some(used) = used else { continue };
            let mut what = Vec::new();
            if in_touch && used < in_force {
                what.push(format!("used version {used}, {in_force} is in force"));
            }
            if let Some((before, at)) = state.used
                && used < before
                && now - at > ROLLBACK_TIME
            {
                what.push(format!("used version {used} after {before}"));
            }
            if state.used.is_none_or(|(before, _)| before < used) {
                state.used = Some((used, now));
            }
            let at = self.acknowledged.iter().rev().find(|(version, _)| *version == in_force);
            let after = at.map_or(Duration::ZERO, |(_, at)| now - *at);
            self.late.extend(what.into_iter().map(|what| Late { daemon, after, what }));
        }
    }
}
