//! What the load balancer's state learns from the answers of upstreams: how quickly each one serves, how
//! often it fails, and how long requests hold their slots.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::backoff::UpstreamFault;
use crate::balancer::pace::INITIAL_SLOT_TIME;
use crate::balancer::pace::PaceEstimate;
use crate::balancer::pace::PaceSample;
use crate::balancer::pace::is_failure;
use crate::balancer::pace::process_tag;
use crate::balancer::pace::reporter_tag;
use crate::balancer::score::ScoreInputs;
use crate::balancer::score::ServiceInputs;
use crate::balancer::score::expected_ms;
use crate::balancer::state::BalancerKey;
use crate::balancer::state::BalancerState;
use crate::balancer::state::SlotRequest;
use crate::balancer::state::UpstreamRecord;
use crate::balancer::waiting::service_tag;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;

/// Share of failing attempts from which work that can't be repeated goes elsewhere, if it can.
const SUSPECT_SHARE: f64 = 0.05;
/// Largest time to a first event that a sample holds, in tenths of a millisecond.
const MAX_SAMPLE_TENTHS: u128 = 100_000;

/// Paces of the upstreams of one service in a host's window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSummary {
    /// Pace of the quickest upstream: its time to the first event as a multiple of the service's.
    pub quickest: f64,
    /// Pace of the slowest upstream.
    pub slowest: f64,
    /// Upstreams that work avoids which can't be repeated.
    pub failing: usize,
    /// Mean time for which an online request holds its slot.
    pub slot_time: Duration,
}

impl BalancerState {
    /// Sets whether the paces of upstreams are learnt and used; they are not by default.
    pub fn with_pace(mut self, learns_pace: bool) -> Self {
        self.learns_pace = learns_pace;
        self
    }

    /// Records that the first event of a request arrived after `time`, which was sent to an upstream
    /// beside `beside` requests and items.
    pub fn note_first_event(
        &mut self,
        key: BalancerKey,
        beside: u32,
        time: Duration,
        now: Instant,
    ) {
        let tenths = (time.as_micros() / 100).min(MAX_SAMPLE_TENTHS) as u32;
        self.add_own_sample(key, beside, Some(tenths), now);
    }

    /// Records that an attempt at an upstream failed, whether the request is sent again or not. A fault
    /// that [`Self::note_fault`] records counts without this.
    pub fn note_failure(&mut self, key: BalancerKey, now: Instant) {
        self.add_own_sample(key, 0, None, now);
    }

    /// Records that an online request which was served held its slot for `held`.
    pub fn note_slot_time(&mut self, key: BalancerKey, held: Duration) {
        if let Some(upstream) = self.upstreams.get(&key) {
            let services = &mut self.paces.services;
            let service = services.entry(upstream.service_tag).or_default();
            service.note_slot_time(held);
        }
    }

    /// Mean time for which an online request of `service` holds its slot.
    pub fn slot_time(&self, service: &ServiceName) -> Duration {
        match self.learns_pace {
            true => self.paces.slot_time(service_tag(service)),
            false => INITIAL_SLOT_TIME,
        }
    }

    /// Takes this host's observations for its load report to `receivers` hosts.
    pub fn take_pace_samples(&mut self, receivers: usize, now: Instant) -> Vec<PaceSample> {
        self.paces.outbox.take(receivers, now)
    }

    /// Pace of the upstream with this identifier: its time to the first event as a multiple of the
    /// service's. `None` if it is unknown.
    pub fn pace_of(&self, id: &UpstreamId, now: Instant) -> Option<f64> {
        let key = self.keys_by_id.get(id)?;
        Some(self.pace_estimate(&self.upstreams[key], now).pace)
    }

    /// Paces of the upstreams in this host's window of `service`; `None` without any.
    pub fn pace_summary(&self, service: &ServiceName, now: Instant) -> Option<PaceSummary> {
        let window = self.window(service, |_| true);
        let estimates: Vec<PaceEstimate> = window
            .map(|(_, upstream)| self.pace_estimate(upstream, now))
            .collect();
        let paces = estimates.iter().map(|estimate| estimate.pace);
        Some(PaceSummary {
            quickest: paces.clone().min_by(f64::total_cmp)?,
            slowest: paces.max_by(f64::total_cmp)?,
            failing: estimates.iter().filter(|pace| is_suspect(pace)).count(),
            slot_time: self.slot_time(service),
        })
    }

