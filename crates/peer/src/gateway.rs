//! Messages between gateway daemons.

use compact_str::CompactString;
use sched::coordinator;
use sched::fleet::Registration;
use sched::id::{DcId, EndpointId, ProgramId, RequestId, Tokens, Version, VmId};
use sched::route::Table;
use sched::spend;
use sched::term::{Incarnation, TermView, Terms};
use serde::{Deserialize, Serialize};

/// A live gateway daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM of the daemon.
    pub vm: VmId,
    /// Data centre of the VM.
    pub dc: DcId,
    /// Address at which it accepts calls from peers.
    pub addr: CompactString,
    /// Number of the daemon's process; a restarted daemon has another one.
    pub incarnation: u64,
    /// Share of a processor core that the daemon has, in thousandths.
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
    /// The founders' terms changed at this revision.
    Terms(Terms, u64),
    /// A founder recorded all tokens that it had handed out without a record, and stopped doing so.
    Closed(Incarnation),
}

/// Changes since the previous frame of a subscription.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// The configuration, if it changed.
    pub table: Option<Table>,
    /// The other changes, in order.
    pub changes: Vec<Change>,
    /// Revision of the key-value service up to which this holds.
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
    /// The founders' terms, with the founders that have recorded what they handed out.
    #[serde(rename = "roll")]
    pub terms: TermView,
    /// Revision of the key-value service up to which this holds.
    pub revision: u64,
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
    /// Takes over a program's budget from a member that was its owner or acted as its owner.
    Inherit(ProgramId),
    /// Draws tokens from a program's durable record on behalf of the budget's owner, which may be
    /// unable to reach the record.
    Draw {
        /// The turn that needs the draw.
        #[serde(rename = "ask")]
        request: spend::ReservationRequest,
        /// Process of the budget's owner.
        owner: VmId,
        /// The draw.
        draw: spend::Draw,
    },
    /// Books an endpoint in a data centre with the steward of the endpoints there.
    Book {
        /// The data centre.
        dc: DcId,
        /// The request to place.
        #[serde(rename = "ask")]
        request: coordinator::Request,
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
    /// Subscribes to the view and its changes.
    #[serde(rename = "Follow")]
    Subscribe {
        /// Version of the configuration that the subscriber has.
        version: Option<Version>,
        /// Revision up to which the subscriber's view holds; a view that is not newer is not sent.
        revision: u64,
    },
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
    /// The owner is alive but still waits for the platform; [`Response::Reserved`] follows.
    Pending,
    /// Outcome of a draw.
    Drawn(DrawOutcome),
    /// What the member knew of the program and hands over to its new owner.
    Inherited(spend::Transfer),
    /// Outcome of a request for a booking.
    Booked(coordinator::Outcome),
    /// Whether a turn may run.
    Reserved(spend::Decision),
    /// The whole view: the first frame of a subscription, and sent again when the subscriber fell
    /// behind.
    View {
        /// The view.
        view: Box<View>,
        /// Whether the sender itself watches the key-value service.
        watching: bool,
    },
    /// Changes; also sent when nothing changed, so that a silent daemon counts as failed.
    Changes {
        /// The changes.
        changes: Box<Changes>,
        /// Whether the sender itself watches the key-value service.
        watching: bool,
    },
}
