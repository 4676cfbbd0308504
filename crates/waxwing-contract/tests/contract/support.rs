//! Builders of contracts, machines and instants for the tests.

use std::time;

use waxwing_contract::contract;
use waxwing_contract::message;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

/// Returns an instant of the test clock.
pub(crate) fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

pub(crate) fn domain(name: &str) -> id::FailureDomainId {
    name.parse().expect("a valid name")
}

pub(crate) fn vm(name: &str) -> id::VmId {
    name.parse().expect("a valid name")
}

pub(crate) fn peer(name: &str) -> message::Peer {
    message::Peer { vm: vm(name), incarnation: id::Incarnation(1) }
}

pub(crate) fn rate_limit(rate_per_s: u64, burst: u64) -> contract::RateLimit {
    contract::RateLimit {
        rate_per_second: rate::TokenRate::per_second(rate_per_s),
        burst_tokens: rate::Tokens(burst).nano(),
    }
}
