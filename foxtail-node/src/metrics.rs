//! Metrics, and a reader that shows them as text.

use std::fmt::Write;
use std::sync::{Arc, Weak};
use std::time::Duration;

use foxtail_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
};

/// Bounds of the latency histogram, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 35.0, 50.0, 75.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0,
];

/// The host's instruments.
pub(crate) struct Metrics {
    reader: SharedReader,
    provider: SdkMeterProvider,
    latency: Histogram<f64>,
    lookups: Counter<u64>,
    headroom: Gauge<f64>,
    drain: Histogram<f64>,
}

/// A manual reader that both the provider and the page of metrics hold.
#[derive(Clone, Debug)]
struct SharedReader(Arc<ManualReader>);

impl Metrics {
    pub(crate) fn new() -> Self {
        let reader = SharedReader(Arc::new(ManualReader::default()));
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
        let mut collected = ResourceMetrics::default();
        let mut page = String::new();
        if let Err(e) = self.reader.0.collect(&mut collected) {
            let _ = writeln!(page, "# metrics not collected: {e}");
        }
        for metric in collected.scope_metrics().flat_map(|scope| scope.metrics()) {
            match metric.data() {
                AggregatedMetrics::F64(data) => render(&mut page, metric.name(), data),
                AggregatedMetrics::U64(data) => render(&mut page, metric.name(), data),
                AggregatedMetrics::I64(data) => render(&mut page, metric.name(), data),
            }
        }
        page
    }

    pub(crate) fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            tracing::debug!(event = "metrics_shutdown_failed", error = %e);
        }
    }
}

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

fn render<T: Copy + std::fmt::Display>(page: &mut String, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Gauge(gauge) => {
            for point in gauge.data_points() {
                line(page, name, &labels(point.attributes()), point.value());
            }
        }
        MetricData::Sum(sum) => {
            for point in sum.data_points() {
                line(page, name, &labels(point.attributes()), point.value());
            }
        }
        MetricData::Histogram(histogram) => {
            for point in histogram.data_points() {
                let labels = labels(point.attributes());
                line(page, &format!("{name}_count"), &labels, point.count());
                line(page, &format!("{name}_sum"), &labels, point.sum());
                buckets(page, name, &labels, point.bounds(), point.bucket_counts());
            }
        }
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn buckets(
    page: &mut String,
    name: &str,
    labels: &str,
    bounds: impl Iterator<Item = f64>,
    counts: impl Iterator<Item = u64>,
) {
    let bounds = bounds.map(|bound| bound.to_string()).chain(["+Inf".to_owned()]);
    let mut total = 0;
    for (bound, count) in bounds.zip(counts) {
        total += count;
        let comma = if labels.is_empty() { "" } else { "," };
        line(page, &format!("{name}_bucket"), &format!("{labels}{comma}le=\"{bound}\""), total);
    }
}

fn line(page: &mut String, name: &str, labels: &str, value: impl std::fmt::Display) {
    let _ = writeln!(page, "{name}{{{labels}}} {value}");
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> String {
    let pairs: Vec<_> = attributes.map(|kv| format!("{}=\"{}\"", kv.key, kv.value)).collect();
    pairs.join(",")
}
