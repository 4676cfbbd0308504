//! An organisation's contract: its parts, who holds them, and how tokens move between machines.
//!
//! A contract grants an organisation a rate and a burst that hold over all entry VMs together.
//! The crate decides; it reads no clock, opens no socket and encodes no message. Time is an
//! argument, messages are values.
//!
//! The objects, from the outside in:
//!
//! * [`contract`]: the [`contract::Contract`] and how it is cut into a base part and floor parts.
//! * [`seat`]: which machine holds which part, and when a seat may be taken over.
//! * [`accounts`]: all accounts of one machine, in shards that are locked one at a time.
//! * [`account`]: one machine's [`account::Account`] of one organisation.
//! * [`holder`]: grants tokens of a part that this machine holds.
//! * [`floor`]: a failure domain's own part, lent to the base part's holder while connected.
//! * [`borrower`]: asks the holder for tokens on behalf of this machine's requests.
//! * [`bucket`]: the level of tokens in a part.
//! * [`message`]: what machines say to each other about a contract.
//! * [`options`]: the spans that all machines must agree on.
//! * [`lender_search`]: whom a member asks for tokens while a request waits.
//! * [`share`]: how a contract is shared out among the members of a fleet, without seats.
//! * [`token_balance`]: the tokens of one organisation on a member: its share, and what others lent.
//!
//! # Why the bound holds
//!
//! Call what a part could still admit at once its *potential*: its level and the tokens that
//! it granted and that are neither spent nor expired. A holder keeps each part's potential at
//! most at the part's burst, and refills at most at the part's rate. The parts of a contract
//! sum up to at most the contract, each part has one holder at a time, and a floor part that is
//! lent counts with the base part only while its own holder does not use it. So the potential
//! of all parts is at most the contract's burst at each instant, and what is admitted in a
//! window is at most what the potential was at its start and what was refilled within it.

pub mod account;
pub mod accounts;
pub mod borrower;
pub mod bucket;
pub mod contract;
mod demand;
pub mod floor;
pub mod holder;
pub mod lender_search;
pub mod message;
pub mod options;
mod question;
pub mod seat;
pub mod share;
pub mod token_balance;
