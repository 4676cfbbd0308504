//! The differences between two routing tables, by which one machine hands a new configuration on to
//! others.
//!
//! A configuration may take seconds on a narrow link, while a new version mostly changes a few of its
//! routes. The differences name the table that they lead to, so a receiver that would end up with any
//! other table notices.

use serde::{Deserialize, Serialize};
use waxwing_units::id;

use crate::policy;
use crate::route;
use crate::table;

/// The result of applying changes.
pub type Result<T> = std::result::Result<T, Error>;

/// Why changes can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The changes are relative to another table.
    #[error("the changes are relative to table {expected}")]
    OtherBase {
        /// The table that they are relative to.
        expected: table::Fingerprint,
    },
    /// The changes do not lead to the table that they name.
    #[error("the changes lead to table {actual} instead of {expected}")]
    OtherResult {
        /// The table that they name.
        expected: table::Fingerprint,
        /// The table that they lead to.
        actual: table::Fingerprint,
    },
}

/// The changes from one table to another, or a whole table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The table that the changes are relative to; `None` if they make up the whole table.
    base: Option<table::Fingerprint>,
    /// The table that they lead to.
    result: table::Fingerprint,
    version: table::Version,
    limits: policy::CallerLimits,
    hosts: Vec<HostChanges>,
    removed_hosts: Vec<String>,
    services: ListChanges<policy::Service, id::ServiceId>,
    organisations: ListChanges<policy::Organisation, id::OrganisationId>,
}

/// The changed routes of a host, which may be new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct HostChanges {
    host: String,
    routes: ListChanges<route::Route, String>,
}

/// The changes of a list that is sorted by a key of its items.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ListChanges<T, K> {
    /// New and changed items.
    changed: Vec<T>,
    removed: Vec<K>,
}

impl<T: Clone + PartialEq, K: Clone + Ord> ListChanges<T, K> {
    fn between(before: &[T], after: &[T], key: fn(&T) -> &K) -> Self {
        let find = |list: &[T], wanted: &K| list.binary_search_by(|item| key(item).cmp(wanted));
        let is_new = |item: &&T| find(before, key(item)).ok().map(|at| &before[at]) != Some(*item);
        let is_gone = |item: &&T| find(after, key(item)).is_err();
        Self {
            changed: after.iter().filter(is_new).cloned().collect(),
            removed: before.iter().filter(is_gone).map(|item| key(item).clone()).collect(),
        }
    }

    fn apply(self, before: &[T], key: fn(&T) -> &K) -> Vec<T> {
        let mut replaced: Vec<&K> = self.changed.iter().map(key).chain(&self.removed).collect();
        replaced.sort();
        let is_kept = |item: &&T| replaced.binary_search(&key(item)).is_err();
        let kept: Vec<T> = before.iter().filter(is_kept).cloned().collect();
        kept.into_iter().chain(self.changed).collect()
    }
}

const fn service_key(service: &policy::Service) -> &id::ServiceId {
    &service.service
}

const fn organisation_key(organisation: &policy::Organisation) -> &id::OrganisationId {
    &organisation.organisation
}

const fn route_key(route: &route::Route) -> &String {
    &route.path_prefix
}

impl Changes {
    /// Returns the changes that lead from `before` to `after`, or the whole of `after`.
    pub fn between(before: Option<&table::Table>, after: &table::Table) -> Self {
        let hosts_before = before.map_or(&[][..], table::Table::hosts);
        let services = before.map_or(&[][..], table::Table::services);
        let organisations = before.map_or(&[][..], table::Table::organisations);
        let changed_host = |host: &route::Host| {
            let known = find_host(hosts_before, &host.host);
            if known == Some(host) {
                return None;
            }
            let routes_before = known.map_or(&[][..], |known| &known.routes);
            let routes = ListChanges::between(routes_before, &host.routes, route_key);
            Some(HostChanges { host: host.host.clone(), routes })
        };
        let is_gone = |host: &&route::Host| find_host(after.hosts(), &host.host).is_none();
        Self {
            base: before.map(table::Table::fingerprint),
            result: after.fingerprint(),
            version: after.version(),
            limits: after.limits().clone(),
            hosts: after.hosts().iter().filter_map(changed_host).collect(),
            removed_hosts: hosts_before
                .iter()
                .filter(is_gone)
                .map(|host| host.host.clone())
                .collect(),
            services: ListChanges::between(services, after.services(), service_key),
            organisations: ListChanges::between(
                organisations,
                after.organisations(),
                organisation_key,
            ),
        }
    }

    /// Returns the table that the changes are relative to; `None` if they make up the whole table.
    pub const fn base(&self) -> Option<table::Fingerprint> {
        self.base
    }

    /// Returns the table that the changes lead to from `before`, which is ignored if they make up the
    /// whole table.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes are relative to another table than `before`, or lead to another
    /// one than they name.
    pub fn apply(self, before: Option<&table::Table>) -> Result<table::Table> {
        let before = match self.base {
            None => None,
            Some(expected) => Some(
                before
                    .filter(|before| before.fingerprint() == expected)
                    .ok_or(Error::OtherBase { expected })?,
            ),
        };
        let services = before.map_or(&[][..], table::Table::services);
        let organisations = before.map_or(&[][..], table::Table::organisations);
        let hosts_before = before.map_or(&[][..], table::Table::hosts);
        let table = table::Table::new(
            self.version,
            apply_hosts(self.hosts, &self.removed_hosts, hosts_before),
            self.services.apply(services, service_key),
            self.organisations.apply(organisations, organisation_key),
            self.limits,
        );
        match table.fingerprint() == self.result {
            true => Ok(table),
            false => Err(Error::OtherResult { expected: self.result, actual: table.fingerprint() }),
        }
    }
}

fn find_host<'a>(hosts: &'a [route::Host], host: &str) -> Option<&'a route::Host> {
    hosts.binary_search_by(|found| found.host.as_str().cmp(host)).ok().map(|at| &hosts[at])
}

fn apply_hosts(
    changed: Vec<HostChanges>,
    removed: &[String],
    before: &[route::Host],
) -> Vec<route::Host> {
    let is_changed =
        |host: &str| changed.binary_search_by(|changes| changes.host.as_str().cmp(host)).is_ok();
    let is_kept = |host: &&route::Host| !removed.contains(&host.host) && !is_changed(&host.host);
    let mut hosts: Vec<route::Host> = before.iter().filter(is_kept).cloned().collect();
    hosts.extend(changed.into_iter().map(|changes| {
        let routes = find_host(before, &changes.host).map_or(&[][..], |known| &known.routes);
        route::Host::new(&changes.host, changes.routes.apply(routes, route_key))
    }));
    hosts
}
