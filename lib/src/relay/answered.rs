//! Requests that upstreams have answered lately, which need new connections if they are sent there again.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::collections::HashSet;
use crate::http::pools::MAX_IDLE_TIME;
use crate::ids::RequestId;
use crate::ids::UpstreamId;

/// Age of the younger generation at which neither can hold an identifier that still counts.
const GENERATION_KEEP_TIME: Duration = MAX_IDLE_TIME.saturating_mul(2);

/// Identifiers of the requests that upstreams have answered completely within the last
/// [`MAX_IDLE_TIME`].
///
/// A faulty upstream may send an answer again, where the next one on the same connection is
/// expected. That copy passes for the answer to any request under the same identifier: another run
/// of a batch item, or a caller's repetition. As long as the connection of an answer may be pooled,
/// such a request must not be sent on a pooled connection.
#[derive(Debug, Default)]
pub(crate) struct AnsweredRequests {
    generations: Mutex<AnsweredGenerations>,
}

/// Hashes of identifiers and upstreams in two generations, of which the older one is dropped as a whole.
#[derive(Debug, Default)]
struct AnsweredGenerations {
    younger: HashSet<u64>,
    older: HashSet<u64>,
    /// When the younger generation began; `None` before the first answer.
    began: Option<Instant>,
}

impl AnsweredRequests {
    /// Records that `upstream` has answered the request `id` completely.
    pub(crate) fn record(&self, id: &RequestId, upstream: &UpstreamId, now: Instant) {
        self.lock_at(now).younger.insert(answer_hash(id, upstream));
    }

    /// Whether a copy of an answer to the request `id` may arrive on a pooled connection to `upstream`.
    /// May also be true for another request.
    pub(crate) fn contains(&self, id: &RequestId, upstream: &UpstreamId, now: Instant) -> bool {
        let hash = answer_hash(id, upstream);
        let generations = self.lock_at(now);
        generations.younger.contains(&hash) || generations.older.contains(&hash)
    }

    fn lock_at(&self, now: Instant) -> MutexGuard<'_, AnsweredGenerations> {
        let mut generations = self.generations.lock().expect("answered requests lock");
        let age = now.saturating_duration_since(*generations.began.get_or_insert(now));
        if age >= MAX_IDLE_TIME {
            generations.older = match age < GENERATION_KEEP_TIME {
                true => std::mem::take(&mut generations.younger),
                false => HashSet::default(),
            };
            generations.younger = HashSet::default();
            generations.began = Some(now);
        }
        generations
    }
}

fn answer_hash(id: &RequestId, upstream: &UpstreamId) -> u64 {
    let seed = xxh3_64(upstream.as_str().as_bytes());
    xxh3_64_with_seed(id.as_str().as_bytes(), seed)
}
