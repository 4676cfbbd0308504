//! All records at one revision of the store, sorted for binary search.

use serde::{Deserialize, Serialize};
use waxwing_contract::contract;
use waxwing_units::digest;
use waxwing_units::id;

use crate::record;
use crate::schema;

/// An organisation record with the revision at which it was last written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedOrganisation {
    /// The revision of the last write of the record.
    pub revision: id::Revision,
    /// The organisation record.
    pub organisation: record::Organisation,
}

/// A stored value that can't be read as a record.
///
/// It is reported to operators and otherwise ignored, so that one bad value leaves all other
/// records in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// The path of the value in the store.
    pub path: String,
    /// The reason why it can't be read.
    pub what: String,
}

/// All records at one revision of the store.
///
/// The lists are sorted as each field says; the lookups rely on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the platform's store at which the records were read.
    pub revision: id::Revision,
    /// Regions, sorted by name.
    pub regions: Vec<record::Region>,
    /// Services, sorted by name.
    pub services: Vec<record::Service>,
    /// Organisations, sorted by name.
    pub organisations: Vec<RevisionedOrganisation>,
    /// Keys, sorted by digest.
    pub keys: Vec<record::Key>,
    /// Backend servers, sorted by name.
    pub backend_servers: Vec<record::BackendServer>,
    /// The targets of all drains, sorted and without duplicates.
    pub drained: Vec<record::DrainTarget>,
    /// Blocks of caller addresses, sorted by the name of their record.
    pub client_blocks: Vec<record::ClientBlocks>,
    /// Stored values that this release can't read.
    pub unreadable: Vec<Unreadable>,
}

/// A value from the store with its path and revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredValue {
    /// The path of the value in the store, such as `organisation/kiln`.
    pub path: String,
    /// The revision of the last write of the value.
    pub revision: id::Revision,
    /// The value, which is expected to be a record.
    pub value: serde_json::Value,
}

impl Snapshot {
    /// Reads all values of the store at `revision`; those that can't be read go to `unreadable`.
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
                self.organisations.push(RevisionedOrganisation { revision, organisation });
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

    /// Returns the service named `service`, if there is one.
    pub fn service(&self, service: &str) -> Option<&record::Service> {
        let at =
            self.services.binary_search_by(|found| found.service.as_str().cmp(service)).ok()?;
        Some(&self.services[at])
    }

    /// Returns the organisation whose key has `digest`, if both are in the snapshot.
    pub fn organisation_of(&self, digest: &digest::KeyDigest) -> Option<&id::OrganisationId> {
        let at = self.keys.binary_search_by(|key| key.digest.cmp(digest)).ok()?;
        let organisation = &self.keys[at].organisation;
        self.has_organisation(organisation).then_some(organisation)
    }

    fn has_organisation(&self, organisation: &id::OrganisationId) -> bool {
        self.organisations
            .binary_search_by(|entry| entry.organisation.organisation.cmp(organisation))
            .is_ok()
    }

    /// Returns the first region that lists `failure_domain`.
    pub fn region_of(&self, failure_domain: &id::FailureDomainId) -> Option<&id::RegionId> {
        let has =
            |region: &&record::Region| region.failure_domains.binary_search(failure_domain).is_ok();
        self.regions.iter().find(has).map(|region| &region.region)
    }

    /// Returns the failure domains of all regions, sorted.
    pub fn failure_domains(&self) -> Vec<id::FailureDomainId> {
        let mut domains: Vec<id::FailureDomainId> =
            self.regions.iter().flat_map(|region| region.failure_domains.clone()).collect();
        domains.sort();
        domains
    }

    /// Returns the contracts of all organisations, sorted by name.
    pub fn contracts(&self) -> Vec<contract::Contract> {
        self.organisations.iter().map(|entry| entry.organisation.contract(entry.revision)).collect()
    }

    /// Returns whether a drain names `target` itself.
    pub fn is_drained(&self, target: &record::DrainTarget) -> bool {
        self.drained.binary_search(target).is_ok()
    }
}
