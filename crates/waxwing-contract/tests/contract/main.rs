//! The decisions about a contract, object by object.

mod account;
mod holder;
mod seat;
mod support;
