//! Distributed rate limiting: decides how machines together enforce one rate limit per
//! organisation.
//!
//! A contract grants an organisation a rate and a burst that hold over all entry VMs, the machines
//! that forward its requests, together. This crate takes the decisions only: it reads no clock,
//! opens no socket and encodes no message. Time is an argument, and messages are values.
//!
//! Each part of a contract is held by one machine, which grants its tokens to the others:
//!
//! * [`contract`]: the [`contract::Contract`] and its division into a base part and floor parts.
//! * [`seat`]: which machine holds which part, and when another machine may take a part over.
//! * [`accounts`]: all accounts of one machine, in shards with a lock each.
//! * [`account`]: the [`account::Account`] of one organisation on one machine.
//! * [`charge`]: the charge of one request, from the request for a token to the decision.
//! * [`holder`]: grants tokens of a part that this machine holds.
//! * [`floor`]: the part reserved for one failure domain, lent to the base part's holder while the
//!   two are connected.
//! * [`borrower`]: requests tokens from the holder for this machine's requests.
//! * [`bucket`]: the token bucket of a part.
//! * [`message`]: the messages that machines exchange about a contract.
//! * [`options`]: timeouts and validity periods that all machines must agree on.
//!
//! Alternatively, without seats, each member of a fleet holds a share of a contract, and members
//! lend tokens to each other:
//!
//! * [`share`]: which members hold a share of a contract, and how large it is.
//! * [`token_balance`]: the tokens of one organisation on a member: its share and its loans.
//! * [`token_wait`]: whether a request without a token waits for one, and for how long.
//! * [`lender_search`]: which members to ask for a loan while a request waits, and in which order.
//!
//! # Why the limit holds with parts and holders
//!
//! The *potential* of a part is what it could still admit at once: its bucket level and the granted
//! tokens that are neither spent nor expired. A holder keeps the potential of each part at or below
//! the part's burst, and refills it at most at the part's rate. The parts of a contract sum up to
//! at most the contract, each part has one holder at a time, and a lent floor part counts with the
//! base part only while its own holder does not use it. The potential of all parts is therefore at
//! most the contract's burst at each instant, and what is admitted within a window is at most the
//! potential at its start plus the refill within it.

pub mod account;
pub mod accounts;
pub mod borrower;
pub mod bucket;
mod cached_grants;
pub mod charge;
pub mod contract;
mod demand;
pub mod floor;
mod held_parts;
pub mod holder;
mod lease_renewal;
pub mod lender_search;
pub mod message;
pub mod options;
mod pending_request;
pub mod seat;
pub mod share;
pub mod token_balance;
pub mod token_wait;
