//! The decisions about a contract, object by object.

mod account;
mod holder;
mod lender_search;
mod seat;
mod share;
mod support;
mod token_balance;
