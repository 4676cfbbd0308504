//! Messages that replicate the state of the store between machines, over TCP.
//!
//! In each region one machine, the reader, reads the store; the others request the state from it.
//!
//! A response carries the age of each piece of state. The receiver subtracts that age from the time
//! at which it sent the request, so a delay on the network or a stalled reader can only make the
//! state look older than it is, never newer.
//!
//! Releases of another [`VERSION`] don't understand each other; their machines read the store
//! themselves until all run the same release.

use serde::{Deserialize, Serialize};
use waxwing_machine::membership;
use waxwing_machine::server_list;
use waxwing_route::changes;
use waxwing_route::read_mark;
use waxwing_route::table;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// The version of the frames that these messages are sent in.
pub const VERSION: u8 = 2;

/// Requests what has changed since an earlier response.
///
/// Versions are meaningful only to the incarnation of the reader that assigned them. After a
/// restart of the reader, or with another reader, the response is complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The incarnation of the reader whose response the versions below are from.
    pub reader_incarnation: id::Incarnation,
    /// The version of the replica of the backend server list; zero if there is none.
    pub servers_version: u64,
    /// The version of the replica of the member list; zero if there is none.
    pub members_version: u64,
    /// The configuration in force at the requester; `None` if there is none.
    pub configuration: Option<KnownConfiguration>,
    /// The mark of the read that confirmed it.
    pub mark: table::Fingerprint,
}

/// Identifies a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownConfiguration {
    /// The version that operators gave it.
    pub version: table::Version,
    /// What identifies its content.
    pub fingerprint: table::Fingerprint,
}

/// The state of the store as the reader knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The incarnation of the reader, which the versions in this response belong to.
    pub reader_incarnation: id::Incarnation,
    /// The newest configuration; `None` until the reader has read one.
    pub configuration: Option<Configuration>,
    /// Changes of the backend server list; `None` until the reader has read it.
    pub servers: Option<Servers>,
    /// The member list of the fleet; `None` until the reader has read it.
    pub members: Option<Members>,
}

/// The configuration in force at the reader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// What identifies it.
    pub identity: KnownConfiguration,
    /// The changes that lead to it; `None` unless the requester has an older version.
    pub changes: Option<changes::Changes>,
    /// What the reader found in the store with it; `None` if the requester has that mark.
    pub mark: Option<read_mark::ReadMark>,
    /// Failure domains whose backend servers get no requests, sorted.
    pub evacuated: Vec<id::FailureDomainId>,
    /// The time since the reader sent the read request to the store.
    pub age_ms: units_time::Millis,
}

/// The changes of the backend server list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// The changes since the version in the request.
    pub changes: server_list::Changes,
    /// The time since the reader sent the read request to the store.
    pub age_ms: units_time::Millis,
    /// The time since the last failed read of the store; `None` if no read has failed.
    pub failed_ago_ms: Option<units_time::Millis>,
}

/// The member list of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The version of the list, which the reader increments with each change.
    pub version: u64,
    /// The revision of the store at which the list was read.
    pub revision: id::Revision,
    /// The list; `None` if its version is that of the request.
    pub members: Option<Vec<membership::Member>>,
    /// The time since the reader sent the read request to the store.
    pub age_ms: units_time::Millis,
}
