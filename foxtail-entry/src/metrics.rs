//! The metrics of an entry host.

use foxtail_metrics::TextReader;
use foxtail_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::control_traffic::ControlTraffic;
use crate::memory::Usage;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0];

/// The host's metric instruments and their reader.
pub(crate) struct Metrics {
    reader: TextReader,
    provider: SdkMeterProvider,
    requests: Histogram<f64>,
    attempts: Histogram<f64>,
    store: Histogram<f64>,
    store_facts: Counter<u64>,
    pulls: Histogram<f64>,
    pull_bytes: Counter<u64>,
    connects: Counter<u64>,
    lookups: Counter<u64>,
    digests: Counter<u64>,
    view_age: Gauge<u64>,
    memory_held: Gauge<u64>,
    memory_limit: Gauge<u64>,
    memory_waiting: Gauge<u64>,
    memory_refusals: Counter<u64>,
    memory_waits: Counter<u64>,
    hosts: Gauge<u64>,
    upstreams: Gauge<u64>,
    strikes: Gauge<u64>,
    named_limits: Gauge<u64>,
    limited_attempts: Counter<u64>,
    leaving_upstreams: Gauge<u64>,
    paused_upstreams: Gauge<u64>,
    upstreams_lost: Gauge<u64>,
    probes: Counter<u64>,
    relays: Counter<u64>,
    pub(crate) control_traffic: ControlTraffic,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let reader = TextReader::default();
        let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        let meter = provider.meter("foxtailrouter");
        let seconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .with_description(description)
                .build()
        };
        Self {
            requests: seconds("request_duration_seconds", "from a request's head to its outcome"),
            attempts: seconds("attempt_duration_seconds", "from sending to an upstream's answer"),
            store: seconds("store_call_duration_seconds", "calls to the platform's store"),
            store_facts: meter.u64_counter("store_facts_total").build(),
            pulls: seconds("pull_duration_seconds", "transfers of store facts between hosts"),
            pull_bytes: meter.u64_counter("pull_bytes_total").build(),
            connects: meter.u64_counter("upstream_connects_total").build(),
            lookups: meter.u64_counter("lookups_total").build(),
            digests: meter.u64_counter("digests_received_total").build(),
            view_age: meter
                .u64_gauge("view_age_milliseconds")
                .with_description("how long ago the view of the store was known to lack nothing")
                .build(),
            memory_held: meter
                .u64_gauge("memory_held_bytes")
                .with_description("reserved for requests, responses and connections")
                .build(),
            memory_limit: meter.u64_gauge("memory_limit_bytes").build(),
            memory_waiting: meter
                .u64_gauge("memory_waiting")
                .with_description("request bodies that wait for memory")
                .build(),
            memory_refusals: meter
                .u64_counter("memory_refusals_total")
                .with_description("requests refused for want of memory")
                .build(),
            memory_waits: meter
                .u64_counter("memory_waits_total")
                .with_description("request bodies that waited for memory and got it")
                .build(),
            hosts: meter.u64_gauge("hosts_alive").build(),
            upstreams: meter.u64_gauge("upstreams_registered").build(),
            strikes: meter.u64_gauge("strikes_kept").build(),
            named_limits: meter
                .u64_gauge("upstream_limits_named")
                .with_description("upstreams that name a limit on their requests")
                .build(),
            limited_attempts: meter
                .u64_counter("limited_attempts_total")
                .with_description("requests sent to upstreams that name a limit")
                .build(),
            leaving_upstreams: meter
                .u64_gauge("upstreams_leaving")
                .with_description("upstreams that said in their answers that they leave")
                .build(),
            paused_upstreams: meter
                .u64_gauge("upstreams_paused")
                .with_description("upstreams that asked this host for a pause")
                .build(),
            upstreams_lost: meter
                .u64_gauge("upstreams_lost")
                .with_description("1 while no upstream can be reached")
                .build(),
            probes: meter.u64_counter("upstream_probes_total").build(),
            relays: meter
                .u64_counter("relays_total")
                .with_description("requests relayed to other hosts, and from them")
                .build(),
            control_traffic: ControlTraffic::new(&meter),
            reader,
            provider,
        }
    }

    pub(crate) fn set_upstreams_lost(&self, lost: bool) {
        self.upstreams_lost.record(lost.into(), &[]);
    }

    pub(crate) fn count_probe(&self, outcome: &'static str) {
        self.probes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_relay(&self, outcome: &'static str) {
        self.relays.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_request(&self, service: &str, outcome: &'static str, took: Millis) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn record_attempt(&self, service: &ServiceId, outcome: &'static str, took: Millis) {
        let labels = [
            KeyValue::new("service", service.as_str().to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn record_store_call(
        &self,
        call: &'static str,
        outcome: &'static str,
        facts: usize,
        took: Millis,
    ) {
        let labels = [KeyValue::new("call", call), KeyValue::new("outcome", outcome)];
        self.store.record(took.as_secs_f64(), &labels);
        self.store_facts.add(facts as u64, &labels[..1]);
    }

    /// Records a transfer of store facts from another host, or to one if `outcome` is `served`.
    pub(crate) fn record_pull(&self, outcome: &'static str, bytes: u64, took: Millis) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.pulls.record(took.as_secs_f64(), &labels);
        self.pull_bytes.add(bytes, &labels);
    }

    pub(crate) fn record_connect(&self, outcome: &'static str) {
        self.connects.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_lookup(&self) {
        self.lookups.add(1, &[]);
    }

    pub(crate) fn count_digest(&self) {
        self.digests.add(1, &[]);
    }

    /// Counts a request that is sent to an upstream which names a limit.
    pub(crate) fn count_limited_attempt(&self, service: &ServiceId) {
        let labels = [KeyValue::new("service", service.as_str().to_owned())];
        self.limited_attempts.add(1, &labels);
    }

    pub(crate) fn set_named_limits(&self, count: usize) {
        self.named_limits.record(count as u64, &[]);
    }

    pub(crate) fn set_noticed(&self, leaving: usize, paused: usize) {
        self.leaving_upstreams.record(leaving as u64, &[]);
        self.paused_upstreams.record(paused as u64, &[]);
    }

    pub(crate) fn set_memory(&self, usage: Usage) {
        let Usage { held, limit, waiting } = usage;
        self.memory_held.record(held, &[]);
        self.memory_limit.record(limit, &[]);
        self.memory_waiting.record(waiting as u64, &[]);
    }

    pub(crate) fn count_memory_refusal(&self) {
        self.memory_refusals.add(1, &[]);
    }

    pub(crate) fn count_memory_wait(&self) {
        self.memory_waits.add(1, &[]);
    }

    pub(crate) fn set_view_age(&self, area: &'static str, age: Millis) {
        self.view_age.record(age.0, &[KeyValue::new("area", area)]);
    }

    pub(crate) fn set_gauges(&self, hosts: usize, upstreams: usize, strikes: usize) {
        self.hosts.record(hosts as u64, &[]);
        self.upstreams.record(upstreams as u64, &[]);
        self.strikes.record(strikes as u64, &[]);
    }

    /// Returns all metrics in text format.
    pub(crate) fn page(&self) -> String {
        self.reader.prometheus_text()
    }

    pub(crate) fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            tracing::debug!(event = "metrics_shutdown_failed", error = %e);
        }
    }
}
