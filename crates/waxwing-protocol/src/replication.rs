//! What a machine that reads the store tells others that do not, over TCP.
//!
//! Each word says how old it is. The one who asked counts that from when it asked, so a word that
//! is late, or whose sender stood still, is older than it says and never newer.

use serde::{Deserialize, Serialize};
use waxwing_machine::membership;
use waxwing_machine::server_list;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// A question, with what was told before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The start of the machine that told it; what another start told counts for nothing.
    pub source_incarnation: id::Incarnation,
    /// The number of the listing of backend servers; zero where there is none.
    pub servers_version: u64,
    /// The number of the list of members; zero where there is none.
    pub members_version: u64,
}

/// All that a machine knows of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The start of the machine that tells.
    pub source_incarnation: id::Incarnation,
    /// The configuration; none before any is known.
    pub configuration: Option<Configuration>,
    /// The backend servers; none before any are known.
    pub servers: Option<Servers>,
    /// The members of the fleet; none before any are known.
    pub members: Option<Members>,
}

/// Which configuration is the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Failure domains whose backend servers get nothing, sorted.
    pub evacuated: Vec<id::FailureDomainId>,
    /// How long ago the store was asked.
    pub age_ms: units_time::Millis,
}

/// What has changed in the listing of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// What has changed.
    pub changes: server_list::Changes,
    /// How long ago the store was asked.
    pub age_ms: units_time::Millis,
    /// How long ago the store did not answer; none where it always has.
    pub failed_ago_ms: Option<units_time::Millis>,
}

/// The members of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The number of the list, which rises with each change.
    pub version: u64,
    /// The store's revision.
    pub revision: id::Revision,
    /// The list; none where it is as it was.
    pub members: Option<Vec<membership::Member>>,
    /// How long ago the store was asked.
    pub age_ms: units_time::Millis,
}
