//! A fleet of the size of a deployment whose operators change routes while daemons, their links and
//! the key-value service fail.
//!
//! A version of the configuration moves a route from one service to another, drops a route and adds
//! one. [`Fleet::find_late`] asks each daemon for these routes once the version must be in force
//! everywhere, and lists those that answer by an older one.

pub mod campaign;

use crate::gateway_harness::{Harness, Partitionable, Response, config, route};
use crate::process;
use crate::script::{Behaviour, Endpoint};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of daemons, as in a deployment of three data centres.
pub const DAEMONS: usize = 58;
/// Data centres of the daemons.
const DATA_CENTRES: [&str; 3] = ["dc-1", "dc-2", "dc-3"];
/// Number of routes in a configuration that no request uses.
const UNUSED_ROUTES: u64 = 60;
/// Services between which the routes move.
const SERVICES: [&str; 2] = ["even", "odd"];
/// Time after which a request without a response is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two rounds of requests to all daemons.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a process with a limit on its processor time may run again.
const CPU_PERIOD: Duration = Duration::from_millis(100);
/// Time for which such a process runs.
const CPU_SLICE: Duration = Duration::from_millis(30);

/// Daemons, endpoints and the latest configuration of one test.
pub struct Fleet {
    /// Daemons and their links.
    pub network: Partitionable,
    /// Daemons that watch the key-value service for the others, in order of their rank.
    pub delegates: Vec<usize>,
    endpoints: [Endpoint; 2],
    version: u64,
    round: usize,
    /// Number of routes in each version that no request uses.
    pub unused_routes: u64,
}

/// A request that a daemon handled by an older configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Late {
    /// Number of the daemon.
    pub daemon: usize,
    /// Time since the configuration was acknowledged.
    pub after: Duration,
    /// What the daemon did.
    pub what: String,
}

impl Fleet {
    /// Starts `count` daemons and waits until they have converged.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or the daemons don't converge in time.
    pub async fn start(binary: &str, name: &str, count: usize) -> Self {
        let harness = Harness::without_daemons(name).await;
        let endpoints = [
            Endpoint::start("e-even", Behaviour::Respond).await,
            Endpoint::start("e-odd", Behaviour::Respond).await,
        ];
        for (service, endpoint) in SERVICES.iter().zip(&endpoints) {
            harness.register_at(&endpoint.id, service, endpoint.addr, "ready").await;
        }
        harness.configure(&configuration(1, UNUSED_ROUTES)).await;
        let network = Partitionable::launch(binary, harness, count, |number, settings| {
            settings.dc = DATA_CENTRES[number % DATA_CENTRES.len()].into();
        })
        .await;
        let rank = |number: &usize| sched::members::weight(&"delegate", &format!("gate-{number}"));
        let mut delegates: Vec<usize> = (0..count).collect();
        delegates.sort_by_key(|number| std::cmp::Reverse(rank(number)));
        delegates.truncate(gateway::members::delegate_count(count));
        Self { network, delegates, endpoints, version: 1, round: 0, unused_routes: UNUSED_ROUTES }
    }

    /// Returns the daemons that are not in `others`.
    pub fn all_but(&self, others: &[usize]) -> Vec<usize> {
        (0..self.network.harness.daemons.len()).filter(|number| !others.contains(number)).collect()
    }

    /// Lets each daemon run for [`CPU_SLICE`] of each [`CPU_PERIOD`] only, until the returned value is
    /// dropped.
    pub fn limit_cpu(&self) -> Quota {
        let pids = self.network.harness.daemons.iter().map(|daemon| daemon.process.pid());
        Quota::start(pids.collect())
    }

    /// Writes the next version of the configuration and returns the time of its acknowledgement.
    ///
    /// # Panics
    ///
    /// Panics if the write fails for too long.
    pub async fn change_routes(&mut self) -> Instant {
        self.version += 1;
        let document = configuration(self.version, self.unused_routes);
        self.network.harness.configure(&document).await;
        Instant::now()
    }

