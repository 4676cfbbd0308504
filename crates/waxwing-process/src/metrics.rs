//! Counters and histograms, and their text form.

use opentelemetry::metrics as otel_metrics;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics as sdk_metrics;

/// The result of making metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why metrics can't be made or shown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be made.
    #[error("the metrics exporter can't be made: {0}")]
    Exporter(String),
    /// The metrics can't be written as text.
    #[error("the metrics can't be written as text: {0}")]
    Text(#[from] prometheus::Error),
}

/// The metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk_metrics::SdkMeterProvider,
}

impl Metrics {
    /// Creates metrics without any instrument.
    ///
    /// # Errors
    ///
    /// Returns an error where the exporter can't be made.
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

    /// Returns the meter that instruments are made with.
    pub fn meter(&self) -> otel_metrics::Meter {
        self.provider.meter("waxwing")
    }

    /// Returns all metrics in Prometheus text form.
    ///
    /// # Errors
    ///
    /// Returns an error where they can't be written as text.
    pub fn text(&self) -> Result<String> {
        Ok(prometheus::TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
