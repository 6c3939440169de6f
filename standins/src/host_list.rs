//! Stand-in of the service that lists live and leaving hosts with a lag.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::StatusCode;
use parsleywall::edges::host_list::ListedHost;
use parsleywall::edges::host_list::ListedState;
use parsleywall::ids::UpstreamId;
use tokio::time::Instant;

use crate::server::StandinServer;
use crate::server::json_reply;

/// Host list whose readers see each change only after a fixed lag.
#[derive(Debug)]
pub struct HostListMemory {
    lag: Duration,
    changes: Mutex<Vec<(Instant, Vec<ListedHost>)>>,
}

impl HostListMemory {
    /// Returns a list in which readers see `hosts` at once, and later changes after `lag`.
    pub fn new(hosts: Vec<ListedHost>, lag: Duration) -> Arc<Self> {
        let seen_from = Instant::now();
        Arc::new(Self {
            lag,
            changes: Mutex::new(vec![(seen_from, hosts)]),
        })
    }

    /// Time after which readers see a change.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Adds `host`, or replaces the host with its identifier.
    pub fn put(&self, host: ListedHost) {
        self.change(|hosts| {
            hosts.retain(|known| known.id != host.id);
            hosts.push(host);
        });
    }

    /// Sets the state of host `id`, if it is listed.
    pub fn set_state(&self, id: &UpstreamId, state: ListedState) {
        self.change(|hosts| {
            for host in hosts.iter_mut().filter(|host| host.id == *id) {
                host.state = state;
            }
        });
    }

    /// Removes host `id`, if it is listed.
    pub fn remove(&self, id: &UpstreamId) {
        self.change(|hosts| hosts.retain(|known| known.id != *id));
    }

    /// Returns the hosts that readers see now.
    pub fn seen(&self) -> Vec<ListedHost> {
        let changes = self.changes.lock().expect("host list lock");
        let now = Instant::now();
        let seen = changes.iter().rev().find(|(from, _)| *from <= now);
        seen.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<ListedHost>)) {
        let mut changes = self.changes.lock().expect("host list lock");
        let mut hosts = changes
            .last()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default();
        edit(&mut hosts);
        changes.push((Instant::now() + self.lag, hosts));
    }
}

/// Serves `list` over HTTP on a free loopback port.
pub async fn serve_host_list(list: Arc<HostListMemory>) -> std::io::Result<StandinServer> {
    StandinServer::start(move |_| {
        let reply = json_reply(StatusCode::OK, &list.seen());
        async move { Some(reply) }
    })
    .await
}
