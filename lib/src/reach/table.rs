//! Evidence on the reach of this host and of the others, and the state that follows from it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::UpstreamLoad;
use crate::balancer::service_tag;
use crate::balancer::upstream_tag;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;
use crate::reach::contact::UnreachedCause;
use crate::reach::contact::UpstreamContact;
use crate::reach::judgement::ReachEvidence;
use crate::reach::judgement::ReachState;
use crate::reach::notice::ReachNotice;
use crate::reach::probes::ProbeBudget;

/// Time after a report within which what it says of the reach of its host holds.
const NOTICE_TIME: Duration = Duration::from_millis(1_000);
/// Time after the last contact with an upstream of a service for which a host says that it reaches it.
const REACHED_TIME: Duration = Duration::from_secs(5);
/// Age of a contact up to which a host answers others that it hears an upstream.
const HEARD_TIME: Duration = Duration::from_millis(300);
/// Time for which evidence of other hosts on an upstream counts.
const ELSEWHERE_TIME: Duration = Duration::from_secs(2);
/// Time without evidence that others reach a service after which a stranded host takes it that the
/// upstreams themselves have failed.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(2);
/// Time after which contacts with an upstream are forgotten.
const CONTACT_TIME: Duration = Duration::from_secs(60);
/// Share of lost upstreams from which a partly stranded host takes no detours.
const MAX_DETOUR_SHARE: f64 = 0.5;
/// Time without a sign of any upstream after which work at them is a reason for a probe.
const SILENCE_TIME: Duration = Duration::from_millis(250);
/// Shortest interval between two such reasons.
const SILENCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Upstreams that are probed for it.
const SILENCE_PROBES: usize = 2;
/// Upstreams that another host has to have lost before this one probes any of them for it.
const MIN_ASKED_UPSTREAMS: usize = 2;
/// Age of what other hosts have heard from which this one probes upstreams for another.
const WITNESS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest interval at which a host repeats to all others that it is stranded.
const MIN_STRANDED_INTERVAL: Duration = Duration::from_millis(700);
/// That interval for each other host, so that each gets 200 such messages a second at most.
const STRANDED_INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// Upstreams of which one notice asks or tells.
const MAX_NOTICE_UPSTREAMS: usize = 16;

/// Another host that takes requests on to the upstreams of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetourHost {
    /// Name of the host.
    pub host: String,
    /// Its address for other hosts.
    pub address: SocketAddr,
}

/// An upstream to which a probe may connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address of the upstream.
    pub address: SocketAddr,
}

/// A change of this host's reach of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ReachChange {
    /// The service.
    pub service: ServiceName,
    /// The state before.
    pub before: ReachState,
    /// The state from now on.
    pub state: ReachState,
    /// The evidence that led to it.
    pub evidence: ReachEvidence,
    /// How the upstreams that fail last failed; `None` if none does.
    pub cause: Option<UnreachedCause>,
    /// Time that the state before had lasted.
    pub lasted: Duration,
}

/// What follows from the evidence at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachStep {
    /// Changes of this host's reach.
    pub(crate) changes: Vec<ReachChange>,
    /// Upstreams to connect to.
    pub(crate) probes: Vec<ProbeTarget>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceVerdict {
    state: ReachState,
    since: Instant,
    /// When another host last confirmed that it reaches what this one has lost.
    confirmed_at: Instant,
}

#[derive(Debug)]
struct PeerReach {
    notice: ReachNotice,
    /// When the notice was received.
    noticed_at: Instant,
    /// When anything was received from the host.
    heard_at: Instant,
}

impl PeerReach {
    /// Whether what the host said of its reach still holds.
    fn is_fresh(&self, now: Instant) -> bool {
        now - self.noticed_at < NOTICE_TIME
    }

    fn is_heard(&self, now: Instant) -> bool {
        now - self.heard_at < NOTICE_TIME
    }
}

/// Evidence on all upstreams that this host has had to do with, and the last notices of other hosts.
#[derive(Debug, Default)]
pub(crate) struct ReachTable {
    contacts: HashMap<u32, (ServiceName, UpstreamContact)>,
    verdicts: HashMap<ServiceName, ServiceVerdict>,
    peers: HashMap<String, PeerReach>,
    /// When another host was last known to hear the upstream with this tag.
    heard_elsewhere: HashMap<u32, Instant>,
    addresses: HashMap<String, SocketAddr>,
    /// Hosts that said that they are stranded, and until when that holds.
    stranded_hosts: HashMap<String, Instant>,
    /// When anything last came from any upstream.
    heard_at: Option<Instant>,
    /// When this host last took silence for a sign of a cut.
    silence_noted_at: Option<Instant>,
    budget: ProbeBudget,
}

