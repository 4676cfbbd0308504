//! Where the platform and the machines answer.

use std::net;

use serde::Deserialize;
use waxwing_process::settings;

/// The settings of the operator's command.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where the platform answers.
    pub platform_address: Option<net::SocketAddr>,
    /// The admin addresses of the processes of all machines.
    pub admin_addresses: Vec<net::SocketAddr>,
}

impl settings::Settings for Settings {
    fn validate(&self, faults: &mut settings::FieldErrors) {
        let what = "is missing; write an IP number and a port, such as 10.0.0.1:7300";
        faults.require(self.platform_address.is_some(), "platform_address", what);
    }
}
