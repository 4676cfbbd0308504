//! Tests of the rate limit decisions, one module per object.

mod account;
mod holder;
mod lender_search;
mod seat;
mod share;
mod support;
mod token_balance;
mod token_wait;
