//! One route with its match, limits and services, and the routes of one host.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_request::attempt;
use waxwing_units::id;

/// The priority of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Priority(pub u32);

/// A service with its weight in a route's traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service that requests are sent to.
    pub service: id::ServiceId,
    /// Its weight relative to the other services of the route. With 0 it gets requests only if it
    /// is the route's single service.
    pub weight: u32,
}

/// How requests to a host are handled if their path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, as shown in log lines.
    pub name: String,
    /// The path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// The services among which requests are split; a single one if the route is not split.
    pub services: Vec<WeightedService>,
    /// Whether requests may be run more than once.
    pub repeatability: attempt::Repeatability,
    /// The largest number of backend servers that one request is sent to.
    pub attempts_max: u32,
    /// The longest time that a request may take.
    pub timeout: time::Duration,
    /// The intended response time.
    pub latency_objective: time::Duration,
    /// The priority of requests whose organisation sets none.
    pub priority: Priority,
    /// Whether requests are accepted without a key.
    pub is_open: bool,
    /// Whether requests are expected to have large bodies, such as uploads.
    pub has_large_bodies: bool,
    /// Whether requests about the same object prefer the same backend servers.
    pub has_affinity: bool,
    /// The regions in which requests may run, sorted; empty allows all regions.
    pub allowed_regions: Vec<id::RegionId>,
}

/// The routes of one virtual host, sorted by prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host name, in lower case.
    pub host: String,
    /// The routes of the host, sorted by prefix for binary search.
    pub routes: Vec<Route>,
}

impl Host {
    /// Creates a host from its routes in any order.
    pub fn new(host: &str, mut routes: Vec<Route>) -> Self {
        routes.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
        Self { host: host.to_ascii_lowercase(), routes }
    }

    /// Returns the route with the longest prefix that matches `path`; the query is ignored.
    ///
    /// Prefixes end with a slash, so only those beginnings of `path` that end with one are looked
    /// up.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or(path);
        path.match_indices('/').rev().find_map(|(at, _)| {
            let prefix = &path[..=at];
            let found =
                self.routes.binary_search_by(|route| route.path_prefix.as_str().cmp(prefix));
            found.ok().map(|at| &self.routes[at])
        })
    }
}
