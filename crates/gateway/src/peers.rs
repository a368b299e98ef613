//! Handles requests from other gateway daemons.

use crate::budgets::Budgets;
use crate::coordinators::Coordinators;
use crate::draws::Draw;
use crate::origins::Origins;
use crate::quarantine::Quarantine;
use crate::view::{Cursor, Update, View};
use peer::gateway::{Command, Response, Stamp};
use peer::server::ReplySender;
use peer::wire::{Reply, Request};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time after which the peer is told that its reservation waits for the key-value service.
const PENDING_AFTER: Duration = Duration::from_millis(30);
/// Interval of updates to a subscriber while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Parts of the daemon that handle requests.
#[derive(Clone, Copy)]
pub struct Parts<'a> {
    /// Budgets of programs.
    pub budgets: &'a Arc<Budgets>,
    /// Configuration, endpoints and peers known to this daemon.
    pub view: &'a Arc<View>,
    /// Bookings of endpoints.
    pub coordinators: &'a Arc<Coordinators>,
    /// Software versions that began streams.
    pub origins: &'a Arc<Origins>,
    /// Requests that crash endpoints.
    pub quarantine: &'a Arc<Quarantine>,
}

/// Handles one request and sends its answer, if it has one, to `sender`.
pub fn handle(request: Request, sender: ReplySender, parts: Parts<'_>) {
    let Parts { budgets, view, coordinators, origins, quarantine } = parts;
    let Request::Gateway(command) = request else {
        log::warn!(target: "peers", "rejected a request from a daemon that is not a gateway");
        return;
    };
    match *command {
        Command::Reserve(request) => {
            let budgets = budgets.clone();
            tokio::spawn(async move {
                let mut decision = std::pin::pin!(budgets.decide(&request));
                let decision = match timeout(PENDING_AFTER, decision.as_mut()).await {
                    Ok(decision) => decision,
                    Err(_) => {
                        // If the peer is gone, its next reservation settles this one.
                        reply(&sender, Response::Pending).await;
                        decision.await
                    }
                };
                reply(&sender, Response::Reserved(decision)).await;
            });
        }
        Command::Settle(settlement) => budgets.settle(&settlement),
        Command::Book { dc, request, daemon, reports } => {
            let coordinators = coordinators.clone();
            tokio::spawn(async move {
                let outcome = coordinators.book_for(&dc, &request, &daemon, &reports).await;
                // If the peer is gone, its booking expires.
                reply(&sender, Response::Booked(outcome)).await;
            });
        }
        Command::Limits { daemon, reports } => {
            coordinators.merge_reports(&reports, Instant::now());
            log::debug!(target: "limit", daemon = daemon.as_str(); "merged reports");
            // If the peer is gone, it needs no confirmation.
            tokio::spawn(async move { reply(&sender, Response::Noted).await });
        }
        Command::Release { request, endpoint, end } => {
            coordinators.release_locally(&request, &endpoint, end)
        }
        Command::Inherit(program) => {
            let transfer = budgets.transfer(&program);
            // If the peer is gone, the account is lost, and its tokens count as spent.
            tokio::spawn(async move { reply(&sender, Response::Inherited(transfer)).await });
        }
        Command::Draw { request, owner, draw } => {
            let budgets = budgets.clone();
            tokio::spawn(async move {
                let drawn = budgets.draw_batched(Draw { request, owner, draw }).await;
                // If the peer is gone, the drawn tokens stay unused.
                reply(&sender, Response::Drawn(drawn)).await;
            });
        }
        Command::Quota(report) => {
            let answer = coordinators.quotas.serve(&report);
            // If the peer is gone, its stock counts as used when it expires.
            tokio::spawn(async move { reply(&sender, Response::Quota(answer)).await });
        }
        Command::Began { request, version, durable } => {
            if durable {
                origins.record_durably(request.clone(), version.clone());
            }
            origins.record_locally(request, version, Instant::now());
        }
        Command::FindOrigin(request) => {
            let version = origins.find_locally(&request);
            // If the peer is gone, so is its client's attempt.
            tokio::spawn(async move { reply(&sender, Response::Origin(version)).await });
        }
        Command::Accuse(accusations) => quarantine.record(accusations, Instant::now()),
        Command::Absolve(fingerprints) => quarantine.absolve_locally(&fingerprints),
        Command::Quarantine(verdicts) => quarantine.merge(verdicts, Instant::now()),
        Command::Subscribe { version, revision } => {
            let cursor = Cursor::new(version, revision);
            tokio::spawn(send_updates(cursor, sender, view.clone(), quarantine.clone()));
        }
    }
}

/// Sends an answer. Ignores a failure, which means that the peer is gone; a comment at each call
/// states what happens then.
async fn reply(sender: &ReplySender, response: Response) {
    let _ = sender.send(Reply::Gateway(response)).await;
}

async fn send_updates(
    mut cursor: Cursor,
    sender: ReplySender,
    view: Arc<View>,
    quarantine: Arc<Quarantine>,
) {
    let (mut changes, mut verdicts) = (view.subscribe(), quarantine.subscribe());
    let mut next_verdict = None;
    let began_at = Instant::now();
    loop {
        changes.mark_unchanged();
        verdicts.mark_unchanged();
        let news = quarantine.next(&mut next_verdict, Instant::now());
        let news = (!news.is_empty()).then_some(Reply::Gateway(Response::Quarantined(news)));
        if let Some(news) = news
            && sender.send(news).await.is_err()
        {
            return;
        }
        // What is read after the age is at least as new.
        let now = Instant::now();
        let stamp = Stamp { age: view.age(now), sent: now.duration_since(began_at) };
        let response = match view.next_update(&mut cursor) {
            Update::View(view) => Response::View { view, stamp },
            Update::Changes(changes) => Response::Changes { changes, stamp },
        };
        if sender.send(Reply::Gateway(response)).await.is_err() {
            return;
        }
        // Without a change, the next update is an empty one that serves as a heartbeat.
        tokio::select! {
            _ = timeout(HEARTBEAT_INTERVAL, changes.changed()) => {}
            _ = verdicts.changed() => {}
        }
    }
}
