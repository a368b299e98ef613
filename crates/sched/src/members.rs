//! Assignment of logs and endpoints to live daemons.
//!
//! Every daemon computes the same assignment from the same list of members: each item goes to the
//! member with the highest hash of the pair, skipping members that already hold their even share.
//! A member's death moves only its own items and spreads them over the others.

use crate::id::VmId;
use std::hash::{Hash, Hasher};
use twox_hash::XxHash64;

/// Assigns each item to one member.
///
/// Returns, for each item, an index into `members`; nothing when there are no members. The result
/// does not depend on the order of `members`.
pub fn assign<T: Hash>(items: &[T], members: &[VmId]) -> Vec<usize> {
    if members.is_empty() {
        return Vec::new();
    }
    let share = items.len().div_ceil(members.len());
    let mut load = vec![0; members.len()];
    items.iter().map(|item| pick(item, members, share, &mut load)).collect()
}

fn pick<T: Hash>(item: &T, members: &[VmId], share: usize, load: &mut [usize]) -> usize {
    let open = (0..members.len()).filter(|&index| load[index] < share);
    let best = open.max_by_key(|&index| (weight(item, &members[index]), &members[index]));
    let best = best.unwrap_or(0);
    load[best] += 1;
    best
}

/// Deterministic weight of a pair.
pub fn weight<T: Hash>(item: &T, member: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    item.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}
