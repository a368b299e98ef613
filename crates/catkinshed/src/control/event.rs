//! Events that the control thread processes.

use crate::traffic::commit;
use crate::traffic::takeover::{Failure, Ownership};
use crate::traffic::{model, service};
use peer::wire::{Operation, Principal, Query, Reply, Report, Status};
use platform::kv::{LeaseId, Revision};
use platform::vms::Vm;
use sched::config::{Change, Config};
use sched::id::{AccountId, CallId, EndpointId, Epoch, LogId, ProgramId, Tokens};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Channel for the replies to an operation.
pub type ReplySender = mpsc::Sender<Reply>;

/// Identifies one attempt to run a call at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// Log that contains the program.
    pub log: LogId,
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Number of the attempt, unique within this daemon process.
    pub attempt: u64,
}

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// A tick of [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
    /// An operation on a program.
    Operation {
        /// Team or operator that requested the operation.
        principal: Principal,
        /// The operation.
        operation: Box<Operation>,
        /// Receives the replies.
        replies: ReplySender,
    },
    /// A query from an operator, and the channel for the answer.
    Query(Query, oneshot::Sender<Status>),
    /// The configuration was read from a snapshot.
    ConfigSnapshot(Box<Config>),
    /// All configuration changes that existed when the daemon started were delivered.
    ConfigLoaded,
    /// The next configuration change was read.
    ConfigChange(Box<Change>),
    /// A request for the current configuration.
    GetConfig(oneshot::Sender<Config>),
    /// The list of VMs was read.
    VmList(Vec<Vm>),
    /// The lease was obtained, renewed or lost.
    LeaseUpdate {
        /// The lease, unless it was lost.
        lease: Option<LeaseId>,
        /// When the request for the lease or its renewal was sent.
        requested_at: Instant,
    },
    /// The key-value service answered a request (`true`) or did not (`false`).
    PlatformReachable(bool),
    /// A takeover of a log succeeded or failed.
    TakeoverEnded {
        /// The log.
        log: LogId,
        /// Ownership of the log, or why the takeover failed.
        result: Box<Result<Ownership, Failure>>,
    },
    /// A new claim on an owned log whose lease had expired succeeded or failed.
    ReclaimEnded {
        /// The log.
        log: LogId,
        /// Lease that the new claim is bound to.
        lease: LeaseId,
        /// Revision of the owner key, or why the claim failed.
        result: Result<Revision, Failure>,
    },
    /// A commit succeeded or failed.
    CommitEnded {
        /// The log.
        log: LogId,
        /// Epoch in which the commit was started.
        epoch: Epoch,
        /// Result of the commit.
        result: commit::Outcome,
    },
    /// A draw of tokens from an account succeeded or failed.
    DrawEnded {
        /// The log.
        log: LogId,
        /// Epoch in which the draw was started.
        epoch: Epoch,
        /// The account.
        account: AccountId,
        /// The log's grant after the draw, or `None` if the draw failed.
        tokens: Option<Tokens>,
        /// Whether the draw failed because the key-value service did not answer.
        platform_down: bool,
    },
    /// An engine delivered tokens.
    Progress {
        /// The attempt.
        key: AttemptKey,
        /// Tokens delivered since the last progress event.
        progress: model::Progress,
    },
    /// A request to an engine ended.
    ModelEnded {
        /// The attempt.
        key: AttemptKey,
        /// Result of the request.
        result: model::Outcome,
    },
    /// A request to a plain service ended.
    ServiceEnded {
        /// The attempt.
        key: AttemptKey,
        /// Result of the request.
        result: service::Outcome,
        /// Duration of the request.
        elapsed: Duration,
    },
    /// An engine released the memory that it held for a program.
    PinReleased {
        /// The log.
        log: LogId,
        /// The engine.
        endpoint: EndpointId,
        /// The program.
        program: ProgramId,
    },
    /// An engine listed the programs that it holds memory for.
    PinList {
        /// The engine.
        endpoint: EndpointId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// A peer reported its load and the slow endpoints that it observes.
    Report(Report),
    /// A request to hand off all logs; answered when none is left.
    Stop(oneshot::Sender<()>),
    /// A request to end the control thread.
    Quit,
}

/// Sends events to the control thread.
#[derive(Clone, Debug)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Creates a channel to a control thread.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends an event; drops it if the control thread has ended.
    pub fn send(&self, event: Event) {
        // The receiver is gone only after the daemon has stopped.
        let _ = self.0.send(event);
    }
}