impl ReachTable {
    fn contact(&mut self, upstream: &UpstreamId, service: &ServiceName) -> &mut UpstreamContact {
        let tag = upstream_tag(upstream);
        let entry = self.contacts.entry(tag);
        &mut entry
            .or_insert_with(|| (service.clone(), UpstreamContact::default()))
            .1
    }

    pub(crate) fn record_connected(
        &mut self,
        upstream: &UpstreamId,
        service: &ServiceName,
        now: Instant,
    ) {
        self.contact(upstream, service).record_connected(now);
        self.heard_at = Some(now);
    }

    pub(crate) fn record_heard(
        &mut self,
        upstream: &UpstreamId,
        service: &ServiceName,
        now: Instant,
    ) {
        self.contact(upstream, service).record_heard(now);
        self.heard_at = Some(now);
    }

    pub(crate) fn record_unreached(
        &mut self,
        upstream: &UpstreamId,
        service: &ServiceName,
        cause: UnreachedCause,
        now: Instant,
    ) {
        self.contact(upstream, service).record_unreached(cause, now);
    }

    /// Replaces the addresses of the other hosts.
    pub(crate) fn set_hosts(&mut self, addresses: HashMap<String, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Applies a load report of another host.
    ///
    /// A host may still hear an upstream on an old connection while new ones fail, so what it says of an
    /// upstream that it hasn't reached itself is no evidence.
    pub(crate) fn apply_report(
        &mut self,
        host: &str,
        loads: &[UpstreamLoad],
        notice: &ReachNotice,
        now: Instant,
    ) {
        for tag in &notice.heard {
            self.heard_elsewhere.insert(*tag, now);
        }
        self.apply_stranded(host, notice.is_stranded, now);
        let peer = PeerReach {
            notice: notice.clone(),
            noticed_at: now,
            heard_at: now,
        };
        self.peers.insert(host.to_owned(), peer);
        self.apply_loads(host, loads, now);
    }

    /// Applies a load report of another host that says nothing new of its reach. One of a release without
    /// it says that the host is there.
    pub(crate) fn apply_loads(&mut self, host: &str, loads: &[UpstreamLoad], now: Instant) {
        if !self.peers.contains_key(host) {
            let peer = PeerReach {
                notice: ReachNotice::default(),
                noticed_at: now,
                heard_at: now,
            };
            self.peers.insert(host.to_owned(), peer);
        }
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.heard_at = now;
        let active = loads.iter().filter(|load| load.3).map(|load| load.0);
        for tag in active.filter(|tag| !peer.notice.unreached.contains(tag)) {
            self.heard_elsewhere.insert(tag, now);
        }
    }

    /// Whether no other host has been heard lately.
    pub(crate) fn is_alone(&self, now: Instant) -> bool {
        !self.peers.values().any(|peer| peer.is_heard(now))
    }

    /// Whether connections to an upstream fail here while another host hears it.
    pub(crate) fn is_lost(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let tag = upstream_tag(upstream);
        let heard_elsewhere = self.recently_heard_elsewhere(tag, now);
        let contact = self.contacts.get(&tag);
        contact.is_some_and(|(_, contact)| contact.is_lost_here(heard_elsewhere, now))
    }

    fn recently_heard_elsewhere(&self, tag: u32, now: Instant) -> Option<Instant> {
        let heard_elsewhere = self.heard_elsewhere.get(&tag).copied();
        heard_elsewhere.filter(|at| now - *at < ELSEWHERE_TIME)
    }

    /// Applies what another host says of whether it is stranded.
    pub(crate) fn apply_stranded(&mut self, host: &str, is_stranded: bool, now: Instant) {
        match is_stranded {
            true => {
                let until = now + stranded_time(self.addresses.len());
                self.stranded_hosts.insert(host.to_owned(), until);
            }
            false => {
                self.stranded_hosts.remove(host);
            }
        }
    }

    /// Whether another host is stranded, by what it said last.
    pub(crate) fn is_host_stranded(&self, host: &str, now: Instant) -> bool {
        let until = self.stranded_hosts.get(host);
        until.is_some_and(|until| now < *until)
    }

    /// Whether callers should rather use other hosts, as this one is stranded from half of its services.
    pub(crate) fn is_mostly_stranded(&self) -> bool {
        let stranded = self.stranded().count();
        if stranded == 0 {
            return false;
        }
        let contacts = self.contacts.values().map(|(service, _)| service);
        let known: HashSet<&ServiceName> = contacts.chain(self.verdicts.keys()).collect();
        stranded * 2 >= known.len()
    }

    /// Services of which a connection has failed lately, without a successful one since, or whose state
    /// is not [`ReachState::Reached`].
    pub(crate) fn suspected(&self, now: Instant) -> HashSet<ServiceName> {
        let failing = self.contacts.values();
        let failing = failing.filter(|(_, contact)| contact.unreached(now).is_some());
        let failing = failing.map(|(service, _)| service.clone());
        let judged = self.verdicts.iter();
        let judged = judged.filter(|(_, verdict)| verdict.state != ReachState::Reached);
        failing
            .chain(judged.map(|(service, _)| service.clone()))
            .collect()
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(
        &mut self,
        target: &ProbeTarget,
        result: Result<(), UnreachedCause>,
        now: Instant,
    ) {
        self.budget.finish(target);
        match result {
            Ok(()) => self.record_connected(&target.id, &target.service, now),
            Err(cause) => self.record_unreached(&target.id, &target.service, cause, now),
        }
    }

    /// Judges the reach of the services of which `windows` has upstreams that this host uses, and chooses
    /// upstreams to probe.
    pub(crate) fn step(
        &mut self,
        windows: &[(ServiceName, Vec<ProbeTarget>)],
        now: Instant,
    ) -> ReachStep {
        let mut step = ReachStep::default();
        for (service, window) in windows {
            let change = self.judge(service, window, now);
            if change.is_some() {
                self.budget.renew();
            }
            step.changes.extend(change);
            step.probes.extend(self.probes(service, window, now));
        }
        step.probes.extend(self.witness_probes(windows, now));
        step
    }

    /// Upstreams of a suspected service of which it has to be known whether this host reaches them.
    fn probes(
        &mut self,
        service: &ServiceName,
        window: &[ProbeTarget],
        now: Instant,
    ) -> Vec<ProbeTarget> {
        let evidence = self.evidence(window, now);
        let is_reached = self.state(service) == ReachState::Reached;
        let has_failed = evidence.lost + evidence.unreached > 0;
        if is_reached && (!has_failed || evidence.is_settled()) {
            return Vec::new();
        }
        let first_failed = self.first_failed(window, now);
        let contacts = &self.contacts;
        let is_open = |target: &&ProbeTarget| {
            let contact = contacts.get(&upstream_tag(&target.id));
            !contact.is_some_and(|(_, contact)| {
                first_failed.is_some_and(|since| contact.has_connected_since(since))
            })
        };
        let open = window.iter().filter(is_open);
        self.budget.take(open, usize::MAX, now)
    }

    /// Upstreams that another host has lost and of which nobody has told whether they are alive.
    fn witness_probes(
        &mut self,
        windows: &[(ServiceName, Vec<ProbeTarget>)],
        now: Instant,
    ) -> Vec<ProbeTarget> {
        let askers = self.peers.values().filter(|peer| {
            peer.is_fresh(now) && peer.notice.unreached.len() >= MIN_ASKED_UPSTREAMS
        });
        let asked: HashSet<u32> = askers
            .flat_map(|peer| peer.notice.unreached.iter().copied())
            .collect();
        if asked.is_empty() {
            return Vec::new();
        }
        let is_unknown = |tag: u32| {
            let heard_elsewhere = self.heard_elsewhere.get(&tag);
            let is_heard = heard_elsewhere.is_some_and(|at| now - *at < WITNESS_INTERVAL);
            let contact = self.contacts.get(&tag);
            let is_known = contact.is_some_and(|(_, contact)| {
                contact.is_sound(HEARD_TIME, now) || contact.unreached(now).is_some()
            });
            asked.contains(&tag) && !is_heard && !is_known
        };
        let reached = windows
            .iter()
            .filter(|(service, _)| self.state(service) == ReachState::Reached);
        let unknown: Vec<ProbeTarget> = reached
            .flat_map(|(_, window)| window)
            .filter(|target| is_unknown(upstream_tag(&target.id)))
            .cloned()
            .collect();
        self.budget.take(unknown.iter(), 1, now)
    }

    /// Whether another host asks for upstreams that it has lost.
    pub(crate) fn is_asked(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.is_fresh(now) && !peer.notice.unreached.is_empty())
    }

    /// Whether nothing has come from any upstream for so long that work at upstreams which others hear
    /// may be a sign of a cut.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let is_silent = |at: Instant| now - at >= SILENCE_TIME;
        let is_due = |at: Instant| now - at >= SILENCE_INTERVAL;
        self.heard_at.is_some_and(is_silent) && self.silence_noted_at.is_none_or(is_due)
    }

