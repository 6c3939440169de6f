//! Stand-in of the platform's metadata store, a process of its own, so that it can be stopped.
//!
//! A call that waits in a connection while the process is stopped is executed when it goes on, and
//! leases pause meanwhile, as the pages allow. Keys with `op/` and `servers/` are written through
//! the same calls.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::quoted;
use crate::sys;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const TICK: Duration = Duration::from_millis(20);
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    rev: u64,
    /// `None` for a removal.
    item: Option<Item>,
    at_ms: u64,
}

struct Lease {
    ttl_ms: u64,
    ends_ms: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    /// Time for which the process ran.
    now_ms: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// What stale reads show, up to a number of changes.
    stale: BTreeMap<String, Item>,
    stale_changes: usize,
    stale_rev: u64,
}

impl State {
    fn write(&mut self, key: &str, item: Option<Item>) {
        let rev = self.rev;
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        let at_ms = self.now_ms;
        self.changes.push(Change {
            key: key.to_owned(),
            rev,
            item,
            at_ms,
        });
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.write(&key, None);
        }
        true
    }

    fn pass_time(&mut self, time: Duration) {
        self.now_ms += time.as_millis() as u64;
        let ended = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_ms <= self.now_ms);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn refresh_stale(&mut self, stale_ms: u64) {
        while let Some(change) = self.changes.get(self.stale_changes)
            && change.at_ms + stale_ms <= self.now_ms
        {
            match &change.item {
                Some(item) => self.stale.insert(change.key.clone(), item.clone()),
                None => self.stale.remove(&change.key),
            };
            self.stale_rev = change.rev;
            self.stale_changes += 1;
        }
    }
}

struct Store {
    state: Mutex<State>,
    changed: Condvar,
    stale_ms: u64,
}

/// Serves a store on `address` until the process is killed. The queue of new connections holds `backlog`
/// of them, and stale reads are `stale_ms` old.
pub fn serve(address: &str, backlog: i32, stale_ms: u64) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    sys::set_backlog(listener.as_raw_fd(), backlog)?;
    println!("{}", listener.local_addr()?);
    std::io::stdout().flush()?;
    let state = State {
        rev: 1,
        next_lease: 1,
        stale_rev: 1,
        ..State::default()
    };
    let store = Store {
        state: Mutex::new(state),
        changed: Condvar::new(),
        stale_ms,
    };
    let store = Arc::new(store);
    let ticking = store.clone();
    std::thread::spawn(move || {
        let mut last = Instant::now();
        loop {
            std::thread::sleep(TICK);
            // A long gap is a stop of this process, in which leases pause.
            let gap = last.elapsed().min(TICK * 5);
            last = Instant::now();
            ticking.state.lock().unwrap().pass_time(gap);
            ticking.changed.notify_all();
        }
    });
    for stream in listener.incoming().flatten() {
        let store = store.clone();
        std::thread::spawn(move || {
            let _ = store.serve_connection(stream);
        });
    }
    Ok(())
}

