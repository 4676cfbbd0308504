//! The state that all workers of the entry process share.

use std::sync;
use std::sync::atomic;

use opentelemetry::KeyValue;
use opentelemetry::metrics as otel_metrics;
use waxwing_keeper_client::client;
use waxwing_process::metrics;
use waxwing_process::reporter;
use waxwing_process::shutdown;

use crate::failover;
use crate::service_pools;
use crate::settings;

/// The state that all workers of the entry process share.
pub struct Entry {
    /// The checked settings.
    pub settings: settings::Settings,
    /// The connection to the keeper, which provides the records and charges organisations.
    pub keeper: sync::Arc<client::Client>,
    /// The backend servers that are assigned to this machine, by service.
    pub pools: sync::Arc<service_pools::ServicePools>,
    /// Decides whether a request is attempted here or at another entry VM.
    pub failover: failover::Failover,
    /// Records events for the timeline.
    pub reporter: reporter::Reporter,
    /// When the process ends, once the shutdown has begun.
    pub shutdown: shutdown::Shutdown,
    /// Requests whose responses have not ended.
    pub in_flight: sync::Arc<atomic::AtomicU64>,
    /// The metrics of requests and attempts.
    pub counters: Counters,
}

/// The metrics of requests and attempts.
pub struct Counters {
    requests: otel_metrics::Counter<u64>,
    attempts: otel_metrics::Counter<u64>,
    duration_ms: otel_metrics::Histogram<f64>,
}

impl Counters {
    /// Registers the counters and the histogram.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            requests: meter
                .u64_counter("waxwing_requests")
                .with_description("Requests by outcome and status")
                .build(),
            attempts: meter
                .u64_counter("waxwing_attempts")
                .with_description("Attempts at backend servers and other entry VMs by service")
                .build(),
            duration_ms: meter
                .f64_histogram("waxwing_request_duration_ms")
                .with_description(
                    "Time from the arrival of a request to the head of its response, in milliseconds",
                )
                .build(),
        }
    }

    /// Counts a request and the time until the head of its response.
    pub fn count_request(&self, outcome: &str, status: u16, duration_ms: f64) {
        let labels = [
            KeyValue::new("outcome", outcome.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.add(1, &labels);
        self.duration_ms.record(duration_ms, &labels[..1]);
    }

    /// Counts an attempt at the moment it is sent.
    pub fn count_attempt(&self, service: &str) {
        self.attempts.add(1, &[KeyValue::new("service", service.to_owned())]);
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(sync::Arc<atomic::AtomicU64>);

impl InFlightGuard {
    /// Increments `count`; dropping the guard decrements it.
    pub fn begin(count: &sync::Arc<atomic::AtomicU64>) -> Self {
        count.fetch_add(1, atomic::Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// The shared state, as workers and background tasks hold it.
pub type Shared = sync::Arc<Entry>;
