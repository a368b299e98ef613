//! Startup and shutdown of a gateway daemon.
//!
//! The control thread runs the view, the membership and the probes; the traffic thread serves
//! clients and peers. A shutdown first fails the readiness probe but keeps serving, because the
//! load balancer takes a while to notice. Then connections close after the request in progress, and
//! requests whose deadline is later than the exit of the process are rejected.

use crate::budgets::Budgets;
use crate::forward::Context as ForwardContext;
use crate::inflight::Tracker;
use crate::ingress::connections::Connections;
use crate::ingress::{self, Phase};
use crate::members;
use crate::paths::Connector;
use crate::peers;
use crate::probes::{self, Readiness};
use crate::recorder::Recorder;
use crate::settings::{Settings, millis};
use crate::signals::Signals;
use crate::terms;
use crate::versions;
use crate::view::{Scope, View};
use crate::view_sync::{FIRST_START_GRACE, SUBSCRIPTIONS, SyncStatus, Synchronizer};
use anyhow::{Context, Result};
use peer::gateway::Member;
use platform::kv::{Client, Error, LeaseId};
use sched::term::Incarnation;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at};

/// Interval at which expired state is dropped from memory.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which expired durable records are deleted.
const TRIM_INTERVAL: Duration = Duration::from_secs(60);
/// Base delay before a lost or failed registration is retried, without jitter; it doubles with each
/// failure in a row.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum retry delay, without jitter; limits the calls to a key-value service that rejects many
/// daemons.
const REGISTER_RETRY_MAX_DELAY: Duration = Duration::from_secs(3);

/// Runs a gateway until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the daemon cannot start. The message says what failed.
pub fn run(settings: Settings) -> Result<()> {
    let control = runtime()?;
    let mut signals = {
        let _entered = control.enter();
        Signals::new()?
    };
    Recorder::install();
    let settings = Arc::new(settings);
    let timeout = millis(settings.limits.platform_timeout_ms);
    let kv = Client::new(&settings.kv, timeout).context("failed to create the key-value client")?;
    let view = Arc::new(View::default());
    let budgets = Arc::new(Budgets::new(settings.clone(), view.clone(), kv.clone()));
    // On a first start all daemons start together, so each waits for an update from a delegate.
    // After a restart clients wait for this daemon, so it calls the key-value service at once.
    let grace = if settings.first_start { FIRST_START_GRACE } else { Duration::ZERO };
    let sync_status = Arc::new(SyncStatus::new(Instant::now() + grace));
    let phase = watch::Sender::new(Phase::Serving);
    let connections = Tracker::default();
    let clients = Connections::new(settings.max_connections());
    let context =
        Arc::new(ForwardContext::new(settings.clone(), view.clone(), budgets.clone(), kv.clone()));
    let traffic = {
        let (settings, phase, connections) =
            (settings.clone(), phase.subscribe(), connections.clone());
        let clients = clients.clone();
        let (context, budgets, view) = (context.clone(), budgets.clone(), view.clone());
        let runtime = runtime()?;
        let serve = async move {
            let listener = bind_client_addr(&settings).await?;
            let peers = TcpListener::bind(settings.peer_addr).await?;
            tokio::spawn(serve_peers(peers, context.clone(), budgets, view, connections.clone()));
            tokio::spawn(context.paths.clone().run_tests());
            tokio::spawn(context.coordinators.clone().run_reports());
            tokio::spawn(context.coordinators.quotas.clone().run());
            tokio::spawn(context.origins.clone().run_writer());
            ingress::serve(listener, context, phase, connections, clients).await;
            anyhow::Ok(())
        };
        std::thread::Builder::new().name("traffic".to_owned()).spawn(move || {
            if let Err(error) = runtime.block_on(serve) {
                log::error!("failed to serve clients: {error:#}");
                std::process::exit(1);
            }
        })
    };
    traffic.context("failed to start the traffic thread")?;
    let synchronizer = Synchronizer {
        settings: settings.clone(),
        view: view.clone(),
        kv: kv.clone(),
        budgets: budgets.clone(),
        sync_status,
        quarantine: context.quarantine.clone(),
        answered_retirements: Arc::default(),
    };
    control.block_on(async {
        tokio::spawn(synchronizer.clone().run_watch(Scope::Configuration));
        tokio::spawn(synchronizer.clone().run_watch(Scope::Directory));
        for slot in 0..SUBSCRIPTIONS {
            tokio::spawn(synchronizer.clone().run_subscription(slot));
        }
        let readiness = Readiness { view, phase: phase.subscribe() };
        let (addr, token) = (settings.probe_addr, settings.operator_token.clone());
        let quarantine = context.quarantine.clone();
        tokio::spawn(async move {
            if let Err(error) = probes::serve(addr, readiness, quarantine, token).await {
                log::error!("{error:#}");
            }
        });
        tokio::spawn(sweep(context, clients));
        tokio::spawn(terms::run(budgets.clone(), kv.clone()));
        tokio::spawn(versions::run(settings.clone(), synchronizer.view.clone(), kv.clone()));
        let registration =
            tokio::spawn(maintain_registration(settings.clone(), kv.clone(), budgets.incarnation));
        log::info!(target: "daemon", vm = settings.vm.as_str(); "started");
        signals.wait_for_stop().await;
        log::info!(target: "daemon", vm = settings.vm.as_str(); "stopping");
        let stopping_since = Instant::now();
        let close_at = stopping_since + millis(settings.limits.stop_close_ms);
        let exit_deadline = stopping_since + millis(settings.limits.stop_wait_ms);
        phase.send_replace(Phase::NotReady);
        registration.abort();
        if timeout_at(close_at.into(), deregister(&settings, &kv, &budgets)).await.is_err() {
            log::info!(target: "member", "deregistration timed out at the key-value service");
        }
        sleep_until(close_at.into()).await;
        phase.send_replace(Phase::Draining { exit_deadline });
        let drained = timeout_at(exit_deadline.into(), connections.wait_idle()).await.is_ok();
        log::info!(target: "daemon", vm = settings.vm.as_str(), landed = drained; "stopped");
        Ok(())
    })
}

