//! The limits of organisations, of services and of single requests.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::size;

use crate::route;

/// An organisation with its keys and the limits on its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation's name, by which a table sorts its organisations.
    pub organisation: id::OrganisationId,
    /// The digests of the keys that authenticate its callers.
    pub keys: Vec<digest::KeyDigest>,
    /// The priority of its requests, which overrides the route's; `None` uses the route's.
    pub priority: Option<route::Priority>,
    /// The rate limit over all machines together; `None` means no limit.
    pub limit: Option<RateLimit>,
    /// The regions in which its requests may run, sorted; empty allows all regions.
    pub allowed_regions: Vec<id::RegionId>,
}

/// A token bucket that holds over all machines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// How fast the bucket refills; one request takes one token.
    pub rate_per_second: rate::TokenRate,
    /// The capacity of the bucket.
    pub burst_tokens: rate::Tokens,
}

/// The limits that hold for each backend server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name, by which a table sorts its services.
    pub service: id::ServiceId,
    /// The largest number of connections to one backend server, from all callers together.
    pub connections_max: u32,
    /// The largest request rate to one backend server that has not warmed up yet.
    pub cold_rate_per_second: rate::TokenRate,
}

/// The limits on requests and connections that hold for all callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request body, in bytes.
    pub body_max_bytes: size::Bytes,
    /// How long a caller's connection may be idle before it is closed.
    pub idle_timeout: time::Duration,
}
