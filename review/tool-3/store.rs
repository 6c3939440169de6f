//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::quoted;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    /// Value in base64.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

/// A change of a key at a revision; without an item, its removal.
struct Change {
    at: Instant,
    rev: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64, rev: u64) {
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item), rev);
    }

    fn remove(&mut self, key: &str, rev: u64) {
        if self.items.remove(key).is_some() {
            self.note(key, None, rev);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>, rev: u64) {
        self.changes.push(Change {
            at: Instant::now(),
            rev,
            key: key.to_owned(),
            item,
        });
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
            let rev = self.rev;
            keys.iter().for_each(|key| self.remove(key, rev));
        }
        is_known
    }

    /// The items as of `age` ago, and the revision that they had.
    fn before(&self, age: Duration) -> (BTreeMap<String, Item>, u64) {
        let now = Instant::now();
        let mut items = BTreeMap::new();
        let mut rev = 1;
        for change in &self.changes {
            if now - change.at < age {
                break;
            }
            rev = change.rev;
            match &change.item {
                Some(item) => items.insert(change.key.clone(), item.clone()),
                None => items.remove(&change.key),
            };
        }
        (items, rev)
    }
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Age of what reads with `staleOk` show.
    stale_age: Duration,
    pub address: SocketAddr,
}

impl Store {
    /// Serves an empty store on a free port of `ip`.
    pub fn start(ip: &str, stale_age: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let state = State {
            rev: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            stale_age,
            address: listener.local_addr()?,
        };
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = leases.lock();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, until))| *until <= now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in ended {
                    state.end_lease(lease);
                }
                drop(state);
                leases.state.1.notify_all();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("store lock")
    }

    /// Writes a key of the operator or of a worker.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        state.put(key, &base64(text.as_bytes()), 0, rev);
        drop(state);
        self.state.1.notify_all();
    }

    /// Present value of a key as text, with what is no UTF-8 replaced.
    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let value = from_base64(&state.items.get(key)?.value);
        Some(String::from_utf8_lossy(&value).into_owned())
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        thread::sleep(ANSWER_TIME);
        let (status, body) = self.outcome(request);
        http::write_answer(stream, status, "Content-Type: application/json\r\n", &body)
    }

    fn outcome(&self, request: &Message) -> (u16, String) {
        let path = request.path();
        match (request.method(), path) {
            ("GET", "/kv-key") => {
                let state = self.lock();
                let key = request.query("key");
                match state.items.get(&key) {
                    Some(item) => (
                        200,
                        format!("{{{},\"asOf\":{}}}", fields(&key, item), state.rev),
                    ),
                    None => (404, format!("{{\"asOf\":{}}}", state.rev)),
                }
            }
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => {
                let outcome = self.transact(&request.body);
                self.state.1.notify_all();
                outcome
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = body.get("ttlMs").number().clamp(1_000, 600_000);
                let mut state = self.lock();
                state.next_lease += 1;
                let (lease, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.lock();
                match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let is_known = self.lock().end_lease(lease);
                self.state.1.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let state = self.lock();
        let (items, rev) = match request.query("staleOk").as_str() {
            "1" => state.before(self.stale_age),
            _ => (state.items.clone(), state.rev),
        };
        drop(state);
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let found = items.iter();
        let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut found: Vec<String> = found
            .map(|(key, item)| format!("{{{}}}", fields(key, item)))
            .collect();
        let has_more = found.len() > PAGE_ITEMS;
        found.truncate(PAGE_ITEMS);
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"asOf\":{rev}}}",
            found.join(",")
        );
        (200, body)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            let changes = state.changes.iter();
            let new =
                changes.filter(|change| change.rev > after && change.key.starts_with(&prefix));
            let events: Vec<String> = new.map(event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.rev
                );
                return (200, body);
            }
            let waited = self.state.1.wait_timeout(state, until - now);
            state = waited.expect("store lock").0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let rev_of = |key: &str| state.items.get(key).map_or(0, |item| item.rev);
        let expected = body.get("expected").list();
        let holds = |row: &Json| rev_of(row.get("key").text()) == row.get("rev").number();
        if !expected.iter().all(holds) {
            let current = expected.iter().map(|row| {
                let key = row.get("key").text();
                match state.items.get(key) {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => format!("{{\"key\":{},\"rev\":0}}", quoted(key)),
                }
            });
            let current: Vec<String> = current.collect();
            return (412, format!("{{\"items\":[{}]}}", current.join(",")));
        }
        let puts = body.get("puts").list();
        let has_lease = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        state.rev += 1;
        let rev = state.rev;
        for put in puts {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            state.put(key, value, put.get("lease").number(), rev);
        }
        for key in body.get("remove").list() {
            state.remove(key.text(), rev);
        }
        (200, format!("{{\"rev\":{rev}}}"))
    }
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}",
        quoted(key),
        item.value,
        item.rev,
        item.created,
        item.lease
    )
}

fn event(change: &Change) -> String {
    match &change.item {
        Some(item) => format!("{{{}}}", fields(&change.key, item)),
        None => format!(
            "{{\"key\":{},\"rev\":{},\"removed\":true}}",
            quoted(&change.key),
            change.rev
        ),
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for character in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == character) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
