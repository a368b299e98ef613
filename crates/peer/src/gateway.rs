//! Messages between gateway daemons.

use compact_str::CompactString;
use sched::coordinator;
use sched::fleet::Registration;
use sched::id::{DcId, EndpointId, ProgramId, RequestId, SoftwareVersion, Tokens, Version, VmId};
use sched::limit;
use sched::quarantine::{Accusation, Fingerprints, Verdict};
use sched::quota;
use sched::route::Table;
use sched::spend;
use sched::term::{Incarnation, TermView, Terms};
use sched::versions::Register;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A live gateway daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM of the daemon.
    pub vm: VmId,
    /// Data centre of the VM.
    pub dc: DcId,
    /// Address at which it accepts calls from peers.
    pub addr: CompactString,
    /// Random number that identifies the daemon's process; a restarted daemon has another one.
    pub incarnation: u64,
    /// Share of a CPU core available to the daemon, in thousandths.
    pub cpu: u32,
}

/// A change of the state that the key-value service holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint registered or changed its registration.
    Registered(Registration),
    /// An endpoint's registration was removed.
    #[serde(rename = "Vanished")]
    Deregistered(EndpointId),
    /// A daemon became live.
    Joined(Member),
    /// A daemon is no longer live.
    Left(VmId),
    /// The allocation terms changed at this revision.
    Terms(Terms, u64),
    /// The register of software versions changed at this revision.
    Versions(Register, u64),
    /// An allocator closed its ledger: it recorded the tokens that it had handed out of its shares,
    /// and hands out no more.
    Closed(Incarnation),
}

/// Changes since the previous frame of a subscription.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// The configuration, if it changed.
    pub table: Option<Table>,
    /// The other changes, in order.
    pub changes: Vec<Change>,
    /// Revision of the key-value service up to which the changes are complete.
    pub revision: u64,
}

/// A gateway daemon's view of the configuration, the endpoints and its peers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct View {
    /// The configuration, if the subscriber has an older version.
    pub table: Option<Table>,
    /// Registered endpoints.
    pub registrations: Vec<Registration>,
    /// Live daemons.
    pub members: Vec<Member>,
    /// The allocation terms, with the allocators that have closed their ledgers.
    #[serde(rename = "roll")]
    pub terms: TermView,
    /// The register of software versions, with the revision at which it was written.
    pub versions: (Register, u64),
    /// Revision of the key-value service up to which the view is current.
    pub revision: u64,
}

/// Age of the view that an update comes from, see [`sched::freshness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Age of the sender's view; `None` if it was never confirmed.
    pub age: Option<Duration>,
    /// Time since the sender's subscription began.
    pub sent: Duration,
}

/// Settlement of a finished turn with the owner of its program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The program.
    pub program: ProgramId,
    /// Request of the turn.
    pub request: RequestId,
    /// Process of the daemon that served the turn; a restarted daemon counts as another one.
    pub daemon: VmId,
    /// Tokens that this process has handed out to the program so far.
    pub handed_out: Tokens,
}

/// A command from one gateway daemon to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Reserves a turn of a program at the owner of its budget.
    Reserve(spend::ReservationRequest),
    /// Settles a turn at the owner of its program's budget; gets no response.
    Settle(Settlement),
    /// Takes over a program's account from a member that may have owned the program's budget.
    Inherit(ProgramId),
    /// Draws tokens from a program's durable record on behalf of the budget's owner.
    ///
    /// The owner sends this to a writer, which batches draws, or to any other daemon if it cannot
    /// reach the record itself.
    Draw {
        /// The turn that needs the draw.
        #[serde(rename = "ask")]
        request: spend::ReservationRequest,
        /// Process of the budget's owner.
        owner: VmId,
        /// The draw.
        draw: spend::Draw,
    },
    /// Books an endpoint in a data centre with the coordinator of the endpoints there.
    Book {
        /// The data centre.
        dc: DcId,
        /// The request to place.
        #[serde(rename = "ask")]
        request: coordinator::Request,
        /// Daemon that sends the request.
        daemon: VmId,
        /// Rate limits that the daemon observed and has not reported to this coordinator yet.
        reports: Vec<limit::Report>,
    },
    /// Reports the rate limits in force and the permits granted for them to a daemon that may grant
    /// permits for the same endpoints.
    Limits {
        /// Daemon that sends the reports.
        daemon: VmId,
        /// The reports.
        reports: Vec<limit::Report>,
    },
    /// Releases the booking of a request; gets no response.
    Release {
        /// The request.
        request: RequestId,
        /// The endpoint that was booked.
        endpoint: EndpointId,
        /// How the request ended at the endpoint.
        end: coordinator::End,
    },
    /// Reports use of and demand for customers' quotas to a grantor.
    Quota(quota::Report),
    /// Records which software version sent the first event of a stream; gets no response.
    Began {
        /// Client's attempt that brought the event.
        request: RequestId,
        /// Version of the endpoint's software.
        version: SoftwareVersion,
        /// Whether the receiver writes the record to the key-value service, too.
        durable: bool,
    },
    /// Asks which software version began the stream of this client's attempt.
    FindOrigin(RequestId),
    /// Subscribes to the view and its changes.
    #[serde(rename = "Follow")]
    Subscribe {
        /// Version of the configuration that the subscriber has.
        version: Option<Version>,
        /// Revision up to which the subscriber's view is current; a view that is not newer is not
        /// sent.
        revision: u64,
    },
    /// Reports requests that were at endpoints whose processes ended; gets no response.
    Accuse(Vec<Accusation>),
    /// Reports that a suspected request completed; gets no response.
    Absolve(Fingerprints),
    /// Passes on which requests are quarantined; gets no response.
    Quarantine(Vec<Verdict>),
}

/// Outcome of a draw from a durable record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrawOutcome {
    /// The draw took effect and yielded this number of tokens.
    Tokens(Tokens),
    /// The record has fewer tokens left than the draw needs.
    Exhausted,
    /// The record could not be reached; the draw may have taken effect nevertheless.
    Unreachable,
}

/// Response of a gateway daemon to a [`Command`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The owner is alive but still waits for the key-value service or another peer;
    /// [`Response::Reserved`] follows.
    Pending,
    /// Outcome of a draw.
    Drawn(DrawOutcome),
    /// Reply to [`Command::Inherit`]: the program's account, if the member had one.
    Inherited(spend::Transfer),
    /// The reports of [`Command::Limits`] are merged.
    Noted,
    /// Reply to [`Command::Quota`]: what the coordinator holds from now on.
    Quota(quota::Answer),
    /// Version that began a stream; `None` if the daemon has no record of it.
    Origin(Option<SoftwareVersion>),
    /// Outcome of a booking.
    Booked(coordinator::Outcome),
    /// Decision on a reservation: whether the turn may run.
    Reserved(spend::Decision),
    /// The whole view: the first frame of a subscription, and sent again when the subscriber fell
    /// behind.
    View {
        /// The view.
        view: Box<View>,
        /// Age of the sender's view.
        stamp: Stamp,
    },
    /// Changes since the previous frame; also sent at intervals while nothing changes, so that the
    /// subscriber notices when the sender fails.
    Changes {
        /// The changes.
        changes: Box<Changes>,
        /// Age of the sender's view.
        stamp: Stamp,
    },
    /// Changes to the quarantined requests since the previous frame of a subscription.
    Quarantined(Vec<Verdict>),
}
