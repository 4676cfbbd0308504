//! The decisions about a contract, object by object.

mod account;
mod holder;
mod purse;
mod search;
mod seat;
mod share;
mod support;
