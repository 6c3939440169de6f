//! Where a host finds the first others: settings, the platform's list, and a shared record.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::edges::host_list::HostList;
use crate::edges::host_list::ListedRole;
use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::ids::HostId;
use crate::membership::Membership;
use crate::membership::view::rendezvous_score;

/// Key of the shared record.
pub const SEEDS_KEY: &str = "membership/seeds";

/// Version of the stored format.
const FORMAT: u32 = 1;
/// Hosts that keep the shared record up to date; it also holds as many addresses.
const RECORD_KEEPERS: usize = 3;
const ALONE_INTERVAL: Duration = Duration::from_secs(1);
const SETTLED_INTERVAL: Duration = Duration::from_secs(10);
const LIST_INTERVAL: Duration = Duration::from_secs(30);
const RECORD_INTERVAL: Duration = Duration::from_secs(120);
/// Time alone after which the shared record is read.
const RECORD_DELAY: Duration = Duration::from_secs(3);
/// Listed addresses that are contacted in one round.
const MAX_CONTACTS: usize = 5;

/// The shared record: peer addresses of a few hosts that ran lately.
#[derive(Debug, Serialize, Deserialize)]
struct SeedRecord {
    format: u32,
    addresses: Vec<SocketAddr>,
}

/// Sources of the first contacts.
#[derive(Clone)]
pub struct SeedSources {
    addresses: Vec<SocketAddr>,
    list: Option<Arc<dyn HostList>>,
    store: Option<Arc<dyn KvStore>>,
}

impl SeedSources {
    /// Returns sources that hold only `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            list: None,
            store: None,
        }
    }

    /// Also takes entry hosts from the platform's list.
    pub fn with_list(mut self, list: Arc<dyn HostList>) -> Self {
        self.list = Some(list);
        self
    }

    /// Also uses the shared record in the key-value service.
    pub fn with_store(mut self, store: Arc<dyn KvStore>) -> Self {
        self.store = Some(store);
        self
    }

    /// Contacts hosts that `membership` does not know, without end.
    pub(crate) async fn run(&self, membership: Arc<Membership>) {
        let started = Instant::now();
        let mut list_at = started;
        let mut record_at = started + RECORD_DELAY;
        loop {
            let alone = membership.knows_nobody();
            let now = Instant::now();
            let mut addresses = self.addresses.clone();
            if alone || now >= list_at {
                list_at = now + LIST_INTERVAL;
                addresses.extend(self.listed().await);
            }
            if now >= record_at {
                match alone {
                    true => addresses.extend(self.recorded().await),
                    false => {
                        record_at = now + RECORD_INTERVAL;
                        self.keep_record(&membership).await;
                    }
                }
            }
            contact_unknown(&membership, addresses);
            let pause = match alone {
                true => ALONE_INTERVAL,
                false => SETTLED_INTERVAL,
            };
            let jitter = rand::random_range(0.75..1.25);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
        }
    }

    async fn listed(&self) -> Vec<SocketAddr> {
        let Some(list) = &self.list else {
            return Vec::new();
        };
        let hosts = list.read().await.unwrap_or_default();
        hosts
            .into_iter()
            .filter(|host| host.role == ListedRole::Entry)
            .map(|host| host.address)
            .collect()
    }

    async fn recorded(&self) -> Vec<SocketAddr> {
        let Some(store) = &self.store else {
            return Vec::new();
        };
        match store.get(SEEDS_KEY).await {
            Ok(Some(entry)) => decode(&entry.value),
            _ => Vec::new(),
        }
    }

    /// Writes the record if this host is one of its keepers and it has changed.
    async fn keep_record(&self, membership: &Membership) {
        let Some(store) = &self.store else {
            return;
        };
        let view = membership.view();
        let mut ranked: Vec<(u64, &HostId, SocketAddr)> = view
            .assignable_hosts()
            .map(|host| {
                let score = rendezvous_score(host.id.as_str(), SEEDS_KEY);
                (score, &host.id, host.peer_address)
            })
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        ranked.truncate(RECORD_KEEPERS);
        let is_keeper = ranked.iter().any(|(_, id, _)| *id == membership.own_id());
        if !is_keeper {
            return;
        }
        let mut addresses: Vec<SocketAddr> =
            ranked.into_iter().map(|(_, _, address)| address).collect();
        addresses.sort_unstable();
        // A lost race or an outage is mended in the next round.
        let _ = write_record(store.as_ref(), addresses).await;
    }
}

async fn write_record(store: &dyn KvStore, addresses: Vec<SocketAddr>) -> Result<(), KvError> {
    let current = store.get(SEEDS_KEY).await?;
    let expect = match &current {
        Some(entry) if decode(&entry.value) == addresses => return Ok(()),
        Some(entry) => Expect::Version(entry.version),
        None => Expect::Absent,
    };
    let record = SeedRecord {
        format: FORMAT,
        addresses,
    };
    let value = serde_json::to_vec(&record).expect("records serialize to JSON");
    store
        .put(SEEDS_KEY, Bytes::from(value), expect, None)
        .await?;
    Ok(())
}

fn decode(value: &[u8]) -> Vec<SocketAddr> {
    let record: Option<SeedRecord> = serde_json::from_slice(value).ok();
    record
        .filter(|record| record.format == FORMAT)
        .map(|record| record.addresses)
        .unwrap_or_default()
}

fn contact_unknown(membership: &Membership, mut addresses: Vec<SocketAddr>) {
    let view = membership.view();
    addresses.retain(|address| view.hosts.iter().all(|host| host.peer_address != *address));
    addresses.sort_unstable();
    addresses.dedup();
    // Different hosts start at different places, so that one address is not asked by all.
    if !addresses.is_empty() {
        let start = rand::random_range(0..addresses.len());
        addresses.rotate_left(start);
    }
    for address in addresses.into_iter().take(MAX_CONTACTS) {
        membership.contact(address);
    }
}
