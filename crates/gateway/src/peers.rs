//! Answers to other gateways.

use crate::desk::Desk;
use crate::draws::Draw;
use crate::follow::Sources;
use crate::stewards::Stewards;
use crate::view::{Cursor, News, View};
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
pub fn take(
    request: Request,
    outbox: ReplySender,
    desk: &Arc<Desk>,
    view: &Arc<View>,
    sources: &Arc<Sources>,
    stewards: &Arc<Stewards>,
) {
    let Request::Gateway(ask) = request else {
        log::warn!(target: "peers", "a daemon of another kind asks this gateway");
        return;
    };
    match *ask {
        Command::Reserve(ask) => {
            let desk = desk.clone();
            tokio::spawn(async move {
                let mut decision = std::pin::pin!(desk.decide(&ask));
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
        Command::Settle(settlement) => desk.settle(&settlement),
        Command::Book { dc, request: ask } => {
            let outcome = stewards.decide(&dc, &ask, Instant::now());
            // A booking whose asker has gone lapses.
            tokio::spawn(async move { reply(&outbox, Response::Booked(outcome)).await });
        }
        Command::Release { request, endpoint, end } => stewards.end(&request, &endpoint, end),
        Command::Inherit(program) => {
            let legacy = desk.give(&program);
            // What an asker that has gone would have inherited counts as spent.
            tokio::spawn(async move { reply(&outbox, Response::Inherited(legacy)).await });
        }
        Command::Draw { request: ask, owner, draw } => {
            let desk = desk.clone();
            tokio::spawn(async move {
                let drawn = desk.draw_jointly(Draw { ask, owner, draw }).await;
                // What was drawn for an asker that has gone stays unused.
                reply(&outbox, Response::Drawn(drawn)).await;
            });
        }
        Command::Subscribe { version, revision } => {
            let cursor = Cursor::new(version, revision);
            tokio::spawn(follow(cursor, outbox, view.clone(), sources.clone()));
        }
    }
}

/// Sends an answer; each question says what becomes of it when the asker has gone.
async fn reply(outbox: &ReplySender, answer: Response) {
    let _ = outbox.send(Reply::Gateway(answer)).await;
}

async fn follow(mut cursor: Cursor, outbox: ReplySender, view: Arc<View>, sources: Arc<Sources>) {
    let mut changes = view.subscribe();
    loop {
        changes.mark_unchanged();
        let watching = sources.watching();
        let answer = match view.news(&mut cursor) {
            News::View(view) => Response::View { view: Box::new(view), watching },
            News::Changes(changes) => Response::Changes { changes: Box::new(changes), watching },
        };
        if outbox.send(Reply::Gateway(answer)).await.is_err() {
            return;
        }
        // A quiet wait ends in a beat.
        let _ = timeout(FOLLOW_BEAT, changes.changed()).await;
    }
}
