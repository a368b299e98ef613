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
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// Address for peers.
    pub addr: CompactString,
    /// Number of its process.
    pub incarnation: u64,
    /// Its share of a processor core, in thousandths.
    pub cpu: u32,
}

/// Change of what lies in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint registered.
    Registered(Registration),
    /// An endpoint's registration is gone.
    #[serde(rename = "Vanished")]
    Deregistered(EndpointId),
    /// A daemon is live.
    Joined(Member),
    /// A daemon is gone.
    Left(VmId),
    /// The founders' terms changed, at this revision.
    Terms(Terms, u64),
    /// A founder has closed its books.
    Closed(Incarnation),
}

/// What changed since the frame before.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// The configuration, where it changed.
    pub table: Option<Table>,
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Revision of the key-value service up to which this holds.
    pub revision: u64,
}

/// What a gateway daemon believes of the configuration, the endpoints and its peers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct View {
    /// The configuration, where the asker has an older one.
    pub table: Option<Table>,
    /// Registered endpoints.
    pub registrations: Vec<Registration>,
    /// Live daemons.
    pub members: Vec<Member>,
    /// The founders' terms.
    #[serde(rename = "roll")]
    pub terms: TermView,
    /// Revision of the key-value service up to which this holds.
    pub revision: u64,
}

/// End of a turn, for the owner of its program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The program.
    pub program: ProgramId,
    /// The turn's request.
    pub request: RequestId,
    /// Process of the daemon that served the turn.
    pub daemon: VmId,
    /// Tokens that this process has handed out to the program so far.
    pub handed_out: Tokens,
}

/// A question of one gateway to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Reserves a turn of a program at the owner of its budget.
    Reserve(spend::ReservationRequest),
    /// Settles a turn at the owner of its program's budget; not answered.
    Settle(Settlement),
    /// Takes a program's budget over from the member that owned it or stood in.
    Inherit(ProgramId),
    /// Draws from a program's durable record for an owner that cannot reach it.
    Draw {
        /// The turn that needs the draw.
        #[serde(rename = "ask")]
        request: spend::ReservationRequest,
        /// Process of the owner.
        owner: VmId,
        /// What is drawn.
        draw: spend::Draw,
    },
    /// Books an engine of a data centre with its steward.
    Book {
        /// The data centre.
        dc: DcId,
        /// The turn.
        #[serde(rename = "ask")]
        request: coordinator::Request,
    },
    /// Ends the booking of a request; not answered.
    Release {
        /// The request.
        request: RequestId,
        /// The endpoint that was booked.
        endpoint: EndpointId,
        /// How it ended.
        end: coordinator::End,
    },
    /// Asks for the view, and then for what changes.
    #[serde(rename = "Follow")]
    Subscribe {
        /// Version of the configuration that the asker has.
        version: Option<Version>,
        /// Revision up to which its view holds; no view is sent that is not newer.
        revision: u64,
    },
}

/// What a draw from a durable record ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrawOutcome {
    /// Tokens that are drawn.
    Tokens(Tokens),
    /// The record leaves less than is needed.
    Exhausted,
    /// The record cannot be reached; it may be drawn from even so.
    Unreachable,
}

/// An answer of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The owner lives and waits for the platform; [`Response::Reserved`] follows.
    Pending,
    /// What became of a draw.
    Drawn(DrawOutcome),
    /// What the asked member leaves of a program.
    Inherited(spend::Transfer),
    /// What became of a booking.
    Booked(coordinator::Outcome),
    /// Whether a turn may run.
    Reserved(spend::Decision),
    /// The view; first frame for a follower, and again for one that fell behind.
    View {
        /// The view.
        view: Box<View>,
        /// Whether the sender watches the key-value service itself.
        watching: bool,
    },
    /// What changed; sent also when nothing did, so that silence means trouble.
    Changes {
        /// The changes.
        changes: Box<Changes>,
        /// Whether the sender watches the key-value service itself.
        watching: bool,
    },
}
