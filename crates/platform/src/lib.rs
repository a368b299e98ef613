//! Client of the platform: its key-value service and its list of VMs.
//!
//! The key-value service speaks the JSON form of the etcd version 3 interface: ranges,
//! transactions guarded by a key's modification revision, leases, and watches. A call that times
//! out may have taken effect; [`kv::Error::Unknown`] says so, and callers settle it by reading.

pub mod kv;
pub mod vms;
mod wire;
