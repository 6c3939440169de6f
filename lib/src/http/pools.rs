//! Kept connections to servers, for as long as each server keeps them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;

use crate::collections::HashMap;
use crate::http::client::HttpClient;

pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Idle connections to a server that names no time-out are closed after this time.
pub(super) const SHORT_IDLE: Duration = Duration::from_millis(500);
/// Connections are closed this much earlier than their server closes them.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
pub(super) const LONGEST_IDLE: Duration = Duration::from_secs(30);
/// Idle connections to one server.
const KEPT_CONNECTIONS: usize = 16;
/// Servers whose time-outs are remembered.
const MAX_SERVERS: usize = 4_096;

/// Connections to servers. Those with equal time-outs share a pool.
pub struct ConnectionPools {
    connect: Duration,
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    by_idle: HashMap<Duration, HttpClient>,
    idle_of: HashMap<SocketAddr, Duration>,
}

impl ConnectionPools {
    /// Returns pools without connections, which open new ones within `connect`.
    pub fn new(connect: Duration) -> Self {
        Self {
            connect,
            state: Mutex::default(),
        }
    }

    /// The client with the kept connections to the server at `address`.
    pub fn client(&self, address: SocketAddr) -> HttpClient {
        let mut state = self.lock();
        let idle = state.idle_of.get(&address).copied().unwrap_or(SHORT_IDLE);
        let client = state
            .by_idle
            .entry(idle)
            .or_insert_with(|| HttpClient::with_bounds(KEPT_CONNECTIONS, self.connect, idle));
        client.clone()
    }

    /// Notes for how long the server at `address` keeps idle connections, by its answer.
    pub fn record_keep_alive(&self, address: SocketAddr, answer: &HeaderMap) {
        let mut state = self.lock();
        if state.idle_of.len() >= MAX_SERVERS && !state.idle_of.contains_key(&address) {
            state.idle_of.clear();
        }
        state.idle_of.insert(address, idle_time(answer));
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("connection pools lock")
    }
}

/// Time for which a connection may stay idle after an answer with these headers.
pub(super) fn idle_time(answer: &HeaderMap) -> Duration {
    let stated = answer.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let parameters = stated.into_iter().flat_map(|text| text.split(','));
    let timeout = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse::<u32>().ok());
    let idle = timeout.map(|seconds| Duration::from_secs(seconds.into()));
    let idle = idle.unwrap_or_default().saturating_sub(IDLE_MARGIN);
    idle.clamp(SHORT_IDLE, LONGEST_IDLE)
}
