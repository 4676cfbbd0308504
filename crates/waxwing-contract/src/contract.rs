//! The contract of an organisation and its parts.

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rate;

/// Thousandths in a whole contract.
const WHOLE_PERMILLE: u64 = 1_000;

/// A rate and a burst, of a whole contract or of a part of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// How fast tokens come in.
    pub rate_per_second: rate::TokenRate,
    /// How many tokens the part holds at most.
    pub burst_tokens: rate::NanoTokens,
}

impl RateLimit {
    /// No tokens at all.
    pub const NONE: Self = Self {
        rate_per_second: rate::TokenRate::from_milli_per_second(0),
        burst_tokens: rate::NanoTokens::ZERO,
    };

    /// Returns `permille` thousandths of the part, rounded down.
    pub const fn permille(self, permille: u64) -> Self {
        Self {
            rate_per_second: self.rate_per_second.permille(permille),
            burst_tokens: self.burst_tokens.permille(permille as i64),
        }
    }

    /// Returns the sum of two parts.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            rate_per_second: self.rate_per_second.plus(other.rate_per_second),
            burst_tokens: self.burst_tokens.plus(other.burst_tokens),
        }
    }

    /// Returns the smaller rate and the smaller burst of two parts.
    pub fn smaller(self, other: Self) -> Self {
        Self {
            rate_per_second: self.rate_per_second.min(other.rate_per_second),
            burst_tokens: self.burst_tokens.min(other.burst_tokens),
        }
    }
}

/// How a contract is spread over failure domains.
///
/// The spread stays as it is for the whole life of a contract: machines that see different
/// revisions of a record then still agree on which share belongs to whom, and the sum of their
/// parts is at most the larger of the two contracts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// All of the contract is held in the home failure domain.
    Whole,
    /// Each listed failure domain has a floor part of its own; the rest is the base part.
    Floors {
        /// The failure domains with a floor part, sorted, without the home failure domain.
        failure_domains: Vec<id::FailureDomainId>,
        /// The share of each floor part in the whole contract, in thousandths.
        floor_permille: u64,
    },
}

/// An organisation's contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// The organisation that the contract is with.
    pub organisation: id::OrganisationId,
    /// The revision of the record that the contract was read from.
    pub revision: id::Revision,
    /// The rate and the burst over all machines together.
    pub whole: RateLimit,
    /// The failure domain that holds the base part.
    pub home: id::FailureDomainId,
    /// How the contract is spread.
    pub spread: Spread,
}

impl Contract {
    /// Returns the part that the holder in the home failure domain has without any lease.
    pub fn base(&self) -> RateLimit {
        match &self.spread {
            Spread::Whole => self.whole,
            Spread::Floors { failure_domains, floor_permille } => {
                let floors_permille = floor_permille * failure_domains.len() as u64;
                self.whole.permille(WHOLE_PERMILLE.saturating_sub(floors_permille))
            }
        }
    }

    /// Returns the floor part of `failure_domain`, if it has one.
    pub fn floor(&self, failure_domain: &id::FailureDomainId) -> Option<RateLimit> {
        match &self.spread {
            Spread::Whole => None,
            Spread::Floors { failure_domains, floor_permille } => failure_domains
                .binary_search(failure_domain)
                .ok()
                .map(|_| self.whole.permille(*floor_permille)),
        }
    }

    /// Returns the failure domains with a floor part.
    pub fn floor_domains(&self) -> &[id::FailureDomainId] {
        match &self.spread {
            Spread::Whole => &[],
            Spread::Floors { failure_domains, .. } => failure_domains,
        }
    }
}
