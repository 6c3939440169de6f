//! Draws the host that decides on a subject for all.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `host` among those that may decide on the subject with the tag `tag`.
///
/// Of the hosts that a host hears, the one with the greatest weight decides, so that all that hear the same
/// ones choose alike by their names (rendezvous hashing).
pub(crate) fn draw_weight(host: &str, tag: u32) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), u64::from(tag))
}
