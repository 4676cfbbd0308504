//! The settings of the keeper.

use std::net;

use serde::Deserialize;
use waxwing_machine::entry_vm;
use waxwing_process::settings;
use waxwing_units::id;

/// The settings of the keeper.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this machine.
    pub vm: Option<id::VmId>,
    /// The failure domain of this machine.
    pub failure_domain: Option<id::FailureDomainId>,
    /// Where keepers of other machines reach this one, over UDP and TCP.
    pub peer_address: Option<net::SocketAddr>,
    /// Where the other processes of this machine reach the keeper.
    pub local_address: Option<net::SocketAddr>,
    /// Where operators read health, metrics and events.
    pub admin_address: Option<net::SocketAddr>,
    /// Where callers reach this machine's entry process.
    pub entry_address: Option<net::SocketAddr>,
    /// Where this machine's entry process listens for requests that other entry VMs pass on.
    pub forward_address: Option<net::SocketAddr>,
    /// Where the platform answers.
    pub platform_address: Option<net::SocketAddr>,
    /// Keepers to ask for records when the platform is out at the start.
    pub first_peers: Vec<net::SocketAddr>,
}

/// Settings of which each needed field is known to be there.
#[derive(Debug, Clone)]
pub struct Checked {
    /// What other machines are told of this one.
    pub entry_vm: entry_vm::EntryVm,
    /// Where the other processes of this machine reach the keeper.
    pub local_address: net::SocketAddr,
    /// Where operators read health, metrics and events.
    pub admin_address: net::SocketAddr,
    /// Where the platform answers.
    pub platform_address: net::SocketAddr,
    /// Keepers to ask for records when the platform is out at the start.
    pub first_peers: Vec<net::SocketAddr>,
}

impl settings::Settings for Settings {
    fn validate(&self, faults: &mut settings::FieldErrors) {
        let address = "is missing; write an IP number and a port, such as 10.0.0.1:7100";
        faults.require(self.vm.is_some(), "vm", "is missing; write this machine's name");
        faults.require(
            self.failure_domain.is_some(),
            "failure_domain",
            "is missing; write the failure domain of this machine",
        );
        faults.require(self.peer_address.is_some(), "peer_address", address);
        faults.require(self.local_address.is_some(), "local_address", address);
        faults.require(self.admin_address.is_some(), "admin_address", address);
        faults.require(self.entry_address.is_some(), "entry_address", address);
        faults.require(self.forward_address.is_some(), "forward_address", address);
        faults.require(self.platform_address.is_some(), "platform_address", address);
        let is_local = self.local_address.is_none_or(|address| address.ip().is_loopback());
        let local = "must be a loopback address, since only this machine's processes use it";
        faults.require(is_local, "local_address", local);
    }
}

impl Settings {
    /// Returns the settings with each needed field, or none where one is missing.
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
