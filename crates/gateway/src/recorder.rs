//! Metrics recorder of the process, rendered in the Prometheus text format.
//!
//! Histograms have fixed buckets, so that those of several daemons can be summed. The recorder of
//! `metrics-exporter-prometheus` is not used because it calibrates a clock first, which delays the
//! start of a daemon by up to 200 ms; none of the metrics here needs a clock.

use metrics::{Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, SharedString, Unit};
use metrics_util::registry::{Registry, Storage};
use metrics_util::storage::Histogram as Buckets;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Histogram that several threads record into.
struct SharedHistogram(Mutex<Buckets>);

impl HistogramFn for SharedHistogram {
    fn record(&self, value: f64) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).record(value);
    }
}

struct AtomicStorage;

impl Storage<Key> for AtomicStorage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<SharedHistogram>;

    fn counter(&self, _: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, _: &Key) -> Self::Histogram {
        let buckets = Buckets::new(&BUCKET_BOUNDS).expect("BUCKET_BOUNDS is not empty");
        Arc::new(SharedHistogram(Mutex::new(buckets)))
    }
}

/// Metrics of the process; clones share one registry.
#[derive(Clone)]
pub struct Recorder(Arc<Registry<Key, AtomicStorage>>);

impl metrics::Recorder for Recorder {
    // Metrics are described in docs/OPERATORS.md.
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.0.get_or_create_counter(key, |counter| Counter::from_arc(counter.clone()))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.0.get_or_create_gauge(key, |gauge| Gauge::from_arc(gauge.clone()))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        self.0.get_or_create_histogram(key, |histogram| Histogram::from_arc(histogram.clone()))
    }
}

impl Recorder {
    /// Installs the global recorder on the first call and returns it on every call, so that daemons
    /// in one process share it.
    pub fn install() -> Self {
        static RECORDER: OnceLock<Recorder> = OnceLock::new();
        let install = || {
            let recorder = Self(Arc::new(Registry::new(AtomicStorage)));
            if metrics::set_global_recorder(recorder.clone()).is_err() {
                log::warn!("another metrics recorder is already installed; /metrics stays empty");
            }
            recorder
        };
        RECORDER.get_or_init(install).clone()
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut families: BTreeMap<(String, &str), Vec<String>> = BTreeMap::new();
        for (key, counter) in self.0.get_counter_handles() {
            let line = sample(&key, "", &[], counter.load(Ordering::Relaxed));
            families.entry(family(&key, "counter")).or_default().push(line);
        }
        for (key, gauge) in self.0.get_gauge_handles() {
            let value = f64::from_bits(gauge.load(Ordering::Relaxed));
            let line = sample(&key, "", &[], value);
            families.entry(family(&key, "gauge")).or_default().push(line);
        }
        for (key, histogram) in self.0.get_histogram_handles() {
            let lines = histogram_samples(&key, &histogram);
            families.entry(family(&key, "histogram")).or_default().extend(lines);
        }
        let mut text = String::new();
        for ((name, kind), mut lines) in families {
            lines.sort_unstable();
            // Writing to a string cannot fail.
            let _ = writeln!(text, "# TYPE {name} {kind}\n{}\n", lines.join("\n"));
        }
        text
    }
}

fn family(key: &Key, kind: &'static str) -> (String, &'static str) {
    (key.name().to_owned(), kind)
}

fn histogram_samples(key: &Key, histogram: &SharedHistogram) -> Vec<String> {
    let buckets = histogram.0.lock().unwrap_or_else(PoisonError::into_inner);
    let counts = buckets.buckets().into_iter();
    let finite = counts.map(|(bound, count)| (bound.to_string(), count));
    let all = finite.chain([("+Inf".to_owned(), buckets.count())]);
    let mut lines: Vec<String> =
        all.map(|(bound, count)| sample(key, "_bucket", &[("le", &bound)], count)).collect();
    lines.push(sample(key, "_count", &[], buckets.count()));
    lines.push(sample(key, "_sum", &[], buckets.sum()));
    lines
}

/// Formats one sample line: name, labels, and value.
fn sample(
    key: &Key,
    suffix: &str,
    extra_labels: &[(&str, &str)],
    value: impl std::fmt::Display,
) -> String {
    let key_labels = key.labels().map(|label| (label.key(), label.value()));
    let labels = key_labels.chain(extra_labels.iter().copied());
    let labels: Vec<String> =
        labels.map(|(name, value)| format!("{name}=\"{}\"", escape_label_value(value))).collect();
    match labels.is_empty() {
        true => format!("{}{suffix} {value}", key.name()),
        false => format!("{}{suffix}{{{}}} {value}", key.name(), labels.join(",")),
    }
}

fn escape_label_value(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
