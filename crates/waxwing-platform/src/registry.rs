//! The store of a `waxwing-vm` fleet, as one machine uses it: it reads the configuration, the
//! backend servers and the member list, and keeps this machine's own registration alive.
//!
//! [`Registry`] is a trait because the store depends on the platform: the crate of the platform
//! implements it.

use std::future;
use std::time;

use waxwing_machine::membership;
use waxwing_machine::server_registration;
use waxwing_route::read_mark;
use waxwing_route::table;
use waxwing_units::id;

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No response was received; a write may have taken effect.
    #[error("no response from the store: {0}")]
    NoAnswer(String),
    /// The store rejected the call, which had no effect.
    #[error("the store rejected the call with status {0}")]
    Refused(u16),
    /// The response can't be decoded.
    #[error("invalid response from the store: {0}")]
    Answer(String),
    /// The store was restored from a copy since the revisions in the call were read; the call
    /// proves nothing and may be repeated.
    #[error("the store was restored from a copy")]
    Restored,
    /// This machine's registration has ended: it expired or was removed.
    #[error("the registration has ended")]
    Ended,
}

/// The result of reading the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigurationUpdate {
    /// The newest routing table; `None` if it has not changed since the last call.
    pub table: Option<table::Table>,
    /// The version that the store holds; `None` if it holds none that can be decoded.
    pub stored_version: Option<table::Version>,
    /// All failure domains whose backend servers get no requests, sorted.
    pub evacuated: Vec<id::FailureDomainId>,
    /// What the read found, for [`Registry::adopt`] on another machine.
    pub mark: read_mark::ReadMark,
}

/// A registration that the store has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The store revision at which the machine's name was created.
    pub created: id::Revision,
    /// Whether all other members are known to have read the name.
    pub is_admitted: bool,
    /// How long the registration is valid, from the time at which the store received the call.
    pub lease: time::Duration,
}

/// The store of the fleet, as one machine uses it.
///
/// All reads and writes are linearizable.
pub trait Registry {
    /// Returns the newest era of the store that any response was from.
    fn era(&self) -> id::StoreEra;

    /// Reads the configuration; calls `newer_arrives` when the store begins to send a newer one, which
    /// may take long.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn configuration(
        &self,
        newer_arrives: impl Fn(),
    ) -> impl future::Future<Output = Result<ConfigurationUpdate>>;

    /// Takes over what another machine found in the store, whose configuration this one has; the next
    /// read returns only what is newer.
    fn adopt(&self, mark: &read_mark::ReadMark);

    /// Reads the registrations of all backend servers, without those that can't be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn servers(
        &self,
    ) -> impl future::Future<Output = Result<Vec<server_registration::ServerRegistration>>>;

    /// Reads the member list of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn members(&self) -> impl future::Future<Output = Result<membership::MemberList>>;

    /// Registers this machine for the duration `lease`, or registers it again under the name that
    /// it had.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn register(
        &self,
        info: &membership::MachineInfo,
        lease: time::Duration,
    ) -> impl future::Future<Output = Result<Registration>>;

    /// Marks this machine's registration as admitted: all other members have read its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn admit(&self, info: &membership::MachineInfo) -> impl future::Future<Output = Result<()>>;

    /// Renews the registration and returns how long it is valid, from the time at which the store
    /// received the call.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] if the registration has ended, and another error if the call fails.
    fn renew(&self) -> impl future::Future<Output = Result<time::Duration>>;

    /// Removes the registration, when this machine shuts down.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn deregister(&self) -> impl future::Future<Output = Result<()>>;
}
