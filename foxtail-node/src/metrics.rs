//! The metrics of a host.

use std::time::Duration;

use foxtail_metrics::TextReader;
use foxtail_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// Bounds of the latency histogram, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 35.0, 50.0, 75.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0,
];

/// The host's instruments.
pub(crate) struct Metrics {
    reader: TextReader,
    provider: SdkMeterProvider,
    latency: Histogram<f64>,
    lookups: Counter<u64>,
    headroom: Gauge<f64>,
    drain: Histogram<f64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let reader = TextReader::default();
        let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        let meter = provider.meter("foxtailrouter");
        let bounds = LATENCY_BOUNDS_MS.to_vec();
        Self {
            latency: meter
                .f64_histogram("request_duration_ms")
                .with_boundaries(bounds)
                .with_description("from the head of a request to its outcome")
                .build(),
            lookups: meter.u64_counter("lookups").build(),
            headroom: meter
                .f64_gauge("headroom")
                .with_description("free share of a limited resource")
                .build(),
            drain: meter
                .f64_histogram("drain_duration_ms")
                .with_description("from the word to stop until the last request ended")
                .build(),
            reader,
            provider,
        }
    }

    /// Notes the end of a request.
    pub(crate) fn request(&self, service: &ServiceId, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("service", service.as_str().to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.latency.record(took.as_secs_f64() * 1_000.0, &labels);
    }

    /// Notes a look-up.
    pub(crate) fn lookup(&self) {
        self.lookups.add(1, &[]);
    }

    /// Sets the free share of a resource, from 0 to 1.
    pub(crate) fn headroom(&self, kind: &'static str, name: &str, share: f64) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("name", name.to_owned())];
        self.headroom.record(share, &labels);
    }

    /// Notes how long a drain took.
    pub(crate) fn drained(&self, kind: &'static str, took: Millis) {
        self.drain.record(took.0 as f64, &[KeyValue::new("kind", kind)]);
    }

    /// All metrics as text, one value a line.
    pub(crate) fn page(&self) -> String {
        self.reader.page()
    }

    pub(crate) fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            tracing::debug!(event = "metrics_shutdown_failed", error = %e);
        }
    }
}
