//! Registration of a backend server in the shared store.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;

/// Whether a backend server accepts new requests, by its registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It finishes requests in progress and accepts no new ones.
    Draining,
}

/// What a backend server states about itself when it registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRegistration {
    /// The server's name.
    pub server: id::BackendServerId,
    /// The incarnation of its process; after a restart it counts as another server of the same
    /// name.
    pub started: id::Incarnation,
    /// The service that it implements.
    pub service: id::ServiceId,
    /// The failure domain that it runs in.
    pub failure_domain: id::FailureDomainId,
    /// The address at which it accepts requests.
    pub address: net::SocketAddr,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// How long it stays cold after this registration; while cold, it can handle only a few
    /// requests a second.
    pub cold_left: time::Duration,
    /// The number of its registrations since its start.
    pub sequence: u64,
}
