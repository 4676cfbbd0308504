//! The settings file of the entry process.

use std::net;

use serde::Deserialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;
use waxwing_process::settings;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// The most threads that may handle requests.
const WORKERS_MAX: usize = 64;

/// The settings of the entry process.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Option<id::VmId>,
    /// The failure domain of this VM.
    pub failure_domain: Option<id::FailureDomainId>,
    /// Where callers send requests.
    pub listen_address: Option<net::SocketAddr>,
    /// Where other entry VMs forward requests to this one.
    pub forward_address: Option<net::SocketAddr>,
    /// Where operators read health, metrics and events.
    pub admin_address: Option<net::SocketAddr>,
    /// Where this VM's keeper listens.
    pub keeper_address: Option<net::SocketAddr>,
    /// Threads that handle requests.
    pub workers: usize,
    /// The longest time that a request waits for a token of its organisation.
    #[serde_as(as = "DisplayFromStr")]
    pub charge_wait: units_time::Millis,
    /// How long the process accepts requests after the signal to end.
    #[serde_as(as = "DisplayFromStr")]
    pub linger: units_time::Millis,
    /// The longest time that requests in progress may take after that.
    #[serde_as(as = "DisplayFromStr")]
    pub finish_max: units_time::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: None,
            failure_domain: None,
            listen_address: None,
            forward_address: None,
            admin_address: None,
            keeper_address: None,
            workers: 2,
            charge_wait: units_time::Millis(300),
            linger: units_time::Millis(3_000),
            finish_max: units_time::Millis(60_000),
        }
    }
}

impl settings::Settings for Settings {
    fn validate(&self, errors: &mut settings::FieldErrors) {
        let address = "is missing; write an IP address and a port, such as 10.0.0.1:7000";
        errors.require(self.vm.is_some(), "vm", "is missing; write this machine's name");
        errors.require(
            self.failure_domain.is_some(),
            "failure_domain",
            "is missing; write the failure domain of this machine",
        );
        errors.require(self.listen_address.is_some(), "listen_address", address);
        errors.require(self.forward_address.is_some(), "forward_address", address);
        errors.require(self.admin_address.is_some(), "admin_address", address);
        errors.require(self.keeper_address.is_some(), "keeper_address", address);
        let workers = "must be between 1 and 64";
        errors.require((1..=WORKERS_MAX).contains(&self.workers), "workers", workers);
    }
}
