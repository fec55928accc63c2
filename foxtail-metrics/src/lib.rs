//! A reader of OpenTelemetry metrics that returns them as text, one value per line.

use std::fmt::Write;
use std::sync::{Arc, Weak};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{InstrumentKind, ManualReader, Pipeline, Temporality};

/// A manual reader that is shared by the meter provider and the HTTP endpoint of the metrics.
#[derive(Clone, Debug)]
pub struct TextReader(Arc<ManualReader>);

impl Default for TextReader {
    fn default() -> Self {
        Self(Arc::new(ManualReader::default()))
    }
}

impl TextReader {
    /// Collects all metrics and returns them in the text exposition format of Prometheus, without
    /// exponential histograms. A failed collection is reported in a comment line of the text.
    pub fn prometheus_text(&self) -> String {
        let mut collected = ResourceMetrics::default();
        let mut text = String::new();
        if let Err(e) = self.0.collect(&mut collected) {
            let _ = writeln!(text, "# metrics not collected: {e}");
        }
        for metric in collected.scope_metrics().flat_map(|scope| scope.metrics()) {
            match metric.data() {
                AggregatedMetrics::F64(data) => write_metric(&mut text, metric.name(), data),
                AggregatedMetrics::U64(data) => write_metric(&mut text, metric.name(), data),
                AggregatedMetrics::I64(data) => write_metric(&mut text, metric.name(), data),
            }
        }
        text
    }
}

impl MetricReader for TextReader {
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

fn write_metric<T: Copy + std::fmt::Display>(text: &mut String, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Gauge(gauge) => {
            for point in gauge.data_points() {
                write_line(text, name, &label_list(point.attributes()), point.value());
            }
        }
        MetricData::Sum(sum) => {
            for point in sum.data_points() {
                write_line(text, name, &label_list(point.attributes()), point.value());
            }
        }
        MetricData::Histogram(histogram) => {
            for point in histogram.data_points() {
                let labels = label_list(point.attributes());
                write_line(text, &format!("{name}_count"), &labels, point.count());
                write_line(text, &format!("{name}_sum"), &labels, point.sum());
                write_buckets(text, name, &labels, point.bounds(), point.bucket_counts());
            }
        }
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn write_buckets(
    text: &mut String,
    name: &str,
    labels: &str,
    bounds: impl Iterator<Item = f64>,
    counts: impl Iterator<Item = u64>,
) {
    let bounds = bounds.map(|bound| bound.to_string()).chain(["+Inf".to_owned()]);
    let mut cumulative_count = 0;
    for (bound, count) in bounds.zip(counts) {
        cumulative_count += count;
        let comma = if labels.is_empty() { "" } else { "," };
        write_line(
            text,
            &format!("{name}_bucket"),
            &format!("{labels}{comma}le=\"{bound}\""),
            cumulative_count,
        );
    }
}

fn write_line(text: &mut String, name: &str, labels: &str, value: impl std::fmt::Display) {
    let _ = writeln!(text, "{name}{{{labels}}} {value}");
}

fn label_list<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> String {
    let pairs: Vec<_> = attributes.map(|kv| format!("{}=\"{}\"", kv.key, kv.value)).collect();
    pairs.join(",")
}
