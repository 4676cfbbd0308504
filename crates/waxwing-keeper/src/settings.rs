//! The settings of the keeper, from a YAML file.

use std::net;

use serde::Deserialize;
use waxwing_machine::entry_vm;
use waxwing_process::settings;
use waxwing_units::id;

/// The settings of the keeper, as they stand in the file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this machine, which is unique and never reused.
    pub vm: Option<id::VmId>,
    /// The failure domain of this machine.
    pub failure_domain: Option<id::FailureDomainId>,
    /// The address for keepers of other machines, over UDP and TCP.
    pub peer_address: Option<net::SocketAddr>,
    /// The loopback address for the other processes of this machine.
    pub local_address: Option<net::SocketAddr>,
    /// The address of the admin endpoint, for operators.
    pub admin_address: Option<net::SocketAddr>,
    /// The address of this machine's entry process, for callers.
    pub entry_address: Option<net::SocketAddr>,
    /// The address of this machine's entry process, for requests that other entry VMs forward.
    pub forward_address: Option<net::SocketAddr>,
    /// The address of the platform's HTTP endpoint.
    pub platform_address: Option<net::SocketAddr>,
    /// The addresses of keepers to fetch records from if the store is unavailable at the start.
    pub first_peers: Vec<net::SocketAddr>,
}

/// Settings in which all required fields are present.
#[derive(Debug, Clone)]
pub struct Checked {
    /// The addresses, failure domain and phase that this machine announces to others.
    pub entry_vm: entry_vm::EntryVm,
    /// The loopback address for the other processes of this machine.
    pub local_address: net::SocketAddr,
    /// The address of the admin endpoint, for operators.
    pub admin_address: net::SocketAddr,
    /// The address of the platform's HTTP endpoint.
    pub platform_address: net::SocketAddr,
    /// The addresses of keepers to fetch records from if the store is unavailable at the start.
    pub first_peers: Vec<net::SocketAddr>,
}

impl settings::Settings for Settings {
    fn validate(&self, errors: &mut settings::FieldErrors) {
        let address = "is missing; write an IP address and a port, such as 10.0.0.1:7100";
        errors.require(self.vm.is_some(), "vm", "is missing; write this machine's name");
        errors.require(
            self.failure_domain.is_some(),
            "failure_domain",
            "is missing; write the failure domain of this machine",
        );
        errors.require(self.peer_address.is_some(), "peer_address", address);
        errors.require(self.local_address.is_some(), "local_address", address);
        errors.require(self.admin_address.is_some(), "admin_address", address);
        errors.require(self.entry_address.is_some(), "entry_address", address);
        errors.require(self.forward_address.is_some(), "forward_address", address);
        errors.require(self.platform_address.is_some(), "platform_address", address);
        let is_local = self.local_address.is_none_or(|address| address.ip().is_loopback());
        let local = "must be a loopback address, since only this machine's processes use it";
        errors.require(is_local, "local_address", local);
    }
}

impl Settings {
    /// Returns the settings, or `None` if a required field is missing.
    pub fn checked(self) -> Option<Checked> {
        Some(Checked {
            entry_vm: entry_vm::EntryVm {
                vm: self.vm?,
                failure_domain: self.failure_domain?,
                peer_address: self.peer_address?,
                entry_address: self.entry_address?,
                forward_address: self.forward_address?,
                phase: entry_vm::Phase::Live,
            },
            local_address: self.local_address?,
            admin_address: self.admin_address?,
            platform_address: self.platform_address?,
            first_peers: self.first_peers,
        })
    }
}
