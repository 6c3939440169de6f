//! The part of the load balancer's state that deals with upstreams that limit the requests a second.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::backoff::UpstreamAvailability;
use crate::balancer::capacity::SlotUsage;
use crate::balancer::capacity::is_mostly_free;
use crate::balancer::limit_placement::Placement;
use crate::balancer::limit_placement::PlacementCandidate;
use crate::balancer::limit_placement::place_item;
use crate::balancer::limit_placement::place_online;
use crate::balancer::neighbours::PeerState;
use crate::balancer::ring::neighbour_reach;
use crate::balancer::ring::ring_distance;
use crate::balancer::state::BalancerKey;
use crate::balancer::state::BalancerState;
use crate::balancer::state::SlotRequest;
use crate::balancer::state::UpstreamRecord;
use crate::balancer::state::availability;
use crate::host_draw::draw_weight;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;
use crate::ids::UpstreamIncarnation;
use crate::ids::WorkClass;
use crate::limits::GrantAuthority;
use crate::limits::GrantCounts;
use crate::limits::GrantReply;
use crate::limits::GrantRequest;
use crate::limits::GrantState;
use crate::limits::KnownLimit;
use crate::limits::LimitChange;
use crate::limits::LimitNotice;
use crate::limits::LimitSignal;

impl BalancerState {
    /// Restricts the candidates to those that may take the work, if any of them has a limit. Returns
    /// the upstreams at which to ask for a grant.
    pub(super) fn restrict_to_placement(
        &self,
        candidates: &mut Vec<(BalancerKey, &UpstreamRecord)>,
        request: SlotRequest<'_>,
        now: Instant,
    ) -> Vec<BalancerKey> {
        let is_limited = |upstream: &UpstreamRecord| self.is_limited(upstream);
        if !candidates.iter().any(|(_, upstream)| is_limited(upstream)) {
            return Vec::new();
        }
        let described: Vec<PlacementCandidate> = candidates
            .iter()
            .map(|(key, upstream)| self.placement_candidate(*key, upstream, request.class, now))
            .collect();
        let Placement { among, asks } = match request.class {
            WorkClass::Online => place_online(&described, request.may_wait),
            WorkClass::Batch => {
                let usages = self.unlimited_usages(request.service, now);
                place_item(&described, is_mostly_free(&usages), now)
            }
        };
        candidates.retain(|(key, _)| among.contains(key));
        asks
    }

    fn placement_candidate(
        &self,
        key: BalancerKey,
        upstream: &UpstreamRecord,
        class: WorkClass,
        now: Instant,
    ) -> PlacementCandidate {
        let incarnation = upstream.incarnation();
        let authority = self
            .is_limited(upstream)
            .then(|| self.grant_authority(key, now));
        let is_own = matches!(authority, Some(GrantAuthority::Own { .. }));
        PlacementCandidate {
            key,
            has_free_slot: upstream.work(&self.peer_loads).total() < upstream.entry.slots,
            grant: authority
                .map(|authority| self.limits.grant_state(incarnation, class, &authority, now)),
            is_test_due: is_own && self.limits.is_test_due(incarnation, now),
        }
    }

    pub(super) fn is_limited(&self, upstream: &UpstreamRecord) -> bool {
        self.limits.limit(upstream.incarnation()).is_some()
    }

    /// Whether an upstream in this host's window of `service` has a limit of requests a second.
    pub fn has_limited_upstream(&self, service: &ServiceName) -> bool {
        let mut window = self.window(service, |_| true);
        window.any(|(_, upstream)| self.is_limited(upstream))
    }

    /// Whether a limited upstream has a free slot, and a grant for an online request can be had.
    pub(super) fn takes_another(&self, key: BalancerKey, now: Instant) -> bool {
        let upstream = &self.upstreams[&key];
        let has_slot = upstream.work(&self.peer_loads).total() < upstream.entry.slots;
        has_slot
            && !matches!(
                self.grant_state(key, WorkClass::Online, now),
                GrantState::Denied(_)
            )
    }