fn runtime() -> Result<Runtime> {
    Builder::new_current_thread().enable_all().build().context("failed to start the Tokio runtime")
}

async fn bind_client_addr(settings: &Settings) -> Result<TcpListener> {
    TcpListener::bind(settings.client_addr).await.with_context(|| {
        format!("failed to bind client_addr {}; is another daemon running?", settings.client_addr)
    })
}

async fn serve_peers(
    listener: TcpListener,
    context: Arc<ForwardContext>,
    budgets: Arc<Budgets>,
    view: Arc<View>,
    in_flight: Tracker,
) {
    let key: Arc<[u8]> = context.settings.cluster_key.as_bytes().into();
    let (coordinators, origins) = (context.coordinators.clone(), context.origins.clone());
    let quarantine = context.quarantine.clone();
    let connector = Connector { paths: context.paths.clone(), in_flight };
    let handle = move |request, sender| {
        let parts = peers::Parts {
            budgets: &budgets,
            view: &view,
            coordinators: &coordinators,
            origins: &origins,
            quarantine: &quarantine,
        };
        peers::handle(request, sender, parts)
    };
    if let Err(error) = peer::server::serve(listener, key, handle, connector).await {
        log::error!("stopped serving peers: {error}");
    }
}

async fn sweep(context: Arc<ForwardContext>, clients: Connections) {
    let mut last_trim = Instant::now();
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        if now.duration_since(last_trim) >= TRIM_INTERVAL {
            last_trim = now;
            context.budgets.delete_expired().await;
        }
        context.pool.sweep(now);
        context.paths.sweep(now);
        clients.close_unread(millis(context.settings.limits.unread_ms), now);
        context.budgets.sweep(now);
        tokio::spawn(context.budgets.clone().keep_records());
        context.coordinators.sweep(now);
        context.coordinators.quotas.sweep(now);
        context.origins.sweep(now);
        context.quarantine.sweep(now);
        context.coordinators.log_limited();
        context.view.with_fleet(|fleet| fleet.sweep(now));
        context.view.report_age(now);
    }
}

/// Records the spending of programs durably and deletes the member key, so that peers send this
/// daemon no more requests.
async fn deregister(settings: &Settings, kv: &Client, budgets: &Budgets) {
    budgets.close().await;
    if let Err(error) = delete_member(settings, kv).await {
        log::info!(target: "member", "failed to delete the member key, it will expire: {error}");
    }
}

async fn delete_member(settings: &Settings, kv: &Client) -> Result<(), Error> {
    let key = members::member_key(&settings.vm);
    match kv.get(&key).await? {
        Some(entry) => kv.delete(&key, entry.revision).await.map(drop),
        None => Ok(()),
    }
}

/// Keeps this daemon registered: holds its member key, and registers again after a failure.
async fn maintain_registration(settings: Arc<Settings>, kv: Client, incarnation: Incarnation) {
    let member = Member {
        vm: settings.vm.clone(),
        dc: settings.dc.clone(),
        addr: settings.public_addr(),
        incarnation,
        cpu: (settings.cpu_share * 1_000.0) as u32,
    };
    let mut delay = REGISTER_RETRY_DELAY;
    loop {
        let started = Instant::now();
        if let Err(error) = hold_lease(&settings, &kv, &member).await {
            log::debug!(target: "member", "failed to hold the member key, will retry: {error}");
        }
        delay = match started.elapsed() >= REGISTER_RETRY_MAX_DELAY {
            true => REGISTER_RETRY_DELAY,
            false => (delay * 2).min(REGISTER_RETRY_MAX_DELAY),
        };
        sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Registers this daemon and renews its lease until the lease is lost.
async fn hold_lease(settings: &Settings, kv: &Client, member: &Member) -> Result<(), Error> {
    let ttl = millis(settings.limits.lease_ttl_ms);
    let lease = kv.grant(ttl).await?;
    register(kv, member, lease).await?;
    let mut last_renewal = Instant::now();
    let mut delay = ttl / 2;
    loop {
        sleep(delay).await;
        delay = match kv.keep_alive(lease).await {
            Ok(()) => {
                last_renewal = Instant::now();
                ttl / 2
            }
            Err(Error::LeaseExpired) => return Err(Error::LeaseExpired),
            Err(error) if last_renewal.elapsed() >= ttl => return Err(error),
            Err(_) => ttl / 4,
        };
    }
}

/// Writes the member key, replacing that of an earlier process on this VM.
async fn register(kv: &Client, member: &Member, lease: LeaseId) -> Result<(), Error> {
    let key = members::member_key(&member.vm);
    let value = serde_json::to_vec(member).map_err(|error| Error::Malformed(error.to_string()))?;
    kv.put(&key, &value, Some(lease)).await
}
