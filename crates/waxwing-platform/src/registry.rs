//! Configuration, backend servers and members of the fleet, as a shared store has them.

use std::future;
use std::time;

use waxwing_machine::membership;
use waxwing_machine::server_registration;
use waxwing_route::table;
use waxwing_units::id;

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why a call to the store brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store did not answer; what was written may have taken effect.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The store refused the call, which changed nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Answer(String),
    /// This machine's registration has ended.
    #[error("the registration has ended")]
    Ended,
}

/// What the store says of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigurationUpdate {
    /// The table in force; none where it is the one that was returned last.
    pub table: Option<table::Table>,
    /// All failure domains whose backend servers get nothing, sorted.
    pub evacuated: Vec<id::FailureDomainId>,
}

/// A registration that the store has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The revision at which the machine's name appeared.
    pub created: id::Revision,
    /// Whether all other members had read the name once.
    pub is_admitted: bool,
    /// How long the store keeps it, from the arrival of the call.
    pub lease: time::Duration,
}

/// The platform's store, as one machine uses it.
///
/// All answers are linearizable.
pub trait Registry {
    /// Returns the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn configuration(&self) -> impl future::Future<Output = Result<ConfigurationUpdate>>;

    /// Returns all backend servers whose registration can be read.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn servers(
        &self,
    ) -> impl future::Future<Output = Result<Vec<server_registration::ServerRegistration>>>;

    /// Returns the members of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn members(&self) -> impl future::Future<Output = Result<membership::MemberList>>;

    /// Registers this machine for `lease`, or again under the name that it had.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn register(
        &self,
        about: &membership::MachineInfo,
        lease: time::Duration,
    ) -> impl future::Future<Output = Result<Registration>>;

    /// Notes in the store that all other members have read this machine's name.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn admit(&self, about: &membership::MachineInfo) -> impl future::Future<Output = Result<()>>;

    /// Renews the registration and returns how long the store keeps it from the call's arrival.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] where there is none any more.
    fn renew(&self) -> impl future::Future<Output = Result<time::Duration>>;

    /// Withdraws the registration.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer.
    fn deregister(&self) -> impl future::Future<Output = Result<()>>;
}