    /// The host that paces the requests of all hosts to the upstream: of the hosts that use the
    /// upstream and that this one hears, all choose the same by their names.
    fn grant_authority(&self, key: BalancerKey, now: Instant) -> GrantAuthority {
        let tag = self.upstreams[&key].tag;
        let weight = |host: &str| draw_weight(host, tag);
        let heard = self
            .window_users(key)
            .filter(|host| self.tracker.peer_state(host, now) == PeerState::Heard);
        let responsive = heard.filter(|host| !self.limits.is_unresponsive(host, now));
        let best = responsive.max_by_key(|host| weight(host));
        let own = self.tracker.own();
        match best {
            Some(host) if !self.uses(key) || weight(host) > weight(own) => {
                GrantAuthority::Host(host.to_owned())
            }
            _ => GrantAuthority::Own {
                share: self.heard_share(key, now),
            },
        }
    }

    /// Share of the hosts that use the upstream that this one hears, itself included.
    fn heard_share(&self, key: BalancerKey, now: Instant) -> f64 {
        self.tracker.heard_share(self.window_users(key), now)
    }

    /// Whether this host is among those that use the upstream, as [`Self::window_users`] are.
    fn uses(&self, key: BalancerKey) -> bool {
        let upstream = &self.upstreams[&key];
        let Some(serving) = self.serving.get(&upstream.entry.service) else {
            return false;
        };
        let Ok(index) = serving.binary_search(&(upstream.tag, key)) else {
            return false;
        };
        let position = (index as f64 + 0.5) / serving.len() as f64;
        let reach = neighbour_reach(serving.len(), self.tracker.hosts()) / 2.0;
        ring_distance(position, self.tracker.position()) <= reach
    }

    fn grant_state(&self, key: BalancerKey, class: WorkClass, now: Instant) -> GrantState {
        let authority = self.grant_authority(key, now);
        let incarnation = self.upstreams[&key].incarnation();
        self.limits.grant_state(incarnation, class, &authority, now)
    }

    pub(super) fn ask_grant(&mut self, key: BalancerKey, class: WorkClass, now: Instant) {
        if let GrantAuthority::Host(host) = self.grant_authority(key, now) {
            let incarnation = self.upstreams[&key].incarnation();
            self.limits.ask(incarnation, class, &host, now);
        }
    }

    /// Uses the grant for a request to the upstream, and returns its limit.
    pub(super) fn take_grant(
        &mut self,
        key: BalancerKey,
        class: WorkClass,
        now: Instant,
    ) -> Option<KnownLimit> {
        let incarnation = self.upstreams[&key].incarnation();
        let known = self.limits.known(incarnation, now)?;
        let authority = self.grant_authority(key, now);
        self.limits.take(incarnation, class, &authority, now);
        Some(known)
    }

    /// When work of `service` that [`Self::acquire`] did not place may be placed, as a grant for it is
    /// on its way; `None` if none is.
    pub fn grant_expected_at(&self, service: &ServiceName, now: Instant) -> Option<Instant> {
        let healthy = self.window(service, |up| {
            availability(up, now) == UpstreamAvailability::Healthy
        });
        let limited = healthy.filter(|(_, upstream)| self.is_limited(upstream));
        let expected = limited.filter_map(|(key, upstream)| {
            match self.grant_state(key, WorkClass::Online, now) {
                GrantState::Ready | GrantState::Expected => {
                    self.limits.expected_at(upstream.incarnation())
                }
                GrantState::Open => Some(now),
                GrantState::Denied(_) => None,
            }
        });
        expected.min()
    }

    /// When a refused caller should come back, if limits of upstreams leave no room for it: the delay
    /// follows the rate at which this host may send requests. `None` if an upstream without a limit
    /// serves.
    pub fn limited_retry_delay(&mut self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let mut per_second = 0.0;
        let mut wait: Option<Duration> = None;
        for (key, upstream) in self.window(service, |up| {
            availability(up, now) == UpstreamAvailability::Healthy
        }) {
            let limit = self.limits.limit(upstream.incarnation())?;
            per_second += limit.per_second() / (self.window_users(key).count() + 1) as f64;
            let until = match self.grant_state(key, WorkClass::Online, now) {
                GrantState::Denied(until) => until,
                GrantState::Ready | GrantState::Expected | GrantState::Open => now,
            };
            let next = until.saturating_duration_since(now);
            wait = Some(wait.map_or(next, |known| known.min(next)));
        }
        let wait = wait?;
        let schedule = self.returns.entry(service.clone()).or_default();
        Some(schedule.next_delay(per_second, wait, now))
    }

