//! Organisations, services, and what callers may send.

use std::time;

use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::size;

use crate::route;

/// An organisation and the terms on which its requests run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub organisation: id::OrganisationId,
    /// The digests of its keys.
    pub keys: Vec<digest::KeyDigest>,
    /// The rank of its requests, which goes before the route's; none leaves the route's.
    pub priority: Option<route::Priority>,
    /// Rate and burst over all machines; none where it has no limit.
    pub limit: Option<RateLimit>,
    /// The regions in which its requests may run, sorted; empty where all may.
    pub allowed_regions: Vec<id::RegionId>,
}

/// A rate and a burst over all machines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// The rate.
    pub rate_per_second: rate::TokenRate,
    /// The burst.
    pub burst_tokens: rate::Tokens,
}

/// What all backend servers of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub service: id::ServiceId,
    /// Connections that each of its backend servers bears from all callers together.
    pub connections_max: u32,
    /// Requests a second that one of its backend servers bears while it is cold.
    pub cold_rate_per_second: rate::TokenRate,
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub body_max_bytes: size::Bytes,
    /// How long a connection may be idle.
    pub idle_timeout: time::Duration,
}
