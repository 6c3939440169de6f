//! Connection pools that respect the keep-alive time-out of each server.
//!
//! A connection that the server closes while a request is being sent leaves it unknown whether
//! the request arrived. Idle connections are therefore closed before the server closes them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;

use crate::collections::HashMap;
use crate::http::client::HttpClient;

pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Idle time for connections to a server that states no keep-alive time-out, or a short one.
pub(super) const MIN_IDLE_TIME: Duration = Duration::from_millis(500);
/// Idle connections are closed this much earlier than their server closes them.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Longest time for which a connection may stay idle in a pool.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Largest number of idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Number of servers whose keep-alive time-outs are remembered; beyond it all are forgotten and
/// learnt anew.
const MAX_REMEMBERED_SERVERS: usize = 4_096;

/// Pooled connections to servers. Servers with equal keep-alive time-outs share a pool.
pub struct ConnectionPools {
    connect: Duration,
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    clients_by_idle_time: HashMap<Duration, HttpClient>,
    idle_times: HashMap<SocketAddr, Duration>,
}

impl ConnectionPools {
    /// Returns empty pools that give up opening a connection after `connect`.
    pub fn new(connect: Duration) -> Self {
        Self {
            connect,
            state: Mutex::default(),
        }
    }

    /// Returns the client whose pool holds the idle connections to the server at `address`.
    pub fn client(&self, address: SocketAddr) -> HttpClient {
        let mut state = self.lock();
        let idle = state
            .idle_times
            .get(&address)
            .copied()
            .unwrap_or(MIN_IDLE_TIME);
        let client = state
            .clients_by_idle_time
            .entry(idle)
            .or_insert_with(|| HttpClient::with_bounds(MAX_IDLE_CONNECTIONS, self.connect, idle));
        client.clone()
    }

    /// Records how long the server at `address` keeps idle connections open, from the
    /// `Keep-Alive` header of a response with these headers.
    pub fn record_keep_alive(&self, address: SocketAddr, answer: &HeaderMap) {
        let mut state = self.lock();
        if state.idle_times.len() >= MAX_REMEMBERED_SERVERS
            && !state.idle_times.contains_key(&address)
        {
            state.idle_times.clear();
        }
        state.idle_times.insert(address, idle_time(answer));
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("connection pools lock")
    }
}

/// Time for which a connection may stay idle after a response with these headers.
pub(super) fn idle_time(answer: &HeaderMap) -> Duration {
    let stated = answer.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let parameters = stated.into_iter().flat_map(|text| text.split(','));
    let timeout = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse::<u32>().ok());
    let idle = timeout.map(|seconds| Duration::from_secs(seconds.into()));
    let idle = idle.unwrap_or_default().saturating_sub(IDLE_MARGIN);
    idle.clamp(MIN_IDLE_TIME, MAX_IDLE_TIME)
}
