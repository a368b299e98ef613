//! Connects to endpoints, directly or through another daemon.
//!
//! A daemon may be cut off from endpoints that the others reach, see [`sched::reach`]. A direct
//! connection that takes long, or that fails where others have failed, is made through another daemon as
//! well, and the first one that succeeds is used. The other daemon passes on bytes, so that everything
//! about a request is decided where its client is. A daemon connects for others only directly.

pub mod relays;

use crate::inflight::{self, Tracker};
use crate::settings::{Settings, millis};
use crate::upstream::{self, Link};
use crate::view::View;
use peer::client::Client as Peers;
use peer::tunnel::{Connect, Refusal, Target};
use relays::Relays;
use sched::fleet::Registration;
use sched::id::EndpointId;
use sched::reach::{Failure, GroupId, Path, Reach};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time after which a further daemon is asked for a connection if one has not answered.
const NEXT_RELAY_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of daemons that are asked for one connection.
const MAX_RELAYS: usize = 5;
/// Interval at which broken paths are looked at.
const TEST_TICK: Duration = Duration::from_millis(100);

/// Paths of this daemon to endpoints.
pub struct Paths {
    settings: Arc<Settings>,
    view: Arc<View>,
    peers: Peers,
    reach: Mutex<Reach>,
    relays: Mutex<Relays>,
    /// Connections that this daemon makes for others.
    relayed: Arc<AtomicUsize>,
}

/// Connects through other daemons.
enum Relayed {
    /// A daemon that has connected.
    Connected(Link),
    /// Another daemon says that the endpoint is gone or silent.
    Unreached(io::ErrorKind),
    /// No other daemon could tell.
    Unknown,
}

impl Paths {
    /// Creates the state, with all paths intact.
    pub fn new(settings: Arc<Settings>, view: Arc<View>) -> Self {
        let peer_timeout = millis(settings.limits.peer_timeout_ms);
        let peers = Peers::for_tunnels(settings.cluster_key.as_bytes(), peer_timeout);
        let (reach, relays, relayed) = Default::default();
        Self { settings, view, peers, reach, relays, relayed }
    }

    fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relays(&self) -> MutexGuard<'_, Relays> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this daemon is cut off from the endpoints that stand beside this one.
    pub fn is_cut(&self, registration: &Registration) -> bool {
        self.reach().is_cut(registration)
    }

    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`io::ErrorKind::ConnectionRefused`] when the endpoint refuses
    /// connections as far as can be told, of kind [`io::ErrorKind::NetworkUnreachable`] when this daemon
    /// is cut off and no other one can tell, and another one when the endpoint cannot be reached within
    /// `limit`.
    pub async fn connect(
        self: &Arc<Self>,
        registration: &Registration,
        limit: Duration,
    ) -> io::Result<Link> {
        let path = self.reach().path(registration);
        if path == Path::Relayed {
            return match self.connect_relayed(registration, limit).await {
                Relayed::Connected(link) => Ok(link),
                Relayed::Unreached(kind) => Err(kind.into()),
                Relayed::Unknown => {
                    let direct = self.connect_directly(registration, limit).await;
                    direct.map_err(|_| io::ErrorKind::NetworkUnreachable.into())
                }
            };
        }
        // It goes on by itself if another way is faster, since its result tells whether this one works.
        let mut direct = {
            let (paths, registration) = (self.clone(), registration.clone());
            tokio::spawn(async move { paths.connect_directly(&registration, limit).await })
        };
        let delay = millis(self.settings.limits.relay_delay_ms);
        let mut failed = match timeout(delay, &mut direct).await {
            Ok(connected) => match connected.map_err(io::Error::other)? {
                Ok(link) => return Ok(link),
                Err(error) if !self.asks_relays(registration, &error) => return Err(error),
                Err(error) => Some(error),
            },
            Err(_) => None,
        };
        let relayed = self.connect_relayed(registration, limit.saturating_sub(delay));
        let mut relayed = std::pin::pin!(relayed);
        let relayed = loop {
            tokio::select! {
                biased;
                connected = &mut direct, if failed.is_none() => {
                    match connected.map_err(io::Error::other)? {
                        Ok(link) => return Ok(link),
                        Err(error) => failed = Some(error),
                    }
                }
                relayed = relayed.as_mut() => break relayed,
            }
        };
        match (relayed, failed) {
            (Relayed::Connected(link), _) => Ok(link),
            (Relayed::Unreached(kind), _) => Err(kind.into()),
            (Relayed::Unknown, Some(error)) => Err(error),
            (Relayed::Unknown, None) => direct.await.map_err(io::Error::other)?,
        }
    }

    /// Records that a direct connection failed; returns whether other daemons are asked about the
    /// endpoint.
    fn asks_relays(&self, registration: &Registration, error: &io::Error) -> bool {
        let asks = self.reach().on_failed(registration, failure(error), Instant::now());
        self.note_break(registration);
        asks
    }

    /// Connects to an endpoint directly, and records whether that works.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint does not accept the connection within `limit`.
    pub async fn connect_directly(
        &self,
        registration: &Registration,
        limit: Duration,
    ) -> io::Result<Link> {
        match upstream::connect(registration, limit).await {
            Ok(stream) => {
                if self.reach().on_connected(registration) {
                    self.log_change(registration, false);
                }
                Ok(Link::Direct(stream))
            }
            Err(error) => {
                self.asks_relays(registration, &error);
                Err(error)
            }
        }
    }

    async fn connect_relayed(&self, registration: &Registration, limit: Duration) -> Relayed {
        let target = target(registration);
        let connecting = self.try_relays(&target);
        let relayed = timeout(limit, connecting).await.unwrap_or(Relayed::Unknown);
        let (outcome, now) = (relayed.name(), Instant::now());
        metrics::counter!("tunnels_total", "outcome" => outcome).increment(1);
        match &relayed {
            Relayed::Connected(_) => {
                self.reach().on_relayed(registration, now);
                self.note_break(registration);
            }
            Relayed::Unreached(_) => self.reach().on_unreached(registration, now),
            Relayed::Unknown => {}
        }
        relayed
    }

    /// Asks other daemons, one after the other, until one connects or says that the endpoint is gone.
    async fn try_relays(&self, target: &Target) -> Relayed {
        let candidates = self.view.with_members(|live| {
            let own = (&self.settings.vm, &self.settings.dc);
            self.relays().choose(own, live.values(), MAX_RELAYS, Instant::now())
        });
        let mut unreached = None;
        let mut asked = futures::stream::FuturesUnordered::new();
        let mut candidates = candidates.into_iter();
        loop {
            let next = candidates.next();
            let is_last = next.is_none();
            if let Some(relay) = next {
                asked.push(async move {
                    let answer = self.peers.tunnel(&relay.addr, target).await;
                    (relay, answer)
                });
            }
            let wait = if is_last { Duration::from_secs(60) } else { NEXT_RELAY_DELAY };
            let answer = timeout(wait, futures::StreamExt::next(&mut asked)).await;
            let Ok(answer) = answer else {
                continue;
            };
            let Some((relay, answer)) = answer else {
                return unreached.map_or(Relayed::Unknown, Relayed::Unreached);
            };
            let now = Instant::now();
            match answer {
                Ok(Ok(tunnel)) => {
                    self.relays().on_connected(&relay.vm, now);
                    return Relayed::Connected(Link::Relayed(tunnel, relay.vm));
                }
                // The daemon reaches the endpoint's host.
                Ok(Err(Refusal::Refused)) => {
                    return Relayed::Unreached(io::ErrorKind::ConnectionRefused);
                }
                Ok(Err(Refusal::TimedOut)) => {
                    self.relays().on_failed(&relay.vm, now);
                    unreached = Some(io::ErrorKind::TimedOut);
                }
                Ok(Err(Refusal::Unknown | Refusal::Full)) | Err(_) => {
                    self.relays().on_failed(&relay.vm, now);
                }
            }
        }
    }

    /// Tests the path of a connection on which an endpoint sends nothing: directly, or through `relay`.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made along this path.
    pub async fn test(&self, registration: &Registration, relay: Option<&str>) -> io::Result<()> {
        let limit = millis(self.settings.limits.connect_timeout_ms);
        let Some(relay) = relay else {
            if self.is_cut(registration) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            return self.connect_directly(registration, limit).await.map(drop);
        };
        let addr = self.view.with_members(|live| live.get(relay).map(|found| found.addr.clone()));
        let addr = addr.ok_or(io::ErrorKind::NotFound)?;
        match timeout(limit, self.peers.tunnel(&addr, &target(registration))).await {
            Ok(Ok(Ok(_))) => Ok(()),
            _ => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Records that a connection through this daemon has gone silent.
    pub fn on_silent_relay(&self, vm: &str, now: Instant) {
        self.relays().on_failed(vm, now);
    }

    /// Records that the path to an endpoint's group broke, if it just did.
    fn note_break(&self, registration: &Registration) {
        if self.reach().take_news(registration) {
            self.view.with_fleet(|fleet| fleet.end_ejections(registration));
            self.log_change(registration, true);
        }
    }

    fn log_change(&self, registration: &Registration, is_cut: bool) {
        metrics::counter!("path_changes_total").increment(1);
        log::warn!(
            target: "path", service = registration.service.as_str(), dc = registration.dc.as_str(),
            endpoint = registration.id.as_str(), is_cut;
            "the path to the endpoints broke or is back"
        );
    }

    /// Tries direct connections to endpoints to which the path is broken, until one succeeds.
    pub async fn run_tests(self: Arc<Self>) {
        loop {
            sleep(TEST_TICK).await;
            let due = self.reach().due_tests(Instant::now());
            for (service, dc) in due {
                let Some(registration) = self.any_endpoint(&(service, dc), None) else {
                    continue;
                };
                let paths = self.clone();
                let limit = millis(self.settings.limits.connect_timeout_ms);
                tokio::spawn(async move {
                    // The result is recorded.
                    let _ = paths.connect_directly(&registration, limit).await;
                });
            }
        }
    }

    /// Returns whether a refused connection to an endpoint says something about the endpoint: this daemon
    /// connects to another one beside it, or there is none.
    async fn can_tell(&self, registration: &Registration, limit: Duration) -> bool {
        if !self.reach().can_tell(registration) {
            return false;
        }
        let group = (registration.service.clone(), registration.dc.clone());
        match self.any_endpoint(&group, Some(&registration.id)) {
            Some(beside) => self.connect_directly(&beside, limit).await.is_ok(),
            None => true,
        }
    }

    /// Returns an endpoint of a group other than `except`, at random.
    fn any_endpoint(
        &self,
        (service, dc): &GroupId,
        except: Option<&EndpointId>,
    ) -> Option<Registration> {
        let now = Instant::now();
        let registrations: Vec<Registration> = self.view.with_fleet(|fleet| {
            let usable = fleet.usable(service, now).map(|found| found.registration);
            let others = usable.filter(|found| found.dc == *dc && Some(&found.id) != except);
            others.cloned().collect()
        });
        let index = fastrand::usize(..registrations.len().max(1));
        registrations.into_iter().nth(index)
    }

    /// Drops what is out of date.
    pub fn sweep(&self, now: Instant) {
        let mut reach = self.reach();
        reach.sweep(now);
        metrics::gauge!("paths_broken").set(reach.cut_count() as f64);
        metrics::gauge!("tunnels_served").set(self.relayed.load(Ordering::Relaxed) as f64);
        drop(reach);
        self.relays().sweep(now);
    }
}

impl Relayed {
    fn name(&self) -> &'static str {
        match self {
            Self::Connected(_) => "connected",
            Self::Unreached(_) => "unreached",
            Self::Unknown => "unknown",
        }
    }
}

