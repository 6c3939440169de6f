//! Prometheus counters, gauges and latency histograms of a host that relays opaque requests.
//!
//! Counters are derived from the events of the structured log, so that the two always agree.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::balancer::PaceSummary;
use crate::edges::kv_calls::CallClass;
use crate::events::LogEvent;
use crate::limits::GrantCounts;
use crate::limits::KnownLimit;
use crate::quotas::QuotaCounts;

/// Upper bounds, in seconds, of the buckets of all latency histograms.
const LATENCY_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Counted reason of a refusal for the limit of a workspace.
const OVER_QUOTA: &str = "quota_exhausted";

/// Metrics of one process, under the prefix `parsleywall_`.
pub struct RelayMetrics {
    registry: Registry,
    events: IntCounterVec,
    refusals: IntCounterVec,
    faults: IntCounterVec,
    ejections: IntCounterVec,
    misidentified: IntCounterVec,
    requests: IntCounterVec,
    take_ups: IntCounterVec,
    detours: IntCounterVec,
    detours_taken: IntCounterVec,
    item_runs: IntCounterVec,
    jobs: IntCounterVec,
    name_changes: IntCounterVec,
    job_claims: IntCounterVec,
    doubtful_runs: IntCounter,
    first_event_seconds: Histogram,
    request_seconds: Histogram,
    store_call_seconds: HistogramVec,
    slot_counts: IntGaugeVec,
    paces: GaugeVec,
    slot_seconds: GaugeVec,
    failing_upstreams: IntGaugeVec,
    items: IntGaugeVec,
    config_version: IntGauge,
    config_age: Gauge,
    view_age: GaugeVec,
    view_calls: IntCounterVec,
    store_calls: IntCounterVec,
    convictions: IntGauge,
    displaced: IntGauge,
    limited_upstreams: IntGauge,
    limit_age: Gauge,
    grants: IntCounterVec,
    quota_asks: IntCounterVec,
    reach_changes: IntCounterVec,
    stranded: IntGauge,
}

