//! The messages that the system's own processes exchange, and their encoding.
//!
//! * [`peer`]: UDP datagrams between machines: heartbeats, contract messages and token loans.
//! * [`local`]: TCP messages between the keeper, a machine's control process, and the other
//!   processes of that machine.
//! * [`replication`]: TCP messages that replicate the state of the store from the machine that
//!   reads it to the others.
//! * [`frame`]: length-prefixed frames on a stream, used by `local` and `replication`.
//!
//! Every datagram and frame carries a protocol version. One with another version is rejected
//! without decoding its payload. The payload is encoded with postcard, which identifies fields
//! and variants by position: their order must not change within a version.

pub mod frame;
pub mod local;
pub mod peer;
pub mod replication;
