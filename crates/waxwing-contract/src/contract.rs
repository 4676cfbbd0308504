//! The contract of an organisation, and its division into a base part and floor parts.

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rate;

/// Thousandths in a whole contract.
const WHOLE_PERMILLE: u64 = 1_000;

/// A rate and a burst, of a whole contract or of a part of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// The refill rate of the token bucket.
    pub rate_per_second: rate::TokenRate,
    /// The capacity of the token bucket.
    pub burst_tokens: rate::NanoTokens,
}

impl RateLimit {
    /// The limit that admits nothing.
    pub const NONE: Self = Self {
        rate_per_second: rate::TokenRate::from_milli_per_second(0),
        burst_tokens: rate::NanoTokens::ZERO,
    };

    /// Returns `permille` thousandths of the limit, rounded down.
    pub const fn permille(self, permille: u64) -> Self {
        Self {
            rate_per_second: self.rate_per_second.permille(permille),
            burst_tokens: self.burst_tokens.permille(permille as i64),
        }
    }

    /// Returns the sum of two limits.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            rate_per_second: self.rate_per_second.plus(other.rate_per_second),
            burst_tokens: self.burst_tokens.plus(other.burst_tokens),
        }
    }

    /// Returns the smaller rate and the smaller burst of two limits.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            rate_per_second: self.rate_per_second.min(other.rate_per_second),
            burst_tokens: self.burst_tokens.min(other.burst_tokens),
        }
    }
}

/// How a contract is divided among failure domains.
///
/// The division is fixed for the lifetime of a contract. Machines that see different revisions of a
/// record therefore agree on the share of each part, and the sum of their parts is at most the
/// larger of the two contracts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// The base part is the whole contract, held in the home failure domain.
    Whole,
    /// Each listed failure domain has a floor part reserved for it; the rest is the base part.
    Floors {
        /// The failure domains with a floor part, sorted, without the home failure domain.
        failure_domains: Vec<id::FailureDomainId>,
        /// The share of each floor part in the whole contract, in thousandths.
        floor_permille: u64,
    },
}

/// The rate limit of an organisation over all machines, and its division into parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// The organisation that the limit applies to.
    pub organisation: id::OrganisationId,
    /// The revision of the record that the contract was read from.
    pub revision: id::Revision,
    /// The rate and the burst over all machines together.
    pub whole: RateLimit,
    /// The failure domain whose machine holds the base part.
    pub home: id::FailureDomainId,
    /// How the contract is divided among failure domains.
    pub spread: Spread,
}

impl Contract {
    /// Returns the limit of the base part, without any leased floor part.
    pub fn base(&self) -> RateLimit {
        match &self.spread {
            Spread::Whole => self.whole,
            Spread::Floors { failure_domains, floor_permille } => {
                let floors_permille = floor_permille * failure_domains.len() as u64;
                self.whole.permille(WHOLE_PERMILLE.saturating_sub(floors_permille))
            }
        }
    }

    /// Returns the limit of the floor part of `failure_domain`, or `None` if it has no floor part.
    pub fn floor(&self, failure_domain: &id::FailureDomainId) -> Option<RateLimit> {
        match &self.spread {
            Spread::Whole => None,
            Spread::Floors { failure_domains, floor_permille } => failure_domains
                .binary_search(failure_domain)
                .ok()
                .map(|_| self.whole.permille(*floor_permille)),
        }
    }

    /// Returns the failure domains with a floor part, sorted.
    pub fn floor_domains(&self) -> &[id::FailureDomainId] {
        match &self.spread {
            Spread::Whole => &[],
            Spread::Floors { failure_domains, .. } => failure_domains,
        }
    }
}
