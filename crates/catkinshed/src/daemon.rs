//! Start and stop of a daemon.

use crate::control::event::{Event, EventSender};
use crate::control::{Control, Readiness, Shared, TICK_INTERVAL};
use crate::http::{self, App};
use crate::io::{session, vms, watch as watches};
use crate::routes::{Member, Routes};
use crate::settings::{InjectedFault, Settings, millis};
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

/// Bound of connecting to a peer or an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A running daemon.
pub struct Daemon {
    settings: Arc<Settings>,
    events: EventSender,
    flights: Tracker,
    ready: watch::Receiver<Readiness>,
    kv: kv::Client,
    me: Member,
    shutdown: rocket::Shutdown,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon; it serves once the platform has given it a lease and the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when an address is taken or a client cannot be set up.
    pub async fn start(settings: Settings) -> Result<Self> {
        let settings = Arc::new(settings);
        let timeout = millis(settings.limits.platform_timeout_ms);
        let kv = kv::Client::new(&settings.platform.kv, timeout).context("key-value client")?;
        let vm_list = platform::vms::Client::new(&settings.platform.vms, timeout)?;
        let listener = TcpListener::bind(settings.peer_addr).await.with_context(|| {
            format!("peer_addr {} cannot be bound; is another daemon running?", settings.peer_addr)
        })?;
        let (events, receiver) = EventSender::channel();
        let (ready_sender, ready) = watch::channel(Readiness::default());
        let shared = shared(&settings, &kv, &events)?;
        let entry = shared.entry();
        let flights = Tracker::default();
        let app = App {
            settings: settings.clone(),
            router: entry,
            events: events.clone(),
            kv: kv.clone(),
            ready: ready.clone(),
            in_flight: flights.clone(),
            metrics: gateway::recorder::Recorder::install(),
        };
        let rocket = http::build(app).ignite().await;
        let rocket = rocket.map_err(|error| anyhow::anyhow!("HTTP server: {}", error.kind()))?;
        let shutdown = rocket.shutdown();
        let deaf = settings.injects(InjectedFault::NoFence).then(|| settings.vm.clone());
        let tasks = vec![
            tokio::spawn(serve_peers(listener, settings.clone(), events.clone(), flights.clone())),
            tokio::spawn(session::maintain(
                kv.clone(),
                events.clone(),
                shared.local_member.clone(),
                millis(settings.limits.lease_ttl_ms),
            )),
            tokio::spawn(watches::routes(kv.clone(), shared.routes.clone(), deaf)),
            tokio::spawn(watches::config(kv.clone(), events.clone())),
            tokio::spawn(vms::poll(
                vm_list,
                events.clone(),
                millis(settings.limits.vms_interval_ms),
            )),
            tokio::spawn(tick(events.clone())),
        ];
        let me = shared.local_member.clone();
        let control = Control::new(shared, ready_sender, Instant::now());
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run(receiver))
            .context("the control thread cannot start")?;
        let server = tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                log::error!("the HTTP server ended: {}", error.kind());
            }
        });
        log::info!("{} takes callers at {}", settings.vm, settings.http_addr);
        Ok(Self { settings, events, flights, ready, kv, me, shutdown, server, tasks })
    }

    /// Waits until the daemon serves.
    pub async fn ready(&self) {
        let mut ready = self.ready.clone();
        // The control thread runs until the daemon is stopped.
        let _ = ready.wait_for(|ready| ready.serving).await;
    }

    /// Stops in order: takes no new programs, hands the logs off, and ends what is under way.
    ///
    /// # Errors
    ///
    /// Returns an error when logs or requests are left after the longest wait.
    pub async fn stop(self) -> Result<()> {
        log::info!("{} is stopping", self.settings.vm);
        if self.settings.injects(InjectedFault::StopAtOnce) {
            return Ok(());
        }
        let wait = millis(self.settings.limits.stop_wait_ms);
        let (done, stopped) = oneshot::channel();
        self.events.send(Event::Stop(done));
        let handed_off = tokio::time::timeout(wait, stopped).await.is_ok();
        let landed = tokio::time::timeout(wait, self.flights.wait_idle()).await.is_ok();
        self.leave().await;
        self.shutdown.notify();
        // The server ends within its own grace period.
        let _ = self.server.await;
        self.events.send(Event::Quit);
        for task in &self.tasks {
            task.abort();
        }
        anyhow::ensure!(handed_off, "logs were left when the wait for their hand-off ended");
        anyhow::ensure!(landed, "requests were left when the wait for their end ended");
        log::info!("{} has stopped", self.settings.vm);
        Ok(())
    }

    /// Ends all work at once and hands nothing off, as the loss of the VM would.
    pub fn crash(self) {
        self.events.send(Event::Quit);
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Deletes the member key, so that a successor on this VM need not wait for the lease to lapse.
    async fn leave(&self) {
        let key = crate::io::keys::member(&self.me.vm);
        if let Ok(Some(entry)) = self.kv.get(&key).await {
            // When this is lost, the key lapses with the lease.
            let _ = self.kv.delete(&key, entry.revision).await;
        }
    }
}

fn shared(settings: &Arc<Settings>, kv: &kv::Client, events: &EventSender) -> Result<Shared> {
    let me = Member {
        vm: settings.vm.clone(),
        dc: settings.dc.clone(),
        peer_addr: compact_str::format_compact!("{}", settings.peer_addr),
        incarnation: fastrand::u64(1..),
        stopping: false,
    };
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .context("HTTP client")?;
    Ok(Shared {
        settings: settings.clone(),
        local_member: me,
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
    flights: Tracker,
) {
    let key: Arc<[u8]> = settings.keys.cluster.as_bytes().into();
    let handle = move |request, outbox| {
        let flight = matches!(request, Request::Operation(..)).then(|| flights.track());
        take_request(&events, request, outbox);
        flight
    };
    if let Err(error) = peer::server::serve(listener, key, handle).await {
        log::error!("peers are not served any more: {error}");
    }
}

fn take_request(events: &EventSender, request: Request, outbox: mpsc::Sender<Reply>) {
    match request {
        Request::Operation(asker, ask) => {
            events.send(Event::Operation { principal: asker, operation: ask, replies: outbox })
        }
        Request::Report(report) => events.send(Event::Report(report)),
        Request::Gateway(_) => log::warn!("a gateway asks this daemon, which is none"),
        Request::Query(query) => {
            let (sender, answer) = oneshot::channel();
            events.send(Event::Query(query, sender));
            tokio::spawn(async move {
                if let Ok(answer) = answer.await {
                    // A peer that has gone needs no answer.
                    let _ = outbox.send(Reply::Status(Box::new(answer))).await;
                }
            });
        }
    }
}
