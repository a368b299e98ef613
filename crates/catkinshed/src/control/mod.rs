//! The control thread.
//!
//! It holds the state of the logs that this daemon owns, the queues of waiting calls and the view
//! of the endpoints. It processes one [`event::Event`] at a time. A handler gets the current time,
//! changes the state, and spawns tasks on the runtime for network requests. The handlers are split
//! into modules:
//!
//! * [`operations`] answers operations on programs;
//! * [`admission`] accepts or refuses new programs and calls;
//! * [`restore`] restores turns of earlier owners from receipts;
//! * [`calls`] tracks a call from its arrival to its end;
//! * [`allowances`] reserves tokens for calls;
//! * [`dispatch`] sends waiting calls to endpoints;
//! * [`pacer`] spreads commits over time;
//! * [`commits`] makes log entries durable and then runs what depends on them;
//! * [`assignment`] computes which logs are assigned to this daemon;
//! * [`ownership`] takes logs over and hands them off;
//! * [`pools`] maintains the view of the endpoints;
//! * [`pins`] releases engine memory;
//! * [`limits`] enforces deadlines and time limits;
//! * [`rows`] answers the operators' queries.

pub mod active_call;
pub mod admission;
pub mod allowances;
pub mod assignment;
pub mod calls;
pub mod commits;
pub mod dispatch;
pub mod event;
pub mod limits;
pub mod operations;
pub mod owned;
pub mod ownership;
pub mod pacer;
pub mod pins;
pub mod pools;
pub mod restore;
pub mod rows;

use crate::router::Router;
use crate::routes::{Member, Routes, Table};
use crate::settings::{InjectedFault, Settings, millis};
use active_call::ActiveCall;
use assignment::Assignment;
use event::{Event, EventSender, ReplySender};
use indexmap::{IndexMap, IndexSet};
use owned::Log;
use pacer::Pacer;
use peer::wire::Report;
use platform::kv::{self, LeaseId};
use platform::vms;
use sched::config::Config;
use sched::health::Detector;
use sched::id::{LogId, PoolId, ProgramId, TeamId, VmId};
use sched::place;
use sched::predict::Estimates;
use sched::queue::Queue;
use sched::record::Ending;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};

/// Interval between [`Event::Tick`]s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Readiness of the daemon, as its probes report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Whether the configuration is loaded and this daemon holds its lease.
    pub serving: bool,
    /// Whether the daemon is stopping.
    pub stopping: bool,
}

/// Settings and clients that the control thread shares with its tasks.
#[derive(Clone)]
pub struct Shared {
    /// Settings of the daemon.
    pub settings: std::sync::Arc<Settings>,
    /// This daemon's entry in the list of members.
    pub local_member: Member,
    /// Client of the key-value service.
    pub kv: kv::Client,
    /// HTTP client for requests to endpoints.
    pub http: reqwest::Client,
    /// Client for requests to peers.
    pub peers: peer::client::Client,
    /// Owners of the logs, and the list of members.
    pub routes: Routes,
    /// Sender of events to the control thread.
    pub events: EventSender,
    /// Runtime that the tasks run on.
    pub runtime: Handle,
}

impl Shared {
    /// Returns a router that forwards operations to the owners of their logs.
    pub fn router(&self) -> Router {
        Router {
            local_member: self.local_member.clone(),
            routes: self.routes.clone(),
            peers: self.peers.clone(),
            events: self.events.clone(),
            route_wait: millis(self.settings.limits.route_wait_ms),
        }
    }
}

/// When this daemon started to serve a program, and when the program was last used here.
#[derive(Clone, Copy, Debug)]
pub struct ProgramTimes {
    /// When the program was created or its log was taken over.
    pub started_at: Instant,
    /// When the program's last call started or ended.
    pub last_used_at: Instant,
}

