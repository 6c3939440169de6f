//! What a request with a given identifier asks for, and what its answer must be.

use xxhash_rust::xxh3::xxh3_64;

/// Events of the shortest answer.
const MIN_EVENTS: u64 = 4;
/// Events of online answers are below this.
const ONLINE_EVENTS: u64 = 24;
/// Events of batch items are below this.
const ITEM_EVENTS: u64 = 60;
/// Events of the answers to clients that leave early.
const LONG_EVENTS: u64 = 250;
/// End of the identifiers of requests whose client leaves early.
pub const LEAVE_SUFFIX: &str = "leaves";
/// One batch item in so many can never be done.
const POISON_ONE_IN: u64 = 40;
/// Start of the identifiers of batch items.
pub const ITEM_PREFIX: &str = "item";

/// Body of the request with identifier `id`.
pub fn body(id: &str) -> String {
    format!("work of {id}")
}

/// Number of events of the whole answer to `id`.
pub fn event_count(id: &str) -> u64 {
    let hash = xxh3_64(id.as_bytes());
    if id.ends_with(LEAVE_SUFFIX) {
        return LONG_EVENTS;
    }
    match id.starts_with(ITEM_PREFIX) {
        true => MIN_EVENTS + hash % (ITEM_EVENTS - MIN_EVENTS),
        false => MIN_EVENTS + hash % (ONLINE_EVENTS - MIN_EVENTS),
    }
}

/// Data of event `number`, counted from 1.
pub fn event_data(id: &str, number: u64) -> String {
    format!("{number} of {id}")
}

/// Data of all events, joined by line feeds.
pub fn whole_output(id: &str) -> String {
    let events: Vec<String> = (1..=event_count(id))
        .map(|number| event_data(id, number))
        .collect();
    events.join("\n")
}

/// Whether workers say of the batch item `id` that it can never be done.
pub fn is_poison(id: &str) -> bool {
    id.starts_with(ITEM_PREFIX)
        && xxh3_64(format!("poison {id}").as_bytes()).is_multiple_of(POISON_ONE_IN)
}
