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
/// Time by which a slow service delays each call.
const SLOW_CALL: Duration = Duration::from_millis(200);
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

/// What affects some daemons or the key-value service for a while.
#[derive(Clone, Debug)]
enum Disruption {
    /// Holds back bytes between the daemons and the key-value service.
    Cut(Vec<usize>, Fault),
    /// Holds back all bytes between the daemons and their peers.
    CutPeers(Vec<usize>),
    /// Pauses the daemons.
    Pause(Vec<usize>),
    /// Stops the daemons, at once or gracefully, and starts them again at the end.
    Stop(Vec<usize>),
    /// Delays each call to the key-value service.
    Slow,
    /// Fails each call to the key-value service.
    Down,
    /// Tells watches of no change, and discards the history at the end.
    Deaf,
}

impl Disruption {
    /// Returns whether it affects the key-value service, and so all daemons.
    fn affects_service(&self) -> bool {
        matches!(self, Self::Slow | Self::Down | Self::Deaf)
    }

    /// Returns the single daemons that it affects.
    fn daemons(&self) -> &[usize] {
        match self {
            Self::Cut(daemons, _)
            | Self::CutPeers(daemons)
            | Self::Pause(daemons)
            | Self::Stop(daemons) => daemons,
            Self::Slow | Self::Down | Self::Deaf => &[],
        }
    }

    /// Begins or ends it.
    fn set(&self, fleet: &mut Fleet, active: bool, rng: &mut fastrand::Rng) {
        let network = &mut fleet.network;
        match self {
            Self::Cut(daemons, fault) => {
                let fault = if active { *fault } else { Fault::None };
                daemons.iter().for_each(|daemon| network.kv_links[*daemon].set_fault(fault));
            }
            Self::CutPeers(daemons) => {
                let fault = if active { Fault::StallBoth } else { Fault::None };
                daemons.iter().for_each(|daemon| network.peer_links[*daemon].set_fault(fault));
            }
            Self::Pause(daemons) => {
                for daemon in daemons {
                    let process = &network.harness.daemons[*daemon].process;
                    match active {
                        true => process.pause(),
                        false => process.resume(),
                    }
                }
            }
            Self::Stop(daemons) => {
                for daemon in daemons {
                    let daemon = &mut network.harness.daemons[*daemon];
                    match active {
                        true if rng.bool() => daemon.process.kill(),
                        true => daemon.process.terminate(),
                        false => daemon.restart(),
                    }
                }
            }
            Self::Slow => network.harness.faults.update(|state| {
                state.kv.delay = if active { SLOW_CALL } else { Duration::ZERO };
            }),
            Self::Down => network.harness.faults.update(|state| state.kv.down = active),
            Self::Deaf => network.harness.faults.update(|state| {
                state.kv.deaf = active;
                state.kv.stale_by = if active { APPLY_TIME } else { Duration::ZERO };
                state.kv.compactions += u32::from(!active);
            }),
        }
    }
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

    /// Begins a disruption that lasts until `until`.
    fn begin(&mut self, disruption: &Disruption, until: Instant) {
        disruption.set(&mut self.fleet, true, &mut self.rng);
        self.record_affected(disruption, until);
    }

    /// Records that a disruption affects its daemons, or the key-value service, up to `until`.
    fn record_affected(&mut self, disruption: &Disruption, until: Instant) {
        for daemon in disruption.daemons() {
            let affected = &mut self.states[*daemon].affected_until;
            *affected = (*affected).max(until);
        }
        if disruption.affects_service() {
            self.service_affected_until = self.service_affected_until.max(until);
        }
    }

    /// Ends the disruptions whose time has come, or all.
    fn end_disruptions(&mut self, now: Instant, all: bool) {
        let active = std::mem::take(&mut self.active);
        let (ended, active): (Vec<_>, Vec<_>) =
            active.into_iter().partition(|(_, until)| all || *until <= now);
        self.active = active;
        for (disruption, _) in &ended {
            disruption.set(&mut self.fleet, false, &mut self.rng);
            self.record_affected(disruption, now);
            if let Disruption::Stop(daemons) = disruption {
                daemons.iter().for_each(|daemon| self.states[*daemon].used = None);
            }
        }
        if ended.is_empty() {
            return;
        }
        // One of two disruptions of a daemon may end the other, so what still lasts begins again.
        for (disruption, until) in self.active.clone() {
            if !matches!(disruption, Disruption::Stop(_)) {
                self.begin(&disruption, until);
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
        let answers = rocket::futures::future::join_all(asked).await;
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
