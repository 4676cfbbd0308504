//! The metrics of a process: OpenTelemetry instruments, exported as Prometheus text.

use opentelemetry::metrics as otel_metrics;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics as sdk_metrics;

/// The result of creating or exporting metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// Why metrics can't be created or exported.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The Prometheus exporter can't be created.
    #[error("metrics exporter can't be created: {0}")]
    Exporter(String),
    /// The metrics can't be encoded as text.
    #[error("metrics can't be encoded as text: {0}")]
    Text(#[from] prometheus::Error),
}

/// The metrics registry of a process and the provider of its instruments.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk_metrics::SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty registry with a Prometheus exporter.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be created.
    pub fn new() -> Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = sdk_metrics::SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter to create instruments with.
    pub fn meter(&self) -> otel_metrics::Meter {
        self.provider.meter("waxwing")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be encoded as text.
    pub fn text(&self) -> Result<String> {
        Ok(prometheus::TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
