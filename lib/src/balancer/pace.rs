//! How quickly each upstream serves and how often it fails, learnt from the answers that all hosts get
//! there.
//!
//! Answers a fleet whose upstreams differ in speed, slow down long before their slots are taken, stumble
//! for moments, or fail a part of their requests behind a sound health check. A host alone sees too
//! little of each upstream, so load reports carry single observations ([`PaceSample`]), and every host
//! adds up its own and those of the others alike.
//!
//! The time to the first event is compared with that of the service: a line over the number of requests
//! that ran beside, fitted to the samples of all its upstreams. The pace of an upstream is the ratio of
//! the two, learnt separately for each eighth of its slots, so that an upstream that slows down long
//! before it is full is used up to there. An upstream without samples has the pace 1, and one that gets no
//! samples returns to it.
//!
//! No single host can empty an upstream: each ratio is clamped, and the samples of one other host weigh
//! at most a quarter of the rest.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::backoff::UpstreamFault;
use crate::collections::HashMap;
use crate::ids::UpstreamIncarnation;

/// Bounds of the ratio of a sample's time to that of the service.
const MIN_RATIO: f64 = 0.25;
const MAX_RATIO: f64 = 4.0;
/// Weight of the assumption that an upstream is as quick as its service, in samples.
const PRIOR_WEIGHT: f64 = 1.0;
/// Largest weight of the samples of an upstream, so that the latest ones count most.
const MAX_PACE_WEIGHT: f64 = 8.0;
/// Time in which the weight of the samples of an upstream falls to 1/e.
const PACE_MEMORY: Duration = Duration::from_secs(8);
/// Time in which the weight of failures, and of the answers beside them, falls to 1/e.
const FAILURE_MEMORY: Duration = Duration::from_millis(1_000);
/// Weight of a failure, in answers.
const FAILURE_WEIGHT: f64 = 2.0;
/// Part of the failures told by the one other host that tells most of them that is left out, until
/// another host sees some as well.
const UNCONFIRMED_PART: f64 = 0.75;
/// Weight of the latest attempt in a service's share of failing ones.
const SERVICE_FAILURE_WEIGHT: f64 = 1.0 / 64.0;
/// Part of the weight of earlier failures that is left after an answer.
const FAILURE_REST: f64 = 0.7;
/// Largest weight of the samples behind a service's line.
const MAX_LINE_WEIGHT: f64 = 256.0;
/// Levels of load at which the pace of an upstream is learnt.
const PACE_LEVELS: usize = 8;
/// Weight of a service's samples from which its line is used.
const MIN_LINE_WEIGHT: f64 = 4.0;
/// Longest time to a first event that a sample holds, in milliseconds.
const MAX_FIRST_MS: f64 = 10_000.0;
/// Largest share of the samples of one other host in those of all the rest.
const MAX_REPORTER_SHARE: f64 = 0.25;
/// Weight below which samples of one other host always count.
const MIN_REPORTER_WEIGHT: f64 = 1.0;
/// Samples waiting to be told to other hosts.
const MAX_UNTOLD: usize = 64;
/// Samples a second, times the hosts that receive them, that a host tells.
const TOLD_PER_SECOND: f64 = 600.0;

/// Mean time for which an online request holds its slot, until any has been observed.
pub(crate) const INITIAL_SLOT_TIME: Duration = Duration::from_millis(800);
/// Weight of the latest observation in the mean slot time.
const SLOT_TIME_WEIGHT: f64 = 1.0 / 16.0;

/// One observation of an upstream, as a load report carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSample(
    /// Tag of the upstream's process, see [`process_tag`].
    pub u32,
    /// Requests and items of all hosts that were at the upstream when the request was sent.
    pub u16,
    /// Time to the first event in tenths of a millisecond; `None` if the attempt failed.
    pub Option<u32>,
);

/// Hash of an upstream's process that stands for it in samples.
pub fn process_tag(incarnation: UpstreamIncarnation) -> u32 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&incarnation.0.to_le_bytes());
    bytes[4..].copy_from_slice(&incarnation.1.to_le_bytes());
    xxh3_64(&bytes) as u32
}

/// Hash of a host's name by which its share in the samples of an upstream is bounded.
pub(crate) fn reporter_tag(host: &str) -> u32 {
    xxh3_64(host.as_bytes()) as u32
}

