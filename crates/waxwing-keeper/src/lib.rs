//! The keeper: the control process of a machine.
//!
//! It replicates the operators' records from the platform's store, exchanges heartbeats with the
//! keepers of other machines, and grants, borrows and spends the tokens of organisations' contracts
//! for this machine. The lookup and entry processes of the machine get their state from it. The
//! keeper only decodes and encodes messages; all decisions are made by `waxwing-contract` and
//! `waxwing-machine`.
//!
//! A contract is an organisation's rate limit over all machines. It is divided into parts, and the
//! machine that holds a seat, a hash slot of a failure domain, grants the tokens of the parts that
//! belong to the seat. The holders are stored as one seat table per failure domain.
//!
//! Threads, and what each one waits for:
//!
//! * [`peers`]: datagrams from other keepers.
//! * [`timer`]: the next deadline of an account.
//! * [`heartbeats`]: the next round of heartbeats.
//! * [`connections`]: frames from the other processes of this machine.
//! * [`record_replication`]: requests of other keepers for the records, and newer revisions to
//!   fetch.
//! * [`platform`]: the platform's store and machine list.
//!
//! [`acceptor`] accepts the connections for the last three. They share the state in [`keeper`], each part under its own lock. [`records`] and [`charges`]
//! are parts of that state; [`settings`] is read once at the start.

pub mod acceptor;
pub mod charges;
pub mod connections;
pub mod heartbeats;
pub mod keeper;
pub mod peers;
pub mod platform;
pub mod record_replication;
pub mod records;
pub mod settings;
pub mod timer;
