//! Startup and shutdown of a daemon.

use crate::control::event::{Event, EventSender};
use crate::control::{Control, Readiness, Shared, TICK_INTERVAL};
use crate::http::{self, App};
use crate::routes::{Member, Routes};
use crate::settings::{InjectedFault, Settings, millis};
use crate::traffic::{session, vms, watch as watches};
use anyhow::{Context, Result};
use gateway::inflight::Tracker;
use peer::wire::{Reply, Request};
use platform::kv;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Timeout for connecting to a peer or an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A running daemon.
pub struct Daemon {
    settings: Arc<Settings>,
    events: EventSender,
    inflight: Tracker,
    ready: watch::Receiver<Readiness>,
    kv: kv::Client,
    local_member: Member,
    shutdown: rocket::Shutdown,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon, which serves requests once it holds a lease and has read the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer address cannot be bound, or if a client, the HTTP server or the
    /// control thread cannot be set up.
    pub async fn start(settings: Settings) -> Result<Self> {
        let settings = Arc::new(settings);
        let timeout = millis(settings.limits.platform_timeout_ms);
        let kv = kv::Client::new(&settings.platform.kv, timeout)
            .context("failed to create the key-value client")?;
        let vm_list = platform::vms::Client::new(&settings.platform.vms, timeout)?;
        let listener = TcpListener::bind(settings.peer_addr).await.with_context(|| {
            format!("failed to bind peer_addr {}; is another daemon running?", settings.peer_addr)
        })?;
        let (events, receiver) = EventSender::channel();
        let (ready_sender, ready) = watch::channel(Readiness::default());
        let shared = shared(&settings, &kv, &events)?;
        let router = shared.router();
        let inflight = Tracker::default();
        let app = App {
            settings: settings.clone(),
            router,
            events: events.clone(),
            kv: kv.clone(),
            ready: ready.clone(),
            inflight: inflight.clone(),
            metrics: gateway::recorder::Recorder::install(),
        };
        let rocket = http::build(app).ignite().await;
        let rocket = rocket.map_err(|error| {
            anyhow::anyhow!("failed to set up the HTTP server: {}", error.kind())
        })?;
        let shutdown = rocket.shutdown();
        let unfenced_vm = settings.injects(InjectedFault::NoFence).then(|| settings.vm.clone());
        let tasks = vec![
            tokio::spawn(serve_peers(listener, settings.clone(), events.clone(), inflight.clone())),
            tokio::spawn(session::maintain(
                kv.clone(),
                events.clone(),
                shared.local_member.clone(),
                millis(settings.limits.lease_ttl_ms),
            )),
            tokio::spawn(watches::routes(kv.clone(), shared.routes.clone(), unfenced_vm)),
            tokio::spawn(watches::config(kv.clone(), events.clone())),
            tokio::spawn(vms::poll(
                vm_list,
                events.clone(),
                millis(settings.limits.vms_interval_ms),
            )),
            tokio::spawn(tick(events.clone())),
        ];
        let local_member = shared.local_member.clone();
        let control = Control::new(shared, ready_sender, Instant::now());
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run(receiver))
            .context("failed to start the control thread")?;
        let server = tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                log::error!("HTTP server failed: {}", error.kind());
            }
        });
        log::info!("{} accepts callers at {}", settings.vm, settings.http_addr);
        Ok(Self { settings, events, inflight, ready, kv, local_member, shutdown, server, tasks })
    }

    /// Waits until the daemon can serve requests.
    pub async fn ready(&self) {
        let mut ready = self.ready.clone();
        // The control thread runs until the daemon is stopped.
        let _ = ready.wait_for(|ready| ready.serving).await;
    }

    /// Stops gracefully: accepts no new programs, hands the logs off and finishes the requests in
    /// flight.
    ///
    /// # Errors
    ///
    /// Returns an error if the hand-off of the logs or the requests in flight exceed their timeout,
    /// `stop_wait_ms` each.
    pub async fn stop(self) -> Result<()> {
        log::info!("{} is stopping", self.settings.vm);
        if self.settings.injects(InjectedFault::StopAtOnce) {
            return Ok(());
        }
        let wait = millis(self.settings.limits.stop_wait_ms);
        let (done, stopped) = oneshot::channel();
        self.events.send(Event::Stop(done));
        let handed_off = tokio::time::timeout(wait, stopped).await.is_ok();
        let drained = tokio::time::timeout(wait, self.inflight.wait_idle()).await.is_ok();
        self.unregister().await;
        self.shutdown.notify();
        // The server stops within its own grace period.
        let _ = self.server.await;
        self.events.send(Event::Quit);
        for task in &self.tasks {
            task.abort();
        }
        anyhow::ensure!(handed_off, "timed out handing off logs; some logs remain");
        anyhow::ensure!(drained, "timed out waiting for requests in flight");
        log::info!("{} stopped", self.settings.vm);
        Ok(())
    }

    /// Aborts all work without handing off any log, as if the VM were lost.
    pub fn crash(self) {
        self.events.send(Event::Quit);
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Deletes the member key, so that the next daemon on this VM need not wait for the lease to
    /// expire.
    async fn unregister(&self) {
        let key = crate::traffic::keys::member(&self.local_member.vm);
        if let Ok(Some(entry)) = self.kv.get(&key).await {
            // If the deletion fails, the key expires with the lease.
            let _ = self.kv.delete(&key, entry.revision).await;
        }
    }
}

fn shared(settings: &Arc<Settings>, kv: &kv::Client, events: &EventSender) -> Result<Shared> {
    let local_member = Member {
        vm: settings.vm.clone(),
        dc: settings.dc.clone(),
        peer_addr: compact_str::format_compact!("{}", settings.peer_addr),
        incarnation: fastrand::u64(1..),
        stopping: false,
    };
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        // Responses of endpoints do not name their requests. On a connection that carried another
        // request before, one that comes once more would be taken for the response.
        .pool_max_idle_per_host(0)
        .build()
        .context("failed to create the HTTP client")?;
    Ok(Shared {
        settings: settings.clone(),
        local_member,
        kv: kv.clone(),
        http,
        peers: peer::client::Client::new(settings.keys.cluster.as_bytes(), CONNECT_TIMEOUT),
        routes: Routes::default(),
        events: events.clone(),
        runtime: Handle::current(),
    })
}

async fn tick(events: EventSender) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        events.send(Event::Tick);
    }
}

async fn serve_peers(
    listener: TcpListener,
    settings: Arc<Settings>,
    events: EventSender,
    inflight: Tracker,
) {
    let key: Arc<[u8]> = settings.keys.cluster.as_bytes().into();
    let handle = move |request, outbox| {
        let guard = matches!(request, Request::Operation(..)).then(|| inflight.track());
        handle_request(&events, request, outbox);
        guard
    };
    if let Err(error) = peer::server::serve(listener, key, handle, peer::tunnel::Never).await {
        log::error!("peer server failed: {error}");
    }
}

fn handle_request(events: &EventSender, request: Request, outbox: mpsc::Sender<Reply>) {
    match request {
        Request::Operation(principal, operation) => {
            events.send(Event::Operation { principal, operation, replies: outbox })
        }
        Request::Report(report) => events.send(Event::Report(report)),
        Request::Gateway(_) => {
            log::warn!("ignored a gateway command: this daemon is not a gateway")
        }
        Request::Query(query) => {
            let (sender, status) = oneshot::channel();
            events.send(Event::Query(query, sender));
            tokio::spawn(async move {
                if let Ok(status) = status.await {
                    // The peer may have disconnected.
                    let _ = outbox.send(Reply::Status(Box::new(status))).await;
                }
            });
        }
    }
}
