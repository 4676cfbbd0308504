//! The addresses of the platform's store and of the machines.

use std::net;

use serde::Deserialize;
use waxwing_process::settings;

/// The settings file of the `waxwing` command.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address of the platform's store; required.
    pub platform_address: Option<net::SocketAddr>,
    /// The admin address of every process of every machine, for `status` and `timeline`.
    pub admin_addresses: Vec<net::SocketAddr>,
}

impl settings::Settings for Settings {
    fn validate(&self, errors: &mut settings::FieldErrors) {
        let message = "is missing; write an IP address and a port, such as 10.0.0.1:7300";
        errors.require(self.platform_address.is_some(), "platform_address", message);
    }
}
