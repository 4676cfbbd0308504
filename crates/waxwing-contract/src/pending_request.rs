//! The borrower's token requests in progress, and the grants it received.

use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::charge;
use crate::message;

/// A token request that was sent to a holder and has no response yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    /// The caller's request that needs a token; `None` if the tokens are prefetched.
    pub(crate) ticket: Option<charge::Ticket>,
    pub(crate) part: message::PartName,
    pub(crate) to: id::VmId,
    pub(crate) nonce: id::Nonce,
    pub(crate) prefetch: rate::Tokens,
    pub(crate) requested_at: units_time::MonoInstant,
    pub(crate) last_sent_at: units_time::MonoInstant,
    pub(crate) attempts: u32,
    pub(crate) deadline: units_time::MonoInstant,
}

/// A grant whose first token may be spent only from `start_at` on.
#[derive(Debug, Clone)]
pub(crate) struct DelayedGrant {
    pub(crate) ticket: charge::Ticket,
    pub(crate) grant: Grant,
    pub(crate) start_at: units_time::MonoInstant,
}

/// A grant with tokens that are neither spent nor returned.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    pub(crate) part: message::PartName,
    pub(crate) to: id::VmId,
    pub(crate) nonce: id::Nonce,
    pub(crate) unspent: rate::Tokens,
    pub(crate) valid_until: units_time::MonoInstant,
}

/// A token request that timed out; a late grant for it is returned in full.
#[derive(Debug, Clone)]
pub(crate) struct AbandonedRequest {
    pub(crate) nonce: id::Nonce,
    pub(crate) until: units_time::MonoInstant,
}

pub(crate) fn request_message(
    now: units_time::MonoInstant,
    request: &PendingRequest,
    round_trip: time::Duration,
) -> charge::Send {
    let age = now.since(request.requested_at) + round_trip / 2;
    let wait = request.deadline.since(now).as_millis();
    let body = message::Body::Ask {
        part: request.part.clone(),
        nonce: request.nonce,
        needed: rate::Tokens(u64::from(request.ticket.is_some())),
        prefetch: request.prefetch,
        wait_ms: units_time::Millis(u64::try_from(wait).unwrap_or(u64::MAX)),
        age_us: units_time::Micros::from_duration(age),
    };
    (request.to.clone(), body)
}

pub(crate) fn settle_message(grant: &Grant) -> charge::Send {
    let body = message::Body::Settle {
        part: grant.part.clone(),
        nonce: grant.nonce,
        unspent: grant.unspent,
    };
    (grant.to.clone(), body)
}
