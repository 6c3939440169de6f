//! Follows newer revisions of the terms. A few hosts of each data centre watch the key-value
//! service; all others pull from peers that announce a newer revision.

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
use crate::edges::kv::watch_checked;
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
const WATCHERS_PER_DATA_CENTRE: usize = 2;
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a watcher asks for changes beside its watch.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks of whether this host is one of the watchers.
const WATCH_ROLE_INTERVAL: Duration = Duration::from_secs(2);
/// Mean time between two reads of the key-value service on a host that does not watch it.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(60);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
const PULL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pulls from peers without success after which the key-value service is read.
const PULLS_PER_STORE_READ: u32 = 4;
/// Time that a starting host waits until it knows a peer.
const BOOTSTRAP_PEER_TIMEOUT: Duration = Duration::from_secs(2);
const BOOTSTRAP_PEER_POLL: Duration = Duration::from_millis(25);
/// Most peers that a starting host requests the terms from at once.
const MAX_BOOTSTRAP_PEERS: usize = 5;

/// Task that keeps the terms in force on this host up to date.
pub(crate) struct TermsFollower {
    terms: Arc<ActiveTerms>,
    membership: Arc<Membership>,
    peer_client: PeerClient,
    counters: Arc<CounterSet>,
    expects_peers: bool,
}

impl TermsFollower {
    /// Returns a follower. `expects_peers` is whether the settings name sources of other hosts; if
    /// so, a start waits a while for a peer.
    pub(crate) fn new(
        terms: Arc<ActiveTerms>,
        membership: Arc<Membership>,
        peer_client: PeerClient,
        counters: Arc<CounterSet>,
        expects_peers: bool,
    ) -> Self {
        Self {
            terms,
            membership,
            peer_client,
            counters,
            expects_peers,
        }
    }