    /// Asks `daemons` for the routes that the latest version, acknowledged at `acknowledged`, moved,
    /// dropped or added, from `apply` after it and for `duration`.
    ///
    /// Returns the requests that were handled as only an older version allows.
    pub async fn find_late(
        &mut self,
        daemons: &[usize],
        acknowledged: Instant,
        apply: Duration,
        duration: Duration,
    ) -> Vec<Late> {
        let mut late = Vec::new();
        tokio::time::sleep_until((acknowledged + apply).into()).await;
        while acknowledged.elapsed() < apply + duration {
            let next = Instant::now() + ROUND_INTERVAL;
            let after = acknowledged.elapsed();
            self.round += 1;
            let asked = daemons.iter().map(|daemon| self.ask(*daemon));
            for (daemon, what) in
                rocket::futures::future::join_all(asked).await.into_iter().flatten()
            {
                late.push(Late { daemon, after, what });
            }
            tokio::time::sleep_until(next.into()).await;
        }
        late
    }

    /// Returns the version that a daemon uses, found by the route that exists only in it, or `None` if
    /// none of `newest` and the four versions before answers.
    async fn find_used(&self, daemon: usize, newest: u64) -> Option<u64> {
        let versions = newest.saturating_sub(4).max(1)..=newest;
        let asked = versions.map(|version| async move {
            let path = format!("/only-{version}/");
            let id = format!("used-{version}-{daemon}-{}", self.round);
            let harness = &self.network.harness;
            let request = harness.try_request(daemon, &path, &id, ASK_TIMEOUT);
            (version, request.await.is_some_and(|response| response.status == 200))
        });
        let answers = rocket::futures::future::join_all(asked).await;
        // The daemon may change to a newer version in between.
        answers.into_iter().filter(|(_, is_served)| *is_served).map(|(version, _)| version).max()
    }

    /// Asks one daemon for the changed routes and returns what it did by an older version.
    async fn ask(&self, daemon: usize) -> Vec<(usize, String)> {
        let (version, round) = (self.version, self.round);
        let request = |path: String| async move {
            let id = format!("{}-{version}-{daemon}-{round}", path.trim_matches('/'));
            let response = self.network.harness.request(daemon, &path, &id, &[]).await;
            (id, response)
        };
        let (moved, dropped, added) = tokio::join!(
            request("/moved/".to_owned()),
            request(format!("/only-{}/", version - 1)),
            request(format!("/only-{version}/")),
        );
        let former = &self.endpoints[(version as usize + 1) % 2];
        let mut found = Vec::new();
        if former.runs().iter().any(|run| run.id == moved.0) {
            found.push(format!("sent {} to the former service", moved.0));
        }
        let is_served = |(_, response): &(String, Response)| response.status == 200;
        if is_served(&dropped) {
            found.push(format!("served {} of a dropped route", dropped.0));
        }
        if added.1.status == 404 {
            found.push(format!("answered {} with 404", added.0));
        }
        found.into_iter().map(|what| (daemon, what)).collect()
    }
}

/// Limit on the processor time of processes, in effect until it is dropped.
pub struct Quota {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Quota {
    fn start(pids: Vec<u32>) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let (is_ended, step) = (ended.clone(), CPU_PERIOD / pids.len().max(1) as u32);
        let running = CPU_SLICE.div_duration_f64(step) as usize;
        let thread = std::thread::spawn(move || {
            let mut next = 0;
            while !is_ended.load(Ordering::Relaxed) {
                // The slices of the processes follow each other.
                process::signal(pids[next % pids.len()], libc::SIGCONT);
                process::signal(pids[(next + pids.len() - running) % pids.len()], libc::SIGSTOP);
                next += 1;
                std::thread::sleep(step);
            }
            pids.iter().for_each(|pid| process::signal(*pid, libc::SIGCONT));
        });
        Self { ended, thread: Some(thread) }
    }
}

impl Drop for Quota {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread leaves the processes paused, which the test reports.
            let _ = thread.join();
        }
    }
}

/// Returns version `version` of the configuration.
///
/// The route `moved` uses the two services in turn, and the route `only-VERSION` exists only in this
/// version.
fn configuration(version: u64, unused_routes: u64) -> serde_json::Value {
    let service = SERVICES[version as usize % 2];
    let mut routes = vec![
        route("moved", "safe", service, 2),
        route(&format!("only-{version}"), "safe", service, 2),
    ];
    routes.extend(
        (0..unused_routes).map(|number| route(&format!("unused-{number}"), "safe", service, 2)),
    );
    let mut document = config(version);
    document["routes"] = json!(routes);
    document["services"] =
        json!(SERVICES.map(|name| json!({ "name": name, "max_connections": 400 })));
    document
}