    /// Applies what an answer of an upstream says about its limit.
    pub fn note_limit(&mut self, key: BalancerKey, signal: LimitSignal, now: Instant) {
        if let Some(upstream) = self.upstreams.get(&key) {
            let incarnation = upstream.incarnation();
            self.limits.observe(incarnation, signal, now);
        }
    }

    /// Limit of the upstream with this identifier; `None` without one.
    pub fn known_limit(&self, id: &UpstreamId, now: Instant) -> Option<KnownLimit> {
        let key = self.keys_by_id.get(id)?;
        self.limits.known(self.upstreams[key].incarnation(), now)
    }

    /// All limits that this host knows.
    pub fn known_limits(&self, now: Instant) -> Vec<KnownLimit> {
        self.limits.all(now).collect()
    }

    /// Takes the counts of requests to limited upstreams since the last call.
    pub fn take_grant_counts(&mut self) -> GrantCounts {
        self.limits.take_counts()
    }

    /// Takes the changes of limits since the last call, with the names of the upstreams that are
    /// registered.
    pub fn take_limit_changes(&mut self) -> Vec<(Option<UpstreamId>, LimitChange)> {
        let changes = self.limits.take_changes();
        let named = changes.into_iter().map(|change| {
            let key = self.key_of(change.incarnation);
            let id = key.map(|key| self.upstreams[&key].entry.id.clone());
            (id, change)
        });
        named.collect()
    }

    /// Whether there are requests for grants to send.
    pub(crate) fn has_grant_requests(&self) -> bool {
        self.limits.has_requests()
    }

    /// Takes the requests for grants to send, with the hosts that they are for.
    pub fn take_grant_requests(&mut self) -> Vec<(String, GrantRequest)> {
        self.limits.take_requests()
    }

    /// Answers another host's request for a grant.
    pub fn answer_grant_request(&mut self, request: &GrantRequest, now: Instant) -> GrantReply {
        let share = match self.key_of(request.known.0) {
            Some(key) => self.heard_share(key, now),
            None => 1.0,
        };
        self.limits.answer(request, share, now)
    }

    /// Applies the reply to a request for a grant. Returns whether work may now be placed otherwise.
    pub fn apply_grant_reply(&mut self, reply: &GrantReply, now: Instant) -> bool {
        self.limits.apply_reply(reply, now)
    }

    /// What this host's load report tells of limits.
    pub fn limit_notices(&mut self, now: Instant) -> Vec<LimitNotice> {
        self.limits.notices(now)
    }

    /// Number that changes whenever other hosts have to be told of limits at once.
    pub fn limit_revision(&self) -> u64 {
        self.limits.revision()
    }

    fn key_of(&self, incarnation: UpstreamIncarnation) -> Option<BalancerKey> {
        let mut keys = self.keys_by_id.values();
        keys.find(|key| self.upstreams[key].incarnation() == incarnation)
            .copied()
    }

    /// Usage of the upstreams without a limit. Items are preempted only there: where a limit holds,
    /// each further run of an item would take a request from another piece of work.
    pub(super) fn unlimited_usages(&self, service: &ServiceName, now: Instant) -> Vec<SlotUsage> {
        let good = self.window(service, |up| {
            availability(up, now) == UpstreamAvailability::Healthy
        });
        good.filter(|(_, upstream)| !self.is_limited(upstream))
            .map(|(key, upstream)| self.slot_usage(key, upstream))
            .collect()
    }

    /// Number of items that limited upstreams have room for in the next second.
    pub(super) fn limited_room(&self, service: &ServiceName, now: Instant) -> u32 {
        let good = self.window(service, |up| {
            availability(up, now) == UpstreamAvailability::Healthy
        });
        let limited = good.filter_map(|(key, upstream)| {
            let limit = self.limits.limit(upstream.incarnation())?;
            let usage = self.slot_usage(key, upstream);
            let free = usage.slots.saturating_sub(usage.online + usage.batch);
            Some(free.min(limit.per_second().ceil() as u32))
        });
        limited.sum()
    }
}