/// State of the control thread.
pub struct Control {
    shared: Shared,
    ready: watch::Sender<Readiness>,
    rng: fastrand::Rng,
    config: Config,
    config_loaded: bool,
    logs: IndexMap<LogId, Log>,
    claims_in_progress: IndexSet<LogId>,
    lease: Option<LeaseId>,
    lease_renewed_at: Option<Instant>,
    platform_up: bool,
    platform_last_up: Instant,
    vms: Option<IndexMap<VmId, vms::State>>,
    pools: IndexMap<PoolId, place::Pool>,
    queues: IndexMap<PoolId, Queue>,
    slowdown_detectors: IndexMap<PoolId, Detector>,
    answer_lengths: Estimates,
    pauses: Estimates,
    active_calls: IndexMap<ProgramId, ActiveCall>,
    program_times: IndexMap<ProgramId, ProgramTimes>,
    team_calls: IndexMap<TeamId, u32>,
    reports: IndexMap<VmId, (Report, Instant)>,
    pacer: Pacer,
    routes: watch::Receiver<Table>,
    assignment: Assignment,
    last_balance: Instant,
    pending_endings: IndexMap<ProgramId, (Ending, Vec<ReplySender>)>,
    attempt_count: u64,
    stopping: Option<oneshot::Sender<()>>,
    last_report: Instant,
    last_housekeeping: Instant,
    last_sweep: Instant,
}

impl Control {
    /// Creates the initial state: no configuration, no lease and no logs.
    pub fn new(shared: Shared, ready: watch::Sender<Readiness>, now: Instant) -> Self {
        let shared_routes = shared.routes.subscribe();
        let interval = millis(shared.settings.limits.commit_interval_ms);
        Self {
            shared,
            ready,
            rng: fastrand::Rng::new(),
            config: Config::default(),
            config_loaded: false,
            logs: IndexMap::new(),
            claims_in_progress: IndexSet::new(),
            lease: None,
            lease_renewed_at: None,
            platform_up: false,
            platform_last_up: now,
            vms: None,
            pools: IndexMap::new(),
            queues: IndexMap::new(),
            slowdown_detectors: IndexMap::new(),
            answer_lengths: Estimates::default(),
            pauses: Estimates::default(),
            active_calls: IndexMap::new(),
            program_times: IndexMap::new(),
            team_calls: IndexMap::new(),
            reports: IndexMap::new(),
            pacer: Pacer::new(interval, now),
            routes: shared_routes,
            assignment: Assignment::default(),
            last_balance: now,
            pending_endings: IndexMap::new(),
            attempt_count: 0,
            stopping: None,
            last_report: now,
            last_housekeeping: now,
            last_sweep: now,
        }
    }

