//! Membership of the gateway daemons.
//!
//! Each daemon keeps a key under a lease in the key-value service. The owner of a program's budget
//! is the program's allocator (see [`sched::term`]) if it is live, and otherwise the member with
//! the highest rendezvous hash for the program. A member that cannot be reached is skipped for a
//! while, so the member with the next highest hash takes its place.

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use peer::gateway::Member;
use platform::kv::{Entry, Revision};
use sched::id::VmId;
use sched::members;
use sched::term::{Allocator, Incarnation, TermView, Terms};
use sched::versions::Register;
use serde::de::DeserializeOwned;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Prefix of the member keys.
///
/// The endpoint registrations have a prefix with the same first letter, so one watch covers both.
pub const PREFIX: &str = "scheduler/member/";
/// Key of the allocation terms.
pub const TERMS_KEY: &str = "scheduler/terms";
/// Key of the register of software versions.
pub const VERSIONS_KEY: &str = "scheduler/versions";
/// Prefix of the keys that hold durable records of which versions began streams.
///
/// The directory watch does not cover it: the records are read only after a loss of daemons.
pub const ORIGINS: &str = "origin/";
/// Prefix of the keys that mark closed allocators, which have recorded how much of their shares
/// they used.
pub const CLOSED: &str = "scheduler/closed/";
/// Prefix of the durable budget records.
pub const RECORDS: &str = "budget/";
/// Time for which a member that could not be reached is skipped.
const SUSPECT_TTL: Duration = Duration::from_secs(2);

/// Returns the key of the member on `vm`.
pub fn member_key(vm: &str) -> CompactString {
    format_compact!("{PREFIX}{vm}")
}

/// Returns the key that marks an allocator as closed.
pub fn closed_key(incarnation: Incarnation) -> CompactString {
    format_compact!("{CLOSED}{incarnation:x}")
}

/// Parses the key of a closed allocator.
pub fn closed_allocator(key: &str) -> Option<Incarnation> {
    Incarnation::from_str_radix(key.strip_prefix(CLOSED)?, 16).ok()
}

/// Decodes the terms and the revision at which they were written.
///
/// Logs an error and returns `None` if the value is malformed.
pub fn decode_terms(entry: &Entry) -> Option<(Terms, Revision)> {
    decode(entry)
}

/// Decodes the register of software versions and the revision at which it was written.
///
/// Logs an error and returns `None` if the value is malformed.
pub fn decode_versions(entry: &Entry) -> Option<(Register, Revision)> {
    decode(entry)
}

fn decode<T: DeserializeOwned>(entry: &Entry) -> Option<(T, Revision)> {
    match serde_json::from_slice(&entry.value) {
        Ok(value) => Some((value, entry.revision)),
        Err(error) => {
            log::error!(
                target: "platform", key = entry.key.as_str();
                "an entry of the daemons cannot be decoded: {error}"
            );
            None
        }
    }
}

/// Returns the key of a program's durable budget record.
pub fn record_key(program: &str) -> CompactString {
    format_compact!("{RECORDS}{program}")
}

/// Number of members that grant permits for the same endpoints if some of them are slow or gone.
const MAX_LINE: usize = 3;

/// Rank of a member as the coordinator of a service's endpoints in its data centre: the member with
/// the largest CPU share is first; the rendezvous hash breaks ties.
fn coordinator_rank(service: &str, member: &Member) -> (u32, u64) {
    (member.cpu, members::weight(&service, &member.vm))
}

/// Returns the coordinator of a service's endpoints in a data centre.
pub fn coordinator<'a>(
    service: &str,
    dc: &str,
    live: &'a IndexMap<VmId, Member>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let local = live.values().filter(|member| member.dc == dc);
    let reachable = local.filter(|member| !suspects.contains(&member.vm, now));
    reachable.max_by_key(|member| coordinator_rank(service, member))
}

/// Returns the coordinator of a service's endpoints in a data centre and the members that stand in
/// for it, in this order.
pub fn coordinator_line<'a>(
    service: &str,
    dc: &str,
    live: &'a IndexMap<VmId, Member>,
) -> Vec<&'a Member> {
    let mut line: Vec<&Member> = live.values().filter(|member| member.dc == dc).collect();
    line.sort_by_key(|member| std::cmp::Reverse(coordinator_rank(service, member)));
    line.truncate(MAX_LINE);
    line
}

/// Returns the member that owns the budget of `program` next if `me` fails.
pub fn successor<'a>(
    program: &str,
    live: &'a IndexMap<VmId, Member>,
    me: &str,
) -> Option<&'a Member> {
    highest_ranked(program, live.values().filter(|member| member.vm != me))
}

