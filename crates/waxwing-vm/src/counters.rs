//! The metrics of an entry VM.

use std::time;

use opentelemetry::KeyValue;
use opentelemetry::metrics as otel_metrics;
use waxwing_process::clock;
use waxwing_process::metrics;

use crate::vm;

/// The metrics that are recorded per event.
pub struct Counters {
    requests: otel_metrics::Counter<u64>,
    attempts: otel_metrics::Counter<u64>,
    charges: otel_metrics::Counter<u64>,
    store_calls: otel_metrics::Counter<u64>,
    server_transitions: otel_metrics::Counter<u64>,
    odd_retry_afters: otel_metrics::Counter<u64>,
    duration_ms: otel_metrics::Histogram<f64>,
}

impl Counters {
    /// Registers the counters and the histogram.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        Self {
            requests: counter("waxwing_requests", "Requests by outcome and status"),
            attempts: counter("waxwing_attempts", "Attempts at backend servers by how they ended"),
            charges: counter("waxwing_charges", "Charges of organisations by outcome"),
            store_calls: counter("waxwing_store_calls", "Calls to the store by kind and outcome"),
            server_transitions: counter(
                "waxwing_server_transitions",
                "Changes of backend servers' states by new state and source",
            ),
            odd_retry_afters: counter(
                "waxwing_odd_retry_afters",
                "Retry-After values of backend servers that were cut or ignored",
            ),
            duration_ms: meter
                .f64_histogram("waxwing_request_duration_ms")
                .with_description("Time from the arrival of a request to its end, in milliseconds")
                .build(),
        }
    }

    /// Counts a request when it ends, and records its duration.
    pub fn count_request(&self, outcome: &'static str, status: u16, duration: time::Duration) {
        let labels =
            [KeyValue::new("outcome", outcome), KeyValue::new("status", i64::from(status))];
        self.requests.add(1, &labels);
        self.duration_ms.record(duration.as_secs_f64() * 1e3, &labels[..1]);
    }

    /// Counts an attempt at a backend server by its outcome.
    pub fn count_attempt(&self, ending: &str) {
        self.attempts.add(1, &[KeyValue::new("ending", ending.to_owned())]);
    }

    /// Counts a charge of an organisation.
    pub fn count_charge(&self, outcome: &'static str) {
        self.charges.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a change of a backend server's state.
    pub fn count_server_transition(&self, to: &'static str, source: String) {
        let labels = [KeyValue::new("to", to), KeyValue::new("source", source)];
        self.server_transitions.add(1, &labels);
    }

    /// Counts a server's `Retry-After` that was cut or ignored.
    pub fn count_odd_retry_after(&self, oddity: &'static str) {
        self.odd_retry_afters.add(1, &[KeyValue::new("oddity", oddity)]);
    }

    /// Counts a call to the store; `kind` says what was read.
    pub fn count_store_call(&self, kind: &'static str, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &labels);
    }
}

/// Registers the gauges, which read the shared state when metrics are collected.
pub fn register_gauges(vm: &vm::Shared, metrics: &metrics::Metrics) {
    let meter = metrics.meter();
    let gauge = |name: &'static str, description: &'static str, value: fn(&vm::Vm) -> u64| {
        let vm_state = vm.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(value(&vm_state), &[]))
            .build();
    };
    gauge("waxwing_configuration_version", "Version of the configuration in force", |vm| {
        vm.table().map_or(0, |table| table.version().0)
    });
    gauge(
        "waxwing_configuration_newest_version",
        "Newest version of the configuration that any machine is known to have",
        |vm| vm.active_configuration().newest_known().map_or(0, |version| version.0),
    );
    gauge(
        "waxwing_configuration_age_ms",
        "Time since the configuration was last confirmed as the newest, in milliseconds",
        |vm| {
            let confirmed_at = vm.active_configuration().confirmed_at;
            let age = confirmed_at.map_or(time::Duration::MAX, |at| clock::now().since(at));
            u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
        },
    );
    gauge("waxwing_members", "Members of the fleet, as read from the store", |vm| {
        vm.membership.lock().len() as u64
    });
    gauge("waxwing_holds_shares", "1 if this machine holds shares of contracts", |vm| {
        u64::from(vm.membership.lock().holders(clock::now()).is_some())
    });
    gauge(
        "waxwing_store_steady_ms",
        "How long the store has answered all calls, in milliseconds",
        |vm| vm.store_steady().0,
    );
    gauge("waxwing_buffers_bytes", "Memory held for callers' connections, in bytes", |vm| {
        vm.memory.held().0
    });
    gauge("waxwing_connections", "Connections of callers", |vm| vm.memory.connections() as u64);
    gauge("waxwing_evicted_connections", "Connections that had to give way so far", |vm| {
        vm.memory.evictions()
    });
    gauge(
        "waxwing_memory_refusals",
        "Connections and requests refused so far for lack of memory or descriptors",
        |vm| vm.memory.refusals(),
    );
    gauge("waxwing_waiting_requests", "Requests that wait for a slot at a server", |vm| {
        vm.pools.waiting() as u64
    });
    gauge("waxwing_requests_under_way", "Requests in progress", |vm| {
        vm.in_flight.load(std::sync::atomic::Ordering::Acquire)
    });
}
