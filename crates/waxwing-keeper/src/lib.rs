//! Holds a machine's share of what is agreed between machines.
//!
//! The keeper watches the records, exchanges heartbeats with the keepers of other machines, and
//! keeps this machine's accounts of all organisations. It decides nothing itself: it decodes
//! messages, calls the decision crates, and encodes what they say.
//!
//! Threads, and what each one waits for:
//!
//! * [`peers`]: datagrams of other keepers.
//! * [`timer`]: the next instant at which an account has something to do.
//! * [`heartbeats`]: the next heartbeat.
//! * [`connections`]: frames of the other processes of this machine.
//! * [`copies`]: other keepers that want a copy of the records.
//! * [`platform`]: the platform's store and list of machines.
//!
//! What they share is in [`keeper`], each part under a lock of its own.

pub mod charges;
pub mod connections;
pub mod copies;
pub mod heartbeats;
pub mod keeper;
pub mod peers;
pub mod platform;
pub mod records;
pub mod settings;
pub mod timer;