    pub(super) fn note_failing_fault(
        &mut self,
        key: BalancerKey,
        fault: UpstreamFault,
        now: Instant,
    ) {
        if is_failure(fault) {
            self.note_failure(key, now);
        }
    }

    /// Adds what another host has observed.
    pub(super) fn apply_paces(&mut self, host: &str, samples: &[PaceSample], now: Instant) {
        let reporter = reporter_tag(host);
        for sample in samples {
            if let Some(key) = self.keys_by_process.get(&sample.0) {
                self.add_sample(*key, *sample, Some(reporter), now);
            }
        }
    }

    pub(super) fn pace_estimate(&self, upstream: &UpstreamRecord, now: Instant) -> PaceEstimate {
        match self.learns_pace {
            true => {
                let beside = upstream.work(&self.peer_loads).total();
                let service = self.paces.services.get(&upstream.service_tag);
                upstream
                    .pace
                    .estimate(beside, upstream.entry.slots, service, now)
            }
            false => PaceEstimate::default(),
        }
    }

    /// Whether so many attempts at the upstream fail that work which can't be repeated goes elsewhere.
    pub(super) fn is_suspect(&self, upstream: &UpstreamRecord, now: Instant) -> bool {
        is_suspect(&self.pace_estimate(upstream, now))
    }

    /// What is known of `service` for a comparison of its upstreams; `None` if paces aren't used.
    pub(super) fn service_inputs(&self, service: &ServiceName) -> Option<ServiceInputs> {
        let tag = service_tag(service);
        self.learns_pace.then(|| ServiceInputs {
            line: self.paces.line(tag),
            slot_time: self.paces.slot_time(tag),
        })
    }

    pub(super) fn score_inputs(
        &self,
        upstream: &UpstreamRecord,
        request: SlotRequest<'_>,
        now: Instant,
    ) -> ScoreInputs {
        let work = upstream.work(&self.peer_loads);
        ScoreInputs {
            class: request.class,
            online: work.online,
            total: work.total(),
            slots: upstream.entry.slots,
            is_local: upstream.entry.data_centre == self.data_centre,
            may_repeat: request.may_repeat,
            pace: self.pace_estimate(upstream, now),
        }
    }

    /// Expected time until the first event of the work at an upstream, in milliseconds, and its pace.
    /// `None` while too little is known of the service.
    pub(super) fn expected_first_event(
        &self,
        upstream: &UpstreamRecord,
        request: SlotRequest<'_>,
        now: Instant,
    ) -> Option<(f64, f64)> {
        let service = self.service_inputs(request.service)?;
        service.line?;
        let inputs = self.score_inputs(upstream, request, now);
        Some((expected_ms(inputs, service), inputs.pace.level_pace))
    }

    fn add_own_sample(&mut self, key: BalancerKey, beside: u32, first: Option<u32>, now: Instant) {
        let Some(upstream) = self.upstreams.get(&key).filter(|_| self.learns_pace) else {
            return;
        };
        let beside = beside.min(u32::from(u16::MAX)) as u16;
        let sample = PaceSample(process_tag(upstream.incarnation()), beside, first);
        self.add_sample(key, sample, None, now);
        self.paces.outbox.push(sample);
    }

    fn add_sample(
        &mut self,
        key: BalancerKey,
        sample: PaceSample,
        reporter: Option<u32>,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            let services = &mut self.paces.services;
            let service = services.entry(upstream.service_tag).or_default();
            let slots = upstream.entry.slots;
            upstream.pace.add(sample, reporter, slots, service, now);
        }
    }
}

fn is_suspect(estimate: &PaceEstimate) -> bool {
    estimate.failure_share > SUSPECT_SHARE
}
