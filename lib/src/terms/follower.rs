//! Brings newer revisions of the terms to this host: from the key-value service on a few hosts,
//! from peers on all others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::counters::CounterSet;
use crate::counters::RetryReason;
use crate::edges::kv::KvChange;
use crate::edges::kv::KvVersion;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::membership::HostView;
use crate::membership::Membership;
use crate::membership::RevisionHint;
use crate::membership::rendezvous_score;
use crate::peers::PeerClient;
use crate::terms::keeper::ActiveTerms;
use crate::terms::keeper::TermsCall;
use crate::terms::keeper::TermsError;
use crate::terms::keeper::TermsUpdate;
use crate::terms::store::TERMS_KEY;
use crate::terms::store::kv_error;

/// Hosts of each data centre that watch the key-value service.
const WATCHERS: usize = 2;
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Time between two checks of whether this host has to watch.
const ROLE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of a host that does not watch.
const READ_INTERVAL: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
const PULL_PAUSE: Duration = Duration::from_millis(100);
/// Peers that are asked before the key-value service is.
const PULL_ROUNDS: u32 = 4;
/// Time that a starting host waits for its first peer.
const FIRST_PEER_WAIT: Duration = Duration::from_secs(2);
const FIRST_PEER_POLL: Duration = Duration::from_millis(25);
/// Peers that a starting host asks.
const FIRST_PEERS: usize = 5;

/// Follows the accepted terms on behalf of one host.
pub(crate) struct TermsFollower {
    terms: Arc<ActiveTerms>,
    membership: Arc<Membership>,
    links: PeerClient,
    counters: Arc<CounterSet>,
    expects_peers: bool,
}

impl TermsFollower {
    /// Returns a follower; `expects_peers` tells whether the settings name other hosts.
    pub(crate) fn new(
        terms: Arc<ActiveTerms>,
        membership: Arc<Membership>,
        links: PeerClient,
        counters: Arc<CounterSet>,
        expects_peers: bool,
    ) -> Self {
        Self {
            terms,
            membership,
            links,
            counters,
            expects_peers,
        }
    }