/// Whether a fault says something of the upstream's answers, and not only of the way there.
pub(crate) fn is_failure(fault: UpstreamFault) -> bool {
    match fault {
        UpstreamFault::Slow | UpstreamFault::Broken | UpstreamFault::Failed => true,
        UpstreamFault::Unreachable
        | UpstreamFault::Silent
        | UpstreamFault::Full
        | UpstreamFault::Moved => false,
    }
}

/// Time to the first event of a service's requests as a line over the requests that run beside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServiceLine {
    /// Time in milliseconds at an upstream without other work.
    pub(crate) idle_ms: f64,
    /// Milliseconds that each request beside adds.
    pub(crate) per_request_ms: f64,
}

impl ServiceLine {
    /// Time to the first event in milliseconds beside `beside` running requests.
    pub(crate) fn first_ms(self, beside: u32) -> f64 {
        self.idle_ms + self.per_request_ms * f64::from(beside)
    }
}

/// Samples of all upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServicePace {
    weight: f64,
    beside: f64,
    beside_squared: f64,
    first: f64,
    beside_first: f64,
    /// Share of the latest attempts at all upstreams that failed.
    failure_share: f64,
    slot_time: Duration,
}

impl Default for ServicePace {
    fn default() -> Self {
        Self {
            weight: 0.0,
            beside: 0.0,
            beside_squared: 0.0,
            first: 0.0,
            beside_first: 0.0,
            failure_share: 0.0,
            slot_time: INITIAL_SLOT_TIME,
        }
    }
}

impl ServicePace {
    /// The line through the samples; `None` with too few.
    pub(crate) fn line(&self) -> Option<ServiceLine> {
        if self.weight < MIN_LINE_WEIGHT {
            return None;
        }
        let mean = self.first / self.weight;
        let mean_beside = self.beside / self.weight;
        // One more squared request of spread pulls the slope to 0 where all samples have the same load.
        let spread = self.beside_squared / self.weight - mean_beside * mean_beside;
        let covariance = self.beside_first / self.weight - mean_beside * mean;
        let slope = covariance / (spread + 1.0 / self.weight.sqrt());
        let slope = slope.clamp(0.0, mean);
        let idle_ms = (mean - slope * mean_beside).max(mean * 0.1).max(0.1);
        Some(ServiceLine {
            idle_ms,
            per_request_ms: slope,
        })
    }

    /// Mean time for which an online request holds its slot.
    pub(crate) fn slot_time(&self) -> Duration {
        self.slot_time
    }

    /// Share of the latest attempts at all upstreams that failed.
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    fn note_attempt(&mut self, has_failed: bool) {
        let failed = f64::from(u8::from(has_failed));
        self.failure_share += (failed - self.failure_share) * SERVICE_FAILURE_WEIGHT;
    }

    /// Records that an online request held its slot for `held`.
    pub(crate) fn note_slot_time(&mut self, held: Duration) {
        let mean = self.slot_time.mul_f64(1.0 - SLOT_TIME_WEIGHT);
        self.slot_time = mean + held.mul_f64(SLOT_TIME_WEIGHT);
    }

    /// Adds a sample and returns its ratio to the line before it; `None` while there is no line.
    fn add(&mut self, beside: u32, first_ms: f64) -> Option<f64> {
        let expected = self.line().map(|line| line.first_ms(beside));
        let ratio = expected.map(|expected| (first_ms / expected).clamp(MIN_RATIO, MAX_RATIO));
        // An odd sample moves the line no further than a clamped one.
        let first_ms = match (ratio, expected) {
            (Some(ratio), Some(expected)) => ratio * expected,
            _ => first_ms.min(MAX_FIRST_MS),
        };
        if self.weight >= MAX_LINE_WEIGHT {
            let rest = 1.0 - 1.0 / MAX_LINE_WEIGHT;
            self.weight *= rest;
            self.beside *= rest;
            self.beside_squared *= rest;
            self.first *= rest;
            self.beside_first *= rest;
        }
        let beside = f64::from(beside);
        self.weight += 1.0;
        self.beside += beside;
        self.beside_squared += beside * beside;
        self.first += first_ms;
        self.beside_first += beside * first_ms;
        ratio
    }
}

/// Ratios of an upstream's samples at one level of its load.
#[derive(Clone, Copy, Debug, Default)]
struct PaceLevel {
    weight: f64,
    ratios: f64,
}

