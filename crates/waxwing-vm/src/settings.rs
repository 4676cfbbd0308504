//! The settings file of an entry VM that runs as one process.

use std::net;

use serde::Deserialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;
use waxwing_machine::memory_budget;
use waxwing_machine::placement;
use waxwing_machine::region_digest;
use waxwing_process::descriptors;
use waxwing_process::settings;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::ratio;
use waxwing_units::size;
use waxwing_units::time as units_time;

/// The least memory with which a process can serve callers.
const MEMORY_MIN: size::Bytes = size::Bytes(48 * 1024 * 1024);

/// A failure domain and its region.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The name of the failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The region that the failure domain belongs to.
    pub region: id::RegionId,
}

/// The settings as the file has them; [`Settings::checked`] makes sure that all required ones are
/// set.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Option<id::VmId>,
    /// The failure domain of this VM.
    pub failure_domain: Option<id::FailureDomainId>,
    /// All failure domains and their regions.
    pub places: Vec<Place>,
    /// Where the VM accepts requests from callers.
    pub entry_address: Option<net::SocketAddr>,
    /// Where callers query the directory.
    pub directory_address: Option<net::SocketAddr>,
    /// Where the platform probes the readiness of this VM.
    pub readiness_address: Option<net::SocketAddr>,
    /// Where other VMs send datagrams and replication queries.
    pub peer_address: Option<net::SocketAddr>,
    /// The address of the platform's store.
    pub store_address: Option<net::SocketAddr>,
    /// Where operators read health, metrics and status; the endpoint is off without it.
    pub admin_address: Option<net::SocketAddr>,
    /// Threads that handle requests.
    pub workers: usize,
    /// The memory that the process may use.
    #[serde_as(as = "DisplayFromStr")]
    pub memory_max: size::Bytes,
    /// The descriptors that the process may open; the process's own limit without it.
    pub descriptors_max: Option<u64>,
    /// The memory that may be held for callers' connections; a part of `memory_max` without it.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub buffers_max: Option<size::Bytes>,
    /// The connections of callers; half of the descriptors without it.
    pub connections_max: Option<usize>,
    /// The bandwidth of this VM's link, by which directories choose among VMs; without it the link
    /// counts as the widest.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub link_bandwidth: Option<bandwidth::Bandwidth>,
    /// How long a withdrawn key may still be accepted; unlimited without it.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub withdrawal_max: Option<units_time::Millis>,
    /// The time within which a new configuration has to be in force.
    #[serde_as(as = "DisplayFromStr")]
    pub apply_max: units_time::Millis,
    /// The time within which a draining backend server has to stop getting new requests.
    #[serde_as(as = "DisplayFromStr")]
    pub drain_max: units_time::Millis,
    /// The time limit of a shutdown.
    #[serde_as(as = "DisplayFromStr")]
    pub end_max: units_time::Millis,
    /// How long callers may cache a response of the directory.
    #[serde_as(as = "DisplayFromStr")]
    pub answer_validity: units_time::Millis,
    /// How long a registration lasts without renewal.
    #[serde_as(as = "DisplayFromStr")]
    pub registration_lease: units_time::Millis,
    /// The number of members up to which heartbeats are sent to all machines; in a larger fleet they
    /// cross regions in digests.
    pub direct_heartbeats_max: usize,
    /// The number of members up to which heartbeats cross regions in digests; in a larger fleet they are
    /// sent to all machines.
    pub digests_max: usize,
    /// The number of home servers of an object, which share the requests that concern it.
    pub homes: usize,
    /// Requests that may queue at a backend server for each of its slots.
    pub queued_per_slot_max: u32,
    /// The requests of a service that may wait on this VM for a slot at a server; none if it is zero.
    pub waiting_max: usize,
    /// The retries of a service as a part of its requests, over all VMs.
    #[serde_as(as = "DisplayFromStr")]
    pub repeats_ratio: ratio::Permille,
    /// Retries of a service beyond that ratio.
    pub repeats_slack: u64,
    /// Tokens by which the shares of a contract may exceed its burst, over all VMs.
    #[serde_as(as = "DisplayFromStr")]
    pub contract_slack: rate::Tokens,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: None,
            failure_domain: None,
            places: Vec::new(),
            entry_address: None,
            directory_address: None,
            readiness_address: None,
            peer_address: None,
            store_address: None,
            admin_address: None,
            workers: 1,
            memory_max: size::Bytes(256 * 1024 * 1024),
            descriptors_max: None,
            buffers_max: None,
            connections_max: None,
            link_bandwidth: None,
            withdrawal_max: None,
            apply_max: units_time::Millis(2_500),
            drain_max: units_time::Millis(2_500),
            end_max: units_time::Millis(6_000),
            answer_validity: units_time::Millis(1_000),
            registration_lease: units_time::Millis(10_000),
            direct_heartbeats_max: region_digest::DIRECT_MEMBERS_MAX,
            digests_max: region_digest::DIGEST_MEMBERS_MAX,
            homes: 2,
            queued_per_slot_max: 1,
            waiting_max: 0,
            repeats_ratio: ratio::Permille(100),
            repeats_slack: 20,
            contract_slack: rate::Tokens(0),
        }
    }
}