    /// Learns the newest terms, then follows them until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let follow = async {
            self.learn_first().await;
            tokio::join!(self.follow_store(), self.follow_peers(), self.announce());
        };
        tokio::select! {
            () = follow => {}
            () = stop.cancelled() => {}
        }
    }

    /// Puts the newest terms in force that the key-value service and peers know.
    ///
    /// While neither answers, nothing is in force and the host serves no member.
    async fn learn_first(&self) {
        if self.expects_peers {
            self.wait_for_peer().await;
        }
        let mut told = false;
        loop {
            // Both are asked before any is adopted, so that a stale read does not show.
            let known = self.terms.known();
            let (stored, peers) =
                tokio::join!(self.terms.store().read(&known), self.ask_first_peers());
            let heard = !peers.is_empty();
            let best = peers.into_iter().max_by_key(|(revision, _)| *revision);
            let stored_ok = stored.is_ok();
            let newest_stored = stored.as_ref().map_or(Revision(0), |terms| terms.revision);
            match (best, stored) {
                (Some((revision, news)), _) if revision > newest_stored => {
                    self.terms.adopt_news(news);
                }
                (_, Ok(accepted)) => {
                    self.terms.adopt(accepted.revision, accepted.document);
                }
                _ => {}
            }
            let learned = self.terms.view().revision > Revision(0);
            if stored_ok || heard && learned {
                return;
            }
            if !told {
                told = true;
                warn!("no terms yet: the key-value service is out and no peer has them; waiting");
            }
            self.counters.retry(RetryReason::StoreFailed);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn wait_for_peer(&self) {
        let deadline = Instant::now() + FIRST_PEER_WAIT;
        while self.membership.knows_nobody() && Instant::now() < deadline {
            tokio::time::sleep(FIRST_PEER_POLL).await;
        }
    }

    async fn ask_first_peers(&self) -> Vec<(Revision, TermsUpdate)> {
        let view = self.membership.view();
        let others = self.others(&view, Revision(0));
        let calls = others
            .into_iter()
            .take(FIRST_PEERS)
            .map(|address| self.ask(address));
        let answers = futures_util::future::join_all(calls).await;
        answers
            .into_iter()
            .flatten()
            .filter_map(|news| match &news {
                TermsUpdate::Whole(revision, _) => Some((*revision, news)),
                TermsUpdate::Steps(steps) => {
                    let revision = steps.last()?.to;
                    Some((revision, news))
                }
                TermsUpdate::Nothing => None,
            })
            .collect()
    }

    /// Peer addresses of other hosts that have at least `revision`, in a random order.
    fn others(&self, view: &HostView, revision: Revision) -> Vec<SocketAddr> {
        let own = self.membership.own_id();
        let others = view.hosts.iter();
        let mut addresses: Vec<SocketAddr> = others
            .filter(|host| host.id != *own && host.revision >= revision)
            .map(|host| host.peer_address)
            .collect();
        if !addresses.is_empty() {
            let start = rand::random_range(0..addresses.len());
            addresses.rotate_left(start);
        }
        addresses
    }

    async fn ask(&self, address: SocketAddr) -> Option<TermsUpdate> {
        let known = self.terms.view().revision;
        let call = self.links.call(address, TermsCall { known }, PULL_TIMEOUT);
        match call.await {
            Ok(news) => Some(news),
            _ => {
                self.counters.retry(RetryReason::PeerFailed);
                None
            }
        }
    }

    /// Watches the key-value service where this host has to, and reads it rarely elsewhere.
    async fn follow_store(&self) {
        let mut after = KvVersion(0);
        let mut read_at = Instant::now() + self.read_interval();
        loop {
            if self.has_to_watch() {
                match self.watch(after).await {
                    Ok(next) => after = next,
                    Err(_) => {
                        after = KvVersion(0);
                        self.counters.retry(RetryReason::StoreFailed);
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
                continue;
            }
            after = KvVersion(0);
            tokio::time::sleep(ROLE_INTERVAL).await;
            if Instant::now() >= read_at {
                read_at = Instant::now() + self.read_interval();
                self.read().await;
            }
        }
    }

    fn read_interval(&self) -> Duration {
        READ_INTERVAL.mul_f64(rand::random_range(0.75..1.25))
    }

    async fn read(&self) {
        match self.terms.store().read(&self.terms.known()).await {
            Ok(accepted) => {
                self.terms.adopt(accepted.revision, accepted.document);
            }
            Err(_) => self.counters.retry(RetryReason::StoreFailed),
        }
    }

    /// Whether this host is one of the few of its data centre that watch.
    fn has_to_watch(&self) -> bool {
        let view = self.membership.view();
        let own = self.membership.own_id();
        let Some(centre) = view
            .hosts
            .iter()
            .find(|host| host.id == *own)
            .map(|host| &host.data_centre)
        else {
            return true;
        };
        let score = |id: &HostId| rendezvous_score(id.as_str(), TERMS_KEY);
        let rank = view
            .assignable_hosts()
            .filter(|host| host.data_centre == *centre && score(&host.id) > score(own))
            .count();
        rank < WATCHERS
    }

    async fn watch(&self, after: KvVersion) -> Result<KvVersion, TermsError> {
        let store = self.terms.store();
        if after == KvVersion(0) {
            let page = store.kv().list(TERMS_KEY, None, 1).await;
            let page = page.map_err(kv_error)?;
            for entry in &page.entries {
                let accepted = store.complete(entry, &self.terms.known()).await?;
                self.terms.adopt(accepted.revision, accepted.document);
            }
            return Ok(page.revision);
        }
        let changes = store.kv().watch(TERMS_KEY, after, WATCH_WAIT).await;
        let changes = changes.map_err(kv_error)?;
        if changes.compacted {
            return Ok(KvVersion(0));
        }
        // Only the newest head counts; it holds what the earlier ones held.
        let newest = changes.changes.iter().rev();
        let mut puts = newest.filter_map(|change| match change {
            KvChange::Put(entry) => Some(entry),
            KvChange::Deleted { .. } => None,
        });
        if let Some(entry) = puts.next() {
            let accepted = store.complete(entry, &self.terms.known()).await?;
            self.terms.adopt(accepted.revision, accepted.document);
        }
        Ok(changes.revision)
    }

    /// Pulls newer terms from hosts that are heard to have them.
    async fn follow_peers(&self) {
        let mut hints = self.membership.revision_hints();
        loop {
            let hint = *hints.borrow_and_update();
            self.pull(hint).await;
            if hints.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    async fn pull(&self, hint: RevisionHint) {
        let Some(first) = hint.address else {
            return;
        };
        let mut address = first;
        for round in 0.. {
            if self.terms.view().revision >= hint.revision {
                return;
            }
            if let Some(news) = self.ask(address).await {
                self.terms.adopt_news(news);
            }
            if self.terms.view().revision >= hint.revision {
                return;
            }
            if round % PULL_ROUNDS == PULL_ROUNDS - 1 {
                self.read().await;
            }
            tokio::time::sleep(PULL_PAUSE * (round + 1).min(20)).await;
            let view = self.membership.view();
            let others = self.others(&view, hint.revision);
            address = others.first().copied().unwrap_or(first);
        }
    }

    /// Tells other hosts of each revision that comes into force here.
    async fn announce(&self) {
        let mut views = self.terms.subscribe();
        loop {
            let revision = views.borrow_and_update().revision;
            self.membership.set_revision(revision);
            if views.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
