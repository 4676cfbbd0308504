//! The kinds of record and what each one says.

use std::fmt;
use std::net;
use std::str;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use waxwing_contract::contract;
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::prefix;
use waxwing_units::rate;
use waxwing_units::size;
use waxwing_units::time as units_time;

/// The kind of a record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum Kind {
    /// A region and its failure domains.
    Region,
    /// A service that callers use.
    Service,
    /// An organisation and its contract.
    Organisation,
    /// A key under which an organisation's callers are known.
    Key,
    /// A backend server of a service.
    BackendServer,
    /// Takes something out of use for a while.
    Drain,
    /// Blocks of callers' addresses and the failure domains nearest to them.
    ClientBlocks,
}

/// All kinds with their names, in the order in which records are written.
pub const KINDS: [(Kind, &str); 7] = [
    (Kind::Region, "region"),
    (Kind::Service, "service"),
    (Kind::Organisation, "organisation"),
    (Kind::Key, "key"),
    (Kind::BackendServer, "backend-server"),
    (Kind::Drain, "drain"),
    (Kind::ClientBlocks, "client-blocks"),
];

/// Tells that a text names no kind of record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is no kind of record; write region, service, organisation, key, backend-server, drain or \
     client-blocks"
)]
pub struct KindError {
    /// The text that was read.
    pub text: String,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = KINDS.iter().find(|(kind, _)| kind == self).map_or("", |(_, name)| name);
        f.pad(name)
    }
}

impl str::FromStr for Kind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        let found = KINDS.iter().find(|(_, name)| *name == text);
        found.map(|(kind, _)| *kind).ok_or_else(|| KindError { text: text.to_owned() })
    }
}

/// Names a record over all kinds, such as `organisation/kiln`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr)]
pub struct RecordId {
    /// The kind.
    pub kind: Kind,
    /// The name within the kind.
    pub name: id::RecordName,
}

/// Tells that a text names no record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordIdError {
    /// There is no slash between kind and name.
    #[error("{text:?} names no record; write kind/name, such as organisation/kiln")]
    Form {
        /// The text that was read.
        text: String,
    },
    /// The kind is unknown.
    #[error(transparent)]
    Kind(#[from] KindError),
    /// The name is not valid.
    #[error("the record's name: {0}")]
    Name(#[from] id::Error),
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl str::FromStr for RecordId {
    type Err = RecordIdError;

    fn from_str(text: &str) -> Result<Self, RecordIdError> {
        let form = || RecordIdError::Form { text: text.to_owned() };
        let (kind, name) = text.split_once('/').ok_or_else(form)?;
        Ok(Self { kind: kind.parse()?, name: name.parse()? })
    }
}

/// A region and its failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// The region's name.
    pub region: id::RegionId,
    /// Its failure domains, sorted.
    pub failure_domains: Vec<id::FailureDomainId>,
}

/// Who may use a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Only callers with a key; their organisation is charged.
    #[default]
    Keyed,
    /// All callers.
    Open,
}

/// A service that callers use; it answers under `/NAME/`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub service: id::ServiceId,
    /// Who may use it.
    pub access: Access,
    /// The largest request body, in bytes.
    pub body_max_bytes: size::Bytes,
    /// How long a request may take where its caller sets no limit, in milliseconds.
    pub deadline_ms: units_time::Millis,
    /// How long ago the records must have been known to be the newest for keys to be taken;
    /// without it they are taken for as long as the machine is cut off.
    pub key_staleness_max_ms: Option<units_time::Millis>,
    /// The largest share of traffic that moves to or from a region within ten seconds.
    pub shift_cap_permille: u64,
}

/// An organisation and its contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation's name.
    pub organisation: id::OrganisationId,
    /// The rate over all entry VMs together.
    pub rate_per_second: rate::TokenRate,
    /// The burst over all entry VMs together.
    pub burst_tokens: rate::Tokens,
    /// The failure domain that holds the base part of the contract.
    pub home: id::FailureDomainId,
    /// How the contract is spread over failure domains.
    pub spread: contract::Spread,
}

impl Organisation {
    /// Returns the contract as of `revision`.
    pub fn contract(&self, revision: id::Revision) -> contract::Contract {
        let whole = contract::RateLimit {
            rate_per_second: self.rate_per_second,
            burst_tokens: self.burst_tokens.nano(),
        };
        contract::Contract {
            organisation: self.organisation.clone(),
            revision,
            whole,
            home: self.home.clone(),
            spread: self.spread.clone(),
        }
    }
}

/// A key under which an organisation's callers are known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The name under which operators know the key.
    pub name: id::RecordName,
    /// The digest of the key.
    pub digest: digest::KeyDigest,
    /// The organisation.
    pub organisation: id::OrganisationId,
}

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The server's name.
    pub backend_server: id::BackendServerId,
    /// The service that it answers for.
    pub service: id::ServiceId,
    /// The failure domain that it runs in.
    pub failure_domain: id::FailureDomainId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// How many requests it bears at a time.
    pub slots: u32,
}

/// What a drain takes out of use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// A backend server.
    BackendServer(id::BackendServerId),
    /// An entry VM.
    EntryVm(id::VmId),
    /// A failure domain with all entry VMs and backend servers in it.
    FailureDomain(id::FailureDomainId),
}

/// Takes something out of use for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The drain's name.
    pub name: id::RecordName,
    /// What is drained.
    pub target: DrainTarget,
}

/// A block of callers' addresses and the failure domain nearest to them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientBlock {
    /// The block.
    pub prefix: prefix::Prefix,
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
}

/// Blocks of callers' addresses; large sets are cut into several records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientBlocks {
    /// The record's name.
    pub name: id::RecordName,
    /// The blocks.
    pub blocks: Vec<ClientBlock>,
}

/// A record in its newest form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A region.
    Region(Region),
    /// A service.
    Service(Service),
    /// An organisation.
    Organisation(Organisation),
    /// A key.
    Key(Key),
    /// A backend server.
    BackendServer(BackendServer),
    /// A drain.
    Drain(Drain),
    /// Blocks of callers' addresses.
    ClientBlocks(ClientBlocks),
}

impl Record {
    /// Returns the record's kind.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Region(_) => Kind::Region,
            Self::Service(_) => Kind::Service,
            Self::Organisation(_) => Kind::Organisation,
            Self::Key(_) => Kind::Key,
            Self::BackendServer(_) => Kind::BackendServer,
            Self::Drain(_) => Kind::Drain,
            Self::ClientBlocks(_) => Kind::ClientBlocks,
        }
    }
}