    /// Processes events until [`Event::Quit`]; starts the due commits after each batch of events.
    pub fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        while let Some(event) = events.blocking_recv() {
            if matches!(event, Event::Quit) {
                return;
            }
            let now = Instant::now();
            self.handle(event, now);
            while let Ok(event) = events.try_recv() {
                if matches!(event, Event::Quit) {
                    return;
                }
                self.handle(event, now);
            }
            self.flush(Instant::now());
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Tick => self.tick(now),
            Event::Operation { principal, operation, replies } => {
                self.handle_operation(&principal, *operation, &replies, now)
            }
            // Until the configuration is loaded, this daemon would report an older version than
            // before its restart. Dropping the sender ends the query without an answer.
            Event::Query(..) if !self.config_loaded => {}
            Event::Query(query, answer) => {
                // The operator may have disconnected.
                let _ = answer.send(self.answer_query(&query, now));
            }
            Event::ConfigSnapshot(config) => self.set_config(*config),
            Event::ConfigLoaded => self.mark_config_loaded(),
            Event::ConfigChange(change) => self.apply_config_change(&change),
            Event::GetConfig(answer) => {
                // The operator may have disconnected.
                let _ = answer.send(self.config.clone());
            }
            Event::VmList(list) => self.set_vms(list),
            Event::LeaseUpdate { lease, requested_at } => self.set_lease(lease, requested_at, now),
            Event::PlatformReachable(up) => self.set_platform_up(up, now),
            Event::TakeoverEnded { log, result } => self.takeover_ended(log, *result, now),
            Event::ReclaimEnded { log, lease, result } => {
                self.reclaim_ended(log, lease, result, now)
            }
            Event::CommitEnded { log, epoch, result } => self.commit_ended(log, epoch, result, now),
            Event::DrawEnded { log, epoch, account, tokens, platform_down } => {
                self.draw_ended(log, epoch, &account, tokens, platform_down, now);
            }
            Event::Progress { key, progress } => self.handle_progress(&key, progress, now),
            Event::ModelEnded { key, result } => self.model_ended(&key, result, now),
            Event::ServiceEnded { key, result, elapsed } => {
                self.service_ended(&key, result, elapsed, now)
            }
            Event::PinReleased { log, endpoint, program } => {
                self.pin_released(log, &endpoint, &program)
            }
            Event::PinList { endpoint, programs } => self.release_stray_pins(&endpoint, &programs),
            Event::Report(report) => self.apply_report(report, now),
            Event::Stop(done) => self.begin_stop(done, now),
            Event::Quit => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        self.balance_logs(now);
        self.advance_handoffs(now);
        self.enforce_deadlines(now);
        self.answer_stalled(now);
        self.dispatch_all(now);
        if now - self.last_report >= millis(self.limits().report_interval_ms) {
            self.last_report = now;
            self.send_report(now);
            self.update_slowdowns(now);
            self.move_slow_calls(now);
        }
        if now - self.last_housekeeping >= Duration::from_secs(1) {
            self.last_housekeeping = now;
            self.enforce_limits(now);
            self.return_grants();
            self.update_gauges();
        }
        if now - self.last_sweep >= millis(self.limits().sweep_interval_ms) {
            self.last_sweep = now;
            self.list_engine_pins();
        }
        self.finish_stop();
    }

    fn limits(&self) -> &crate::settings::Limits {
        &self.shared.settings.limits
    }

    fn injects(&self, fault: InjectedFault) -> bool {
        self.shared.settings.injects(fault)
    }

    /// Records whether the key-value service answered a request.
    fn set_platform_up(&mut self, up: bool, now: Instant) {
        if up {
            self.platform_last_up = now;
        }
        if up != self.platform_up {
            self.platform_up = up;
            let state = if up { "answers" } else { "is unreachable" };
            log::info!("the key-value service {state}");
        }
    }

    /// Records that the lease was obtained, renewed or lost.
    fn set_lease(&mut self, lease: Option<LeaseId>, requested_at: Instant, now: Instant) {
        self.set_platform_up(true, now);
        if lease.is_none() && !self.injects(InjectedFault::NoFence) {
            self.logs.values_mut().for_each(|owned| owned.unconfirmed = true);
        }
        self.lease = lease;
        self.lease_renewed_at = lease.map(|_| requested_at);
        self.update_ready();
    }

    /// Returns whether the lease is still valid, so that no other daemon can have taken over this
    /// daemon's logs.
    fn lease_valid(&self, now: Instant) -> bool {
        let ttl = millis(self.limits().lease_ttl_ms);
        self.lease_renewed_at.is_some_and(|renewed| now.saturating_duration_since(renewed) < ttl)
    }

    fn update_ready(&self) {
        let ready = Readiness {
            serving: self.config_loaded && self.lease.is_some(),
            stopping: self.stopping.is_some(),
        };
        self.ready.send_if_modified(|current| std::mem::replace(current, ready) != ready);
    }

    fn update_gauges(&self) {
        let waiting: usize = self.queues.values().map(Queue::len).sum();
        let programs: usize = self.logs.values().map(|log| log.state.programs.len()).sum();
        metrics::gauge!("calls_waiting").set(waiting as f64);
        metrics::gauge!("calls_live").set(self.active_calls.len() as f64);
        metrics::gauge!("programs").set(programs as f64);
        metrics::gauge!("logs_owned").set(self.logs.len() as f64);
        metrics::gauge!("config_version").set(self.config.version as f64);
        metrics::gauge!("platform_up").set(if self.platform_up { 1.0 } else { 0.0 });
    }
}