    /// Upstreams to probe, of those at which this host has work, as it hears of none and others do.
    pub(crate) fn silence_probes(
        &mut self,
        busy: &[ProbeTarget],
        now: Instant,
    ) -> Vec<ProbeTarget> {
        let is_heard_elsewhere = |target: &&ProbeTarget| {
            let heard_elsewhere = self.heard_elsewhere.get(&upstream_tag(&target.id));
            heard_elsewhere.is_some_and(|at| {
                let since = self.heard_at.map(|heard| heard + SILENCE_TIME);
                now - *at < SILENCE_TIME && since.is_some_and(|since| *at >= since)
            })
        };
        let suspects: Vec<ProbeTarget> = busy.iter().filter(is_heard_elsewhere).cloned().collect();
        if suspects.is_empty() {
            return Vec::new();
        }
        self.silence_noted_at = Some(now);
        self.budget.take(suspects.iter(), SILENCE_PROBES, now)
    }

    /// Judges the reach of a service from the evidence on `window`, the upstreams of the service that this
    /// host uses. Returns the change, if there is one.
    fn judge(
        &mut self,
        service: &ServiceName,
        window: &[ProbeTarget],
        now: Instant,
    ) -> Option<ReachChange> {
        let evidence = self.evidence(window, now);
        let cause = self.last_cause(window, now);
        let has_peers = !self.is_alone(now);
        let judged = match has_peers {
            true => evidence.judge(),
            false => ReachState::Reached,
        };
        let verdict = self.verdicts.entry(service.clone());
        let verdict = verdict.or_insert(ServiceVerdict {
            state: ReachState::Reached,
            since: now,
            confirmed_at: now,
        });
        if judged != ReachState::Reached {
            verdict.confirmed_at = now;
        }
        // Others may hear nothing of the upstreams for a while, as when the service is idle.
        let is_kept = verdict.state == ReachState::Stranded
            && has_peers
            && evidence.connected == 0
            && evidence.lost + evidence.unreached > 0
            && now - verdict.confirmed_at < UNCONFIRMED_TIME;
        let before = verdict.state;
        let state = if is_kept { before } else { judged };
        verdict.state = state;
        let has_changed = std::mem::discriminant(&before) != std::mem::discriminant(&state);
        has_changed.then(|| ReachChange {
            service: service.clone(),
            before,
            state,
            evidence,
            cause,
            lasted: now - std::mem::replace(&mut verdict.since, now),
        })
    }

