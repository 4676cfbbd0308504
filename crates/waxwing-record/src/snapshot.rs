//! All records at one revision, sorted for look-up.

use serde::{Deserialize, Serialize};
use waxwing_contract::contract;
use waxwing_units::digest;
use waxwing_units::id;

use crate::record;
use crate::schema;

/// An organisation record and the revision that it was written at.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationAt {
    /// The revision.
    pub revision: id::Revision,
    /// The record.
    pub organisation: record::Organisation,
}

/// A stored value that is no known record; it is passed over and reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// Where the value is stored.
    pub path: String,
    /// What is wrong with it.
    pub what: String,
}

/// All records at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the platform's store.
    pub revision: id::Revision,
    /// Regions, by name.
    pub regions: Vec<record::Region>,
    /// Services, by name.
    pub services: Vec<record::Service>,
    /// Organisations, by name.
    pub organisations: Vec<OrganisationAt>,
    /// Keys, by digest.
    pub keys: Vec<record::Key>,
    /// Backend servers, by name.
    pub backend_servers: Vec<record::BackendServer>,
    /// What is drained, sorted.
    pub drained: Vec<record::DrainTarget>,
    /// Blocks of callers' addresses, by record.
    pub client_blocks: Vec<record::ClientBlocks>,
    /// Stored values that can't be read by this release.
    pub unreadable: Vec<Unreadable>,
}

/// A stored value with its revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredValue {
    /// Where the value is stored, such as `organisation/kiln`.
    pub path: String,
    /// The revision of the last write.
    pub revision: id::Revision,
    /// The value.
    pub value: serde_json::Value,
}

impl Snapshot {
    /// Reads all stored values at `revision`; values that can't be read are listed apart.
    pub fn read(revision: id::Revision, stored: &[StoredValue]) -> Self {
        let mut snapshot = Self { revision, ..Self::default() };
        for entry in stored {
            match schema::read(entry.value.clone()) {
                Ok(versioned) => snapshot.add(entry.revision, versioned.record),
                Err(error) => snapshot
                    .unreadable
                    .push(Unreadable { path: entry.path.clone(), what: error.to_string() }),
            }
        }
        snapshot.sort();
        snapshot
    }

    fn add(&mut self, revision: id::Revision, record: record::Record) {
        match record {
            record::Record::Region(region) => self.regions.push(region),
            record::Record::Service(service) => self.services.push(service),
            record::Record::Organisation(organisation) => {
                self.organisations.push(OrganisationAt { revision, organisation });
            }
            record::Record::Key(key) => self.keys.push(key),
            record::Record::BackendServer(server) => self.backend_servers.push(server),
            record::Record::Drain(drain) => self.drained.push(drain.target),
            record::Record::ClientBlocks(blocks) => self.client_blocks.push(blocks),
        }
    }

    fn sort(&mut self) {
        self.regions.sort_by(|a, b| a.region.cmp(&b.region));
        self.services.sort_by(|a, b| a.service.cmp(&b.service));
        self.organisations
            .sort_by(|a, b| a.organisation.organisation.cmp(&b.organisation.organisation));
        self.keys.sort_by_key(|key| key.digest);
        self.backend_servers.sort_by(|a, b| a.backend_server.cmp(&b.backend_server));
        self.client_blocks.sort_by(|a, b| a.name.cmp(&b.name));
        self.drained.sort();
        self.drained.dedup();
    }

    /// Returns the service named `service`.
    pub fn service(&self, service: &str) -> Option<&record::Service> {
        let at = self.services.binary_search_by(|s| s.service.as_str().cmp(service)).ok()?;
        Some(&self.services[at])
    }

    /// Returns the organisation whose key has `digest`.
    pub fn organisation_of(&self, digest: &digest::KeyDigest) -> Option<&id::OrganisationId> {
        let at = self.keys.binary_search_by(|key| key.digest.cmp(digest)).ok()?;
        let organisation = &self.keys[at].organisation;
        self.has_organisation(organisation).then_some(organisation)
    }

    fn has_organisation(&self, organisation: &id::OrganisationId) -> bool {
        self.organisations
            .binary_search_by(|at| at.organisation.organisation.cmp(organisation))
            .is_ok()
    }

    /// Returns the region of `failure_domain`.
    pub fn region_of(&self, failure_domain: &id::FailureDomainId) -> Option<&id::RegionId> {
        let has =
            |region: &&record::Region| region.failure_domains.binary_search(failure_domain).is_ok();
        self.regions.iter().find(has).map(|region| &region.region)
    }

    /// Returns all failure domains, sorted.
    pub fn failure_domains(&self) -> Vec<id::FailureDomainId> {
        let mut domains: Vec<id::FailureDomainId> =
            self.regions.iter().flat_map(|region| region.failure_domains.clone()).collect();
        domains.sort();
        domains
    }

    /// Returns the contracts of all organisations.
    pub fn contracts(&self) -> Vec<contract::Contract> {
        self.organisations.iter().map(|at| at.organisation.contract(at.revision)).collect()
    }

    /// Tells whether `target` is drained.
    pub fn is_drained(&self, target: &record::DrainTarget) -> bool {
        self.drained.binary_search(target).is_ok()
    }
}
