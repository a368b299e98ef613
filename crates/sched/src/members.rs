//! Assignment of logs and endpoints to live daemons.
//!
//! Every daemon computes the same assignment from the same list of members by rendezvous hashing
//! with bounded load: each item goes to the member with the highest hash of the pair, skipping
//! members that already have their even share. When a member fails, its items are spread over the
//! others.

use crate::id::VmId;
use std::hash::{Hash, Hasher};
use twox_hash::XxHash64;

/// Assigns each item to one member.
///
/// Returns an index into `members` for each item, or an empty list if there are no members. Which
/// member an item goes to does not depend on the order of `members`.
pub fn assign<T: Hash>(items: &[T], members: &[VmId]) -> Vec<usize> {
    if members.is_empty() {
        return Vec::new();
    }
    let share = items.len().div_ceil(members.len());
    let mut load = vec![0; members.len()];
    items.iter().map(|item| pick(item, members, share, &mut load)).collect()
}

/// Returns the member with the highest weight among those with less than `share` items.
fn pick<T: Hash>(item: &T, members: &[VmId], share: usize, load: &mut [usize]) -> usize {
    let below_share = (0..members.len()).filter(|&index| load[index] < share);
    let best = below_share.max_by_key(|&index| (weight(item, &members[index]), &members[index]));
    let best = best.unwrap_or(0);
    load[best] += 1;
    best
}

/// Returns the hash weight of an item and a member, the same in every process.
pub fn weight<T: Hash>(item: &T, member: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    item.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}
