//! Metrics of one process, collected by OpenTelemetry and served as text to
//! scrapers.

use std::{
    fmt::Write as _,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    metrics::{
        PeriodicReader, SdkMeterProvider, Temporality,
        data::{AggregatedMetrics, Metric, MetricData, ResourceMetrics},
        exporter::PushMetricExporter,
    },
};

/// Time between two collections while no scraper reads the metrics.
const COLLECTION_INTERVAL: Duration = Duration::from_mins(1);

/// The metrics of one process. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    /// Text of the latest collection.
    latest: Arc<Mutex<String>>,
}

impl Metrics {
    /// Creates the metrics of a process.
    #[must_use]
    pub fn new() -> Self {
        let latest = Arc::new(Mutex::new(String::new()));
        let exporter = TextExporter {
            latest: Arc::clone(&latest),
        };
        let reader = PeriodicReader::builder(exporter)
            .with_interval(COLLECTION_INTERVAL)
            .build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Self { provider, latest }
    }

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("guavacourse")
    }

    /// Adds a counter whose value is read at each collection.
    pub(crate) fn observe_counter(
        &self,
        name: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let meter = self.meter();
        meter
            .u64_observable_counter(name)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Adds a gauge whose value is read at each collection.
    pub(crate) fn observe_gauge(
        &self,
        name: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let meter = self.meter();
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Collects all instruments and returns them as text. It blocks briefly.
    #[must_use]
    pub fn scrape(&self) -> String {
        if let Err(error) = self.provider.force_flush() {
            tracing::warn!(%error, "cannot collect the metrics; scrape again");
        }
        let latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        latest.clone()
    }

    /// Stops the collection and joins its thread.
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            tracing::debug!(%error, "the metrics are already shut down");
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Instruments of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryMetrics {
    /// Finished requests, by kind and result.
    pub(crate) requests: Counter<u64>,
    /// Time to answer in milliseconds, by kind.
    pub(crate) latency: Histogram<f64>,
    /// Calls sent to leaves, by whether they are extra load.
    pub(crate) calls: Counter<u64>,
    /// Changes in what leaves ask for, by kind.
    pub(crate) leaf_notices: Counter<u64>,
}

impl EntryMetrics {
    /// Creates the instruments.
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            requests: meter.u64_counter("requests").build(),
            latency: meter.f64_histogram("latency_ms").build(),
            calls: meter.u64_counter("leaf_calls").build(),
            leaf_notices: meter.u64_counter("leaf_notices").build(),
        }
    }

    /// Counts a finished request.
    pub(crate) fn record_request(&self, kind: &str, result: &'static str, took: Duration) {
        let kind = KeyValue::new("kind", kind.to_owned());
        self.latency
            .record(took.as_secs_f64() * 1e3, std::slice::from_ref(&kind));
        self.requests
            .add(1, &[kind, KeyValue::new("result", result)]);
    }
}

/// Formats each collection as text and keeps the latest.
#[derive(Debug)]
struct TextExporter {
    latest: Arc<Mutex<String>>,
}

impl PushMetricExporter for TextExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut text = String::new();
        for scope in metrics.scope_metrics() {
            for metric in scope.metrics() {
                write_metric(&mut text, metric);
            }
        }
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner) = text;
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

/// Appends one metric in the text format that scrapers read.
fn write_metric(text: &mut String, metric: &Metric) {
    let name = format!("guavacourse_{}", metric.name());
    match metric.data() {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            let _ = writeln!(text, "# TYPE {name} counter");
            for point in sum.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(text, "{name}{{{labels}}} {}", point.value());
            }
        }
        AggregatedMetrics::U64(MetricData::Gauge(gauge)) => {
            let _ = writeln!(text, "# TYPE {name} gauge");
            for point in gauge.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(text, "{name}{{{labels}}} {}", point.value());
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            let _ = writeln!(text, "# TYPE {name} histogram");
            for point in histogram.data_points() {
                let labels = labels(point.attributes());
                write_buckets(text, &name, &labels, point.bounds(), point.bucket_counts());
                let _ = writeln!(text, "{name}_sum{{{labels}}} {}", point.sum());
                let _ = writeln!(text, "{name}_count{{{labels}}} {}", point.count());
            }
        }
        _ => {}
    }
}

fn write_buckets(
    text: &mut String,
    name: &str,
    labels: &str,
    bounds: impl Iterator<Item = f64>,
    counts: impl Iterator<Item = u64>,
) {
    let comma = if labels.is_empty() { "" } else { "," };
    let bounds = bounds.map(|b| b.to_string()).chain(["+Inf".to_owned()]);
    let mut sum = 0;
    for (bound, count) in bounds.zip(counts) {
        sum += count;
        let _ = writeln!(text, "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {sum}");
    }
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> String {
    let pairs = attributes.map(|pair| format!("{}={:?}", pair.key, pair.value.as_str()));
    pairs.collect::<Vec<_>>().join(",")
}
