use crate::quotas::account::QuotaAccount;
use crate::quotas::authority::QuotaRecord;
use crate::quotas::fleet::HeirOrder;
use crate::quotas::message::WorkspaceTag;

/// Workspaces of the largest fleet.
const WORKSPACES: usize = 2_500;
/// Its hosts.
const HOSTS: usize = 1_400;

/// Bytes of a hash map with `count` entries of `T`, whose table may be less than half full.
fn map_bytes<T>(count: usize) -> usize {
    (size_of::<T>() + 1) * (count * 8 / 7).next_power_of_two()
}

#[test]
fn test_state_of_all_workspaces_is_small() {
    let accounts = map_bytes::<(WorkspaceTag, QuotaAccount)>(WORKSPACES);
    let orders = map_bytes::<(WorkspaceTag, HeirOrder)>(WORKSPACES);
    // Ten times the records of an even draw among 54 hosts, each asked by all hosts of the largest fleet.
    let paced = WORKSPACES * 10 / 54;
    let records = map_bytes::<(WorkspaceTag, QuotaRecord)>(paced);
    let asking = map_bytes::<(u32, tokio::time::Instant)>(HOSTS) * WORKSPACES * 10 / HOSTS;
    let bytes = accounts + orders + records + asking;
    assert!(bytes < 4_000_000, "{bytes} bytes");
}
