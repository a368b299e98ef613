//! Start and stop of a gateway daemon.
//!
//! The control thread keeps the view, the membership and the probes; the traffic thread serves
//! clients and their reservations. A stop first turns readiness off and goes on serving, since the
//! balancer takes a while to see it; then connections close after their request under way, and requests
//! that could outlast the process are refused.

use crate::desk::Desk;
use crate::follow::{FEEDS, FIRST_FEED, Follower, Part, Sources};
use crate::forward::Context as Shared;
use crate::inflight::Tracker;
use crate::ingress::{self, Phase};
use crate::members;
use crate::peers;
use crate::probes::{self, Readiness};
use crate::recorder::Recorder;
use crate::settings::{Settings, millis};
use crate::signals::Signals;
use crate::terms;
use crate::view::View;
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

/// Interval of dropping what is no longer needed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of deleting durable records whose time is over.
const TRIM_INTERVAL: Duration = Duration::from_secs(60);
/// Pause before a failed registration is tried again.
const REGISTER_RETRY: Duration = Duration::from_millis(500);
/// Longest pause of that; a service that turns many away is not called more often for it.
const REGISTER_RETRY_MAX: Duration = Duration::from_secs(3);

/// Runs a gateway until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the daemon cannot start; the message says what to do.
pub fn run(settings: Settings) -> Result<()> {
    let control = runtime()?;
    let mut signals = {
        let _entered = control.enter();
        Signals::new()?
    };
    Recorder::install();
    let settings = Arc::new(settings);
    let bound = millis(settings.limits.platform_timeout_ms);
    let kv = Client::new(&settings.kv, bound).context("key-value client")?;
    let view = Arc::new(View::default());
    let desk = Arc::new(Desk::new(settings.clone(), view.clone(), kv.clone()));
    // A daemon that comes back is waited for, so it asks the key-value service at once.
    let patience = if settings.first_start { FIRST_FEED } else { Duration::ZERO };
    let sources = Arc::new(Sources::new(Instant::now() + patience));
    let phase = watch::Sender::new(Phase::Serving);
    let flights = Tracker::default();
    let context = Arc::new(Shared::new(settings.clone(), view.clone(), desk.clone()));
    let traffic = {
        let (settings, phase, flights) = (settings.clone(), phase.subscribe(), flights.clone());
        let (context, desk, view) = (context.clone(), desk.clone(), view.clone());
        let sources = sources.clone();
        let runtime = runtime()?;
        let serve = async move {
            let listener = bind(&settings).await?;
            let peers = TcpListener::bind(settings.peer_addr).await?;
            tokio::spawn(serve_peers(peers, context.clone(), desk, view, sources));
            ingress::serve(listener, context, phase, flights).await;
            anyhow::Ok(())
        };
        std::thread::Builder::new().name("traffic".to_owned()).spawn(move || {
            if let Err(error) = runtime.block_on(serve) {
                log::error!("clients cannot be served: {error:#}");
                std::process::exit(1);
            }
        })
    };
    traffic.context("the traffic thread cannot start")?;
    let follower = Follower {
        settings: settings.clone(),
        view: view.clone(),
        kv: kv.clone(),
        desk: desk.clone(),
        sources,
        retired: Arc::default(),
    };
    control.block_on(async {
        tokio::spawn(follower.clone().keep(Part::Configuration));
        tokio::spawn(follower.clone().keep(Part::Directory));
        for slot in 0..FEEDS {
            tokio::spawn(follower.clone().feed(slot));
        }
        let readiness = Readiness { view, phase: phase.subscribe() };
        let addr = settings.probe_addr;
        tokio::spawn(async move {
            if let Err(error) = probes::serve(addr, readiness).await {
                log::error!("{error:#}");
            }
        });
        tokio::spawn(sweep(context));
        tokio::spawn(terms::keep(desk.clone(), kv.clone()));
        let member = tokio::spawn(hold_member(settings.clone(), kv.clone(), desk.incarnation));
        log::info!(target: "daemon", vm = settings.vm.as_str(); "started");
        signals.wait_for_stop().await;
        log::info!(target: "daemon", vm = settings.vm.as_str(); "stopping");
        let begun = Instant::now();
        let close = begun + millis(settings.limits.stop_close_ms);
        let end = begun + millis(settings.limits.stop_wait_ms);
        phase.send_replace(Phase::Leaving);
        member.abort();
        if timeout_at(close.into(), leave(&settings, &kv, &desk)).await.is_err() {
            log::info!(target: "member", "the key-value service is too slow to leave in time");
        }
        sleep_until(close.into()).await;
        phase.send_replace(Phase::Closing { ends: end });
        let landed = timeout_at(end.into(), flights.wait_idle()).await.is_ok();
        log::info!(target: "daemon", vm = settings.vm.as_str(), landed; "stopped");
        Ok(())
    })
}

