//! One route and what it allows.

use std::time;

use waxwing_request::attempt;
use waxwing_units::id;

/// The rank of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u32);

/// A service that gets a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: id::ServiceId,
    /// Its weight among the parts.
    pub weight: u32,
}

/// A route: the requests of a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// The services that its requests go to; one where the route is not split.
    pub services: Vec<WeightedService>,
    /// Whether its requests may run more than once.
    pub repeatability: attempt::Repeatability,
    /// Backend servers that one request may be sent to, at most.
    pub attempts_max: u32,
    /// How long a request may take.
    pub timeout: time::Duration,
    /// The time in which an answer is wanted.
    pub latency_objective: time::Duration,
    /// The rank of its requests.
    pub priority: Priority,
    /// Whether its requests need no key.
    pub is_open: bool,
    /// Whether its requests have large bodies.
    pub has_large_bodies: bool,
    /// Whether requests about one object go to the same backend server.
    pub has_affinity: bool,
    /// The regions in which its requests may run, sorted; empty where all may.
    pub allowed_regions: Vec<id::RegionId>,
}

/// The routes of one host, sorted by prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The host, in lower case.
    pub host: String,
    /// Its routes.
    pub routes: Vec<Route>,
}

impl Host {
    /// Creates a host with its routes in any order.
    pub fn new(host: &str, mut routes: Vec<Route>) -> Self {
        routes.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
        Self { host: host.to_ascii_lowercase(), routes }
    }

    /// Returns the route with the longest prefix that begins `path`.
    ///
    /// Prefixes end with a slash, so only the beginnings of `path` that do are looked up.
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
