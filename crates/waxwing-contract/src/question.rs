//! Questions to holders, the grants that answer them, and what is left of both.

use std::time;

use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

use crate::borrower;
use crate::message;

/// How long before the end of a grant its unspent tokens are given back.
pub(crate) const GIVE_BACK_BEFORE: time::Duration = time::Duration::from_millis(150);

/// A question to a holder.
#[derive(Debug, Clone)]
pub(crate) struct Question {
    /// The request that needs the token; none where tokens are fetched ahead.
    pub(crate) ticket: Option<borrower::Ticket>,
    pub(crate) part: message::PartName,
    pub(crate) to: id::VmId,
    pub(crate) nonce: id::Nonce,
    pub(crate) ahead: rate::Tokens,
    pub(crate) asked_at: units_time::MonoInstant,
    pub(crate) sent_at: units_time::MonoInstant,
    pub(crate) attempts: u32,
    pub(crate) give_up_at: units_time::MonoInstant,
}

/// A granted token that may be spent a little later.
#[derive(Debug, Clone)]
pub(crate) struct Delayed {
    pub(crate) ticket: borrower::Ticket,
    pub(crate) grant: Grant,
    pub(crate) start_at: units_time::MonoInstant,
}

/// A grant that is not settled yet.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    pub(crate) part: message::PartName,
    pub(crate) to: id::VmId,
    pub(crate) nonce: id::Nonce,
    pub(crate) unspent: rate::Tokens,
    pub(crate) valid_until: units_time::MonoInstant,
}

/// A question whose request has gone; a late grant for it is given back whole.
#[derive(Debug, Clone)]
pub(crate) struct Abandoned {
    pub(crate) nonce: id::Nonce,
    pub(crate) until: units_time::MonoInstant,
}

pub(crate) fn ask(
    now: units_time::MonoInstant,
    question: &Question,
    round_trip: time::Duration,
) -> borrower::Send {
    let age = now.since(question.asked_at) + round_trip / 2;
    let wait = question.give_up_at.since(now).as_millis();
    let body = message::Body::Ask {
        part: question.part.clone(),
        nonce: question.nonce,
        needed: rate::Tokens(u64::from(question.ticket.is_some())),
        ahead: question.ahead,
        wait_ms: units_time::Millis(u64::try_from(wait).unwrap_or(u64::MAX)),
        age_us: units_time::Micros::from_duration(age),
    };
    (question.to.clone(), body)
}

pub(crate) fn settle(grant: &Grant) -> borrower::Send {
    let body = message::Body::Settle {
        part: grant.part.clone(),
        nonce: grant.nonce,
        unspent: grant.unspent,
    };
    (grant.to.clone(), body)
}