    fn evidence(&self, window: &[ProbeTarget], now: Instant) -> ReachEvidence {
        let contacts: Vec<(u32, UpstreamContact)> = window
            .iter()
            .map(|target| upstream_tag(&target.id))
            .filter_map(|tag| Some((tag, self.contacts.get(&tag)?.1)))
            .collect();
        let Some(first_failed) = self.first_failed(window, now) else {
            return ReachEvidence {
                serving: window.len(),
                ..ReachEvidence::default()
            };
        };
        let mut evidence = ReachEvidence {
            serving: window.len(),
            ..ReachEvidence::default()
        };
        for (tag, contact) in &contacts {
            let heard_elsewhere = self.recently_heard_elsewhere(*tag, now);
            if contact.is_lost_here(heard_elsewhere, now) {
                evidence.lost += 1;
            } else if contact.unreached(now).is_some() {
                evidence.unreached += 1;
            } else if contact.has_connected_since(first_failed) {
                evidence.connected += 1;
            }
        }
        evidence
    }

    /// When the first of the failures was recorded that count now.
    fn first_failed(&self, window: &[ProbeTarget], now: Instant) -> Option<Instant> {
        let tags = window.iter().map(|target| upstream_tag(&target.id));
        let contacts = tags.filter_map(|tag| self.contacts.get(&tag));
        let failures = contacts.filter_map(|(_, contact)| contact.unreached(now));
        failures.map(|(since, _)| since).min()
    }

    fn last_cause(&self, window: &[ProbeTarget], now: Instant) -> Option<UnreachedCause> {
        let tags = window.iter().map(|target| upstream_tag(&target.id));
        let contacts = tags.filter_map(|tag| self.contacts.get(&tag));
        let failures = contacts.filter_map(|(_, contact)| contact.unreached(now));
        failures
            .max_by_key(|(since, _)| *since)
            .map(|(_, cause)| cause)
    }

