//! Membership of the gateway daemons.
//!
//! Each daemon keeps a key under a lease in the key-value service. The owner of a program's budget is
//! its founder (see [`sched::term`]), and else the member with the highest hash of the pair; a member
//! that cannot be reached is passed over for a while, so the next one in that order takes its place.

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use peer::gateway::Member;
use platform::kv::{Entry, Revision};
use sched::id::VmId;
use sched::members;
use sched::term::{Allocator, Incarnation, TermView, Terms};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Prefix of the members' keys.
///
/// It shares its first letter with the endpoints' registrations, so one watch covers both.
pub const PREFIX: &str = "scheduler/member/";
/// Key of the founders' terms.
pub const TERMS_KEY: &str = "scheduler/terms";
/// Prefix of the keys of the founders that have closed their books.
pub const CLOSED: &str = "scheduler/closed/";
/// Prefix of the programs' durable budget records.
pub const RECORDS: &str = "budget/";
/// Time for which a member that could not be reached is passed over.
const SUSPECT_FOR: Duration = Duration::from_secs(2);

/// Key of a member.
pub fn member_key(vm: &str) -> CompactString {
    format_compact!("{PREFIX}{vm}")
}

/// Key of a founder that has closed its books.
pub fn closed_key(incarnation: Incarnation) -> CompactString {
    format_compact!("{CLOSED}{incarnation:x}")
}

/// The founder that has closed its books, by its key.
pub fn closed_founder(key: &str) -> Option<Incarnation> {
    Incarnation::from_str_radix(key.strip_prefix(CLOSED)?, 16).ok()
}

/// Reads the founders' terms and the revision at which they were written; what cannot be read counts as
/// none, with a log line.
pub fn terms(entry: &Entry) -> Option<(Terms, Revision)> {
    match serde_json::from_slice(&entry.value) {
        Ok(terms) => Some((terms, entry.revision)),
        Err(error) => {
            log::error!(target: "budget", "the founders' terms cannot be read: {error}");
            None
        }
    }
}

/// Key of a program's durable budget record.
pub fn record_key(program: &str) -> CompactString {
    format_compact!("{RECORDS}{program}")
}

/// The steward of a service's engines in a data centre: one of the strongest members there.
pub fn steward<'a>(
    service: &str,
    dc: &str,
    live: &'a IndexMap<VmId, Member>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let near = live.values().filter(|member| member.dc == dc);
    let heard = near.filter(|member| !suspects.contains(&member.vm, now));
    heard.max_by_key(|member| (member.cpu, members::weight(&service, &member.vm)))
}

/// The member that takes over the budget of `program` when `me` is lost.
pub fn successor<'a>(
    program: &str,
    live: &'a IndexMap<VmId, Member>,
    me: &str,
) -> Option<&'a Member> {
    first(program, live.values().filter(|member| member.vm != me))
}

/// Delegates of a small fleet.
const MIN_DELEGATES: usize = 3;
/// Followers that one delegate serves in a large fleet.
const FOLLOWERS_PER_DELEGATE: usize = 48;

/// Addresses of the members that watch the key-value service for the others.
pub fn delegates(live: &IndexMap<VmId, Member>) -> Vec<CompactString> {
    let count = MIN_DELEGATES + live.len() / FOLLOWERS_PER_DELEGATE;
    let mut ranked: Vec<&Member> = live.values().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(members::weight(&"delegate", &member.vm)));
    ranked.into_iter().take(count).map(|member| member.addr.clone()).collect()
}

/// Daemons for which one writer draws.
const DAEMONS_PER_WRITER: usize = 400;

/// The member that draws from `program`'s record for its owner, together with other draws.
pub fn writer<'a>(
    program: &str,
    live: &'a IndexMap<VmId, Member>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let count = 1 + live.len() / DAEMONS_PER_WRITER;
    let mut ranked: Vec<&Member> =
        live.values().filter(|member| !suspects.contains(&member.vm, now)).collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(members::weight(&"writer", &member.vm)));
    ranked.get(stripe(program, count)).copied()
}

/// Number of the stripe, among `count`, that a program belongs to.
pub fn stripe(program: &str, count: usize) -> usize {
    (members::weight(&program, "") % count as u64) as usize
}

/// Members that could not be reached lately.
#[derive(Default)]
pub struct Suspects(Mutex<IndexMap<VmId, Instant>>);

impl Suspects {
    fn lock(&self) -> MutexGuard<'_, IndexMap<VmId, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a member could not be reached.
    pub fn suspect(&self, vm: &str, now: Instant) {
        self.lock().insert(vm.into(), now + SUSPECT_FOR);
    }

    /// Notes that a member answered.
    pub fn clear(&self, vm: &str) {
        self.lock().swap_remove(vm);
    }

    /// Tells whether a member is passed over.
    pub fn contains(&self, vm: &str, now: Instant) -> bool {
        self.lock().get(vm).is_some_and(|until| now < *until)
    }
}

/// The owner of `program` among `live`: its founder, which needs no record, or else the first in the
/// program's order.
pub fn owner<'a>(
    program: &str,
    roll: &TermView,
    live: &'a IndexMap<VmId, Member>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let heard = |member: &&Member| !suspects.contains(&member.vm, now);
    let founder = roll.allocator(program).filter(|founder| !roll.is_closed(founder));
    let founder = founder.and_then(|founder| member_of(founder, live));
    founder.filter(heard).or_else(|| first(program, live.values().filter(heard)))
}

/// The process behind a member key.
pub fn process(member: &Member) -> Allocator {
    Allocator { vm: member.vm.clone(), incarnation: member.incarnation }
}

/// The member whose process is this founder; another process on its VM is not.
pub fn member_of<'a>(founder: &Allocator, live: &'a IndexMap<VmId, Member>) -> Option<&'a Member> {
    live.get(&founder.vm).filter(|member| member.incarnation == founder.incarnation)
}

/// The first of some members in a program's order.
fn first<'a>(program: &str, among: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    among.max_by_key(|member| members::weight(&program, &member.vm))
}