/// Settings with all required ones set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checked {
    /// The name of this VM.
    pub vm: id::VmId,
    /// The failure domain of this VM.
    pub failure_domain: id::FailureDomainId,
    /// Where the VM accepts requests from callers.
    pub entry_address: net::SocketAddr,
    /// Where callers query the directory.
    pub directory_address: net::SocketAddr,
    /// Where the platform probes the readiness of this VM.
    pub readiness_address: net::SocketAddr,
    /// Where other VMs send datagrams and replication queries.
    pub peer_address: net::SocketAddr,
    /// The address of the platform's store.
    pub store_address: net::SocketAddr,
    /// All settings as the file has them, for those that are optional.
    pub settings: Settings,
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
        errors.require(self.entry_address.is_some(), "entry_address", address);
        errors.require(self.directory_address.is_some(), "directory_address", address);
        errors.require(self.readiness_address.is_some(), "readiness_address", address);
        errors.require(self.peer_address.is_some(), "peer_address", address);
        errors.require(self.store_address.is_some(), "store_address", address);
        let workers = "must be between 1 and 64";
        errors.require((1..=64).contains(&self.workers), "workers", workers);
        errors.require(self.homes > 0, "homes", "must be at least 1");
        errors.require(
            self.memory_max >= MEMORY_MIN,
            "memory_max",
            "must be at least 48MiB, of which the process itself takes 32MiB",
        );
        errors.require(
            self.buffers_max.is_none_or(|max| max <= self.memory_max),
            "buffers_max",
            "must not exceed memory_max",
        );
        errors.require(
            self.connections_max.is_none_or(|max| max > 0),
            "connections_max",
            "must be at least 1",
        );
        let names_own = self
            .failure_domain
            .as_ref()
            .is_none_or(|own| self.places.iter().any(|place| place.failure_domain == *own));
        errors.require(names_own, "places", "must name the region of this failure domain");
    }
}

impl Settings {
    /// Returns the settings with all required ones set; `None` if one is missing.
    pub fn checked(self) -> Option<Checked> {
        Some(Checked {
            vm: self.vm.clone()?,
            failure_domain: self.failure_domain.clone()?,
            entry_address: self.entry_address?,
            directory_address: self.directory_address?,
            readiness_address: self.readiness_address?,
            peer_address: self.peer_address?,
            store_address: self.store_address?,
            settings: self,
        })
    }
}

impl Checked {
    /// Returns the options for the choice of backend servers.
    pub const fn placement(&self) -> placement::Options {
        placement::Options {
            homes: self.settings.homes,
            queued_per_slot_max: self.settings.queued_per_slot_max,
        }
    }

    /// Returns the limits of the memory that is held for callers.
    pub fn memory_budget(&self) -> memory_budget::Options {
        let settings = &self.settings;
        let descriptors_max = settings.descriptors_max.unwrap_or_else(descriptors::limit);
        let by_limits = memory_budget::Options::of(settings.memory_max, descriptors_max);
        memory_budget::Options {
            total: settings.buffers_max.unwrap_or(by_limits.total),
            connections_max: settings.connections_max.unwrap_or(by_limits.connections_max),
        }
    }

    /// Returns whether a running process can change to `other` without a restart.
    pub fn allows_change_to(&self, other: &Self) -> bool {
        let fixed = |of: &Self| {
            (
                of.vm.clone(),
                of.failure_domain.clone(),
                [of.entry_address, of.directory_address, of.readiness_address],
                [of.peer_address, of.store_address],
                of.settings.workers,
            )
        };
        fixed(self) == fixed(other)
    }

    /// Returns the region of a failure domain; `None` if the settings don't list it.
    pub fn region_of(&self, failure_domain: &id::FailureDomainId) -> Option<&id::RegionId> {
        let place = self.settings.places.iter().find(|p| p.failure_domain == *failure_domain);
        place.map(|place| &place.region)
    }
}