impl PaceLevel {
    fn add(&mut self, ratio: f64) {
        if self.weight > MAX_PACE_WEIGHT - 1.0 {
            let rest = (MAX_PACE_WEIGHT - 1.0) / self.weight;
            self.weight *= rest;
            self.ratios *= rest;
        }
        self.weight += 1.0;
        self.ratios += ratio;
    }

    fn decay(&mut self, rest: f64) {
        self.weight *= rest;
        self.ratios *= rest;
    }

    /// Mean ratio beside the assumption that it is `prior`.
    fn pace(self, prior: f64) -> f64 {
        (self.ratios + PRIOR_WEIGHT * prior) / (self.weight + PRIOR_WEIGHT)
    }
}

/// Samples of one other host at an upstream.
#[derive(Clone, Copy, Debug)]
struct ReporterWeight {
    reporter: u32,
    weight: f64,
    failures: f64,
}

/// What is known of how one process of an upstream serves.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamPace {
    levels: [PaceLevel; PACE_LEVELS],
    failures: f64,
    answers: f64,
    /// Weights of the latest samples by the host that told them, this one's without a name.
    reporters: Vec<ReporterWeight>,
    own_weight: f64,
    updated_at: Option<Instant>,
}

/// Estimate of how an upstream would serve one more request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PaceEstimate {
    /// Ratio of its time to the first event to that of the service, over all levels of its load.
    pub(crate) pace: f64,
    /// The same ratio at the present level.
    pub(crate) level_pace: f64,
    /// Factor by which the upstream is slower at the present level than at lower ones; at least 1.
    pub(crate) slowdown: f64,
    /// Share of its attempts that fail beyond that of all attempts at the service, from 0 to 1. Where all
    /// upstreams fail alike, none is avoided, as the others would only be driven full.
    pub(crate) failure_share: f64,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            pace: 1.0,
            level_pace: 1.0,
            slowdown: 1.0,
            failure_share: 0.0,
        }
    }
}

impl PaceEstimate {
    /// Share of the service's requests that an upstream of this pace gets among idle ones, relative to
    /// one of the pace 1.
    pub(crate) fn draw_weight(self) -> f64 {
        let served = 1.0 - self.failure_share;
        (served.powi(4) / self.pace).max(0.001)
    }
}

/// Level of the load beside `beside` of `slots`.
fn level_of(beside: u32, slots: u32) -> usize {
    let level = beside as usize * PACE_LEVELS / slots.max(1) as usize;
    level.min(PACE_LEVELS - 1)
}

impl UpstreamPace {
    /// The estimate at `now` for one more request beside `beside` of `slots`.
    pub(crate) fn estimate(
        &self,
        beside: u32,
        slots: u32,
        service: Option<&ServicePace>,
        now: Instant,
    ) -> PaceEstimate {
        let Some(updated_at) = self.updated_at else {
            return PaceEstimate::default();
        };
        let age = now.saturating_duration_since(updated_at);
        let rest = rest_after(age, PACE_MEMORY);
        let mut all = PaceLevel::default();
        let mut below = PaceLevel::default();
        let mut level_pace = 1.0;
        let present = level_of(beside, slots);
        for (index, level) in self.levels.iter().enumerate() {
            let mut level = *level;
            level.decay(rest);
            all.weight += level.weight;
            all.ratios += level.ratios;
            if index < present {
                below.weight += level.weight;
                below.ratios += level.ratios;
            }
            if index <= present {
                level_pace = level.pace(level_pace);
            }
        }
        let rest = rest_after(age, FAILURE_MEMORY);
        let told = self.reporters.iter().map(|known| known.failures);
        let unconfirmed = told.fold(0.0, f64::max) * UNCONFIRMED_PART;
        let failures = (self.failures - unconfirmed).max(0.0) * rest;
        let answers = self.answers * rest;
        let usual = service.map_or(0.0, ServicePace::failure_share);
        PaceEstimate {
            pace: all.pace(1.0),
            level_pace,
            slowdown: match below.weight < PRIOR_WEIGHT {
                true => 1.0,
                false => (level_pace / below.pace(1.0)).max(1.0),
            },
            failure_share: (failures / (failures + answers + PRIOR_WEIGHT) - usual).max(0.0),
        }
    }