impl RelayMetrics {
    /// Creates and registers all metrics, with values of zero.
    pub fn new() -> Self {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(format!("parsleywall_{name}"), help), labels)
                .expect("metric names are valid")
        };
        let latency = |name: &str, help: &str| {
            let opts = HistogramOpts::new(format!("parsleywall_{name}"), help);
            opts.buckets(LATENCY_BUCKETS.to_vec())
        };
        let metrics = Self {
            registry: Registry::new(),
            events: counter("log_events_total", "Decisions, by event.", &["event"]),
            refusals: counter(
                "refusals_total",
                "Refused requests, by reason.",
                &["reason"],
            ),
            faults: counter(
                "sending_faults_total",
                "Sendings without a usable answer, by fault; each may lead to another sending.",
                &["fault"],
            ),
            ejections: counter(
                "ejections_total",
                "Ejections of upstreams, by the last fault.",
                &["fault"],
            ),
            misidentified: counter(
                "misidentified_total",
                "Answers that did not go on at an upstream, by the process found there.",
                &["process"],
            ),
            requests: counter(
                "requests_total",
                "Ended requests, by outcome.",
                &["outcome"],
            ),
            take_ups: counter(
                "take_ups_total",
                "Streams taken up, by what became of the run before.",
                &["outcome"],
            ),
            detours: counter(
                "detours_total",
                "Requests sent through other hosts, by outcome up to the head of the answer.",
                &["outcome"],
            ),
            detours_taken: counter(
                "detours_taken_total",
                "Requests of other hosts, by whether they were taken or why not.",
                &["outcome"],
            ),
            item_runs: counter(
                "item_runs_total",
                "Ended runs of items, by outcome.",
                &["outcome"],
            ),
            jobs: counter("job_changes_total", "Changes of batch jobs.", &["outcome"]),
            name_changes: counter(
                "name_changes_total",
                "Processes of this host's name that displaced this one, by how it learned of it, or that \
                 it displaced, by what is known of them.",
                &["change", "detail"],
            ),
            job_claims: counter(
                "job_claims_total",
                "Claims of batch jobs, by reason and by what the owner before did.",
                &["reason", "previous"],
            ),
            doubtful_runs: IntCounter::new(
                "parsleywall_doubtful_item_runs_total",
                "First runs of items, soon after a claim, whose job's owner before may be at work.",
            )
            .expect("metric names are valid"),
            first_event_seconds: Histogram::with_opts(latency(
                "first_event_seconds",
                "Time from a request's arrival to the first event or the whole answer.",
            ))
            .expect("metric names are valid"),
            request_seconds: Histogram::with_opts(latency(
                "request_seconds",
                "Time from a request's arrival to its end.",
            ))
            .expect("metric names are valid"),
            store_call_seconds: HistogramVec::new(
                latency(
                    "store_call_seconds",
                    "Time of calls to the key-value service.",
                ),
                &["outcome"],
            )
            .expect("metric names are valid"),
            paces: GaugeVec::new(
                Opts::new(
                    "parsleywall_pace",
                    "Time to the first event as a multiple of the service's, of the quickest and the slowest \
                     upstream.",
                ),
                &["service", "kind"],
            )
            .expect("metric names are valid"),
            slot_seconds: GaugeVec::new(
                Opts::new(
                    "parsleywall_place_seconds",
                    "Mean time for which an online request holds its place.",
                ),
                &["service"],
            )
            .expect("metric names are valid"),
            failing_upstreams: IntGaugeVec::new(
                Opts::new(
                    "parsleywall_failing_upstreams",
                    "Upstreams that fail so much that requests with one attempt avoid them.",
                ),
                &["service"],
            )
            .expect("metric names are valid"),
            slot_counts: IntGaugeVec::new(
                Opts::new(
                    "parsleywall_places",
                    "Places of upstreams, and the work at them.",
                ),
                &["service", "kind"],
            )
            .expect("metric names are valid"),
            items: IntGaugeVec::new(
                Opts::new("parsleywall_items", "Items of this host's jobs."),
                &["state"],
            )
            .expect("metric names are valid"),
            config_version: IntGauge::new(
                "parsleywall_config_version",
                "Version of the configuration in force.",
            )
            .expect("metric names are valid"),
            convictions: IntGauge::new(
                "parsleywall_convictions",
                "Subjects that are convicted of crashing upstreams.",
            )
            .expect("metric names are valid"),
            displaced: IntGauge::new(
                "parsleywall_displaced",
                "1 once another process of this host's name has started after this one.",
            )
            .expect("metric names are valid"),
            limited_upstreams: IntGauge::new(
                "parsleywall_limited_upstreams",
                "Upstreams that are known to limit the requests a second.",
            )
            .expect("metric names are valid"),
            limit_age: Gauge::new(
                "parsleywall_limit_age_seconds",
                "Time since the oldest known limit of an upstream was last named.",
            )
            .expect("metric names are valid"),
            grants: counter(
                "limit_grants_total",
                "Requests to limited upstreams: granted, denied (withheld for the limit) or unanswered.",
                &["outcome"],
            ),
            quota_asks: counter(
                "quota_asks_total",
                "Questions about limits of workspaces to the hosts that pace them: asked, unanswered (in time), denied (by a host that does not pace) and local (requests from this host's own share instead).",
                &["outcome"],
            ),
            reach_changes: counter(
                "reach_changes_total",
                "Changes of whether this host reaches the upstreams of a service, by the new state.",
                &["state"],
            ),
            stranded: IntGauge::new(
                "parsleywall_stranded_services",
                "Services whose upstreams this host does not reach while other hosts do.",
            )
            .expect("metric names are valid"),
            view_age: GaugeVec::new(
                Opts::new(
                    "parsleywall_view_age_seconds",
                    "Time since a view of the key-value service was last known to be current.",
                ),
                &["view"],
            )
            .expect("metric names are valid"),
            view_calls: counter(
                "view_calls_total",
                "Calls that read a view, by what they are and by outcome: changed, unchanged or failed.",
                &["view", "via", "outcome"],
            ),
            store_calls: counter(
                "store_calls_total",
                "Ended calls to the key-value service, by what they are made for, kind and outcome.",
                &["purpose", "call", "outcome"],
            ),
            config_age: Gauge::new(
                "parsleywall_config_age_seconds",
                "Time since the configuration in force was last known to be the newest.",
            )
            .expect("metric names are valid"),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let counters = [
            &self.events,
            &self.refusals,
            &self.faults,
            &self.ejections,
            &self.misidentified,
            &self.requests,
            &self.take_ups,
            &self.detours,
            &self.detours_taken,
            &self.item_runs,
            &self.jobs,
            &self.name_changes,
            &self.job_claims,
            &self.grants,
            &self.quota_asks,
            &self.view_calls,
            &self.store_calls,
            &self.reach_changes,
        ];
        let mut all: Vec<Box<dyn prometheus::core::Collector>> = Vec::new();
        all.extend(counters.map(|counter| Box::new(counter.clone()) as _));
        all.push(Box::new(self.first_event_seconds.clone()));
        all.push(Box::new(self.request_seconds.clone()));
        all.push(Box::new(self.store_call_seconds.clone()));
        all.push(Box::new(self.slot_counts.clone()));
        all.push(Box::new(self.paces.clone()));
        all.push(Box::new(self.slot_seconds.clone()));
        all.push(Box::new(self.failing_upstreams.clone()));
        all.push(Box::new(self.items.clone()));
        all.push(Box::new(self.doubtful_runs.clone()));
        all.push(Box::new(self.config_version.clone()));
        all.push(Box::new(self.config_age.clone()));
        all.push(Box::new(self.view_age.clone()));
        all.push(Box::new(self.convictions.clone()));
        all.push(Box::new(self.displaced.clone()));
        all.push(Box::new(self.limited_upstreams.clone()));
        all.push(Box::new(self.limit_age.clone()));
        all.push(Box::new(self.stranded.clone()));
        for collector in all {
            self.registry
                .register(collector)
                .expect("metric names are unique");
        }
    }

    /// Counts one event of the structured log, whether its line is written or dropped.
    pub(crate) fn count_event(&self, event: &LogEvent) {
        let name: &'static str = event.into();
        self.events.with_label_values(&[name]).inc();
        match event {
            LogEvent::RequestRefused { reason, .. } | LogEvent::KeyRefused { reason, .. } => {
                self.refusals.with_label_values(&[reason]).inc();
            }
            LogEvent::RequestOverQuota { .. } => self.count_refusal(OVER_QUOTA),
            LogEvent::SendingFailed { fault, .. } => {
                self.faults.with_label_values(&[fault]).inc();
            }
            LogEvent::RequestEnded {
                outcome,
                first_ms,
                total_ms,
                ..
            } => {
                self.requests.with_label_values(&[outcome]).inc();
                self.request_seconds.observe(*total_ms as f64 / 1_000.0);
                if let Some(first_ms) = first_ms {
                    self.first_event_seconds.observe(*first_ms as f64 / 1_000.0);
                }
            }
            LogEvent::UpstreamEjected { fault, .. } => {
                self.ejections.with_label_values(&[fault]).inc();
            }
            LogEvent::UpstreamIdentified { started_ms, .. } => {
                let process = started_ms.map_or("unknown", |_| "other");
                self.misidentified.with_label_values(&[process]).inc();
            }
            LogEvent::ReachChanged { state, .. } => {
                self.reach_changes.with_label_values(&[state]).inc();
            }
            LogEvent::StreamTakenUp { outcome, .. } => {
                self.take_ups.with_label_values(&[outcome]).inc();
            }
            LogEvent::DetourEnded { outcome, .. } => {
                self.detours.with_label_values(&[outcome]).inc();
            }
            LogEvent::DetourTaken { .. } => {
                self.detours_taken.with_label_values(&["taken"]).inc();
            }
            LogEvent::DetourRefused { reason, .. } => {
                self.detours_taken.with_label_values(&[reason]).inc();
            }
            LogEvent::Item { outcome, .. } => self.item_runs.with_label_values(&[outcome]).inc(),
            LogEvent::HostDisplaced { via, .. } => {
                let counter = self.name_changes.with_label_values(&["displaced", via]);
                counter.inc();
            }
            LogEvent::NameTaken { outcome, .. } => {
                let counter = self.name_changes.with_label_values(&["taken", outcome]);
                counter.inc();
            }
            LogEvent::Job { outcome, .. } => self.jobs.with_label_values(&[outcome]).inc(),
            LogEvent::JobClaimed {
                reason, previous, ..
            } => {
                let labels = [reason.as_str(), previous.as_str()];
                self.job_claims.with_label_values(&labels).inc();
            }
            _ => {}
        }
    }

    /// Records the duration of a call to the key-value service, by outcome.
    pub fn observe_store_call(&self, outcome: &str, time: Duration) {
        let histogram = self.store_call_seconds.with_label_values(&[outcome]);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts the first run of an item here while the owner of its job before may be at work on it.
    pub fn count_doubtful_run(&self) {
        self.doubtful_runs.inc();
    }

    /// Counts a call that reads `view`, by what it is and by outcome.
    pub fn count_view_call(&self, view: &str, via: &str, outcome: &str) {
        let counter = self.view_calls.with_label_values(&[view, via, outcome]);
        counter.inc();
    }

    /// Sets the counts of calls to the key-value service.
    pub fn set_store_calls(&self, counts: &BTreeMap<CallClass, u64>) {
        for (class, total) in counts {
            let labels: [&str; 3] = [
                class.purpose.into(),
                class.call.into(),
                class.outcome.into(),
            ];
            let counter = self.store_calls.with_label_values(&labels);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// Sets the time since `view` was last known to be current.
    pub fn set_view_age(&self, view: &str, age: Duration) {
        let gauge = self.view_age.with_label_values(&[view]);
        gauge.set(age.as_secs_f64());
    }

    /// Sets a gauge of `service`: its slots (`kind` is `places`), or the `online` or `batch` work
    /// at the upstreams that offer them.
    pub fn set_slot_counts(&self, service: &str, kind: &str, count: u32) {
        let gauge = self.slot_counts.with_label_values(&[service, kind]);
        gauge.set(i64::from(count));
    }

    /// Sets what is known of how quickly the upstreams of `service` serve.
    pub fn set_paces(&self, service: &str, summary: PaceSummary) {
        for (kind, pace) in [("quickest", summary.quickest), ("slowest", summary.slowest)] {
            self.paces.with_label_values(&[service, kind]).set(pace);
        }
        let seconds = self.slot_seconds.with_label_values(&[service]);
        seconds.set(summary.slot_time.as_secs_f64());
        let failing = self.failing_upstreams.with_label_values(&[service]);
        failing.set(summary.failing as i64);
    }

    /// Sets the numbers of waiting and running items of this host's jobs.
    pub fn set_item_counts(&self, waiting: usize, running: usize) {
        for (state, count) in [("waiting", waiting), ("running", running)] {
            self.items.with_label_values(&[state]).set(count as i64);
        }
    }

    /// Sets the number of requests, or parts of requests, that are convicted of crashing upstreams.
    pub fn set_convictions(&self, count: usize) {
        self.convictions.set(count as i64);
    }

    /// Sets whether another process of this host's name has displaced this one.
    pub fn set_displaced(&self, is_displaced: bool) {
        self.displaced.set(i64::from(is_displaced));
    }

    /// Sets the number of services that this host is stranded from.
    pub fn set_stranded(&self, services: usize) {
        self.stranded.set(services as i64);
    }

    /// Counts a refusal that has no line in the log.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Sets the number of upstreams with a known limit, and the age of the oldest one.
    pub fn set_limits(&self, limits: &[KnownLimit]) {
        let oldest = limits.iter().map(|known| known.age).max();
        self.limited_upstreams.set(limits.len() as i64);
        self.limit_age.set(oldest.unwrap_or_default().as_secs_f64());
    }

    /// Counts requests to limited upstreams by what became of them.
    pub fn count_grants(&self, counts: GrantCounts) {
        for (outcome, count) in [
            ("granted", counts.granted),
            ("denied", counts.denied),
            ("unanswered", counts.unanswered),
        ] {
            self.grants.with_label_values(&[outcome]).inc_by(count);
        }
    }

    /// Counts questions about limits of workspaces.
    pub fn count_quotas(&self, counts: QuotaCounts) {
        for (outcome, count) in [
            ("asked", counts.asked),
            ("unanswered", counts.unanswered),
            ("denied", counts.denied),
            ("local", counts.local),
        ] {
            self.quota_asks.with_label_values(&[outcome]).inc_by(count);
        }
    }

    /// Sets the version of the configuration in force, and the time since it was last known to be
    /// the newest.
    pub fn set_config_version(&self, version: u64, age: Duration) {
        self.config_version.set(version as i64);
        self.config_age.set(age.as_secs_f64());
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Default for RelayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
