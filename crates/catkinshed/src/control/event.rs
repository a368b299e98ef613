//! Events that the control thread takes.

use crate::io::commit;
use crate::io::takeover::{Failure, Ownership};
use crate::io::{completion, service};
use peer::wire::{Operation, Principal, Query, Reply, Report, Status};
use platform::kv::{LeaseId, Revision};
use platform::vms::Vm;
use sched::config::{Change, Config};
use sched::id::{AccountId, CallId, EndpointId, Epoch, LogId, ProgramId, Tokens};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Where the answer to an operation goes.
pub type ReplySender = mpsc::Sender<Reply>;

/// One attempt at one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// Log of the program.
    pub log: LogId,
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Number of the attempt, unique in this daemon.
    pub attempt: u64,
}

/// Something that the control thread has to decide on.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An operation on a program.
    Operation {
        /// Who asks.
        principal: Principal,
        /// What is asked.
        operation: Box<Operation>,
        /// Where the answer goes.
        replies: ReplySender,
    },
    /// A question of the operators.
    Query(Query, oneshot::Sender<Status>),
    /// The configuration as of a snapshot.
    ConfigSnapshot(Box<Config>),
    /// All configuration changes that exist have been delivered.
    ConfigLoaded,
    /// The next configuration change.
    ConfigChange(Box<Change>),
    /// The configuration in force is asked for.
    GetConfig(oneshot::Sender<Config>),
    /// The list of VMs was read.
    VmList(Vec<Vm>),
    /// The lease was taken, renewed or lost.
    LeaseUpdate {
        /// The lease, unless it was lost.
        lease: Option<LeaseId>,
        /// When the renewal was asked for.
        requested_at: Instant,
    },
    /// The key-value service answered a write, or did not.
    PlatformReachable(bool),
    /// A takeover ended.
    TakeoverEnded {
        /// The log.
        log: LogId,
        /// Its state, or why it was not taken over.
        result: Box<Result<Ownership, Failure>>,
    },
    /// A claim made again after a lapse ended.
    ReclaimEnded {
        /// The log.
        log: LogId,
        /// Lease of the claim.
        lease: LeaseId,
        /// Revision of the owner key, or why it is not held.
        result: Result<Revision, Failure>,
    },
    /// A commit ended.
    CommitEnded {
        /// The log.
        log: LogId,
        /// Epoch of the commit.
        epoch: Epoch,
        /// How it ended.
        end: commit::Outcome,
    },
    /// A draw from an account ended.
    DrawEnded {
        /// The log.
        log: LogId,
        /// Epoch of the draw.
        epoch: Epoch,
        /// The account.
        account: AccountId,
        /// The log's grant, unless it could not be learned.
        tokens: Option<Tokens>,
        /// Whether the key-value service was out of reach.
        platform_down: bool,
    },
    /// Tokens arrived.
    Progress {
        /// The attempt.
        key: AttemptKey,
        /// What arrived.
        progress: completion::Progress,
    },
    /// An order to an engine ended.
    ModelEnded {
        /// The attempt.
        key: AttemptKey,
        /// How it ended.
        end: completion::Outcome,
    },
    /// A request to a plain service ended.
    ServiceEnded {
        /// The attempt.
        key: AttemptKey,
        /// How it ended.
        end: service::Outcome,
        /// Time that it took.
        elapsed: Duration,
    },
    /// An engine released a program's memory.
    PinReleased {
        /// The log.
        log: LogId,
        /// The engine.
        endpoint: EndpointId,
        /// The program.
        program: ProgramId,
    },
    /// An engine named the programs that it holds memory for.
    PinList {
        /// The engine.
        endpoint: EndpointId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// A peer told its state.
    Report(Report),
    /// The daemon is to stop; answered when no log is left.
    Stop(oneshot::Sender<()>),
    /// The control thread is to end.
    Quit,
}

/// Sender of events.
#[derive(Clone, Debug)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Opens the channel to a control thread.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends an event; after the control thread has ended, the event is dropped.
    pub fn send(&self, event: Event) {
        // Only a daemon that has stopped has no receiver.
        let _ = self.0.send(event);
    }
}