impl Store {
    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let body = String::from_utf8_lossy(&body);
            let (status, answer) = self.answer(&head, &body);
            std::thread::sleep(ANSWER_TIME);
            let json = [("Content-Type", "application/json")];
            writer.write_all(&http::answer_bytes(status, &json, answer.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, head: &http::Head, body: &str) -> (&'static str, String) {
        let ok = |text: String| ("200 OK", text);
        let missing = || ("404 Not Found", "{}".to_owned());
        match (head.method(), head.path()) {
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = head.query("key");
                match state.items.get(&key) {
                    Some(item) => ok(item_json(&key, item, state.rev)),
                    None => missing(),
                }
            }
            ("GET", "/kv-range") => ok(self.range(head)),
            ("GET", "/kv-watch") => ok(self.watch(head)),
            ("POST", "/kv-txn") => self.transact(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => {
                let ttl_ms = Json::parse(body)
                    .unwrap_or(Json::Null)
                    .get("ttlMs")
                    .number();
                let ttl_ms = ttl_ms.unwrap_or(1_000).max(1_000);
                let mut state = self.state.lock().unwrap();
                let id = state.next_lease;
                state.next_lease += 1;
                let ends_ms = state.now_ms + ttl_ms;
                state.leases.insert(id, Lease { ttl_ms, ends_ms });
                ok(format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
            }
            (method, path) => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let now_ms = state.now_ms;
                match method {
                    "POST" if path.starts_with("/kv-keep/") => match state.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.ends_ms = now_ms + lease.ttl_ms;
                            ok(format!("{{\"lease\":{id},\"ttlMs\":{}}}", lease.ttl_ms))
                        }
                        None => missing(),
                    },
                    "DELETE" if path.starts_with("/kv-lease-end/") => {
                        let has_ended = state.end_lease(id);
                        drop(state);
                        self.changed.notify_all();
                        if has_ended {
                            ok("{}".to_owned())
                        } else {
                            missing()
                        }
                    }
                    _ => missing(),
                }
            }
        }
    }

    fn range(&self, head: &http::Head) -> String {
        let (prefix, after) = (head.query("prefix"), head.query("after"));
        let mut state = self.state.lock().unwrap();
        let is_stale = head.query("staleOk") == "1" && self.stale_ms > 0;
        if is_stale {
            state.refresh_stale(self.stale_ms);
        }
        let (items, rev) = match is_stale {
            true => (&state.stale, state.stale_rev),
            false => (&state.items, state.rev),
        };
        let found = items.range(prefix.clone()..);
        let found = found.take_while(|(key, _)| key.starts_with(&prefix));
        let mut found = found.filter(|(key, _)| **key > after);
        let page = found.by_ref().take(PAGE_ITEMS);
        let page: Vec<String> = page.map(|(key, item)| item_json(key, item, rev)).collect();
        let has_more = found.next().is_some();
        let items = page.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"asOf\":{rev}}}")
    }

    fn watch(&self, head: &http::Head) -> String {
        let prefix = head.query("prefix");
        let after: u64 = head.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(head.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.changes.partition_point(|change| change.rev <= after);
            let found = state.changes[first..].iter();
            let found = found.filter(|change| change.key.starts_with(&prefix));
            let events: Vec<String> = found.map(change_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.rev
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, txn: &Json) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let rev_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
        let mut conflicts = false;
        let mut rows = Vec::new();
        for row in txn.get("expected").list() {
            let key = row.get("key").text().unwrap_or_default();
            conflicts |= rev_of(&state, key) != row.get("rev").number().unwrap_or(0);
            let rev = rev_of(&state, key);
            let value = state.items.get(key).map_or("", |item| item.value.as_str());
            rows.push(format!(
                "{{\"key\":{},\"value\":\"{value}\",\"rev\":{rev}}}",
                quoted(key)
            ));
        }
        if conflicts {
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{}]}}", rows.join(",")),
            );
        }
        let leases = txn
            .get("puts")
            .list()
            .iter()
            .map(|put| put.get("lease").number());
        let leases = leases
            .map(|lease| lease.unwrap_or(0))
            .filter(|lease| *lease > 0);
        if !leases
            .into_iter()
            .all(|lease| state.leases.contains_key(&lease))
        {
            return ("404 Not Found", "{}".to_owned());
        }
        state.rev += 1;
        let rev = state.rev;
        for put in txn.get("puts").list() {
            let key = put.get("key").text().unwrap_or_default();
            let created = state.items.get(key).map_or(rev, |item| item.created);
            let value = put.get("value").text().unwrap_or_default().to_owned();
            let lease = put.get("lease").number().unwrap_or(0);
            state.write(
                key,
                Some(Item {
                    value,
                    rev,
                    created,
                    lease,
                }),
            );
        }
        for key in txn.get("remove").list() {
            let key = key.text().unwrap_or_default();
            if state.items.contains_key(key) {
                state.write(key, None);
            }
        }
        drop(state);
        self.changed.notify_all();
        ("200 OK", format!("{{\"rev\":{rev}}}"))
    }
}

fn item_json(key: &str, item: &Item, as_of: u64) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{},\"asOf\":{as_of}}}",
        quoted(key),
        item.value,
        item.rev,
        item.created,
        item.lease
    )
}

fn change_json(change: &Change) -> String {
    match &change.item {
        Some(item) => item_json(&change.key, item, change.rev),
        None => format!(
            "{{\"key\":{},\"rev\":{},\"removed\":true}}",
            quoted(&change.key),
            change.rev
        ),
    }
}
