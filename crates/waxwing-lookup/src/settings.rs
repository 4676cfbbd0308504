//! The settings file of the lookup process.

use std::net;

use serde::Deserialize;
use waxwing_process::settings;
use waxwing_units::id;

/// The settings of the lookup process.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Option<id::VmId>,
    /// The failure domain of this VM.
    pub failure_domain: Option<id::FailureDomainId>,
    /// Where callers query the directory.
    pub listen_address: Option<net::SocketAddr>,
    /// Where operators read health, metrics and events.
    pub admin_address: Option<net::SocketAddr>,
    /// Where this VM's keeper listens.
    pub keeper_address: Option<net::SocketAddr>,
    /// Threads that handle queries.
    pub workers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: None,
            failure_domain: None,
            listen_address: None,
            admin_address: None,
            keeper_address: None,
            workers: 1,
        }
    }
}

impl settings::Settings for Settings {
    fn validate(&self, errors: &mut settings::FieldErrors) {
        let address = "is missing; write an IP address and a port, such as 10.0.0.1:7001";
        errors.require(self.vm.is_some(), "vm", "is missing; write this machine's name");
        errors.require(
            self.failure_domain.is_some(),
            "failure_domain",
            "is missing; write the failure domain of this machine",
        );
        errors.require(self.listen_address.is_some(), "listen_address", address);
        errors.require(self.admin_address.is_some(), "admin_address", address);
        errors.require(self.keeper_address.is_some(), "keeper_address", address);
        errors.require((1..=64).contains(&self.workers), "workers", "must be between 1 and 64");
    }
}
