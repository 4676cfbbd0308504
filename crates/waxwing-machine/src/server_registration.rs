//! A backend server as it registers itself.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;

/// Whether a backend server takes new work, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A backend server as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRegistration {
    /// The server's name.
    pub server: id::BackendServerId,
    /// Its start; another start is another server, also under the same name.
    pub started: id::Incarnation,
    /// The service that it answers for.
    pub service: id::ServiceId,
    /// The failure domain that it runs in.
    pub failure_domain: id::FailureDomainId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How long it stays cold, as of its registration.
    pub cold_left: time::Duration,
    /// Counts its registrations since its start.
    pub sequence: u64,
}
