//! Routing of operations to the owners of their logs.
//!
//! Any daemon takes any request. It asks the log's owner, itself or a peer, and hands the answer's
//! frames on. When the owner changes, or the connection to it breaks, the operation is asked again
//! of the next owner: calls under their id, so that nothing runs twice, and from the position that
//! the caller has reached.

use crate::control::event::{Event, EventSender};
use crate::io::backoff::Backoff;
use crate::routes::{Member, Routes};
use peer::client::Client;
use peer::wire::{Operation, Position, Principal, Reply, Request};
use sched::id::LogId;
use sched::refusal::{Code, Execution, Refusal};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Frames of one answer that may wait for the caller.
const FRAMES: usize = 256;
/// Longest time for a peer to take a request.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a try from which the wait for an owner begins anew after it.
const LASTING_TRY: Duration = Duration::from_secs(1);

/// Router of one daemon.
#[derive(Clone)]
pub struct Router {
    /// This daemon.
    pub local_member: Member,
    /// Owners of logs.
    pub routes: Routes,
    /// Calls to peers.
    pub peers: Client,
    /// This daemon's control thread.
    pub events: EventSender,
    /// Longest time that an operation waits for an owner.
    pub route_wait: Duration,
}

/// How one try at one owner ended.
enum Try {
    /// The last frame was handed on.
    Finished,
    /// The caller has gone.
    Gone,
    /// The owner did nothing.
    NotTaken,
    /// The owner may have begun.
    Broken,
}

impl Router {
    /// Asks the owner of the operation's log; the receiver gets the answer's frames.
    pub fn submit(&self, asker: Principal, ask: Operation) -> mpsc::Receiver<Reply> {
        let (sender, receiver) = mpsc::channel(FRAMES);
        let task = Task {
            router: self.clone(),
            asker,
            ask,
            sender,
            maybe_begun: false,
            waiting_since: Instant::now(),
        };
        tokio::spawn(task.run());
        receiver
    }

    /// Asks as [`Router::submit`] does, for an asker that does not wait for the answer.
    pub fn submit_detached(&self, asker: Principal, ask: Operation) {
        let mut frames = self.submit(asker, ask);
        tokio::spawn(async move { while frames.recv().await.is_some() {} });
    }
}

struct Task {
    router: Router,
    asker: Principal,
    ask: Operation,
    sender: mpsc::Sender<Reply>,
    maybe_begun: bool,
    waiting_since: Instant,
}

impl Task {
    async fn run(mut self) {
        let Some(log) = self.ask.log() else {
            let refusal = Refusal::not_run(Code::NotFound, "there is no such program");
            return self.refuse(refusal).await;
        };
        let mut backoff = Backoff::new(Duration::from_millis(5), Duration::from_millis(200));
        while !self.sender.is_closed() {
            let tried = Instant::now();
            if let Some(owner) = self.router.routes.owner(log) {
                match self.attempt(log, &owner).await {
                    Try::Finished | Try::Gone => return,
                    Try::NotTaken => {}
                    Try::Broken => {
                        self.maybe_begun = true;
                        if tried.elapsed() >= LASTING_TRY {
                            self.waiting_since = Instant::now();
                        }
                    }
                }
            }
            if self.maybe_begun && !self.repeatable() {
                let message = "the connection broke; the operation may have been carried out";
                return self.refuse(Refusal::unknown(Code::OutcomeUnknown, message)).await;
            }
            if self.waiting_since.elapsed() > self.router.route_wait {
                let message = "the program's log has no owner yet";
                let refusal = Refusal::not_run(Code::OwnerChanging, message);
                return self.refuse(refusal.retry_after(Duration::from_secs(1))).await;
            }
            backoff.wait().await;
        }
    }

    fn repeatable(&self) -> bool {
        match &self.ask {
            Operation::Create { spec, .. } => spec.key.is_some(),
            _ => true,
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        let ran = if self.maybe_begun { Execution::Unknown } else { refusal.ran };
        // A caller that has gone needs no answer.
        let _ = self.sender.send(Reply::Refused(Refusal { ran, ..refusal })).await;
    }

    async fn attempt(&mut self, log: LogId, owner: &Member) -> Try {
        let mut frames = match owner.vm == self.router.local_member.vm {
            true => self.ask_local(),
            false => match self.ask_peer(owner).await {
                Ok(frames) => frames,
                Err(outcome) => return outcome,
            },
        };
        let routes = self.router.routes.clone();
        let mut taken = std::pin::pin!(routes.wait_for_new_owner(log, owner));
        loop {
            let frame = tokio::select! {
                frame = frames.recv() => frame,
                () = &mut taken => return Try::Broken,
                () = self.sender.closed() => return Try::Gone,
            };
            match frame {
                None | Some(Reply::Moved) => return Try::Broken,
                Some(Reply::NotOwner) => return Try::NotTaken,
                Some(frame) => match self.hand_on(frame).await {
                    Some(end) => return end,
                    None => self.waiting_since = Instant::now(),
                },
            }
        }
    }

    fn ask_local(&self) -> mpsc::Receiver<Reply> {
        let (outbox, frames) = mpsc::channel(FRAMES);
        let (asker, ask) = (self.asker.clone(), Box::new(self.ask.clone()));
        self.router.events.send(Event::Operation {
            principal: asker,
            operation: ask,
            replies: outbox,
        });
        frames
    }

    async fn ask_peer(&self, owner: &Member) -> Result<mpsc::Receiver<Reply>, Try> {
        metrics::counter!("asks_forwarded_total").increment(1);
        let request = Request::Operation(self.asker.clone(), Box::new(self.ask.clone()));
        let call = self.router.peers.call(&owner.peer_addr, &request);
        let mut replies = match tokio::time::timeout(OPEN_TIMEOUT, call).await {
            Ok(Ok(replies)) => replies,
            Ok(Err(peer::Error::Unsent(_) | peer::Error::Unauthenticated)) => {
                return Err(Try::NotTaken);
            }
            Ok(Err(_)) => return Err(Try::Broken),
            Err(_) => {
                self.router.peers.disconnect(&owner.peer_addr);
                return Err(Try::Broken);
            }
        };
        let (sender, frames) = mpsc::channel(FRAMES);
        tokio::spawn(async move {
            while let Ok(Some(reply)) = replies.next().await {
                if sender.send(reply).await.is_err() {
                    return;
                }
            }
        });
        Ok(frames)
    }

    /// Hands a frame on; returns how the try ended when it was the last.
    async fn hand_on(&mut self, frame: Reply) -> Option<Try> {
        let last = match &frame {
            Reply::Text { run, offset, text } => {
                self.advance(Position { run: *run, offset: offset + text.len() as u64 });
                false
            }
            Reply::Restart => {
                self.advance(Position::default());
                false
            }
            Reply::Refused(refusal) => {
                self.refuse(refusal.clone()).await;
                return Some(Try::Finished);
            }
            _ => true,
        };
        if self.sender.send(frame).await.is_err() {
            return Some(Try::Gone);
        }
        last.then_some(Try::Finished)
    }

    fn advance(&mut self, reached: Position) {
        if let Operation::Call { position, .. } | Operation::Attach { position, .. } = &mut self.ask
        {
            *position = reached;
        }
    }
}