fn runtime() -> Result<Runtime> {
    Builder::new_current_thread().enable_all().build().context("the runtime cannot start")
}

async fn bind(settings: &Settings) -> Result<TcpListener> {
    TcpListener::bind(settings.client_addr).await.with_context(|| {
        format!("client_addr {} cannot be bound; is another daemon running?", settings.client_addr)
    })
}

async fn serve_peers(
    listener: TcpListener,
    context: Arc<Shared>,
    desk: Arc<Desk>,
    view: Arc<View>,
    sources: Arc<Sources>,
) {
    let key: Arc<[u8]> = context.settings.cluster_key.as_bytes().into();
    let stewards = context.stewards.clone();
    let handle =
        move |request, outbox| peers::take(request, outbox, &desk, &view, &sources, &stewards);
    if let Err(error) = peer::server::serve(listener, key, handle).await {
        log::error!("peers are not served any more: {error}");
    }
}

async fn sweep(context: Arc<Shared>) {
    let mut trimmed = Instant::now();
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        if now.duration_since(trimmed) >= TRIM_INTERVAL {
            trimmed = now;
            context.desk.trim().await;
        }
        context.pool.sweep(now);
        context.desk.sweep(now);
        context.stewards.sweep(now);
        context.view.fleet(|fleet| fleet.sweep(now));
    }
}

/// Records what programs have spent, and deletes the member key, so that no peer asks this daemon any
/// more.
async fn leave(settings: &Settings, kv: &Client, desk: &Desk) {
    desk.close().await;
    if let Err(error) = delete_member(settings, kv).await {
        log::info!(target: "member", "the member key lapses with its lease: {error}");
    }
}

async fn delete_member(settings: &Settings, kv: &Client) -> Result<(), Error> {
    let key = members::key(&settings.vm);
    match kv.get(&key).await? {
        Some(entry) => kv.delete(&key, entry.revision).await.map(drop),
        None => Ok(()),
    }
}

/// Keeps this daemon's member key.
async fn hold_member(settings: Arc<Settings>, kv: Client, incarnation: Incarnation) {
    let member = Member {
        vm: settings.vm.clone(),
        dc: settings.dc.clone(),
        addr: settings.public_addr(),
        incarnation,
        cpu: (settings.cpu_share * 1_000.0) as u32,
    };
    let mut pause = REGISTER_RETRY;
    loop {
        let begun = Instant::now();
        if let Err(error) = hold_lease(&settings, &kv, &member).await {
            log::debug!(target: "member", "the member key is not held: {error}");
        }
        pause = match begun.elapsed() >= REGISTER_RETRY_MAX {
            true => REGISTER_RETRY,
            false => (pause * 2).min(REGISTER_RETRY_MAX),
        };
        sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn hold_lease(settings: &Settings, kv: &Client, member: &Member) -> Result<(), Error> {
    let ttl = millis(settings.limits.lease_ttl_ms);
    let lease = kv.grant(ttl).await?;
    register(kv, member, lease).await?;
    let mut renewed = Instant::now();
    let mut pause = ttl / 2;
    loop {
        sleep(pause).await;
        pause = match kv.keep_alive(lease).await {
            Ok(()) => {
                renewed = Instant::now();
                ttl / 2
            }
            Err(Error::LeaseLapsed) => return Err(Error::LeaseLapsed),
            Err(error) if renewed.elapsed() >= ttl => return Err(error),
            Err(_) => ttl / 4,
        };
    }
}

/// Writes the member key, over that of an earlier process on this VM.
async fn register(kv: &Client, member: &Member, lease: LeaseId) -> Result<(), Error> {
    let key = members::key(&member.vm);
    let value = serde_json::to_vec(member).map_err(|error| Error::Malformed(error.to_string()))?;
    kv.put(&key, &value, Some(lease)).await
}