/// Number of delegates in a small fleet.
const MIN_DELEGATES: usize = 3;
/// Number of members per additional delegate in a large fleet.
const MEMBERS_PER_DELEGATE: usize = 48;

/// Returns the number of members that watch the key-value service on behalf of the others.
pub fn delegate_count(members: usize) -> usize {
    MIN_DELEGATES + members / MEMBERS_PER_DELEGATE
}

/// Returns the addresses of the members that watch the key-value service on behalf of the others.
pub fn delegates(live: &IndexMap<VmId, Member>) -> Vec<CompactString> {
    let count = delegate_count(live.len());
    let mut ranked: Vec<&Member> = live.values().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(members::weight(&"delegate", &member.vm)));
    ranked.into_iter().take(count).map(|member| member.addr.clone()).collect()
}

/// Number of members for which one member deals quotas.
const MEMBERS_PER_GRANTOR: usize = 400;

/// Returns the number of members that deal quotas, each those of a stripe of customers.
pub fn grantor_count(members: usize) -> usize {
    1 + members / MEMBERS_PER_GRANTOR
}

/// Returns the member that deals the quotas of a stripe of customers, other than `avoided`.
pub fn grantor<'a>(
    stripe: usize,
    live: &'a IndexMap<VmId, Member>,
    avoided: Option<&str>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let reachable = live.values().filter(|member| {
        avoided != Some(member.vm.as_str()) && !suspects.contains(&member.vm, now)
    });
    reachable.max_by_key(|member| (member.cpu, members::weight(&("quota", stripe), &member.vm)))
}

/// Number of members for which one writer draws.
const MEMBERS_PER_WRITER: usize = 400;

/// Returns the member that draws from `program`'s record on behalf of its owner, in batches.
pub fn writer<'a>(
    program: &str,
    live: &'a IndexMap<VmId, Member>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let count = 1 + live.len() / MEMBERS_PER_WRITER;
    let mut ranked: Vec<&Member> =
        live.values().filter(|member| !suspects.contains(&member.vm, now)).collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(members::weight(&"writer", &member.vm)));
    ranked.get(stripe(program, count)).copied()
}

/// Returns the index of the stripe, out of `count`, that a program belongs to.
pub fn stripe(program: &str, count: usize) -> usize {
    (members::weight(&program, "") % count as u64) as usize
}

/// Members that recently could not be reached.
#[derive(Default)]
pub struct Suspects(Mutex<IndexMap<VmId, Instant>>);

impl Suspects {
    fn lock(&self) -> MutexGuard<'_, IndexMap<VmId, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a member as unreachable for a while.
    pub fn suspect(&self, vm: &str, now: Instant) {
        self.lock().insert(vm.into(), now + SUSPECT_TTL);
    }

    /// Marks a member as reachable again.
    pub fn clear(&self, vm: &str) {
        self.lock().swap_remove(vm);
    }

    /// Returns whether a member is currently skipped.
    pub fn contains(&self, vm: &str, now: Instant) -> bool {
        self.lock().get(vm).is_some_and(|until| now < *until)
    }
}

/// Returns the member of `live` that owns the budget of `program`.
///
/// The program's allocator comes first because it can grant its share without a durable record. If
/// it is closed, gone or unreachable, the owner is the member with the highest rendezvous hash.
pub fn owner<'a>(
    program: &str,
    terms: &TermView,
    live: &'a IndexMap<VmId, Member>,
    suspects: &Suspects,
    now: Instant,
) -> Option<&'a Member> {
    let reachable = |member: &&Member| !suspects.contains(&member.vm, now);
    let allocator = terms.allocator(program).filter(|allocator| !terms.is_closed(allocator));
    let allocator = allocator.and_then(|allocator| find_member(allocator, live));
    allocator.filter(reachable).or_else(|| highest_ranked(program, live.values().filter(reachable)))
}

/// Returns the identity of a member's process.
pub fn process(member: &Member) -> Allocator {
    Allocator { vm: member.vm.clone(), incarnation: member.incarnation }
}

/// Finds the member whose process is `process`.
///
/// A later process on the same VM does not match.
pub fn find_member<'a>(
    process: &Allocator,
    live: &'a IndexMap<VmId, Member>,
) -> Option<&'a Member> {
    live.get(&process.vm).filter(|member| member.incarnation == process.incarnation)
}

/// Returns the member with the highest rendezvous hash for a program.
fn highest_ranked<'a>(
    program: &str,
    candidates: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    candidates.max_by_key(|member| members::weight(&program, &member.vm))
}
