//! Answers to other gateways.

use crate::budgets::Budgets;
use crate::coordinators::Coordinators;
use crate::draws::Draw;
use crate::view::{Cursor, Update, View};
use crate::view_sync::SyncStatus;
use peer::gateway::{Command, Response};
use peer::server::ReplySender;
use peer::wire::{Reply, Request};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time after which an asker is told that its answer waits for the platform.
const PENDING_AFTER: Duration = Duration::from_millis(30);
/// Interval of frames to followers while nothing changes.
const FOLLOW_BEAT: Duration = Duration::from_millis(300);

/// Answers one question.
pub fn handle(
    request: Request,
    outbox: ReplySender,
    budgets: &Arc<Budgets>,
    view: &Arc<View>,
    sync_status: &Arc<SyncStatus>,
    coordinators: &Arc<Coordinators>,
) {
    let Request::Gateway(ask) = request else {
        log::warn!(target: "peers", "a daemon of another kind asks this gateway");
        return;
    };
    match *ask {
        Command::Reserve(ask) => {
            let budgets = budgets.clone();
            tokio::spawn(async move {
                let mut decision = std::pin::pin!(budgets.decide(&ask));
                let decision = match timeout(PENDING_AFTER, decision.as_mut()).await {
                    Ok(decision) => decision,
                    Err(_) => {
                        // An asker that has gone settles with its next reservation.
                        reply(&outbox, Response::Pending).await;
                        decision.await
                    }
                };
                reply(&outbox, Response::Reserved(decision)).await;
            });
        }
        Command::Settle(settlement) => budgets.settle(&settlement),
        Command::Book { dc, request: ask } => {
            let outcome = coordinators.decide(&dc, &ask, Instant::now());
            // A booking whose asker has gone lapses.
            tokio::spawn(async move { reply(&outbox, Response::Booked(outcome)).await });
        }
        Command::Release { request, endpoint, end } => coordinators.end(&request, &endpoint, end),
        Command::Inherit(program) => {
            let legacy = budgets.give(&program);
            // What an asker that has gone would have inherited counts as spent.
            tokio::spawn(async move { reply(&outbox, Response::Inherited(legacy)).await });
        }
        Command::Draw { request: ask, owner, draw } => {
            let budgets = budgets.clone();
            tokio::spawn(async move {
                let drawn = budgets.draw_jointly(Draw { ask, owner, draw }).await;
                // What was drawn for an asker that has gone stays unused.
                reply(&outbox, Response::Drawn(drawn)).await;
            });
        }
        Command::Subscribe { version, revision } => {
            let cursor = Cursor::new(version, revision);
            tokio::spawn(follow(cursor, outbox, view.clone(), sync_status.clone()));
        }
    }
}

/// Sends an answer; each question says what becomes of it when the asker has gone.
async fn reply(outbox: &ReplySender, answer: Response) {
    let _ = outbox.send(Reply::Gateway(answer)).await;
}

async fn follow(
    mut cursor: Cursor,
    outbox: ReplySender,
    view: Arc<View>,
    sync_status: Arc<SyncStatus>,
) {
    let mut changes = view.subscribe();
    loop {
        changes.mark_unchanged();
        let watching = sync_status.watching();
        let answer = match view.next_update(&mut cursor) {
            Update::View(view) => Response::View { view: Box::new(view), watching },
            Update::Changes(changes) => Response::Changes { changes: Box::new(changes), watching },
        };
        if outbox.send(Reply::Gateway(answer)).await.is_err() {
            return;
        }
        // A quiet wait ends in a beat.
        let _ = timeout(FOLLOW_BEAT, changes.changed()).await;
    }
}
