//! Routing of operations to the owners of their logs.
//!
//! Every daemon accepts every request. It submits the operation to the owner of the log, which is
//! itself or a peer, and forwards the replies to the caller. If the owner changes or the connection
//! to it breaks, the operation is submitted again to the next owner. A call keeps its id, so that it
//! does not run twice, and resumes at the position that the caller has reached.

use crate::control::event::{Event, EventSender};
use crate::routes::{Member, Routes};
use crate::traffic::backoff::Backoff;
use peer::client::Client;
use peer::wire::{Operation, Position, Principal, Reply, Request};
use sched::id::LogId;
use sched::refusal::{Code, Execution, Refusal};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Capacity of the channel to one caller, in replies.
const REPLY_CAPACITY: usize = 256;
/// Timeout for a peer to accept a request.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Duration after which an attempt counts as stable: if it is then interrupted, the wait for an
/// owner starts over.
const MIN_STABLE_ATTEMPT: Duration = Duration::from_secs(1);

/// Router of operations in one daemon.
#[derive(Clone)]
pub struct Router {
    /// This daemon.
    pub local_member: Member,
    /// Owners of logs and members of the cluster.
    pub routes: Routes,
    /// Client for peers.
    pub peers: Client,
    /// Sender to this daemon's control thread.
    pub events: EventSender,
    /// Maximum time that an operation waits for an owner of its log.
    pub route_wait: Duration,
}

/// Result of one attempt at one owner.
enum Attempt {
    /// The last reply was forwarded.
    Finished,
    /// The caller has disconnected.
    Disconnected,
    /// The operation was not started.
    NotStarted,
    /// The attempt was interrupted, and the operation may have started.
    Interrupted,
}

impl Router {
    /// Submits an operation to the owner of its log and returns a receiver for the replies.
    pub fn submit(&self, principal: Principal, operation: Operation) -> mpsc::Receiver<Reply> {
        let (sender, receiver) = mpsc::channel(REPLY_CAPACITY);
        let task = Task {
            router: self.clone(),
            principal,
            operation,
            sender,
            maybe_started: false,
            waiting_since: Instant::now(),
        };
        tokio::spawn(task.run());
        receiver
    }

    /// Submits an operation like [`Router::submit`] and discards the replies.
    pub fn submit_detached(&self, principal: Principal, operation: Operation) {
        let mut replies = self.submit(principal, operation);
        tokio::spawn(async move { while replies.recv().await.is_some() {} });
    }
}

/// Task that submits one operation until it gets the last reply.
struct Task {
    router: Router,
    principal: Principal,
    operation: Operation,
    sender: mpsc::Sender<Reply>,
    /// Whether an interrupted attempt may have started the operation.
    maybe_started: bool,
    /// Start of the current wait for an owner; reset by each reply.
    waiting_since: Instant,
}

impl Task {
    async fn run(mut self) {
        let Some(log) = self.operation.log() else {
            let refusal = Refusal::not_run(Code::NotFound, "there is no such program");
            return self.refuse(refusal).await;
        };
        let mut backoff = Backoff::new(Duration::from_millis(5), Duration::from_millis(200));
        while !self.sender.is_closed() {
            let attempted_at = Instant::now();
            if let Some(owner) = self.router.routes.owner(log) {
                match self.attempt(log, &owner).await {
                    Attempt::Finished | Attempt::Disconnected => return,
                    Attempt::NotStarted => {}
                    Attempt::Interrupted => {
                        self.maybe_started = true;
                        if attempted_at.elapsed() >= MIN_STABLE_ATTEMPT {
                            self.waiting_since = Instant::now();
                        }
                    }
                }
            }
            if self.maybe_started && !self.is_idempotent() {
                let message =
                    "the connection to the owner was lost; the operation may have been executed";
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

    /// Returns whether the operation may be submitted again after it may have started.
    fn is_idempotent(&self) -> bool {
        match &self.operation {
            Operation::Create { spec, .. } => spec.key.is_some(),
            _ => true,
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        let ran = if self.maybe_started { Execution::Unknown } else { refusal.ran };
        // The caller may have disconnected.
        let _ = self.sender.send(Reply::Refused(Refusal { ran, ..refusal })).await;
    }

    async fn attempt(&mut self, log: LogId, owner: &Member) -> Attempt {
        let mut replies = match owner.vm == self.router.local_member.vm {
            true => self.submit_local(),
            false => match self.submit_to_peer(owner).await {
                Ok(replies) => replies,
                Err(result) => return result,
            },
        };
        let routes = self.router.routes.clone();
        let mut owner_changed = std::pin::pin!(routes.wait_for_new_owner(log, owner));
        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                () = &mut owner_changed => return Attempt::Interrupted,
                () = self.sender.closed() => return Attempt::Disconnected,
            };
            match reply {
                None | Some(Reply::Moved) => return Attempt::Interrupted,
                Some(Reply::NotOwner) => return Attempt::NotStarted,
                Some(reply) => match self.forward(reply).await {
                    Some(result) => return result,
                    None => self.waiting_since = Instant::now(),
                },
            }
        }
    }

    fn submit_local(&self) -> mpsc::Receiver<Reply> {
        let (sender, receiver) = mpsc::channel(REPLY_CAPACITY);
        let (principal, operation) = (self.principal.clone(), Box::new(self.operation.clone()));
        self.router.events.send(Event::Operation { principal, operation, replies: sender });
        receiver
    }

    async fn submit_to_peer(&self, owner: &Member) -> Result<mpsc::Receiver<Reply>, Attempt> {
        metrics::counter!("asks_forwarded_total").increment(1);
        let request = Request::Operation(self.principal.clone(), Box::new(self.operation.clone()));
        let call = self.router.peers.call(&owner.peer_addr, &request);
        let mut replies = match tokio::time::timeout(OPEN_TIMEOUT, call).await {
            Ok(Ok(replies)) => replies,
            Ok(Err(peer::Error::Unsent(_) | peer::Error::Unauthenticated)) => {
                return Err(Attempt::NotStarted);
            }
            Ok(Err(_)) => return Err(Attempt::Interrupted),
            Err(_) => {
                self.router.peers.disconnect(&owner.peer_addr);
                return Err(Attempt::Interrupted);
            }
        };
        let (sender, receiver) = mpsc::channel(REPLY_CAPACITY);
        tokio::spawn(async move {
            while let Ok(Some(reply)) = replies.next().await {
                if sender.send(reply).await.is_err() {
                    return;
                }
            }
        });
        Ok(receiver)
    }

    /// Forwards a reply to the caller. Returns the result of the attempt if this was the last reply.
    async fn forward(&mut self, reply: Reply) -> Option<Attempt> {
        let last = match &reply {
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
                return Some(Attempt::Finished);
            }
            _ => true,
        };
        if self.sender.send(reply).await.is_err() {
            return Some(Attempt::Disconnected);
        }
        last.then_some(Attempt::Finished)
    }

    fn advance(&mut self, reached: Position) {
        if let Operation::Call { position, .. } | Operation::Attach { position, .. } =
            &mut self.operation
        {
            *position = reached;
        }
    }
}
