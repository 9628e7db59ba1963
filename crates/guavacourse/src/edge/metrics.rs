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

use crate::modules::placement::counts::PlacementCounts;

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

    /// Adds the counters of the calls that are placed by load.
    pub(crate) fn observe_placement(&self, counts: &Arc<PlacementCounts>) {
        type Read = fn(&PlacementCounts) -> u64;
        let counters: [(&'static str, Read); 6] = [
            ("placed_near", |counts| counts.near.get()),
            ("placed_spread", |counts| counts.spread.get()),
            ("placed_by_peer_report", |counts| counts.peer_report.get()),
            ("observations_sent", |counts| counts.sent.get()),
            ("observations_received", |counts| counts.received.get()),
            ("observations_merged", |counts| counts.merged.get()),
        ];
        for (name, read) in counters {
            let counts = Arc::clone(counts);
            self.observe_counter(name, move || read(&counts));
        }
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
    /// Requests of customers with quotas, by customer and decision.
    pub(crate) quota_requests: Counter<u64>,
    /// Shards that queries left out or held back for others, by kind and which.
    conceded_shards: Counter<u64>,
    /// Queries refused because others compete for room, by kind and cause.
    shortages: Counter<u64>,
}

impl EntryMetrics {
    /// Creates the instruments.
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            requests: meter.u64_counter("requests").build(),
            latency: meter.f64_histogram("latency_ms").build(),
            calls: meter.u64_counter("leaf_calls").build(),
            leaf_notices: meter.u64_counter("leaf_notices").build(),
            quota_requests: meter.u64_counter("quota_requests").build(),
            conceded_shards: meter.u64_counter("conceded_shards").build(),
            shortages: meter.u64_counter("shortages").build(),
        }
    }

    /// Counts the shards that a query left out or held back for others.
    pub(crate) fn record_concessions(&self, kind: &str, left_out: u32, held: u32) {
        for (how, count) in [("left-out", left_out), ("held", held)] {
            if count > 0 {
                let kind = KeyValue::new("kind", kind.to_owned());
                let how = KeyValue::new("how", how);
                self.conceded_shards.add(u64::from(count), &[kind, how]);
            }
        }
    }

    /// Counts a query that was refused because others compete for room.
    pub(crate) fn record_shortage(&self, kind: &str, cause: &'static str) {
        let kind = KeyValue::new("kind", kind.to_owned());
        self.shortages
            .add(1, &[kind, KeyValue::new("cause", cause)]);
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
