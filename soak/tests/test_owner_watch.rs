//! Changes of the owners of jobs in the store are counted.

use bytes::Bytes;
use parsleywall::edges::kv::KvChange;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvVersion;
use soak::owner_watch::LastOwners;

#[test]
fn test_last_owners() {
    let mut owners = LastOwners::default();
    // Key, value or none if it is deleted, whether that is another owner.
    let steps = [
        ("open/lot", Some("job"), false),
        ("open/lot", Some("changed"), false),
        ("open/lot/owner", Some("a"), false),
        ("open/lot/owner", Some("a"), false),
        ("open/lot/owner", Some("b"), true),
        ("open/other/owner", Some("a"), false),
        ("open/lot/owner", None, false),
        ("open/lot/owner", Some("b"), false),
        ("open/lot/owner", None, false),
        ("open/lot/owner", Some("a"), true),
    ];
    for (number, (key, value, expected)) in steps.into_iter().enumerate() {
        let (key, version) = (key.to_owned(), KvVersion(number as u64 + 1));
        let change = match value {
            Some(value) => KvChange::Put(KvEntry {
                key,
                value: Bytes::from(value),
                version,
            }),
            None => KvChange::Deleted { key, version },
        };
        assert_eq!(owners.note(change), expected, "step {number}");
    }
}
