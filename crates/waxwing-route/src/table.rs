//! The routing table: all routes, services and organisations of one configuration version.

use std::fmt;
use std::num;
use std::str;

use serde::{Deserialize, Serialize};
use waxwing_units::digest;
use waxwing_units::id;
use xxhash_rust::xxh3;

use crate::policy;
use crate::route;

/// The version that operators give a configuration; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a content, such as that of a table, on any machine.
///
/// A version number does not: a store that was restored from a copy may issue one twice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns what identifies `content`.
    pub fn of(content: &impl Serialize) -> Self {
        // Encoding into memory does not fail.
        Self(xxh3::xxh3_64(&postcard::to_stdvec(content).unwrap_or_default()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for Fingerprint {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The digest of a key and the organisation that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Key {
    digest: digest::KeyDigest,
    organisation: id::OrganisationId,
}

/// All routes, services and organisations of one configuration version, sorted for binary search.
///
/// A table does not change; a new version is read into a new table.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    version: Version,
    hosts: Vec<route::Host>,
    services: Vec<policy::Service>,
    organisations: Vec<policy::Organisation>,
    keys: Vec<Key>,
    limits: policy::CallerLimits,
    most_urgent: route::Priority,
    fingerprint: Fingerprint,
}

/// Who sent a request, as determined by the route and the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// No key is needed: the route is open, or the table has no organisations.
    Anonymous,
    /// The organisation that the key belongs to.
    Organisation(&'a policy::Organisation),
    /// A key is needed, and the request has none or an unknown one.
    Unauthenticated,
}

impl Table {
    /// Creates a table from hosts, services and organisations in any order.
    pub fn new(
        version: Version,
        mut hosts: Vec<route::Host>,
        mut services: Vec<policy::Service>,
        mut organisations: Vec<policy::Organisation>,
        limits: policy::CallerLimits,
    ) -> Self {
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        services.sort_by(|a, b| a.service.cmp(&b.service));
        organisations.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        let mut keys: Vec<Key> = organisations.iter().flat_map(keys_of).collect();
        keys.sort_by_key(|key| key.digest);
        let most_urgent = most_urgent(&hosts, &organisations);
        let content = (version, &hosts, &services, &organisations, &limits);
        let fingerprint = Fingerprint::of(&content);
        Self { version, hosts, services, organisations, keys, limits, most_urgent, fingerprint }
    }

    /// Returns what identifies the content of the table.
    pub const fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Returns all hosts with their routes, sorted by name.
    pub fn hosts(&self) -> &[route::Host] {
        &self.hosts
    }

    /// Returns the version that operators gave the configuration.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on requests and connections of all callers.
    pub const fn limits(&self) -> &policy::CallerLimits {
        &self.limits
    }

    /// Returns all organisations, sorted by name.
    pub fn organisations(&self) -> &[policy::Organisation] {
        &self.organisations
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[policy::Service] {
        &self.services
    }

    /// Returns the route that matches a request, ignoring a port after the host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&route::Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let at = self.hosts.binary_search_by(|found| found.host.as_str().cmp(&host)).ok()?;
        self.hosts[at].route(path)
    }

    /// Returns the service named `service`.
    pub fn service(&self, service: &id::ServiceId) -> Option<&policy::Service> {
        let at = self.services.binary_search_by(|found| found.service.cmp(service)).ok()?;
        Some(&self.services[at])
    }

    /// Returns how far `priority` is below the most urgent priority in the table; 0 is the most
    /// urgent.
    pub fn rank(&self, priority: route::Priority) -> u32 {
        priority.0.saturating_sub(self.most_urgent.0)
    }

    /// Returns the organisation named `name`.
    pub fn organisation(&self, name: &id::OrganisationId) -> Option<&policy::Organisation> {
        let at = self.organisations.binary_search_by(|found| found.organisation.cmp(name)).ok()?;
        Some(&self.organisations[at])
    }

    /// Returns who sent a request on `route` with `key`, compared by the digest of the key.
    pub fn authenticate(&self, route: &route::Route, key: Option<&[u8]>) -> Caller<'_> {
        if route.is_open || self.organisations.is_empty() {
            return Caller::Anonymous;
        }
        let organisation = key.and_then(|key| self.organisation_of(&digest::KeyDigest::of(key)));
        organisation.map_or(Caller::Unauthenticated, Caller::Organisation)
    }

    fn organisation_of(&self, digest: &digest::KeyDigest) -> Option<&policy::Organisation> {
        let at = self.keys.binary_search_by(|key| key.digest.cmp(digest)).ok()?;
        self.organisation(&self.keys[at].organisation)
    }
}

fn most_urgent(hosts: &[route::Host], organisations: &[policy::Organisation]) -> route::Priority {
    let by_route = hosts.iter().flat_map(|host| &host.routes).map(|route| route.priority);
    let by_organisation = organisations.iter().filter_map(|organisation| organisation.priority);
    by_route.chain(by_organisation).min().unwrap_or_default()
}

fn keys_of(organisation: &policy::Organisation) -> Vec<Key> {
    let key = |digest: &digest::KeyDigest| Key {
        digest: *digest,
        organisation: organisation.organisation.clone(),
    };
    organisation.keys.iter().map(key).collect()
}
