//! What all workers of the entry process share.

use std::sync;
use std::sync::atomic;

use opentelemetry::KeyValue;
use opentelemetry::metrics as otel_metrics;
use waxwing_keeper_client::client;
use waxwing_process::metrics;
use waxwing_process::reporter;

use crate::places;
use crate::pools;
use crate::settings;

/// What all workers of the entry process share.
pub struct Entry {
    /// The settings.
    pub settings: settings::Settings,
    /// The connection to the keeper.
    pub keeper: sync::Arc<client::Client>,
    /// The backend servers of this machine.
    pub pools: sync::Arc<pools::Pools>,
    /// Where requests are attempted.
    pub places: places::Places,
    /// Events of the process.
    pub reporter: reporter::Reporter,
    /// Whether the process was told to end.
    pub is_stopping: atomic::AtomicBool,
    /// Whether the process takes no new requests any more.
    pub is_closed: atomic::AtomicBool,
    /// Requests whose answers have not ended.
    pub under_way: sync::Arc<atomic::AtomicU64>,
    /// What is counted.
    pub counters: Counters,
}

/// What is counted.
pub struct Counters {
    requests: otel_metrics::Counter<u64>,
    attempts: otel_metrics::Counter<u64>,
    duration_ms: otel_metrics::Histogram<f64>,
}

impl Counters {
    /// Creates the counters.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            requests: meter
                .u64_counter("waxwing_requests")
                .with_description("Requests by outcome and status")
                .build(),
            attempts: meter
                .u64_counter("waxwing_attempts")
                .with_description("Attempts at backend servers by service")
                .build(),
            duration_ms: meter
                .f64_histogram("waxwing_request_duration_ms")
                .with_description("Time from a request to the head of its answer")
                .build(),
        }
    }

    /// Counts a request.
    pub fn count_request(&self, outcome: &str, status: u16, duration_ms: f64) {
        let labels = [
            KeyValue::new("outcome", outcome.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.add(1, &labels);
        self.duration_ms.record(duration_ms, &labels[..1]);
    }

    /// Counts an attempt.
    pub fn count_attempt(&self, service: &str) {
        self.attempts.add(1, &[KeyValue::new("service", service.to_owned())]);
    }
}

/// Counts a request until its answer has ended.
#[derive(Debug)]
pub struct UnderWay(sync::Arc<atomic::AtomicU64>);

impl UnderWay {
    /// Counts one more request.
    pub fn begin(count: &sync::Arc<atomic::AtomicU64>) -> Self {
        count.fetch_add(1, atomic::Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// The shared state, as workers hold it.
pub type Shared = sync::Arc<Entry>;