fn target(registration: &Registration) -> Target {
    let Registration { id, incarnation, .. } = registration.clone();
    Target { endpoint: id, incarnation }
}

fn failure(error: &io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Failure::Refused,
        _ => Failure::TimedOut,
    }
}

/// Makes connections to endpoints for other daemons.
#[derive(Clone)]
pub struct Connector {
    /// Paths of this daemon.
    pub paths: Arc<Paths>,
    /// Counts the connections, so that a shutdown waits for them.
    pub in_flight: Tracker,
}

/// A connection made for another daemon, counted until it ends.
pub struct Guard {
    relayed: Arc<AtomicUsize>,
    _in_flight: inflight::Guard,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.relayed.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connect for Connector {
    type Guard = Guard;

    async fn connect(&self, target: Target) -> Result<(TcpStream, Guard), Refusal> {
        let paths = &self.paths;
        let now = Instant::now();
        // Only endpoints that the registry names are connected to.
        let registration = paths.view.with_fleet(|fleet| fleet.registration(&target.endpoint));
        let registration = registration.filter(|known| known.incarnation == target.incarnation);
        let registration = registration.ok_or(Refusal::Unknown)?;
        if paths.reach().is_cut(&registration) {
            return Err(Refusal::Unknown);
        }
        let (relayed, _in_flight) = (paths.relayed.clone(), self.in_flight.track());
        let guard = Guard { relayed, _in_flight };
        let served = paths.relayed.fetch_add(1, Ordering::Relaxed);
        if served >= paths.settings.max_tunnels() {
            return Err(Refusal::Full);
        }
        let limit = millis(paths.settings.limits.connect_timeout_ms);
        let connected = paths.connect_directly(&registration, limit).await;
        let (endpoint, elapsed_ms) = (registration.id.as_str(), now.elapsed().as_millis() as u64);
        match connected {
            Ok(Link::Direct(stream)) => {
                log::debug!(target: "path", endpoint, elapsed_ms; "connected for another daemon");
                Ok((stream, guard))
            }
            Ok(Link::Relayed(..)) => Err(Refusal::Unknown),
            Err(_) if !paths.can_tell(&registration, limit).await => Err(Refusal::Unknown),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Err(Refusal::Refused),
            Err(_) => Err(Refusal::TimedOut),
        }
    }
}
