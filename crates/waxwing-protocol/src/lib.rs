//! Messages between the system's own processes and their encoding.
//!
//! * [`peer`]: datagrams between keepers, over UDP.
//! * [`local`]: frames between the keeper and the other processes of its machine, over TCP.
//! * [`replication`]: what a machine that reads the store tells others, over TCP.
//! * [`frame`]: length-prefixed frames on a stream.
//!
//! Each message begins with the version of its protocol. A message of another version is
//! refused as a whole, never guessed at.

pub mod frame;
pub mod local;
pub mod peer;
pub mod replication;