    /// Adds a sample that `reporter`, or this host, has taken at an upstream with `slots`.
    pub(crate) fn add(
        &mut self,
        sample: PaceSample,
        reporter: Option<u32>,
        slots: u32,
        service: &mut ServicePace,
        now: Instant,
    ) {
        self.decay(now);
        if !self.admit(reporter) {
            return;
        }
        service.note_attempt(sample.2.is_none());
        let Some(first) = sample.2 else {
            self.failures += FAILURE_WEIGHT;
            let mut known = self.reporters.iter_mut();
            if let Some(known) = known.find(|known| Some(known.reporter) == reporter) {
                known.failures += FAILURE_WEIGHT;
            }
            return;
        };
        self.failures *= FAILURE_REST;
        for known in &mut self.reporters {
            known.failures *= FAILURE_REST;
        }
        self.answers += 1.0;
        let beside = u32::from(sample.1);
        // A request that had to queue tells of the queue.
        if beside >= slots {
            return;
        }
        let first_ms = f64::from(first) / 10.0;
        if let Some(ratio) = service.add(beside, first_ms) {
            self.levels[level_of(beside, slots)].add(ratio);
        }
    }

    /// Counts a sample of `reporter`. Returns whether it may be added: the samples of one other host
    /// weigh at most [`MAX_REPORTER_SHARE`] of the rest.
    fn admit(&mut self, reporter: Option<u32>) -> bool {
        let Some(reporter) = reporter else {
            self.own_weight += 1.0;
            return true;
        };
        let total: f64 = self.reporters.iter().map(|known| known.weight).sum();
        let total = total + self.own_weight;
        let known = self.reporters.iter_mut();
        match known.into_iter().find(|known| known.reporter == reporter) {
            Some(known) => {
                let others = total - known.weight;
                if known.weight >= (others * MAX_REPORTER_SHARE).max(MIN_REPORTER_WEIGHT) {
                    return false;
                }
                known.weight += 1.0;
            }
            None => self.reporters.push(ReporterWeight {
                reporter,
                weight: 1.0,
                failures: 0.0,
            }),
        }
        true
    }

    fn decay(&mut self, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(updated_at);
        let rest = rest_after(age, PACE_MEMORY);
        for level in &mut self.levels {
            level.decay(rest);
        }
        let rest = rest_after(age, FAILURE_MEMORY);
        self.failures *= rest;
        self.answers *= rest;
        self.own_weight *= rest;
        for known in &mut self.reporters {
            known.weight *= rest;
            known.failures *= rest;
        }
        self.reporters.retain(|known| known.weight > 0.05);
    }
}

/// Part of a weight that is left after `age`.
fn rest_after(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}

/// Samples of this host that other hosts have not been told of, and how many of them may be told.
#[derive(Debug, Default)]
pub(crate) struct SampleOutbox {
    untold: Vec<PaceSample>,
    budget: f64,
    refilled_at: Option<Instant>,
}

impl SampleOutbox {
    /// Adds a sample; the oldest answer makes room for it.
    pub(crate) fn push(&mut self, sample: PaceSample) {
        if self.untold.len() >= MAX_UNTOLD {
            let oldest = self.untold.iter().position(|sample| sample.2.is_some());
            self.untold.remove(oldest.unwrap_or(0));
        }
        self.untold.push(sample);
    }

    /// Takes the samples for a load report to `receivers` hosts, failures first. Those beyond the
    /// budget are dropped: a host that has so many knows its upstreams well itself.
    pub(crate) fn take(&mut self, receivers: usize, now: Instant) -> Vec<PaceSample> {
        let per_second = TOLD_PER_SECOND / receivers.max(1) as f64;
        let age = self
            .refilled_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now - at);
        self.budget = (self.budget + age.as_secs_f64() * per_second).min(per_second.max(1.0));
        let mut told = std::mem::take(&mut self.untold);
        told.sort_by_key(|sample| sample.2.is_some());
        told.truncate(self.budget as usize);
        self.budget -= told.len() as f64;
        told
    }
}

/// What is known of services, and what other hosts are to be told.
#[derive(Debug, Default)]
pub(crate) struct PaceBook {
    /// By the tags of the services.
    pub(crate) services: HashMap<u32, ServicePace>,
    pub(crate) outbox: SampleOutbox,
}

impl PaceBook {
    /// The line of the service with `tag`; `None` while too little is known.
    pub(crate) fn line(&self, tag: u32) -> Option<ServiceLine> {
        self.services.get(&tag)?.line()
    }

    /// Mean time for which an online request of the service with `tag` holds its slot.
    pub(crate) fn slot_time(&self, tag: u32) -> Duration {
        let service = self.services.get(&tag);
        service.map_or(INITIAL_SLOT_TIME, ServicePace::slot_time)
    }
}