    /// Reach of a service. One of which nothing is known is stranded as well while the host reaches none.
    pub(crate) fn state(&self, service: &ServiceName) -> ReachState {
        match self.verdicts.get(service) {
            Some(verdict) => verdict.state,
            None if self.is_stranded() => ReachState::Stranded,
            None => ReachState::Reached,
        }
    }

    /// Whether the host reaches no service of which anything is known, and is stranded from one at least.
    pub(crate) fn is_stranded(&self) -> bool {
        let mut verdicts = self.verdicts.values();
        !self.verdicts.is_empty() && verdicts.all(|verdict| verdict.state == ReachState::Stranded)
    }

    /// Services that this host is stranded from, by its own evidence.
    pub(crate) fn stranded(&self) -> impl Iterator<Item = &ServiceName> {
        let verdicts = self.verdicts.iter();
        let stranded = verdicts.filter(|(_, verdict)| verdict.state == ReachState::Stranded);
        stranded.map(|(service, _)| service)
    }

    /// Forgets what is too old to say anything.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.heard_elsewhere
            .retain(|_, at| now - *at < ELSEWHERE_TIME);
        self.peers.retain(|_, peer| peer.is_heard(now));
        self.stranded_hosts.retain(|_, until| now < *until);
        self.contacts.retain(|_, (_, contact)| {
            let last = contact.last_evidence();
            last.is_some_and(|at| now - at < CONTACT_TIME)
        });
    }

    /// Other hosts that said lately that they reach `service` and take detours.
    pub(crate) fn detour_hosts(&self, service: &ServiceName, now: Instant) -> Vec<DetourHost> {
        let tag = service_tag(service);
        let hosts = self.peers.iter().filter(|(_, peer)| {
            peer.is_fresh(now)
                && peer.notice.reached.contains(&tag)
                && !peer.notice.stranded.contains(&tag)
        });
        let mut hosts: Vec<DetourHost> = hosts
            .filter_map(|(host, _)| {
                Some(DetourHost {
                    host: host.clone(),
                    address: *self.addresses.get(host)?,
                })
            })
            .collect();
        hosts.sort_by(|one, other| one.host.cmp(&other.host));
        hosts
    }

    /// What this host tells the others.
    pub(crate) fn own_notice(&self, now: Instant) -> ReachNotice {
        let heard: HashSet<&ServiceName> = self
            .contacts
            .values()
            .filter(|(_, contact)| contact.is_sound(REACHED_TIME, now))
            .map(|(service, _)| service)
            .collect();
        let is_open = |service: &ServiceName| match self.state(service) {
            ReachState::Reached => true,
            ReachState::Partial(share) => share < MAX_DETOUR_SHARE,
            ReachState::Stranded => false,
        };
        let reached = heard.into_iter().filter(|service| is_open(service));
        let unreached = self.contacts.iter();
        let unreached = unreached.filter(|(_, (_, contact))| contact.unreached(now).is_some());
        let asked: HashSet<u32> = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now))
            .flat_map(|peer| peer.notice.unreached.iter().copied())
            .collect();
        let is_heard = |tag: &u32| {
            let contact = self.contacts.get(tag);
            contact.is_some_and(|(_, contact)| contact.is_sound(HEARD_TIME, now))
        };
        ReachNotice {
            reached: sorted(reached.map(service_tag)),
            is_stranded: self.is_mostly_stranded(),
            stranded: sorted(self.stranded().map(service_tag)),
            unreached: sorted(unreached.map(|(tag, _)| *tag).take(MAX_NOTICE_UPSTREAMS)),
            heard: sorted(
                asked
                    .into_iter()
                    .filter(is_heard)
                    .take(MAX_NOTICE_UPSTREAMS),
            ),
        }
    }
}

/// Interval at which a host that stays stranded repeats it to all of `hosts` others, so that what all
/// stranded hosts send to one is bounded.
pub(crate) fn stranded_interval(hosts: usize) -> Duration {
    MIN_STRANDED_INTERVAL.max(STRANDED_INTERVAL_PER_HOST * hosts as u32)
}

/// Time for which a host counts as stranded after it said so: two repetitions may be lost.
fn stranded_time(hosts: usize) -> Duration {
    stranded_interval(hosts) * 3
}

fn sorted(tags: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut tags: Vec<u32> = tags.collect();
    tags.sort_unstable();
    tags
}
