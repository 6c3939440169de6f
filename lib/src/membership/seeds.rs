//! Discovery of other hosts by addresses from the settings, the platform's host list, and a shared
//! record in the key-value service.

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

/// Key of the shared seed record in the key-value service.
pub const SEEDS_KEY: &str = "membership/seeds";

/// Version of the stored format of the seed record.
const FORMAT_VERSION: u32 = 1;
/// Number of hosts that write the seed record; it holds the addresses of these hosts.
const RECORD_WRITERS: usize = 3;
const ISOLATED_CONTACT_INTERVAL: Duration = Duration::from_secs(1);
const CONTACT_INTERVAL: Duration = Duration::from_secs(10);
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(30);
const RECORD_WRITE_INTERVAL: Duration = Duration::from_secs(120);
/// Time after the start before the seed record is read or written, so that it is read only if the
/// other sources have yielded no host by then.
const FIRST_RECORD_DELAY: Duration = Duration::from_secs(3);
/// Most unknown addresses that are contacted in one round.
const MAX_CONTACTS_PER_ROUND: usize = 5;

/// The shared seed record: peer addresses of a few hosts that ran recently.
#[derive(Debug, Serialize, Deserialize)]
struct SeedRecord {
    format: u32,
    addresses: Vec<SocketAddr>,
}

/// Sources of seed addresses, by which a host joins the fleet and finds it again after a partition.
#[derive(Clone)]
pub struct SeedSources {
    addresses: Vec<SocketAddr>,
    list: Option<Arc<dyn HostList>>,
    store: Option<Arc<dyn KvStore>>,
}

impl SeedSources {
    /// Returns sources that have only the fixed seed `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            list: None,
            store: None,
        }
    }

    /// Adds the entry hosts of the platform's host list as seeds.
    pub fn with_list(mut self, list: Arc<dyn HostList>) -> Self {
        self.list = Some(list);
        self
    }

    /// Adds the shared seed record in the key-value service, which this host may also write.
    pub fn with_store(mut self, store: Arc<dyn KvStore>) -> Self {
        self.store = Some(store);
        self
    }

    /// Contacts seeds that `membership` does not know. Runs until it is cancelled; rounds are more
    /// frequent while the host knows no other.
    pub(crate) async fn run(&self, membership: Arc<Membership>) {
        let started = Instant::now();
        let mut next_list_read = started;
        let mut next_record_access = started + FIRST_RECORD_DELAY;
        loop {
            let isolated = membership.is_alone();
            let now = Instant::now();
            let mut addresses = self.addresses.clone();
            if isolated || now >= next_list_read {
                next_list_read = now + HOST_LIST_INTERVAL;
                addresses.extend(self.read_host_list().await);
            }
            if now >= next_record_access {
                match isolated {
                    true => addresses.extend(self.read_record().await),
                    false => {
                        next_record_access = now + RECORD_WRITE_INTERVAL;
                        self.update_record(&membership).await;
                    }
                }
            }
            contact_unknown(&membership, addresses);
            let pause = match isolated {
                true => ISOLATED_CONTACT_INTERVAL,
                false => CONTACT_INTERVAL,
            };
            let jitter = rand::random_range(0.75..1.25);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
        }
    }

    async fn read_host_list(&self) -> Vec<SocketAddr> {
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

    async fn read_record(&self) -> Vec<SocketAddr> {
        let Some(store) = &self.store else {
            return Vec::new();
        };
        match store.get(SEEDS_KEY).await {
            Ok(Some(entry)) => decode(&entry.value),
            _ => Vec::new(),
        }
    }

    /// Writes the seed record if this host is one of its writers, which are the highest ranked by
    /// rendezvous hashing, and the addresses have changed.
    async fn update_record(&self, membership: &Membership) {
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
        ranked.truncate(RECORD_WRITERS);
        let is_writer = ranked.iter().any(|(_, id, _)| *id == membership.own_id());
        if !is_writer {
            return;
        }
        let mut addresses: Vec<SocketAddr> =
            ranked.into_iter().map(|(_, _, address)| address).collect();
        addresses.sort_unstable();
        // A write that lost to another host's or met an outage is repeated after the interval.
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
        format: FORMAT_VERSION,
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
        .filter(|record| record.format == FORMAT_VERSION)
        .map(|record| record.addresses)
        .unwrap_or_default()
}

fn contact_unknown(membership: &Membership, mut addresses: Vec<SocketAddr>) {
    let view = membership.view();
    addresses.retain(|address| view.hosts.iter().all(|host| host.peer_address != *address));
    addresses.sort_unstable();
    addresses.dedup();
    // Starts at a random address, so that not all hosts contact the same few seeds.
    if !addresses.is_empty() {
        let start = rand::random_range(0..addresses.len());
        addresses.rotate_left(start);
    }
    for address in addresses.into_iter().take(MAX_CONTACTS_PER_ROUND) {
        membership.contact(address);
    }
}
