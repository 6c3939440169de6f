//! Bodies and expected answers of requests, derived from their identifiers.
//!
//! Workers and clients compute them independently, so that each answer can be verified. Each event
//! names the version of the software that wrote it.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Number of events of the shortest answer.
const MIN_EVENTS: u64 = 4;
/// Exclusive upper bound of the number of events of an online answer.
const ONLINE_EVENTS_LIMIT: u64 = 24;
/// Exclusive upper bound of the number of events of a batch item's answer.
const ITEM_EVENTS_LIMIT: u64 = 60;
/// Number of events of a long answer, which doesn't end before its client cancels it.
const LONG_EVENTS: u64 = 250;
/// Suffix of the identifiers of requests that their client cancels.
pub const CANCEL_SUFFIX: &str = "leaves";
/// Suffix of the identifiers of other requests and batch items with long answers.
pub const LONG_SUFFIX: &str = "long";
/// Time that a worker takes for a short answer that is no stream.
pub const WORK_TIME: Duration = Duration::from_millis(8);
/// Time between two events of an answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(8);
/// Text before the length in seconds at the end of the identifiers of requests whose answers take so
/// long.
const LENGTH_MARK: &str = "-for-";
/// Time between two events of these answers.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Text between the data of an event and the version that wrote it.
const VERSION_MARK: &str = " by ";
/// One in this many batch items is rejected by every worker.
const POISON_ONE_IN: u64 = 40;
/// Suffix of the identifiers of batch items that fail at each run (status 500).
const FAILING_SUFFIX: &str = "-fails";
/// Shortest time after which a worker fails such an item, in milliseconds, and exclusive upper bound of the
/// time that is added to it.
const FAIL_MS: (u64, u64) = (300, 570);
/// Prefix of the identifiers of batch items.
pub const ITEM_PREFIX: &str = "item";

/// Body of the request with the identifier `id`.
pub fn body(id: &str) -> String {
    format!("work of {id}")
}

/// Identifier that begins with `name`, of a request whose answer takes `seconds`.
pub fn lasting(name: &str, seconds: u64) -> String {
    format!("{name}{LENGTH_MARK}{seconds}")
}

/// Seconds that the answer to `id` takes, if the identifier says so.
fn length_s(id: &str) -> Option<u64> {
    id.rsplit_once(LENGTH_MARK)?.1.parse().ok()
}

/// Time between two events of the answer to `id`.
pub fn event_interval(id: &str) -> Duration {
    match length_s(id) {
        Some(_) => SLOW_EVENT_INTERVAL,
        None => EVENT_INTERVAL,
    }
}

/// Number of events of the complete answer to request `id`.
pub fn event_count(id: &str) -> u64 {
    let hash = xxh3_64(id.as_bytes());
    if let Some(seconds) = length_s(id) {
        return seconds * 1000 / SLOW_EVENT_INTERVAL.as_millis() as u64;
    }
    if id.ends_with(CANCEL_SUFFIX) || id.ends_with(LONG_SUFFIX) {
        return LONG_EVENTS;
    }
    match id.starts_with(ITEM_PREFIX) {
        true => MIN_EVENTS + hash % (ITEM_EVENTS_LIMIT - MIN_EVENTS),
        false => MIN_EVENTS + hash % (ONLINE_EVENTS_LIMIT - MIN_EVENTS),
    }
}

/// Data of event `number` of the answer to `id` by software of `version`; the first event has
/// number 1.
pub fn event_data(id: &str, number: u64, version: &str) -> String {
    format!("{number} of {id}{VERSION_MARK}{version}")
}

/// Data of all events of the answer to `id` by software of `version`, joined by line feeds, as a
/// batch result holds it.
pub fn whole_output(id: &str, version: &str) -> String {
    let events: Vec<String> = (1..=event_count(id))
        .map(|number| event_data(id, number, version))
        .collect();
    events.join("\n")
}

/// Versions of the software that wrote the events in `text`, of which the last line may be cut off.
pub fn versions(text: &str) -> BTreeSet<&str> {
    let lines = text.lines().count();
    let is_cut_off = |number: usize| number + 1 == lines && !text.ends_with('\n');
    let marked = text.lines().enumerate().filter_map(|(number, line)| {
        let (_, version) = line.rsplit_once(VERSION_MARK)?;
        Some((number, version))
    });
    let marked: Vec<(usize, &str)> = marked.collect();
    let first = marked.first().map(|(_, version)| *version);
    let whole = marked.iter().filter(|(number, _)| !is_cut_off(*number));
    whole.map(|(_, version)| *version).chain(first).collect()
}

/// Identifier that begins with `name`, of a batch item that fails at each run.
pub fn failing(name: &str) -> String {
    format!("{name}{FAILING_SUFFIX}")
}

/// Whether `id` is a batch item that fails at each run.
pub fn is_failing(id: &str) -> bool {
    id.starts_with(ITEM_PREFIX) && id.ends_with(FAILING_SUFFIX)
}

/// Time after which a worker fails the item `id`.
pub fn fail_time(id: &str) -> Duration {
    let (least, range) = FAIL_MS;
    Duration::from_millis(least + xxh3_64(id.as_bytes()) % range)
}

/// Time that a worker takes for an answer to `id` that is no stream.
pub fn work_time(id: &str) -> Duration {
    length_s(id).map_or(WORK_TIME, Duration::from_secs)
}

/// Whether workers reject `id` as a batch item that can never succeed (status 422).
pub fn is_poison(id: &str) -> bool {
    id.starts_with(ITEM_PREFIX)
        && xxh3_64(format!("poison {id}").as_bytes()).is_multiple_of(POISON_ONE_IN)
}