    /// Loads the newest terms, then follows newer ones until `stop` is cancelled.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let follow = async {
            self.bootstrap().await;
            tokio::join!(
                self.follow_store(),
                self.follow_peers(),
                self.announce_revisions()
            );
        };
        tokio::select! {
            () = follow => {}
            () = stop.cancelled() => {}
        }
    }

    /// Puts the newest terms in force that the key-value service and a few peers have.
    ///
    /// Retries until the service or a peer that has terms has answered. Until then no terms are in
    /// force and the host serves no member.
    async fn bootstrap(&self) {
        if self.expects_peers {
            self.wait_for_peer().await;
        }
        let mut has_warned = false;
        loop {
            // Waits for both before adopting either: otherwise a stale read would be in force for a
            // moment.
            let base = self.terms.base_terms();
            let (stored, peers) = tokio::join!(
                self.terms.store().read(&base),
                self.request_bootstrap_terms()
            );
            let peer_answered = !peers.is_empty();
            let newest_from_peers = peers.into_iter().max_by_key(|(revision, _)| *revision);
            let store_answered = stored.is_ok();
            let newest_stored = stored.as_ref().map_or(Revision(0), |terms| terms.revision);
            match (newest_from_peers, stored) {
                (Some((revision, update)), _) if revision > newest_stored => {
                    self.terms.adopt_update(update);
                }
                (_, Ok(accepted)) => {
                    self.terms.adopt(accepted.revision, accepted.document);
                }
                _ => {}
            }
            let has_terms = self.terms.view().revision > Revision(0);
            if store_answered || peer_answered && has_terms {
                return;
            }
            if !has_warned {
                has_warned = true;
                warn!(
                    "no terms are in force: the key-value service is unavailable and no peer has terms; retrying"
                );
            }
            self.counters.retry(RetryReason::StoreFailed);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn wait_for_peer(&self) {
        let deadline = Instant::now() + BOOTSTRAP_PEER_TIMEOUT;
        while self.membership.is_alone() && Instant::now() < deadline {
            tokio::time::sleep(BOOTSTRAP_PEER_POLL).await;
        }
    }

    async fn request_bootstrap_terms(&self) -> Vec<(Revision, TermsUpdate)> {
        let view = self.membership.view();
        let others = self.others(&view, Revision(0));
        let calls = others
            .into_iter()
            .take(MAX_BOOTSTRAP_PEERS)
            .map(|address| self.request_terms(address));
        let answers = futures_util::future::join_all(calls).await;
        answers
            .into_iter()
            .flatten()
            .filter_map(|update| match &update {
                TermsUpdate::Whole(revision, _) => Some((*revision, update)),
                TermsUpdate::Steps(steps) => {
                    let revision = steps.last()?.to;
                    Some((revision, update))
                }
                TermsUpdate::Nothing => None,
            })
            .collect()
    }

    /// Peer addresses of other hosts that have at least `revision`, rotated by a random offset so
    /// that calls spread over them.
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

    async fn request_terms(&self, address: SocketAddr) -> Option<TermsUpdate> {
        let known = self.terms.view().revision;
        let call = self
            .peer_client
            .call(address, TermsCall { known }, PULL_TIMEOUT);
        match call.await {
            Ok(update) => Some(update),
            _ => {
                self.counters.retry(RetryReason::PeerFailed);
                None
            }
        }
    }

    /// Watches the key-value service while this host is a watcher. Other hosts read it only
    /// once per `STORE_READ_INTERVAL`.
    async fn follow_store(&self) {
        let mut after = KvVersion(0);
        let mut next_store_read = Instant::now() + self.store_read_interval();
        loop {
            if self.is_watcher() {
                match self.watch(after).await {
                    Ok(next) => after = next,
                    Err(_) => {
                        after = KvVersion(0);
                        self.counters.retry(RetryReason::StoreFailed);
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                continue;
            }
            after = KvVersion(0);
            tokio::time::sleep(WATCH_ROLE_INTERVAL).await;
            if Instant::now() >= next_store_read {
                next_store_read = Instant::now() + self.store_read_interval();
                self.read_store().await;
            }
        }
    }

    fn store_read_interval(&self) -> Duration {
        STORE_READ_INTERVAL.mul_f64(rand::random_range(0.75..1.25))
    }

    async fn read_store(&self) {
        match self.terms.store().read(&self.terms.base_terms()).await {
            Ok(accepted) => {
                self.terms.adopt(accepted.revision, accepted.document);
            }
            Err(_) => self.counters.retry(RetryReason::StoreFailed),
        }
    }

    /// Whether this host is one of the watchers of its data centre: those ranked highest by
    /// rendezvous hashing among its assignable hosts.
    fn is_watcher(&self) -> bool {
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
        rank < WATCHERS_PER_DATA_CENTRE
    }

    async fn watch(&self, after: KvVersion) -> Result<KvVersion, TermsError> {
        let store = self.terms.store();
        if after == KvVersion(0) {
            let page = store.kv().list(TERMS_KEY, None, 1).await;
            let page = page.map_err(kv_error)?;
            for entry in &page.entries {
                let accepted = store.resolve_head(entry, &self.terms.base_terms()).await?;
                self.terms.adopt(accepted.revision, accepted.document);
            }
            return Ok(page.revision);
        }
        let changes = watch_checked(store.kv(), TERMS_KEY, after, WATCH_TIMEOUT, CHECK_INTERVAL);
        let changes = changes.await.map_err(kv_error)?;
        if changes.compacted {
            return Ok(KvVersion(0));
        }
        // Applies only the newest head, as it supersedes the earlier ones.
        let newest = changes.changes.iter().rev();
        let mut puts = newest.filter_map(|change| match change {
            KvChange::Put(entry) => Some(entry),
            KvChange::Deleted { .. } => None,
        });
        if let Some(entry) = puts.next() {
            let accepted = store.resolve_head(entry, &self.terms.base_terms()).await?;
            self.terms.adopt(accepted.revision, accepted.document);
        }
        Ok(changes.revision)
    }

    /// Pulls newer terms from hosts that announced them by gossip.
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
            if let Some(update) = self.request_terms(address).await {
                self.terms.adopt_update(update);
            }
            if self.terms.view().revision >= hint.revision {
                return;
            }
            if round % PULLS_PER_STORE_READ == PULLS_PER_STORE_READ - 1 {
                self.read_store().await;
            }
            tokio::time::sleep(PULL_RETRY_DELAY * (round + 1).min(20)).await;
            let view = self.membership.view();
            let others = self.others(&view, hint.revision);
            address = others.first().copied().unwrap_or(first);
        }
    }

    /// Announces each revision that comes into force on this host through the membership.
    async fn announce_revisions(&self) {
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
